#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* Program that deploy/system.toml names, and its template of settings. */
#define EDGE_PROGRAM  "target/dff-edge"
#define EDGE_TEMPLATE "deploy/settings.conf"
/* Receive buffer of a caller on a slow link, in bytes, and its segments. */
#define SMALL_BUFFER 4096
#define SMALL_SEGMENT 1460
/* Time between two records of a worker. */
#define BEAT_MS 1200
/* Time in which the store answers. */
#define STORE_MS 4
/* Most bytes of a page of log-read without maxKb. */
#define PAGE_KB 1024
#define TOPICS_MAX 16
#define PIDS_MAX 32
#define NEWEST_MAX 500

static FILE *record;
static double started;
static bool ending; /* nothing more is recorded */
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pid_t pids[PIDS_MAX];
static size_t pid_count;
static char folder[] = "/tmp/dff-review-XXXXXX";

/* ---- time and record ---- */

static double
now_ms(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

double
rig_ms(void)
{
	return now_ms() - started;
}

void
rig_sleep_ms(double ms)
{
	struct timespec ts;

	if (ms <= 0)
		return;
	ts.tv_sec = (time_t)(ms / 1e3);
	ts.tv_nsec = (long)((ms - (double)ts.tv_sec * 1e3) * 1e6);
	while (nanosleep(&ts, &ts) != 0 && errno == EINTR)
		;
}

void
rig_sleep_until(double ms)
{
	rig_sleep_ms(ms - rig_ms());
}

static void
write_line(const char *format, va_list args)
{
	(void)fprintf(record, "%9.1f ", rig_ms());
	(void)vfprintf(record, format, args);
	(void)fputc('\n', record);
}

void
rig_record(const char *format, ...)
{
	va_list args;

	(void)pthread_mutex_lock(&record_lock);
	va_start(args, format);
	if (!ending)
		write_line(format, args);
	va_end(args);
	(void)pthread_mutex_unlock(&record_lock);
}
void
rig_thread(void *(*run)(void *arg), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	(void)pthread_attr_init(&attr);
	(void)pthread_attr_setstacksize(&attr, (size_t)1 << 20);
	(void)pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, run, arg) != 0) {
		rig_record("cannot start a thread");
		rig_end(RIG_FAILED);
	}
	(void)pthread_attr_destroy(&attr);
}

static void
remove_folder(void)
{
	char path[600];

	(void)snprintf(path, sizeof(path), "%s/settings", folder);
	(void)unlink(path);
	(void)snprintf(path, sizeof(path), "%s/log", folder);
	(void)unlink(path);
	(void)rmdir(folder);
}

void
rig_end(int status)
{
	static pthread_mutex_t once = PTHREAD_MUTEX_INITIALIZER;

	(void)pthread_mutex_lock(&once);
	rig_record("end status=%d", status);
	(void)pthread_mutex_lock(&record_lock);
	ending = true;
	(void)fflush(record);
	(void)pthread_mutex_unlock(&record_lock);
	for (size_t i = 0; i < pid_count; i++) {
		if (pids[i] <= 0)
			continue;
		(void)kill(pids[i], SIGKILL);
		(void)waitpid(pids[i], NULL, 0);
	}
	remove_folder();
	_exit(status);
}

static void *
run_watchdog(void *arg)
{
	(void)arg;
	rig_sleep_ms(RIG_TIME_MAX * 1e3);
	rig_record("the case took too long");
	rig_end(RIG_FAILED);
}

bool
rig_begin(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	bool played = trouble == NULL || strcmp(trouble, "0") != 0;

	started = now_ms();
	record = argc > 1 ? fopen(argv[1], "w") : NULL;
	if (record == NULL || mkdtemp(folder) == NULL) {
		(void)fprintf(stderr, "usage: %s RECORD\n", argv[0]);
		exit(RIG_FAILED);
	}
	(void)signal(SIGPIPE, SIG_IGN);
	rig_thread(run_watchdog, NULL);
	rig_record("begin trouble=%d", played);
	return played;
}

/* ---- connections ---- */

static int
listen_on(int *port)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
	    listen(fd, 1024) != 0 ||
	    getsockname(fd, (struct sockaddr *)&sa, &len) != 0) {
		rig_record("cannot listen error=%s", strerror(errno));
		rig_end(RIG_FAILED);
	}
	*port = ntohs(sa.sin_port);
	return fd;
}

