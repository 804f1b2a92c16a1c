/** @file test_gossip_golden.c @brief Bytes of the datagrams that hosts of
 * other builds read: builds run side by side while hosts are replaced. */
#include "gossip/gossip_codec.h"
#include "gossip/gossip_forward.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define NOW_US 5000000
#define HEX_BYTES 1024

static void
encode_notice(pps_buf_t *out)
{
    const pps_gossip_notice_t notice = {1, 2, 300};

    pps_gossip_encode_notice(out, &notice);
}

static void
encode_leaving(pps_buf_t *out)
{
    const pps_gossip_leaving_t leaving = {UINT64_C(0x9123456789abcdef), 7};

    pps_gossip_encode_leaving(out, &leaving);
}

static void
encode_limit(pps_buf_t *out)
{
    const pps_gossip_limit_t limit = {1, 7, 1, 1500, 20};

    pps_gossip_encode_limit(out, &limit);
}

static void
encode_brittle(pps_buf_t *out)
{
    const pps_gossip_brittle_t brittle = {1, 7, 1, 1, 12, 20};

    pps_gossip_encode_brittle(out, &brittle);
}

static void
encode_brittle_of_long_prompts(pps_buf_t *out)
{
    const pps_gossip_brittle_t brittle = {1, 7, 1, 1, 12, 20, 1000};

    pps_gossip_encode_brittle(out, &brittle);
}

static void
encode_brittle_for_older(pps_buf_t *out)
{
    const pps_gossip_brittle_t brittle = {1, 7, 1, 1, 12, 20, 0, 1};

    pps_gossip_encode_brittle(out, &brittle);
}

static void
encode_record(pps_buf_t *out)
{
    const pps_gossip_record_t record = {1, 900, 880, "key", 3, "v", 1, 4};

    pps_gossip_encode_record(out, &record);
}

static void
encode_mark(pps_buf_t *out)
{
    const pps_gossip_mark_t mark = {1, 3, 900};

    pps_gossip_encode_mark(out, &mark);
}

static void
encode_envelope(pps_buf_t *out)
{
    const pps_gossip_envelope_t envelope = {1, "10.0.0.1", "a", 77, "x", 1};

    pps_gossip_encode_envelope(out, &envelope);
}

static void
encode_record_request(pps_buf_t *out)
{
    const pps_gossip_record_request_t request = {"10.0.0.1", 1, 3, 900};

    pps_gossip_encode_record_request(out, &request);
}

static void
encode_state(pps_buf_t *out)
{
    static pps_gossip_message_t message;

    snprintf(message.state.host_id, PPS_GOSSIP_TEXT_BYTES, "h");
    snprintf(message.state.address, PPS_GOSSIP_TEXT_BYTES, "10.0.0.1");
    snprintf(message.state.failure_domain, PPS_GOSSIP_TEXT_BYTES, "a");
    message.state.incarnation = 77;
    message.state.live_hosts = 8;
    message.state.takes_relays = 1;
    message.state.poison_digest = 9;
    pps_gossip_encode_state(out, &message, NOW_US);
}

static void
encode_poison(pps_buf_t *out)
{
    const pps_gossip_poison_t poison = {
        .from = "10.0.0.1",
        .items = {{.key = 5,
                   .crashes = {{7, NOW_US - 60, NOW_US - 50, 9}},
                   .crash_count = 1}},
        .count = 1,
    };

    pps_gossip_encode_poison(out, &poison, NOW_US);
}

static void
encode_rollouts(pps_buf_t *out)
{
    static pps_gossip_rollouts_t rollouts;
    pps_rollout_t *rollout = &rollouts.items[0].rollout;

    snprintf(rollouts.from, sizeof(rollouts.from), "10.0.0.1");
    snprintf(rollout->upstream, sizeof(rollout->upstream), "s");
    snprintf(rollout->target, sizeof(rollout->target), "v2");
    rollout->state = PPS_ROLLOUT_ACTIVE;
    rollout->started_us = NOW_US - 7;
    rollout->duration_us = 9;
    rollout->held = 1;
    rollout->hold_reason = PPS_ROLLOUT_HOLD_TIME;
    rollouts.incarnation = 77;
    rollouts.items[0].ended_digest = 9;
    rollouts.items[0].tally.requests = 5;
    rollouts.items[0].tally.target[1] = (pps_rollout_count_t){2, 1};
    rollouts.count = 1;
    pps_gossip_encode_rollouts(out, &rollouts, NOW_US);
}

