/** @file test_msgpack_check.c @brief Tests that lengths beyond the input are
 * refused. */
#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>

typedef struct {
    const char *name;
    const char *bytes;
    size_t size;
    int error;
} case_t;

static const case_t cases[] = {
    {"nil", "\xc0", 1, 0},
    {"empty input", "", 0, PPS_ECORRUPT},
    {"nested", "\x92\x81\x01\xa1x\xc4\x01y", 8, 0},
    {"trailing byte", "\xc0\xc0", 2, PPS_ECORRUPT},
    {"declares 4 Gi elements", "\xdd\xff\xff\xff\xff", 5, PPS_ECORRUPT},
    {"declares 4 Gi pairs", "\xdf\xff\xff\xff\xff\xc0", 6, PPS_ECORRUPT},
    {"declares 4 Gi bytes", "\xc6\xff\xff\xff\xff\xc0", 6, PPS_ECORRUPT},
    {"truncated length", "\xdd\x00", 2, PPS_ECORRUPT},
    {"ext", "\xc7\x02\x01zz", 5, 0},
    {"fixext", "\xd5\x01zz", 4, 0},
};

Test(msgpack_check, table)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(case_t); i++) {
        cr_expect_eq(pps_msgpack_check(cases[i].bytes, cases[i].size),
                     cases[i].error, "%s", cases[i].name);
    }
}
