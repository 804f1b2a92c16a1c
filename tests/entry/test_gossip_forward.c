/** @file test_gossip_forward.c @brief Tests the parts that forward datagrams:
 * envelopes, what was handled, kept records, gaps. */
#include "clock.h"
#include "gossip/forward_plan.h"
#include "gossip/gossip_forward.h"
#include "gossip/record_gap.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define NOW_US (100 * PPS_US_PER_S)

Test(gossip_forward, envelope_round_trip)
{
    pps_gossip_envelope_t envelope = {.duty = PPS_FORWARD_OTHERS,
                                      .origin = "10.0.0.1",
                                      .from_domain = "a",
                                      .id = UINT64_C(0xfedcba9876543210),
                                      .data = "abc",
                                      .size = 3};
    pps_gossip_envelope_t decoded;
    pps_buf_t encoded = PPS_BUF_INIT;
    msgpack_unpacked unpacked;

    cr_assert_eq(pps_gossip_encode_envelope(&encoded, &envelope), 0);
    cr_assert_eq(pps_gossip_read_kind(encoded.data, encoded.size),
                 PPS_GOSSIP_FORWARD);
    msgpack_unpacked_init(&unpacked);
    cr_assert_eq(pps_gossip_decode_envelope(&decoded, &unpacked, encoded.data,
                                            encoded.size),
                 0);
    cr_expect_eq(decoded.duty, PPS_FORWARD_OTHERS);
    cr_expect_str_eq(decoded.origin, "10.0.0.1");
    cr_expect_str_eq(decoded.from_domain, "a");
    cr_expect_eq(decoded.id, envelope.id);
    cr_expect(decoded.size == 3 && memcmp(decoded.data, "abc", 3) == 0);
    msgpack_unpacked_destroy(&unpacked);
    /* Truncated datagrams are rejected, at each length. */
    for (size_t size = 0; size < encoded.size; size++) {
        msgpack_unpacked_init(&unpacked);
        cr_expect_eq(pps_gossip_decode_envelope(&decoded, &unpacked,
                                                encoded.data, size),
                     PPS_ECORRUPT, "%zu bytes", size);
        msgpack_unpacked_destroy(&unpacked);
    }
    pps_buf_clear(&encoded);
}

/* Guards against requests and marks that name a topic which does not exist,
 * for which the receiver would read beyond its tables. */
Test(gossip_forward, topics_are_checked)
{
    for (unsigned int topic = 0; topic <= PPS_GOSSIP_TOPICS; topic++) {
        const pps_gossip_mark_t mark = {topic, 2, 77};
        const pps_gossip_record_request_t request = {"10.0.0.1", topic, 2, 77};
        int expected = topic < PPS_GOSSIP_TOPICS ? PPS_OK : PPS_ECORRUPT;
        pps_gossip_record_request_t decoded_request;
        pps_gossip_mark_t decoded_mark;
        pps_buf_t encoded = PPS_BUF_INIT;

        cr_assert_eq(pps_gossip_encode_mark(&encoded, &mark), 0);
        cr_expect_eq(
            pps_gossip_decode_mark(&decoded_mark, encoded.data, encoded.size),
            expected);
        pps_buf_clear(&encoded);
        cr_assert_eq(pps_gossip_encode_record_request(&encoded, &request), 0);
        cr_expect_eq(pps_gossip_decode_record_request(
                         &decoded_request, encoded.data, encoded.size),
                     expected);
        pps_buf_clear(&encoded);
    }
}

typedef struct {
    const char *name;
    uint64_t digest;
    unsigned int duties;
    int64_t at_us;
    unsigned int left;
} seen_case_t;

static const seen_case_t seen_cases[] = {
    {"first arrival", 1, 5, NOW_US, 5},
    {"second arrival", 1, 5, NOW_US + 1, 0},
    {"a further duty", 1, 7, NOW_US + 2, 2},
    {"another datagram", 2, 5, NOW_US + 3, 5},
    {"after the time", 1, 5, NOW_US + 3 * PPS_US_PER_S, 5},
};

/* Guards against datagrams that circle between relays, or that are dropped by
 * a host with two duties because the other path was faster. */
Test(gossip_forward, duties_are_carried_out_once)
{
    static pps_seen_ring_t ring;

    for (size_t i = 0; i < sizeof(seen_cases) / sizeof(*seen_cases); i++) {
        const seen_case_t *item = &seen_cases[i];

        cr_expect_eq(
            pps_seen_ring_take(&ring, item->digest, item->duties, item->at_us),
            item->left, "%s", item->name);
    }
}

