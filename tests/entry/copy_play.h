/**
 * @file copy_play.h
 * @brief Plays how copies of topics spread between hosts, on a simulated
 * clock.
 *
 * The hosts decide by the modules of mirror/ (choice of sources, bound on the
 * copies sent, schedule of reads of the store). Links, processors and lost
 * packets are computed: a host sends and receives one thing at a time at the
 * speed of its link, a lost datagram is gone, a lost segment delays a copy by
 * 200 ms.
 */
#ifndef PPS_TESTS_ENTRY_COPY_PLAY_H
#define PPS_TESTS_ENTRY_COPY_PLAY_H

#include <stddef.h>
#include <stdint.h>

#define COPY_PLAY_HOSTS_MAX 300

/** A deployment and what happens in it. */
typedef struct {
    const char *name;
    unsigned int hosts;
    unsigned int domains;
    int64_t latency_us;  /**< one way, between domains; within one: a tenth */
    double loss;         /**< share of packets that are lost */
    size_t copy_bytes;   /**< compressed */
    size_t store_bytes;  /**< of the same in the store's JSON */
    int64_t apply_us;    /**< of a whole core, to apply a copy */
    double crashing;     /**< share of the hosts that fail within a second, or
                              are gone at a start of all */
    int sends_to_relays; /**< hosts other than readers send their state only to
                              two hosts of their domain and the readers; else
                              to their whole domain */
    int is_start;        /**< all hosts start at 0 s; else they run, and the
                              readers get a new configuration at 0 s */
} copy_play_case_t;

/** What came of it. */
typedef struct {
    int64_t last_us;          /**< when the last host that lives was done */
    int64_t median_us;        /**< when half of them were done */
    unsigned int store_reads; /**< hosts that read the store in full */
    unsigned int refusals;    /**< copies that were refused */
    unsigned int outdated;    /**< copies that were not newer */
    unsigned int unfinished;  /**< living hosts that were not done in 60 s */
} copy_play_result_t;

/** Plays a case. */
copy_play_result_t
copy_play_run(const copy_play_case_t *c, uint64_t seed);

#endif
