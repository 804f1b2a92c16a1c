/**
 * @file catch_up.h
 * @brief Chooses how a host updates its copy of a topic when another host has
 * a newer one. Does no I/O and reads no clock.
 *
 * The decision is made for many changes at once, when the readers' links lose
 * datagrams. If all hosts then asked one reader for its full copy, they would
 * wait for each other. The store sends each host only the missing records.
 *
 * With many hosts the store would send the same configuration to all of them
 * at once. There, the others ask it only when no host that is ahead has sent
 * its copy, or the changes that are missing, within a second. A host that
 * knows of no host ahead is not behind: when it hears no reader any more, it
 * becomes one and reads the store.
 */
#ifndef PPS_MIRROR_CATCH_UP_H
#define PPS_MIRROR_CATCH_UP_H

#include <stdint.h>

/** Sources to update from, as flags. 0: up to date or wait for records. */
typedef enum {
    PPS_CATCH_UP_FROM_STORE = 1, /**< read from the end of the copy */
    PPS_CATCH_UP_FROM_PEER = 2,  /**< fetch another host's copy */
} pps_catch_up_t;

/** With more peers than this, only readers read the store for changes, and
 * copies are fetched from any host that is ahead. */
#define PPS_CATCH_UP_FEW_PEERS_MAX 12

/** State of a copy compared with the copies of other hosts. */
typedef struct {
    int is_behind; /**< another host has records that the copy lacks */
    int is_urgent; /**< do not wait for relayed records */
    int has_gap;   /**< a relayed record showed that an earlier one is lost */
    int64_t behind_us;  /**< time for which `is_behind` has been set */
    int is_loaded;      /**< the copy has been filled: its end is not -1 */
    int store_failing;  /**< this host's reads of the store fail */
    int is_older_epoch; /**< the newer copy is of a higher epoch */
    int has_many_peers; /**< more than PPS_CATCH_UP_FEW_PEERS_MAX */
    int is_reader;      /**< this host reads the store for the others */
    int has_source;     /**< a live host has a newer copy */
} pps_lag_t;

/** Chooses the sources to update from now. @return flags of pps_catch_up_t */
unsigned int
pps_catch_up_choose(const pps_lag_t *lag);

#endif
