/** @file stand.c @brief Store, workers, callers and process control. */
#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define STORE_IP "127.0.0.1"
#define PROGRAM "target/papayaswitch-entryd"
#define SETTINGS_ENV "PAPAYASWITCH_NODE_FILE"
#define RENEWAL_MS 400
#define RESTART_MS 500
#define MEMORY_PERIOD_MS 5
#define RECORDS_MAX 20000
#define TOPICS_MAX 16
#define RUN_LIMIT_S 110

stand_t stand;

typedef struct {
    char key[STAND_TEXT];
    char *value; /* NULL: deletes the key */
    size_t size;
} record_t;

typedef struct {
    char name[STAND_TEXT];
    record_t records[RECORDS_MAX];
    size_t count;
} topic_t;

static topic_t *topics[TOPICS_MAX];
static int topic_count;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t host_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *record_file;
static int64_t began_us;
static volatile int is_ending;
static char new_version[STAND_TEXT] = "v1";

int64_t
stand_now_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

void
stand_sleep_ms(int ms)
{
    struct timespec left = {ms / 1000, (long)(ms % 1000) * 1000000};

    while (nanosleep(&left, &left) != 0 && errno == EINTR) {
    }
}

void
stand_record(const char *format, ...)
{
    va_list args;

    pthread_mutex_lock(&record_lock);
    fprintf(record_file, "%9.3f ",
            (double)(stand_now_us() - began_us) / 1000000);
    va_start(args, format);
    vfprintf(record_file, format, args);
    va_end(args);
    fputc('\n', record_file);
    fflush(record_file);
    pthread_mutex_unlock(&record_lock);
}

/* Removes the settings and logs, unless KEEP_LOGS is set. */
static void
remove_temp(void)
{
    if (getenv("KEEP_LOGS") != NULL) {
        stand_record("settings and logs are in the temporary folder");
        fprintf(stderr, "%s\n", stand.temp);
        return;
    }
    for (int i = 0; i < stand.host_count; i++) {
        unlink(stand.hosts[i].settings);
        unlink(stand.hosts[i].log);
    }
    rmdir(stand.temp);
}

void
stand_end(int code)
{
    is_ending = 1;
    pthread_mutex_lock(&host_lock);
    for (int i = 0; i < stand.host_count; i++) {
        if (stand.hosts[i].pid > 0) {
            kill(stand.hosts[i].pid, SIGKILL);
            waitpid(stand.hosts[i].pid, NULL, 0);
        }
    }
    stand_record("end, exit code %d", code);
    remove_temp();
    _exit(code);
}

static void
fail(const char *what)
{
    stand_record("the case could not run: %s (%s)", what, strerror(errno));
    stand_end(2);
}

int
stand_write(int fd, const void *data, size_t size)
{
    const char *at = data;

    while (size > 0) {
        ssize_t written = send(fd, at, size, MSG_NOSIGNAL);

        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return 0;
        }
        at += written;
        size -= (size_t)written;
    }
    return 1;
}

static void
set_nodelay(int fd)
{
    int on = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static int
listen_at(const char *ip, int port, int *bound)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};
    socklen_t size = sizeof(at);
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    inet_pton(AF_INET, ip, &at.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
        listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    getsockname(fd, (struct sockaddr *)&at, &size);
    *bound = ntohs(at.sin_port);
    return fd;
}

static void
start_thread(void *(*run)(void *), void *user)
{
    pthread_attr_t attributes;
    pthread_t thread;

    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, 256 * 1024);
    if (pthread_create(&thread, &attributes, run, user) != 0) {
        fail("no thread");
    }
}

/* ---- reading of HTTP messages ---- */

typedef struct {
    int fd;
    char buffer[65536];
    size_t size;
    size_t at;
} reader_t;

