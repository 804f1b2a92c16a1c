/** @file golden_host.c @brief Implements commands on hosts and serving. */
#include "golden_state.h"

#include "clock.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

golden_host_t *
golden_find_host(golden_t *golden, const char *id)
{
    for (size_t i = 0; i < golden->host_count; i++) {
        if (strcmp(golden->hosts[i].listed.id, id) == 0) {
            return &golden->hosts[i];
        }
    }
    cr_assert_fail("the script has no host `%s`", id);
    return NULL;
}

void
golden_host_clear(golden_host_t *host)
{
    pps_config_fold_free(host->config);
    pps_work_fold_free(host->work);
}

void
golden_host_start(golden_t *golden, golden_host_t *host)
{
    host->incarnation++;
    host->attempt = 0;
    host->report_count = 0;
    host->started_us = golden->now_us;
    host->read_sent_us = PPS_TIME_NONE;
    host->synced = 0;
    cr_assert_eq(pps_config_fold_new(&host->config), 0);
    cr_assert_eq(pps_work_fold_new(&host->work, NULL), 0);
}

static void
run_hosts(golden_t *golden, const golden_line_t *line)
{
    for (size_t i = 1; line->words[i][0] != '\0'; i++) {
        golden_host_t *host = &golden->hosts[golden->host_count++];

        cr_assert_leq(golden->host_count, GOLDEN_HOSTS_MAX);
        snprintf(host->listed.id, sizeof(host->listed.id), "%.8s",
                 line->words[i]);
        golden_host_start(golden, host);
    }
}

static void
run_restart(golden_t *golden, const golden_line_t *line)
{
    golden_host_t *host = golden_find_host(golden, line->words[1]);

    golden_host_clear(host);
    golden_host_start(golden, host);
    golden_print(golden, "incarnation %d", (int)host->incarnation);
}

static void
run_at(golden_t *golden, const golden_line_t *line)
{
    golden->now_us = strtoll(line->words[1], NULL, 10) * PPS_US_PER_MS;
}

static void
run_seed(golden_t *golden, const golden_line_t *line)
{
    pps_rng_init(&golden->rng, strtoull(line->words[1], NULL, 10));
}

static pps_serving_verdict_t
evaluate(golden_t *golden, golden_host_t *host)
{
    pps_host_t listed[GOLDEN_HOSTS_MAX];
    const pps_host_list_t list = {listed, golden->host_count};
    pps_serving_input_t input = PPS_SERVING_INPUT_INIT;
    pps_serving_verdict_t verdict;

    for (size_t i = 0; i < golden->host_count; i++) {
        listed[i] = golden->hosts[i].listed;
    }
    input.self_id = host->listed.id;
    input.next_offset = pps_config_fold_next(host->config);
    input.synced = host->synced;
    input.started_us = host->started_us;
    input.read_sent_us = host->read_sent_us;
    input.read_head = host->read_head;
    input.hosts = &list;
    input.reports = host->reports;
    input.report_count = host->report_count;
    input.now_us = golden->now_us;
    cr_assert_eq(pps_serving_evaluate(&verdict, &input), 0);
    host->synced = verdict.synced;
    return verdict;
}

static pps_host_report_t *
find_or_add_report(golden_host_t *host, const char *id)
{
    for (size_t i = 0; i < host->report_count; i++) {
        if (strcmp(host->reports[i].id, id) == 0) {
            return &host->reports[i];
        }
    }
    return &host->reports[host->report_count++];
}

static void
run_hear(golden_t *golden, const golden_line_t *line)
{
    golden_host_t *host = golden_find_host(golden, line->words[1]);
    golden_host_t *peer = golden_find_host(golden, line->words[2]);
    pps_serving_verdict_t verdict = evaluate(golden, peer);
    pps_host_report_t *report = find_or_add_report(host, peer->listed.id);

    memcpy(report->id, peer->listed.id, sizeof(report->id));
    report->echo_us =
        golden->now_us - strtoll(line->words[3], NULL, 10) * PPS_US_PER_MS;
    report->pong_received_us = golden->now_us;
    report->status = (pps_host_status_t){
        .incarnation = peer->incarnation,
        .revision =
            pps_catalog_revision(pps_config_fold_catalog(peer->config)),
        .next_offset = pps_config_fold_next(peer->config),
        .evidence_age_us = verdict.evidence_us == PPS_TIME_NONE
                               ? PPS_TIME_NONE
                               : golden->now_us - verdict.evidence_us,
        .synced = verdict.synced};
}

static void
run_serve(golden_t *golden, const golden_line_t *line)
{
    golden_host_t *host = golden_find_host(golden, line->words[1]);
    pps_serving_verdict_t verdict = evaluate(golden, host);
    pps_serving_t serving;

    pps_serving_init(&serving);
    pps_serving_publish(&serving, &verdict);
    if (pps_serving_may_start(&serving, golden->now_us)) {
        golden_print(golden, "starts work before %lld ms: %s",
                     (long long)(verdict.valid_until_us / PPS_US_PER_MS),
                     pps_serving_reason(&serving, golden->now_us));
        return;
    }
    golden_print(golden, "starts no work: %s",
                 pps_serving_reason(&serving, golden->now_us));
}

const golden_command_t golden_host_commands[] = {
    {"hosts", run_hosts},     /* hosts ID... */
    {"restart", run_restart}, /* restart HOST: without its state */
    {"at", run_at},           /* at MILLISECONDS */
    {"seed", run_seed},       /* seed NUMBER */
    {"hear", run_hear},       /* hear HOST PEER MILLISECONDS since the ping */
    {"serve", run_serve},     /* serve HOST */
    {NULL, NULL},
};
