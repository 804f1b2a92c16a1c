/** @file test_evacuation_orders.c @brief Tests which records of the operator's
 * topic begin and end evacuations. */
#include "caller_wire.h"
#include "exchange/evacuation.h"
#include "mirror_fixture.h"
#include "names.h"
#include "node_evacuation.h"
#include "node_operator.h"
#include "worker_wire.h"

#include <criterion/criterion.h>
#include <string.h>

#define KEY PPS_KEY_EVACUATE "za"
#define LONG_NAME                                                             \
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" \
    "a"

static pps_node_t node;

static void
start(void)
{
    const pps_dispatch_options_t options = {.failure_domain = "za"};

    memset(&node, 0, sizeof(node));
    cr_assert_eq(pps_reactor_init(&node.reactor), 0);
    cr_assert_eq(pps_dispatcher_init(&node.dispatcher, &node.reactor, &options,
                                     &pps_caller_wire_ops,
                                     &pps_worker_wire_ops),
                 0);
    node.store_epoch = 1;
    for (int i = 0; i < NODE_TOPICS; i++) {
        cr_assert_eq(pps_mirror_new(&node.mirrors[i],
                                    &pps_node_operator_mirror_ops, &node),
                     0);
    }
}

/* Starts a host whose operator's topic has been listed, empty, in epoch 1. */
static void
start_listed(void)
{
    start();
    pps_mirror_begin_listing(node.mirrors[NODE_TOPIC_OPERATOR], 1, 10);
    pps_mirror_end_listing(node.mirrors[NODE_TOPIC_OPERATOR]);
}

static int
is_evacuated(const char *name)
{
    return pps_evacuated_domains_find(&node.dispatcher.evacuated, name) !=
           NULL;
}

static void
put(int64_t offset, const char *key, const char *value)
{
    mirror_fixture_apply(node.mirrors[NODE_TOPIC_OPERATOR], offset, key,
                         value);
    pps_node_review_evacuations(&node);
}

/* Lists the topic with one order, or with none. */
static void
list(int64_t epoch, int64_t end, const char *key)
{
    pps_mirror_t *mirror = node.mirrors[NODE_TOPIC_OPERATOR];

    pps_mirror_begin_listing(mirror, epoch, end);
    if (key != NULL) {
        pps_mirror_apply_listed(mirror, end - 1, key, strlen(key), "{}", 2);
    }
    pps_mirror_end_listing(mirror);
}

typedef struct {
    const char *key;
    const char *value;
    size_t count; /* of evacuated domains afterwards */
} form_case_t;

static const form_case_t form_cases[] = {
    {KEY, "{}", 1},
    {KEY, " { } ", 1},
    {KEY, "{\"why\":\"power\"}", 1},
    {KEY, "", 0},
    {KEY, "null", 0},
    {KEY, "[]", 0},
    {KEY, "1", 0},
    {KEY, "\"{}\"", 0},
    {KEY, "{", 0},
    {KEY, "\xff\xfe{}", 0},
    {PPS_KEY_EVACUATE, "{}", 0},
    {PPS_KEY_EVACUATE LONG_NAME, "{}", 0},
    {PPS_KEY_EVACUATE "no/workers here", "{}", 1},
};

/* Guards against an order that is lost, and against bytes that are none and
 * take effect. */
Test(evacuation_orders, record_forms)
{
    for (size_t i = 0; i < sizeof(form_cases) / sizeof(*form_cases); i++) {
        start_listed();
        put(10, form_cases[i].key, form_cases[i].value);
        cr_expect_eq(node.dispatcher.evacuated.count, form_cases[i].count,
                     "case %zu", i);
    }
}

/* Guards against invalid bytes, or a second order, that end an evacuation. */
Test(evacuation_orders, order_stays_until_it_is_deleted)
{
    start_listed();
    put(10, KEY, "{}");
    put(11, KEY, "{}");
    put(12, KEY, "[");
    cr_expect(is_evacuated("za"));
    cr_expect_eq(node.dispatcher.evacuated.count, 1);
    put(13, KEY, NULL);
    cr_expect_not(is_evacuated("za"));
}

/* What follows on an order in epoch 1. */
typedef struct {
    const char *name;
    int64_t epoch;       /* of a listing */
    const char *listed;  /* key that it contains; NULL: none */
    int is_settled;      /* the time to settle is over */
    const char *written; /* value written then; "": nothing, NULL: deleted */
    int is_evacuated;
    int is_evacuated_settled; /* after the time to settle */
} listing_case_t;

