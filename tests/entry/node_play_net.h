/** @file node_play_net.h @brief Datagrams and calls under way in a play of
 * hosts. */
#ifndef PPS_TESTS_ENTRY_NODE_PLAY_NET_H
#define PPS_TESTS_ENTRY_NODE_PLAY_NET_H

#include "node_play.h"

/** Requests of hosts: one call at a time. */
struct pps_http_requester {
    unsigned int host;
    char address[NODE_PLAY_TEXT_BYTES];
    const char *fields;
    pps_http_requester_head_fn on_head;
    void *head_user;
    pps_http_requester_done_fn done;
    void *user;
    char path[1024];
    pps_buf_t body;
    int has_body;
    unsigned int call;
    int is_busy;
};

typedef enum {
    EVENT_DATAGRAM,
    EVENT_REQUEST, /* arrives at the server */
    EVENT_ANSWER,  /* arrives at the host that asked */
    EVENT_TIMEOUT,
} node_play_event_kind_t;

typedef struct node_play_event {
    int64_t at_us;
    uint64_t order;
    node_play_event_kind_t kind;
    unsigned int host; /* that the event concerns */
    unsigned int incarnation;
    pps_http_requester_t *requester;
    unsigned int call;
    int64_t wait_until_us; /* of a read that waits at the store */
    unsigned int status;
    int64_t epoch;
    char *fields;
    pps_buf_t data;
} node_play_event_t;

/* What a host answers to another one. */
struct pps_http_conn {
    unsigned int status;
    pps_buf_t fields;
    pps_buf_t body;
};

/** Adds an event. */
void
node_play_push(node_play_event_t event);

/** Draws the time that a message takes one way. */
int64_t
node_play_draw_latency_us(void);

#endif
