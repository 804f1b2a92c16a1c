/** @file test_relay_target.c @brief The path of a call to a neighbour. */
#include "relay/relay_target.h"

#include <criterion/criterion.h>

#define DIGEST "0123456789abcdef"
#define WORKER 0x0123456789abcdefULL

typedef struct {
    const char *text;
    pps_relay_target_t target;
    int is_valid;
} target_case_t;

static const target_case_t cases[] = {
    {"/workers/" DIGEST, {WORKER, 0}, 1},
    {"/shares/" DIGEST, {WORKER, 1}, 1},
    {"/shares/" DIGEST "?slots=4", {WORKER, 4}, 1},
    {"/workers/" DIGEST "?slots=4", {0}, 0},
    {"/shares/" DIGEST "?slots=0", {0}, 0},
    {"/shares/" DIGEST "?slots=", {0}, 0},
    {"/shares/" DIGEST "?slots=-1", {0}, 0},
    {"/shares/" DIGEST "?slots=4097", {0}, 0},
    {"/shares/" DIGEST "?slots=4&x", {0}, 0},
    {"/shares/" DIGEST "?other=4", {0}, 0},
    {"/shares/", {0}, 0},
    {"/workers/x", {0}, 0},
    {"/", {0}, 0},
    {"", {0}, 0},
};

Test(relay_target, parse)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_relay_target_t target;
        int is_valid = pps_relay_target_parse(&target, cases[i].text) == 0;

        cr_expect_eq(is_valid, cases[i].is_valid, "%s", cases[i].text);
        if (is_valid) {
            cr_expect_eq(target.worker, cases[i].target.worker);
            cr_expect_eq(target.slots, cases[i].target.slots, "%s: %u",
                         cases[i].text, target.slots);
        }
    }
}

/* Hosts of older builds read the paths of calls for one slot. */
Test(relay_target, write)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_buf_t out = PPS_BUF_INIT;

        if (cases[i].is_valid) {
            pps_relay_target_write(&out, &cases[i].target);
            cr_expect_str_eq(pps_buf_text(&out), cases[i].text);
        }
        pps_buf_clear(&out);
    }
}
