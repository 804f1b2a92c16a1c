/** @file test_records.c @brief Tests parsing and writing the store's
 * records. */
#include "clock.h"
#include "papayaswitch/errors.h"
#include "records.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORKER_HEAD                                                           \
    "\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","           \
    "\"version\":\"v1\""

#define WORKER_AT(address)                                                    \
    "\"service\":\"s\",\"address\":\"" address                                \
    "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\""

typedef struct {
    const char *text;
    int error;
    int leaving;
    size_t models;
} worker_case_t;

static const worker_case_t worker_cases[] = {
    {"{" WORKER_HEAD ",\"slots\":8,\"state\":\"ready\",\"new\":[1]}", 0, 0, 0},
    {"{" WORKER_HEAD ",\"slots\":8,\"state\":\"draining\"}", 0, 1, 0},
    {"{" WORKER_HEAD ",\"slots\":8,\"state\":\"ready\",\"models\":[{\"name\":"
     "\"m\",\"version\":1}]}",
     0, 0, 1},
    {"{" WORKER_HEAD ",\"slots\":8,\"state\":\"asleep\"}", PPS_EINVALID, 0, 0},
    {"{" WORKER_HEAD ",\"slots\":\"8\",\"state\":\"ready\"}", PPS_EINVALID, 0,
     0},
    {"{" WORKER_HEAD ",\"slots\":8}", PPS_EINVALID, 0, 0},
    {"{" WORKER_HEAD ",\"slots\":8,\"state\":\"ready\",\"models\":7}",
     PPS_EINVALID, 0, 0},
    {"{\"slots\":8,\"state\":\"ready\"}", PPS_EINVALID, 0, 0},
    {"{\"service\":1,\"address\":\"a\",\"zone\":\"z\",\"version\":\"v\","
     "\"slots\":8,\"state\":\"ready\"}",
     PPS_EINVALID, 0, 0},
    {"{" WORKER_HEAD ",\"slots\":4294967304,\"state\":\"ready\"}",
     PPS_EINVALID, 0, 0},
    {"{" WORKER_HEAD ",\"slots\":1e300,\"state\":\"ready\"}", PPS_EINVALID, 0,
     0},
    {"{" WORKER_HEAD ",\"slots\":99999999999999999999,\"state\":\"ready\"}",
     PPS_EINVALID, 0, 0},
    {"{" WORKER_HEAD ",\"slots\":8,\"state\":\"ready\",\"born\":"
     "9223372036854775807}",
     PPS_EINVALID, 0, 0},
    {"{" WORKER_HEAD ",\"slots\":8,\"state\":\"ready\",\"born\":-1}",
     PPS_EINVALID, 0, 0},
    {"{" WORKER_AT("10.0.0.1:65616") "}", PPS_EINVALID, 0, 0},
    {"{" WORKER_AT("10.0.0.1:0") "}", PPS_EINVALID, 0, 0},
    {"{" WORKER_AT("10.0.0.1:-5") "}", PPS_EINVALID, 0, 0},
    {"{" WORKER_AT("10.0.0.1:80x") "}", PPS_EINVALID, 0, 0},
    {"{" WORKER_AT("10.0.0.1") "}", PPS_EINVALID, 0, 0},
    {"{" WORKER_AT("10.0.0.256:80") "}", PPS_EINVALID, 0, 0},
    {"{" WORKER_AT("10.0.0.1:65535") "}", 0, 0, 0},
    {"[]", PPS_EINVALID, 0, 0},
    {"\xff\xfe", PPS_EINVALID, 0, 0},
    {"", PPS_EINVALID, 0, 0},
};

Test(records, workers)
{
    for (size_t i = 0; i < sizeof(worker_cases) / sizeof(*worker_cases); i++) {
        pps_worker_info_t info;
        int error = pps_record_parse_worker(&info, "w", worker_cases[i].text,
                                            strlen(worker_cases[i].text));

        cr_expect_eq(error, worker_cases[i].error, "case %zu", i);
        if (error == 0) {
            cr_expect_eq(info.leaving, worker_cases[i].leaving);
            cr_expect_eq(info.model_count, worker_cases[i].models);
        }
    }
}

