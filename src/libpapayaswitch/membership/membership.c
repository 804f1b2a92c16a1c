/** @file membership.c @brief Builds the membership and chooses hosts. */
#include "papayaswitch/membership.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static int
compare_ids(const void *left, const void *right)
{
    const pps_member_t *a = left;
    const pps_member_t *b = right;

    return strcmp(a->host.id, b->host.id);
}

static const pps_host_report_t *
find_report(const pps_host_report_t *reports, size_t count, const char *id)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(reports[i].id, id) == 0) {
            return &reports[i];
        }
    }
    return NULL;
}

static pps_member_state_t
derive_state(const pps_host_t *host, const pps_host_report_t *report,
             int is_self)
{
    if (host->state == PPS_HOST_LEAVING ||
        (report != NULL && report->status.leaving)) {
        return PPS_MEMBER_LEAVING;
    }
    if (is_self) {
        return PPS_MEMBER_ALIVE;
    }
    if (report != NULL && report->suspected) {
        return PPS_MEMBER_SUSPECTED;
    }
    return report != NULL && report->pong_received_us != PPS_TIME_NONE
               ? PPS_MEMBER_ALIVE
               : PPS_MEMBER_UNKNOWN;
}

int
pps_membership_build(pps_membership_t *out, const char *self_id,
                     uint64_t self_incarnation, const pps_host_list_t *hosts,
                     const pps_host_report_t *reports, size_t report_count)
{
    pps_member_t *members = calloc(hosts->count + 1, sizeof(*members));

    if (members == NULL) {
        return pps_error_set(PPS_ENOMEM, "membership: out of memory");
    }
    for (size_t i = 0; i < hosts->count; i++) {
        const pps_host_t *host = &hosts->hosts[i];
        const pps_host_report_t *report =
            find_report(reports, report_count, host->id);
        int is_self = strcmp(host->id, self_id) == 0;

        members[i].host = *host;
        members[i].state = derive_state(host, report, is_self);
        if (is_self) {
            members[i].incarnation = self_incarnation;
        }
        else if (report != NULL) {
            members[i].incarnation = report->status.incarnation;
        }
    }
    qsort(members, hosts->count, sizeof(*members), compare_ids);
    out->members = members;
    out->count = hosts->count;
    return PPS_OK;
}

void
pps_membership_clear(pps_membership_t *membership)
{
    free(membership->members);
    membership->members = NULL;
    membership->count = 0;
}

const pps_member_t *
pps_membership_find(const pps_membership_t *membership, const char *id)
{
    for (size_t i = 0; i < membership->count; i++) {
        if (strcmp(membership->members[i].host.id, id) == 0) {
            return &membership->members[i];
        }
    }
    return NULL;
}

int
pps_membership_foreach_alive(const pps_membership_t *membership,
                             int (*visit)(const pps_member_t *, void *),
                             void *user)
{
    int stop = 0;

    for (size_t i = 0; i < membership->count && stop == 0; i++) {
        if (membership->members[i].state == PPS_MEMBER_ALIVE) {
            stop = visit(&membership->members[i], user);
        }
    }
    return stop;
}

static int
count_member(const pps_member_t *member, void *user)
{
    (*(size_t *)user)++;
    return 0;
}

size_t
pps_membership_count_alive(const pps_membership_t *membership)
{
    size_t count = 0;

    pps_membership_foreach_alive(membership, count_member, &count);
    return count;
}

/* Rendezvous hashing: selects the alive member with the highest weight for
 * the key, the lowest id on a tie. */
typedef struct {
    const void *key;
    size_t size;
    const pps_member_t *self; /**< member to exclude, or NULL */
    int other_domain; /**< whether to exclude the domain of `self` too */
    const pps_member_t *best;
    uint64_t best_weight;
} selection_t;

static int
visit_candidate(const pps_member_t *member, void *user)
{
    selection_t *selection = user;
    uint64_t seed = XXH64(selection->key, selection->size, 0);
    uint64_t weight = XXH64(member->host.id, strlen(member->host.id), seed);

    if (member == selection->self) {
        return 0;
    }
    if (selection->other_domain &&
        strcmp(member->host.failure_domain,
               selection->self->host.failure_domain) == 0) {
        return 0;
    }
    if (selection->best == NULL || weight > selection->best_weight) {
        selection->best = member;
        selection->best_weight = weight;
    }
    return 0;
}

static int
finish_selection(const pps_member_t **out, const selection_t *selection)
{
    *out = selection->best;
    if (selection->best == NULL) {
        return pps_error_set(PPS_ENOTFOUND, "membership: no host is alive");
    }
    return PPS_OK;
}

int
pps_membership_find_partner(const pps_member_t **out,
                            const pps_membership_t *membership,
                            const char *self_id)
{
    selection_t selection = {
        .key = self_id,
        .size = strlen(self_id),
        .self = pps_membership_find(membership, self_id),
    };

    selection.other_domain = selection.self != NULL;
    pps_membership_foreach_alive(membership, visit_candidate, &selection);
    if (selection.best == NULL) {
        selection.other_domain = 0;
        pps_membership_foreach_alive(membership, visit_candidate, &selection);
    }
    return finish_selection(out, &selection);
}

int
pps_membership_find_owner(const pps_member_t **out,
                          const pps_membership_t *membership, const void *key,
                          size_t size)
{
    selection_t selection = {.key = key, .size = size};

    pps_membership_foreach_alive(membership, visit_candidate, &selection);
    return finish_selection(out, &selection);
}

const char *
pps_member_state_name(pps_member_state_t state)
{
    static const char *const names[] = {"unknown", "alive", "suspected",
                                        "leaving"};

    return names[state];
}
