#include "plot.h"

#include <stdio.h>

#define WIDTH  960
#define HEIGHT 180
#define LEFT   60
#define TOP    30
#define GAP    40
#define PANELS 3
#define LINES  3

/** struct line - one line of a panel */
typedef struct line {
	const char *name;
	const char *colour;
	double (*value)(const bench_second_t *);
} line_t;

/** struct panel - one diagram */
typedef struct panel {
	const char *title;
	line_t lines[LINES];
} panel_t;

static double
offered(const bench_second_t *second)
{
	return second->offered;
}

static double
good(const bench_second_t *second)
{
	return second->good;
}

static double
refused(const bench_second_t *second)
{
	return (double)second->refused + second->late;
}

static double
waiting(const bench_second_t *second)
{
	return second->waiting;
}

static double
running(const bench_second_t *second)
{
	return second->running;
}

static double
ratio(const bench_second_t *second)
{
	return second->output_tokens > 0 ?
	    (double)second->prompt_tokens / (double)second->output_tokens :
	    0;
}

static double
mixed(const bench_second_t *second)
{
	return second->roles[DFF_ROLE_MIXED];
}

static double
prefill(const bench_second_t *second)
{
	return second->roles[DFF_ROLE_PREFILL];
}

static double
decode(const bench_second_t *second)
{
	return second->roles[DFF_ROLE_DECODE];
}

static const panel_t panels[PANELS] = {
    {"requests a second",
	{{"offered", "#888", offered}, {"good", "#070", good},
	    {"refused or late", "#c00", refused}}},
    {"calls, and prompt tokens to an output token",
	{{"waiting at nodes", "#c60", waiting}, {"at engines", "#06c", running},
	    {"ratio", "#999", ratio}}},
    {"engines by role",
	{{"mixed", "#06c", mixed}, {"prefill", "#c60", prefill},
	    {"decode", "#070", decode}}},
};

static double
most_of(const panel_t *panel, const GArray *seconds)
{
	double most = 1;

	for (guint i = 0; i < seconds->len; i++)
		for (int l = 0; l < LINES; l++)
			most = MAX(most,
			    panel->lines[l].value(
				&g_array_index(seconds, bench_second_t, i)));
	return most;
}

static void
draw_line(
    FILE *file, const line_t *line, const GArray *seconds, double most, int top)
{
	(void)fprintf(file, "<polyline fill=\"none\" stroke=\"%s\" points=\"",
	    line->colour);
	for (guint i = 0; i < seconds->len; i++) {
		double value;

		value = line->value(&g_array_index(seconds, bench_second_t, i));
		(void)fprintf(file, "%.1f,%.1f ",
		    LEFT + (double)i * WIDTH / seconds->len,
		    top + HEIGHT - value * HEIGHT / most);
	}
	(void)fprintf(file, "\"/>\n");
}

static void
draw_panel(FILE *file, const panel_t *panel, const GArray *seconds, int top)
{
	double most = most_of(panel, seconds);

	(void)fprintf(file,
	    "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"none\" "
	    "stroke=\"#ccc\"/>\n"
	    "<text x=\"%d\" y=\"%d\">%s</text>\n"
	    "<text x=\"5\" y=\"%d\">%.0f</text>\n"
	    "<text x=\"5\" y=\"%d\">0</text>\n",
	    LEFT, top, WIDTH, HEIGHT, LEFT, top - 6, panel->title, top + 10,
	    most, top + HEIGHT);
	for (int l = 0; l < LINES; l++) {
		draw_line(file, &panel->lines[l], seconds, most, top);
		(void)fprintf(file,
		    "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>\n",
		    LEFT + 350 + l * 170, top - 6, panel->lines[l].colour,
		    panel->lines[l].name);
	}
}

static void
write_svg(FILE *file, const bench_workload_t *load, const GArray *seconds)
{
	int height = TOP + PANELS * (HEIGHT + GAP) + 20;

	(void)fprintf(file,
	    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
	    "height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n"
	    "<rect width=\"100%%\" height=\"100%%\" fill=\"#fff\"/>\n"
	    "<text x=\"%d\" y=\"14\">%s, %u seconds</text>\n",
	    WIDTH + LEFT + 20, height, LEFT, load->name, seconds->len);
	for (int i = 0; i < PANELS; i++)
		draw_panel(
		    file, &panels[i], seconds, TOP + 20 + i * (HEIGHT + GAP));
	(void)fprintf(file, "</svg>\n");
}

static void
write_csv(FILE *file, const GArray *seconds)
{
	(void)fprintf(file,
	    "second,offered,good,refused,late,waiting,running,mixed,prefill,"
	    "decode,prompt_tokens,output_tokens\n");
	for (guint i = 0; i < seconds->len; i++) {
		const bench_second_t *s;

		s = &g_array_index(seconds, bench_second_t, i);
		(void)fprintf(file, "%u,%u,%u,%u,%u,%u,%u,%u,%u,%u,%lu,%lu\n",
		    i, s->offered, s->good, s->refused, s->late, s->waiting,
		    s->running, s->roles[DFF_ROLE_MIXED],
		    s->roles[DFF_ROLE_PREFILL], s->roles[DFF_ROLE_DECODE],
		    (unsigned long)s->prompt_tokens,
		    (unsigned long)s->output_tokens);
	}
}

static FILE *
open_in(const char *folder, const char *name, const char *suffix)
{
	char *path = g_strdup_printf("%s/%s.%s", folder, name, suffix);
	FILE *file = fopen(path, "w");

	g_free(path);
	return file;
}

void
plot_write(const char *folder, const bench_workload_t *load,
    const bench_result_t *result)
{
	FILE *file = open_in(folder, load->name, "csv");

	if (file != NULL) {
		write_csv(file, result->seconds);
		(void)fclose(file);
	}
	file = open_in(folder, load->name, "svg");
	if (file != NULL) {
		write_svg(file, load, result->seconds);
		(void)fclose(file);
	}
}
