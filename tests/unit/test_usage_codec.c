/** @file test_usage_codec.c @brief Tests the encoding of usage for peer
 * links. */
#include "papayaswitch/admission.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define CAPACITY 4

Test(usage_codec, round_trip)
{
    static const pps_usage_t usage[] = {{"north", 3, 4.5}, {"south", 0, 0}};
    pps_usage_t out[CAPACITY];
    size_t count;
    void *data;
    size_t size;

    cr_assert_eq(pps_usage_encode(&data, &size, usage, 2), 0);
    cr_assert_eq(pps_usage_decode(out, &count, CAPACITY, data, size), 0);
    cr_assert_eq(count, 2);
    for (size_t i = 0; i < count; i++) {
        cr_expect_str_eq(out[i].workspace, usage[i].workspace);
        cr_expect_float_eq(out[i].in_flight, usage[i].in_flight, 1e-9);
        cr_expect_float_eq(out[i].demand, usage[i].demand, 1e-9);
    }
    cr_expect_eq(pps_usage_decode(out, &count, 1, data, size), PPS_ECORRUPT);
    cr_expect_eq(count, 0);
    free(data);
}

Test(usage_codec, invalid_values_are_refused)
{
    static const pps_usage_t cases[] = {{"w", -1, 0},
                                        {"w", 0, -1},
                                        {"w", NAN, 0},
                                        {"w", 0, INFINITY},
                                        {"", 0, 0}};
    pps_usage_t out[CAPACITY];
    size_t count;

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        unsigned char *data;
        size_t size;

        cr_assert_eq(pps_usage_encode((void **)&data, &size, &cases[i], 1), 0);
        cr_expect_eq(pps_usage_decode(out, &count, CAPACITY, data, size),
                     PPS_ECORRUPT, "case %zu", i);
        free(data);
    }
}

Test(usage_codec, truncated_input_and_containers_are_refused)
{
    pps_usage_t usage = {"workspace", 1, 2};
    pps_usage_t out[CAPACITY];
    unsigned char *data;
    size_t count;
    size_t size;

    cr_assert_eq(pps_usage_encode((void **)&data, &size, &usage, 1), 0);
    for (size_t cut = 1; cut < size; cut++) {
        cr_expect_eq(pps_usage_decode(out, &count, CAPACITY, data, cut),
                     PPS_ECORRUPT, "%zu", cut);
    }
    for (int first = 0x80; first <= 0x9f; first++) {
        data[0] = (unsigned char)first;
        cr_expect_eq(pps_usage_decode(out, &count, CAPACITY, data, size),
                     PPS_ECORRUPT);
    }
    free(data);
}
