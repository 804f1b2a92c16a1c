/** @file test_record.c @brief Tests of the envelope of records. */
#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

Test(record, round_trip)
{
    pps_record_t record;
    void *data;
    size_t size;

    cr_assert_eq(pps_record_encode(&data, &size, PPS_RECORD_NOTE, "hello", 5),
                 0);
    cr_assert_eq(pps_record_decode(&record, data, size), 0);
    cr_expect_eq(record.kind, PPS_RECORD_NOTE);
    cr_expect_eq(record.size, 5);
    cr_expect_eq(memcmp(record.payload, "hello", 5), 0);
    free(data);
}

Test(record, every_damaged_byte_is_refused)
{
    pps_record_t record;
    unsigned char *data;
    size_t size;

    cr_assert_eq(pps_record_encode((void **)&data, &size, PPS_RECORD_CLAIM,
                                   "payload", 7),
                 0);
    for (size_t cut = 0; cut < size; cut++) {
        cr_expect_eq(pps_record_decode(&record, data, cut), PPS_ECORRUPT);
    }
    for (size_t at = 0; at < size; at++) {
        data[at] ^= 0x10;
        cr_expect_eq(pps_record_decode(&record, data, size), PPS_ECORRUPT,
                     "byte %zu", at);
        data[at] ^= 0x10;
    }
    free(data);
}
