/** @file main.c @brief papayaswitchd: the router of one entry host. */
#include "clock.h"
#include "logger.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/findings.h"
#include "papayaswitch/router.h"
#include "papayaswitch/settings.h"
#include "port_file.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_INVALID_SETTINGS 1
#define EXIT_USAGE 2
#define POLL_INTERVAL_US (20 * PPS_US_PER_MS)

static atomic_int stop_signals;

static void
on_stop(int number)
{
    atomic_fetch_add(&stop_signals, 1);
}

static void
install_signal_handlers(void)
{
    struct sigaction action = {.sa_handler = on_stop};

    sigemptyset(&action.sa_mask);
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    action.sa_handler = SIG_IGN;
    sigaction(SIGPIPE, &action, NULL);
}

static int
load_settings(pps_settings_t *out, const char *path)
{
    pps_findings_t *findings = NULL;
    int error = pps_findings_new(&findings);

    if (error == 0) {
        error = pps_settings_load(out, path, findings);
        pps_findings_print(findings, stderr);
    }
    pps_findings_free(findings);
    return error;
}

static int
report_ports(const pps_router_t *router, const pps_settings_t *settings)
{
    pps_router_ports_t ports;

    pps_router_ports(router, &ports);
    pps_logger_write(PPS_LOG_INFO, "listening",
                     PPS_FIELDS(PPS_INT("http", ports.http),
                                PPS_INT("operator", ports.operator_port),
                                PPS_INT("peer", ports.peer)));
    return settings->port_file[0] != '\0'
               ? pps_port_file_write(settings->port_file, &ports)
               : PPS_OK;
}

/* The first signal starts a drain. A second signal, or the end of the drain
 * time, stops the process without waiting for requests. */
static void
run_until_stopped(pps_router_t *router, const pps_settings_t *settings)
{
    int64_t drain_until_us = 0;

    for (;;) {
        int signals = atomic_load(&stop_signals);
        int64_t now_us = pps_clock_now_us();

        if (signals > 0 && drain_until_us == 0) {
            pps_router_drain(router);
            drain_until_us =
                now_us + settings->drain_seconds_max * PPS_US_PER_S;
        }
        if (signals > 1 || (drain_until_us > 0 && now_us > drain_until_us)) {
            pps_logger_write(PPS_LOG_WARN, "stop_forced", PPS_NO_FIELDS);
            _exit(EXIT_FAILURE);
        }
        if (drain_until_us > 0 && pps_router_is_drained(router)) {
            return;
        }
        pps_clock_sleep_us(POLL_INTERVAL_US);
    }
}

static int
run(const char *path, int check_only)
{
    pps_settings_t settings = {0};
    pps_router_t *router = NULL;
    int error = load_settings(&settings, path);

    if (error < 0) {
        return EXIT_INVALID_SETTINGS;
    }
    if (check_only) {
        return EXIT_SUCCESS;
    }
    pps_logger_setup(settings.log_format == PPS_SETTING_LOG_JSON
                         ? PPS_LOG_JSON
                         : PPS_LOG_KEY_VALUE,
                     PPS_LOG_INFO, settings.host_id);
    error = pps_router_new(&router, &settings);
    if (error == 0) {
        error = pps_router_start(router);
    }
    if (error == 0) {
        error = report_ports(router, &settings);
    }
    if (error < 0) {
        pps_logger_write(PPS_LOG_ERROR, "start_failed",
                         PPS_FIELDS(PPS_STR("detail", pps_error_last())));
        return EXIT_FAILURE;
    }
    run_until_stopped(router, &settings);
    pps_router_free(router);
    pps_logger_write(PPS_LOG_INFO, "stopped", PPS_NO_FIELDS);
    return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    struct arg_file *settings =
        arg_file1("s", "settings", "FILE", "settings of this host (INI)");
    struct arg_lit *check =
        arg_lit0(NULL, "check", "check the settings and exit");
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_end *end = arg_end(8);
    void *table[] = {settings, check, help, end};
    int errors = arg_parse(argc, argv, table);
    int status = EXIT_USAGE;

    if (help->count > 0) {
        printf("papayaswitchd: routes requests to models and services\n\n"
               "Usage: papayaswitchd");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-26s %s\n");
        status = EXIT_SUCCESS;
    }
    else if (errors > 0) {
        arg_print_errors(stderr, end, "papayaswitchd");
    }
    else if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL) != 0) {
        fprintf(stderr, "papayaswitchd: libsodium or curl failed\n");
        status = EXIT_FAILURE;
    }
    else {
        install_signal_handlers();
        status = run(settings->filename[0], check->count > 0);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
