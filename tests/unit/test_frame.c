/** @file test_frame.c @brief Tests frames, handshakes, pings and dialing. */
#include "msgpack_check.h"
#include "papayaswitch/errors.h"
#include "peer/dial.h"
#include "peer/frame.h"
#include "peer/handshake.h"
#include "peer/heartbeat.h"

#include <criterion/criterion.h>
#include <string.h>

static const unsigned char key[PPS_FRAME_KEY_BYTES] = {1, 2, 3};

static void
encode(pps_buf_t *out, uint64_t sequence)
{
    cr_assert_eq(pps_frame_encode(out, key, 42, sequence, "payload", 7), 0);
}

/* Feeds the bytes in pieces of `cut` bytes. @return frames read or an error */
static int
decode_all(const pps_buf_t *bytes, size_t cut)
{
    pps_frame_decoder_t decoder;
    pps_frame_t frame;
    int frames = 0;
    int got = 0;

    pps_frame_decoder_init(&decoder, key);
    for (size_t at = 0; at < bytes->size && got >= 0; at += cut) {
        size_t left = bytes->size - at;

        pps_frame_decoder_feed(&decoder, bytes->data + at,
                               left < cut ? left : cut);
        while ((got = pps_frame_decoder_next(&decoder, &frame)) > 0) {
            cr_expect_eq(frame.kind, 42);
            cr_expect_eq(frame.sequence, (uint64_t)frames);
            cr_expect_eq(frame.size, 7);
            cr_expect_eq(memcmp(frame.payload, "payload", 7), 0);
            frames++;
        }
    }
    pps_frame_decoder_clear(&decoder);
    return got < 0 ? got : frames;
}

Test(frame, any_cut_gives_the_same_frames)
{
    pps_buf_t bytes = PPS_BUF_INIT;

    for (uint64_t i = 0; i < 3; i++) {
        encode(&bytes, i);
    }
    for (size_t cut = 1; cut <= bytes.size; cut++) {
        cr_expect_eq(decode_all(&bytes, cut), 3, "cut %zu", cut);
    }
    pps_buf_clear(&bytes);
}

Test(frame, sequences)
{
    static const struct {
        const char *name;
        uint64_t sequences[3];
        int expected;
    } cases[] = {
        {"in order", {0, 1, 2}, 3},
        {"replay", {0, 0, 1}, PPS_ECONFLICT},
        {"late replay", {0, 1, 0}, PPS_ECONFLICT},
        {"gap", {0, 2, 3}, PPS_ECONFLICT},
        {"wrong start", {1, 2, 3}, PPS_ECONFLICT},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_buf_t bytes = PPS_BUF_INIT;

        for (size_t j = 0; j < 3; j++) {
            encode(&bytes, cases[i].sequences[j]);
        }
        cr_expect_eq(decode_all(&bytes, bytes.size), cases[i].expected, "%s",
                     cases[i].name);
        pps_buf_clear(&bytes);
    }
}

Test(frame, every_damaged_byte_after_the_length_is_refused)
{
    pps_buf_t bytes = PPS_BUF_INIT;

    encode(&bytes, 0);
    for (size_t at = PPS_FRAME_LENGTH_BYTES; at < bytes.size; at++) {
        bytes.data[at] ^= 1;
        cr_expect_eq(decode_all(&bytes, bytes.size), PPS_EREFUSED, "byte %zu",
                     at);
        bytes.data[at] ^= 1;
    }
    bytes.data[0] = 1;
    cr_expect_eq(decode_all(&bytes, bytes.size), PPS_ELIMIT);
    pps_buf_clear(&bytes);
}

Test(frame, payload_over_the_bound_is_not_sent)
{
    static char payload[PPS_FRAME_PAYLOAD_MAX + 1];
    pps_buf_t bytes = PPS_BUF_INIT;

    cr_expect_eq(pps_frame_encode(&bytes, key, 1, 0, payload, sizeof(payload)),
                 PPS_ELIMIT);
    cr_expect_eq(
        pps_frame_encode(&bytes, key, 1, 0, payload, sizeof(payload) - 1), 0);
    cr_expect_leq(bytes.size, PPS_FRAME_BODY_MAX + PPS_FRAME_LENGTH_BYTES +
                                  PPS_FRAME_MAC_BYTES);
    pps_buf_clear(&bytes);
}

Test(handshake, keys_agree_and_depend_on_both_hellos)
{
    pps_peer_hello_t a;
    pps_peer_hello_t b;
    pps_peer_hello_t decoded;
    pps_peer_keys_t from_a;
    pps_peer_keys_t from_b;
    pps_peer_keys_t again;
    pps_buf_t payload = PPS_BUF_INIT;

    pps_peer_hello_init(&a, "a", 1);
    pps_peer_hello_init(&b, "b", 2);
    cr_assert_eq(pps_peer_hello_encode(&payload, &a), 0);
    cr_assert_eq(pps_peer_hello_decode(&decoded, payload.data, payload.size),
                 0);
    cr_expect_eq(memcmp(&decoded, &a, sizeof(a)), 0);
    pps_peer_keys_derive(&from_a, key, &a, &b, 1);
    pps_peer_keys_derive(&from_b, key, &b, &decoded, 0);
    cr_expect_eq(memcmp(from_a.send, from_b.receive, sizeof(from_a.send)), 0);
    cr_expect_eq(memcmp(from_a.receive, from_b.send, sizeof(from_a.send)), 0);
    cr_expect_neq(memcmp(from_a.send, from_a.receive, sizeof(from_a.send)), 0);
    pps_peer_hello_init(&b, "b", 2);
    pps_peer_keys_derive(&again, key, &a, &b, 1);
    cr_expect_neq(memcmp(again.send, from_a.send, sizeof(again.send)), 0);
    pps_buf_clear(&payload);
}

