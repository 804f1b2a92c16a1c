/** @file test_peers_forged.c @brief Tests invalid frames on a ready link. */
#include "peers_fixture.h"

TestSuite(peers_forged, .init = setup, .fini = teardown, .timeout = 120);

typedef enum {
    OVERSIZE, /**< a length over the limit */
    FORGED,   /**< a frame with a MAC of another key */
    REPLAYED, /**< a frame with a used sequence number */
    GAP,      /**< a frame that skips a sequence number */
} forgery_t;

static const struct {
    forgery_t forgery;
    pps_counter_t counter;
} cases[] = {
    {OVERSIZE, PPS_COUNTER_PEER_FRAMES_BAD_LENGTH},
    {FORGED, PPS_COUNTER_PEER_FRAMES_BAD_MAC},
    {REPLAYED, PPS_COUNTER_PEER_FRAMES_BAD_SEQUENCE},
    {GAP, PPS_COUNTER_PEER_FRAMES_BAD_SEQUENCE},
};

static pps_counter_t expected_counter;
static uint64_t count_before;
static uint64_t opened_before;

static int
is_counted(void)
{
    return pps_counter_sum(expected_counter) > count_before;
}

static int
is_reconnected(void)
{
    return pps_counter_sum(PPS_COUNTER_PEER_LINKS_OPENED) > opened_before &&
           pps_peer_select_link(pps_peers_find(nodes[1].peers, "h0")) != NULL;
}

static void
make_forgery(pps_buf_t *out, const pps_peer_link_t *link, forgery_t forgery)
{
    unsigned char wrong_key[PPS_FRAME_KEY_BYTES] = {0};
    uint64_t next = link->next_sequence;

    switch (forgery) {
    case OVERSIZE:
        pps_buf_append(out, "\xff\xff\xff\xff", 4);
        break;
    case FORGED:
        pps_frame_encode(out, wrong_key, KIND, next, "", 0);
        break;
    case REPLAYED:
        pps_frame_encode(out, link->send_key, KIND, next - 1, "", 0);
        break;
    case GAP:
        pps_frame_encode(out, link->send_key, KIND, next + 1, "", 0);
        break;
    }
}

static void
inject(forgery_t forgery)
{
    pps_peer_link_t *link = pps_peers_find(nodes[1].peers, "h0")->outbound;
    pps_buf_t bytes = PPS_BUF_INIT;
    uv_buf_t buf;

    make_forgery(&bytes, link, forgery);
    buf = uv_buf_init(bytes.data, (unsigned)bytes.size);
    cr_assert_eq(uv_try_write((uv_stream_t *)&link->tcp, &buf, 1),
                 (int)bytes.size);
    pps_buf_clear(&bytes);
}

/* The link is closed, the frame is not delivered and a new link opens. */
Test(peers_forged, bad_bytes_close_the_link_and_are_counted)
{
    pps_host_t host;
    pps_host_list_t list = {&host, 1};

    start_node(0, 7);
    start_node(1, 7);
    host = make_host("h0", pps_peers_port(nodes[0].peers));
    cr_assert_eq(pps_peers_set_hosts(nodes[1].peers, &list), 0);
    cr_assert(run_until(host_1_receives_pongs_from_0));
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        size_t messages = nodes[0].messages;

        expected_counter = cases[i].counter;
        count_before = pps_counter_sum(expected_counter);
        opened_before = pps_counter_sum(PPS_COUNTER_PEER_LINKS_OPENED);
        inject(cases[i].forgery);
        cr_assert(run_until(is_counted), "case %zu", i);
        cr_expect_eq(nodes[0].messages, messages, "case %zu", i);
        cr_assert(run_until(is_reconnected), "case %zu", i);
    }
}
