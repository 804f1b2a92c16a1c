/** @file test_reply_reader.c @brief Answers from their bytes, cut at each
 * byte.
 */
#include "channel_cases.h"
#include "transport/reply_reader.h"

#include <criterion/criterion.h>
#include <string.h>

#define PIECE_BYTES 4096
/** More than any head or trailer may have. */
#define ENDLESS_BYTES (256U << 10)

/** Feeds a piece until the answer is not read on. */
static pps_reply_state_t
feed(pps_reply_reader_t *reader, const char *data, size_t size)
{
    size_t used;

    return pps_reply_reader_feed(reader, data, size, &used);
}

static pps_reply_state_t
feed_in_pieces(pps_reply_reader_t *reader, const char *text, size_t split)
{
    pps_reply_state_t state = feed(reader, text, split);

    return state == PPS_REPLY_MORE
               ? feed(reader, text + split, strlen(text + split))
               : state;
}

static int
is_expected(const channel_case_t *item, pps_reply_state_t state)
{
    switch (item->failure) {
    case PPS_CHANNEL_MALFORMED:
        return state == PPS_REPLY_MALFORMED;
    case PPS_CHANNEL_BROKEN:
        return state == PPS_REPLY_MORE;
    default:
        return state == PPS_REPLY_WHOLE ||
               (item->answer.end == NET_CLOSE && state == PPS_REPLY_MORE);
    }
}

/* Guards against an answer whose outcome depends on where the network cuts
 * it. */
Test(reply_reader, outcome_depends_on_the_pieces)
{
    for (size_t i = 0; i < channel_case_count; i++) {
        const channel_case_t *item = &channel_cases[i];
        const char *text = item->answer.text != NULL ? item->answer.text : "";

        for (size_t split = 1; split < strlen(text); split++) {
            pps_reply_reader_t reader;
            channel_outcome_t outcome = {0};
            pps_reply_state_t state;

            pps_reply_reader_init(&reader);
            pps_reply_reader_begin(&reader, &channel_outcome_ops, &outcome);
            state = feed_in_pieces(&reader, text, split);
            cr_expect(is_expected(item, state), "%s, %zu: %d", item->name,
                      split, (int)state);
            cr_expect_str_eq(pps_buf_text(&outcome.body), item->body,
                             "%s, %zu", item->name, split);
            pps_buf_clear(&outcome.body);
            pps_reply_reader_clear(&reader);
        }
    }
}

typedef struct {
    const char *name;
    const char *begin;
    const char *more;
} endless_case_t;

#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"

static const endless_case_t endless_cases[] = {
    {"fields of a head", "HTTP/1.1 200 OK\r\n", "X-A: a\r\n"},
    {"a field of a head", "HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaa"},
    {"fields of a trailer", CHUNKED, "X-A: a\r\n"},
    {"a field of a trailer", CHUNKED "X-A: ", "aaaaaaaa"},
    {"blanks of a trailer", CHUNKED "X-A:", "        "},
};

/* Guards against a head or a trailer that is read without end. */
Test(reply_reader, fields_without_end_are_read_on)
{
    for (size_t i = 0; i < sizeof(endless_cases) / sizeof(*endless_cases);
         i++) {
        const endless_case_t *item = &endless_cases[i];
        channel_outcome_t outcome = {0};
        pps_reply_reader_t reader;
        pps_reply_state_t state;
        char piece[PIECE_BYTES];

        for (size_t at = 0; at < sizeof(piece); at += 8) {
            memcpy(piece + at, item->more, 8);
        }
        pps_reply_reader_init(&reader);
        pps_reply_reader_begin(&reader, &channel_outcome_ops, &outcome);
        state = feed(&reader, item->begin, strlen(item->begin));
        for (size_t sent = 0; state == PPS_REPLY_MORE && sent < ENDLESS_BYTES;
             sent += sizeof(piece)) {
            state = feed(&reader, piece, sizeof(piece));
        }
        cr_expect_eq(state, PPS_REPLY_MALFORMED, "%s: %d", item->name,
                     (int)state);
        pps_reply_reader_clear(&reader);
    }
}
