/*
 * The log and the VM list behind links, and the shell's part towards them:
 * long polls, retries, and appends whose answers do not come.
 */
#include <errno.h>
#include <string.h>

#include "parts.h"

/* The longest wait of a read for a record. */
#define READ_WAIT (2 * DFF_SEC)
/* Silence after which a read counts as failed. */
#define READ_SILENCE (5 * DFF_SEC)
/* Pause before a read that failed is sent again. */
#define READ_AGAIN (500 * DFF_MSEC)
/* Records in one answer. */
#define READ_MAX 64
/* Silence after which an append's outcome is unknown. */
#define APPEND_SILENCE (3 * DFF_SEC)
/* How often the VM list is read. */
#define VMS_EVERY (1 * DFF_SEC)

typedef struct read_record {
	uint64_t offset;
	uint64_t time_ms;
	GBytes *bytes;
} read_record_t;

static void
clear_record(gpointer data)
{
	g_bytes_unref(((read_record_t *)data)->bytes);
}

/* A parcel that answers another one. */
static parcel_t *
answer_to(const parcel_t *question)
{
	parcel_t *answer = g_new0(parcel_t, 1);

	answer->node = question->node;
	answer->epoch = question->epoch;
	answer->id = question->id;
	answer->stream = question->stream;
	answer->from = question->from;
	answer->asked = question->asked;
	return answer;
}

static void
send_answer(dff_world_t *world, parcel_t *answer, arrive_fn fn)
{
	dff_time_t slow = world->slow;

	world->now += slow;
	world_send(world, &world->platform, &answer->node->place, answer->node,
	    fn, answer);
	world->now -= slow;
}

/* ---- reads of the log ---- */

static void ask(dff_world_t *world, fake_node_t *node, dff_stream_t stream);

static void
on_ask_again(dff_world_t *world, parcel_t *parcel)
{
	if (parcel->id == parcel->node->follow[parcel->stream].generation)
		ask(world, parcel->node, parcel->stream);
}

static void
read_failed(dff_world_t *world, fake_node_t *node, dff_stream_t stream)
{
	dff_event_t event = {.type = DFF_EV_LOG_DOWN};
	follow_t *follow = &node->follow[stream];
	parcel_t *parcel;

	follow->generation = ++world->generations;
	parcel = parcel_new(node);
	parcel->id = follow->generation;
	parcel->stream = stream;
	world_timer(world, node, READ_AGAIN, on_ask_again, parcel);
	event.u.log_down.stream = stream;
	node_feed(world, node, &event);
}

static void
feed_record(dff_world_t *world, parcel_t *parcel, const read_record_t *record)
{
	dff_event_t event = {.type = DFF_EV_LOG_RECORD};

	event.u.log_record.stream = parcel->stream;
	event.u.log_record.offset = record->offset;
	event.u.log_record.time_ms = record->time_ms;
	event.u.log_record.data =
	    g_bytes_get_data(record->bytes, &event.u.log_record.len);
	node_feed(world, parcel->node, &event);
}

static void
feed_head(dff_world_t *world, parcel_t *parcel)
{
	dff_event_t event = {.type = DFF_EV_LOG_HEAD};

	event.u.log_head.stream = parcel->stream;
	event.u.log_head.first = parcel->from;
	event.u.log_head.next = parcel->number;
	event.u.log_head.sent_at = node_clock(parcel->node, parcel->asked);
	node_feed(world, parcel->node, &event);
}

static void
on_read_answer(dff_world_t *world, parcel_t *parcel)
{
	fake_node_t *node = parcel->node;
	follow_t *follow = &node->follow[parcel->stream];

	if (parcel->id != follow->generation)
		return;
	if (parcel->code < 0) {
		read_failed(world, node, parcel->stream);
		return;
	}
	for (guint i = 0; i < parcel->list->len; i++) {
		const read_record_t *record;

		record = &g_array_index(parcel->list, read_record_t, i);
		feed_record(world, parcel, record);
		/* The node may want to read on elsewhere, or have ended. */
		if (node->node == NULL || parcel->id != follow->generation)
			return;
		follow->from = record->offset + 1;
	}
	feed_head(world, parcel);
	if (node->node != NULL && parcel->id == follow->generation)
		ask(world, node, parcel->stream);
}