#define ENTRY(address, zone, version, slots, state, more)                     \
    "{\"service\":\"s\",\"address\":\"" address "\",\"zone\":\"" zone         \
    "\",\"version\":\"" version "\",\"slots\":" slots ",\"state\":\"" state   \
    "\"" more "}"

typedef struct {
    const char *name;
    const char *text;
    int is_same; /* as the first one */
} digest_case_t;

static const digest_case_t digests[] = {
    {"first", ENTRY("1.2.3.4:5", "z", "v1", "8", "ready", ",\"sequence\":1"),
     1},
    {"sequence",
     ENTRY("1.2.3.4:5", "z", "v1", "8", "ready", ",\"sequence\":2"), 1},
    {"less time to stay cold",
     ENTRY("1.2.3.4:5", "z", "v1", "8", "ready", ",\"cold_remaining_ms\":9"),
     1},
    {"address", ENTRY("1.2.3.4:6", "z", "v1", "8", "ready", ""), 0},
    {"zone", ENTRY("1.2.3.4:5", "y", "v1", "8", "ready", ""), 0},
    {"version", ENTRY("1.2.3.4:5", "z", "v2", "8", "ready", ""), 0},
    {"slots", ENTRY("1.2.3.4:5", "z", "v1", "9", "ready", ""), 0},
    {"state", ENTRY("1.2.3.4:5", "z", "v1", "8", "draining", ""), 0},
    {"start", ENTRY("1.2.3.4:5", "z", "v1", "8", "ready", ",\"born\":7"), 0},
    {"models",
     ENTRY("1.2.3.4:5", "z", "v1", "8", "ready",
           ",\"models\":[{\"name\":\"m\"}]"),
     0},
};

/* Guards against a change of a worker that hosts take for a sign of life, and
 * against signs of life that are told to all hosts. */
Test(records, digest_of_what_an_entry_says)
{
    uint64_t first = 0;

    for (size_t i = 0; i < sizeof(digests) / sizeof(*digests); i++) {
        const char *text = digests[i].text;
        pps_worker_info_t info;
        uint64_t digest;

        cr_assert_eq(pps_record_parse_worker(&info, "w", text, strlen(text)),
                     0, "%s", digests[i].name);
        digest = pps_record_digest_worker(&info);
        first = i == 0 ? digest : first;
        cr_expect_neq(digest, 0, "%s", digests[i].name);
        cr_expect_neq(digest, pps_record_digest_worker(NULL), "%s",
                      digests[i].name);
        cr_expect_eq(digest == first, digests[i].is_same, "%s",
                     digests[i].name);
    }
}

/* Guards against an entry that ends the host, or that it takes for a worker.
 */
Test(records, worker_that_is_very_deeply_nested)
{
    static const size_t depths[] = {100, 2100, 500000};

    for (size_t i = 0; i < sizeof(depths) / sizeof(*depths); i++) {
        size_t size = depths[i] * 6 + 1;
        char *text = malloc(size + 1);
        pps_worker_info_t info;

        for (size_t n = 0; n < depths[i]; n++) {
            memcpy(text + n * 5, "{\"a\":", 5);
        }
        text[depths[i] * 5] = '1';
        memset(text + depths[i] * 5 + 1, '}', depths[i]);
        cr_expect_eq(pps_record_parse_worker(&info, "w", text, size),
                     PPS_EINVALID);
        free(text);
    }
}

typedef struct {
    const char *member;
    int64_t remaining_us; /* negative: not stated */
} cold_record_case_t;

/* Guards against a record whose time is lost or makes the worker cold for
 * good. */
