/** @file test_histograms.c @brief Tests the exposed text of the histograms. */
#include "clock.h"
#include "histograms.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

static const struct {
    int64_t elapsed_us;
    const char *line; /* first bucket that counts every duration so far */
} cases[] = {
    {-5, "_bucket{le=\"0.005\"} 1\n"},
    {5 * PPS_US_PER_MS, "_bucket{le=\"0.005\"} 2\n"},
    {5 * PPS_US_PER_MS + 1, "_bucket{le=\"0.01\"} 3\n"},
    {900 * PPS_US_PER_MS, "_bucket{le=\"1\"} 4\n"},
    {60 * PPS_US_PER_S, "_bucket{le=\"+Inf\"} 5\n"},
};

Test(histograms, table)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_buf_t text = PPS_BUF_INIT;
        char wanted[128];

        pps_histogram_observe(PPS_HISTOGRAM_ENTRY_ANSWER, cases[i].elapsed_us);
        cr_assert_eq(pps_histograms_expose(&text), 0);
        snprintf(wanted, sizeof(wanted), "papayaswitch_entry_answer_seconds%s",
                 cases[i].line);
        cr_expect_not_null(strstr(text.data, wanted), "case %zu:\n%s", i,
                           text.data);
        cr_expect_eq(pps_histogram_total(PPS_HISTOGRAM_ENTRY_ANSWER), i + 1);
        pps_buf_clear(&text);
    }
}

Test(histograms, each_has_a_help_line)
{
    pps_buf_t text = PPS_BUF_INIT;
    size_t types = 0;
    size_t helps = 0;

    cr_assert_eq(pps_histograms_expose(&text), 0);
    for (const char *at = text.data; (at = strstr(at, "# TYPE ")); at++) {
        types++;
    }
    for (const char *at = text.data; (at = strstr(at, "# HELP ")); at++) {
        helps++;
    }
    cr_expect_eq(types, PPS_HISTOGRAM_COUNT);
    cr_expect_eq(helps, PPS_HISTOGRAM_COUNT);
    pps_buf_clear(&text);
}
