/**
 * @file net.h
 * @brief Scripted servers and raw clients on loopback, in the loop of the
 * test itself.
 */
#ifndef PPS_TESTS_ENTRY_NET_H
#define PPS_TESTS_ENTRY_NET_H

#include "buf.h"
#include "transport/reactor.h"

#define NET_ADDRESS_BYTES 32

/** How a server's answer ends. */
typedef enum {
    NET_KEEP,  /**< the connection stays open */
    NET_CLOSE, /**< an orderly end */
    NET_RESET, /**< a reset behind the last byte */
} net_end_t;

/** One answer of a script. */
typedef struct {
    const char *text; /**< "%s" in it: the request's id; NULL: none */
    net_end_t end;
} net_answer_t;

/** A server that answers each request with the next line of its script; the
 * last one repeats. */
typedef struct {
    uv_tcp_t listener;
    pps_reactor_t *reactor;
    char address[NET_ADDRESS_BYTES];
    const net_answer_t *script;
    size_t script_size;
    size_t requests; /**< whole requests read */
    size_t closed;   /**< connections that the other side closed */
    pps_buf_t last;  /**< text of the last request */
    size_t *turn;    /**< place in the script, maybe shared */
    size_t own_turn;
    void *newest; /**< connection of the last request */
} net_server_t;

/** Starts a server on a free port. */
void
net_server_start(net_server_t *server, pps_reactor_t *reactor,
                 const net_answer_t *script, size_t script_size);

/** Has several servers read from the first one's script, each request one
 * line further. */
void
net_server_share_script(net_server_t *servers, size_t count);

/** Sends on the connection of the last request. */
void
net_server_send(net_server_t *server, const char *data, size_t size);

/** A raw connection. */
typedef struct {
    uv_tcp_t tcp;
    uv_connect_t connect;
    pps_buf_t to_send;
    pps_buf_t got;
    int ended; /**< 1: end of file, -1: reset or other error */
} net_client_t;

/** Connects and sends. */
void
net_client_start(net_client_t *client, pps_reactor_t *reactor,
                 unsigned int port, const char *text);

/** Closes the connection. */
void
net_client_close(net_client_t *client);

/** Runs the loop until `*value` is at least `wanted`, or for `limit_ms`.
 * @return whether it is */
int
net_run_until(pps_reactor_t *reactor, const size_t *value, size_t wanted,
              unsigned int limit_ms);

/** Runs the loop until the other side has ended the connection. */
void
net_run_until_ended(pps_reactor_t *reactor, const net_client_t *client,
                    unsigned int limit_ms);

/** Runs the loop for a time. */
void
net_run_for(pps_reactor_t *reactor, unsigned int ms);

#endif