Test(records, workers_that_are_cold)
{
    static const cold_record_case_t cases[] = {
        {"", -1},
        {",\"cold_remaining_ms\":0", 0},
        {",\"cold_remaining_ms\":2500", 2500000},
        {",\"cold_remaining_ms\":-5", -1},
        {",\"cold_remaining_ms\":3600001", -1},
        {",\"cold_remaining_ms\":\"5\"", -1},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        char text[256];
        pps_worker_info_t info;

        snprintf(text, sizeof(text),
                 "{" WORKER_HEAD ",\"slots\":8,\"state\":\"ready\"%s}",
                 cases[i].member);
        cr_assert_eq(pps_record_parse_worker(&info, "w", text, strlen(text)),
                     0);
        cr_expect_eq(info.cold_remaining_us, cases[i].remaining_us, "%s",
                     cases[i].member);
    }
}

#define LIMITS                                                                \
    "\"limits\":{\"max_header_bytes\":1024,\"max_body_bytes\":2048,"          \
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}"
#define SERVICES "\"services\":[{\"name\":\"a\"},{\"name\":\"b\"}]"
#define ROUTE(prefix, members)                                                \
    "{\"name\":\"r" prefix "\",\"host\":\"h\",\"path_prefix\":\"" prefix      \
    "\",\"kind\":\"safe\",\"max_attempts\":2" members "}"

static const char config[] =
    "{\"version\":9,\"routes\":[" ROUTE("/x/", ",\"service\":\"a\"") "," ROUTE(
        "/x/y/",
        ",\"traffic_split\":[{\"service\":\"a\",\"weight\":3},"
        "{\"service\":\"b\",\"weight\":1}]") "]," SERVICES "," LIMITS
                                             ",\"tenants\":[{\"name\":\"t\","
                                             "\"priority\":1,"
                                             "\"api_keys\":[\"k2\",\"k1\"]}]}";

Test(records, deployment)
{
    pps_deployment_t *deployment;
    const pps_route_t *route;
    unsigned int to_b = 0;

    cr_assert_eq(
        pps_record_parse_deployment(&deployment, config, strlen(config)), 0,
        "%s", pps_error_last());
    cr_expect_eq(deployment->revision, 9);
    cr_expect_eq(deployment->limits.request_timeout_us, 3 * PPS_US_PER_S);
    route = pps_deployment_find_route(deployment, "h", "/x/y/z?q");
    cr_assert_not_null(route);
    cr_expect_str_eq(route->prefix, "/x/y/");
    for (uint64_t digest = 0; digest < 400; digest++) {
        to_b += pps_route_choose_upstream(route, digest) == 1;
    }
    cr_expect_eq(to_b, 100);
    route = pps_deployment_find_route(deployment, "h", "/x/q");
    cr_assert_not_null(route);
    cr_expect_str_eq(route->prefix, "/x/");
    cr_expect_null(pps_deployment_find_route(deployment, "h", "/x"));
    cr_expect_null(pps_deployment_find_route(deployment, "other", "/x/"));
    cr_expect_not_null(pps_deployment_find_workspace(deployment, "k1"));
    cr_expect_not_null(pps_deployment_find_workspace(deployment, "k2"));
    cr_expect_null(pps_deployment_find_workspace(deployment, "k3"));
    pps_deployment_unref(deployment);
}

Test(records, invalid_deployments)
{
    static const char *const cases[] = {
        "",
        "[]",
        "{}",
        "{\"version\":\"9\",\"routes\":[]," SERVICES "," LIMITS "}",
        "{\"version\":9,\"routes\":[]," SERVICES "}",
        "{\"version\":9,\"routes\":[" ROUTE(
            "/", ",\"service\":\"none\"") "]," SERVICES "," LIMITS "}",
        "{\"version\":9,\"routes\":[{}]," SERVICES "," LIMITS "}",
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_deployment_t *deployment;

        cr_expect_lt(pps_record_parse_deployment(&deployment, cases[i],
                                                 strlen(cases[i])),
                     0, "case %zu", i);
    }
}

