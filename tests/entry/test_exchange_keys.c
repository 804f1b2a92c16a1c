/**
 * @file test_exchange_keys.c
 * @brief Tests which requests need a key of a workspace. Guards against a
 * configuration without any key that opens all routes to everyone.
 */
#include "exchange_fixture.h"
#include "papayaswitch/errors.h"
#include "records.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define ANSWER_TIMEOUT_MS 4000
#define TEXT_BYTES 2048

typedef struct {
    const char *name;
    const char *tenants; /* member of the configuration */
    const char *path;
    const char *header; /* of the request */
    const char *status;
} key_case_t;

#define NO_KEY ""
#define KEY "Authorization: Token key\r\n"
#define KEYLESS ",\"tenants\":[{\"name\":\"t\",\"api_keys\":[]}]"
#define KEYED ",\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"key\"]}]"

static const key_case_t cases[] = {
    {"key of a workspace", KEYED, "/once/", KEY, "200"},
    {"no key", KEYED, "/once/", NO_KEY, "401"},
    {"key that was taken away", KEYLESS, "/once/", KEY, "401"},
    {"no key where none is left", KEYLESS, "/once/", NO_KEY, "401"},
    {"anonymous route where no key is left", KEYLESS, "/open/", NO_KEY, "200"},
    {"workspace without a list of keys", ",\"tenants\":[{\"name\":\"t\"}]",
     "/once/", KEY, "401"},
    {"workspace whose list of keys is null",
     ",\"tenants\":[{\"name\":\"t\",\"api_keys\":null}]", "/once/", KEY,
     "401"},
    {"last workspace removed", ",\"tenants\":[]", "/once/", KEY, "401"},
    {"list of workspaces is null", ",\"tenants\":null", "/once/", NO_KEY,
     "401"},
    {"configuration without workspaces", "", "/once/", NO_KEY, "200"},
    {"key where no workspaces are configured", "", "/once/", KEY, "200"},
};

static int
parse(pps_deployment_t **out, const char *tenants)
{
    char text[TEXT_BYTES];

    snprintf(text, sizeof(text),
             "{\"version\":2,\"services\":[{\"name\":\"s\"}],\"routes\":["
             "{\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/once/\","
             "\"kind\":\"non_idempotent\",\"service\":\"s\","
             "\"timeout_ms\":3000},"
             "{\"name\":\"b\",\"host\":\"h\",\"path_prefix\":\"/open/\","
             "\"kind\":\"non_idempotent\",\"service\":\"s\","
             "\"timeout_ms\":3000,\"allow_anonymous\":true}],"
             "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":4096,"
             "\"header_timeout_ms\":1000,\"idle_timeout_ms\":2000}%s}",
             tenants);
    return pps_record_parse_deployment(out, text, strlen(text));
}

static void
run_case(const key_case_t *item)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    const fixture_answer_t answer = {item->name, item->status, ""};
    pps_deployment_t *deployment;
    fixture_t fixture;
    net_client_t client;
    char text[TEXT_BYTES];

    fixture_start(&fixture, script, 1);
    cr_assert_eq(parse(&deployment, item->tenants), 0, "%s", item->name);
    pps_dispatcher_deploy(&fixture.dispatcher, deployment);
    snprintf(text, sizeof(text),
             "POST %sx HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n%s"
             "Connection: close\r\nContent-Length: 4\r\n\r\nbody",
             item->path, item->header);
    net_client_start(&client, &fixture.reactor,
                     pps_http_server_port(fixture.callers), text);
    net_run_until_ended(&fixture.reactor, &client, ANSWER_TIMEOUT_MS);
    fixture_expect(&answer, &client);
    cr_expect_eq(fixture_request_count(&fixture),
                 (size_t)(strcmp(item->status, "200") == 0), "%s", item->name);
}

/* Guards against requests that are served with a revoked key, an unknown one
 * or none, once the configuration's last key has been taken away. */
Test(exchange_keys, requests_without_a_valid_key_are_served)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        run_case(&cases[i]);
    }
}

/* Guards against keys that are lost in reading, which takes them away from
 * callers that hold them. */
Test(exchange_keys, malformed_lists_are_read_as_empty)
{
    static const char *const malformed[] = {
        ",\"tenants\":{\"t\":{\"api_keys\":[\"key\"]}}",
        ",\"tenants\":\"t\"",
        ",\"tenants\":[{\"name\":\"t\",\"api_keys\":\"key\"}]",
        ",\"tenants\":[{\"name\":\"t\",\"api_keys\":{\"key\":1}}]",
    };

    for (size_t i = 0; i < sizeof(malformed) / sizeof(*malformed); i++) {
        pps_deployment_t *deployment;

        cr_expect_eq(parse(&deployment, malformed[i]), PPS_EINVALID, "%s",
                     malformed[i]);
    }
}
