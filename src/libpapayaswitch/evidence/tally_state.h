/** @file tally_state.h @brief Internal state of a tally. */
#ifndef PPS_TALLY_STATE_H
#define PPS_TALLY_STATE_H

#include "papayaswitch/tally.h"

#include <urcu/list.h>
#include <uthash.h>

/** Number of fields of pps_tally_counts_t, all uint64_t. */
#define PPS_TALLY_FIELDS (sizeof(pps_tally_counts_t) / sizeof(uint64_t))

/** Size of a host name with its terminating NUL, in bytes. */
#define PPS_TALLY_HOST_MAX 64

/** Source and key of counters. Unused bytes are 0, as all bytes are hashed. */
typedef struct {
    uint64_t incarnation;
    char host[PPS_TALLY_HOST_MAX];
    char key[PPS_TALLY_KEY_MAX];
} pps_tally_id_t;

/** Counters of one source under one key. */
typedef struct {
    pps_tally_id_t id;
    pps_tally_counts_t counts;
    uint64_t change; /**< number of the last change of the counters */
    struct cds_list_head by_change;
    UT_hash_handle hh;
} pps_tally_entry_t;

/** Counters of a key, summed over all sources. */
typedef struct {
    char key[PPS_TALLY_KEY_MAX];
    pps_tally_counts_t counts;
    UT_hash_handle hh;
} pps_tally_sum_t;

struct pps_tally {
    pps_tally_id_t self; /**< this host, with an empty key */
    pps_tally_entry_t *entries;
    pps_tally_sum_t *sums;
    struct cds_list_head changes; /**< entries, oldest change first */
    uint64_t change;              /**< number of the last change */
};

/** Raises each counter of an entry to at least its value in `counts`. */
int
pps_tally_raise(pps_tally_t *tally, const pps_tally_id_t *id,
                const pps_tally_counts_t *counts);

#endif
