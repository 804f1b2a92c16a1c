/** @file test_http_client_answers.c @brief Answers against the grammar of
 * HTTP/1.1, read by the client of papayaswitchd. */
#include "http_client.h"

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

typedef struct {
    const char *name;
    const char *text;
    int is_answer;
} answer_case_t;

#define OK "HTTP/1.1 200 OK\r\n"
#define AB "Content-Length: 2\r\n\r\nab"
#define CHUNKS "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"

static const answer_case_t cases[] = {
    {"with a length", OK AB, 1},
    {"in chunks", OK CHUNKS, 1},
    {"without a length", OK "\r\nab", 1},
    {"chunks in other letters",
     OK "Transfer-Encoding:  Chunked \r\n\r\n2\r\nab\r\n0\r\n\r\n", 1},
    {"an interim answer first", "HTTP/1.1 103 Early\r\nX-A: 1\r\n\r\n" OK AB,
     1},
    {"no reason", "HTTP/1.1 200\r\n" AB, 1},
    {"status 000", "HTTP/1.1 000 Zero\r\n" AB, 0},
    {"status 099", "HTTP/1.1 099 Low\r\n" AB, 0},
    {"status 600", "HTTP/1.1 600 High\r\n" AB, 0},
    {"status 999", "HTTP/1.1 999 High\r\n" AB, 0},
    {"a status of two digits", "HTTP/1.1 20 OK\r\n" AB, 0},
    {"a status of four digits", "HTTP/1.1 2000 OK\r\n" AB, 0},
    {"two blanks before the status", "HTTP/1.1  200 OK\r\n" AB, 0},
    {"a control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" AB, 0},
    {"HTTP/0.9", "HTTP/0.9 200 OK\r\n" AB, 0},
    {"a blank in a name", OK "X Odd: zz\r\n" AB, 0},
    {"a blank before a colon", OK "X-Odd : zz\r\n" AB, 0},
    {"a blank before a length's colon", OK "Content-Length : 1\r\n\r\nab", 0},
    {"a blank before the first field", OK " X-A: 1\r\n" AB, 0},
    {"a control byte in a name", OK "X-\x01: zz\r\n" AB, 0},
    {"another byte in a name", OK "X-\xc3\xa9: zz\r\n" AB, 0},
    {"no colon", OK "X-Odd\r\n" AB, 0},
    {"a value that goes on in the next line", OK "X-A: 1\r\n 2\r\n" AB, 0},
    {"a control byte in a value", OK "X-A: a\x01z\r\n" AB, 0},
    {"a blank in a name of an interim answer",
     "HTTP/1.1 103 Early\r\nX Odd: zz\r\n\r\n" OK AB, 0},
    {"another coding", OK "Transfer-Encoding: gzip\r\n\r\nab", 0},
    {"a coding that is not known", OK "Transfer-Encoding: zz\r\n\r\nab", 0},
    {"an empty coding", OK "Transfer-Encoding:\r\n" CHUNKS, 0},
    {"a coding and a length", OK "Content-Length: 2\r\n" CHUNKS, 0},
    {"two lengths", OK "Content-Length: 2\r\n" AB, 0},
    {"more bytes than the chunk's size",
     OK "Transfer-Encoding: chunked\r\n\r\n2\r\nabXX0\r\n\r\n", 0},
    {"shorter than its length", OK "Content-Length: 5\r\n\r\nab", 0},
};

typedef struct {
    int listener;
    unsigned int port;
    const answer_case_t *item;
} worker_t;

static void *
serve(void *user)
{
    const worker_t *worker = user;
    int fd = accept(worker->listener, NULL, NULL);
    char request[REQUEST_BYTES];

    if (recv(fd, request, sizeof(request), 0) > 0) {
        send(fd, worker->item->text, strlen(worker->item->text), MSG_NOSIGNAL);
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
run_case(const answer_case_t *item)
{
    worker_t worker = {.item = item};
    char url[URL_BYTES];
    const pps_http_request_t request = {.url = url,
                                        .answer_timeout_ms = TIMEOUT_MS};
    pps_http_response_t response;
    pps_http_client_t *client;
    pthread_t thread;
    int error;

    start_listening(&worker);
    snprintf(url, sizeof(url), "http://127.0.0.1:%u/", worker.port);
    cr_assert_eq(pthread_create(&thread, NULL, serve, &worker), 0);
    cr_assert_eq(pps_http_client_new(&client), 0);
    error = pps_http_client_call(&response, client, &request);
    cr_expect_eq(error == 0, item->is_answer, "%s: %d", item->name, error);
    if (error == 0) {
        cr_expect_str_eq(pps_buf_text(&response.body), "ab", "%s", item->name);
        pps_http_response_clear(&response);
    }
    pps_http_client_free(client);
    pthread_join(thread, NULL);
    close(worker.listener);
}

/* Guards against a server in trouble whose answer is taken for a sound one. */
Test(http_client_answers, answer_against_the_grammar_is_read, .timeout = 120)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        run_case(&cases[i]);
    }
}
