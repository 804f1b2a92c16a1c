/** @file main.c @brief standin-platform: log, hosts, rater and weights. */
#include "clock.h"
#include "papayaswitch/errors.h"
#include "platform.h"
#include "standin_server.h"

#include <stdio.h>
#include <stdlib.h>

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

typedef struct {
    int appends_per_second;
    int retain_records;
    int hosts_lag_ms;
    int weights_concurrency;
    int weights_ms;
} platform_options_t;

static const standin_route_t routes[] = {
    {"POST", "/log/:stream/append", platform_log_append},
    {"GET", "/log/:stream", platform_log_read},
    {"GET", "/hosts", platform_hosts_get},
    {"PUT", "/hosts", platform_hosts_put},
    {"POST", "/ratings", platform_ratings_add},
    {"GET", "/ratings", platform_ratings_get},
    {"GET", "/weights/*", platform_weights_get},
    {"GET", "/faults", platform_faults_get},
    {"PUT", "/faults", platform_faults_put},
};

static json_t *
default_faults(const platform_options_t *options)
{
    return json_pack("{s:s,s:i,s:i,s:i,s:i,s:i}", "log", "up", "slow_ms", 0,
                     "drop_acks", 0, "retain", options->retain_records,
                     "hosts_lag_ms", options->hosts_lag_ms, "corrupt_next", 0);
}

static void
on_faults_change(const json_t *change, void *user)
{
    platform_t *platform = user;
    const json_t *retain = json_object_get(change, "retain");
    int64_t lag_ms = standin_faults_int(&platform->faults, "hosts_lag_ms");

    standin_lagged_set_lag(&platform->hosts, lag_ms * PPS_US_PER_MS);
    if (retain != NULL) {
        log_service_trim(&platform->log, (uint64_t)json_integer_value(retain));
    }
    log_service_wake_readers(&platform->log);
}

static int
platform_init(platform_t *platform, const platform_options_t *options)
{
    json_t *hosts = json_pack("{s:[],s:[]}", "entries", "workers");
    int error =
        standin_faults_init(&platform->faults, default_faults(options));

    platform->faults.on_change = on_faults_change;
    platform->faults.user = platform;
    log_service_init(&platform->log, options->appends_per_second,
                     options->retain_records, &platform->faults);
    weight_store_init(&platform->weights, options->weights_concurrency,
                      options->weights_ms * PPS_US_PER_MS);
    if (error == 0) {
        error = ratings_init(&platform->ratings);
    }
    if (error == 0) {
        error = standin_lagged_init(
            &platform->hosts, options->hosts_lag_ms * PPS_US_PER_MS, hosts);
    }
    return error;
}

static void
platform_clear(platform_t *platform)
{
    standin_lagged_clear(&platform->hosts);
    ratings_clear(&platform->ratings);
    weight_store_clear(&platform->weights);
    log_service_clear(&platform->log);
    standin_faults_clear(&platform->faults);
}

int
main(int argc, char **argv)
{
    standin_server_t server = STANDIN_SERVER_INIT;
    platform_options_t settings = {500, 1000000, 200, 4, 300};
    const standin_option_t options[] = {
        STANDIN_SERVER_OPTIONS(&server),
        {"appends-per-second", STANDIN_OPTION_INT,
         &settings.appends_per_second,
         "appends per second; more are answered by 429"},
        {"retain-records", STANDIN_OPTION_INT, &settings.retain_records,
         "records kept of each stream"},
        {"hosts-lag-ms", STANDIN_OPTION_INT, &settings.hosts_lag_ms,
         "lag of the list of hosts"},
        {"weights-concurrency", STANDIN_OPTION_INT,
         &settings.weights_concurrency, "transfers at once"},
        {"weights-ms", STANDIN_OPTION_INT, &settings.weights_ms,
         "time of one transfer"},
    };
    platform_t platform;
    int error;

    if (standin_options_parse(options, COUNT_OF(options), argc, argv) < 0) {
        return EXIT_FAILURE;
    }
    standin_server_init_signals();
    error = platform_init(&platform, &settings);
    if (error == 0) {
        error =
            standin_server_run(&server, routes, COUNT_OF(routes), &platform);
        platform_clear(&platform);
    }
    if (error < 0) {
        fprintf(stderr, "%s: %s\n", argv[0], pps_error_last());
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