typedef struct {
    const char *route;  /* members of the route */
    const char *tenant; /* members of the tenant */
    int error;
    size_t route_count; /* regions */
    size_t workspace_count;
} homes_case_t;

static const homes_case_t homes_cases[] = {
    {"", "", 0, 0, 0},
    {",\"allowed_regions\":[]", ",\"allowed_regions\":null", 0, 0, 0},
    {",\"allowed_regions\":[\"r1\",\"r2\"]", "", 0, 2, 0},
    {"", ",\"allowed_regions\":[\"r1\"]", 0, 0, 1},
    {",\"allowed_regions\":\"r1\"", "", PPS_EINVALID, 0, 0},
    {",\"allowed_regions\":[1]", "", PPS_EINVALID, 0, 0},
    {",\"allowed_regions\":[\"r1\",\"\"]", "", PPS_EINVALID, 0, 0},
    {"", ",\"allowed_regions\":{\"r1\":1}", PPS_EINVALID, 0, 0},
};

/* Guards against a restriction to regions that is lost in reading. */
Test(records, homes)
{
    for (size_t i = 0; i < sizeof(homes_cases) / sizeof(*homes_cases); i++) {
        const homes_case_t *item = &homes_cases[i];
        pps_deployment_t *deployment;
        char text[1024];
        int error;

        snprintf(
            text, sizeof(text),
            "{\"version\":9,\"routes\":[" ROUTE(
                "/x/", ",\"service\":\"a\"%s") "]," SERVICES "," LIMITS
                                               ",\"tenants\":[{\"name\":\"t\","
                                               "\"api_keys\":[\"k\"]%s}]}",
            item->route, item->tenant);
        error = pps_record_parse_deployment(&deployment, text, strlen(text));
        cr_expect_eq(error, item->error, "case %zu", i);
        if (error == 0) {
            cr_expect_eq(deployment->routes[0].homes.count, item->route_count);
            cr_expect_eq(deployment->workspaces[0].homes.count,
                         item->workspace_count);
            pps_deployment_unref(deployment);
        }
    }
}

Test(records, rollouts)
{
    static const struct {
        const char *text;
        int error;
        pps_rollout_state_t state;
    } cases[] = {
        {"{\"state\":\"active\",\"target\":\"v2\"}", 0, PPS_ROLLOUT_ACTIVE},
        {"{\"state\":\"completed\",\"target\":\"v2\"}", 0,
         PPS_ROLLOUT_COMPLETED},
        {"{\"state\":\"paused\",\"target\":\"v2\"}", PPS_EINVALID, 0},
        {"{\"state\":\"active\"}", PPS_EINVALID, 0},
    };
    static const char order[] =
        "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":12}";
    pps_rollout_t rollout;
    pps_buf_t text = PPS_BUF_INIT;

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        int error = pps_record_parse_status(&rollout, cases[i].text,
                                            strlen(cases[i].text));

        cr_expect_eq(error, cases[i].error, "case %zu", i);
        if (error == 0) {
            cr_expect_eq(rollout.state, cases[i].state);
            snprintf(rollout.upstream, sizeof(rollout.upstream), "s");
            text.size = 0;
            pps_record_write_status(&text, &rollout);
            cr_expect_eq(
                pps_record_parse_status(&rollout, text.data, text.size), 0);
            cr_expect_eq(rollout.state, cases[i].state);
        }
    }
    cr_expect_eq(pps_record_parse_order(&rollout, order, strlen(order)), 0);
    cr_expect_eq(rollout.duration_us, 12 * PPS_US_PER_S);
    snprintf(rollout.target, sizeof(rollout.target), "v\"2\\");
    rollout.state = PPS_ROLLOUT_ACTIVE;
    text.size = 0;
    pps_record_write_status(&text, &rollout);
    cr_expect_eq(pps_record_parse_status(&rollout, text.data, text.size), 0,
                 "a target with characters that JSON escapes");
    cr_expect_str_eq(rollout.target, "v\"2\\");
    pps_buf_clear(&text);
}

