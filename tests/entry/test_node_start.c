/** @file test_node_start.c @brief Starts a host whose store does not answer,
 * beside a neighbour that sends copies. */
#include "mirror/copy_bundle.h"
#include "mirror/copy_pack.h"
#include "net.h"
#include "node_state.h"

#include "clock.h"
#include "steady_clock.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LIMIT_MS 5000
#define CONFIG                                                                \
    "{\"version\":7,\"services\":[{\"name\":\"pool\"}],\"routes\":[{"         \
    "\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":\"safe\","  \
    "\"service\":\"pool\",\"max_attempts\":3,\"timeout_ms\":2000}],"          \
    "\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":65536,"         \
    "\"header_timeout_ms\":2000,\"idle_timeout_ms\":5000},\"tenants\":[]}"
#define WORKER                                                                \
    "{\"service\":\"pool\",\"address\":\"127.0.0.1:9\",\"zone\":\"z0\","      \
    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"sequence\":1}"
#define HEAD "HTTP/1.1 200 OK\r\nContent-Length: "
#define NOT_FOUND "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
#define BUSY "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
#define ANSWER_BYTES 4096

/** Answers of the neighbour, as C strings: net.h takes no others. */
typedef enum {
    END,
    ANSWER_BUSY,
    ANSWER_NOT_FOUND,
    ANSWER_BUNDLE,    /* all topics in one transfer */
    ANSWER_CONFIG,    /* plain, as from an older build */
    ANSWER_WORKERS,   /* the same */
    ANSWER_TRUNCATED, /* the connection ends within the bundle */
    ANSWER_MALFORMED, /* a whole answer that is no bundle */
} answer_t;

typedef struct {
    const char *name;
    answer_t answers[4];
    int is_ready; /**< after these answers */
} case_t;

static const case_t cases[] = {
    {"one transfer suffices", {ANSWER_BUNDLE}, 1},
    {"a busy neighbour is asked again", {ANSWER_BUSY, ANSWER_BUNDLE}, 1},
    {"a neighbour of an older build",
     {ANSWER_NOT_FOUND, ANSWER_CONFIG, ANSWER_NOT_FOUND, ANSWER_WORKERS},
     1},
    {"a truncated answer is dropped", {ANSWER_TRUNCATED}, 0},
    {"a malformed answer is dropped", {ANSWER_MALFORMED}, 0},
    {"the next answer after a truncated one is taken",
     {ANSWER_TRUNCATED, ANSWER_BUNDLE},
     1},
};

static void
ignore_change(pps_mirror_relevance_t *out, void *user, const char *key,
              const char *value, size_t size)
{
}

static const pps_mirror_ops_t mirror_ops = {.on_changed = ignore_change};

/* Encodes a copy with one key. */
static pps_buf_t
encode_copy(const char *key, const char *value)
{
    pps_mirror_t *mirror;
    pps_buf_t copy = PPS_BUF_INIT;

    cr_assert_eq(pps_mirror_new(&mirror, &mirror_ops, NULL), 0);
    pps_mirror_begin_listing(mirror, 1, 9);
    pps_mirror_apply_listed(mirror, 3, key, strlen(key), value, strlen(value));
    pps_mirror_end_listing(mirror);
    cr_assert_eq(pps_mirror_encode(mirror, &copy), 0);
    pps_mirror_free(mirror);
    return copy;
}

static void
add_packed(pps_buf_t *bundle, const char *topic, const char *key,
           const char *value)
{
    pps_buf_t copy = encode_copy(key, value);
    pps_buf_t packed = PPS_BUF_INIT;

    cr_assert_eq(pps_copy_pack(&packed, copy.data, copy.size), 0);
    cr_assert_eq(pps_copy_bundle_add(bundle, topic, &packed), 0);
    pps_buf_clear(&copy);
    pps_buf_clear(&packed);
}

static pps_buf_t
make_body(answer_t answer)
{
    pps_buf_t body = PPS_BUF_INIT;

    if (answer == ANSWER_CONFIG) {
        return encode_copy("config", CONFIG);
    }
    if (answer == ANSWER_WORKERS) {
        return encode_copy("w1", WORKER);
    }
    if (answer == ANSWER_MALFORMED) {
        pps_buf_puts(&body, "no bundle");
        return body;
    }
    cr_assert_eq(pps_copy_bundle_begin(&body, 2), 0);
    add_packed(&body, pps_node_topic_names[NODE_TOPIC_OPERATOR], "config",
               CONFIG);
    add_packed(&body, pps_node_topic_names[NODE_TOPIC_WORKERS], "w1", WORKER);
    return body;
}