/* Reads more bytes; 0 at the end of the connection. */
static int
fill(reader_t *reader)
{
    ssize_t got;

    if (reader->at > 0) {
        memmove(reader->buffer, reader->buffer + reader->at,
                reader->size - reader->at);
        reader->size -= reader->at;
        reader->at = 0;
    }
    if (reader->size == sizeof(reader->buffer)) {
        return 0;
    }
    do {
        got = recv(reader->fd, reader->buffer + reader->size,
                   sizeof(reader->buffer) - reader->size, 0);
    } while (got < 0 && errno == EINTR);
    if (got <= 0) {
        return 0;
    }
    reader->size += (size_t)got;
    return 1;
}

/* Reads a head up to its blank line. @return it, to be freed, or NULL */
static char *
read_head(reader_t *reader)
{
    for (;;) {
        char *end = memmem(reader->buffer + reader->at,
                           reader->size - reader->at, "\r\n\r\n", 4);

        if (end != NULL) {
            size_t size = (size_t)(end + 2 - (reader->buffer + reader->at));
            char *head = strndup(reader->buffer + reader->at, size);

            reader->at += size + 2;
            return head;
        }
        if (!fill(reader)) {
            return NULL;
        }
    }
}

int
stand_header(const char *head, const char *name, char *out, size_t size)
{
    size_t length = strlen(name);
    const char *line = strstr(head, "\r\n");

    out[0] = '\0';
    while (line != NULL && line[2] != '\0') {
        line += 2;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            const char *value = line + length + 1;

            value += strspn(value, " ");
            snprintf(out, size, "%.*s", (int)strcspn(value, "\r"), value);
            return 1;
        }
        line = strstr(line, "\r\n");
    }
    return 0;
}

static size_t
take(reader_t *reader, char *out, size_t size)
{
    size_t done = 0;

    while (done < size) {
        size_t there = reader->size - reader->at;

        if (there == 0) {
            if (!fill(reader)) {
                break;
            }
            continue;
        }
        if (there > size - done) {
            there = size - done;
        }
        if (out != NULL) {
            memcpy(out + done, reader->buffer + reader->at, there);
        }
        reader->at += there;
        done += there;
    }
    return done;
}

/* Reads one line without its end. @return whether it is whole */
static int
read_line(reader_t *reader, char *out, size_t size)
{
    size_t length = 0;
    char byte;

    while (take(reader, &byte, 1) == 1) {
        if (byte == '\n') {
            out[length] = '\0';
            return 1;
        }
        if (byte != '\r' && length + 1 < size) {
            out[length++] = byte;
        }
    }
    return 0;
}

/* ---- store ---- */

static topic_t *
find_topic(const char *name)
{
    for (int i = 0; i < topic_count; i++) {
        if (strcmp(topics[i]->name, name) == 0) {
            return topics[i];
        }
    }
    if (topic_count == TOPICS_MAX) {
        fail("too many topics");
    }
    topics[topic_count] = calloc(1, sizeof(topic_t));
    snprintf(topics[topic_count]->name, STAND_TEXT, "%s", name);
    return topics[topic_count++];
}

static void
add_record(topic_t *topic, const char *key, size_t key_size,
           const char *value, size_t size)
{
    record_t *record = &topic->records[topic->count];

    if (topic->count == RECORDS_MAX) {
        fail("too many records");
    }
    snprintf(record->key, STAND_TEXT, "%.*s", (int)key_size, key);
    record->value = NULL;
    record->size = size;
    if (value != NULL && size > 0) {
        record->value = malloc(size);
        memcpy(record->value, value, size);
    }
    topic->count++;
}

void
stand_put(const char *topic, const char *key, const char *value)
{
    pthread_mutex_lock(&store_lock);
    add_record(find_topic(topic), key, strlen(key), value,
               value != NULL ? strlen(value) : 0);
    pthread_cond_broadcast(&store_changed);
    pthread_mutex_unlock(&store_lock);
}

