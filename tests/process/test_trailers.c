/** @file test_trailers.c @brief Requests to papayaswitchd, and answers to the
 * load tool, whose chunked body ends with trailer fields. */
#include "harness_cluster.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TEXT_BYTES 4096
#define LOAD_TIMEOUT_MS 60000
#define ANSWER_TIMEOUT_S 20
#define EXIT_NOT_SERVED 0

#define CHAT                                                                  \
    "{\"model\":\"drafting\",\"messages\":[{\"role\":\"user\","               \
    "\"content\":\"caption\"}],\"max_tokens\":3}"

typedef struct {
    const char *name;
    const char *trailer;
} trailer_case_t;

static const trailer_case_t cases[] = {
    {"none", ""},
    {"the request's id", "X-Request-Id: other\r\n"},
    {"the key", "Authorization: Bearer unknown\r\n"},
    {"the session", "X-Session: other\r\n"},
    {"the deadline", "X-Deadline-Ms: soon\r\n"},
    {"a length", "Content-Length: 1\r\n"},
    {"an encoding", "Transfer-Encoding: gzip\r\n"},
    {"the end of the connection", "Connection: close\r\n"},
    {"two of a name", "X-A: 1\r\nX-A: 2\r\n"},
    {"an empty value", "X-A:\r\n"},
};

#define CASE_COUNT (sizeof(cases) / sizeof(*cases))

static cluster_t *cluster;

static void
set_up(void)
{
    const cluster_options_t options = {.routers = 1};

    cr_assert_eq(cluster_new(&cluster, &options), 0);
}

static void
tear_down(void)
{
    cluster_free(cluster);
}

TestSuite(trailers, .init = set_up, .fini = tear_down);

static int
connect_to(int port)
{
    const struct sockaddr_in address = {.sin_family = AF_INET,
                                        .sin_port = htons((uint16_t)port),
                                        .sin_addr.s_addr =
                                            htonl(INADDR_LOOPBACK)};
    const struct timeval timeout = {.tv_sec = ANSWER_TIMEOUT_S};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    cr_assert_eq(
        connect(fd, (const struct sockaddr *)&address, sizeof(address)), 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    return fd;
}

/** Reads until a text has come, or the connection has ended. */
static void
read_until(char out[TEXT_BYTES], int fd, const char *text)
{
    size_t size = 0;
    ssize_t count = 1;

    out[0] = '\0';
    while (strstr(out, text) == NULL && size < TEXT_BYTES - 1 && count > 0) {
        count = recv(fd, out + size, TEXT_BYTES - 1 - size, 0);
        size += count > 0 ? (size_t)count : 0;
        out[size] = '\0';
    }
}

static void
chat(int fd, const char *id, const trailer_case_t *item)
{
    char text[TEXT_BYTES];
    char expected[64];
    int size =
        snprintf(text, sizeof(text),
                 "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
                 "Authorization: Bearer office-key\r\n"
                 "Content-Type: application/json\r\n"
                 "Transfer-Encoding: chunked\r\nX-Request-Id: %s\r\n\r\n"
                 "%zx\r\n" CHAT "\r\n0\r\n%s\r\n",
                 id, strlen(CHAT), item->trailer);

    cr_assert_eq(send(fd, text, (size_t)size, MSG_NOSIGNAL), size);
    read_until(text, fd, "\"usage\"");
    snprintf(expected, sizeof(expected), "chatcmpl-%s", id);
    cr_expect_eq(strncmp(text, "HTTP/1.1 200", 12), 0, "%s: %s", item->name,
                 text);
    cr_expect_not_null(strstr(text, expected), "%s: %s", item->name, text);
}

/* Guards against a trailer field that papayaswitchd takes for one of the
 * head, and against one that harms the next request on the connection. */
Test(trailers, trailer_changes_a_chat)
{
    for (size_t i = 0; i < CASE_COUNT; i++) {
        int fd = connect_to(cluster->routers[0]->port);
        char id[32];

        snprintf(id, sizeof(id), "a%zu", i);
        chat(fd, id, &cases[i]);
        snprintf(id, sizeof(id), "b%zu", i);
        chat(fd, id, &cases[0]);
        close(fd);
    }
}

static const char refusal[] =
    "HTTP/1.1 503 Full\r\nContent-Type: application/json\r\n"
    "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    "26\r\n{\"error\":{\"code\":\"full\",\"run\":\"no\"}}  \r\n0\r\n"
    "X-Request-Id: other\r\nX-Model-Version: other\r\n\r\n";

static void *
serve_refusals(void *user)
{
    int listener = *(int *)user;
    int peer;

    while ((peer = accept(listener, NULL, NULL)) >= 0) {
        char request[TEXT_BYTES];

        if (read(peer, request, sizeof(request)) > 0) {
            send(peer, refusal, sizeof(refusal) - 1, MSG_NOSIGNAL);
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

/* Guards against a trailer field by which the load tool takes an answer for
 * one to another request. */
Test(trailers, load_tool_counts_an_answer_as_wrong)
{
    char path[HARNESS_PATH_MAX];
    char entry[32];
    int listener = listen_on_loopback(entry, sizeof(entry));
    const char *const args[] = {"load",  "--entry", entry, "--workspace",
                                "a=key", "--rate",  "50",  "--seconds",
                                "0.4",   "--seed",  "7",   "--json",
                                path,    NULL};
    harness_process_t *load;
    pthread_t server;
    json_t *report;

    harness_path(cluster->harness, path, "report.json");
    cr_assert_eq(pthread_create(&server, NULL, serve_refusals, &listener), 0);
    cr_assert_eq(
        harness_start(cluster->harness, &load, "papayaswitch", "unused", args),
        0);
    cr_expect_eq(harness_wait(load, LOAD_TIMEOUT_MS), EXIT_NOT_SERVED);
    report = json_load_file(path, 0, NULL);
    cr_expect_gt(json_integer_value(json_object_get(report, "sent")), 0);
    cr_expect_eq(json_integer_value(json_object_get(report, "wrong")), 0);
    json_decref(report);
    shutdown(listener, SHUT_RDWR);
    pthread_join(server, NULL);
    close(listener);
}