static void
encode_ended_counts(pps_buf_t *out)
{
    static pps_gossip_ended_counts_t counts;
    pps_gossip_ended_count_t *item = &counts.items[0];

    snprintf(counts.from, sizeof(counts.from), "10.0.0.1");
    snprintf(counts.upstream, sizeof(counts.upstream), "s");
    snprintf(counts.target, sizeof(counts.target), "v2");
    snprintf(item->process.host, sizeof(item->process.host), "10.0.0.2");
    item->process.incarnation = 77;
    item->tally.requests = 5;
    item->tally.target[1] = (pps_rollout_count_t){2, 1};
    counts.count = 1;
    pps_gossip_encode_ended_counts(out, &counts);
}

typedef struct {
    const char *name;
    void (*encode)(pps_buf_t *out);
    const char *hex;
} golden_case_t;

static const golden_case_t cases[] = {
    {"notice", encode_notice, "94020102cd012c"},
    {"leaving", encode_leaving, "9305cf9123456789abcdef07"},
    {"limit", encode_limit, "9606010701cd05dc14"},
    {"brittle", encode_brittle, "9708010701010c14"},
    {"brittle, long prompts", encode_brittle_of_long_prompts,
     "9808010701010c14cd03e8"},
    {"brittle, for older hosts", encode_brittle_for_older,
     "9908010701010c140001"},
    {"poison", encode_poison, "9307a831302e302e302e3191940500ff9194073c3209"},
    {"record", encode_record, "970301cd0384cd0370c4036b6579c4017604"},
    {"mark", encode_mark, "94160103cd0384"},
    {"envelope", encode_envelope, "961401a831302e302e302e31a1614dc40178"},
    {"record request", encode_record_request,
     "9515a831302e302e302e310103cd0384"},
    {"state", encode_state,
     "9f04a168a831302e302e302e31a161084d9300000093000000000000909095000000017f"
     "09"},
    {"roll-outs", encode_rollouts,
     "941aa831302e302e302e3191dc0010a173a27632010709000100000500919a0101020100"
     "0000000000929a000000000000000000009a010000000000000000000003094d"},
    {"counts of ended processes", encode_ended_counts,
     "951ba831302e302e302e31a173a276329196a831302e302e302e324d0500919a01010201"
     "000000000000929a000000000000000000009a01000000000000000000"},
};

static void
write_hex(char *out, const pps_buf_t *data)
{
    out[0] = '\0';
    for (size_t i = 0; i < data->size && i < HEX_BYTES / 2 - 1; i++) {
        snprintf(out + 2 * i, 3, "%02x", (unsigned char)data->data[i]);
    }
}

static size_t
read_hex(char *out, const char *hex)
{
    size_t size = strlen(hex) / 2;

    for (size_t i = 0; i < size; i++) {
        unsigned int byte;

        sscanf(hex + 2 * i, "%2x", &byte);
        out[i] = (char)byte;
    }
    return size;
}

Test(gossip_golden, hosts_of_other_builds_do_not_read_a_datagram)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_buf_t encoded = PPS_BUF_INIT;
        char hex[HEX_BYTES];

        cases[i].encode(&encoded);
        write_hex(hex, &encoded);
        cr_expect_str_eq(hex, cases[i].hex, "%s: %s", cases[i].name, hex);
        pps_buf_clear(&encoded);
    }
}

