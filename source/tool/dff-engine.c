/*
 * Stand-in for a model engine: the engine model behind HTTP. After a crash
 * its port is closed until the model is back.
 */
#include <stdlib.h>

#include "engine_parts.h"

static void
fill_config(const settings_t *settings, dff_engine_config_t *config)
{
	dff_engine_config_defaults(config);
	config->incarnation = settings->incarnation != 0 ?
	    (uint64_t)settings->incarnation :
	    dff_program_wall_ms();
	config->role = (dff_role_t)dff_role_parse(settings->role);
	(void)dff_name_copy(config->model, settings->model);
	config->version = (uint32_t)settings->model_version;
	config->check_fence = settings->check_fence;
	config->cut_on_order = settings->cut_on_order;
	config->pieces = (uint32_t)settings->pieces;
	config->batch_max = (uint32_t)settings->batch;
	config->queue_max = (uint32_t)settings->queue;
	config->chunk_tokens = (uint32_t)settings->chunk;
	config->prefill_us = settings->prefill_us;
	config->step_us = settings->step_us;
	config->request_us = settings->request_us;
	config->role_away = settings->role_away;
	config->load_away = settings->load_away;
	config->restart_away = settings->restart_away;
	config->report_lag = settings->report_lag;
	config->cache_lag = settings->cache_lag;
	config->cache_loss = settings->cache_loss;
	config->output_mean = (uint32_t)settings->output_mean;
}

static void
set_standin(engine_t *engine)
{
	standin_t *standin = &engine->standin;

	standin->ctx = dff_program_ctx(
	    engine->settings->id, (uint32_t)engine->settings->seed);
	standin->loop = uv_default_loop();
	standin->addr = engine->settings->addr;
	standin->drain_time = engine->settings->drain_time;
	standin->handlers.request = engine_on_request;
	standin->handlers.disconnected = engine_on_gone;
	standin->arg = engine;
}

