#include "dragonflyfall/base.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

/* The longest log line. */
#define LOG_LINE_MAX 1024

struct dff_ctx {
	dff_level_t level;
	dff_log_fn log;
	void *arg;
	GRand *rand;
};

dff_ctx_t *
dff_ctx_new(uint32_t seed, dff_level_t level, dff_log_fn log, void *arg)
{
	dff_ctx_t *ctx;

	ctx = g_new0(dff_ctx_t, 1);
	ctx->level = level;
	ctx->log = log;
	ctx->arg = arg;
	ctx->rand = g_rand_new_with_seed(seed);
	return ctx;
}

void
dff_ctx_drop(dff_ctx_t *ctx)
{
	if (ctx == NULL)
		return;
	g_rand_free(ctx->rand);
	g_free(ctx);
}

bool
dff_log_enabled(const dff_ctx_t *ctx, dff_level_t level)
{
	return ctx->log != NULL && level <= ctx->level;
}

void
dff_log(
    dff_ctx_t *ctx, dff_level_t level, const char *part, const char *fmt, ...)
{
	char line[LOG_LINE_MAX];
	va_list args;

	if (!dff_log_enabled(ctx, level))
		return;
	va_start(args, fmt);
	(void)vsnprintf(line, sizeof(line), fmt, args);
	va_end(args);
	ctx->log(ctx->arg, level, part, line);
}

uint64_t
dff_rand_u64(dff_ctx_t *ctx)
{
	uint64_t high;

	high = g_rand_int(ctx->rand);
	return high << 32 | g_rand_int(ctx->rand);
}

uint32_t
dff_rand_below(dff_ctx_t *ctx, uint32_t bound)
{
	if (bound == 0)
		return 0;
	return (uint32_t)(((uint64_t)g_rand_int(ctx->rand) * bound) >> 32);
}

double
dff_rand_unit(dff_ctx_t *ctx)
{
	return g_rand_double(ctx->rand);
}

uint64_t
dff_hash(const void *data, size_t len, uint64_t seed)
{
	return XXH64(data, len, seed);
}

int
dff_name_copy(char *dst, const char *src)
{
	size_t len;

	dst[0] = '\0';
	if (src == NULL)
		return 0;
	len = strlen(src);
	if (len >= DFF_NAME_MAX)
		return -ENAMETOOLONG;
	memcpy(dst, src, len + 1);
	return 0;
}

const char *
dff_strerror(int err)
{
	return g_strerror(err < 0 ? -err : err);
}
