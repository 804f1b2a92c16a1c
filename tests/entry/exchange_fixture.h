/**
 * @file exchange_fixture.h
 * @brief Runs the dispatcher of one host between a test's caller and scripted
 * workers.
 */
#ifndef PPS_TESTS_ENTRY_EXCHANGE_FIXTURE_H
#define PPS_TESTS_ENTRY_EXCHANGE_FIXTURE_H

#include "exchange/dispatcher.h"
#include "net.h"

#define FIXTURE_WORKERS 3
/** Tokens that a worker's memory holds, by the deployment. */
#define FIXTURE_MEMORY_TOKENS 8000

/** Replies and parts of replies; "%s" stands for the request's id. The id
 * of EVENT must have one digit, because the chunk size is fixed. */
#define SEALED "X-Request-Id: %s\r\nX-Response-Seal: s\r\n"
#define OK_PLAIN "HTTP/1.1 200 OK\r\n" SEALED "Content-Length: 2\r\n\r\nhi"
#define STREAM "HTTP/1.1 200 OK\r\n" SEALED "Transfer-Encoding: chunked\r\n"
#define EVENT(n) "15\r\nid: " n "\ndata: event " n "\n\n\r\n"
#define LAST_CHUNK "0\r\n\r\n"
#define FULL                                                                  \
    "HTTP/1.1 503 Full\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\n"          \
    "Content-Length: 0\r\n\r\n"

/** Host that routes /safe/, /once/, /stream/ and /sized/ to three workers. */
typedef struct {
    pps_reactor_t reactor;
    pps_dispatcher_t dispatcher;
    pps_http_server_t *callers;
    net_server_t workers[FIXTURE_WORKERS];
} fixture_t;

/** Expected answer to a caller. */
typedef struct {
    const char *name;
    const char *status;
    const char *body; /**< "" when only the status is checked */
} fixture_answer_t;

/** Starts a host without workers. */
void
fixture_start_host(pps_dispatcher_t *dispatcher, pps_http_server_t **callers,
                   pps_reactor_t *reactor);

/** Starts the host; each worker replies from the script of `size` entries. */
void
fixture_start(fixture_t *fixture, const net_answer_t *script, size_t size);

/** Returns the number of requests that the workers received. */
size_t
fixture_request_count(const fixture_t *fixture);

/** Lets workers end when they get a request with a text, and start again.
 * @param head what they send before; NULL: nothing */
void
fixture_let_workers_crash(fixture_t *fixture, const char *text,
                          const char *head);

/** Returns how often workers have ended. */
size_t
fixture_count_crashes(const fixture_t *fixture);

/** Runs the loop until all workers are back. */
void
fixture_wait_for_workers(fixture_t *fixture);

/** Connects to a host and sends a request. @param headers additional lines */
void
fixture_request_host(pps_reactor_t *reactor, const pps_http_server_t *callers,
                     net_client_t *client, const char *path,
                     const char *headers);

/** Connects and sends a request. @param headers additional lines */
void
fixture_request(fixture_t *fixture, net_client_t *client, const char *path,
                const char *headers);

/** Calls fixture_request() and runs the loop until the connection has ended or
 * 4 s have passed. */
void
fixture_run_request(fixture_t *fixture, net_client_t *client, const char *path,
                    const char *headers);

/** Fails the test unless the caller received that answer. */
void
fixture_expect(const fixture_answer_t *answer, const net_client_t *client);

#endif