/* Sends the answer to the request that the neighbour has just got. */
static void
answer(net_server_t *neighbour, answer_t kind)
{
    pps_buf_t body = make_body(kind);
    pps_buf_t text = PPS_BUF_INIT;

    if (kind == ANSWER_BUSY || kind == ANSWER_NOT_FOUND) {
        pps_buf_puts(&text, kind == ANSWER_BUSY ? BUSY : NOT_FOUND);
    }
    else {
        pps_buf_printf(&text, HEAD "%zu\r\n\r\n", body.size);
        pps_buf_append(&text, body.data,
                       kind == ANSWER_TRUNCATED ? body.size / 2 : body.size);
    }
    net_server_send(neighbour, text.data, text.size);
    if (kind == ANSWER_TRUNCATED) {
        net_server_reset(neighbour);
    }
    pps_buf_clear(&body);
    pps_buf_clear(&text);
}

/* The address depends on the process ID, so that the test can run twice on a
 * machine at the same time. */
static pps_host_settings_t
make_settings(const net_server_t *neighbour, const net_server_t *store,
              unsigned int number)
{
    pps_host_settings_t settings = {.seed_count = 1,
                                    .gossip_port = 20003,
                                    .config_ms = 3000,
                                    .drain_ms = 3000,
                                    .grace_s = 3,
                                    .link_mbps = 10,
                                    .repeat_ratio = 1,
                                    .repeat_window_s = 10};
    const char *port = strrchr(neighbour->address, ':');
    unsigned int id = (unsigned int)getpid();
    char address[24];

    snprintf(address, sizeof(address), "127.%u.%u.%u", 1 + id % 200,
             id / 200 % 250, number + 2);
    strcpy(settings.host_id, "h1");
    strcpy(settings.failure_domain, "z0");
    strcpy(settings.address, address);
    snprintf(settings.callers_listen, sizeof(settings.callers_listen), "%s:0",
             address);
    snprintf(settings.readiness_listen, sizeof(settings.readiness_listen),
             "%s:0", address);
    snprintf(settings.peers_listen, sizeof(settings.peers_listen), "%s%s",
             address, port);
    strcpy(settings.seeds[0], neighbour->address);
    strcpy(settings.store_address, store->address);
    return settings;
}

/* A host, which runs its own event loop, and what it talks to. */
typedef struct {
    pps_reactor_t reactor; /* of the two servers */
    net_server_t neighbour;
    net_server_t store;
    pps_host_settings_t settings;
    pps_node_t *node;
} world_t;

static void
start_world(world_t *world, unsigned int number)
{
    static const net_answer_t silent[] = {{NULL, NET_KEEP}};

    steady_clock_init_reactor(&world->reactor);
    net_server_start(&world->neighbour, &world->reactor, silent, 1);
    net_server_start(&world->store, &world->reactor, silent, 1);
    world->settings = make_settings(&world->neighbour, &world->store, number);
    cr_assert_eq(pps_node_new(&world->node, &world->settings, "none"), 0);
    world->node->reactor.read_clock = steady_clock_now_us;
}

/* Runs both loops until the neighbour has got so many requests. */
static int
run_until_asked(world_t *world, size_t requests)
{
    for (int ms = 0; ms < LIMIT_MS && world->neighbour.requests < requests;
         ms += 4) {
        net_run_for(&world->node->reactor, 2);
        net_run_for(&world->reactor, 2);
    }
    return world->neighbour.requests >= requests;
}

static void
run_case(const case_t *c, unsigned int number)
{
    world_t *world = calloc(1, sizeof(*world));

    cr_assert_not_null(world);
    start_world(world, number);
    for (size_t i = 0; i < 4 && c->answers[i] != END; i++) {
        cr_assert(run_until_asked(world, i + 1), "%s: request %zu", c->name,
                  i);
        answer(&world->neighbour, c->answers[i]);
    }
    for (int i = 0; i < 20; i++) {
        net_run_for(&world->reactor, 2);
        net_run_for(&world->node->reactor, 2);
    }
    cr_expect_eq(pps_node_is_ready(world->node), c->is_ready, "%s", c->name);
    cr_expect_not(world->node->was_restored, "%s: no older epoch", c->name);
}