static void
add_record(pps_record_log_t *log, int64_t offset, int64_t before)
{
    const pps_gossip_record_t record = {.topic = 1,
                                        .epoch = 4,
                                        .offset = offset,
                                        .relevant_end_before = before};

    pps_record_log_add(log, &record, "x", 1);
}

static void
count_visit(void *user, const pps_buf_t *encoded)
{
    (*(size_t *)user)++;
}

typedef struct {
    const char *name;
    int64_t epoch;
    int64_t end;
    size_t count;
} log_case_t;

/* The log holds the records 10 (after 8), 14 (after 11) and 20 (after 16): the
 * one before 20 was lost here too. */
static const log_case_t log_cases[] = {
    {"all that follow", 4, 8, 2},
    {"an end between irrelevant records", 4, 9, 2},
    {"the last of a row", 4, 11, 1},
    {"behind the lost one", 4, 16, 1},
    {"an older end than any kept", 4, 7, 0},
    {"up to date", 4, 21, 0},
    {"another epoch", 3, 8, 0},
};

/* Guards against an answer that skips a record, which the requesting host
 * would take for a new gap each time. */
Test(gossip_forward, kept_records_follow_each_other)
{
    static pps_record_log_t log;

    add_record(&log, 14, 11);
    add_record(&log, 10, 8);
    add_record(&log, 20, 16);
    add_record(&log, 10, 8);
    for (size_t i = 0; i < sizeof(log_cases) / sizeof(*log_cases); i++) {
        const log_case_t *item = &log_cases[i];
        size_t visited = 0;

        cr_expect_eq(pps_record_log_visit(&log, 1, item->epoch, item->end,
                                          count_visit, &visited),
                     item->count, "%s", item->name);
        cr_expect_eq(visited, item->count, "%s", item->name);
    }
    /* The number of kept records is bounded. */
    for (int64_t i = 0; i < 2L * PPS_RECORD_LOG_SIZE; i++) {
        add_record(&log, 100 + i, 100 + i);
    }
    cr_expect_eq(pps_record_log_visit(&log, 1, 4, 100, count_visit, NULL), 0);
    pps_record_log_clear(&log);
}

typedef struct {
    const char *name;
    pps_gossip_record_t record;
    pps_record_judgement_t judgement;
} judge_case_t;

/* For a copy of epoch 4 with the end 12 and the relevant end 10. */
static const judge_case_t judge_cases[] = {
    {"follows",
     {.epoch = 4, .offset = 12, .relevant_end_before = 10},
     PPS_RECORD_NEXT},
    {"follows irrelevant ones",
     {.epoch = 4, .offset = 19, .relevant_end_before = 12},
     PPS_RECORD_NEXT},
    {"after a gap",
     {.epoch = 4, .offset = 19, .relevant_end_before = 13},
     PPS_RECORD_AFTER_GAP},
    {"known", {.epoch = 4, .offset = 9}, PPS_RECORD_SKIPPED},
    {"another epoch", {.epoch = 5, .offset = 19}, PPS_RECORD_SKIPPED},
};

Test(gossip_forward, records_are_judged)
{
    for (size_t i = 0; i < sizeof(judge_cases) / sizeof(*judge_cases); i++) {
        cr_expect_eq(pps_record_gap_judge(&judge_cases[i].record, 4, 12, 10),
                     judge_cases[i].judgement, "%s", judge_cases[i].name);
    }
}

typedef struct {
    const char *name;
    int is_behind;
    int has_gap;
    int64_t behind_us;
    int64_t at_us;
    int attempt;
} repair_case_t;

static const repair_case_t repair_cases[] = {
    {"up to date", 0, 0, 0, NOW_US, -1},
    {"records are still on their way", 1, 0, 100000, NOW_US, -1},
    {"a gap", 1, 1, 0, NOW_US, 0},
    {"an answer is on its way", 1, 1, 50000, NOW_US + 50000, -1},
    {"another host is asked", 1, 1, 120000, NOW_US + 120000, 1},
    {"repaired", 0, 0, 0, NOW_US + 130000, -1},
    {"behind for longer than records need", 1, 0, 150000, NOW_US + 400000, 0},
};

/* Guards against a host that asks without end, or only one host that is lost.
 */
Test(gossip_forward, requests_are_timed)
{
    pps_record_repair_t repair = {0};

    for (size_t i = 0; i < sizeof(repair_cases) / sizeof(*repair_cases); i++) {
        const repair_case_t *item = &repair_cases[i];

        cr_expect_eq(pps_record_repair_step(&repair, item->is_behind,
                                            item->has_gap, item->behind_us,
                                            item->at_us),
                     item->attempt, "%s", item->name);
    }
}
