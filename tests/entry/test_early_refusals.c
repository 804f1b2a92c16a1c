/**
 * @file test_early_refusals.c
 * @brief Requests that are refused at their head, while their body is still to
 * come. Guards against callers without a key that make a host keep bodies.
 */
#include "clock.h"
#include "exchange_fixture.h"
#include "records.h"

#include <criterion/criterion.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TEXT_BYTES 2048
#define BODY_BYTES_MAX (4U << 20)
/** Time in which a refusal comes that needs no body. */
#define REFUSAL_MS 100
#define ANSWER_MS 4000
#define CALLERS 30
#define PIECE_BYTES (64U << 10)
/** What all callers of the memory test may take together. */
#define HEAP_BYTES_MAX (2U << 20)

#define KEY "Authorization: Token key\r\n"
#define ID "X-Request-Id: r1\r\n"
#define EXPECT "Expect: 100-continue\r\n"

typedef enum {
    KEPT,
    CLOSED, /* in order */
} end_t;

typedef struct {
    const char *name;
    const char *path;
    const char *fields;
    size_t body_bytes;  /* by its head; 0: in chunks */
    size_t sent_bytes;  /* of the body, with the head */
    const char *answer; /* before more of the body comes; NULL: none */
    end_t end;
} refusal_case_t;

static const refusal_case_t cases[] = {
    {"no key", "/once/x", ID, BODY_BYTES_MAX, 0, "401", CLOSED},
    {"no key, the last byte is held back", "/once/x", ID, BODY_BYTES_MAX,
     BODY_BYTES_MAX - 1, "401", CLOSED},
    {"no key, chunks", "/once/x", ID, 0, 0, "401", CLOSED},
    {"no key, a short rest", "/once/x", ID, 1000, 10, "401", KEPT},
    {"unknown route", "/none/x", ID KEY, 1000, 0, "404", KEPT},
    {"no id", "/once/x", KEY, 1000, 0, "400", KEPT},
    {"no key, waits for an interim answer", "/once/x", ID EXPECT, 1000, 0,
     "401", CLOSED},
    {"a body that is too long", "/once/x", ID KEY, BODY_BYTES_MAX + 1, 0,
     "413", CLOSED},
    {"a key, waits for an interim answer", "/once/x", ID KEY EXPECT, 1000, 0,
     "100", KEPT},
    {"a key", "/once/x", ID KEY, 1000, 10, NULL, KEPT},
};

static void
deploy(fixture_t *fixture)
{
    static const char text[] =
        "{\"version\":2,\"services\":[{\"name\":\"s\"}],\"routes\":["
        "{\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/once/\","
        "\"kind\":\"non_idempotent\",\"service\":\"s\",\"timeout_ms\":3000}],"
        "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":4194304,"
        "\"header_timeout_ms\":60000,\"idle_timeout_ms\":60000},"
        "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"key\"]}]}";
    pps_deployment_t *deployment;

    cr_assert_eq(pps_record_parse_deployment(&deployment, text, strlen(text)),
                 0);
    pps_dispatcher_deploy(&fixture->dispatcher, deployment);
}

/* Returns a head and as much of the body as is sent with it. */
static char *
make_text(const char *path, const char *fields, size_t body_bytes,
          size_t sent_bytes)
{
    char *text = calloc(1, TEXT_BYTES + sent_bytes);
    char framing[64] = "Transfer-Encoding: chunked";
    size_t size;

    if (body_bytes > 0) {
        snprintf(framing, sizeof(framing), "Content-Length: %zu", body_bytes);
    }
    size = (size_t)snprintf(text, TEXT_BYTES,
                            "POST %s HTTP/1.1\r\nHost: h\r\n%s%s\r\n\r\n",
                            path, fields, framing);
    memset(text + size, 'b', sent_bytes);
    return text;
}

static void
send_more(net_client_t *client, size_t size)
{
    char *text = calloc(1, size);
    uv_buf_t piece = uv_buf_init(text, (unsigned int)size);

    memset(text, 'b', size);
    cr_assert_eq(uv_try_write((uv_stream_t *)&client->tcp, &piece, 1),
                 (int)size);
    free(text);
}

static int
has_answer(const net_client_t *client, const char *status)
{
    char text[32];

    snprintf(text, sizeof(text), "HTTP/1.1 %s ", status);
    return strstr(pps_buf_text(&client->got), text) != NULL;
}

