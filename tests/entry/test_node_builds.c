/** @file test_node_builds.c @brief Tests a host whose readers are of the build
 * before. */
#include "node_play.h"

#include "clock.h"
#include "gossip/gossip_codec.h"
#include "gossip/gossip_state.h"
#include "names.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define STARTED_MS 2500
#define LISTED_MS 3000
#define TOLD_MS 6000
#define STATE_PERIOD_MS 200
/** Two hosts on fast links rank before the one that is played. */
#define READERS 2
#define LINK_MBPS 1000
#define KEY "worker-00"

typedef struct {
    const char *name;
    unsigned int lacks;
    int is_told; /* the host learns what the readers have not found relevant */
} case_t;

static const case_t cases[] = {
    {"readers of this build", 0, 0},
    {"readers of the build before", PPS_GOSSIP_LACKS_RELEVANCE_RULE, 1},
};

/* Sends the host the state of a reader that has the whole topic, and has found
 * nothing relevant since the host's last record. */
static void
send_state(unsigned int reader, unsigned int lacks)
{
    pps_node_t *node = node_play->hosts[0].node;
    pps_gossip_message_t message = {.hint_count = 0};
    pps_gossip_state_t *state = &message.state;
    pps_buf_t encoded = PPS_BUF_INIT;

    snprintf(state->host_id, sizeof(state->host_id), "a%u", reader);
    snprintf(state->address, sizeof(state->address), "127.2.0.%u", reader + 1);
    strcpy(state->failure_domain, "z0");
    state->live_hosts = 1 + READERS;
    state->link_mbps = LINK_MBPS;
    state->lacks = lacks;
    for (size_t i = 0; i < NODE_TOPICS; i++) {
        state->topic_epochs[i] = pps_mirror_epoch(node->mirrors[i]);
        state->topic_relevant_ends[i] =
            pps_mirror_relevant_end(node->mirrors[i]);
        state->topic_ends[i] = (int64_t)node_play->store.topics[i].count;
    }
    cr_assert_eq(
        pps_gossip_encode_state(&encoded, &message, node_play->now_us), 0);
    node_play_select(0);
    cr_expect_eq(pps_gossip_receive(node->gossip, encoded.data, encoded.size),
                 0);
    pps_buf_clear(&encoded);
}

static void
run_beside_readers(int64_t until_ms, unsigned int lacks)
{
    while (node_play_elapsed_ms() < until_ms) {
        for (unsigned int i = 0; i < READERS; i++) {
            send_state(i, lacks);
        }
        node_play_run_until(node_play_elapsed_ms() + STATE_PERIOD_MS);
    }
}

/* Guards against a host that relies on the offsets of a build that counts
 * other records, and never learns that a worker has gone. */
Test(node_builds, host_whose_readers_are_older_reads_itself)
{
    static const node_play_options_t options = {"one host", 1, 1, 1, 0};

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_pool_t *pool;

        node_play_start(&options, 1);
        node_play_run_until(STARTED_MS);
        run_beside_readers(LISTED_MS, cases[i].lacks);
        pool = node_play->hosts[0].node->dispatcher.pool;
        cr_expect_not_null(pps_pool_lookup(pool, KEY), "%s", cases[i].name);
        node_play->workers[0].is_running = 0;
        node_play_store_append(PPS_TOPIC_WORKERS, KEY, NULL, 0);
        run_beside_readers(TOLD_MS, cases[i].lacks);
        cr_expect_eq(pps_pool_lookup(pool, KEY) == NULL, cases[i].is_told,
                     "%s", cases[i].name);
        node_play_end();
    }
}
