/** @file journal_link.c @brief Reports the present hosts to the journal. */
#include "journal_link.h"

#include "papayaswitch/membership.h"

#include <stdlib.h>

/* The journal does not wait for a host that no new connection reaches. */
static int
is_present(const pps_member_t *member)
{
    return member->state != PPS_MEMBER_SUSPECTED;
}

static void
update_present_hosts(pps_router_t *router, const pps_membership_t *membership)
{
    pps_journal_host_t *hosts = calloc(membership->count + 1, sizeof(*hosts));
    size_t count = 0;

    for (size_t i = 0; hosts != NULL && i < membership->count; i++) {
        const pps_member_t *member = &membership->members[i];

        if (is_present(member)) {
            hosts[count].name = member->host.id;
            hosts[count].incarnation = member->incarnation;
            count++;
        }
    }
    if (hosts != NULL) {
        pps_journal_set_present_hosts(router->journal, hosts, count);
    }
    free(hosts);
}

void
pps_journal_link_tick(pps_router_t *router)
{
    static pps_host_report_t reports[PPS_HOSTS_MAX];
    pps_membership_t membership = PPS_MEMBERSHIP_INIT;
    size_t count =
        pps_peers_copy_reports(router->peers, reports, PPS_HOSTS_MAX);

    if (router->hosts.count > 0 &&
        pps_membership_build(&membership, router->settings.host_id,
                             router->incarnation, &router->hosts, reports,
                             count) == 0) {
        update_present_hosts(router, &membership);
    }
    pps_membership_clear(&membership);
    pps_journal_tick(router->journal);
}
