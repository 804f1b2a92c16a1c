/**
 * @file absence.h
 * @brief Decides what the absence of an entry from the store's topic says.
 * Does no I/O and reads no clock.
 */
#ifndef PPS_MIRROR_ABSENCE_H
#define PPS_MIRROR_ABSENCE_H

/** What a host knows when an entry is found absent. */
typedef struct {
    int is_unsettled;    /**< the store came back from a backup of late, which
                              may lack entries */
    int is_failing;      /**< until this read, the host could not read the
                              topic */
    int others_read_all; /**< other hosts have been reading it for a while, as
                              they would not if the store had been away */
} pps_absence_t;

/** Returns whether the entry may have expired, or have been lost, while its
 * owner runs and will write it again; else the owner has removed it. */
int
pps_absence_may_be_expiry(const pps_absence_t *absence);

#endif
