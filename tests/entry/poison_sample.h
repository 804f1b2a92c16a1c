/**
 * @file poison_sample.h
 * @brief Evidence that convicts a key, for tests of its record.
 */
#ifndef PPS_TESTS_ENTRY_POISON_SAMPLE_H
#define PPS_TESTS_ENTRY_POISON_SAMPLE_H

#include "clock.h"
#include "poison/poison_evidence.h"

#define S PPS_US_PER_S
#define MS PPS_US_PER_MS
#define NOW_US (500 * S)
#define WALL_US (INT64_C(1791000000) * S)
#define KEY_TEXT "9123456789abcdef"
#define KEY UINT64_C(0x9123456789abcdef)
#define BAD_REQUEST UINT64_C(0x43)

static const pps_poison_evidence_t convicted = {
    .key = KEY,
    .convicted = 1,
    .crashes = {{3, NOW_US - 1 * S, NOW_US - 1 * S + 90 * MS, 7},
                {2, NOW_US - 2 * S, NOW_US - 2 * S + 90 * MS},
                {1, NOW_US - 3 * S, NOW_US - 3 * S + 90 * MS}},
    .crash_count = 3,
};

#endif