/* The states that builds before send. */
static const struct {
    const char *build;
    const char *hex;
    unsigned int lacks;
} states_before[] = {
    {"dde14ba",
     "9f04a168a831302e302e302e31a161084d9300000093000000000000909095000000010"
     "309",
     PPS_GOSSIP_LACKS_BRITTLE_UPSTREAMS | PPS_GOSSIP_LACKS_PERMIT_SIZES |
         PPS_GOSSIP_LACKS_ROLLOUT_REPORTS | PPS_GOSSIP_LACKS_RELEVANCE_RULE |
         PPS_GOSSIP_LACKS_ENDED_COUNTS},
    {"239b270",
     "9f04a168a831302e302e302e31a161084d9300000093000000000000909095000000010"
     "709",
     PPS_GOSSIP_LACKS_PERMIT_SIZES | PPS_GOSSIP_LACKS_ROLLOUT_REPORTS |
         PPS_GOSSIP_LACKS_RELEVANCE_RULE | PPS_GOSSIP_LACKS_ENDED_COUNTS},
    {"72556c90",
     "9f04a168a831302e302e302e31a161084d9300000093000000000000909095000000010"
     "f09",
     PPS_GOSSIP_LACKS_ROLLOUT_REPORTS | PPS_GOSSIP_LACKS_RELEVANCE_RULE |
         PPS_GOSSIP_LACKS_ENDED_COUNTS},
    {"945a9a9b",
     "9f04a168a831302e302e302e31a161084d9300000093000000000000909095000000011"
     "f09",
     PPS_GOSSIP_LACKS_RELEVANCE_RULE | PPS_GOSSIP_LACKS_ENDED_COUNTS},
    {"6a58ded5",
     "9f04a168a831302e302e302e31a161084d9300000093000000000000909095000000013"
     "f09",
     PPS_GOSSIP_LACKS_ENDED_COUNTS},
};

static void
expect_state_of_build_before(const char *hex, unsigned int lacks)
{
    pps_gossip_message_t message;
    char data[HEX_BYTES];
    size_t size = read_hex(data, hex);

    cr_assert_eq(pps_gossip_decode_state(&message, data, size, NOW_US), 0);
    cr_expect_str_eq(message.state.host_id, "h");
    cr_expect_eq(message.state.incarnation, 77);
    cr_expect_eq(message.state.live_hosts, 8);
    cr_expect_eq(message.state.takes_relays, 1);
    cr_expect_eq(message.state.poison_digest, 9);
    cr_expect_eq(message.state.lacks, lacks);
}

Test(gossip_golden, state_of_the_build_before_is_not_read)
{
    for (size_t i = 0; i < sizeof(states_before) / sizeof(*states_before);
         i++) {
        expect_state_of_build_before(states_before[i].hex,
                                     states_before[i].lacks);
    }
}

/* Builds before this one do not tell which worker it was. */
Test(gossip_golden, poison_of_the_builds_before_is_not_read)
{
    pps_gossip_poison_t poison;
    char data[HEX_BYTES];
    size_t size = read_hex(data, "9307a831302e302e302e3191940500ff9193073c32");

    cr_assert_eq(pps_gossip_decode_poison(&poison, data, size, NOW_US), 0);
    cr_assert_eq(poison.count, 1);
    cr_assert_eq(poison.items[0].crash_count, 1);
    cr_expect_eq(poison.items[0].crashes[0].id, 7);
    cr_expect_eq(poison.items[0].crashes[0].at_us, NOW_US - 50);
    cr_expect_eq(poison.items[0].crashes[0].worker, 0);
}

/* Builds before this one tell neither why a target is held nor which processes
 * they know of. */
Test(gossip_golden, roll_outs_of_the_builds_before_are_not_read)
{
    pps_gossip_rollouts_t rollouts;
    char data[HEX_BYTES];
    size_t size =
        read_hex(data, "931aa831302e302e302e31919ea173a276320107090001000005"
                       "00919a01010201000000000000929a000000000000000000009a"
                       "0100000000000000000000");

    cr_assert_eq(pps_gossip_decode_rollouts(&rollouts, data, size, NOW_US), 0);
    cr_assert_eq(rollouts.count, 1);
    cr_expect_eq(rollouts.incarnation, 0);
    cr_expect_eq(rollouts.items[0].rollout.held, 1);
    cr_expect_eq(rollouts.items[0].rollout.hold_reason,
                 PPS_ROLLOUT_HOLD_UNKNOWN);
    cr_expect_eq(rollouts.items[0].has_ended_digest, 0);
    cr_expect_eq(rollouts.items[0].tally.requests, 5);
    cr_expect_eq(rollouts.items[0].tally.target[1].failures, 1);
}
