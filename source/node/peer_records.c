/*
 * Log records for peers that cannot read the log. A record and its offset are
 * the same from every source, so any peer may send them.
 */
#include "peers.h"

#include <stdlib.h>

/* Maximum number of records in one answer to a peer. */
#define RECORDS_MAX 64
/* Bytes of records in one answer to a peer; a single record may be larger. */
#define RECORDS_BYTES_MAX (512 * 1024)

static void
request_records(dff_node_t *node, const dff_member_t *peer, dff_stream_t id,
    uint64_t from, dff_effects_t *fx)
{
	Dff__RecordsWanted wanted = DFF__RECORDS_WANTED__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;

	wanted.stream = id;
	wanted.from = from;
	frame.body_case = DFF__FRAME__BODY_WANTED;
	frame.wanted = &wanted;
	send_frame(node, peer, &frame, false, fx);
}

/* Requests the missing records of streams that this node cannot read. */
void
peer_records_request(
    dff_node_t *node, const dff_member_t *peer, dff_effects_t *fx)
{
	for (int i = 0; i < DFF_STREAM_COUNT; i++) {
		const stream_t *stream = &node->streams[i];

		if (!stream->followed || !stream->down)
			continue;
		if (peer->offsets[i] > stream_applied(node, (dff_stream_t)i))
			request_records(node, peer, (dff_stream_t)i,
			    stream->has_base ?
				stream_applied(node, (dff_stream_t)i) + 1 :
				0,
			    fx);
	}
}

void
peer_records_request_snapshot(dff_node_t *node, const dff_member_t *peer,
    dff_stream_t id, dff_effects_t *fx)
{
	request_records(node, peer, id, 0, fx);
}

static void
send_snapshot(dff_ctx_t *ctx, dff_node_t *node, const dff_member_t *peer,
    dff_stream_t id, dff_effects_t *fx)
{
	Dff__PeerRecord record = DFF__PEER_RECORD__INIT;
	Dff__PeerRecord *list[] = {&record};
	Dff__Records records = DFF__RECORDS__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;
	uint8_t *data = NULL;
	int len;

	len = stream_save(ctx, node, id, &data);
	if (len < 0)
		return;
	record.stream = id;
	record.data.data = data;
	record.data.len = (size_t)len;
	records.n_records = 1;
	records.records = list;
	frame.body_case = DFF__FRAME__BODY_RECORDS;
	frame.records = &records;
	send_frame(node, peer, &frame, false, fx);
	free(data);
}

static void
send_records(dff_node_t *node, const dff_member_t *peer, dff_stream_t id,
    uint64_t from, dff_effects_t *fx)
{
	Dff__PeerRecord rows[RECORDS_MAX];
	Dff__PeerRecord *list[RECORDS_MAX];
	Dff__Records records = DFF__RECORDS__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;
	size_t bytes = 0;
	size_t count = 0;

	for (GList *at = node->streams[id].recent.head; at != NULL;
	     at = at->next) {
		const recent_record_t *recent = at->data;
		Dff__PeerRecord *row = &rows[count];
		gsize size;

		if (recent->offset < from)
			continue;
		dff__peer_record__init(row);
		row->stream = id;
		row->offset = recent->offset;
		row->time_ms = recent->time_ms;
		row->data.data =
		    (uint8_t *)(uintptr_t)g_bytes_get_data(recent->data, &size);
		row->data.len = size;
		bytes += size;
		if (count > 0 && bytes > RECORDS_BYTES_MAX)
			break;
		list[count++] = row;
		if (count == RECORDS_MAX)
			break;
	}
	if (count == 0)
		return;
	records.n_records = count;
	records.records = list;
	frame.body_case = DFF__FRAME__BODY_RECORDS;
	frame.records = &records;
	send_frame(node, peer, &frame, false, fx);
}

static bool
has_records_from(const stream_t *stream, uint64_t from)
{
	const recent_record_t *oldest;

	oldest = g_queue_peek_head((GQueue *)(uintptr_t)&stream->recent);
	return oldest != NULL && oldest->offset <= from;
}

void
peer_records_answer(dff_ctx_t *ctx, dff_node_t *node, const dff_member_t *peer,
    const Dff__RecordsWanted *wanted, dff_effects_t *fx)
{
	dff_stream_t id;

	if (wanted->stream >= DFF_STREAM_COUNT)
		return;
	id = (dff_stream_t)wanted->stream;
	if (!node->streams[id].has_base ||
	    stream_applied(node, id) < wanted->from)
		return;
	if (wanted->from != 0 &&
	    has_records_from(&node->streams[id], wanted->from))
		send_records(node, peer, id, wanted->from, fx);
	else
		send_snapshot(ctx, node, peer, id, fx);
}

void
peer_records_receive(dff_ctx_t *ctx, dff_node_t *node,
    const Dff__Records *records, dff_time_t now, dff_effects_t *fx)
{
	for (size_t i = 0; i < records->n_records; i++) {
		const Dff__PeerRecord *record = records->records[i];
		dff_ev_log_record_t ev = {
		    .stream = (dff_stream_t)record->stream,
		    .offset = record->offset,
		    .data = record->data.data,
		    .len = record->data.len,
		    .time_ms = record->time_ms,
		    .from_peer = true};

		if (record->stream >= DFF_STREAM_COUNT)
			continue;
		if (record->offset == 0)
			stream_load_snapshot(
			    ctx, node, ev.stream, ev.data, ev.len, now, fx);
		else
			stream_record(ctx, node, &ev, now, fx);
	}
}
