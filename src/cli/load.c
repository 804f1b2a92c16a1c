/** @file load.c @brief `papayaswitch load`: sends requests in an open loop. */
#include "load.h"

#include "clock.h"
#include "load_pool.h"
#include "papayaswitch/errors.h"

#include <curl/curl.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define EXIT_FAILED 1
#define EXIT_USAGE 2

/* Draws an exponential interval, so that arrivals form a Poisson process. */
static int64_t
draw_interval_us(const load_options_t *options, pps_rng_t *rng)
{
    double interval_s = -log(1 - pps_rng_unit(rng)) / options->rate;

    return (int64_t)(interval_s * PPS_US_PER_S);
}

static int
send_requests(load_pool_t *pool, const load_options_t *options)
{
    int64_t start_us = pps_clock_now_us();
    int64_t end_us = start_us + (int64_t)(options->seconds * PPS_US_PER_S);
    int64_t due_us = start_us;
    pps_rng_t rng;

    pps_rng_init(&rng, options->seed);
    for (uint64_t index = 0;; index++) {
        load_request_t *request;
        int error;

        due_us += draw_interval_us(options, &rng);
        if (due_us >= end_us) {
            return PPS_OK;
        }
        error = load_request_new(&request, options, index, due_us);
        if (error < 0) {
            return error;
        }
        if (due_us > pps_clock_now_us()) {
            pps_clock_sleep_us(due_us - pps_clock_now_us());
        }
        load_pool_add(pool, request);
    }
}

static int
write_report(load_report_t *report, const load_options_t *options)
{
    json_t *json = load_report_json(report);
    int status = 0;

    if (options->json[0] == '\0') {
        json_dumpf(json, stdout, JSON_INDENT(2));
        putchar('\n');
    }
    else if (json_dump_file(json, options->json, JSON_INDENT(2)) != 0) {
        status = pps_error_set(PPS_EIO, "%s: the report cannot be written",
                               options->json);
    }
    json_decref(json);
    return status;
}

static int
run(const load_options_t *options, load_report_t *report)
{
    load_pool_t *pool;
    int error = load_pool_start(&pool, options->threads, report);

    if (error < 0) {
        return error;
    }
    error = send_requests(pool, options);
    load_pool_finish(pool);
    return error < 0 ? error : write_report(report, options);
}

int
pps_cli_load(int argc, char **argv)
{
    load_options_t options;
    load_report_t report;
    int error;
    int violated;
    int status = load_options_parse(&options, argc, argv);

    if (status >= 0) {
        return status;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    error = load_report_init(&report, options.sessions);
    if (error < 0) {
        fprintf(stderr, "%s: %s\n", argv[0], pps_error_last());
        return EXIT_USAGE;
    }
    error = run(&options, &report);
    if (error < 0) {
        fprintf(stderr, "%s: %s\n", argv[0], pps_error_last());
    }
    violated = load_report_has_violations(&report);
    load_report_clear(&report);
    curl_global_cleanup();
    return error < 0 || violated ? EXIT_FAILED : EXIT_SUCCESS;
}
