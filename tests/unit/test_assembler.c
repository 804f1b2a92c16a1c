/** @file test_assembler.c @brief Order and completeness of answer tokens. */
#include "buf.h"
#include "papayaswitch/errors.h"
#include "upstream/assembler.h"

#include <criterion/criterion.h>
#include <stdio.h>

static int
emit(const char *text, void *user)
{
    return pps_buf_puts(user, text);
}

/* A script is a list of events: `INDEX` is a token, `fCOUNT` a finish event
 * and `x` a token of another request. */
typedef struct {
    const char *name;
    const char *script;
    const char *text;
    int error;
    int complete;
} case_t;

static const case_t cases[] = {
    {"in order", "0 1 2 f3", "012", 0, 1},
    {"swapped", "1 0 2 f3", "012", 0, 1},
    {"reversed", "2 1 0 f3", "012", 0, 1},
    {"duplicate tokens", "0 0 1 1 f2", "01", 0, 1},
    {"early token twice", "1 1 0 f2", "01", 0, 1},
    {"finish early", "f2 0 1", "01", 0, 1},
    {"one missing", "0 2 f3", "0", 0, 0},
    {"no finish", "0 1", "01", 0, 0},
    {"finish with too few tokens", "0 1 f1", "01", PPS_ECORRUPT, 0},
    {"token of another request", "0 x 1 f2", "0", PPS_ECORRUPT, 0},
    {"empty", "f0", "", 0, 1},
};

static int
feed(pps_assembler_t *assembler, const char *script, pps_buf_t *text)
{
    int error = 0;

    for (const char *at = script; *at != '\0' && error == 0; at++) {
        char token[8];
        pps_engine_event_t event = {.request_id = "r", .text = token};

        if (*at == ' ') {
            continue;
        }
        if (*at == 'x') {
            event.request_id = "other";
        }
        else if (*at == 'f') {
            event.kind = PPS_ENGINE_FINISH;
            event.finish_reason = "stop";
            event.generated_tokens = (uint64_t)(*++at - '0');
        }
        else {
            event.index = (uint64_t)(*at - '0');
        }
        snprintf(token, sizeof(token), "%d", (int)event.index);
        error = pps_assembler_add(assembler, &event, emit, text);
    }
    return error;
}

Test(assembler, emits_tokens_in_order_and_detects_completion)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_buf_t text = PPS_BUF_INIT;
        pps_assembler_t assembler;

        pps_assembler_init(&assembler, "r");
        cr_expect_eq(feed(&assembler, cases[i].script, &text), cases[i].error,
                     "%s", cases[i].name);
        cr_expect_str_eq(pps_buf_text(&text), cases[i].text, "%s",
                         cases[i].name);
        cr_expect_eq(pps_assembler_is_complete(&assembler), cases[i].complete,
                     "%s", cases[i].name);
        pps_assembler_clear(&assembler);
        pps_buf_clear(&text);
    }
}

Test(assembler, a_resumed_stream_continues_after_the_last_emitted_token)
{
    pps_buf_t text = PPS_BUF_INIT;
    pps_assembler_t assembler;

    pps_assembler_init(&assembler, "r");
    cr_assert_eq(feed(&assembler, "0 1 3", &text), 0);
    pps_assembler_restart(&assembler);
    cr_assert_eq(feed(&assembler, "2 3 f4", &text), 0);
    cr_expect_str_eq(pps_buf_text(&text), "0123");
    cr_expect(pps_assembler_is_complete(&assembler));
    pps_assembler_clear(&assembler);
    pps_buf_clear(&text);
}

Test(assembler, the_number_of_buffered_tokens_is_limited)
{
    pps_buf_t text = PPS_BUF_INIT;
    pps_assembler_t assembler;
    pps_engine_event_t event = {.request_id = "r", .text = "t"};
    int error = 0;

    pps_assembler_init(&assembler, "r");
    for (event.index = 1; error == 0; event.index++) {
        error = pps_assembler_add(&assembler, &event, emit, &text);
    }
    cr_expect_eq(error, PPS_ECORRUPT);
    cr_expect_eq(event.index, PPS_ASSEMBLER_BUFFERED_MAX + 2);
    pps_assembler_clear(&assembler);
    pps_buf_clear(&text);
}
