/**
 * @file membership.h
 * @brief Determines which hosts are alive, their partners and key owners.
 *
 * A membership is built from the platform's host list, which may be
 * outdated, and from the pongs. The module does no I/O and reads no clock.
 */
#ifndef PAPAYASWITCH_MEMBERSHIP_H
#define PAPAYASWITCH_MEMBERSHIP_H

#include "papayaswitch/host.h"

#include <stddef.h>
#include <stdint.h>

/** State of a listed host in this host's view. */
typedef enum {
    PPS_MEMBER_UNKNOWN,   /**< listed, no pong yet */
    PPS_MEMBER_ALIVE,     /**< listed, has sent a pong */
    PPS_MEMBER_SUSPECTED, /**< two dials ended since the last pong */
    PPS_MEMBER_LEAVING,   /**< reported by the list or by the host itself */
} pps_member_state_t;

/** A listed host and its state. */
typedef struct {
    pps_host_t host;
    pps_member_state_t state;
    uint64_t incarnation; /**< 0 before the first report */
} pps_member_t;

/** The hosts of the list, sorted by id. */
typedef struct {
    pps_member_t *members;
    size_t count;
} pps_membership_t;

#define PPS_MEMBERSHIP_INIT                                                   \
    {                                                                         \
        NULL, 0                                                               \
    }

/**
 * Builds the view of the host `self_id`. That host itself counts as alive
 * unless the list marks it as leaving.
 * @return 0 or PPS_ENOMEM; free with pps_membership_clear()
 */
int
pps_membership_build(pps_membership_t *out, const char *self_id,
                     uint64_t self_incarnation, const pps_host_list_t *hosts,
                     const pps_host_report_t *reports, size_t report_count);

/** Frees the members and empties the membership. */
void
pps_membership_clear(pps_membership_t *membership);

/** Finds a member by id. @return the member, owned by `membership`, or NULL */
const pps_member_t *
pps_membership_find(const pps_membership_t *membership, const char *id);

/** Visits the alive members in order of id. A non-zero result of `visit` stops
 * the iteration and is returned. */
int
pps_membership_foreach_alive(const pps_membership_t *membership,
                             int (*visit)(const pps_member_t *, void *),
                             void *user);

/** Counts the alive members. */
size_t
pps_membership_count_alive(const pps_membership_t *membership);

/**
 * Chooses the alive host that holds copies for `self_id` by rendezvous
 * hashing, preferring hosts in another failure domain.
 * @return 0 or PPS_ENOTFOUND when no other host is alive
 */
int
pps_membership_find_partner(const pps_member_t **out,
                            const pps_membership_t *membership,
                            const char *self_id);

/**
 * Chooses the owner of a key among the alive hosts by rendezvous hashing.
 * @return 0 or PPS_ENOTFOUND when no host is alive
 */
int
pps_membership_find_owner(const pps_member_t **out,
                          const pps_membership_t *membership, const void *key,
                          size_t size);

/** Returns `unknown`, `alive`, `suspected` or `leaving`. */
const char *
pps_member_state_name(pps_member_state_t state);

#endif