static void
add_records(dff_world_t *world, const parcel_t *question, parcel_t *answer)
{
	uint64_t offset = MAX(question->from, answer->from);
	dff_log_entry_t entry;

	answer->list = g_array_new(FALSE, FALSE, sizeof(read_record_t));
	g_array_set_clear_func(answer->list, clear_record);
	while (answer->list->len < READ_MAX &&
	    dff_log_model_get(world->log, question->stream, offset, &entry)) {
		read_record_t record = {
		    .offset = offset, .time_ms = entry.time_ms};

		record.bytes = g_bytes_new(entry.data, entry.len);
		g_array_append_val(answer->list, record);
		offset++;
	}
}

/* Return: true if the read was answered; else it waits for a record. */
static bool
answer_read(dff_world_t *world, const parcel_t *question, bool at_once)
{
	parcel_t *answer;
	dff_log_range_t range;
	dff_log_status_t status;

	status = dff_log_model_range(
	    world->log, question->stream, world->now, &range);
	if (status == DFF_LOG_OK && question->from >= range.next && !at_once)
		return false;
	answer = answer_to(question);
	if (status != DFF_LOG_OK)
		answer->code = -EIO;
	else {
		answer->from = range.first;
		answer->number = range.next;
		add_records(world, question, answer);
	}
	send_answer(world, answer, on_read_answer);
	return true;
}

static void
on_read_waited(dff_world_t *world, parcel_t *parcel)
{
	for (guint i = 0; i < world->readers->len; i++) {
		parcel_t *reader = g_ptr_array_index(world->readers, i);

		if (reader->id != parcel->id)
			continue;
		(void)answer_read(world, reader, true);
		g_ptr_array_remove_index(world->readers, i);
		return;
	}
}

static void
on_read(dff_world_t *world, parcel_t *parcel)
{
	parcel_t *copy;
	/* Nothing waits for the first record of a process: it must know its
	 * beginning. */
	bool at_once = parcel->code == 1;

	if (answer_read(world, parcel, at_once))
		return;
	copy = answer_to(parcel);
	g_ptr_array_add(world->readers, copy);
	copy = answer_to(parcel);
	world_timer(world, NULL, READ_WAIT, on_read_waited, copy);
}

static void
on_read_silence(dff_world_t *world, parcel_t *parcel)
{
	if (parcel->id == parcel->node->follow[parcel->stream].generation)
		read_failed(world, parcel->node, parcel->stream);
}

static void
ask(dff_world_t *world, fake_node_t *node, dff_stream_t stream)
{
	follow_t *follow = &node->follow[stream];
	parcel_t *question = parcel_new(node);
	parcel_t *silence;

	question->code = follow->generation == 0;
	follow->generation = ++world->generations;
	question->id = follow->generation;
	question->stream = stream;
	question->from = follow->from;
	question->asked = world->now;
	silence = answer_to(question);
	world_send(
	    world, &node->place, &world->platform, NULL, on_read, question);
	world_timer(world, node, READ_SILENCE, on_read_silence, silence);
}

void
platform_follow(
    dff_world_t *world, fake_node_t *node, dff_stream_t stream, uint64_t from)
{
	node->follow[stream].from = from;
	ask(world, node, stream);
}

void
platform_changed(dff_world_t *world)
{
	guint i = 0;

	check_log(world);
	while (i < world->readers->len) {
		const parcel_t *reader = g_ptr_array_index(world->readers, i);

		if (answer_read(world, reader, false))
			g_ptr_array_remove_index(world->readers, i);
		else
			i++;
	}
}

/* ---- appends ---- */

