/** @file test_exchange_flow.c @brief Streams whose callers stop to read. */
#include "clock.h"
#include "exchange_fixture.h"
#include "transport/tcp_write.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define EVENTS 300
/** What the first worker sends before the pause; more than the kernel takes.
 */
#define EVENTS_BEFORE 250
#define EVENT_BYTES 20000
#define HELD_BYTES_MAX (4U << 20)
/** Longer than a worker may be silent in a stream, here 2,250 ms. */
#define PAUSE_MS 2320
#define READ_MS 650
#define WINDOW_BYTES 16384
/** Most that may wait for one caller: the window, an event and what is read at
 * once. */
#define WAITING_BYTES_MAX ((256U << 10) + EVENT_BYTES + (32U << 10))

typedef struct {
    const char *name;
    int is_cut;      /* the worker cuts its connection in the pause */
    size_t requests; /* at all workers */
} flow_case_t;

static const flow_case_t cases[] = {
    {"the worker waits", 0, 1},
    {"the worker cuts off a reader that is too slow", 1, 2},
};

static void
write_events(pps_buf_t *out, int first, int last)
{
    char filler[EVENT_BYTES];

    memset(filler, 'x', sizeof(filler));
    for (int i = first; i <= last; i++) {
        char begin[32];
        int size = snprintf(begin, sizeof(begin), "id: %d\ndata: ", i);

        pps_buf_printf(out, "%x\r\n%s%.*s\n\n\r\n", EVENT_BYTES, begin,
                       EVENT_BYTES - size - 2, filler);
    }
}

static void
on_client_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    net_client_t *client = stream->data;

    if (size > 0) {
        pps_buf_append(&client->got, buffer->base, (size_t)size);
    }
    if (size < 0) {
        client->ended = 1;
        net_client_close(client);
    }
}

/** Returns the number of events that came once and in order. */
static int
count_events(const net_client_t *client)
{
    const char *text = pps_buf_text(&client->got);
    char mark[32];
    int count = 0;

    for (;;) {
        snprintf(mark, sizeof(mark), "\nid: %d\n", count + 1);
        text = strstr(text, mark);
        if (text == NULL) {
            return count;
        }
        text += strlen(mark);
        count++;
    }
}

static size_t
count_text(const net_client_t *client, const char *mark)
{
    const char *text = pps_buf_text(&client->got);
    size_t count = 0;

    while ((text = strstr(text, mark)) != NULL) {
        count++;
        text += strlen(mark);
    }
    return count;
}

/** The stream in parts. */
typedef struct {
    pps_buf_t begin; /* head and the events before the pause */
    pps_buf_t end;   /* the other events */
    pps_buf_t whole;
} stream_t;

/* Lets the worker go on, or cut its connection, after the pause. */
static void
end_pause(const flow_case_t *item, fixture_t *fixture, const stream_t *stream,
          const net_answer_t *whole)
{
    int served_by_second = fixture->workers[1].requests > 0;

    fixture->workers[!served_by_second].script = whole;
    if (item->is_cut) {
        net_server_reset(&fixture->workers[served_by_second]);
        return;
    }
    net_server_send(&fixture->workers[served_by_second], stream->end.data,
                    stream->end.size);
}

static void
run_case(const flow_case_t *item, const stream_t *stream)
{
    const net_answer_t begin = {stream->begin.data, NET_KEEP};
    const net_answer_t whole = {stream->whole.data, NET_KEEP};
    static fixture_t fixture;
    net_client_t client;
    int window = WINDOW_BYTES;
    size_t waiting = 0;

    fixture_start(&fixture, &begin, 1);
    fixture.dispatcher.held.max = HELD_BYTES_MAX;
    pps_pool_remove(fixture.dispatcher.pool, "w2");
    fixture_request(&fixture, &client, "/stream/", "");
    uv_recv_buffer_size((uv_handle_t *)&client.tcp, &window);
    net_run_until(&fixture.reactor, &client.got.size, 1, PAUSE_MS);
    uv_read_stop((uv_stream_t *)&client.tcp);
    for (int waited = 0; waited < PAUSE_MS; waited += 50) {
        size_t now = pps_http_server_queued_bytes(fixture.callers);

        waiting = now > waiting ? now : waiting;
        net_run_for(&fixture.reactor, 50);
    }
    cr_expect_leq(waiting, WAITING_BYTES_MAX, "%s: %zu", item->name, waiting);
    cr_expect_eq(fixture_request_count(&fixture), 1, "%s: asked again",
                 item->name);
    end_pause(item, &fixture, stream, &whole);
    uv_read_start((uv_stream_t *)&client.tcp, pps_tcp_get_read_buffer,
                  on_client_read);
    net_run_until_ended(&fixture.reactor, &client, READ_MS);
    cr_expect_eq(count_events(&client), EVENTS, "%s: %d events", item->name,
                 count_events(&client));
    cr_expect_eq(count_text(&client, "\nid: "), EVENTS, "%s: %zu ids",
                 item->name, count_text(&client, "\nid: "));
    cr_expect_eq(count_text(&client, "\r\n0\r\n\r\n"), 1, "%s: no end",
                 item->name);
    cr_expect_eq(fixture_request_count(&fixture), item->requests, "%s",
                 item->name);
    pps_buf_clear(&client.got);
    pps_http_server_stop(fixture.callers);
}

/* Guards against a stream that is cut off, or asked for again, because its
 * caller pauses, and against one that fills the memory meanwhile. */
Test(exchange_flow, pause_of_a_caller_breaks_its_stream, .timeout = 60)
{
    stream_t stream = {PPS_BUF_INIT};

    pps_buf_puts(&stream.begin, STREAM "\r\n");
    write_events(&stream.begin, 1, EVENTS_BEFORE);
    write_events(&stream.end, EVENTS_BEFORE + 1, EVENTS);
    pps_buf_puts(&stream.end, LAST_CHUNK);
    pps_buf_append(&stream.whole, stream.begin.data, stream.begin.size);
    pps_buf_append(&stream.whole, stream.end.data, stream.end.size);
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        run_case(&cases[i], &stream);
    }
    pps_buf_clear(&stream.begin);
    pps_buf_clear(&stream.end);
    pps_buf_clear(&stream.whole);
}
