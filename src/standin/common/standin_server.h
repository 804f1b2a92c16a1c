/**
 * @file standin_server.h
 * @brief HTTP server of a stand-in: options, routes, start and stop.
 */
#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include "http_listener.h"
#include "standin_options.h"

#include <pthread.h>

/** Server; the command line sets the first three fields. */
typedef struct {
    const char *address;
    int port;
    const char *port_file; /**< file to write the port to, or NULL */
    pps_http_listener_t *listener;
} standin_server_t;

#define STANDIN_SERVER_INIT                                                   \
    {                                                                         \
        "127.0.0.1", 0, NULL, NULL                                            \
    }

/** Command-line options that all stand-ins have. */
#define STANDIN_SERVER_OPTIONS(server)                                        \
    {"address", STANDIN_OPTION_TEXT, &(server)->address, "address to bind"},  \
        {"port", STANDIN_OPTION_INT, &(server)->port,                         \
         "port; 0 selects a free one"},                                       \
    {                                                                         \
        "port-file", STANDIN_OPTION_TEXT, &(server)->port_file,               \
            "file to write the port to"                                       \
    }

/** Route of an HTTP endpoint. */
typedef struct {
    const char *method;
    const char *format; /**< path in the syntax of ulfius */
    pps_http_handler_t handler;
} standin_route_t;

/** Ignores SIGPIPE; blocks SIGTERM and SIGINT in the calling thread and all
 * threads that it starts later. */
void
standin_server_init_signals(void);

/** Starts the server, writes the port file, runs until SIGTERM or SIGINT. */
int
standin_server_run(standin_server_t *server, const standin_route_t *routes,
                   size_t count, void *user);

/** Returns whether the server is stopping; waiting handlers return then. */
int
standin_server_is_stopping(void);

/** Sleeps for `us` microseconds or until the server stops. */
void
standin_server_sleep_us(int64_t us);

/** Waits on a condition for at most 20 ms, so that a stop is noticed. */
void
standin_server_wait(pthread_cond_t *condition, pthread_mutex_t *lock);

#endif
