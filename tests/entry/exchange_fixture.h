/**
 * @file exchange_fixture.h
 * @brief One host's traffic between a caller and scripted workers.
 */
#ifndef PPS_TESTS_ENTRY_EXCHANGE_FIXTURE_H
#define PPS_TESTS_ENTRY_EXCHANGE_FIXTURE_H

#include "exchange/dispatcher.h"
#include "net.h"

#define FIXTURE_WORKERS 3

/** Whole answers and parts of them; "%s" is the request's id. */
#define SEALED "X-Request-Id: %s\r\nX-Response-Seal: s\r\n"
#define OK_PLAIN "HTTP/1.1 200 OK\r\n" SEALED "Content-Length: 2\r\n\r\nhi"
#define STREAM "HTTP/1.1 200 OK\r\n" SEALED "Transfer-Encoding: chunked\r\n"
#define EVENT(n) "15\r\nid: " n "\ndata: event " n "\n\n\r\n"
#define LAST "0\r\n\r\n"
#define FULL                                                                  \
    "HTTP/1.1 503 Full\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\n"          \
    "Content-Length: 0\r\n\r\n"

/** Routes /safe/, /once/, /stream/ and /sized/ before three workers. */
typedef struct {
    pps_reactor_t reactor;
    pps_dispatcher_t dispatcher;
    pps_http_server_t *callers;
    net_server_t workers[FIXTURE_WORKERS];
} fixture_t;

/** What a caller should get. */
typedef struct {
    const char *name;
    const char *status;
    const char *body; /**< "" when only the status is looked at */
} fixture_answer_t;

/** Starts; each worker answers by the script. */
void
fixture_start(fixture_t *fixture, const net_answer_t *script, size_t size);

/** Requests that workers got. */
size_t
fixture_sends(const fixture_t *fixture);

/** Connects and sends a request. @param more further header lines */
void
fixture_request(fixture_t *fixture, net_client_t *client, const char *path,
                const char *more);

/** As fixture_request(), and runs until the answer is over. */
void
fixture_ask(fixture_t *fixture, net_client_t *client, const char *path,
            const char *more);

/** Fails the test unless that is what the caller got. */
void
fixture_expect(const fixture_answer_t *answer, const net_client_t *client);

#endif
