/**
 * @file serving.h
 * @brief Decides whether a host may start work; computes publish stages.
 *
 * The control thread evaluates the right to start work; traffic threads read
 * it from atomics. docs/design/serving.md shows why a host that lacks a
 * revision in force cannot hold the right.
 */
#ifndef PAPAYASWITCH_SERVING_H
#define PAPAYASWITCH_SERVING_H

#include "papayaswitch/host.h"

#include <stdatomic.h>
#include <stdint.h>

#define PPS_SERVING_INPUT_VERSION 1
#define PPS_PUBLISH_INPUT_VERSION 1

/** Time for which evidence or a pong remains valid, in microseconds. */
#define PPS_SERVING_WINDOW_US INT64_C(2000000)
/** Allowance for clocks that run at different rates, in microseconds. */
#define PPS_SERVING_MARGIN_US INT64_C(200000)

/** Why a host may or may not start work. */
typedef enum {
    PPS_SERVING_NOT_STARTED,   /**< no evaluation yet */
    PPS_SERVING_OWN_EVIDENCE,  /**< own recent read of the log */
    PPS_SERVING_PEER_EVIDENCE, /**< a peer's recent read of the log */
    PPS_SERVING_MAJORITY,      /**< recent pongs from a majority of hosts */
    PPS_SERVING_BEHIND,        /**< another host has applied more records */
    PPS_SERVING_NO_STATE,      /**< not synced since the start */
    PPS_SERVING_ISOLATED,      /**< neither recent evidence nor a majority */
} pps_serving_reason_t;

/** State from which a host evaluates its right to start work. */
typedef struct {
    unsigned int version;
    const char *self_id;
    uint64_t next_offset; /**< next record of the config stream to apply */
    /**
     * Whether this incarnation holds everything that the host may have
     * acknowledged before its restart. `synced` of the previous verdict; 0
     * at the start.
     */
    int synced;
    int64_t started_us; /**< start of this incarnation */
    /** Send time of the last successful read, or PPS_TIME_NONE. */
    int64_t read_sent_us;
    uint64_t read_head;           /**< head of the log at that read */
    const pps_host_list_t *hosts; /**< last known list; may lack this host */
    const pps_host_report_t *reports;
    size_t report_count;
    int64_t window_us;
    int64_t now_us;
} pps_serving_input_t;

#define PPS_SERVING_INPUT_INIT                                                \
    {                                                                         \
        .version = PPS_SERVING_INPUT_VERSION, .started_us = INT64_MAX,        \
        .read_sent_us = PPS_TIME_NONE, .window_us = PPS_SERVING_WINDOW_US     \
    }

/** Result of an evaluation. */
typedef struct {
    int64_t valid_until_us; /**< work may start before; 0: never */
    /**
     * Latest time at which the log is known to have held nothing that this
     * host lacks, or PPS_TIME_NONE. Pongs report its age.
     */
    int64_t evidence_us;
    int synced; /**< see pps_serving_input_t; pass it to the next evaluation */
    pps_serving_reason_t reason;
} pps_serving_verdict_t;

/** Evaluates the right to start work. Does no I/O and reads no clock.
 * @return 0 or PPS_ENOMEM */
int
pps_serving_evaluate(pps_serving_verdict_t *out,
                     const pps_serving_input_t *input);

/** Serving verdict that traffic threads read. */
typedef struct {
    _Atomic int64_t valid_until_us;
    _Atomic int reason;
} pps_serving_t;

/** Initializes a state that does not allow work. */
void
pps_serving_init(pps_serving_t *serving);

/** Stores a verdict for the traffic threads. Control thread. */
void
pps_serving_publish(pps_serving_t *serving,
                    const pps_serving_verdict_t *verdict);

/** Returns whether work may start. Check it just before each send, as the
 * right expires without an update. Any thread. */
int
pps_serving_may_start(const pps_serving_t *serving, int64_t now_us);

/** Returns a stable name of the reason, or "expired" when `valid_until_us` has
 * passed. Any thread. */
const char *
pps_serving_reason(const pps_serving_t *serving, int64_t now_us);

/** Progress of a publish. */
typedef enum {
    PPS_PUBLISH_PUBLISHED, /**< in the log */
    PPS_PUBLISH_ACCEPTED,  /**< any majority has a host that holds it */
    PPS_PUBLISH_IN_FORCE,  /**< no host starts work on an older one */
} pps_publish_stage_t;

/** Publisher's record of one host. */
typedef struct {
    char id[PPS_HOST_ID_MAX + 1];
    uint64_t incarnation;
    uint64_t revision; /**< last reported revision */
    /** Arrival of the first report of the awaited or a later revision in this
     * incarnation, or PPS_TIME_NONE. */
    int64_t held_since_us;
    int64_t ping_sent_us; /**< send time of the last ping that it answered */
} pps_publish_report_t;

/** State from which a publisher computes the stage. */
typedef struct {
    unsigned int version;
    const pps_host_list_t *hosts;
    /** Records of all known hosts, including this one, listed or not. */
    const pps_publish_report_t *reports;
    size_t report_count;
    uint64_t revision; /**< the published revision */
    int64_t window_us;
    int64_t margin_us;
    int64_t now_us;
} pps_publish_input_t;

#define PPS_PUBLISH_INPUT_INIT                                                \
    {                                                                         \
        .version = PPS_PUBLISH_INPUT_VERSION,                                 \
        .window_us = PPS_SERVING_WINDOW_US,                                   \
        .margin_us = PPS_SERVING_MARGIN_US                                    \
    }

/** Stage of a publish and the hosts that have not acknowledged it. */
typedef struct {
    pps_publish_stage_t stage;
    /** Earliest time at which a majority is known to have held the revision
     * simultaneously, or PPS_TIME_NONE. */
    int64_t accepted_us;
    /** Ids of listed or recently responding hosts without an acknowledgment,
     * owned by the input. */
    const char **missing;
    size_t missing_count;
} pps_publish_status_t;

/** Updates the record of a host from its report. Does no I/O and reads no
 * clock. */
void
pps_publish_report_update(pps_publish_report_t *record,
                          const pps_host_report_t *report, uint64_t revision);

/**
 * Computes the stage. A revision is in force when no host is missing or more
 * than the window and the margin have passed since `accepted_us`. A later call
 * may return a lower one when hosts restart. A stage that was reached remains
 * valid, so callers keep the highest.
 * @return 0 or PPS_ENOMEM; free with pps_publish_status_clear()
 */
int
pps_publish_evaluate(pps_publish_status_t *out,
                     const pps_publish_input_t *input);

/** Frees the list of missing hosts; the ids belong to the input. */
void
pps_publish_status_clear(pps_publish_status_t *status);

/** Returns `published`, `accepted` or `in_force`. */
const char *
pps_publish_stage_name(pps_publish_stage_t stage);

#endif
