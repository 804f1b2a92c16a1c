/**
 * @file net.h
 * @brief Scripted servers and raw clients on loopback that run in the
 * event loop of the test. Its waits count the time of steady_clock.h.
 */
#ifndef PPS_TESTS_ENTRY_NET_H
#define PPS_TESTS_ENTRY_NET_H

#include "buf.h"
#include "transport/reactor.h"

#include <urcu/list.h>

#define NET_ADDRESS_BYTES 32

/** What a server does with the connection after a response. */
typedef enum {
    NET_KEEP,  /**< keeps it open */
    NET_CLOSE, /**< closes it */
    NET_RESET, /**< resets it */
} net_end_t;

/** One response of a script. */
typedef struct {
    const char *text; /**< "%s" stands for the request id; NULL: none */
    net_end_t end;
} net_answer_t;

typedef struct net_server net_server_t;

/** A server that sends the next response of its script to each request and
 * repeats the last one. */
struct net_server {
    uv_tcp_t *listener;
    pps_reactor_t *reactor;
    char address[NET_ADDRESS_BYTES];
    const net_answer_t *script;
    size_t script_size;
    size_t requests;      /**< complete requests read */
    size_t closed;        /**< connections closed or reset by the client */
    pps_buf_t last;       /**< text of the last request */
    size_t *script_index; /**< next script index, may be shared */
    size_t own_script_index;
    void *last_peer;             /**< connection of the last request */
    const char *crash_text;      /**< a request with it ends the server: the
                                      head, then all connections are reset and
                                      refused; NULL: none */
    const char *crash_head;      /**< sent before, with "%s"; NULL: nothing */
    int crash_closes;            /**< connections are closed, not reset */
    unsigned int crash_delay_ms; /**< from the request to its end */
    unsigned int restart_ms;     /**< time until it listens again */
    size_t crashes;              /**< times that it has ended */
    int is_down;
    void (*on_restart)(void *user, net_server_t *server); /**< or NULL */
    void *user;
    pps_timer_t restart_timer;
    struct cds_list_head peers;
};

/** Starts a server on a free port. */
void
net_server_start(net_server_t *server, pps_reactor_t *reactor,
                 const net_answer_t *script, size_t script_size);

/** Makes several servers share the first one's script index, so that each
 * request to any of them advances it. */
void
net_server_share_script(net_server_t *servers, size_t count);

/** Sends bytes on the connection of the last request. */
void
net_server_send(net_server_t *server, const char *data, size_t size);

/** Resets the connection of the last request, if there was one. */
void
net_server_reset(net_server_t *server);

/** A client that sends and receives raw bytes. It may go out of scope once it
 * has ended, as its connection is closed then. */
typedef struct {
    uv_tcp_t tcp;
    uv_connect_t connect;
    pps_buf_t to_send;
    pps_buf_t got;
    int ended; /**< 1: end of file, -1: reset or other error */
} net_client_t;

/** Connects to a port on loopback and sends `text`. */
void
net_client_start(net_client_t *client, pps_reactor_t *reactor,
                 unsigned int port, const char *text);

/** Closes the connection unless it has ended. */
void
net_client_close(net_client_t *client);

/** Runs the loop until `*value` is at least `wanted`, or for `limit_ms`.
 * @return nonzero if the value was reached */
int
net_run_until(pps_reactor_t *reactor, const size_t *value, size_t wanted,
              unsigned int limit_ms);

/** Runs the loop until the server ends the connection, or for `limit_ms`. */
void
net_run_until_ended(pps_reactor_t *reactor, const net_client_t *client,
                    unsigned int limit_ms);

/** Runs the loop for `ms` milliseconds. */
void
net_run_for(pps_reactor_t *reactor, unsigned int ms);

#endif
