/**
 * @file bench_relay.c
 * @brief Measures the latency of calls and the rate of concurrent streams.
 *
 * script/bench-relay starts the processes and runs this program against an
 * engine directly and through a router, to find the overhead of the router.
 *   bench_relay latency engine|router PORT CALLS
 *   bench_relay streams engine|router PORT STREAMS TOKENS
 * Each run prints one line of figures.
 */
#include "clock.h"
#include "http_client.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BODY_BYTES 512
#define THREAD_STACK_BYTES (128 * 1024)
#define READ_TIMEOUT_MS 5000

/** The API of a server that generates tokens. */
typedef struct {
    const char *path;
    const char *header;
    void (*body)(char *out, size_t size, int id, int tokens, int stream);
} target_t;

static void
engine_body(char *out, size_t size, int id, int tokens, int stream)
{
    snprintf(
        out, size,
        "{\"request_id\":\"b%d\",\"version\":\"drafting/small-1\","
        "\"prompt\":\"bench %d length=%d\",\"max_tokens\":%d,\"stream\":%s}",
        id, id, tokens, tokens, stream ? "true" : "false");
}

static void
router_body(char *out, size_t size, int id, int tokens, int stream)
{
    snprintf(out, size,
             "{\"model\":\"drafting\",\"messages\":[{\"role\":\"user\","
             "\"content\":\"bench %d "
             "length=%d\"}],\"max_tokens\":%d,\"stream\":%s}",
             id, tokens, tokens, stream ? "true" : "false");
}

static const target_t engine = {"/generate", "X-Bench: 1", engine_body};
static const target_t router = {
    "/v1/chat/completions", "Authorization: Bearer office-key", router_body};

static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

static int
call_once(pps_http_client_t *client, const target_t *target, int port, int id)
{
    const char *headers[] = {"Content-Type: application/json", target->header};
    pps_http_response_t response = {0};
    pps_http_request_t request = {.headers = headers, .header_count = 2};
    char url[96];
    char body[BODY_BYTES];
    int status;

    snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", port, target->path);
    target->body(body, sizeof(body), id, 1, target == &engine);
    request.url = url;
    request.body = body;
    request.body_size = strlen(body);
    if (pps_http_client_call(&response, client, &request) < 0) {
        return -1;
    }
    status = response.status;
    pps_http_response_clear(&response);
    return status == 200 ? 0 : -1;
}

static int
run_latency(const target_t *target, int port, int calls)
{
    int64_t *latencies_us = calloc((size_t)calls, sizeof(*latencies_us));
    pps_http_client_t *client;
    int failed = 0;

    if (latencies_us == NULL || pps_http_client_new(&client) < 0) {
        return 1;
    }
    for (int i = 0; i < calls; i++) {
        int64_t start = pps_clock_now_us();

        failed += call_once(client, target, port, i) < 0;
        latencies_us[i] = pps_clock_now_us() - start;
    }
    qsort(latencies_us, (size_t)calls, sizeof(*latencies_us), compare);
    printf("calls %d failed %d p50_us %lld p99_us %lld\n", calls, failed,
           (long long)latencies_us[calls / 2],
           (long long)latencies_us[calls * 99 / 100]);
    pps_http_client_free(client);
    free(latencies_us);
    return failed > 0;
}

/** State shared by all streams of a run. */
typedef struct {
    const target_t *target;
    int port;
    int tokens;
    atomic_int next_id;
    atomic_int complete;
    atomic_llong events;
    pps_http_client_t *client;
} streams_t;

static int
count_events(const char *text, int *complete)
{
    int count = 0;

    for (const char *at = text; (at = strstr(at, "data: ")) != NULL; at++) {
        count++;
    }
    *complete |= strstr(text, "data: [DONE]") != NULL;
    return count;
}

static void *
run_stream(void *user)
{
    streams_t *streams = user;
    const char *headers[] = {"Content-Type: application/json",
                             streams->target->header};
    pps_http_request_t request = {
        .headers = headers, .header_count = 2, .answer_timeout_ms = 30000};
    pps_http_stream_t *stream;
    pps_buf_t text = PPS_BUF_INIT;
    char url[96];
    char body[BODY_BYTES];
    int complete = 0;
    int result;

    snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", streams->port,
             streams->target->path);
    streams->target->body(body, sizeof(body),
                          atomic_fetch_add(&streams->next_id, 1),
                          streams->tokens, 1);
    request.url = url;
    request.body = body;
    request.body_size = strlen(body);
    if (pps_http_stream_open(&stream, streams->client, &request) < 0) {
        return NULL;
    }
    while ((result = pps_http_stream_read(stream, &text, READ_TIMEOUT_MS)) >
           0) {
        atomic_fetch_add(&streams->events,
                         count_events(pps_buf_text(&text), &complete));
        pps_buf_consume(&text, text.size);
    }
    atomic_fetch_add(&streams->complete, complete && result == 0);
    pps_buf_clear(&text);
    pps_http_stream_close(stream);
    return NULL;
}

static int
run_streams(const target_t *target, int port, int count, int tokens)
{
    streams_t streams = {.target = target, .port = port, .tokens = tokens};
    pthread_t *threads = calloc((size_t)count, sizeof(*threads));
    pthread_attr_t attributes;
    int64_t start = pps_clock_now_us();
    double seconds;

    if (threads == NULL || pps_http_client_new(&streams.client) < 0) {
        return 1;
    }
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, THREAD_STACK_BYTES);
    for (int i = 0; i < count; i++) {
        pthread_create(&threads[i], &attributes, run_stream, &streams);
    }
    for (int i = 0; i < count; i++) {
        pthread_join(threads[i], NULL);
    }
    seconds = (double)(pps_clock_now_us() - start) / PPS_US_PER_S;
    printf("streams %d whole %d events %lld seconds %.2f events_per_s %.0f\n",
           count, atomic_load(&streams.complete),
           (long long)atomic_load(&streams.events), seconds,
           (double)atomic_load(&streams.events) / seconds);
    pps_http_client_free(streams.client);
    free(threads);
    return atomic_load(&streams.complete) != count;
}

int
main(int argc, char **argv)
{
    const target_t *target;

    if (argc < 5) {
        fputs("see the head of bench_relay.c\n", stderr);
        return 2;
    }
    target = strcmp(argv[2], "engine") == 0 ? &engine : &router;
    if (strcmp(argv[1], "latency") == 0) {
        return run_latency(target, atoi(argv[3]), atoi(argv[4]));
    }
    return argc < 6 ? 2
                    : run_streams(target, atoi(argv[3]), atoi(argv[4]),
                                  atoi(argv[5]));
}
