/** @file node_play_net.c @brief Datagrams and calls of a play of hosts. */
#include "node_play_net.h"

#include "clock.h"
#include "gossip/gossip_state.h"
#include "names.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503
/** One-way latency, and how often a message takes much longer. */
#define LATENCY_MIN_MS 1
#define LATENCY_MAX_MS 9
#define LATE_ONE_IN 50
#define LATE_MAX_MS 600
#define DOUBLED_ONE_IN 50
#define EVENTS_MIN 256
/** Longest time that a read waits at the store between two looks. */
#define WAIT_STEP_US (20 * PPS_US_PER_MS)

static int
is_before(const node_play_event_t *a, const node_play_event_t *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
swap(node_play_event_t *a, node_play_event_t *b)
{
    node_play_event_t kept = *a;

    *a = *b;
    *b = kept;
}

void
node_play_push(node_play_event_t event)
{
    node_play_t *play = node_play;
    size_t at = play->event_count++;

    if (at == play->event_capacity) {
        play->event_capacity = at > 0 ? 2 * at : EVENTS_MIN;
        play->events = realloc(play->events, play->event_capacity *
                                                 sizeof(node_play_event_t));
        cr_assert_not_null(play->events);
    }
    event.order = play->event_order++;
    play->events[at] = event;
    while (at > 0 &&
           is_before(&play->events[at], &play->events[(at - 1) / 2])) {
        swap(&play->events[at], &play->events[(at - 1) / 2]);
        at = (at - 1) / 2;
    }
}

static node_play_event_t
pop(void)
{
    node_play_t *play = node_play;
    node_play_event_t first = play->events[0];
    size_t at = 0;

    play->events[0] = play->events[--play->event_count];
    for (;;) {
        size_t child = 2 * at + 1;

        if (child + 1 < play->event_count &&
            is_before(&play->events[child + 1], &play->events[child])) {
            child++;
        }
        if (child >= play->event_count ||
            !is_before(&play->events[child], &play->events[at])) {
            return first;
        }
        swap(&play->events[child], &play->events[at]);
        at = child;
    }
}

static void
free_event(node_play_event_t *event)
{
    pps_buf_clear(&event->data);
    free(event->fields);
}

void
node_play_drop_events(void)
{
    for (size_t i = 0; i < node_play->event_count; i++) {
        free_event(&node_play->events[i]);
    }
    free(node_play->events);
    node_play->events = NULL;
    node_play->event_count = 0;
}

int64_t
node_play_draw_latency_us(void)
{
    int is_late = node_play->calm_us == 0 &&
                  pps_rng_below(&node_play->rng, LATE_ONE_IN) == 0;

    return node_play_draw_us(LATENCY_MIN_MS,
                             is_late ? LATE_MAX_MS : LATENCY_MAX_MS);
}

static int
is_cut(const node_play_host_t *host)
{
    return node_play->now_us < host->cut_until_us;
}

static void
send_datagram(int to, const pps_buf_t *encoded)
{
    node_play_event_t event = {
        .at_us = node_play->now_us + node_play_draw_latency_us(),
        .kind = EVENT_DATAGRAM,
        .host = (unsigned int)to,
        .incarnation = node_play->hosts[to].incarnation,
    };

    cr_assert_eq(pps_buf_append(&event.data, encoded->data, encoded->size), 0);
    node_play_push(event);
}

static void
transmit(void *user, const char *address, const pps_buf_t *encoded)
{
    int to = node_play_find_address(address);

    if (to < 0 || is_cut(&node_play->hosts[node_play->running]) ||
        is_cut(&node_play->hosts[to]) ||
        pps_rng_unit(&node_play->rng) < node_play->loss) {
        return;
    }
    send_datagram(to, encoded);
    if (node_play->calm_us == 0 &&
        pps_rng_below(&node_play->rng, DOUBLED_ONE_IN) == 0) {
        send_datagram(to, encoded);
    }
}

void
node_play_connect(unsigned int host)
{
    node_play->hosts[host].node->gossip->transmit = transmit;
}

/* Parses header lines, each ending in CR LF. */
static void
parse_fields(pps_headers_t *out, const char *fields)
{
    while (*fields != '\0') {
        const char *colon = strstr(fields, ": ");
        const char *end = strstr(fields, "\r\n");

        pps_headers_append_name(out, fields, (size_t)(colon - fields));
        pps_headers_append_value(out, colon + 2, (size_t)(end - colon - 2));
        fields = end + 2;
    }
    pps_headers_end(out);
}

static void
send_answer(const node_play_event_t *request, unsigned int status,
            int64_t epoch, const char *fields, const pps_buf_t *body)
{
    node_play_event_t answer = {
        .at_us = node_play->now_us + node_play_draw_latency_us(),
        .kind = EVENT_ANSWER,
        .host = request->host,
        .incarnation = request->incarnation,
        .requester = request->requester,
        .call = request->call,
        .status = status,
        .epoch = epoch,
        .fields = strdup(fields),
    };

    cr_assert_eq(pps_buf_append(&answer.data, body->data, body->size), 0);
    node_play_push(answer);
}

/* Returns whether a read waits at the store until there are records. */
static int
must_wait(node_play_event_t *request, const pps_buf_t *answer)
{
    const char *wait = strstr(request->requester->path, "&wait_ms=");
    const size_t empty_bytes = 16;

    if (wait == NULL || answer->size > empty_bytes) {
        return 0;
    }
    if (request->wait_until_us == 0) {
        request->wait_until_us =
            node_play->now_us +
            atoi(wait + strlen("&wait_ms=")) * PPS_US_PER_MS;
    }
    return node_play->now_us < request->wait_until_us;
}

static void
answer_as_store(node_play_event_t *request)
{
    const node_play_host_t *host = &node_play->hosts[request->host];
    pps_http_requester_t *requester = request->requester;
    pps_buf_t body = PPS_BUF_INIT;
    unsigned int status = STATUS_UNAVAILABLE;
    int is_down = node_play->now_us < node_play->store.down_until_us ||
                  node_play->now_us < host->store_cut_until_us;

    if (is_down && node_play->store.refusal == NODE_PLAY_STORE_SILENT) {
        return;
    }
    if (!is_down) {
        status = node_play_store_answer(&body, requester->path,
                                        requester->has_body ? &requester->body
                                                            : NULL);
        if (must_wait(request, &body)) {
            node_play_event_t again = *request;

            again.at_us = node_play->now_us + WAIT_STEP_US;
            node_play_push(again);
            pps_buf_clear(&body);
            return;
        }
    }
    send_answer(request, status, node_play->store.epoch, "", &body);
    pps_buf_clear(&body);
}

static void
answer_as_host(const node_play_event_t *request, int index)
{
    node_play_host_t *host = &node_play->hosts[index];
    pps_http_requester_t *requester = request->requester;
    pps_http_request_t call = {.method = "GET"};
    struct pps_http_conn conn = {0};

    if (!node_play_is_awake(host) || is_cut(host) ||
        is_cut(&node_play->hosts[request->host])) {
        return;
    }
    node_play_select((unsigned int)index);
    parse_fields(&call.headers, requester->fields);
    if (strcmp(requester->path, "/topics") == 0) {
        pps_node_send_all_copies(host->node, (pps_http_conn_t *)&conn, &call);
    }
    else {
        pps_node_send_copy(host->node, (pps_http_conn_t *)&conn, &call,
                           requester->path + strlen("/topics/"));
    }
    send_answer(request, conn.status, 0, pps_buf_text(&conn.fields),
                &conn.body);
    pps_headers_clear(&call.headers);
    pps_buf_clear(&conn.fields);
    pps_buf_clear(&conn.body);
}

static void
end_call(const node_play_event_t *event, int error)
{
    pps_http_requester_t *requester = event->requester;
    pps_http_reply_t reply = {.status = event->status};

    if (!requester->is_busy || requester->call != event->call) {
        return;
    }
    if (error == 0 && requester->on_head != NULL) {
        char epoch[NODE_PLAY_TEXT_BYTES];

        snprintf(epoch, sizeof(epoch), PPS_H_STORE_EPOCH ": %lld\r\n",
                 (long long)event->epoch);
        parse_fields(&reply.headers, event->epoch > 0 ? epoch : event->fields);
        requester->on_head(requester->head_user, &reply);
        pps_headers_clear(&reply.headers);
    }
    requester->is_busy = 0;
    requester->done(requester->user, error, error == 0 ? event->status : 0,
                    pps_buf_text(&event->data), event->data.size);
}

static void
handle_request(node_play_event_t *event)
{
    pps_http_requester_t *requester = event->requester;
    int to = node_play_find_address(requester->address);

    if (!requester->is_busy || requester->call != event->call) {
        return;
    }
    if (strcmp(requester->address, NODE_PLAY_STORE) == 0) {
        answer_as_store(event);
    }
    else if (to >= 0) {
        answer_as_host(event, to);
    }
}

static void
handle(node_play_event_t *event)
{
    node_play_host_t *host = &node_play->hosts[event->host];

    if (event->incarnation != host->incarnation || host->node == NULL) {
        return;
    }
    node_play_select(event->host);
    switch (event->kind) {
    case EVENT_DATAGRAM:
        cr_expect_eq(pps_gossip_receive(host->node->gossip, event->data.data,
                                        event->data.size),
                     0);
        break;
    case EVENT_REQUEST:
        handle_request(event);
        break;
    case EVENT_ANSWER:
        end_call(event, PPS_OK);
        break;
    case EVENT_TIMEOUT:
        end_call(event, PPS_EUNAVAILABLE);
        break;
    }
}

void
node_play_deliver(void)
{
    while (node_play->event_count > 0 &&
           node_play->events[0].at_us <= node_play->now_us) {
        node_play_event_t event = pop();
        const node_play_host_t *host = &node_play->hosts[event.host];

        if (event.kind != EVENT_REQUEST &&
            node_play->now_us < host->frozen_until_us) {
            event.at_us = host->frozen_until_us;
            node_play_push(event);
            continue;
        }
        handle(&event);
        free_event(&event);
    }
}
