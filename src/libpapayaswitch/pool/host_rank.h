/**
 * @file host_rank.h
 * @brief Rank of a host among those that share a worker.
 */
#ifndef PPS_POOL_HOST_RANK_H
#define PPS_POOL_HOST_RANK_H

/** The hosts among which the senders for a worker are chosen. */
typedef struct {
    unsigned int hosts; /**< that are known now */
    unsigned int peak;  /**< most that were known lately, at least `hosts` */
    int before;         /**< of the known ones, those that rank before this
                             host; negative: this host can't be a sender */
} pps_host_rank_t;

#endif