int
stand_get(const char *topic, const char *key, char *out, size_t size)
{
    const topic_t *found;
    int is_found = 0;

    pthread_mutex_lock(&store_lock);
    found = find_topic(topic);
    for (size_t i = 0; i < found->count; i++) {
        const record_t *record = &found->records[i];

        if (strcmp(record->key, key) == 0) {
            is_found = record->value != NULL;
            snprintf(out, size, "%.*s", is_found ? (int)record->size : 0,
                     is_found ? record->value : "");
        }
    }
    pthread_mutex_unlock(&store_lock);
    return is_found;
}

static void
parameter(char *out, size_t size, const char *target, const char *name)
{
    char wanted[64];
    const char *found;

    snprintf(wanted, sizeof(wanted), "%s=", name);
    found = strstr(target, wanted);
    out[0] = '\0';
    if (found != NULL) {
        found += strlen(wanted);
        snprintf(out, size, "%.*s", (int)strcspn(found, "&"), found);
    }
}

static long
number(const char *target, const char *name, long fallback)
{
    char text[64];

    parameter(text, sizeof(text), target, name);
    return text[0] != '\0' ? strtol(text, NULL, 10) : fallback;
}

static void
respond(int fd, int status, const char *type, const char *body, size_t size)
{
    char head[256];
    int length = snprintf(head, sizeof(head),
                          "HTTP/1.1 %d X\r\nContent-Type: %s\r\n"
                          "Content-Length: %zu\r\n\r\n",
                          status, type, size);

    if (stand_write(fd, head, (size_t)length)) {
        stand_write(fd, body, size);
    }
}

static size_t
encode_base64(char *out, const unsigned char *data, size_t size)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
                                 "stuvwxyz0123456789+/";
    size_t at = 0;

    for (size_t i = 0; i < size; i += 3) {
        unsigned int bits = (unsigned int)data[i] << 16;

        bits |= i + 1 < size ? (unsigned int)data[i + 1] << 8 : 0;
        bits |= i + 2 < size ? data[i + 2] : 0;
        out[at++] = digits[bits >> 18];
        out[at++] = digits[bits >> 12 & 63];
        out[at++] = i + 1 < size ? digits[bits >> 6 & 63] : '=';
        out[at++] = i + 2 < size ? digits[bits & 63] : '=';
    }
    return at;
}

static int
is_newest(const topic_t *topic, size_t index)
{
    for (size_t i = index + 1; i < topic->count; i++) {
        if (strcmp(topic->records[i].key, topic->records[index].key) == 0) {
            return 0;
        }
    }
    return topic->records[index].value != NULL;
}

static void
answer_newest(int fd, const topic_t *topic)
{
    char *body = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&body, &size);
    const char *comma = "";

    fputs("{\"entries\":[", out);
    for (size_t i = 0; i < topic->count; i++) {
        const record_t *record = &topic->records[i];
        char *text;

        if (!is_newest(topic, i)) {
            continue;
        }
        text = malloc(record->size * 2 + 8);
        fprintf(out, "%s{\"key\":\"%s\",\"value\":\"%.*s\",\"offset\":%zu}",
                comma, record->key,
                (int)encode_base64(text, (unsigned char *)record->value,
                                   record->size),
                text, i);
        comma = ",";
        free(text);
    }
    fprintf(out, "],\"has_more\":false,\"end\":%zu}", topic->count);
    fclose(out);
    pthread_mutex_unlock(&store_lock);
    respond(fd, 200, "application/json", body, size);
    free(body);
}

static void
put_number(FILE *out, uint64_t value, int bytes)
{
    while (bytes-- > 0) {
        fputc((int)(value >> (8 * bytes) & 255), out);
    }
}

static void
answer_read(int fd, const topic_t *topic, size_t from)
{
    char *body = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&body, &size);

    put_number(out, topic->count, 8);
    put_number(out, 0, 8);
    for (size_t i = from; i < topic->count; i++) {
        const record_t *record = &topic->records[i];
        size_t key_size = strlen(record->key);

        put_number(out, 1 + key_size + record->size, 4);
        fputc((int)key_size, out);
        fwrite(record->key, 1, key_size, out);
        if (record->size > 0) {
            fwrite(record->value, 1, record->size, out);
        }
    }
    fclose(out);
    pthread_mutex_unlock(&store_lock);
    respond(fd, 200, "application/octet-stream", body, size);
    free(body);
}

