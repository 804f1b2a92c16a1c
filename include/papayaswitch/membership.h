/**
 * @file membership.h
 * @brief Who is alive, whose partner is whom, and who owns a key.
 *
 * Pure: it is built from the platform's lagging list and what the pongs say.
 */
#ifndef PAPAYASWITCH_MEMBERSHIP_H
#define PAPAYASWITCH_MEMBERSHIP_H

#include "papayaswitch/host.h"

#include <stddef.h>
#include <stdint.h>

/** What this host makes of another one. */
typedef enum {
    PPS_MEMBER_UNKNOWN,   /**< listed, never heard */
    PPS_MEMBER_ALIVE,     /**< listed and heard */
    PPS_MEMBER_SUSPECTED, /**< a fresh connection got no answer either */
    PPS_MEMBER_LEAVING,   /**< by the list or by its own word */
} pps_member_state_t;

/** A listed host. */
typedef struct {
    pps_host_t host;
    pps_member_state_t state;
    uint64_t incarnation; /**< 0 when it was never heard */
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
 * Builds the view of the host `self_id`, which is alive to itself unless the
 * list has it leaving.
 * @return 0 or PPS_ENOMEM; free with pps_membership_clear()
 */
int
pps_membership_build(pps_membership_t *out, const char *self_id,
                     uint64_t self_incarnation, const pps_host_list_t *hosts,
                     const pps_host_report_t *reports, size_t report_count);

/** Frees the members and leaves an empty view. */
void
pps_membership_clear(pps_membership_t *membership);

/** The member with this id, or NULL. */
const pps_member_t *
pps_membership_find(const pps_membership_t *membership, const char *id);

/** Visits the alive members in order of id; a non-zero return stops it. */
int
pps_membership_foreach_alive(const pps_membership_t *membership,
                             int (*visit)(const pps_member_t *, void *),
                             void *user);

/** Number of alive members. */
size_t
pps_membership_count_alive(const pps_membership_t *membership);

/**
 * Chooses the host that holds copies for `self_id`: alive, in another failure
 * domain if there is one, by rendezvous hashing.
 * @return 0 or PPS_ENOTFOUND when no other host is alive
 */
int
pps_membership_find_partner(const pps_member_t **out,
                            const pps_membership_t *membership,
                            const char *self_id);

/**
 * Chooses the owner of a key among the alive hosts by rendezvous hashing.
 * @return 0 or PPS_ENOTFOUND when none is alive
 */
int
pps_membership_find_owner(const pps_member_t **out,
                          const pps_membership_t *membership, const void *key,
                          size_t size);

/** `unknown`, `alive`, `suspected` or `leaving`. */
const char *
pps_member_state_name(pps_member_state_t state);

#endif
