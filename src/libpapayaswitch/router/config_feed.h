/**
 * @file config_feed.h
 * @brief Keeps the folded config stream up to date. Control thread only.
 */
#ifndef PPS_ROUTER_CONFIG_FEED_H
#define PPS_ROUTER_CONFIG_FEED_H

#include "papayaswitch/config_fold.h"
#include "papayaswitch/log_reader.h"

/** The config stream on this host. */
typedef struct {
    pps_config_fold_t *fold;
    pps_log_reader_t *reader;
    int searching;        /**< records expired: looking for a checkpoint */
    int64_t read_sent_us; /**< last successful read, or PPS_TIME_NONE */
    uint64_t read_head;
    uint64_t first;             /**< oldest record that the log still keeps */
    uint64_t changed_at;        /**< behind the last record but checkpoints */
    uint64_t checkpoint_at;     /**< next record that the newest checkpoint
                                     in the log knew */
    uint64_t checkpoint_offset; /**< where that checkpoint stands */
    int64_t checkpoint_us;      /**< when it was read, or PPS_TIME_NONE */
} pps_config_feed_t;

/** Starts with an empty fold. */
int
pps_config_feed_init(pps_config_feed_t *feed);

/** Frees the fold; the reader must be freed before. */
void
pps_config_feed_clear(pps_config_feed_t *feed);

/**
 * Takes what a read brought.
 * @return 1 when the fold has changed, 0 when not, or a negative number
 */
int
pps_config_feed_take(pps_config_feed_t *feed, const pps_log_batch_t *batch);

/**
 * Takes a peer's snapshot when it is ahead of this host.
 * @return 1 when the fold was replaced, 0 when not; PPS_ECORRUPT
 */
int
pps_config_feed_adopt(pps_config_feed_t *feed, const void *payload,
                      size_t size);

#endif