static void
answer_append(int fd, topic_t *topic, const char *target, const char *body,
              size_t size)
{
    long at = number(target, "at", -1);
    size_t first = topic->count;
    size_t position = 0;
    char text[96];
    int length;

    if (at >= 0 && (size_t)at != topic->count) {
        length = snprintf(text, sizeof(text), "{\"end\":%zu}", topic->count);
        pthread_mutex_unlock(&store_lock);
        respond(fd, 412, "application/json", text, (size_t)length);
        return;
    }
    while (position + 5 <= size) {
        const unsigned char *data = (const unsigned char *)body + position;
        size_t record_size = (size_t)data[0] << 24 | (size_t)data[1] << 16 |
                             (size_t)data[2] << 8 | data[3];
        size_t key_size = data[4];

        if (record_size > size - position - 4 || key_size >= record_size + 1) {
            break;
        }
        add_record(topic, (const char *)data + 5, key_size,
                   (const char *)data + 5 + key_size,
                   record_size - 1 - key_size);
        position += 4 + record_size;
    }
    length = snprintf(text, sizeof(text), "{\"offset\":%zu,\"end\":%zu}",
                      first, topic->count);
    pthread_cond_broadcast(&store_changed);
    pthread_mutex_unlock(&store_lock);
    respond(fd, 200, "application/json", text, (size_t)length);
}

/* Waits until a topic has records from an offset on, or the time is over. */
static void
wait_for_records(const topic_t *topic, size_t from, long wait_ms)
{
    int64_t until_us = stand_now_us() + wait_ms * 1000;

    while (topic->count <= from && stand_now_us() < until_us) {
        struct timespec at;

        clock_gettime(CLOCK_REALTIME, &at);
        at.tv_nsec += 20 * 1000000;
        at.tv_sec += at.tv_nsec / 1000000000;
        at.tv_nsec %= 1000000000;
        pthread_cond_timedwait(&store_changed, &store_lock, &at);
    }
}

static void
answer_store(int fd, const char *target, const char *body, size_t size)
{
    char name[STAND_TEXT];
    topic_t *topic;

    parameter(name, sizeof(name), target, "topic");
    pthread_mutex_lock(&store_lock);
    topic = find_topic(name);
    if (strncmp(target, "/-/log-newest", 13) == 0) {
        answer_newest(fd, topic);
    }
    else if (strncmp(target, "/-/log-read", 11) == 0) {
        size_t from = (size_t)number(target, "from", 0);

        wait_for_records(topic, from, number(target, "wait_ms", 0));
        answer_read(fd, topic, from);
    }
    else if (strncmp(target, "/-/log-append", 13) == 0) {
        answer_append(fd, topic, target, body, size);
    }
    else {
        pthread_mutex_unlock(&store_lock);
        respond(fd, 404, "application/json", "{}", 2);
    }
}

static void *
serve_store(void *user)
{
    reader_t *reader = calloc(1, sizeof(*reader));
    char *head;

    reader->fd = (int)(intptr_t)user;
    while ((head = read_head(reader)) != NULL) {
        char target[512] = "";
        char text[32];
        size_t size;
        char *body;

        sscanf(head, "%*15s %511s", target);
        stand_header(head, "Content-Length", text, sizeof(text));
        size = strtoul(text, NULL, 10);
        body = malloc(size + 1);
        if (take(reader, body, size) == size) {
            answer_store(reader->fd, target, body, size);
        }
        free(body);
        free(head);
    }
    close(reader->fd);
    free(reader);
    return NULL;
}

