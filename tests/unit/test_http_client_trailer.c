/** @file test_http_client_trailer.c @brief Answers in chunks that end with
 * trailer fields, read by the client of papayaswitchd. */
#include "http_client.h"

#include "papayaswitch/errors.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS 2000
#define REQUEST_BYTES 4096
#define URL_BYTES 64
/** Two on each connection, the second after the answer with the trailer. */
#define CALLS_PER_CASE 2

typedef struct {
    const char *name;
    const char *head;
    const char *trailer;
    int retry_after_s; /**< as read from the head */
} trailer_case_t;

#define HEAD "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n"

static const trailer_case_t cases[] = {
    {"no trailer", HEAD "Retry-After: 3\r\n", "", 3},
    {"a time to wait", HEAD, "Retry-After: 60\r\n", -1},
    {"another time to wait", HEAD "Retry-After: 3\r\n", "Retry-After: 60\r\n",
     3},
    {"a length", HEAD, "Content-Length: 90\r\n", -1},
    {"behind an interim answer",
     "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" HEAD "Retry-After: 3\r\n",
     "Retry-After: 60\r\n", 3},
};

#define CASE_COUNT (sizeof(cases) / sizeof(*cases))

typedef struct {
    int listener;
    unsigned int port;
    const trailer_case_t *item;
} worker_t;

static void *
serve(void *user)
{
    const worker_t *worker = user;
    int fd = accept(worker->listener, NULL, NULL);
    char request[REQUEST_BYTES];
    char answer[REQUEST_BYTES];
    int size = snprintf(answer, sizeof(answer), "%s\r\n2\r\nab\r\n0\r\n%s\r\n",
                        worker->item->head, worker->item->trailer);

    while (recv(fd, request, sizeof(request), 0) > 0) {
        send(fd, answer, (size_t)size, MSG_NOSIGNAL);
    }
    close(fd);
    return NULL;
}

static void
start_listening(worker_t *worker)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);

    worker->listener = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(bind(worker->listener, (struct sockaddr *)&address, size), 0);
    cr_assert_eq(listen(worker->listener, 8), 0);
    getsockname(worker->listener, (struct sockaddr *)&address, &size);
    worker->port = ntohs(address.sin_port);
}

static void
expect_answer(pps_http_client_t *client, const worker_t *worker, int call)
{
    const trailer_case_t *item = worker->item;
    char url[URL_BYTES];
    const pps_http_request_t request = {.url = url,
                                        .answer_timeout_ms = TIMEOUT_MS};
    pps_http_stream_t *stream;
    pps_buf_t body = PPS_BUF_INIT;

    snprintf(url, sizeof(url), "http://127.0.0.1:%u/", worker->port);
    cr_assert_eq(pps_http_stream_open(&stream, client, &request), 0, "%s",
                 item->name);
    while (pps_http_stream_read(stream, &body, TIMEOUT_MS) > 0) {
    }
    cr_expect_eq(pps_http_stream_status(stream), 503, "%s", item->name);
    cr_expect_str_eq(pps_buf_text(&body), "ab", "%s", item->name);
    cr_expect_eq(pps_http_stream_retry_after(stream), item->retry_after_s,
                 "%s: %d", item->name, pps_http_stream_retry_after(stream));
    cr_expect_eq(pps_http_stream_is_reused(stream), call > 0, "%s",
                 item->name);
    pps_http_stream_close(stream);
    pps_buf_clear(&body);
}

/* Guards against a trailer field that is taken for one of the head: here the
 * time after which a worker is asked again. */
Test(http_client_trailer, trailer_changes_the_time_to_wait)
{
    for (size_t i = 0; i < CASE_COUNT; i++) {
        worker_t worker = {.item = &cases[i]};
        pps_http_client_t *client;
        pthread_t thread;

        start_listening(&worker);
        cr_assert_eq(pthread_create(&thread, NULL, serve, &worker), 0);
        cr_assert_eq(pps_http_client_new(&client), 0);
        for (int call = 0; call < CALLS_PER_CASE; call++) {
            expect_answer(client, &worker, call);
        }
        pps_http_client_free(client);
        pthread_join(thread, NULL);
        close(worker.listener);
    }
}
