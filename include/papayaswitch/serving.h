/**
 * @file serving.h
 * @brief The right to start work, and the stages of a publish.
 *
 * The control thread evaluates; traffic threads read one atomic.
 * docs/design/serving.md argues why a host that misses a revision in force
 * cannot hold the right.
 */
#ifndef PAPAYASWITCH_SERVING_H
#define PAPAYASWITCH_SERVING_H

#include "papayaswitch/host.h"

#include <stdatomic.h>
#include <stdint.h>

#define PPS_SERVING_INPUT_VERSION 1
#define PPS_PUBLISH_INPUT_VERSION 1

/** Freshness window, in microseconds. */
#define PPS_SERVING_WINDOW_US INT64_C(2000000)
/** Allowance for clocks that run at unlike rates, in microseconds. */
#define PPS_SERVING_MARGIN_US INT64_C(200000)

/** Why a host may or may not start work. */
typedef enum {
    PPS_SERVING_NOT_STARTED,   /**< nothing evaluated yet */
    PPS_SERVING_OWN_EVIDENCE,  /**< it read the log itself */
    PPS_SERVING_PEER_EVIDENCE, /**< a peer read the log */
    PPS_SERVING_MAJORITY,      /**< no one reads it; a majority was heard */
    PPS_SERVING_BEHIND,        /**< a host holds more of the log */
    PPS_SERVING_NO_STATE,      /**< it has not been synced since its start */
    PPS_SERVING_ISOLATED,      /**< neither evidence nor a majority */
} pps_serving_reason_t;

/** What a host knows when it evaluates its right. */
typedef struct {
    unsigned int version;
    const char *self_id;
    uint64_t next_offset; /**< next record of the config stream to fold */
    /**
     * Whether this incarnation's state is known to hold all that the host
     * may have acknowledged before it restarted: the verdict of the last
     * evaluation, 0 at the start.
     */
    int synced;
    int64_t started_us; /**< when this incarnation started */
    /** When the last successful read was sent, or PPS_TIME_NONE. */
    int64_t read_sent_us;
    uint64_t read_head;           /**< head of the log seen by that read */
    const pps_host_list_t *hosts; /**< last known list; self may be missing */
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

/** Outcome of an evaluation. */
typedef struct {
    int64_t valid_until_us; /**< work may start before; 0: not at all */
    /**
     * Latest time at which the log is known to have held no more than this
     * host, to be passed on in pongs; PPS_TIME_NONE.
     */
    int64_t evidence_us;
    int synced;
    pps_serving_reason_t reason;
} pps_serving_verdict_t;

/** Evaluates the right to start work. Pure. */
int
pps_serving_evaluate(pps_serving_verdict_t *out,
                     const pps_serving_input_t *input);

/** The right as traffic threads see it. */
typedef struct {
    _Atomic int64_t valid_until_us;
    _Atomic int reason;
} pps_serving_t;

/** Starts without the right. */
void
pps_serving_init(pps_serving_t *serving);

/** Publishes a verdict. Control thread. */
void
pps_serving_publish(pps_serving_t *serving,
                    const pps_serving_verdict_t *verdict);

/** Whether work may start now; ask again next to the send. Any thread. */
int
pps_serving_may_start(const pps_serving_t *serving, int64_t now_us);

/** A stable short text for the status; "expired" once the right lapsed. */
const char *
pps_serving_reason(const pps_serving_t *serving, int64_t now_us);

/** How far a publish has come. */
typedef enum {
    PPS_PUBLISH_PUBLISHED, /**< in the log */
    PPS_PUBLISH_ACCEPTED,  /**< held by a majority: it cannot be missed */
    PPS_PUBLISH_IN_FORCE,  /**< nobody starts work on an older revision */
} pps_publish_stage_t;

/** A host's answer about one revision. */
typedef struct {
    char id[PPS_HOST_ID_MAX + 1];
    uint64_t incarnation;
    uint64_t revision; /**< the last one that it reported */
    /** First arrival of a report of the needed revision or a later one, in
     * this incarnation; PPS_TIME_NONE. */
    int64_t held_since_us;
    int64_t ping_sent_us; /**< when the ping was sent that it answered last */
} pps_publish_report_t;

/** What the publisher knows. */
typedef struct {
    unsigned int version;
    const pps_host_list_t *hosts;
    const pps_publish_report_t *reports; /**< self included, listed or not */
    size_t report_count;
    uint64_t revision; /**< the one that is to come into force */
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

/** Stage of a publish with the hosts that do not hold it. */
typedef struct {
    pps_publish_stage_t stage;
    /** When a majority is known to have held it together, or PPS_TIME_NONE. */
    int64_t accepted_us;
    /** Ids, owned by the input; missing[missing_count - 1] is the last. */
    const char **missing;
    size_t missing_count;
} pps_publish_status_t;

/** Takes one report into the publisher's record of that host. Pure. */
void
pps_publish_report_update(pps_publish_report_t *record,
                          const pps_host_report_t *report, uint64_t revision);

/**
 * Works out the stage. It may fall back when hosts restart; a stage once
 * reported stays true, so callers keep the highest.
 * @return 0 or PPS_ENOMEM; free with pps_publish_status_clear()
 */
int
pps_publish_evaluate(pps_publish_status_t *out,
                     const pps_publish_input_t *input);

/** Frees the list of missing hosts. */
void
pps_publish_status_clear(pps_publish_status_t *status);

/** `published`, `accepted` or `in_force`. */
const char *
pps_publish_stage_name(pps_publish_stage_t stage);

#endif
