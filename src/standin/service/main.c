/** @file main.c @brief standin-service: simulates a plain service. */
#include "papayaswitch/errors.h"
#include "service.h"
#include "standin_server.h"

#include <stdio.h>
#include <stdlib.h>

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

static const standin_route_t routes[] = {
    {"POST", "/call/*", service_call_write},
    {"PUT", "/call/*", service_call_write},
    {"DELETE", "/call/*", service_call_write},
    {"GET", "/call/*", service_call_lookup},
    {"GET", "/load", service_load_get},
    {"GET", "/runs", service_runs_get},
    {"GET", "/outcome/*", service_outcome_get},
    {"POST", "/orders", service_orders_post},
    {"GET", "/faults", service_faults_get},
    {"PUT", "/faults", service_faults_put},
};

int
main(int argc, char **argv)
{
    standin_server_t server = STANDIN_SERVER_INIT;
    service_options_t settings = {.id = "o1",
                                  .upstream = "registry",
                                  .failure_domain = "a",
                                  .slots = 32,
                                  .call_us = 1000,
                                  .load_lag_ms = 500};
    const standin_option_t options[] = {
        STANDIN_SERVER_OPTIONS(&server),
        {"id", STANDIN_OPTION_TEXT, &settings.id, "name of the worker"},
        {"upstream", STANDIN_OPTION_TEXT, &settings.upstream, "its pool"},
        {"failure-domain", STANDIN_OPTION_TEXT, &settings.failure_domain,
         "failure domain of the worker"},
        {"checks-fencing", STANDIN_OPTION_FLAG, &settings.checks_fencing,
         "refuse stale fencing numbers"},
        {"slots", STANDIN_OPTION_INT, &settings.slots, "calls at once"},
        {"call-us", STANDIN_OPTION_INT, &settings.call_us, "time of a call"},
        {"load-lag-ms", STANDIN_OPTION_INT, &settings.load_lag_ms,
         "lag of the reported load"},
    };
    service_t service;
    int error;

    if (standin_options_parse(options, COUNT_OF(options), argc, argv) < 0) {
        return EXIT_FAILURE;
    }
    standin_server_init_signals();
    error = service_init(&service, &settings);
    if (error == 0) {
        error =
            standin_server_run(&server, routes, COUNT_OF(routes), &service);
        service_clear(&service);
    }
    if (error < 0) {
        fprintf(stderr, "%s: %s\n", argv[0], pps_error_last());
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
