#include "dragonflyfall/log_out.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "dragonflyfall/program.h"

/* Bytes buffered for a slow reader. */
#define BUFFER_MAX 262144
/* Size of a burst, as seconds of lines at the rate. */
#define BURST_SECONDS 2

struct dff_log_out {
	int fd;
	char program[DFF_NAME_MAX];
	GString *buffer;
	double rate;
	double tokens;
	dff_time_t refilled_at;
	uint64_t dropped;
	uint64_t dropped_reported;
};

dff_log_out_t *
dff_log_out_new(int fd, const char *program, uint32_t rate)
{
	dff_log_out_t *out = g_new0(dff_log_out_t, 1);
	int flags = fcntl(fd, F_GETFL);

	out->fd = fd;
	g_strlcpy(out->program, program, sizeof(out->program));
	out->buffer = g_string_new(NULL);
	out->rate = rate;
	out->tokens = out->rate * BURST_SECONDS;
	out->refilled_at = dff_program_now();
	/* If this fails, the descriptor is written to in blocking mode. */
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
	(void)g_string_free(out->buffer, TRUE);
	g_free(out);
}

static bool
take_token(dff_log_out_t *out, dff_level_t level)
{
	dff_time_t now = dff_program_now();
	double added = (double)(now - out->refilled_at) / DFF_SEC * out->rate;

	out->tokens = MIN(out->tokens + added, out->rate * BURST_SECONDS);
	out->refilled_at = now;
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

	g_string_append_printf(out->buffer,
	    "time=%" G_GUINT64_FORMAT ".%03u level=%s program=%s part=%s: %s\n",
	    (guint64)(wall / 1000), (unsigned)(wall % 1000), names[level],
	    out->program, part, text);
}

void
dff_log_out_line(
    void *arg, dff_level_t level, const char *part, const char *text)
{
	dff_log_out_t *out = arg;
	char dropped_text[80];

	if (out->buffer->len > BUFFER_MAX || !take_token(out, level)) {
		out->dropped++;
		return;
	}
	if (out->dropped != out->dropped_reported) {
		(void)g_snprintf(dropped_text, sizeof(dropped_text),
		    "lines left out count=%" G_GUINT64_FORMAT,
		    (guint64)(out->dropped - out->dropped_reported));
		out->dropped_reported = out->dropped;
		add_line(out, DFF_LOG_WARNING, "log", dropped_text);
	}
	add_line(out, level, part, text);
}

void
dff_log_out_flush(dff_log_out_t *out)
{
	ssize_t written;

	while (out->buffer->len > 0) {
		written = write(out->fd, out->buffer->str, out->buffer->len);
		if (written < 0 && errno == EINTR)
			continue;
		if (written < 0 && errno != EAGAIN)
			/* The reader is gone: the buffered lines are
			 * dropped. */
			g_string_truncate(out->buffer, 0);
		if (written <= 0)
			return;
		g_string_erase(out->buffer, 0, written);
	}
}

uint64_t
dff_log_out_dropped(const dff_log_out_t *out)
{
	return out->dropped;
}
