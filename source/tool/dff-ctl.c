/*
 * The operators' tool: checks, compares, applies and shows catalogues, shows
 * the state of the nodes and explains log lines.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

/* Largest number of arguments of a subcommand. */
#define ARGS_MAX 1000

typedef struct command {
	const char *name;
	int args_min;
	int args_max;
	const char *usage;
	int (*run)(ctl_t *ctl, char **args, int count);
} command_t;

static int
run_check(ctl_t *ctl, char **args, int count)
{
	(void)count;
	return ctl_check(ctl, args[0]);
}

static int
run_diff(ctl_t *ctl, char **args, int count)
{
	return ctl_diff(ctl, args[0], count > 1 ? args[1] : NULL);
}

static int
run_apply(ctl_t *ctl, char **args, int count)
{
	(void)count;
	return ctl_apply(ctl, args[0]);
}

static int
run_show(ctl_t *ctl, char **args, int count)
{
	(void)args;
	(void)count;
	return ctl_show(ctl);
}

static int
run_history(ctl_t *ctl, char **args, int count)
{
	(void)args;
	(void)count;
	return ctl_history(ctl);
}

static int
run_status(ctl_t *ctl, char **args, int count)
{
	(void)args;
	(void)count;
	return ctl_status(ctl);
}

static int
run_explain(ctl_t *ctl, char **args, int count)
{
	(void)ctl;
	return ctl_explain(args[0], args + 1, count - 1);
}

static const command_t commands[] = {
    {"check", 1, 1, "check FILE", run_check},
    {"diff", 1, 2, "diff FILE [OLD-FILE]", run_diff},
    {"apply", 1, 1, "apply FILE", run_apply},
    {"show", 0, 0, "show [--revision N]", run_show},
    {"history", 0, 0, "history", run_history},
    {"status", 0, 0, "status", run_status},
    {"explain", 1, ARGS_MAX, "explain CALL-ID [LOG-FILE...]", run_explain},
};

static void
print_usage(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		(void)fprintf(stderr, "%s dff-ctl [FLAGS] %s\n",
		    i == 0 ? "usage:" : "      ", commands[i].usage);
	(void)fprintf(stderr, "dff-ctl --help lists the flags\n");
}

static const command_t *
find_command(int argc, char **argv)
{
	if (argc < 2)
		return NULL;
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		int count = argc - 2;

		if (strcmp(commands[i].name, argv[1]) == 0 &&
		    count >= commands[i].args_min &&
		    count <= commands[i].args_max)
			return &commands[i];
	}
	return NULL;
}

static int
run_command(ctl_t *ctl, int argc, char **argv)
{
	const command_t *command = find_command(argc, argv);
	int rc;

	if (command == NULL) {
		print_usage();
		return CTL_USAGE;
	}
	(void)signal(SIGPIPE, SIG_IGN);
	ctl->ctx = dff_program_ctx("dff-ctl", 1);
	(void)uv_loop_init(&ctl->loop);
	ctl->httpc = dff_httpc_new(ctl->ctx, &ctl->loop);
	rc = command->run(ctl, argv + 2, argc - 2);
	dff_httpc_drop(ctl->httpc);
	/* The client's connections close in the loop. */
	(void)uv_run(&ctl->loop, UV_RUN_DEFAULT);
	(void)uv_loop_close(&ctl->loop);
	dff_ctx_drop(ctl->ctx);
	return rc;
}

int
main(int argc, char **argv)
{
	ctl_t ctl = {0};
	const dff_setting_t settings[] = {
	    {"platform", DFF_SETTING_ADDR, &ctl.platform, "127.0.0.1:7100", 0,
		0, NULL, NULL, "address of the platform"},
	    {"nodes", DFF_SETTING_TEXT, &ctl.nodes, "", 0, 0, NULL, NULL,
		"addresses of status pages, separated by commas; without, "
		"they are derived from the VM list and the offsets"},
	    {"http-offset", DFF_SETTING_INT, &ctl.http_offset, "0", -65535,
		65535, NULL, NULL,
		"port of an entry's status page minus its port in the VM list; "
		"0 requests none"},
	    {"placer-offset", DFF_SETTING_INT, &ctl.placer_offset, "0", -65535,
		65535, NULL, NULL,
		"port of a placer's status page minus its VM's port in the VM "
		"list; 0 requests none"},
	    {"against", DFF_SETTING_INT, &ctl.against, "-1", -1, 9e15, NULL,
		NULL,
		"apply: revision that was edited; -1 for the one in force"},
	    {"edit-id", DFF_SETTING_TEXT, &ctl.edit_id, "", 0, 0, NULL, NULL,
		"apply: id of an edit whose run ended undecided"},
	    {"author", DFF_SETTING_TEXT, &ctl.author, "", 0, 0, NULL, NULL,
		"apply: author of the edit; without, the user's name"},
	    {"note", DFF_SETTING_TEXT, &ctl.note, "", 0, 0, NULL, NULL,
		"apply: reason for the edit"},
	    {"revision", DFF_SETTING_INT, &ctl.revision, "0", 0, 9e15, NULL,
		NULL, "show: revision; 0 for the one in force"},
	    {"timeout", DFF_SETTING_MSEC, &ctl.timeout, "10000", 100, 600000,
		NULL, NULL, "apply: longest wait for the verdict on the edit"},
	    {"confirm-time", DFF_SETTING_MSEC, &ctl.confirm_time, "10000", 0,
		600000, NULL, NULL,
		"apply: longest wait for all nodes to have the revision"
		" in force"},
	    {"silence", DFF_SETTING_MSEC, &ctl.idle_timeout, "3000", 600, 60000,
		NULL, NULL, "longest silence of a server"},
	    {NULL, DFF_SETTING_TEXT, NULL, NULL, 0, 0, NULL, NULL, NULL},
	};
	int rc;

	rc = dff_settings_load(
	    "check FILE | diff FILE [OLD] | apply FILE | show | history | "
	    "status | explain CALL-ID [LOG...]",
	    settings, &argc, &argv);
	if (rc == 0)
		rc = run_command(&ctl, argc, argv);
	else
		rc = rc > 0 ? CTL_OK : CTL_USAGE;
	dff_settings_drop(settings);
	return rc;
}
