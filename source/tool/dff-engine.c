/*
 * Stand-in for a model engine: serves the simulated engine over HTTP. After a
 * simulated crash the port stays closed until the restart is complete.
 */
#include <stdlib.h>

#include "engine_internal.h"

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
	config->abort_on_order = settings->abort_on_order;
	config->pieces = (uint32_t)settings->pieces;
	config->batch_max = (uint32_t)settings->batch;
	config->queue_max = (uint32_t)settings->queue;
	config->chunk_tokens = (uint32_t)settings->chunk;
	config->prefill_us = settings->prefill_us;
	config->step_us = settings->step_us;
	config->request_us = settings->request_us;
	config->role_downtime = settings->role_downtime;
	config->load_downtime = settings->load_downtime;
	config->restart_downtime = settings->restart_downtime;
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
	standin->handlers.disconnected = engine_on_disconnect;
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
	if (settings->crash_next_reconfig)
		dff_engine_model_crash_next_reconfig(engine.model);
	engine.client = dff_httpc_new(engine.standin.ctx, engine.standin.loop);
	engine.outputs = g_array_new(FALSE, TRUE, sizeof(dff_engine_out_t));
	engine.generations = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, engine_free_generation);
	(void)uv_timer_init(engine.standin.loop, &engine.timer);
	engine.timer.data = &engine;
	err = standin_start(&engine.standin);
	if (err == 0)
		(void)uv_run(engine.standin.loop, UV_RUN_DEFAULT);
	g_hash_table_unref(engine.generations);
	standin_drop(&engine.standin);
	dff_httpc_drop(engine.client);
	dff_engine_model_drop(engine.model);
	g_array_unref(engine.outputs);
	dff_ctx_drop(engine.standin.ctx);
	return err == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
	settings_t s = {0};
	const dff_setting_t settings[] = {
	    {"addr", DFF_SETTING_ADDR, &s.addr, NULL, 0, 0, NULL, NULL,
		"address to listen on"},
	    {"id", DFF_SETTING_TEXT, &s.id, "engine", 0, 0, NULL, NULL,
		"VM id"},
	    {"domain", DFF_SETTING_TEXT, &s.domain, "a", 0, 0, NULL, NULL,
		"failure domain"},
	    {"platform", DFF_SETTING_TEXT, &s.platform, "", 0, 0, NULL, NULL,
		"address of the weight store; without one, weights are "
		"loaded at once"},
	    {"role", DFF_SETTING_CHOICE, &s.role, "mixed", 0, 0,
		"mixed|prefill|decode", NULL, "role at the start"},
	    {"model", DFF_SETTING_TEXT, &s.model, "model", 0, 0, NULL, NULL,
		"model loaded at the start"},
	    {"model-version", DFF_SETTING_INT, &s.model_version, "1", 1, 1e9,
		NULL, NULL, "version of that model"},
	    {"poison", DFF_SETTING_TEXT, &s.poison, "", 0, 0, NULL, NULL,
		"a prompt that contains this text crashes the engine; "
		"without one, no prompt does"},
	    {"incarnation", DFF_SETTING_INT, &s.incarnation, "0", 0, 9e15, NULL,
		NULL, "incarnation of this process; 0: from the wall clock"},
	    {"check-fence", DFF_SETTING_FLAG, &s.check_fence, "false", 0, 0,
		NULL, NULL, "refuse orders with an old fencing number"},
	    {"cut-on-order", DFF_SETTING_FLAG, &s.abort_on_order, "false", 0, 0,
		NULL, NULL, "an order aborts running requests"},
	    {"crash-in-change", DFF_SETTING_FLAG, &s.crash_next_reconfig,
		"false", 0, 0, NULL, NULL, "crash during the first change"},
	    {"pieces", DFF_SETTING_INT, &s.pieces, "1000", 1, 1e7, NULL,
		"pieces", "memory for KV cache"},
	    {"batch", DFF_SETTING_INT, &s.batch, "32", 1, 10000, NULL,
		"requests", "maximum number of requests in the batch"},
	    {"queue", DFF_SETTING_INT, &s.queue, "256", 1, 100000, NULL,
		"requests",
		"maximum number of requests that wait for the batch"},
	    {"chunk", DFF_SETTING_INT, &s.chunk, "512", 1, 1e6, NULL, "tokens",
		"maximum number of prompt tokens prefilled in one step"},
	    {"prefill-us", DFF_SETTING_REAL, &s.prefill_us, "60", 0, 1e6, NULL,
		"us", "time to prefill one token"},
	    {"step-us", DFF_SETTING_REAL, &s.step_us, "12000", 1, 1e7, NULL,
		"us", "time of a step with an empty batch"},
	    {"request-us", DFF_SETTING_REAL, &s.request_us, "400", 0, 1e6, NULL,
		"us", "time that each decoding request adds to a step"},
	    {"role-away", DFF_SETTING_MSEC, &s.role_downtime, "4000", 0, 600000,
		NULL, "ms", "time out of service for a role change"},
	    {"load-away", DFF_SETTING_MSEC, &s.load_downtime, "15000", 0,
		600000, NULL, "ms", "time out of service for loading weights"},
	    {"restart-away", DFF_SETTING_MSEC, &s.restart_downtime, "10000", 0,
		600000, NULL, "ms", "time out of service after a crash"},
	    {"report-lag", DFF_SETTING_MSEC, &s.report_lag, "500", 0, 60000,
		NULL, "ms", "age of load reports"},
	    {"cache-lag", DFF_SETTING_MSEC, &s.cache_lag, "1000", 0, 60000,
		NULL, "ms", "age of cache events"},
	    {"cache-loss", DFF_SETTING_REAL, &s.cache_loss, "0.02", 0, 1, NULL,
		"share", "fraction of cache events that are lost"},
	    {"output-mean", DFF_SETTING_INT, &s.output_mean, "0", 0, 1e6, NULL,
		"tokens",
		"mean length of answers that end before max_tokens; "
		"0: none do"},
	    {"seed", DFF_SETTING_INT, &s.seed, "1", 0, 4294967295.0, NULL, NULL,
		"seed of its random numbers"},
	    {"drain-time", DFF_SETTING_MSEC, &s.drain_time, "30000", 0, 600000,
		NULL, "ms", "time limit of a graceful stop"},
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
