/**
 * @file cold_start.h
 * @brief Until when a worker counts as cold, and this host's share of the
 * requests that a cold worker takes. Does no I/O and reads no clock.
 *
 * A worker that has just started takes only a few requests a second from all
 * hosts together, and fails if it gets many more. Each host decides for itself
 * from what it has heard. The evidence is kept apart by source, so that newer
 * knowledge of one source replaces only what that source said before.
 *
 * A few hosts, the senders, share the rate. Hosts that are separated from
 * others share only a part of it that corresponds to their number, so that the
 * parts of all groups add up to the rate. All times are on the host's clock.
 */
#ifndef PPS_POOL_COLD_START_H
#define PPS_POOL_COLD_START_H

#include "host_rank.h"

#include <stdint.h>

/** Largest number of hosts that send to one cold worker. */
#define PPS_COLD_SENDERS_MAX 4

/** What shows that a worker is cold. */
typedef enum {
    PPS_COLD_NONE,
    PPS_COLD_BY_RECORD,  /**< its record states the remaining time */
    PPS_COLD_BY_START,   /**< its record states a recent start */
    PPS_COLD_BY_ANSWER,  /**< an answer states the remaining time */
    PPS_COLD_BY_ORDER,   /**< its failure domain was evacuated */
    PPS_COLD_BY_RESTART, /**< it refused connections, and may have restarted */
} pps_cold_evidence_t;

/** How cold workers of an upstream are treated. */
typedef struct {
    double per_s;    /**< requests a second that a cold worker takes from all
                          hosts together; 0: workers are never cold */
    int64_t cold_us; /**< time for which a worker is cold after its start */
    double over;     /**< a second may contain per_s x over + slack requests;
                          0: workers are never cold */
    double slack;
} pps_cold_rule_t;

/** What a worker's record says. */
typedef struct {
    int is_restart;     /**< the record is of a later start than before */
    int has_remaining;  /**< it states the remaining time */
    int64_t until_us;   /**< receipt plus the remaining time, if stated */
    int64_t started_us; /**< start of the worker, at most the receipt; 0:
                             unknown */
} pps_cold_record_t;

/** What this host knows of a worker. Zero: nothing, which means not cold. */
typedef struct {
    int64_t record_until_us;
    int64_t answer_until_us;
    int64_t order_until_us;
    int64_t started_us; /**< 0: the record states the remaining time instead */
    int64_t refused_us; /**< first refused connection; 0: none */
    int64_t last_refused_us; /**< last one before an answer */
    int64_t answered_us;     /**< first answer after it; 0: none yet */
    int is_active;           /**< it was cold when the share was last used */
    int is_sender;
    int is_ranked;         /**< `is_sender` is of this cold period */
    double per_us;         /**< this host's rate, if it is a sender */
    double saved;          /**< requests that this host may send, at most 1 */
    int64_t saved_us;      /**< time up to which `saved` is computed; may lie
                                ahead, then nothing is saved before it */
    int64_t rank_until_us; /**< time up to which the rank holds */
    pps_cold_evidence_t logged; /**< evidence of the last log line */
} pps_cold_start_t;

/** Notes a record of the worker. It replaces what earlier records said, and
 * with a stated remaining time also a finished evacuation. A later start that
 * is known from it replaces what answers and refusals said. */
void
pps_cold_start_note_record(pps_cold_start_t *cold,
                           const pps_cold_record_t *record);

/** Notes that an answer states the remaining time. */
void
pps_cold_start_note_remaining(pps_cold_start_t *cold, int64_t until_us);

/** Notes that the worker refused a connection: it may restart. Until it has
 * answered this host, that counts for 10 s and the time for which workers are
 * cold, as a host that is no sender gets no answers.
 * @return 1, or 0 if that was known and it has not answered since */
int
pps_cold_start_note_refused(pps_cold_start_t *cold, int64_t now_us);

/** Forgets refused connections: the worker has not restarted, since other
 * hosts reach it. */
void
pps_cold_start_forget_refused(pps_cold_start_t *cold);

/** Notes an answer of the worker to a request.
 * @param sent_us when the request was sent */
void
pps_cold_start_note_answer(pps_cold_start_t *cold, int64_t sent_us,
                           int64_t now_us);

/** Notes that the worker is probably cold until a time, since the evacuation
 * of its failure domain has ended. A later record that states the remaining
 * time overrules it. */
void
pps_cold_start_expect(pps_cold_start_t *cold, int64_t until_us);

/** Returns until when the worker counts as cold: 0 if workers of this rule are
 * never cold or nothing is known.
 * @param evidence what shows it; NULL: not needed */
int64_t
pps_cold_start_until_us(const pps_cold_start_t *cold,
                        const pps_cold_rule_t *rule,
                        pps_cold_evidence_t *evidence);

/** Returns whether the worker counts as cold. Forgets the share of an earlier
 * cold period. */
int
pps_cold_start_is_cold(pps_cold_start_t *cold, const pps_cold_rule_t *rule,
                       int64_t now_us);

/** Computes this host's share of a cold worker's rate. A host that becomes a
 * sender in place of others begins a second later, when all hosts have noticed
 * the change. */
void
pps_cold_start_share(pps_cold_start_t *cold, const pps_cold_rule_t *rule,
                     const pps_host_rank_t *rank, int64_t now_us);

/** Returns the time until this host may send a request to a cold worker: 0 if
 * it may now, INT64_MAX if it is no sender. */
int64_t
pps_cold_start_wait_us(pps_cold_start_t *cold, int64_t now_us);

/** Counts a request that this host sends to a cold worker. */
void
pps_cold_start_take(pps_cold_start_t *cold);

/** Returns the time by which a cold worker exceeds the usual time to the first
 * byte. */
double
pps_cold_start_slowness_us(double service_us);

/** Returns a word for the log. */
const char *
pps_cold_evidence_name(pps_cold_evidence_t evidence);

#endif
