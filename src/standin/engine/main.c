/** @file main.c @brief standin-engine: simulates a model engine. */
#include "engine.h"
#include "papayaswitch/errors.h"
#include "standin_server.h"

#include <stdio.h>
#include <stdlib.h>

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

static const standin_route_t routes[] = {
    {"POST", "/generate", engine_generate},
    {"POST", "/cancel", engine_cancel},
    {"POST", "/orders", engine_orders_post},
    {"GET", "/outcome/*", engine_outcome_get},
    {"GET", "/load", engine_load_get},
    {"GET", "/runs", engine_runs_get},
    {"GET", "/cache/events", engine_cache_events_get},
    {"GET", "/faults", engine_faults_get},
    {"PUT", "/faults", engine_faults_put},
};

int
main(int argc, char **argv)
{
    static engine_t engine;
    standin_server_t server = STANDIN_SERVER_INIT;
    engine_options_t settings = {.id = "w1",
                                 .upstream = "drafting",
                                 .versions = "drafting/small-1",
                                 .failure_domain = "a",
                                 .slots = 8,
                                 .queue_max = 8,
                                 .token_us = 2000,
                                 .load_lag_ms = 500,
                                 .version_load_ms = 200,
                                 .cache_blocks = 4096};
    const standin_option_t options[] = {
        STANDIN_SERVER_OPTIONS(&server),
        {"id", STANDIN_OPTION_TEXT, &settings.id, "name of the worker"},
        {"upstream", STANDIN_OPTION_TEXT, &settings.upstream, "its pool"},
        {"versions", STANDIN_OPTION_TEXT, &settings.versions,
         "loaded versions, comma-separated"},
        {"failure-domain", STANDIN_OPTION_TEXT, &settings.failure_domain,
         "failure domain of the worker"},
        {"slots", STANDIN_OPTION_INT, &settings.slots, "runs at once"},
        {"queue", STANDIN_OPTION_INT, &settings.queue_max,
         "maximum number of queued runs"},
        {"token-us", STANDIN_OPTION_INT, &settings.token_us,
         "time of a token step"},
        {"checks-fencing", STANDIN_OPTION_FLAG, &settings.checks_fencing,
         "refuse stale fencing numbers and revisions"},
        {"load-lag-ms", STANDIN_OPTION_INT, &settings.load_lag_ms,
         "lag of the reported load and cache events"},
        {"load-ms", STANDIN_OPTION_INT, &settings.version_load_ms,
         "time to load a version"},
        {"cache-blocks", STANDIN_OPTION_INT, &settings.cache_blocks,
         "prompt blocks kept in the prefix cache"},
    };
    int error;

    if (standin_options_parse(options, COUNT_OF(options), argc, argv) < 0) {
        return EXIT_FAILURE;
    }
    standin_server_init_signals();
    error = engine_init(&engine, &settings);
    if (error == 0) {
        error = standin_server_run(&server, routes, COUNT_OF(routes), &engine);
        engine_clear(&engine);
    }
    if (error < 0) {
        fprintf(stderr, "%s: %s\n", argv[0], pps_error_last());
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
