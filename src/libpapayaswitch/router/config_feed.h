/**
 * @file config_feed.h
 * @brief Folds the config stream as records are read. Control thread only.
 */
#ifndef PPS_ROUTER_CONFIG_FEED_H
#define PPS_ROUTER_CONFIG_FEED_H

#include "papayaswitch/config_fold.h"
#include "papayaswitch/log_reader.h"

/** State of the config stream on this host. */
typedef struct {
    pps_config_fold_t *fold;
    pps_log_reader_t *reader;
    int searching;        /**< records expired; searching for a checkpoint */
    int64_t read_sent_us; /**< start of the last good read, or PPS_TIME_NONE */
    uint64_t read_head;   /**< head of the log at that read */
    uint64_t first_kept;  /**< oldest offset in the log */
    /** Offset after the last record that is not a checkpoint. */
    uint64_t change_end_offset;
    uint64_t checkpoint_next_offset; /**< first offset that the newest
                                 checkpoint does not cover */
    uint64_t checkpoint_offset;      /**< offset of that checkpoint */
    int64_t checkpoint_us;           /**< time it was read, or PPS_TIME_NONE */
} pps_config_feed_t;

/** Initializes a feed with an empty fold. */
int
pps_config_feed_init(pps_config_feed_t *feed);

/** Frees the fold. Free the reader first. */
void
pps_config_feed_clear(pps_config_feed_t *feed);

/**
 * Applies the result of a read.
 * @return 1 if the fold changed, 0 if not, or a negative code
 */
int
pps_config_feed_apply(pps_config_feed_t *feed, const pps_log_batch_t *batch);

/**
 * Replaces the fold by a peer's snapshot that covers more records.
 * @return 1 if replaced, 0 if not; PPS_ECORRUPT
 */
int
pps_config_feed_adopt(pps_config_feed_t *feed, const void *payload,
                      size_t size);

#endif
