#include "dragonflyfall/log_out.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "dragonflyfall/program.h"

/* Bytes that may wait for a slow reader. */
#define WAITING_MAX 262144
/* Seconds of lines that may come at once. */
#define BURST_SECONDS 2

struct dff_log_out {
	int fd;
	char program[DFF_NAME_MAX];
	GString *waiting;
	double rate;
	double tokens;
	dff_time_t filled;
	uint64_t left_out;
	uint64_t told_left_out;
};

dff_log_out_t *
dff_log_out_new(int fd, const char *program, uint32_t rate)
{
	dff_log_out_t *out = g_new0(dff_log_out_t, 1);
	int flags = fcntl(fd, F_GETFL);

	out->fd = fd;
	g_strlcpy(out->program, program, sizeof(out->program));
	out->waiting = g_string_new(NULL);
	out->rate = rate;
	out->tokens = out->rate * BURST_SECONDS;
	out->filled = dff_program_now();
	/* A descriptor that cannot be set is written to all the same. */
	if (flags >= 0)
		(void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	return out;
}

void
dff_log_out_drop(dff_log_out_t *out)
{
	if (out == NULL)
		return;
	dff_log_out_flush(out);
	(void)g_string_free(out->waiting, TRUE);
	g_free(out);
}

static bool
take_token(dff_log_out_t *out, dff_level_t level)
{
	dff_time_t now = dff_program_now();
	double more = (double)(now - out->filled) / DFF_SEC * out->rate;

	out->tokens = MIN(out->tokens + more, out->rate * BURST_SECONDS);
	out->filled = now;
	if (out->tokens >= 1) {
		out->tokens -= 1;
		return true;
	}
	return level <= DFF_LOG_NOTICE;
}

static void
add_line(
    dff_log_out_t *out, dff_level_t level, const char *part, const char *text)
{
	static const char *const names[] = {[DFF_LOG_ERR] = "err",
	    [DFF_LOG_WARNING] = "warning",
	    [DFF_LOG_NOTICE] = "notice",
	    [DFF_LOG_INFO] = "info",
	    [DFF_LOG_DEBUG] = "debug"};
	uint64_t wall = dff_program_wall_ms();

	g_string_append_printf(out->waiting,
	    "time=%" G_GUINT64_FORMAT ".%03u level=%s program=%s part=%s: %s\n",
	    (guint64)(wall / 1000), (unsigned)(wall % 1000), names[level],
	    out->program, part, text);
}

void
dff_log_out_line(
    void *arg, dff_level_t level, const char *part, const char *text)
{
	dff_log_out_t *out = arg;
	char gap[80];

	if (out->waiting->len > WAITING_MAX || !take_token(out, level)) {
		out->left_out++;
		return;
	}
	if (out->left_out != out->told_left_out) {
		(void)g_snprintf(gap, sizeof(gap),
		    "lines left out count=%" G_GUINT64_FORMAT,
		    (guint64)(out->left_out - out->told_left_out));
		out->told_left_out = out->left_out;
		add_line(out, DFF_LOG_WARNING, "log", gap);
	}
	add_line(out, level, part, text);
}

void
dff_log_out_flush(dff_log_out_t *out)
{
	ssize_t done;

	while (out->waiting->len > 0) {
		done = write(out->fd, out->waiting->str, out->waiting->len);
		if (done < 0 && errno == EINTR)
			continue;
		if (done < 0 && errno != EAGAIN)
			/* Nobody reads; logging on would only fill up. */
			g_string_truncate(out->waiting, 0);
		if (done <= 0)
			return;
		g_string_erase(out->waiting, 0, done);
	}
}

uint64_t
dff_log_out_left_out(const dff_log_out_t *out)
{
	return out->left_out;
}