/* Guards against a host that waits for the store although its neighbours have
 * the copies, and against one that uses a bad answer. */
Test(node_start, copies_of_a_neighbour)
{
    for (unsigned int i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        run_case(&cases[i], i);
    }
}

typedef struct {
    size_t ended;
    unsigned int status;
    pps_buf_t body;
} reply_t;

static void
on_reply(void *user, int error, unsigned int status, const char *body,
         size_t size)
{
    reply_t *reply = user;

    reply->ended++;
    reply->status = status;
    pps_buf_append(&reply->body, body, size);
}

/* Asks the host for copies. @param fields header lines of the asker */
static reply_t
ask(world_t *world, const char *path, const char *fields)
{
    pps_http_requester_t *requester;
    reply_t reply = {0};

    cr_assert_eq(pps_http_requester_new(&requester, &world->reactor,
                                        world->settings.peers_listen),
                 0);
    pps_http_requester_set_fields(requester, fields);
    pps_http_requester_call(requester, path, NULL, LIMIT_MS * PPS_US_PER_MS,
                            on_reply, &reply);
    for (int i = 0; i < 200 && reply.ended == 0; i++) {
        net_run_for(&world->reactor, 2);
        net_run_for(&world->node->reactor, 2);
    }
    return reply;
}

/* Unpacks the answer if `is_packed`, and imports it. @return the number of
 * keys, or -1 */
static int
count_keys(const reply_t *reply, int is_packed)
{
    pps_buf_t plain = PPS_BUF_INIT;
    pps_mirror_t *mirror;
    int count = -1;

    cr_assert_eq(pps_mirror_new(&mirror, &mirror_ops, NULL), 0);
    if (!is_packed) {
        pps_buf_append(&plain, reply->body.data, reply->body.size);
    }
    else if (pps_copy_unpack(&plain, reply->body.data, reply->body.size,
                             PPS_COPY_BYTES_MAX) != 0) {
        pps_buf_clear(&plain);
    }
    if (pps_mirror_import(mirror, pps_buf_text(&plain), plain.size) == 0) {
        count = (int)pps_mirror_count(mirror);
    }
    pps_mirror_free(mirror);
    pps_buf_clear(&plain);
    return count;
}

static void
count_bundled(void *user, const char *topic, size_t topic_size,
              const char *packed, size_t size)
{
    ++*(int *)user;
}

/* Guards against sending hosts of older builds what they can't read: they send
 * no Accept-Encoding. A host without copies refuses those of all topics, so
 * that the asker asks another one or comes again. */
Test(node_start, copies_are_sent_as_the_asker_reads_them)
{
    static const char packs[] = "Accept-Encoding: deflate\r\n";
    static const char has[] = "Accept-Encoding: deflate\r\n"
                              "Copy-Have: 1:9\r\n";
    world_t *world = calloc(1, sizeof(*world));
    int bundled = 0;
    reply_t reply;

    start_world(world, 0);
    cr_expect_eq(ask(world, "/topics", packs).status, 503);
    cr_expect_eq(ask(world, "/topics/keyed.op", packs).status, 404);
    cr_assert(run_until_asked(world, 1));
    answer(&world->neighbour, ANSWER_BUNDLE);
    reply = ask(world, "/topics/keyed.op", "");
    cr_expect_eq(count_keys(&reply, 0), 1, "an older build");
    reply = ask(world, "/topics/keyed.op", packs);
    cr_expect_eq(count_keys(&reply, 1), 1, "compressed");
    reply = ask(world, "/topics/keyed.servers", packs);
    cr_expect_eq(count_keys(&reply, 1), 1, "compressed");
    reply = ask(world, "/topics/keyed.op", has);
    cr_expect_eq(count_keys(&reply, 1), -1, "changes, not a full copy");
    cr_expect_eq(ask(world, "/topics/none", packs).status, 404);
    reply = ask(world, "/topics", "");
    cr_expect_eq(pps_copy_bundle_read(reply.body.data, reply.body.size,
                                      count_bundled, &bundled),
                 0);
    cr_expect_eq(bundled, 2);
}
