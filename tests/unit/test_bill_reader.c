/** @file test_bill_reader.c @brief Tests sums, dropped repeats and gaps. */
#include "fake_log.h"
#include "papayaswitch/bill_reader.h"
#include "papayaswitch/record.h"

#include <criterion/criterion.h>
#include <stdio.h>

/** Host, sequence and request number of a bill in the log. */
typedef struct {
    char host;
    uint64_t sequence;
    int request;
} logged_bill_t;

/** Bills in a stream and the expected result of reading it. */
typedef struct {
    logged_bill_t logged[8];
    size_t count;
    uint64_t bills;
    uint64_t repeated_sequence;
    uint64_t repeated_request;
    const char *gaps;
} case_t;

static int
append_gap(const pps_bill_gap_t *gap, void *user)
{
    char *text = user;

    sprintf(text + strlen(text), "%s:%zu-%zu ", gap->host, (size_t)gap->first,
            (size_t)gap->last);
    return 0;
}

static int
expect_sum(const pps_bill_sum_t *sum, void *user)
{
    uint64_t bills = *(const uint64_t *)user;

    cr_expect_str_eq(sum->workspace, "ministry");
    cr_expect_eq(sum->bills, bills);
    cr_expect_eq(sum->prompt_tokens, 10 * bills);
    cr_expect_eq(sum->generated_tokens, 20 * bills);
    cr_expect_eq(sum->cost_micros, 7 * bills);
    return 0;
}

static void
append_bill(fake_log_t *log, const logged_bill_t *logged)
{
    pps_bill_t bill = {.workspace = "ministry",
                       .prompt_tokens = 10,
                       .generated_tokens = 20,
                       .cost_micros = 7,
                       .kind = PPS_BILL_COMPLETED,
                       .host = {logged->host},
                       .incarnation = 1,
                       .sequence = logged->sequence};
    void *payload;
    void *data;
    size_t payload_size;
    size_t size;

    snprintf(bill.request_id, sizeof(bill.request_id), "r%d", logged->request);
    cr_assert_eq(pps_bill_batch_encode(&payload, &payload_size, &bill, 1), 0);
    cr_assert_eq(pps_record_encode(&data, &size, PPS_RECORD_BILLS, payload,
                                   payload_size),
                 0);
    fake_log_store(log, data, size);
    free(payload);
    free(data);
}

Test(bill_reader, sums)
{
    static const case_t cases[] = {
        {{{'a', 1, 1}, {'a', 2, 2}}, 2, 2, 0, 0, ""},
        {{{'a', 1, 1}, {'a', 1, 1}}, 2, 1, 1, 0, ""},
        {{{'a', 1, 1}, {'b', 1, 1}}, 2, 1, 0, 1, ""},
        {{{'a', 3, 3}, {'a', 1, 1}}, 2, 2, 0, 0, "a:2-2 "},
        {{{'a', 3, 3}, {'a', 1, 1}, {'a', 2, 2}}, 3, 3, 0, 0, ""},
        {{{'b', 4, 1}, {'a', 2, 2}}, 2, 2, 0, 0, "b:1-3 a:1-1 "},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        char gaps[256] = "";
        pps_bill_reader_t *reader;
        pps_bill_reader_stats_t stats;
        fake_log_t log;

        fake_log_init(&log);
        fake_log_store(&log, "junk", 4);
        for (size_t j = 0; j < cases[i].count; j++) {
            append_bill(&log, &cases[i].logged[j]);
        }
        cr_assert_eq(pps_bill_reader_new(&reader), 0);
        cr_assert_eq(pps_bill_reader_read(reader, &log.base), 0);
        pps_bill_reader_stats(reader, &stats);
        pps_bill_reader_gap_foreach(reader, append_gap, gaps);
        pps_bill_reader_sum_foreach(reader, expect_sum,
                                    (void *)&cases[i].bills);
        cr_expect_eq(stats.bills, cases[i].bills, "case %zu", i);
        cr_expect_eq(stats.repeated_sequence, cases[i].repeated_sequence);
        cr_expect_eq(stats.repeated_request, cases[i].repeated_request);
        cr_expect_eq(stats.corrupt, 1);
        cr_expect_str_eq(gaps, cases[i].gaps, "case %zu", i);
        pps_bill_reader_free(reader);
        fake_log_clear(&log);
    }
}
