/** @file test_load.c @brief Tests how `papayaswitch load` reports errors. */
#include "harness.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LOAD_TIMEOUT_MS 60000
#define EXIT_USAGE 2
#define EXIT_BROKEN 1 /* an answer was cut or wrong */

static harness_t *harness;

static void
set_up(void)
{
    cr_assert_eq(harness_new(&harness), 0);
}

static void
tear_down(void)
{
    harness_free(harness);
    harness = NULL;
}

TestSuite(load, .init = set_up, .fini = tear_down);

Test(load, unreachable_entries_are_counted)
{
    char path[HARNESS_PATH_MAX];
    const char *const args[] = {
        "load",   "--entry", "127.0.0.1:1", "--workspace", "a=key",
        "--rate", "50",      "--seconds",   "0.4",         "--seed",
        "7",      "--json",  path,          NULL};
    harness_process_t *load;
    json_t *report;
    json_int_t sent;

    harness_path(harness, path, "report.json");
    cr_assert_eq(harness_start(harness, &load, "papayaswitch", "unused", args),
                 0);
    cr_assert_eq(harness_wait(load, LOAD_TIMEOUT_MS), 0);
    report = json_load_file(path, 0, NULL);
    sent = json_integer_value(json_object_get(report, "sent"));
    cr_expect_gt(sent, 0);
    cr_expect_eq(json_integer_value(json_object_get(report, "unreachable")),
                 sent);
    cr_expect_eq(json_integer_value(json_object_get(report, "whole")), 0);
    json_decref(report);
}

Test(load, invalid_arguments_are_rejected)
{
    static const char *const cases[][10] = {
        {"load", NULL},
        {"load", "--entry", "127.0.0.1:1", "--workspace", "nokey", "--rate",
         "1", "--seconds", "1", NULL},
        {"load", "--entry", "127.0.0.1:1", "--workspace", "a=k", "--rate",
         "100000", "--seconds", "1", NULL},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        harness_process_t *load;

        cr_assert_eq(
            harness_start(harness, &load, "papayaswitch", "unused", cases[i]),
            0);
        cr_expect_eq(harness_wait(load, LOAD_TIMEOUT_MS), EXIT_USAGE,
                     "case %zu", i);
    }
}

static const char cut_head[] =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    "X-Request-Id: x\r\nConnection: close\r\n\r\n";

/* Ends each connection one byte later in the head than the one before. */
static void *
serve_cut_heads(void *user)
{
    int listener = *(int *)user;
    size_t size = 0;
    int peer;

    while ((peer = accept(listener, NULL, NULL)) >= 0) {
        char request[4096];

        if (read(peer, request, sizeof(request)) > 0 &&
            write(peer, cut_head, size) == (ssize_t)size) {
            size = (size + 1) % (sizeof(cut_head) - 1);
        }
        close(peer);
    }
    return NULL;
}

static int
listen_on_loopback(char *entry, size_t size)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM, 0);

    cr_assert_eq(bind(listener, (struct sockaddr *)&address, length), 0);
    cr_assert_eq(listen(listener, 64), 0);
    getsockname(listener, (struct sockaddr *)&address, &length);
    snprintf(entry, size, "127.0.0.1:%d", ntohs(address.sin_port));
    return listener;
}

Test(load, cut_heads_count_as_whole_answers)
{
    char path[HARNESS_PATH_MAX];
    char entry[32];
    int listener = listen_on_loopback(entry, sizeof(entry));
    const char *const args[] = {"load",  "--entry", entry, "--workspace",
                                "a=key", "--rate",  "200", "--seconds",
                                "1",     "--seed",  "7",   "--json",
                                path,    NULL};
    harness_process_t *load;
    pthread_t server;
    json_t *report;

    harness_path(harness, path, "report.json");
    cr_assert_eq(pthread_create(&server, NULL, serve_cut_heads, &listener), 0);
    cr_assert_eq(harness_start(harness, &load, "papayaswitch", "unused", args),
                 0);
    cr_expect_eq(harness_wait(load, LOAD_TIMEOUT_MS), EXIT_BROKEN);
    report = json_load_file(path, 0, NULL);
    cr_expect_geq(json_integer_value(json_object_get(report, "sent")),
                  (json_int_t)sizeof(cut_head));
    cr_expect_eq(json_integer_value(json_object_get(report, "whole")), 0);
    json_decref(report);
    shutdown(listener, SHUT_RDWR);
    pthread_join(server, NULL);
    close(listener);
}