/* A port that nobody uses at this moment. */
static int
free_port(void)
{
	int port;
	int fd = listen_on(&port);

	(void)close(fd);
	return port;
}

static rig_conn_t *
new_conn(int fd)
{
	static unsigned long serials;
	rig_conn_t *conn = calloc(1, sizeof(*conn));
	int one = 1;

	conn->fd = fd;
	conn->serial = __atomic_add_fetch(&serials, 1, __ATOMIC_RELAXED);
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return conn;
}

rig_conn_t *
rig_connect(int port, bool small)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	    .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int buffer = SMALL_BUFFER;
	int segment = SMALL_SEGMENT;

	if (fd < 0)
		return NULL;
	if (small) {
		(void)setsockopt(
		    fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
		(void)setsockopt(
		    fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	}
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
		(void)close(fd);
		return NULL;
	}
	return new_conn(fd);
}

void
rig_close(rig_conn_t *conn)
{
	if (conn == NULL)
		return;
	(void)close(conn->fd);
	free(conn);
}

bool
rig_write(rig_conn_t *conn, const void *bytes, size_t len)
{
	const char *at = bytes;

	while (len > 0) {
		ssize_t sent = send(conn->fd, at, len, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		at += sent;
		len -= (size_t)sent;
	}
	return true;
}

/* Waits for bytes until a time of rig_ms(); 0 waits for ever. */
static bool
fill(rig_conn_t *conn, double until)
{
	struct pollfd poll_fd = {.fd = conn->fd, .events = POLLIN};
	ssize_t got;

	if (until > 0) {
		double left = until - rig_ms();

		if (left <= 0 || poll(&poll_fd, 1, (int)left + 1) <= 0)
			return false;
	}
	got = recv(conn->fd, conn->buf, sizeof(conn->buf), 0);
	if (got <= 0)
		return false;
	conn->at = 0;
	conn->len = (size_t)got;
	return true;
}

static int
next_byte(rig_conn_t *conn, double until)
{
	if (conn->at == conn->len && !fill(conn, until))
		return -1;
	return (unsigned char)conn->buf[conn->at++];
}

static bool
read_line(rig_conn_t *conn, char *line, size_t size, double until)
{
	size_t len = 0;
	int byte;

	while ((byte = next_byte(conn, until)) >= 0 && byte != '\n') {
		if (byte != '\r' && len + 1 < size)
			line[len++] = (char)byte;
	}
	line[len] = '\0';
	return byte == '\n';
}

static bool
read_bytes(rig_conn_t *conn, rig_message_t *message, size_t len, double until)
{
	message->body = realloc(message->body, message->body_len + len + 1);
	while (len > 0) {
		size_t part;

		if (conn->at == conn->len && !fill(conn, until))
			return false;
		part = conn->len - conn->at < len ? conn->len - conn->at : len;
		memcpy(message->body + message->body_len, conn->buf + conn->at,
		    part);
		conn->at += part;
		message->body_len += part;
		message->body[message->body_len] = '\0';
		len -= part;
	}
	return true;
}

const char *
rig_field(
    const rig_message_t *message, const char *name, char *value, size_t size)
{
	size_t name_len = strlen(name);
	const char *line = strchr(message->head, '\n');

	value[0] = '\0';
	while (line != NULL && *++line != '\0') {
		const char *end = strchr(line, '\n');
		size_t len = end != NULL ? (size_t)(end - line) : strlen(line);

		if (len > name_len && line[name_len] == ':' &&
		    strncasecmp(line, name, name_len) == 0) {
			const char *at = line + name_len + 1;

			at += strspn(at, " ");
			len -= (size_t)(at - line);
			if (len >= size)
				len = size - 1;
			memcpy(value, at, len);
			value[len] = '\0';
			return value;
		}
		line = end;
	}
	return value;
}

void
rig_message_clear(rig_message_t *message)
{
	free(message->body);
	message->body = NULL;
	message->body_len = 0;
	message->head[0] = '\0';
	message->status = 0;
	message->complete = false;
}

static bool
read_head(rig_conn_t *conn, rig_message_t *message, double until)
{
	char line[20000];
	size_t len = 0;

	rig_message_clear(message);
	for (;;) {
		size_t line_len;

		if (!read_line(conn, line, sizeof(line), until))
			return false;
		line_len = strlen(line);
		if (line_len == 0 && len == 0)
			continue;
		if (line_len == 0)
			return true;
		if (len + line_len + 2 > sizeof(message->head))
			return false;
		len += (size_t)sprintf(message->head + len, "%s\n", line);
	}
}

static bool
read_chunks(rig_conn_t *conn, rig_message_t *message, double until)
{
	char line[64];
	size_t size;

	do {
		if (!read_line(conn, line, sizeof(line), until))
			return false;
		size = strtoul(line, NULL, 16);
		if (!read_bytes(conn, message, size, until) ||
		    !read_line(conn, line, sizeof(line), until))
			return false;
	} while (size > 0);
	return true;
}

static bool
read_body(rig_conn_t *conn, rig_message_t *message, double until)
{
	char value[64];

	if (*rig_field(message, "Content-Length", value, sizeof(value)) != '\0')
		return read_bytes(
		    conn, message, strtoul(value, NULL, 10), until);
	if (strcasecmp(rig_field(message, "Transfer-Encoding", value,
			   sizeof(value)),
		"chunked") == 0)
		return read_chunks(conn, message, until);
	return true;
}

bool
rig_read_answer(rig_conn_t *conn, rig_message_t *answer, int timeout_ms)
{
	double until = rig_ms() + timeout_ms;

	if (!read_head(conn, answer, until) ||
	    sscanf(answer->head, "%*s %d", &answer->status) != 1)
		return false;
	answer->complete = read_body(conn, answer, until);
	return true;
}

static bool
read_request(rig_conn_t *conn, rig_message_t *request)
{
	return read_head(conn, request, 0) &&
	    sscanf(request->head, "%31s %1023s", request->method,
		request->target) == 2 &&
	    read_body(conn, request, 0);
}

bool
rig_answer(rig_conn_t *conn, int status, const char *fields, const void *body,
    size_t len)
{
	char head[2048];
	int head_len = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d Answer\r\nContent-Length: %zu\r\n%s\r\n", status, len,
	    fields);

	return rig_write(conn, head, (size_t)head_len) &&
	    (len == 0 || rig_write(conn, body, len));
}