/* Sends the rest of the body, and a request that is served. */
static void
expect_next_is_served(fixture_t *fixture, net_client_t *client,
                      const refusal_case_t *item)
{
    static const char next[] =
        "POST /once/y HTTP/1.1\r\nHost: h\r\n"
        "X-Request-Id: r2\r\n" KEY "Content-Length: 0\r\n\r\n";
    uv_buf_t piece = uv_buf_init((char *)next, sizeof(next) - 1);

    send_more(client, item->body_bytes - item->sent_bytes);
    uv_try_write((uv_stream_t *)&client->tcp, &piece, 1);
    net_run_for(&fixture->reactor, REFUSAL_MS);
    cr_expect(has_answer(client, "200"), "%s: %s", item->name,
              pps_buf_text(&client->got));
    cr_expect_eq(client->ended, 0, "%s", item->name);
}

static void
run_case(const refusal_case_t *item)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    fixture_t fixture;
    net_client_t client;
    char *text = make_text(item->path, item->fields, item->body_bytes,
                           item->sent_bytes);

    fixture_start(&fixture, script, 1);
    deploy(&fixture);
    net_client_start(&client, &fixture.reactor,
                     pps_http_server_port(fixture.callers), text);
    net_run_for(&fixture.reactor, REFUSAL_MS);
    cr_expect_eq(fixture_request_count(&fixture), 0, "%s", item->name);
    if (item->answer == NULL) {
        cr_expect_eq(client.got.size, 0, "%s", item->name);
    }
    else {
        cr_expect(has_answer(&client, item->answer), "%s: %s", item->name,
                  pps_buf_text(&client.got));
    }
    if (item->end == KEPT) {
        expect_next_is_served(&fixture, &client, item);
    }
    else {
        cr_expect_eq(client.ended, 1, "%s: %d", item->name, client.ended);
    }
    net_client_close(&client);
    free(text);
}

/* Guards against refusals that wait for the body, which may never come, and
 * against a connection that is lost, or out of step, after such a one. */
Test(early_refusals, refusal_waits_for_the_body, .timeout = 60)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        run_case(&cases[i]);
    }
}

static size_t
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

static void
send_piece(net_client_t *client)
{
    static const char piece[PIECE_BYTES];
    uv_buf_t buffer = uv_buf_init((char *)piece, sizeof(piece));

    if (client->ended == 0) {
        uv_try_write((uv_stream_t *)&client->tcp, &buffer, 1);
    }
}

/* Guards against 134 MiB that 30 callers without a key could take, which hold
 * back the end of their bodies. */
Test(early_refusals, callers_without_a_key_take_the_memory, .timeout = 60)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    static net_client_t clients[CALLERS];
    char *text = make_text("/once/x", ID, BODY_BYTES_MAX, 0);
    fixture_t fixture;
    size_t before;

    fixture_start(&fixture, script, 1);
    deploy(&fixture);
    for (size_t i = 0; i < CALLERS; i++) {
        net_client_start(&clients[i], &fixture.reactor,
                         pps_http_server_port(fixture.callers), text);
    }
    free(text);
    net_run_for(&fixture.reactor, REFUSAL_MS);
    before = heap_bytes();
    for (size_t sent = PIECE_BYTES; sent < BODY_BYTES_MAX;
         sent += PIECE_BYTES) {
        for (size_t i = 0; i < CALLERS; i++) {
            send_piece(&clients[i]);
        }
        net_run_for(&fixture.reactor, 5);
    }
    cr_expect_leq(heap_bytes(), before + HEAP_BYTES_MAX, "%zu B more",
                  heap_bytes() - before);
    for (size_t i = 0; i < CALLERS; i++) {
        net_client_close(&clients[i]);
    }
}

/* Guards against a deadline that counts from the body's last byte only. */
Test(early_refusals, body_is_awaited_past_the_deadline, .timeout = 60)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    char *text = make_text("/once/x", ID KEY, 1000, 10);
    fixture_t fixture;
    net_client_t client;

    fixture_start(&fixture, script, 1);
    deploy(&fixture);
    net_client_start(&client, &fixture.reactor,
                     pps_http_server_port(fixture.callers), text);
    net_run_for(&fixture.reactor, 2500);
    cr_expect_eq(client.got.size, 0, "%s", pps_buf_text(&client.got));
    net_run_until_ended(&fixture.reactor, &client, ANSWER_MS);
    cr_expect(has_answer(&client, "408"), "%s", pps_buf_text(&client.got));
    cr_expect_eq(client.ended, 1);
    free(text);
}
