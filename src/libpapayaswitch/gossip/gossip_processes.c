/** @file gossip_processes.c @brief Tells processes of hosts apart, and sends
 * what ended ones have counted. */
#include "gossip_processes.h"

#include "gossip_state.h"

#include <string.h>

int
pps_gossip_is_own_process(const pps_gossip_t *gossip,
                          const pps_gossip_process_t *process)
{
    const pps_gossip_state_t *own = &gossip->own.state;

    return process->incarnation == own->incarnation &&
           strcmp(process->host, own->address) == 0;
}

int
pps_gossip_is_live_process(pps_gossip_t *gossip,
                           const pps_gossip_process_t *process)
{
    const pps_gossip_peer_t *peer =
        pps_gossip_find_peer(gossip, process->host);

    return peer != NULL && peer->state.incarnation == process->incarnation &&
           pps_gossip_is_live(gossip, peer);
}

int
pps_gossip_shares_ended_counts(const pps_gossip_t *gossip,
                               const pps_gossip_peer_t *peer)
{
    const pps_gossip_state_t *hubs[PPS_GOSSIP_READERS];
    size_t count;

    if ((peer->state.lacks & PPS_GOSSIP_LACKS_ENDED_COUNTS) != 0) {
        return 0;
    }
    if (!pps_gossip_is_large(gossip)) {
        return 1;
    }
    count = pps_gossip_list_hubs(hubs, gossip);
    return pps_gossip_hears_all(gossip) &&
           pps_gossip_is_listed(hubs, count, peer);
}

void
pps_gossip_send_ended_counts(pps_gossip_t *gossip,
                             const pps_gossip_peer_t *peer,
                             pps_gossip_ended_counts_t *counts)
{
    pps_buf_t encoded = PPS_BUF_INIT;

    memcpy(counts->from, gossip->own.state.address, sizeof(counts->from));
    if (pps_gossip_encode_ended_counts(&encoded, counts) == 0) {
        pps_gossip_send_to(gossip, peer->state.address, &encoded);
    }
    pps_buf_clear(&encoded);
}