static void *
accept_store(void *user)
{
    int listener = (int)(intptr_t)user;

    for (;;) {
        int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);

        if (fd >= 0) {
            set_nodelay(fd);
            start_thread(serve_store, (void *)(intptr_t)fd);
        }
    }
    return NULL;
}

/* ---- workers ---- */

typedef struct {
    stand_worker_t *worker;
    int fd;
} worker_conn_t;

static void *
serve_worker(void *user)
{
    worker_conn_t conn = *(worker_conn_t *)user;
    reader_t *reader = calloc(1, sizeof(*reader));
    int goes_on = 1;

    free(user);
    reader->fd = conn.fd;
    while (goes_on) {
        stand_request_t request = {.head = read_head(reader)};
        char text[32];

        if (request.head == NULL) {
            break;
        }
        sscanf(request.head, "%15s %255s", request.method, request.target);
        stand_header(request.head, "Content-Length", text, sizeof(text));
        request.body_size = strtoul(text, NULL, 10);
        request.body = malloc(request.body_size + 1);
        if (conn.worker->on_head != NULL) {
            conn.worker->on_head(conn.worker, request.head);
        }
        if (take(reader, request.body, request.body_size) !=
            request.body_size) {
            goes_on = 0;
        }
        else {
            goes_on = conn.worker->serve(conn.worker, conn.fd, &request);
        }
        free(request.body);
        free(request.head);
    }
    close(conn.fd);
    free(reader);
    return NULL;
}

static void *
accept_worker(void *user)
{
    stand_worker_t *worker = user;

    for (;;) {
        int fd = accept4(worker->listener, NULL, NULL, SOCK_CLOEXEC);
        worker_conn_t *conn;

        if (fd < 0) {
            continue;
        }
        conn = malloc(sizeof(*conn));
        set_nodelay(fd);
        *conn = (worker_conn_t){worker, fd};
        start_thread(serve_worker, conn);
    }
    return NULL;
}

static void
write_entry(stand_worker_t *worker)
{
    char text[1024];

    worker->sequence++;
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
             "\"version\":\"%s\",\"slots\":%d,\"state\":\"ready\","
             "\"cold_remaining_ms\":0,\"sequence\":%u,\"born\":%lld}",
             worker->service, worker->address, worker->zone, worker->version,
             worker->slots, worker->sequence, (long long)worker->born_ms);
    stand_put("keyed.servers", worker->id, text);
}

static void *
renew_entries(void *user)
{
    for (;;) {
        stand_sleep_ms(RENEWAL_MS);
        for (int i = 0; i < stand.worker_count; i++) {
            if (stand.workers[i].is_listed) {
                write_entry(&stand.workers[i]);
            }
        }
    }
    return NULL;
}

void
stand_new_version(const char *version)
{
    snprintf(new_version, sizeof(new_version), "%s", version);
}

stand_worker_t *
stand_add_worker(const char *service, const char *zone, int slots,
                 stand_serve_fn serve)
{
    stand_worker_t *worker = &stand.workers[stand.worker_count];
    struct timespec now;
    int port = 0;

    clock_gettime(CLOCK_REALTIME, &now);
    snprintf(worker->id, STAND_TEXT, "i-%s-%d", service, stand.worker_count);
    snprintf(worker->service, STAND_TEXT, "%s", service);
    snprintf(worker->zone, STAND_TEXT, "%s", zone);
    snprintf(worker->version, STAND_TEXT, "%s", new_version);
    worker->slots = slots;
    worker->serve = serve;
    worker->born_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    worker->listener = listen_at("127.0.0.1", 0, &port);
    if (worker->listener < 0) {
        fail("no port for a worker");
    }
    snprintf(worker->address, STAND_TEXT, "127.0.0.1:%d", port);
    worker->is_listed = 1;
    start_thread(accept_worker, worker);
    write_entry(worker);
    stand.worker_count++;
    return worker;
}

/* ---- hosts ---- */

