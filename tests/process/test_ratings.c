/** @file test_ratings.c @brief Ratings steer the choice on all hosts. */
#include "harness_cluster.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWERS 240
#define ROUTERS 3

static cluster_t *cluster;

static const char *const keys[] = {"office-key", "north-key", "south-key",
                                   "west-key"};

#define KEYS (sizeof(keys) / sizeof(keys[0]))

/* One workspace by itself never condemns a version. */
static void
add_workspaces(void)
{
    pps_buf_t note = PPS_BUF_INIT;

    for (size_t i = 1; i < KEYS; i++) {
        char hash[65];

        cluster_hash_key(hash, keys[i]);
        pps_buf_printf(&note,
                       "[workspace w%zu]\nkey_hash = %s\n"
                       "quality_target = 0.6\n"
                       "allow = drafting/small-1, drafting/large-1\n",
                       i, hash);
    }
    cr_assert_eq(
        cluster_publish(cluster, "more", pps_buf_text(&note), "in_force"), 0);
    pps_buf_clear(&note);
}

static void
set_up(void)
{
    const cluster_options_t options = {.routers = ROUTERS, .token_us = "200"};

    cr_assert_eq(cluster_new(&cluster, &options), 0);
    add_workspaces();
}

static void
tear_down(void)
{
    cluster_free(cluster);
}

TestSuite(ratings, .init = set_up, .fini = tear_down);

/* Asks the routers in turn and adds a rating of each answer. */
static void
answer_and_rate(int from, double score)
{
    json_t *ratings = json_array();

    for (int i = from; i < from + ANSWERS; i++) {
        harness_reply_t reply;
        char id[24];

        snprintf(id, sizeof(id), "q%d", i);
        cluster_chat(&reply, cluster,
                     &(cluster_chat_t){.router = i % ROUTERS,
                                       .key = keys[(size_t)i / ROUTERS % KEYS],
                                       .request_id = id,
                                       .max_tokens = 1});
        cr_expect_eq(reply.status, 200, "%s", pps_buf_text(&reply.text));
        harness_reply_clear(&reply);
        json_array_append_new(ratings, json_pack("{s:s, s:f}", "request_id",
                                                 id, "score", score));
    }
    cr_assert_eq(
        harness_status("POST", cluster->platform->port, "/ratings", ratings),
        200);
}

static int
holds_small_nowhere(cluster_t *at, void *user)
{
    for (int i = 0; i < ROUTERS; i++) {
        json_t *held = cluster_events(at, i, "version_held");
        size_t count = json_array_size(held);

        json_decref(held);
        if (count != 1) {
            return 0;
        }
    }
    return 1;
}

static void
expect_version(int router, const char *wanted)
{
    harness_reply_t reply;
    char *version;

    cluster_chat(&reply, cluster, &(cluster_chat_t){.router = router});
    version = cluster_header(&reply, "X-Model-Version");
    cr_expect_str_eq(version ? version : "", wanted);
    free(version);
    harness_reply_clear(&reply);
}

Test(ratings, a_version_that_turned_bad_is_held_on_every_host)
{
    answer_and_rate(0, 0.70);
    for (int i = 0; i < ROUTERS; i++) {
        expect_version(i, "drafting/small-1");
    }
    answer_and_rate(ANSWERS, 0.2);
    cr_assert(cluster_wait(cluster, holds_small_nowhere, NULL));
    for (int i = 0; i < ROUTERS; i++) {
        expect_version(i, "drafting/large-1");
    }
}
