/**
 * @file test_body_gate.c
 * @brief Large bodies of many callers at one host. Guards against bodies that
 * take a host's memory together, and against a workspace that takes the room
 * of the others.
 */
#include "clock.h"
#include "exchange_fixture.h"
#include "records.h"

#include <criterion/criterion.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEAD_BYTES 512
#define BODY_BYTES (1U << 20)
#define CALLERS_MAX 24
/** Room for two bodies and their copies. */
#define ROOM_BYTES (6U * BODY_BYTES + 1)
#define STEP_MS 50
/** Time after which a body has waited for room too long. */
#define WAIT_OVER_MS 1500

/** What a caller does. */
typedef struct {
    char key; /* of its workspace */
    int is_chunked;
    int is_held_back;   /* the last byte does not come */
    int leaves;         /* disconnects after its body has been sent */
    const char *status; /* it gets in the end; NULL: none */
} caller_t;

typedef struct {
    const char *name;
    unsigned int repeat; /* all callers come so often */
    caller_t callers[4];
    int wait_ms; /* until the last caller comes */
} gate_case_t;

static const gate_case_t cases[] = {
    {"many sound callers",
     12,
     {{'a', 0, 0, 0, "200"}, {'b', 0, 0, 0, "200"}},
     0},
    {"many sound callers with chunks", 12, {{'a', 1, 0, 0, "200"}}, 0},
    {"another workspace's body, beside two that are held back",
     1,
     {{'a', 0, 1, 0, "503"}, {'a', 0, 1, 0, NULL}, {'b', 0, 0, 0, "200"}},
     STEP_MS},
    {"a body of the same workspace waits too long",
     1,
     {{'a', 0, 1, 0, NULL}, {'a', 0, 1, 0, NULL}, {'a', 0, 0, 0, "503"}},
     STEP_MS},
    {"a caller that leaves makes room",
     1,
     {{'a', 0, 1, 1, NULL}, {'a', 0, 1, 0, NULL}, {'a', 0, 0, 0, "200"}},
     STEP_MS},
};

static char *
make_text(const caller_t *caller)
{
    char *text = calloc(1, HEAD_BYTES + BODY_BYTES + 16);
    char framing[64] = "Transfer-Encoding: chunked\r\n\r\n100000\r\n";
    size_t size;

    if (!caller->is_chunked) {
        snprintf(framing, sizeof(framing), "Content-Length: %u\r\n\r\n",
                 BODY_BYTES);
    }
    size = (size_t)snprintf(text, HEAD_BYTES,
                            "POST /once/x HTTP/1.1\r\nHost: h\r\n"
                            "X-Request-Id: r1\r\nConnection: close\r\n"
                            "Authorization: Token %c\r\n%s",
                            caller->key, framing);
    memset(text + size, 'b', BODY_BYTES - (size_t)caller->is_held_back);
    if (caller->is_chunked) {
        strcat(text, "\r\n0\r\n\r\n");
    }
    return text;
}

static void
deploy(fixture_t *fixture)
{
    static const char text[] =
        "{\"version\":2,\"services\":[{\"name\":\"s\"}],\"routes\":["
        "{\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/once/\","
        "\"kind\":\"non_idempotent\",\"service\":\"s\",\"timeout_ms\":9000}],"
        "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":1048576,"
        "\"header_timeout_ms\":60000,\"idle_timeout_ms\":60000},"
        "\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"a\"]},"
        "{\"name\":\"b\",\"api_keys\":[\"b\"]}]}";
    pps_deployment_t *deployment;

    cr_assert_eq(pps_record_parse_deployment(&deployment, text, strlen(text)),
                 0);
    pps_dispatcher_deploy(&fixture->dispatcher, deployment);
    fixture->dispatcher.bodies.account.max = ROOM_BYTES;
}

static unsigned int
count_callers(const gate_case_t *item)
{
    unsigned int count = 0;

    while (count < 4 && item->callers[count].key != '\0') {
        count++;
    }
    return count;
}

static void
start_callers(fixture_t *fixture, net_client_t *clients,
              const gate_case_t *item, unsigned int count)
{
    for (unsigned int i = 0; i < count * item->repeat; i++) {
        char *text = make_text(&item->callers[i % count]);

        if (i + 1 == count) {
            net_run_for(&fixture->reactor, (unsigned int)item->wait_ms);
        }
        net_client_start(&clients[i], &fixture->reactor,
                         pps_http_server_port(fixture->callers), text);
        free(text);
    }
    net_run_for(&fixture->reactor, STEP_MS);
    for (unsigned int i = 0; i < count; i++) {
        if (item->callers[i].leaves) {
            net_client_close(&clients[i]);
        }
    }
}

static void
expect(const gate_case_t *item, const caller_t *caller,
       const net_client_t *client)
{
    const char *got = pps_buf_text(&client->got);

    if (caller->status == NULL) {
        cr_expect_eq(client->got.size, 0, "%s: %s", item->name, got);
        return;
    }
    cr_expect(client->got.size > 12 &&
                  strncmp(got + 9, caller->status, 3) == 0,
              "%s: %c: %s", item->name, caller->key, got);
    cr_expect(strcmp(caller->status, "503") != 0 ||
                  strstr(got, "Retry-After: ") != NULL,
              "%s: %s", item->name, got);
}

static void
run_case(const gate_case_t *item)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    unsigned int count = count_callers(item);
    net_client_t clients[CALLERS_MAX];
    fixture_t fixture;
    const pps_byte_account_t *account = &fixture.dispatcher.bodies.account;

    fixture_start(&fixture, script, 1);
    deploy(&fixture);
    start_callers(&fixture, clients, item, count);
    net_run_for(&fixture.reactor, WAIT_OVER_MS);
    for (unsigned int i = 0; i < count * item->repeat; i++) {
        expect(item, &item->callers[i % count], &clients[i]);
        net_client_close(&clients[i]);
    }
    net_run_for(&fixture.reactor, STEP_MS);
    cr_expect_leq(account->peak, ROOM_BYTES, "%s: %zu", item->name,
                  account->peak);
    cr_expect_gt(account->peak, 0, "%s", item->name);
    cr_expect_eq(account->bytes, 0, "%s: %zu", item->name, account->bytes);
    cr_expect_eq(fixture.dispatcher.bodies.waiting_count, 0, "%s", item->name);
}

Test(body_gate, bodies_take_the_memory_or_the_room_of_others, .timeout = 120)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        run_case(&cases[i]);
    }
}