static int
is_port_free(const char *ip, int port, int type)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    int is_free;

    inet_pton(AF_INET, ip, &at.sin_addr);
    is_free = bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0;
    close(fd);
    return is_free;
}

/* Finds a port that is free at all hosts' addresses. */
static int
find_port(void)
{
    static int next;

    if (next == 0) {
        next = 21000 + (int)(getpid() % 8000);
    }
    for (;; next++) {
        int is_free = 1;

        for (int i = 0; i < stand.host_count && is_free; i++) {
            is_free =
                is_port_free(stand.hosts[i].address, next, SOCK_STREAM) &&
                is_port_free(stand.hosts[i].address, next, SOCK_DGRAM);
        }
        if (is_free) {
            return next++;
        }
    }
}

/* Writes what deploy/host.ini.in becomes for a small deployment. */
static void
write_settings(const stand_host_t *host)
{
    FILE *out = fopen(host->settings, "w");

    if (out == NULL) {
        fail("no settings file");
    }
    fprintf(out,
            "[host]\nid = %s\naddress = %s\nfailure_domain = zona-uno\n"
            "grace_s = 8\nlink_mbps = 1000.0\nmemory_mb = %d\n\n",
            host->id, host->address, host->memory_mb);
    fprintf(out,
            "[listen]\ncallers = %s:%d\nreadiness = %s:%d\npeers = %s:%d\n"
            "metrics = %s:%d\n\n",
            host->address, stand.callers_port, host->address,
            stand.readiness_port, host->address, stand.peers_port,
            host->address, stand.metrics_port);
    fprintf(out, "[peers]\nseeds = ");
    for (int i = 0; i < stand.host_count && i < 3; i++) {
        fprintf(out, "%s%s:%d", i > 0 ? "," : "", stand.hosts[i].address,
                stand.peers_port);
    }
    fprintf(out,
            "\ngossip_port = %d\n\n[store]\naddress = %s\n\n[bounds]\n"
            "config_ms = 2000\ndrain_ms = 2000\n\n[repeats]\nratio = 0.9\n"
            "more = 52\nwindow_s = 10\n\n[rollout]\nexposure_share = 0.15\n"
            "exposure_more = 30\n\n[deployment]\ncontracts = base\n"
            "contracts = drain\ncontracts = config\ncontracts = cost\n"
            "contracts = retry\ncontracts = recover\ncontracts = engine\n"
            "contracts = stream\ncontracts = tenants\ncontracts = platform\n"
            "contracts = rollout\n",
            stand.gossip_port, stand.store_address);
    fclose(out);
}