static void
append_ended(dff_world_t *world, parcel_t *parcel, dff_append_t outcome)
{
	dff_event_t event = {.type = DFF_EV_LOG_APPENDED};

	if (!g_hash_table_remove(parcel->node->appends, &parcel->id))
		return;
	event.u.log_appended.id = parcel->id;
	event.u.log_appended.outcome = outcome;
	event.u.log_appended.offset = parcel->from;
	node_feed(world, parcel->node, &event);
}

static void
on_append_answer(dff_world_t *world, parcel_t *parcel)
{
	append_ended(world, parcel, (dff_append_t)parcel->code);
}

static void
on_append_silence(dff_world_t *world, parcel_t *parcel)
{
	append_ended(world, parcel, DFF_APPEND_UNKNOWN);
}

static void
on_late_append(dff_world_t *world, parcel_t *parcel)
{
	(void)parcel;
	if (dff_log_model_advance(world->log, world->now) > 0)
		platform_changed(world);
}

static void
on_append(dff_world_t *world, parcel_t *parcel)
{
	parcel_t *answer = answer_to(parcel);
	dff_time_t late;
	const void *data;
	size_t len;

	data = g_bytes_get_data(parcel->bytes, &len);
	switch (dff_log_model_append(
	    world->log, parcel->stream, data, len, world->now, &answer->from)) {
	case DFF_LOG_OK:
		answer->code = DFF_APPEND_DONE;
		break;
	case DFF_LOG_RATE_LIMITED:
	case DFF_LOG_UNAVAILABLE:
		answer->code = DFF_APPEND_REFUSED;
		break;
	case DFF_LOG_NO_ANSWER:
		parcel_drop(answer);
		answer = NULL;
		break;
	}
	if (answer != NULL)
		send_answer(world, answer, on_append_answer);
	late = dff_log_model_next(world->log);
	if (late != DFF_TIME_NEVER)
		world_timer(
		    world, NULL, late - world->now, on_late_append, NULL);
	platform_changed(world);
}

void
platform_append(
    dff_world_t *world, fake_node_t *node, const dff_fx_log_append_t *append)
{
	parcel_t *parcel = parcel_new(node);
	parcel_t *silence = parcel_new(node);

	parcel->id = append->id;
	parcel->stream = append->stream;
	parcel->bytes = g_bytes_new(append->data, append->len);
	silence->id = append->id;
	g_hash_table_add(
	    node->appends, g_memdup2(&append->id, sizeof(uint64_t)));
	world_send(
	    world, &node->place, &world->platform, NULL, on_append, parcel);
	world_timer(world, node, APPEND_SILENCE, on_append_silence, silence);
}

/* ---- VM list ---- */

static void
note_leaving(dff_world_t *world, fake_node_t *node, const dff_vm_t *vm)
{
	dff_time_t *at;

	if (!vm->leaving) {
		g_hash_table_remove(node->told_leaving, vm->id);
		return;
	}
	if (g_hash_table_contains(node->told_leaving, vm->id))
		return;
	at = g_new(dff_time_t, 1);
	*at = world->now;
	g_hash_table_insert(node->told_leaving, g_strdup(vm->id), at);
}

static void
on_vms_answer(dff_world_t *world, parcel_t *parcel)
{
	dff_event_t event = {.type = DFF_EV_VM_LIST};
	const dff_vm_t *vms =
	    (const dff_vm_t *)(const void *)parcel->list->data;

	for (guint i = 0; i < parcel->list->len; i++)
		note_leaving(world, parcel->node, &vms[i]);
	event.u.vm_list.vms = vms;
	event.u.vm_list.count = parcel->list->len;
	node_feed(world, parcel->node, &event);
}

static void
on_vms(dff_world_t *world, parcel_t *parcel)
{
	parcel_t *answer = answer_to(parcel);
	const dff_vm_t *vms;
	size_t count;

	vms = dff_vms_model_read(world->vms, world->now, &count);
	answer->list = g_array_new(FALSE, FALSE, sizeof(dff_vm_t));
	if (count > 0)
		g_array_append_vals(answer->list, vms, (guint)count);
	send_answer(world, answer, on_vms_answer);
}

