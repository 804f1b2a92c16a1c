/** @file test_gossip_digest.c @brief Tests digests, beacons and the choice of
 * the hosts that get a state. */
#include "clock.h"
#include "gossip/gossip_digest.h"
#include "gossip/state_plan.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NOW_US (100 * PPS_US_PER_S)
#define HOSTS 40
#define DATAGRAM_BYTES_MAX 1200

static void
expect_truncated_are_rejected(const pps_buf_t *encoded)
{
    for (size_t size = 0; size < encoded->size; size++) {
        pps_gossip_digest_t digest;
        pps_gossip_beacon_t beacon;
        pps_gossip_state_request_t request;

        cr_expect_eq(pps_gossip_decode_digest(&digest, encoded->data, size),
                     PPS_ECORRUPT);
        cr_expect_eq(pps_gossip_decode_beacon(&beacon, encoded->data, size),
                     PPS_ECORRUPT);
        cr_expect_eq(
            pps_gossip_decode_state_request(&request, encoded->data, size),
            PPS_ECORRUPT);
    }
}

/* Guards against a digest that is cut by the network, and against ages that
 * become younger from host to host, by which a lost host would live forever.
 */
Test(gossip_digest, digest_round_trip)
{
    static pps_gossip_digest_t digest;
    static pps_gossip_digest_t decoded;
    pps_buf_t encoded = PPS_BUF_INIT;

    snprintf(digest.from, sizeof(digest.from), "10.20.30.40");
    snprintf(digest.failure_domain, sizeof(digest.failure_domain), "zone-a");
    digest.topic_epochs[1] = 7;
    digest.topic_relevant_ends[1] = INT64_C(1) << 40;
    digest.topic_ends[1] = (INT64_C(1) << 40) + 5;
    digest.count = PPS_GOSSIP_DIGEST_HOSTS;
    for (size_t i = 0; i < digest.count; i++) {
        digest.entries[i] = (pps_gossip_digest_entry_t){
            UINT32_MAX - (uint32_t)i, PPS_GOSSIP_ENTRY_IS_CURRENT(2),
            (int64_t)i * 70 * PPS_US_PER_MS};
    }
    cr_assert_eq(pps_gossip_encode_digest(&encoded, &digest), 0);
    cr_expect_leq(encoded.size, DATAGRAM_BYTES_MAX, "%zu", encoded.size);
    cr_assert_eq(
        pps_gossip_decode_digest(&decoded, encoded.data, encoded.size), 0);
    cr_expect_str_eq(decoded.from, digest.from);
    cr_expect_str_eq(decoded.failure_domain, digest.failure_domain);
    cr_expect_eq(decoded.topic_relevant_ends[1],
                 digest.topic_relevant_ends[1]);
    cr_assert_eq(decoded.count, digest.count);
    for (size_t i = 0; i < digest.count; i++) {
        int64_t added_us =
            decoded.entries[i].age_us - digest.entries[i].age_us;

        cr_expect_eq(decoded.entries[i].id, digest.entries[i].id);
        cr_expect_eq(decoded.entries[i].flags, digest.entries[i].flags);
        cr_expect(added_us >= 0 && added_us < 100 * PPS_US_PER_MS, "%ld",
                  (long)added_us);
    }
    expect_truncated_are_rejected(&encoded);
    pps_buf_clear(&encoded);
}

Test(gossip_digest, beacon_and_request_round_trip)
{
    const pps_gossip_beacon_t beacon = {
        "10.0.0.1", {{1, 2, -1, 300}, {UINT32_MAX, 5, 6, 7}}, 2};
    const pps_gossip_state_request_t request = {
        "10.0.0.2", {0, UINT32_MAX, 17}, 3};
    pps_gossip_beacon_t decoded;
    pps_gossip_state_request_t decoded_request;
    pps_buf_t encoded = PPS_BUF_INIT;

    cr_assert_eq(pps_gossip_encode_beacon(&encoded, &beacon), 0);
    cr_assert_eq(
        pps_gossip_decode_beacon(&decoded, encoded.data, encoded.size), 0);
    cr_assert_eq(decoded.count, 2);
    cr_expect_str_eq(decoded.from, "10.0.0.1");
    cr_expect_eq(decoded.entries[0].read_age_us, -1);
    cr_expect_eq(decoded.entries[0].live_hosts, 300);
    cr_expect_eq(decoded.entries[1].id, UINT32_MAX);
    expect_truncated_are_rejected(&encoded);
    pps_buf_clear(&encoded);
    cr_assert_eq(pps_gossip_encode_state_request(&encoded, &request), 0);
    cr_assert_eq(pps_gossip_decode_state_request(&decoded_request,
                                                 encoded.data, encoded.size),
                 0);
    cr_assert_eq(decoded_request.count, 3);
    cr_expect_eq(decoded_request.ids[1], UINT32_MAX);
    cr_expect_eq(decoded_request.ids[2], 17);
    expect_truncated_are_rejected(&encoded);
    pps_buf_clear(&encoded);
}

