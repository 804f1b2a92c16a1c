/** @file tally_entry.h @brief Inner layout of a tally. */
#ifndef PPS_TALLY_ENTRY_H
#define PPS_TALLY_ENTRY_H

#include "papayaswitch/tally.h"

#include <urcu/list.h>
#include <uthash.h>

/** Fields of pps_tally_counts_t, all uint64_t. */
#define PPS_TALLY_FIELDS (sizeof(pps_tally_counts_t) / sizeof(uint64_t))

/** Longest name of a host, in bytes. */
#define PPS_TALLY_HOST_MAX 64

/** Where counts come from and what they count. */
typedef struct {
    uint64_t incarnation;
    char host[PPS_TALLY_HOST_MAX];
    char key[PPS_TALLY_KEY_MAX];
} pps_tally_id_t;

/** One source's counters under one key. */
typedef struct {
    pps_tally_id_t id;
    pps_tally_counts_t counts;
    uint64_t change;
    struct cds_list_head by_change; /**< oldest change first */
    UT_hash_handle hh;
} pps_tally_entry_t;

/** Counters of a key, summed over the sources. */
typedef struct {
    char key[PPS_TALLY_KEY_MAX];
    pps_tally_counts_t counts;
    UT_hash_handle hh;
} pps_tally_sum_t;

struct pps_tally {
    pps_tally_id_t self; /**< with an empty key */
    pps_tally_entry_t *entries;
    pps_tally_sum_t *sums;
    struct cds_list_head changes;
    uint64_t change;
};

/** Raises an entry to at least `counts`, field by field. */
int
pps_tally_raise(pps_tally_t *tally, const pps_tally_id_t *id,
                const pps_tally_counts_t *counts);

#endif