static void
on_poll(dff_world_t *world, parcel_t *parcel)
{
	platform_poll(world, parcel->node);
}

void
platform_poll(dff_world_t *world, fake_node_t *node)
{
	world_send(world, &node->place, &world->platform, NULL, on_vms,
	    parcel_new(node));
	world_timer(world, node, VMS_EVERY, on_poll, parcel_new(node));
}

/* ---- operators ---- */

static int
append_edit(
    dff_world_t *world, const char *edit_id, int64_t against, const char *text)
{
	dff_edit_t edit = {.edit_id = edit_id, .text = text, .author = "op"};
	dff_log_status_t status;
	uint64_t offset;
	uint8_t *data;
	int len;

	edit.against = against < 0 ? world->revision : (uint64_t)against;
	len = dff_edit_pack(&edit, &data);
	if (len < 0)
		return len;
	status = dff_log_model_append(world->log, DFF_STREAM_CATALOGUE, data,
	    (size_t)len, world->now, &offset);
	free(data);
	platform_changed(world);
	return status == DFF_LOG_OK ? 0 : -EAGAIN;
}

static char *
make_text(const dff_world_t *world, uint32_t limit, const char *model)
{
	char *hash = g_compute_checksum_for_string(
	    G_CHECKSUM_SHA256, DFF_WORLD_SECRET, -1);
	char *text;

	text = g_strdup_printf("[dragonflyfall]\nformat=1\n"
			       "[owner k]\nsecret_sha256=%s\nweight=1\n"
			       "max_running=%u\n"
			       "[class fast]\nfirst_token_ms=5000\n"
			       "token_gap_ms=2000\nwhole_ms=30000\npriority=0\n"
			       "[pool llm]\nkind=engine\nmodel=%s\nversion=1\n"
			       "fencing=%s\nroles=any\nrole_change_price=10\n"
			       "role_change_away_ms=4000\n"
			       "[pool ledger]\nkind=service\n"
			       "[entry chat]\nowner=k\nclass=fast\npool=llm\n"
			       "max_prompt_tokens=8000\n"
			       "max_output_tokens=400\n"
			       "[entry pay]\nowner=k\nclass=fast\n"
			       "pool=ledger\npath=/pay\nmay_repeat=false\n"
			       "retry_window_ms=600000\n"
			       "[entry stock]\nowner=k\nclass=fast\n"
			       "pool=ledger\npath=/stock\n%s",
	    hash, limit, model,
	    world->config.engine.check_fence ? "checked" : "ignored",
	    limit == 0 ? "nonsense=1\n" : "");
	g_free(hash);
	return text;
}

int
dff_world_edit(
    dff_world_t *world, const char *edit_id, int64_t against, uint32_t limit)
{
	char *text = make_text(world, limit, world->model);
	int err = append_edit(world, edit_id, against, text);

	g_free(text);
	return err;
}

int
dff_world_edit_model(dff_world_t *world, const char *edit_id, const char *model)
{
	char *text = make_text(world, 100, model);
	int err = append_edit(world, edit_id, -1, text);

	g_free(text);
	if (err == 0) {
		g_free(world->model);
		world->model = g_strdup(model);
	}
	return err;
}

int
dff_world_garbage(dff_world_t *world, dff_stream_t stream)
{
	static const uint8_t junk[] = {0xff, 0x00, 0x17, 0x80, 0x80, 0x80};
	uint64_t offset;
	dff_log_status_t status;

	status = dff_log_model_append(
	    world->log, stream, junk, sizeof(junk), world->now, &offset);
	platform_changed(world);
	return status == DFF_LOG_OK ? 0 : -EAGAIN;
}

uint64_t
dff_world_revision(const dff_world_t *world)
{
	return world->revision;
}