#define MUTATIONS 20000

/* Guards against reads beyond a datagram or a table (with a sanitizer) when
 * bytes of a datagram are arbitrary. */
Test(gossip_digest, changed_datagrams_are_decoded_or_rejected)
{
    const pps_gossip_beacon_t beacon = {"10.0.0.1", {{1, 2, 3, 4}}, 1};
    const pps_gossip_state_request_t request = {"10.0.0.2", {1, 2}, 2};
    const pps_gossip_digest_t digest = {
        .from = "10.0.0.1", .entries = {{1, 2, 3}, {4, 5, 6}}, .count = 2};
    const pps_gossip_record_request_t records = {"10.0.0.1", 1, 2, 3};
    const pps_gossip_envelope_t envelope = {1, "10.0.0.1", "a", 9, "abc", 3};
    const pps_gossip_mark_t mark = {1, 2, 3};
    pps_buf_t encoded[6] = {PPS_BUF_INIT};
    pps_rng_t rng;

    pps_rng_init(&rng, 7);
    pps_gossip_encode_beacon(&encoded[0], &beacon);
    pps_gossip_encode_state_request(&encoded[1], &request);
    pps_gossip_encode_digest(&encoded[2], &digest);
    pps_gossip_encode_record_request(&encoded[3], &records);
    pps_gossip_encode_envelope(&encoded[4], &envelope);
    pps_gossip_encode_mark(&encoded[5], &mark);
    for (size_t i = 0; i < MUTATIONS; i++) {
        const pps_buf_t *from = &encoded[i % 6];
        char *data = malloc(from->size);
        pps_gossip_envelope_t any_envelope;
        pps_gossip_record_request_t any_records;
        pps_gossip_state_request_t any_request;
        pps_gossip_digest_t any_digest;
        pps_gossip_beacon_t any_beacon;
        pps_gossip_mark_t any_mark;
        msgpack_unpacked unpacked;

        memcpy(data, from->data, from->size);
        for (size_t n = 0; n <= i % 3; n++) {
            data[pps_rng_below(&rng, from->size)] = (char)pps_rng_next(&rng);
        }
        msgpack_unpacked_init(&unpacked);
        pps_gossip_decode_envelope(&any_envelope, &unpacked, data, from->size);
        msgpack_unpacked_destroy(&unpacked);
        pps_gossip_decode_beacon(&any_beacon, data, from->size);
        pps_gossip_decode_state_request(&any_request, data, from->size);
        pps_gossip_decode_record_request(&any_records, data, from->size);
        pps_gossip_decode_mark(&any_mark, data, from->size);
        if (pps_gossip_decode_digest(&any_digest, data, from->size) == 0) {
            cr_expect_leq(any_digest.count, PPS_GOSSIP_DIGEST_HOSTS);
        }
        free(data);
    }
    for (size_t i = 0; i < 6; i++) {
        pps_buf_clear(&encoded[i]);
    }
}

/** The hosts 0 to 39 in two domains, by turns; 0 to 3 have fast links and are
 * the relays, 0 and 1 read the store. */
typedef struct {
    const char *name;
    unsigned int own;
    int is_served;
    int is_urgent;
    unsigned int older; /* a host of an older build; 0: none */
    unsigned int cut;   /* a relay of the other domain was named; 0: none */
    unsigned int targets;
} plan_case_t;

static const plan_case_t plans[] = {
    {"a host: its relays 0 and 2, and the hub 1", 10, 1, 0, 0, 0, 3},
    {"a host, urgent", 10, 1, 1, 0, 0, 3},
    {"a host in whose domain one is of an older build", 10, 1, 0, 20, 0, 4},
    {"older build in the other domain", 10, 1, 0, 21, 0, 3},
    {"a host that no relay lists: the domain, and the hub 1", 10, 0, 0, 0, 0,
     20},
    {"a relay: the domain, and both hubs", 2, 1, 0, 0, 0, 20},
    {"a relay that knows one of the other domain", 2, 1, 0, 0, 3, 21},
    {"a hub that is a relay: domain, hub, other relays", 0, 1, 0, 0, 0, 21},
    {"a hub, urgent: all", 0, 1, 1, 0, 0, 39},
};