static int
run(const settings_t *settings)
{
	engine_t engine = {.settings = settings};
	dff_engine_config_t config;
	int err;

	fill_config(settings, &config);
	set_standin(&engine);
	engine.model = dff_engine_model_new(
	    engine.standin.ctx, &config, dff_program_now());
	if (settings->crash_in_change)
		dff_engine_model_crash_in_change(engine.model);
	engine.client = dff_httpc_new(engine.standin.ctx, engine.standin.loop);
	engine.out = g_array_new(FALSE, TRUE, sizeof(dff_engine_out_t));
	engine.open = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, engine_free_generation);
	(void)uv_timer_init(engine.standin.loop, &engine.timer);
	engine.timer.data = &engine;
	err = standin_start(&engine.standin);
	if (err == 0)
		(void)uv_run(engine.standin.loop, UV_RUN_DEFAULT);
	g_hash_table_unref(engine.open);
	standin_drop(&engine.standin);
	dff_httpc_drop(engine.client);
	dff_engine_model_drop(engine.model);
	g_array_unref(engine.out);
	dff_ctx_drop(engine.standin.ctx);
	return err == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
	settings_t s = {0};
	const dff_setting_t settings[] = {
	    {"addr", DFF_SETTING_ADDR, &s.addr, NULL, 0, 0, NULL, NULL,
		"where it listens"},
	    {"id", DFF_SETTING_TEXT, &s.id, "engine", 0, 0, NULL, NULL,
		"VM id"},
	    {"domain", DFF_SETTING_TEXT, &s.domain, "a", 0, 0, NULL, NULL,
		"failure domain"},
	    {"platform", DFF_SETTING_TEXT, &s.platform, "", 0, 0, NULL, NULL,
		"address of the weight store; none gives leave at once"},
	    {"role", DFF_SETTING_CHOICE, &s.role, "mixed", 0, 0,
		"mixed|prefill|decode", NULL, "role at its start"},
	    {"model", DFF_SETTING_TEXT, &s.model, "model", 0, 0, NULL, NULL,
		"model loaded at its start"},
	    {"model-version", DFF_SETTING_INT, &s.model_version, "1", 1, 1e9,
		NULL, NULL, "version of that model"},
	    {"poison", DFF_SETTING_TEXT, &s.poison, "", 0, 0, NULL, NULL,
		"a prompt with this word crashes it; none does"},
	    {"incarnation", DFF_SETTING_INT, &s.incarnation, "0", 0, 9e15, NULL,
		NULL, "of this process; 0 takes the wall clock"},
	    {"check-fence", DFF_SETTING_FLAG, &s.check_fence, "false", 0, 0,
		NULL, NULL, "refuse orders with an old fencing number"},
	    {"cut-on-order", DFF_SETTING_FLAG, &s.cut_on_order, "false", 0, 0,
		NULL, NULL, "an order cuts running requests"},
	    {"crash-in-change", DFF_SETTING_FLAG, &s.crash_in_change, "false",
		0, 0, NULL, NULL, "crash in the first change"},
	    {"pieces", DFF_SETTING_INT, &s.pieces, "1000", 1, 1e7, NULL,
		"pieces", "memory"},
	    {"batch", DFF_SETTING_INT, &s.batch, "32", 1, 10000, NULL,
		"requests", "requests in the batch"},
	    {"queue", DFF_SETTING_INT, &s.queue, "256", 1, 100000, NULL,
		"requests", "requests that wait for the batch"},
	    {"chunk", DFF_SETTING_INT, &s.chunk, "512", 1, 1e6, NULL, "tokens",
		"prompt tokens prefilled in one step"},
	    {"prefill-us", DFF_SETTING_REAL, &s.prefill_us, "60", 0, 1e6, NULL,
		"us", "time to prefill one token"},
	    {"step-us", DFF_SETTING_REAL, &s.step_us, "12000", 1, 1e7, NULL,
		"us", "time of a step with an empty batch"},
	    {"request-us", DFF_SETTING_REAL, &s.request_us, "400", 0, 1e6, NULL,
		"us", "time that each decoding request adds to a step"},
	    {"role-away", DFF_SETTING_MSEC, &s.role_away, "4000", 0, 600000,
		NULL, "ms", "time away for a change of role"},
	    {"load-away", DFF_SETTING_MSEC, &s.load_away, "15000", 0, 600000,
		NULL, "ms", "time away for a load of weights"},
	    {"restart-away", DFF_SETTING_MSEC, &s.restart_away, "10000", 0,
		600000, NULL, "ms", "time away after a crash"},
	    {"report-lag", DFF_SETTING_MSEC, &s.report_lag, "500", 0, 60000,
		NULL, "ms", "age of load reports"},
	    {"cache-lag", DFF_SETTING_MSEC, &s.cache_lag, "1000", 0, 60000,
		NULL, "ms", "age of cache events"},
	    {"cache-loss", DFF_SETTING_REAL, &s.cache_loss, "0.02", 0, 1, NULL,
		"share", "cache events that are lost"},
	    {"output-mean", DFF_SETTING_INT, &s.output_mean, "0", 0, 1e6, NULL,
		"tokens", "mean of answers that end by themselves; 0: none do"},
	    {"seed", DFF_SETTING_INT, &s.seed, "1", 0, 4294967295.0, NULL, NULL,
		"seed of its random numbers"},
	    {"drain-time", DFF_SETTING_MSEC, &s.drain_time, "30000", 0, 600000,
		NULL, "ms", "bound on a graceful stop"},
	    {NULL, DFF_SETTING_TEXT, NULL, NULL, 0, 0, NULL, NULL, NULL}};
	int status;
	int err;

	err = dff_settings_load(
	    "Stand-in for a model engine.", settings, &argc, &argv);
	if (err != 0)
		return err > 0 ? EXIT_SUCCESS : 2;
	status = run(&s);
	dff_settings_drop(settings);
	return status;
}
