/** @file test_publish.c @brief Tests the stages of a publish. */
#include "papayaswitch/serving.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define HOSTS_MAX 5
#define NOW 10000
#define WINDOW 2000
#define MARGIN 200
#define NONE PPS_TIME_NONE

static void
fill_hosts(pps_host_t hosts[HOSTS_MAX])
{
    memset(hosts, 0, HOSTS_MAX * sizeof(*hosts));
    for (int i = 0; i < HOSTS_MAX; i++) {
        snprintf(hosts[i].id, sizeof(hosts[i].id), "h%d", i);
    }
}

/** Record of a host; `since` is NONE if it lacks the revision. */
typedef struct {
    int64_t since;
    int64_t ping_sent;
} report_case_t;

typedef struct {
    const char *name;
    size_t listed;
    size_t reported;
    report_case_t reports[HOSTS_MAX];
    pps_publish_stage_t stage;
    size_t missing;
} publish_case_t;

#define CASE(name, listed, reported, stage, missing, ...)                     \
    {                                                                         \
        name, listed, reported, {__VA_ARGS__}, PPS_PUBLISH_##stage, missing   \
    }
#define REPORT(since, ping_sent)                                              \
    {                                                                         \
        since, ping_sent                                                      \
    }

static const publish_case_t publish_cases[] = {
    CASE("held by the publisher only", 3, 3, PUBLISHED, 2, REPORT(9000, 10000),
         REPORT(NONE, 9900), REPORT(NONE, 9900)),
    CASE("held by a majority", 3, 3, ACCEPTED, 1, REPORT(9000, 10000),
         REPORT(9100, 9900), REPORT(NONE, 9900)),
    CASE("held by all", 3, 3, IN_FORCE, 0, REPORT(9000, 10000),
         REPORT(9100, 9900), REPORT(9200, 9900)),
    CASE("majority for more than the window and the margin", 3, 2, IN_FORCE, 1,
         REPORT(7000, 10000), REPORT(7799, 9900)),
    CASE("majority for exactly the window and the margin", 3, 2, ACCEPTED, 1,
         REPORT(7000, 10000), REPORT(7800, 9900)),
    CASE("majority never held it at the same time", 3, 2, PUBLISHED, 1,
         REPORT(9000, 10000), REPORT(7000, 8000)),
    CASE("an answer from before the acceptance", 3, 3, ACCEPTED, 1,
         REPORT(9000, 10000), REPORT(9500, 9900), REPORT(8900, 8950)),
    CASE("an unlisted host lacks it", 3, 4, ACCEPTED, 1, REPORT(9000, 10000),
         REPORT(9100, 9900), REPORT(9200, 9900), REPORT(NONE, 9900)),
    CASE("an unlisted host last answered before the window", 3, 4, IN_FORCE, 0,
         REPORT(9000, 10000), REPORT(9100, 9900), REPORT(9200, 9900),
         REPORT(NONE, 7000)),
    CASE("unlisted hosts make no majority", 3, 4, PUBLISHED, 2,
         REPORT(7000, 10000), REPORT(NONE, 9900), REPORT(NONE, 9900),
         REPORT(7000, 9900)),
};

Test(publish, cases)
{
    for (size_t i = 0; i < sizeof(publish_cases) / sizeof(publish_cases[0]);
         i++) {
        pps_host_t hosts[HOSTS_MAX];
        pps_publish_report_t reports[HOSTS_MAX];
        pps_host_list_t list = {hosts, publish_cases[i].listed};
        pps_publish_input_t input = PPS_PUBLISH_INPUT_INIT;
        pps_publish_status_t status;

        fill_hosts(hosts);
        memset(reports, 0, sizeof(reports));
        for (size_t j = 0; j < publish_cases[i].reported; j++) {
            const report_case_t *report = &publish_cases[i].reports[j];

            strcpy(reports[j].id, hosts[j].id);
            reports[j].held_since_us = report->since;
            reports[j].ping_sent_us = report->ping_sent;
            reports[j].revision = report->since == NONE ? 6 : 7;
        }
        input.hosts = &list;
        input.reports = reports;
        input.report_count = publish_cases[i].reported;
        input.revision = 7;
        input.window_us = WINDOW;
        input.margin_us = MARGIN;
        input.now_us = NOW;
        cr_assert_eq(pps_publish_evaluate(&status, &input), 0);
        cr_expect_eq(status.stage, publish_cases[i].stage, "%s: %s",
                     publish_cases[i].name,
                     pps_publish_stage_name(status.stage));
        cr_expect_eq(status.missing_count, publish_cases[i].missing, "%s: %zu",
                     publish_cases[i].name, status.missing_count);
        pps_publish_status_clear(&status);
    }
}

Test(publish, a_new_incarnation_resets_the_record)
{
    pps_publish_report_t record = {.id = ""};
    pps_host_report_t report = {
        .id = "h1", .echo_us = 10, .pong_received_us = 11};

    report.status.incarnation = 1;
    report.status.revision = 7;
    pps_publish_report_update(&record, &report, 7);
    cr_expect_eq(record.held_since_us, 11);
    report.pong_received_us = 21;
    pps_publish_report_update(&record, &report, 7);
    cr_expect_eq(record.held_since_us, 11);
    report.status.incarnation = 2;
    report.status.revision = 6;
    pps_publish_report_update(&record, &report, 7);
    cr_expect_eq(record.held_since_us, NONE);
}
