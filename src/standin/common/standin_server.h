/**
 * @file standin_server.h
 * @brief Life of a stand-in's HTTP server, from its options to SIGTERM.
 */
#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include "http_listener.h"
#include "standin_options.h"

#include <pthread.h>

/** Where to serve; the fields are targets of STANDIN_SERVER_OPTIONS(). */
typedef struct {
    const char *address;
    int port;
    const char *port_file; /**< receives the port once it serves; or NULL */
    pps_http_listener_t *listener;
} standin_server_t;

#define STANDIN_SERVER_INIT                                                   \
    {                                                                         \
        "127.0.0.1", 0, NULL, NULL                                            \
    }

/** Options that every stand-in has. */
#define STANDIN_SERVER_OPTIONS(server)                                        \
    {"address", STANDIN_OPTION_TEXT, &(server)->address, "address to bind"},  \
        {"port", STANDIN_OPTION_INT, &(server)->port, "port; 0: a free one"}, \
    {                                                                         \
        "port-file", STANDIN_OPTION_TEXT, &(server)->port_file,               \
            "file that receives the port"                                     \
    }

/** One endpoint. */
typedef struct {
    const char *method;
    const char *format;
    pps_http_handler_t handler;
} standin_route_t;

/** Takes SIGTERM and SIGINT off all threads; call it before any starts. */
void
standin_server_prepare(void);

/** Binds, adds the routes, serves until SIGTERM or SIGINT, and stops. */
int
standin_server_run(standin_server_t *server, const standin_route_t *routes,
                   size_t count, void *user);

/** Whether the process is asked to end; handlers that wait return then. */
int
standin_server_stopping(void);

/** Sleeps for `us`, or until the process is asked to end. */
void
standin_server_sleep_us(int64_t us);

/** Waits on a condition, but only so long that a stop is soon noticed. */
void
standin_server_wait(pthread_cond_t *condition, pthread_mutex_t *lock);

#endif