Test(handshake, hellos_are_checked)
{
    static const struct {
        const char *id;
        uint32_t version;
        const char *expected;
        int decoded;
        int checked;
    } cases[] = {
        {"b", 1, "b", PPS_OK, PPS_OK},
        {"b", 1, NULL, PPS_OK, PPS_OK},
        {"c", 1, "b", PPS_OK, PPS_EREFUSED},
        {"a", 1, NULL, PPS_OK, PPS_EREFUSED},
        {"b", 2, "b", PPS_EINVALID, PPS_OK},
        {"", 1, NULL, PPS_ECORRUPT, PPS_OK},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_buf_t payload = PPS_BUF_INIT;
        pps_peer_hello_t hello;

        pps_peer_hello_init(&hello, cases[i].id, 1);
        hello.version = cases[i].version;
        pps_peer_hello_encode(&payload, &hello);
        cr_expect_eq(pps_peer_hello_decode(&hello, payload.data, payload.size),
                     cases[i].decoded, "case %zu", i);
        if (cases[i].decoded == PPS_OK) {
            cr_expect_eq(pps_peer_hello_check(&hello, "a", cases[i].expected),
                         cases[i].checked, "case %zu", i);
        }
        pps_buf_clear(&payload);
    }
}

Test(heartbeat, pong_round_trip)
{
    pps_host_status_t status = {1, 2, 3, PPS_TIME_NONE, 1, 0, 7};
    pps_host_status_t decoded;
    pps_buf_t payload = PPS_BUF_INIT;
    int64_t echo_us;

    cr_assert_eq(pps_pong_encode(&payload, 55, &status), 0);
    cr_assert_eq(
        pps_pong_decode(&echo_us, &decoded, payload.data, payload.size), 0);
    cr_expect_eq(echo_us, 55);
    cr_expect_eq(decoded.incarnation, status.incarnation);
    cr_expect_eq(decoded.revision, status.revision);
    cr_expect_eq(decoded.next_offset, status.next_offset);
    cr_expect_eq(decoded.evidence_age_us, status.evidence_age_us);
    cr_expect_eq(decoded.synced, status.synced);
    cr_expect_eq(decoded.leaving, status.leaving);
    cr_expect_eq(decoded.reachable_count, status.reachable_count);
    cr_expect_eq(
        pps_pong_decode(&echo_us, &decoded, payload.data, payload.size - 1),
        PPS_ECORRUPT);
    pps_buf_clear(&payload);
}

/* A header that claims more bytes than follow is rejected before msgpack-c
 * parses it. */
Test(msgpack_check, cases)
{
    static const struct {
        const char *bytes;
        size_t size;
        int expected;
    } cases[] = {
        {"\x01", 1, PPS_OK},
        {"\x92\x01\xa2hi", 5, PPS_OK},
        {"\xc4\x02hi", 4, PPS_OK},
        {"\x81\x01\xc7\x01\x05z", 6, PPS_OK},
        {"\xd7\x05"
         "12345678",
         10, PPS_OK},
        {"\xcf"
         "12345678",
         9, PPS_OK},
        {"\xdc\x00\x01\x05", 4, PPS_OK},
        {"", 0, PPS_ECORRUPT},
        {"\x01\x01", 2, PPS_ECORRUPT},
        {"\x92\x01", 2, PPS_ECORRUPT},
        {"\xdd\xff\xff\xff\xff", 5, PPS_ECORRUPT},
        {"\xdf\xff\xff\xff\xff", 5, PPS_ECORRUPT},
        {"\xc6\xff\xff\xff\xffhi", 7, PPS_ECORRUPT},
        {"\xc5\x00", 2, PPS_ECORRUPT},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        cr_expect_eq(pps_msgpack_check(cases[i].bytes, cases[i].size),
                     cases[i].expected, "case %zu", i);
    }
}

/* A silent link causes a new attempt; the host is suspected if that fails. */
Test(dial, suspicion_needs_a_second_attempt)
{
    pps_dial_t dial;
    pps_rng_t rng;
    int64_t now = 0;

    pps_rng_init(&rng, 1);
    pps_dial_init(&dial, now);
    cr_assert(pps_dial_is_due(&dial, now));
    pps_dial_begin(&dial, now);
    pps_dial_record_pong(&dial, now, 1);
    now += PPS_DIAL_PONG_TIMEOUT_US;
    cr_assert(pps_dial_has_timed_out(&dial, now));
    pps_dial_end(&dial, now, &rng);
    cr_expect_not(pps_dial_is_suspected(&dial, now));
    cr_assert(pps_dial_is_due(&dial, now));
    pps_dial_begin(&dial, now);
    now += PPS_DIAL_PONG_TIMEOUT_US;
    cr_expect_not(pps_dial_is_suspected(&dial, now));
    cr_assert(pps_dial_has_timed_out(&dial, now));
    pps_dial_end(&dial, now, &rng);
    cr_expect(pps_dial_is_suspected(&dial, now));
    for (int i = 0; i < 20; i++) {
        cr_expect_leq(dial.retry_us - now, PPS_DIAL_BACKOFF_MAX_US);
        now = dial.retry_us;
        cr_assert(pps_dial_is_due(&dial, now));
        pps_dial_begin(&dial, now);
        pps_dial_end(&dial, now, &rng);
    }
    pps_dial_record_pong(&dial, now, 0);
    cr_expect_not(pps_dial_is_suspected(&dial, now));
}
