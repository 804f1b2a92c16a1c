/** @file poison_table_state.h @brief Private state shared by the files of the
 * poison table. */
#ifndef PPS_POISON_POISON_TABLE_STATE_H
#define PPS_POISON_POISON_TABLE_STATE_H

#include "poison_table.h"
#include "table.h"

#include <urcu/list.h>

/** Number of keys of which it is known that an answer went on; a power of 2.
 */
#define PPS_POISON_GOOD_SLOTS 4096

typedef struct {
    pps_table_item_t item;
    struct cds_list_head node;
    pps_poison_evidence_t evidence;
    int64_t next_trial_us; /* 0: no trial yet */
    int64_t trial_interval_us;
    int64_t trial_us;           /* when the last trial began */
    int64_t interval_before_us; /* the interval before that trial */
} pps_poison_entry_t;

typedef struct {
    uint64_t key;
    int64_t begun_us;
} pps_poison_good_t;

struct pps_poison_table {
    pps_table_t entries; /* by key */
    struct cds_list_head list;
    pps_poison_good_t goods[PPS_POISON_GOOD_SLOTS]; /* by the key's lowest
                                                     * bits; may be overwritten
                                                     */
};

#endif