static const listing_case_t listing_cases[] = {
    {"compacted, still ordered", 1, KEY, 1, "", 1, 1},
    {"compacted, deleted meanwhile", 1, NULL, 1, "", 0, 0},
    {"restored with the order", 2, KEY, 0, "", 1, 1},
    {"restored without it, not written again", 2, NULL, 0, "", 1, 0},
    {"restored without it, written again", 2, NULL, 0, "{}", 1, 1},
    {"restored with it, deleted again", 2, KEY, 0, NULL, 0, 0},
};

/* Guards against an evacuation that ends because a restored store lacks its
 * order for a time, and against one that never ends. The copy learns of the
 * new epoch from another host, as in an import: the host's own epoch rises
 * only afterwards. */
Test(evacuation_orders, listings)
{
    for (size_t i = 0; i < sizeof(listing_cases) / sizeof(*listing_cases);
         i++) {
        const listing_case_t *item = &listing_cases[i];

        start_listed();
        put(10, KEY, "{}");
        list(item->epoch, 20, item->listed);
        if (!item->is_settled) {
            node.store_epoch = item->epoch;
            node.was_restored = 1;
            node.settled_at_us[NODE_TOPIC_OPERATOR] = 1;
        }
        pps_node_review_evacuations(&node);
        if (item->written == NULL || item->written[0] != '\0') {
            put(20, KEY, item->written);
        }
        cr_expect_eq(is_evacuated("za"), item->is_evacuated, "%s", item->name);
        node.settled_at_us[NODE_TOPIC_OPERATOR] = 0;
        pps_node_review_evacuations(&node);
        cr_expect_eq(is_evacuated("za"), item->is_evacuated_settled, "%s",
                     item->name);
    }
}

/* Guards against a host that starts in the middle of an evacuation and does
 * not know of it: it reads a listing, or another host's copy. */
Test(evacuation_orders, host_that_starts_in_the_middle)
{
    pps_buf_t copy = PPS_BUF_INIT;

    start_listed();
    list(1, 30, KEY);
    pps_node_review_evacuations(&node);
    cr_expect(is_evacuated("za"));
    cr_assert_eq(pps_mirror_encode(node.mirrors[NODE_TOPIC_OPERATOR], &copy),
                 0);
    start_listed();
    cr_assert_eq(pps_mirror_import(node.mirrors[NODE_TOPIC_OPERATOR],
                                   copy.data, copy.size),
                 0);
    pps_node_review_evacuations(&node);
    cr_expect(is_evacuated("za"));
    pps_buf_clear(&copy);
}

#define CONFIG                                                                \
    "{\"version\":1,\"services\":[],\"routes\":[],\"limits\":{"               \
    "\"max_header_bytes\":4096,\"max_body_bytes\":4096,"                      \
    "\"header_timeout_ms\":1000,\"idle_timeout_ms\":2000}}"

/* Guards against a host that serves before it knows the evacuations, which
 * come on a later page of the first listing than the configuration. */
Test(evacuation_orders, first_configuration_waits_for_the_orders)
{
    static const pps_store_topic_options_t options = {PPS_TOPIC_OPERATOR, 0,
                                                      0};
    pps_mirror_t *mirror;

    start();
    mirror = node.mirrors[NODE_TOPIC_OPERATOR];
    /* Its reads do not start, since the event loop does not run. */
    cr_assert_eq(pps_store_topic_new(&node.topics[NODE_TOPIC_OPERATOR],
                                     &node.reactor, "127.0.0.1:1", mirror,
                                     &options, NULL, NULL),
                 0);
    pps_mirror_begin_listing(mirror, 1, 9);
    pps_mirror_apply_listed(mirror, 8, PPS_KEY_CONFIG, strlen(PPS_KEY_CONFIG),
                            CONFIG, strlen(CONFIG));
    pps_node_review_operator(&node);
    cr_expect_null(node.dispatcher.deployment);
    pps_mirror_apply_listed(mirror, 5, KEY, strlen(KEY), "{}", 2);
    pps_mirror_end_listing(mirror);
    pps_node_review_operator(&node);
    cr_expect_not_null(node.dispatcher.deployment);
    cr_expect(is_evacuated("za"));
}