static void
launch(stand_host_t *host)
{
    pid_t pid = fork();

    if (pid == 0) {
        int log =
            open(host->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setenv(SETTINGS_ENV, host->settings, 1);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execl(PROGRAM, PROGRAM, (char *)NULL);
        _exit(127);
    }
    host->pid = pid;
    stand_record("%s starts", host->id);
}

void
stand_start_host(int index)
{
    pthread_mutex_lock(&host_lock);
    launch(&stand.hosts[index]);
    pthread_mutex_unlock(&host_lock);
}

static long
resident_mb(pid_t pid)
{
    char path[64];
    long pages = 0;
    FILE *in;

    snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
    in = fopen(path, "re");
    if (in != NULL) {
        if (fscanf(in, "%*d %ld", &pages) != 1) {
            pages = 0;
        }
        fclose(in);
    }
    return pages * (sysconf(_SC_PAGESIZE) / 1024) / 1024;
}

/* Does to a host what the platform does: ends it over its memory, and starts
 * it again when it has ended. */
static void
watch_host(stand_host_t *host)
{
    int status;
    long mb;

    if (host->pid <= 0) {
        return;
    }
    mb = resident_mb(host->pid);
    host->peak_mb = mb > host->peak_mb ? mb : host->peak_mb;
    if (mb > host->memory_mb) {
        stand_record("%s has %ld MB, more than memory_mb = %d: the platform "
                     "kills it",
                     host->id, mb, host->memory_mb);
        host->memory_kills++;
        kill(host->pid, SIGKILL);
    }
    if (waitpid(host->pid, &status, WNOHANG) != host->pid) {
        return;
    }
    host->pid = 0;
    host->exits++;
    if (WIFSIGNALED(status)) {
        stand_record("%s ended by signal %d", host->id, WTERMSIG(status));
    }
    else {
        stand_record("%s ended with code %d", host->id, WEXITSTATUS(status));
    }
    if (!host->is_kept_down) {
        stand_sleep_ms(RESTART_MS);
        launch(host);
    }
}

static void *
watch_hosts(void *user)
{
    while (!is_ending) {
        pthread_mutex_lock(&host_lock);
        for (int i = 0; i < stand.host_count; i++) {
            watch_host(&stand.hosts[i]);
        }
        pthread_mutex_unlock(&host_lock);
        if (stand_now_us() - began_us > (int64_t)RUN_LIMIT_S * 1000000) {
            stand_record("the case took too long");
            stand_end(2);
        }
        stand_sleep_ms(MEMORY_PERIOD_MS);
    }
    return NULL;
}

void
stand_signal(int index, int signal_number)
{
    pthread_mutex_lock(&host_lock);
    stand_record("signal %d to %s", signal_number, stand.hosts[index].id);
    if (stand.hosts[index].pid > 0) {
        kill(stand.hosts[index].pid, signal_number);
    }
    pthread_mutex_unlock(&host_lock);
}

/* ---- callers ---- */

static int
connect_to(const char *ip, int port)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    inet_pton(AF_INET, ip, &at.sin_addr);
    if (connect(fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        close(fd);
        return -1;
    }
    set_nodelay(fd);
    return fd;
}

static void
keep(stand_answer_t *out, const char *data, size_t size)
{
    size_t room = sizeof(out->body) - 1;

    if (out->body_size < room) {
        size_t part =
            size < room - out->body_size ? size : room - out->body_size;

        memcpy(out->body + out->body_size, data, part);
        out->body[out->body_size + part] = '\0';
    }
    out->body_size += size;
}

static int
read_part(stand_answer_t *out, reader_t *reader, size_t size)
{
    char piece[8192];

    while (size > 0) {
        size_t wanted = size < sizeof(piece) ? size : sizeof(piece);

        if (take(reader, piece, wanted) != wanted) {
            return 0;
        }
        keep(out, piece, wanted);
        size -= wanted;
    }
    return 1;
}

static int
read_chunks(stand_answer_t *out, reader_t *reader)
{
    char line[128];

    while (read_line(reader, line, sizeof(line))) {
        size_t size = strtoul(line, NULL, 16);

        if (size == 0) {
            return read_line(reader, line, sizeof(line));
        }
        if (!read_part(out, reader, size) ||
            !read_line(reader, line, sizeof(line))) {
            return 0;
        }
    }
    return 0;
}

static void
read_answer(stand_answer_t *out, int fd)
{
    reader_t *reader = calloc(1, sizeof(*reader));
    char text[64];
    char *head;

    reader->fd = fd;
    head = read_head(reader);
    if (head != NULL) {
        sscanf(head, "%*s %d", &out->status);
        snprintf(out->head, sizeof(out->head), "%s", head);
        if (stand_header(head, "Transfer-Encoding", text, sizeof(text))) {
            out->is_complete = read_chunks(out, reader);
        }
        else {
            stand_header(head, "Content-Length", text, sizeof(text));
            out->is_complete =
                read_part(out, reader, strtoul(text, NULL, 10));
        }
        free(head);
    }
    free(reader);
}

int
stand_open(int host)
{
    return connect_to(stand.hosts[host].address, stand.callers_port);
}

static void
print_head(FILE *out, const stand_call_t *call)
{
    fprintf(out,
            "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
            "X-Deadline-Ms: %d\r\n%s",
            call->method, call->path, call->name, call->id, call->deadline_ms,
            call->fields != NULL ? call->fields : "");
    if (call->key != NULL) {
        fprintf(out, "Authorization: Token %s\r\n", call->key);
    }
    if (call->body != NULL) {
        fprintf(out, "Content-Length: %zu\r\n", call->body_size);
    }
    fprintf(out, "\r\n");
}

void
stand_call_on(stand_answer_t *out, int channel, const stand_call_t *call)
{
    struct timeval limit = {call->deadline_ms / 1000 + 1, 0};
    char *head = NULL;
    size_t size = 0;
    FILE *text = open_memstream(&head, &size);

    print_head(text, call);
    fclose(text);
    memset(out, 0, sizeof(*out));
    setsockopt(channel, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(channel, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    if (stand_write(channel, head, size) &&
        (call->body == NULL ||
         stand_write(channel, call->body, call->body_size))) {
        out->sent_us = stand_now_us();
    }
    read_answer(out, channel);
    out->ended_us = stand_now_us();
    free(head);
}

int
stand_wait_ready(int host, int timeout_ms)
{
    int64_t until_us = stand_now_us() + (int64_t)timeout_ms * 1000;
    static const char text[] =
        "GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";

    while (stand_now_us() < until_us) {
        int fd = connect_to(stand.hosts[host].address, stand.readiness_port);
        stand_answer_t answer = {0};

        if (fd >= 0) {
            if (stand_write(fd, text, sizeof(text) - 1)) {
                read_answer(&answer, fd);
            }
            close(fd);
        }
        if (answer.status == 200) {
            stand_record("%s is ready", stand.hosts[host].id);
            return 1;
        }
        stand_sleep_ms(100);
    }
    return 0;
}

/* ---- begin ---- */

void
stand_begin(const char *folder, int hosts, int memory_mb)
{
    const char *trouble = getenv("TROUBLE");
    char path[600];
    int port = 0;
    int listener;

    signal(SIGPIPE, SIG_IGN);
    began_us = stand_now_us();
    stand.has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    snprintf(stand.folder, sizeof(stand.folder), "%s", folder);
    snprintf(path, sizeof(path), "%s/record.txt", folder);
    record_file = fopen(path, "w");
    snprintf(stand.temp, sizeof(stand.temp), "/tmp/review-XXXXXX");
    if (record_file == NULL || mkdtemp(stand.temp) == NULL) {
        _exit(2);
    }
    stand_record("the disruption is %s", stand.has_trouble ? "on" : "off");
    listener = listen_at(STORE_IP, 0, &port);
    if (listener < 0 || access(PROGRAM, X_OK) != 0) {
        fail("no port for the store, or no " PROGRAM);
    }
    snprintf(stand.store_address, STAND_TEXT, STORE_IP ":%d", port);
    start_thread(accept_store, (void *)(intptr_t)listener);
    stand.host_count = hosts;
    for (int i = 0; i < hosts; i++) {
        stand_host_t *host = &stand.hosts[i];

        snprintf(host->id, STAND_TEXT, "front-zona-uno-%d", i + 1);
        snprintf(host->address, STAND_TEXT, "127.0.%d.%d",
                 1 + (int)(getpid() % 200), 11 + i);
        snprintf(host->settings, sizeof(host->settings), "%.400s/%s.ini",
                 stand.temp, host->id);
        snprintf(host->log, sizeof(host->log), "%.400s/%s.log", stand.temp,
                 host->id);
        host->memory_mb = memory_mb;
    }
    stand.callers_port = find_port();
    stand.readiness_port = find_port();
    stand.peers_port = find_port();
    stand.metrics_port = find_port();
    stand.gossip_port = find_port();
    for (int i = 0; i < hosts; i++) {
        write_settings(&stand.hosts[i]);
    }
    start_thread(renew_entries, NULL);
    start_thread(watch_hosts, NULL);
}
