/** @file test_poison_record.c @brief Tests what a record of a key that ends
 * workers says, and what follows from it. */
#include "papayaswitch/errors.h"
#include "poison/poison_table.h"
#include "poison_record.h"
#include "poison_sample.h"

#include <criterion/criterion.h>
#include <string.h>

typedef struct {
    const char *what;
    int64_t wall_step_us; /* between the write and the read */
    int64_t age_us;       /* of the last crash, 60 s later */
} record_case_t;

static const record_case_t records[] = {
    {"a steady clock", 0, 61 * S - 90 * MS},
    {"a clock that was set ahead", 5 * S, 66 * S - 90 * MS},
    {"a clock that was set far back", -500 * S, 0},
};

/* It is known that an answer went on before, but not that it clears them. */
Test(poison_record, record_keeps_that_a_key_was_good_before)
{
    pps_poison_evidence_t known_good = convicted;
    pps_poison_evidence_t read;
    pps_buf_t text = PPS_BUF_INIT;

    known_good.good_us = NOW_US - 20 * S;
    cr_assert_eq(pps_poison_record_write(&text, &known_good, NOW_US, WALL_US),
                 0);
    cr_assert_eq(pps_poison_record_parse(&read, KEY_TEXT, text.data, text.size,
                                         NOW_US, WALL_US),
                 0);
    cr_expect_eq(read.good_us, known_good.good_us);
    cr_expect_eq(read.crash_count, 3);
    pps_buf_clear(&text);
}

/* Hosts share no clock but the time of day. */
Test(poison_record, record_keeps_the_age_of_crashes)
{
    for (size_t i = 0; i < sizeof(records) / sizeof(*records); i++) {
        int64_t now_us = 7000 * S;
        pps_poison_evidence_t read;
        pps_buf_t text = PPS_BUF_INIT;

        cr_assert_eq(
            pps_poison_record_write(&text, &convicted, NOW_US, WALL_US), 0);
        cr_assert_eq(pps_poison_record_parse(
                         &read, KEY_TEXT, text.data, text.size, now_us,
                         WALL_US + 60 * S + records[i].wall_step_us),
                     0);
        cr_expect_eq(read.key, KEY);
        cr_expect_eq(read.crash_count, 3);
        cr_expect_eq(now_us - read.crashes[0].at_us, records[i].age_us, "%s",
                     records[i].what);
        cr_expect(pps_poison_evidence_is_suspect(&read, now_us));
        cr_expect_eq(read.crashes[0].worker, 7);
        cr_expect_eq(read.crashes[1].worker, 0);
        pps_buf_clear(&text);
    }
}

static const char *const unreadable[] = {
    "",
    "x",
    "[]",
    "{}",
    "{\"crashes\":[]}",
    "{\"crashes\":[{}]}",
    "{\"crashes\":[{\"id\":\"1\",\"begun_ms\":1,\"at_ms\":1}]}",
    "{\"crashes\":[{\"id\":\"0000000000000001\",\"begun_ms\":1}]}",
    "{\"crashes\":[{\"id\":\"0000000000000001\",\"begun_ms\":-1,\"at_ms\":1}]"
    "}",
};

Test(poison_record, unreadable_records_are_skipped)
{
    for (size_t i = 0; i < sizeof(unreadable) / sizeof(*unreadable); i++) {
        pps_poison_evidence_t read;

        cr_expect_eq(pps_poison_record_parse(&read, KEY_TEXT, unreadable[i],
                                             strlen(unreadable[i]), NOW_US,
                                             WALL_US),
                     PPS_EINVALID, "%s", unreadable[i]);
    }
}

/* Guards against a sound request that no host may try after an end of all
 * hosts. One more crash shows that the record was right. */
Test(poison_record, ambiguous_record_leaves_no_trial)
{
    const uint64_t keys[] = {KEY};
    pps_poison_evidence_t another = {
        .key = KEY,
        .crashes = {{4, NOW_US - 80 * MS, NOW_US - 10 * MS}},
        .crash_count = 1,
    };
    pps_poison_evidence_t read = convicted;
    pps_poison_table_t *table;
    pps_buf_t text = PPS_BUF_INIT;

    read.ambiguous_us = read.crashes[0].at_us;
    cr_assert_eq(pps_poison_record_write(&text, &read, NOW_US, WALL_US), 0);
    cr_assert_eq(pps_poison_record_parse(&read, KEY_TEXT, text.data, text.size,
                                         NOW_US, WALL_US),
                 0);
    cr_assert_eq(pps_poison_table_new(&table), 0);
    cr_assert_eq(pps_poison_table_merge(table, &convicted, NULL), 1);
    pps_poison_table_merge(table, &read, NULL);
    cr_expect(pps_poison_table_find_block(table, keys, 1, NOW_US).is_doubtful);
    pps_poison_table_merge(table, &another, NULL);
    pps_poison_table_merge(table, &read, NULL);
    cr_expect_not(
        pps_poison_table_find_block(table, keys, 1, NOW_US).is_doubtful);
    another.key = BAD_REQUEST;
    pps_poison_table_merge(table, &another, NULL);
    cr_expect(pps_poison_table_find_block(table, keys, 1, NOW_US).is_doubtful,
              "another key may have caused the last one");
    another.key = KEY;
    another.crashes[0].id = 5;
    another.crashes[0].at_us = NOW_US;
    another.crashes[0].begun_us = NOW_US - 1 * MS;
    pps_poison_table_merge(table, &another, NULL);
    cr_expect_not(
        pps_poison_table_find_block(table, keys, 1, NOW_US).is_doubtful);
    cr_expect_eq(pps_poison_table_find_block(table, keys, 1, NOW_US).key, KEY);
    pps_poison_table_free(table);
    pps_buf_clear(&text);
}