/* A server: one thread for its listener and one for each connection. */
typedef struct server {
	int fd;
	void *arg;
	bool (*handle)(void *arg, rig_conn_t *conn, const rig_message_t *);
} server_t;

typedef struct served {
	server_t *server;
	rig_conn_t *conn;
} served_t;

static void *
run_served(void *arg)
{
	served_t *served = arg;
	rig_message_t *request = calloc(1, sizeof(*request));

	while (read_request(served->conn, request) &&
	    served->server->handle(served->server->arg, served->conn, request))
		;
	rig_message_clear(request);
	free(request);
	rig_close(served->conn);
	free(served);
	return NULL;
}

static void *
run_server(void *arg)
{
	server_t *server = arg;
	int fd;

	while ((fd = accept4(server->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		served_t *served = calloc(1, sizeof(*served));

		served->server = server;
		served->conn = new_conn(fd);
		rig_thread(run_served, served);
	}
	return NULL;
}

static int
serve(bool (*handle)(void *arg, rig_conn_t *conn, const rig_message_t *),
    void *arg)
{
	server_t *server = calloc(1, sizeof(*server));
	int port;

	server->fd = listen_on(&port);
	server->handle = handle;
	server->arg = arg;
	rig_thread(run_server, server);
	return port;
}

/* ---- the store ---- */

typedef struct log_record {
	unsigned char *bytes;
	size_t len;
} log_record_t;

typedef struct topic {
	char name[64];
	log_record_t *records;
	size_t count;
	size_t room;
	size_t copied; /* records in the copy */
} topic_t;

static struct {
	pthread_mutex_t lock;
	pthread_cond_t added;
	topic_t topics[TOPICS_MAX];
	size_t count;
	unsigned era;
	bool away;
} store = {.lock = PTHREAD_MUTEX_INITIALIZER,
    .added = PTHREAD_COND_INITIALIZER,
    .era = 1};

/* With the lock held. */
static topic_t *
find_topic(const char *name)
{
	topic_t *topic;

	for (size_t i = 0; i < store.count; i++) {
		if (strcmp(store.topics[i].name, name) == 0)
			return &store.topics[i];
	}
	if (store.count == TOPICS_MAX)
		rig_end(RIG_FAILED);
	topic = &store.topics[store.count++];
	(void)snprintf(topic->name, sizeof(topic->name), "%s", name);
	return topic;
}

/* With the lock held. */
static void
append_record(topic_t *topic, const void *bytes, size_t len)
{
	log_record_t *record_added;

	if (topic->count == topic->room) {
		topic->room = topic->room * 2 + 64;
		topic->records = realloc(
		    topic->records, topic->room * sizeof(*topic->records));
	}
	record_added = &topic->records[topic->count++];
	record_added->bytes = malloc(len + 1);
	memcpy(record_added->bytes, bytes, len);
	record_added->len = len;
	(void)pthread_cond_broadcast(&store.added);
}

void
rig_store_put(const char *topic, const char *key, const char *value)
{
	size_t key_len = strlen(key);
	size_t len = 1 + key_len + strlen(value);
	char *bytes = malloc(len + 1);

	bytes[0] = (char)key_len;
	(void)sprintf(bytes + 1, "%s%s", key, value);
	(void)pthread_mutex_lock(&store.lock);
	append_record(find_topic(topic), bytes, len);
	(void)pthread_mutex_unlock(&store.lock);
	free(bytes);
}

void
rig_store_copy(void)
{
	(void)pthread_mutex_lock(&store.lock);
	for (size_t i = 0; i < store.count; i++)
		store.topics[i].copied = store.topics[i].count;
	(void)pthread_mutex_unlock(&store.lock);
}

void
rig_store_away(bool away)
{
	(void)pthread_mutex_lock(&store.lock);
	store.away = away;
	(void)pthread_cond_broadcast(&store.added);
	(void)pthread_mutex_unlock(&store.lock);
}

void
rig_store_return(void)
{
	(void)pthread_mutex_lock(&store.lock);
	for (size_t i = 0; i < store.count; i++)
		store.topics[i].count = store.topics[i].copied;
	store.era++;
	(void)pthread_mutex_unlock(&store.lock);
}

/* Answers with the store's era. */
static bool
store_answer(rig_conn_t *conn, int status, const void *body, size_t len)
{
	char fields[64];
	bool away;

	(void)pthread_mutex_lock(&store.lock);
	away = store.away;
	(void)snprintf(
	    fields, sizeof(fields), "Store-Era: %u\r\n", store.era);
	(void)pthread_mutex_unlock(&store.lock);
	return !away && rig_answer(conn, status, fields, body, len);
}

static const char *
query(const char *target, const char *name, char *value, size_t size)
{
	const char *at = strchr(target, '?');
	size_t name_len = strlen(name);

	value[0] = '\0';
	while (at != NULL) {
		at++;
		if (strncmp(at, name, name_len) == 0 && at[name_len] == '=') {
			size_t len = strcspn(at + name_len + 1, "&");

			if (len >= size)
				len = size - 1;
			memcpy(value, at + name_len + 1, len);
			value[len] = '\0';
			return value;
		}
		at = strchr(at, '&');
	}
	return value;
}

static void
put_number(unsigned char *bytes, uint64_t number, int size)
{
	for (int i = size - 1; i >= 0; i--) {
		bytes[i] = (unsigned char)number;
		number >>= 8;
	}
}

static bool
store_append(rig_conn_t *conn, const rig_message_t *request)
{
	char name[64];
	char at[32];
	char text[128];
	size_t pos = 0;
	size_t offset;
	topic_t *topic;

	(void)query(request->target, "topic", name, sizeof(name));
	(void)query(request->target, "at", at, sizeof(at));
	(void)pthread_mutex_lock(&store.lock);
	topic = find_topic(name);
	offset = topic->count;
	if (*at != '\0' && strtoul(at, NULL, 10) != offset) {
		(void)pthread_mutex_unlock(&store.lock);
		(void)snprintf(
		    text, sizeof(text), "{\"endOffset\":%zu}", offset);
		return store_answer(conn, 412, text, strlen(text));
	}
	while (pos + 4 <= request->body_len) {
		const unsigned char *head =
		    (const unsigned char *)request->body + pos;
		size_t len = (size_t)head[0] << 24 | (size_t)head[1] << 16 |
		    (size_t)head[2] << 8 | head[3];

		if (len > request->body_len - pos - 4)
			break;
		append_record(topic, head + 4, len);
		pos += 4 + len;
	}
	(void)snprintf(text, sizeof(text), "{\"offset\":%zu,\"endOffset\":%zu}",
	    offset, topic->count);
	(void)pthread_mutex_unlock(&store.lock);
	return store_answer(conn, 200, text, strlen(text));
}

/* Waits until the topic has a record at @from or the time is over; with the
 * lock held. */
static void
wait_for_record(const topic_t *topic, size_t from, double wait_ms)
{
	struct timespec until;

	(void)clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += (long)((long)wait_ms % 1000 * 1000000);
	until.tv_sec += (time_t)(wait_ms / 1e3) + until.tv_nsec / 1000000000;
	until.tv_nsec %= 1000000000;
	while (topic->count <= from && !store.away &&
	    pthread_cond_timedwait(&store.added, &store.lock, &until) == 0)
		;
}

static bool
store_read(rig_conn_t *conn, const rig_message_t *request)
{
	char name[64];
	char text[32];
	size_t from;
	size_t most;
	size_t len = 16;
	unsigned char *page = malloc(16);
	topic_t *topic;
	bool sent;

	(void)query(request->target, "topic", name, sizeof(name));
	from = strtoul(
	    query(request->target, "from", text, sizeof(text)), NULL, 10);
	most = strtoul(
	    query(request->target, "maxKb", text, sizeof(text)), NULL, 10);
	most = (most > 0 ? most : PAGE_KB) * 1024;
	(void)query(request->target, "waitMs", text, sizeof(text));
	(void)pthread_mutex_lock(&store.lock);
	topic = find_topic(name);
	if (*text != '\0')
		wait_for_record(topic, from, strtod(text, NULL));
	put_number(page, topic->count, 8);
	put_number(page + 8, 0, 8);
	for (size_t i = from; i < topic->count; i++) {
		const log_record_t *row = &topic->records[i];

		if (i > from && len - 16 + 4 + row->len > most)
			break;
		page = realloc(page, len + 4 + row->len);
		put_number(page + len, row->len, 4);
		memcpy(page + len + 4, row->bytes, row->len);
		len += 4 + row->len;
	}
	(void)pthread_mutex_unlock(&store.lock);
	sent = store_answer(conn, 200, page, len);
	free(page);
	return sent;
}

static size_t
encode_base64(const unsigned char *bytes, size_t len, char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmn"
				     "opqrstuvwxyz0123456789+/";
	size_t at = 0;

	for (size_t i = 0; i < len; i += 3) {
		unsigned number = (unsigned)bytes[i] << 16 |
		    (i + 1 < len ? (unsigned)bytes[i + 1] << 8 : 0) |
		    (i + 2 < len ? bytes[i + 2] : 0);

		text[at++] = digits[number >> 18 & 63];
		text[at++] = digits[number >> 12 & 63];
		text[at++] = i + 1 < len ? digits[number >> 6 & 63] : '=';
		text[at++] = i + 2 < len ? digits[number & 63] : '=';
	}
	text[at] = '\0';
	return at;
}

static bool
same_key(const log_record_t *a, const log_record_t *b)
{
	return a->bytes[0] == b->bytes[0] &&
	    memcmp(a->bytes + 1, b->bytes + 1, a->bytes[0]) == 0;
}

/* The newest record of each key; these topics have few keys. */
static bool
store_newest(rig_conn_t *conn, const rig_message_t *request)
{
	char name[64];
	size_t len = 0;
	char *text = malloc(64);
	topic_t *topic;
	bool first = true;
	bool sent;

	(void)query(request->target, "topic", name, sizeof(name));
	(void)pthread_mutex_lock(&store.lock);
	topic = find_topic(name);
	len = (size_t)sprintf(text, "{\"items\":[");
	for (size_t i = 0; i < topic->count; i++) {
		const log_record_t *row = &topic->records[i];
		size_t key_len;
		bool newest = row->len > 0;

		for (size_t j = i + 1; newest && j < topic->count; j++)
			newest = !same_key(row, &topic->records[j]);
		key_len = newest ? row->bytes[0] : 0;
		if (!newest || row->len <= 1 + key_len)
			continue;
		text = realloc(text, len + 2 * row->len + 512);
		len += (size_t)sprintf(text + len,
		    "%s{\"key\":\"%.*s\",\"value\":\"", first ? "" : ",",
		    (int)key_len, (const char *)row->bytes + 1);
		len += encode_base64(row->bytes + 1 + key_len,
		    row->len - 1 - key_len, text + len);
		len += (size_t)sprintf(text + len, "\",\"offset\":%zu}", i);
		first = false;
	}
	text = realloc(text, len + 128);
	len += (size_t)sprintf(text + len,
	    "],\"hasMore\":false,\"endOffset\":%zu}", topic->count);
	(void)pthread_mutex_unlock(&store.lock);
	sent = store_answer(conn, 200, text, len);
	free(text);
	return sent;
}

static bool
handle_store(void *arg, rig_conn_t *conn, const rig_message_t *request)
{
	(void)arg;
	rig_sleep_ms(STORE_MS);
	if (store.away)
		return false;
	if (strncmp(request->target, "/log-append?", 12) == 0)
		return store_append(conn, request);
	if (strncmp(request->target, "/log-read?", 10) == 0)
		return store_read(conn, request);
	if (strncmp(request->target, "/log-newest?", 12) == 0)
		return store_newest(conn, request);
	return store_answer(conn, 404, "", 0);
}

int
rig_store_start(void)
{
	return serve(handle_store, NULL);
}

/* ---- the proxy ---- */

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	bool cut;
} proxy = {PTHREAD_MUTEX_INITIALIZER, PTHREAD_COND_INITIALIZER, false};

typedef struct pipe_end {
	int from;
	int to;
} pipe_end_t;

typedef struct proxy_listener {
	int fd;
	int port;
} proxy_listener_t;

void
rig_proxy_cut(bool cut)
{
	(void)pthread_mutex_lock(&proxy.lock);
	proxy.cut = cut;
	(void)pthread_cond_broadcast(&proxy.changed);
	(void)pthread_mutex_unlock(&proxy.lock);
}

static void
wait_for_link(void)
{
	(void)pthread_mutex_lock(&proxy.lock);
	while (proxy.cut)
		(void)pthread_cond_wait(&proxy.changed, &proxy.lock);
	(void)pthread_mutex_unlock(&proxy.lock);
}

static void *
run_pipe(void *arg)
{
	pipe_end_t end = *(pipe_end_t *)arg;
	char bytes[16384];
	ssize_t got;

	free(arg);
	while ((got = recv(end.from, bytes, sizeof(bytes), 0)) > 0) {
		ssize_t sent = 0;

		wait_for_link();
		while (sent < got) {
			ssize_t part = send(end.to, bytes + sent,
			    (size_t)(got - sent), MSG_NOSIGNAL);

			if (part <= 0)
				break;
			sent += part;
		}
		if (sent < got)
			break;
	}
	wait_for_link();
	(void)shutdown(end.from, SHUT_RDWR);
	(void)shutdown(end.to, SHUT_RDWR);
	return NULL;
}

static void
start_pipe(int from, int to)
{
	pipe_end_t *end = calloc(1, sizeof(*end));

	end->from = from;
	end->to = to;
	rig_thread(run_pipe, end);
}

static void *
run_proxy(void *arg)
{
	proxy_listener_t *listener = arg;
	int fd;

	while ((fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		rig_conn_t *conn = rig_connect(listener->port, false);

		if (conn == NULL) {
			(void)close(fd);
			continue;
		}
		start_pipe(fd, conn->fd);
		start_pipe(conn->fd, fd);
	}
	return NULL;
}

int
rig_proxy_start(int port)
{
	proxy_listener_t *listener = calloc(1, sizeof(*listener));
	int own;

	listener->fd = listen_on(&own);
	listener->port = port;
	rig_thread(run_proxy, listener);
	return own;
}

/* ---- workers ---- */

static void
beat(rig_worker_t *worker)
{
	char value[1024];
	int len = snprintf(value, sizeof(value),
	    "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
	    "\"zone\":\"zone-a\",\"version\":\"v1\",\"capacitySlots\":%d,"
	    "\"state\":\"ready\",\"coldLeftMs\":0,\"seqNo\":%u,\"born\":%llu",
	    worker->service, worker->port, worker->slots, ++worker->seq,
	    (unsigned long long)worker->born);

	if (worker->stage != NULL)
		len += snprintf(value + len, sizeof(value) - (size_t)len,
		    ",\"stage\":\"%s\",\"models\":[{\"name\":\"m\","
		    "\"version\":1,\"adapters\":[]}]",
		    worker->stage);
	(void)snprintf(value + len, sizeof(value) - (size_t)len, "}");
	rig_store_put("keyed.servers", worker->id, value);
}

static void *
run_beats(void *arg)
{
	for (;;) {
		rig_sleep_ms(BEAT_MS);
		beat(arg);
	}
	return NULL;
}

static bool
answer_report(const rig_worker_t *worker, rig_conn_t *conn)
{
	char text[512];
	int len = snprintf(text, sizeof(text),
	    "{\"stage\":\"%s\",\"models\":[{\"name\":\"m\",\"version\":1,"
	    "\"adapters\":[]}],\"busy\":false,\"seqNo\":0,\"queued\":0,"
	    "\"active\":0,\"kvUsed\":0,\"kvTotal\":514669,\"kvHandles\":0,"
	    "\"born\":%llu}",
	    worker->stage != NULL ? worker->stage : "decode",
	    (unsigned long long)worker->born);

	return rig_answer(conn, 200, "Content-Type: application/json\r\n", text,
	    (size_t)len);
}

static bool
handle_worker(void *arg, rig_conn_t *conn, const rig_message_t *request)
{
	static const char list[] = "{\"epoch\":1,\"next\":0,\"held\":[]}";
	rig_worker_t *worker = arg;
	char expected[64];

	(void)rig_field(
	    request, "X-Expect-Instance", expected, sizeof(expected));
	if (*expected != '\0' && strcmp(expected, worker->id) != 0)
		return rig_answer(conn, 421, "X-Not-Executed: 1\r\n", "", 0);
	if (strcmp(request->target, "/kv-list") == 0)
		return rig_answer(conn, 200,
		    "Content-Type: application/json\r\n", list,
		    sizeof(list) - 1);
	if (strcmp(request->target, "/report") == 0)
		return answer_report(worker, conn);
	if (strncmp(request->target, "/kv-handle/", 11) == 0)
		return rig_answer(conn, 200, "", "", 0);
	return worker->run(worker, conn, request);
}

rig_worker_t *
rig_worker_start(const char *id, const char *service, const char *stage,
    int slots, rig_run_fn run)
{
	rig_worker_t *worker = calloc(1, sizeof(*worker));
	struct timespec ts;

	(void)snprintf(worker->id, sizeof(worker->id), "%s", id);
	(void)snprintf(worker->service, sizeof(worker->service), "%s", service);
	worker->stage = stage;
	worker->slots = slots;
	worker->run = run;
	(void)clock_gettime(CLOCK_REALTIME, &ts);
	worker->born =
	    (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
	worker->port = serve(handle_worker, worker);
	beat(worker);
	rig_thread(run_beats, worker);
	return worker;
}

bool
rig_answer_run(rig_worker_t *worker, rig_conn_t *conn,
    const rig_message_t *request, const void *body, size_t len)
{
	char id[128];
	char fields[512];

	(void)rig_field(request, "X-Attempt-Id", id, sizeof(id));
	(void)snprintf(fields, sizeof(fields),
	    "X-Attempt-Id: %s\r\nX-Server-Stamp: %s.%s\r\n", id, worker->id,
	    id);
	return rig_answer(conn, 200, fields, body, len);
}

/* ---- dff-edge ---- */

static const char *
find_value(const rig_value_t *values, const char *name)
{
	for (; values != NULL && values->name != NULL; values++) {
		if (strcmp(values->name, name) == 0)
			return values->value;
	}
	return NULL;
}

/* Fills in the template: only plain placeholders are used there. */
static void
write_settings(const char *path, const rig_value_t *values,
    const rig_value_t *defaults)
{
	FILE *in = fopen(EDGE_TEMPLATE, "r");
	FILE *out = fopen(path, "w");
	char line[1024];

	if (in == NULL || out == NULL) {
		rig_record("cannot write settings error=%s", strerror(errno));
		rig_end(RIG_FAILED);
	}
	while (fgets(line, sizeof(line), in) != NULL) {
		char *at = line;
		char *open;

		while ((open = strstr(at, "{{")) != NULL) {
			char *close_at = strstr(open, "}}");
			const char *value;

			if (close_at == NULL)
				break;
			*open = '\0';
			*close_at = '\0';
			value = find_value(values, open + 2);
			if (value == NULL)
				value = find_value(defaults, open + 2);
			(void)fprintf(
			    out, "%s%s", at, value != NULL ? value : "");
			at = close_at + 2;
		}
		(void)fputs(at, out);
	}
	(void)fclose(in);
	(void)fclose(out);
}

static void
start_process(rig_edge_t *edge, const char *log)
{
	pid_t parent = getpid();

	edge->pid = fork();
	if (edge->pid == 0) {
		FILE *out = freopen(log, "a", stdout);

		(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (out == NULL || getppid() != parent ||
		    dup2(STDOUT_FILENO, STDERR_FILENO) < 0)
			_exit(RIG_FAILED);
		(void)setenv("DRAGONFLYFALL_BOOT", edge->settings, 1);
		(void)execl(EDGE_PROGRAM, EDGE_PROGRAM, (char *)NULL);
		_exit(RIG_FAILED);
	}
	if (edge->pid < 0 || pid_count == PIDS_MAX)
		rig_end(RIG_FAILED);
	pids[pid_count++] = edge->pid;
}

void
rig_edge_start(rig_edge_t *edge, int store_port, const rig_value_t *values)
{
	char front[32], ready[32], control[32], store_addr[32], ports[2][16];
	char log[600];
	const rig_value_t defaults[] = {{"nodeName", "edge-zone-a-1"},
	    {"zone", "zone-a"}, {"listenAddrs.frontAddr", front},
	    {"listenAddrs.ready", ready}, {"listenAddrs.controlPlane", control},
	    {"bindIp", "127.0.0.1"}, {"portRange.0", ports[0]},
	    {"portRange.1", ports[1]}, {"seedNodes", control},
	    {"platform.address", store_addr}, {"platform.writesPerS", "400"},
	    {"bounds.graceS", "8"}, {"bounds.budgetWindowS", "10"},
	    {"bounds.retryBudgetRatio", "0.2"}, {"bounds.budgetSlack", "54"},
	    {"bounds.configApplyMs", "2000"}, {"limits.linkMbps", "1000.0"},
	    {"bootstrap", "true"}, {"bounds.fenceRequired", "true"},
	    {"bounds.leaseMs", "3000"}, {"bounds.thawMs", "300"},
	    {"limits.memoryMb", "260"}, {"limits.maxFds", "4100"},
	    {NULL, NULL}};

	edge->front = free_port();
	edge->ready = free_port();
	edge->control = free_port();
	(void)snprintf(front, sizeof(front), "127.0.0.1:%d", edge->front);
	(void)snprintf(ready, sizeof(ready), "127.0.0.1:%d", edge->ready);
	(void)snprintf(control, sizeof(control), "127.0.0.1:%d", edge->control);
	(void)snprintf(
	    store_addr, sizeof(store_addr), "127.0.0.1:%d", store_port);
	(void)snprintf(ports[0], sizeof(ports[0]), "%d", free_port());
	(void)snprintf(ports[1], sizeof(ports[1]), "%d", free_port());
	(void)snprintf(edge->settings, sizeof(edge->settings), "%s/settings",
	    folder);
	(void)snprintf(log, sizeof(log), "%s/log", folder);
	write_settings(edge->settings, values, defaults);
	start_process(edge, log);
	rig_record("edge started pid=%d front=%d", (int)edge->pid, edge->front);
}

void
rig_edge_restart(rig_edge_t *edge)
{
	char log[600];

	(void)snprintf(log, sizeof(log), "%s/log", folder);
	start_process(edge, log);
	rig_record("edge started again pid=%d", (int)edge->pid);
}

bool
rig_edge_wait_ready(const rig_edge_t *edge, int timeout_ms)
{
	static const char text[] = "GET /ready HTTP/1.1\r\nHost: edge\r\n\r\n";
	double until = rig_ms() + timeout_ms;
	rig_message_t *answer = calloc(1, sizeof(*answer));
	bool is_ready = false;

	while (!is_ready && rig_ms() < until) {
		rig_conn_t *conn = rig_connect(edge->ready, false);

		is_ready = conn != NULL &&
		    rig_write(conn, text, sizeof(text) - 1) &&
		    rig_read_answer(conn, answer, 1000) &&
		    answer->status == 200;
		rig_close(conn);
		if (!is_ready)
			rig_sleep_ms(50);
	}
	rig_message_clear(answer);
	free(answer);
	rig_record("edge is ready=%d", is_ready);
	return is_ready;
}

bool
rig_edge_wait_exit(rig_edge_t *edge, int timeout_ms)
{
	double until = rig_ms() + timeout_ms;

	do {
		if (waitpid(edge->pid, NULL, WNOHANG) != 0) {
			for (size_t i = 0; i < pid_count; i++) {
				if (pids[i] == edge->pid)
					pids[i] = 0;
			}
			rig_record("edge has ended pid=%d", (int)edge->pid);
			return true;
		}
		rig_sleep_ms(5);
	} while (rig_ms() < until);
	return false;
}
