/**
 * @file copy_sources.h
 * @brief Chooses the host that a copy of a topic is fetched from. Does no I/O
 * and reads no clock.
 *
 * With many hosts, all of them want the same copy at the same time. Each draws
 * a random host among those that have it, so that the number of hosts that can
 * send it doubles repeatedly. Its own failure domain is preferred: links
 * between domains are slower. A host that refuses because it is busy names
 * some hosts that it has sent the copy to; they may have it although no state
 * of theirs has arrived.
 */
#ifndef PPS_MIRROR_COPY_SOURCES_H
#define PPS_MIRROR_COPY_SOURCES_H

#include "rng.h"

#include <stdint.h>

#define PPS_COPY_ADDRESS_BYTES 64
/** Number of hosts that are remembered. The oldest one is forgotten. */
#define PPS_COPY_SOURCES 32

/** Why a host is not asked for some time. */
typedef enum {
    PPS_COPY_BUSY,     /**< it refused: it sends other copies */
    PPS_COPY_FAILED,   /**< it did not answer, or with a bad copy */
    PPS_COPY_OUTDATED, /**< its copy was not newer */
} pps_copy_refusal_t;

/** What is remembered of one host. */
typedef struct {
    char address[PPS_COPY_ADDRESS_BYTES]; /**< "": unused */
    int64_t left_out_until_us;
    int64_t hinted_until_us; /**< another host said that it has the copy */
} pps_copy_source_t;

/** Hosts that refused or were named. Initialize to zero. */
typedef struct {
    pps_copy_source_t hosts[PPS_COPY_SOURCES];
    unsigned int next; /**< entry that is replaced next */
} pps_copy_sources_t;

/** A host that may be asked. */
typedef struct {
    const char *address;
    int is_ahead;       /**< its state says that it has a newer copy */
    int is_same_domain; /**< it is of this host's failure domain */
} pps_copy_candidate_t;

/** A choice in progress. Initialize to zero. */
typedef struct {
    const pps_copy_candidate_t *chosen; /**< NULL: none yet */
    pps_copy_candidate_t best;
    unsigned int rank; /**< of `best`; less is better */
    unsigned int ties; /**< candidates of this rank so far */
} pps_copy_draw_t;

/** Notes that a host did not send a newer copy. */
void
pps_copy_sources_leave_out(pps_copy_sources_t *sources, const char *address,
                           pps_copy_refusal_t why, int64_t now_us);

/** Notes that another host named this one as a source. */
void
pps_copy_sources_hint(pps_copy_sources_t *sources, const char *address,
                      int64_t now_us);

/** Offers a host to a choice. All hosts offered that rank best are equally
 * likely to be chosen. A host that is neither ahead nor named, or is left out,
 * is never chosen. `candidate->address` must outlive the choice. */
void
pps_copy_draw_offer(pps_copy_draw_t *draw, const pps_copy_sources_t *sources,
                    const pps_copy_candidate_t *candidate, pps_rng_t *rng,
                    int64_t now_us);

#endif