static void
describe(pps_gossip_state_t *state, unsigned int host, const plan_case_t *item)
{
    snprintf(state->host_id, sizeof(state->host_id), "host-%02u", host);
    snprintf(state->address, sizeof(state->address), "10.0.0.%u", host);
    snprintf(state->failure_domain, sizeof(state->failure_domain), "%u",
             host % 2);
    state->link_mbps = host < 4 ? 200 : 10;
    state->read_age_us = host < 2 ? 1000 : 60 * PPS_US_PER_S;
    state->takes_relays = 1;
    if (host == item->older && host != 0) {
        state->lacks = PPS_GOSSIP_LACKS_FORWARDING | PPS_GOSSIP_LACKS_DIGESTS;
    }
}

/* Guards against states that go to hosts which do not need them, and against
 * hosts of older builds that lose the others. */
Test(gossip_digest, states_go_to_those_that_need_them)
{
    for (size_t i = 0; i < sizeof(plans) / sizeof(*plans); i++) {
        const plan_case_t *item = &plans[i];
        static pps_gossip_peer_t peers[HOSTS];
        pps_reactor_t reactor = {.now_us = NOW_US};
        pps_gossip_t gossip = {.reactor = &reactor,
                               .read_age_max_us = PPS_US_PER_S,
                               .peer_count = HOSTS - 1,
                               .served_us = item->is_served ? NOW_US : 0};
        unsigned int targets = 0;
        pps_state_plan_t plan;

        memset(peers, 0, sizeof(peers));
        CDS_INIT_LIST_HEAD(&gossip.peers);
        describe(&gossip.own.state, item->own, item);
        for (unsigned int n = 0; n < HOSTS; n++) {
            describe(&peers[n].state, n, item);
            peers[n].last_received_us = NOW_US;
            peers[n].relay_us = n == item->cut && n != 0 ? NOW_US : 0;
            if (n != item->own) {
                cds_list_add_tail(&peers[n].node, &gossip.peers);
            }
        }
        pps_state_plan_begin(&plan, &gossip, item->is_urgent);
        for (unsigned int n = 0; n < HOSTS; n++) {
            targets += n != item->own &&
                       pps_state_plan_is_target(&plan, &gossip, &peers[n]);
        }
        cr_expect_eq(targets, item->targets, "%s: %u", item->name, targets);
    }
}

typedef struct {
    const char *name;
    int64_t beacon_age_us; /* -1: it never sent one */
    int is_relay;
} silence_case_t;

static const silence_case_t silences[] = {
    {"no relay so far", -1, 1},
    {"one beacon is missing", 800 * PPS_US_PER_MS, 1},
    {"two beacons are missing", 1000 * PPS_US_PER_MS, 0},
    {"it has been none for a time", 11 * PPS_US_PER_S, 1},
};

/* Guards against a relay that is lost and keeps its place until the liveness
 * timeout: the next host in rank has to serve the domain within a second. */
Test(gossip_digest, silent_relays_are_replaced)
{
    static const plan_case_t none = {"", 0};

    for (size_t i = 0; i < sizeof(silences) / sizeof(*silences); i++) {
        const silence_case_t *item = &silences[i];
        pps_reactor_t reactor = {.now_us = NOW_US};
        pps_gossip_t gossip = {.reactor = &reactor, .peer_count = HOSTS};
        const pps_gossip_peer_t *relays[PPS_GOSSIP_RELAYS];
        pps_gossip_peer_t peers[3] = {0};

        CDS_INIT_LIST_HEAD(&gossip.peers);
        describe(&gossip.own.state, 10, &none);
        for (unsigned int n = 0; n < 3; n++) {
            describe(&peers[n].state, n * 2, &none);
            peers[n].last_received_us = NOW_US - PPS_US_PER_S;
            cds_list_add_tail(&peers[n].node, &gossip.peers);
        }
        peers[0].beacon_us =
            item->beacon_age_us < 0 ? 0 : NOW_US - item->beacon_age_us;
        cr_assert_eq(pps_gossip_list_relays(relays, &gossip, "0"), 2);
        cr_expect_eq(relays[0] == &peers[0] || relays[1] == &peers[0],
                     item->is_relay, "%s", item->name);
    }
}