#define CLASS_ROUTE(prefix, rest)                                             \
    "{\"name\":\"" prefix "\",\"host\":\"h\",\"path_prefix\":\"/" prefix      \
    "/\",\"service\":\"s\",\"max_attempts\":2,\"timeout_ms\":3000," rest "}"
#define READ "\"kind\":\"safe\",\"target_latency_ms\":100"
#define CHAT                                                                  \
    "\"kind\":\"streaming\",\"target_latency_ms\":900,\"gap_aim_ms\":500"
#define CONFIG(routes)                                                        \
    "{\"version\":1,\"services\":[{\"name\":\"s\"}],\"routes\":[" routes "]," \
    "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":4096,"          \
    "\"header_timeout_ms\":1000,\"idle_timeout_ms\":2000},\"tenants\":[]}"

static unsigned int
class_of(const pps_deployment_t *deployment, const char *path)
{
    const pps_route_t *route =
        pps_deployment_find_route(deployment, "h", path);

    cr_assert_not_null(route);
    return route->class_index;
}

/* The results of a version are counted by class. Were they counted by the
 * place of the route, a class with several routes would be split, and a new
 * route would shift all others. */
Test(records, class_of_requests_is_split_or_shifted_by_other_routes)
{
    static const char *const configs[] = {
        CONFIG(CLASS_ROUTE("b", READ) "," CLASS_ROUTE(
            "c", CHAT) "," CLASS_ROUTE("d", READ)),
        CONFIG(CLASS_ROUTE("a", CHAT) "," CLASS_ROUTE(
            "b", READ) "," CLASS_ROUTE("c", CHAT) "," CLASS_ROUTE("d", READ)),
    };

    for (size_t i = 0; i < sizeof(configs) / sizeof(*configs); i++) {
        pps_deployment_t *deployment;

        cr_assert_eq(pps_record_parse_deployment(&deployment, configs[i],
                                                 strlen(configs[i])),
                     0);
        cr_expect_eq(class_of(deployment, "/b/"), 0);
        cr_expect_eq(class_of(deployment, "/d/"), 0);
        cr_expect_eq(class_of(deployment, "/c/"), 1);
        pps_deployment_unref(deployment);
    }
}

typedef struct {
    const char *members;
    int64_t cold_us;
    double per_s;
} cold_config_case_t;

/* Guards against a gate where the configuration has none. */
Test(records, services_with_cold_workers)
{
    static const cold_config_case_t cases[] = {
        {"", 0, 0},
        {",\"cold_start_s\":3,\"cold_per_s\":12", 3000000, 12},
        {",\"cold_start_s\":0.5,\"cold_per_s\":1.5", 500000, 1.5},
        {",\"cold_start_s\":3,\"cold_per_s\":0", 3000000, 0},
        {",\"cold_start_s\":-3,\"cold_per_s\":-1", 0, 0},
        {",\"cold_start_s\":1e30,\"cold_per_s\":\"12\"", 0, 0},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        char text[512];
        pps_deployment_t *deployment;

        snprintf(text, sizeof(text),
                 "{\"version\":1,\"services\":[{\"name\":\"a\"%s}],"
                 "\"routes\":[],\"tenants\":[]," LIMITS "}",
                 cases[i].members);
        cr_assert_eq(
            pps_record_parse_deployment(&deployment, text, strlen(text)), 0);
        cr_expect_eq(deployment->upstreams[0].cold_start_us, cases[i].cold_us,
                     "%s", cases[i].members);
        cr_expect_eq(deployment->upstreams[0].cold_rate_per_s, cases[i].per_s,
                     "%s", cases[i].members);
        pps_deployment_unref(deployment);
    }
}
