/** @file body_gate.c @brief Room for the bodies of callers' requests. */
#include "body_gate.h"

#include "clock.h"
#include "crash_line.h"
#include "decision_log.h"
#include "dispatcher.h"
#include "exchange_refusal.h"
#include "retry_after.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/** Bodies up to this size are bounded by the number of connections. */
#define UNGATED_BYTES_MAX (16U << 10)
/** A body is held as it was read, as it is sent to the worker, and as far as
 * the worker's socket does not take it yet. */
#define COPIES 3
/** Longest wait for room. */
#define WAIT_MAX_US (1 * PPS_US_PER_S)
/** Number of bodies that may wait for room. */
#define WAITING_MAX 256
#define STATUS_UNAVAILABLE 503
#define OWNER_DIGEST_SEED 6

typedef struct {
    struct cds_list_head node; /* of those with room, or of those without */
    pps_dispatcher_t *dispatcher;
    pps_http_conn_t *conn;
    pps_body_owner_t owner;
    uint64_t source; /* digest of its name */
    size_t bytes;
    pps_held_t held;
    pps_timer_t timer; /* of the wait */
    int is_waiting;
} body_t;

void
pps_body_gate_init(pps_body_gate_t *gate, size_t max)
{
    pps_byte_account_init(&gate->account, max);
    CDS_INIT_LIST_HEAD(&gate->held);
    CDS_INIT_LIST_HEAD(&gate->waiting);
    gate->waiting_count = 0;
    gate->is_pumping = 0;
}

uint64_t
pps_body_owner_digest(const pps_body_owner_t *owner)
{
    return XXH64(owner->name, strlen(owner->name), OWNER_DIGEST_SEED);
}

static size_t
source_bytes(const body_t *body)
{
    return pps_byte_account_source_bytes(&body->dispatcher->bodies.account,
                                         body->source);
}

static void
refuse_request(pps_dispatcher_t *dispatcher, pps_http_conn_t *conn,
               const pps_body_owner_t *owner, size_t bytes)
{
    const pps_retry_after_t retry = {
        .reason = PPS_RETRY_AFTER_OTHER_HOST,
        .spread = pps_rng_unit(&dispatcher->rng),
    };

    pps_crash_line_set_request(owner->id);
    pps_decision_log_body_refused(dispatcher, owner, bytes);
    pps_dispatcher_refuse(dispatcher, conn, STATUS_UNAVAILABLE,
                          pps_retry_after_compute(&retry));
}

/* Refuses the request of a body that is still being read, which frees it. */
static void
refuse(body_t *body)
{
    refuse_request(body->dispatcher, body->conn, &body->owner, body->bytes);
}

static void
on_wait_over(int64_t now_us, void *user)
{
    refuse(user);
}

static void
stop_waiting(body_t *body)
{
    pps_timers_cancel(&body->timer);
    cds_list_del(&body->node);
    body->is_waiting = 0;
    body->dispatcher->bodies.waiting_count--;
}

/* Returns the first body of the source that holds least, or NULL. */
static body_t *
find_next(const pps_body_gate_t *gate)
{
    body_t *next = NULL;
    body_t *body;

    cds_list_for_each_entry (body, &gate->waiting, node) {
        if (next == NULL || source_bytes(body) < source_bytes(next)) {
            next = body;
        }
    }
    return next;
}

/* Returns the largest body that is still being read, of a source that holds
 * more than the next body's one would; NULL if there is none. */
static body_t *
find_largest(const pps_body_gate_t *gate, const body_t *next)
{
    body_t *largest = NULL;
    body_t *body;

    cds_list_for_each_entry (body, &gate->held, node) {
        if (!pps_http_conn_is_reading(body->conn) ||
            source_bytes(body) <= source_bytes(next) + next->bytes) {
            continue;
        }
        if (largest == NULL || source_bytes(body) > source_bytes(largest) ||
            (body->source == largest->source &&
             body->bytes > largest->bytes)) {
            largest = body;
        }
    }
    return largest;
}

/* Not called as long as room is made before a body gets it. */
static void
give_up(void *owner)
{
    refuse(owner);
}

/* Returns 0, or an error if the request has to be refused. */
static int
give_room(body_t *body)
{
    pps_body_gate_t *gate = &body->dispatcher->bodies;
    const pps_held_options_t options = {.kind = PPS_HELD_BODY,
                                        .source = body->source,
                                        .give_up = give_up,
                                        .owner = body};
    int error =
        pps_held_resize(&body->held, &gate->account, &options, body->bytes);

    if (error == 0) {
        stop_waiting(body);
        cds_list_add_tail(&body->node, &gate->held);
        pps_http_conn_resume_reading(body->conn);
    }
    return error;
}

/* Makes room for the next body, or refuses one. Returns whether it did. */
static int
step(pps_body_gate_t *gate)
{
    body_t *next = find_next(gate);
    body_t *largest;

    if (next == NULL) {
        return 0;
    }
    if (gate->account.bytes + next->bytes <= gate->account.max) {
        if (give_room(next) != 0) {
            refuse(next);
        }
        return 1;
    }
    largest = find_largest(gate, next);
    if (largest != NULL) {
        refuse(largest);
    }
    return largest != NULL;
}

/* Refusing frees a body, which leads here again. */
static void
pump(pps_body_gate_t *gate)
{
    if (gate->is_pumping) {
        return;
    }
    gate->is_pumping = 1;
    while (step(gate)) {
    }
    gate->is_pumping = 0;
}

/* Returns what a body takes with its copies; one whose head doesn't tell
 * counts as the largest. */
static size_t
charged_bytes(const pps_dispatcher_t *dispatcher, uint64_t body_bytes)
{
    size_t max = dispatcher->bodies.account.max;
    uint64_t bytes = body_bytes;

    if (bytes > dispatcher->limits.body_bytes) {
        bytes = dispatcher->limits.body_bytes;
    }
    return bytes * COPIES < max ? (size_t)bytes * COPIES : max;
}

static void
start_waiting(pps_dispatcher_t *dispatcher, body_t *body)
{
    pps_body_gate_t *gate = &dispatcher->bodies;

    cds_list_add_tail(&body->node, &gate->waiting);
    body->is_waiting = 1;
    gate->waiting_count++;
    pps_http_conn_pause_reading(body->conn);
    pps_http_conn_hold(body->conn, body);
    pps_reactor_after(dispatcher->reactor, &body->timer, WAIT_MAX_US,
                      on_wait_over, body);
    if (gate->waiting_count > WAITING_MAX) {
        refuse(body);
        return;
    }
    pump(gate);
}

void
pps_body_gate_enter(pps_dispatcher_t *dispatcher, pps_http_conn_t *conn,
                    const pps_body_owner_t *owner)
{
    uint64_t body_bytes = pps_http_conn_body_bytes(conn);
    body_t *body;

    if (body_bytes <= UNGATED_BYTES_MAX) {
        return;
    }
    body = calloc(1, sizeof(*body));
    if (body == NULL) {
        refuse_request(dispatcher, conn, owner, 0);
        return;
    }
    body->dispatcher = dispatcher;
    body->conn = conn;
    body->owner = *owner;
    body->source = pps_body_owner_digest(owner);
    body->bytes = charged_bytes(dispatcher, body_bytes);
    start_waiting(dispatcher, body);
}

void
pps_body_gate_release(pps_dispatcher_t *dispatcher, void *holding)
{
    body_t *body = holding;

    if (body->is_waiting) {
        stop_waiting(body);
    }
    else {
        cds_list_del(&body->node);
    }
    pps_held_release(&body->held);
    free(body);
    pump(&dispatcher->bodies);
}
