/** @file gossip_digest.c @brief Fills and applies digests and beacons. */
#include "gossip_digest.h"

#include "clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Added to the age in a beacon: the longest time that the datagram usually
 * takes. Relays repeat what they hear from each other; without it a lost hub
 * would age more slowly the more relays there are. */
#define BEACON_DELAY_US (20 * PPS_US_PER_MS)

static int
is_listed_host(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    return pps_gossip_is_live(gossip, peer) &&
           strcmp(peer->state.failure_domain,
                  gossip->own.state.failure_domain) == 0;
}

static int
has_copy_of(const pps_gossip_state_t *host, const int64_t *epochs,
            const int64_t *relevant_ends, size_t topic)
{
    return host->topic_epochs[topic] == epochs[topic] &&
           host->topic_relevant_ends[topic] == relevant_ends[topic];
}

static pps_gossip_digest_entry_t
describe(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    const pps_gossip_state_t *own = &gossip->own.state;
    const pps_gossip_state_t *state = &peer->state;
    pps_gossip_digest_entry_t entry = {
        .id = peer->id,
        .age_us = gossip->reactor->now_us - peer->last_received_us,
    };

    entry.flags |= state->leaving ? PPS_GOSSIP_ENTRY_LEAVING : 0;
    entry.flags |= state->takes_relays ? PPS_GOSSIP_ENTRY_TAKES_RELAYS : 0;
    for (size_t i = 0; i < PPS_GOSSIP_TOPICS; i++) {
        if (has_copy_of(state, own->topic_epochs, own->topic_relevant_ends,
                        i)) {
            entry.flags |= PPS_GOSSIP_ENTRY_IS_CURRENT(i);
        }
    }
    return entry;
}

size_t
pps_gossip_fill_digest(pps_gossip_digest_t *out, const pps_gossip_t *gossip,
                       size_t start)
{
    const pps_gossip_state_t *own = &gossip->own.state;
    const pps_gossip_peer_t *peer;
    size_t index = 0;

    memset(out, 0, sizeof(*out));
    snprintf(out->from, sizeof(out->from), "%s", own->address);
    snprintf(out->failure_domain, sizeof(out->failure_domain), "%s",
             own->failure_domain);
    memcpy(out->topic_epochs, own->topic_epochs, sizeof(out->topic_epochs));
    memcpy(out->topic_relevant_ends, own->topic_relevant_ends,
           sizeof(out->topic_relevant_ends));
    memcpy(out->topic_ends, own->topic_ends, sizeof(out->topic_ends));
    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (!is_listed_host(gossip, peer) || index++ < start) {
            continue;
        }
        if (out->count == PPS_GOSSIP_DIGEST_HOSTS) {
            return start + out->count;
        }
        out->entries[out->count++] = describe(gossip, peer);
    }
    return 0;
}

void
pps_gossip_fill_beacon(pps_gossip_beacon_t *out, const pps_gossip_t *gossip)
{
    const pps_gossip_state_t *hubs[PPS_GOSSIP_READERS];
    size_t count = pps_gossip_list_hubs(hubs, gossip);
    const pps_gossip_state_t *own = &gossip->own.state;
    const pps_gossip_peer_t *peer;

    memset(out, 0, sizeof(*out));
    snprintf(out->from, sizeof(out->from), "%s", own->address);
    for (size_t i = 0; i < count; i++) {
        if (hubs[i] == own) {
            out->entries[out->count++] =
                (pps_gossip_beacon_entry_t){pps_gossip_id_of(own->address), 0,
                                            own->read_age_us, own->live_hosts};
        }
    }
    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (pps_gossip_is_listed(hubs, count, peer)) {
            out->entries[out->count++] = (pps_gossip_beacon_entry_t){
                peer->id,
                gossip->reactor->now_us - peer->last_received_us +
                    BEACON_DELAY_US,
                peer->state.read_age_us, peer->state.live_hosts};
        }
    }
}

static int
is_known(const pps_gossip_peer_t *peer)
{
    return peer != NULL && peer->last_received_us != 0;
}

static void
request_id(pps_gossip_state_request_t *request, uint32_t id)
{
    if (request->count < PPS_GOSSIP_REQUEST_HOSTS) {
        request->ids[request->count++] = id;
    }
}

static void
send_request(pps_gossip_t *gossip, pps_gossip_state_request_t *request,
             const char *to)
{
    pps_buf_t encoded = PPS_BUF_INIT;

    if (request->count == 0) {
        return;
    }
    snprintf(request->from, sizeof(request->from), "%s",
             gossip->own.state.address);
    if (pps_gossip_encode_state_request(&encoded, request) == 0) {
        pps_gossip_send_to(gossip, to, &encoded);
    }
    pps_buf_clear(&encoded);
}

static void
apply_entry(pps_gossip_peer_t *peer, const pps_gossip_digest_t *digest,
            const pps_gossip_digest_entry_t *entry, int64_t received_us)
{
    pps_gossip_state_t *state = &peer->state;

    if (received_us <= peer->last_received_us) {
        return;
    }
    peer->last_received_us = received_us;
    state->leaving = (entry->flags & PPS_GOSSIP_ENTRY_LEAVING) != 0;
    state->takes_relays = (entry->flags & PPS_GOSSIP_ENTRY_TAKES_RELAYS) != 0;
    for (size_t i = 0; i < PPS_GOSSIP_TOPICS; i++) {
        if ((entry->flags & PPS_GOSSIP_ENTRY_IS_CURRENT(i)) != 0) {
            state->topic_epochs[i] = digest->topic_epochs[i];
            state->topic_relevant_ends[i] = digest->topic_relevant_ends[i];
            state->topic_ends[i] = digest->topic_ends[i];
        }
    }
}

static int
compare_entries(const void *left, const void *right)
{
    const pps_gossip_digest_entry_t *a = left;
    const pps_gossip_digest_entry_t *b = right;

    return (a->id > b->id) - (a->id < b->id);
}

/* Applies the entries of the known hosts, and marks them in `known`. A hub
 * judges roll-outs by what hosts state themselves, and by when: ages from a
 * digest would hide that such a state was lost. */
static void
apply_entries(char *known, pps_gossip_t *gossip,
              const pps_gossip_digest_t *digest)
{
    int is_hub = pps_gossip_hears_all(gossip);
    pps_gossip_peer_t *peer;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        const pps_gossip_digest_entry_t wanted = {.id = peer->id};
        const pps_gossip_digest_entry_t *entry =
            bsearch(&wanted, digest->entries, digest->count, sizeof(wanted),
                    compare_entries);

        if (entry == NULL || !is_known(peer)) {
            continue;
        }
        known[entry - digest->entries] = 1;
        if (!is_hub) {
            apply_entry(peer, digest, entry,
                        gossip->reactor->now_us - entry->age_us);
        }
    }
}

void
pps_gossip_apply_digest(pps_gossip_t *gossip, pps_gossip_digest_t *digest)
{
    uint32_t own_id = pps_gossip_id_of(gossip->own.state.address);
    pps_gossip_state_request_t request = {.count = 0};
    char known[PPS_GOSSIP_DIGEST_HOSTS] = {0};

    if (!pps_gossip_is_large(gossip) ||
        strcmp(digest->failure_domain, gossip->own.state.failure_domain) !=
            0) {
        return;
    }
    qsort(digest->entries, digest->count, sizeof(*digest->entries),
          compare_entries);
    apply_entries(known, gossip, digest);
    for (size_t i = 0; i < digest->count; i++) {
        if (digest->entries[i].id == own_id) {
            gossip->served_us = gossip->reactor->now_us;
        }
        else if (!known[i]) {
            request_id(&request, digest->entries[i].id);
        }
    }
    send_request(gossip, &request, digest->from);
}

static void
apply_hub(pps_gossip_peer_t *peer, const pps_gossip_beacon_entry_t *entry,
          int64_t received_us)
{
    if (received_us > peer->last_received_us) {
        peer->last_received_us = received_us;
        peer->state.read_age_us = entry->read_age_us;
        peer->state.live_hosts = entry->live_hosts;
    }
}

void
pps_gossip_apply_beacon(pps_gossip_t *gossip,
                        const pps_gossip_beacon_t *beacon)
{
    int64_t now_us = gossip->reactor->now_us;
    uint32_t own_id = pps_gossip_id_of(gossip->own.state.address);
    pps_gossip_peer_t *from = pps_gossip_find_peer(gossip, beacon->from);
    pps_gossip_state_request_t request = {.count = 0};

    if (!pps_gossip_is_large(gossip)) {
        return;
    }
    if (from != NULL) {
        from->relay_us = now_us;
        from->beacon_us = now_us;
    }
    for (size_t i = 0; i < beacon->count; i++) {
        const pps_gossip_beacon_entry_t *entry = &beacon->entries[i];
        pps_gossip_peer_t *peer = pps_gossip_find_id(gossip, entry->id);

        if (entry->id == own_id) {
            continue;
        }
        if (!is_known(peer)) {
            request_id(&request, entry->id);
        }
        else {
            apply_hub(peer, entry, now_us - entry->state_age_us);
        }
    }
    send_request(gossip, &request, beacon->from);
}

/* Counts are left out: only hubs sum them, from what hosts send themselves. */
static void
send_state_of(pps_gossip_t *gossip, const pps_gossip_peer_t *peer,
              const char *to)
{
    static pps_gossip_message_t message;
    pps_buf_t encoded = PPS_BUF_INIT;

    message.state = peer->state;
    message.state.rollout_count = 0;
    if (pps_gossip_encode_state(&encoded, &message, gossip->reactor->now_us) ==
        0) {
        pps_gossip_send_to(gossip, to, &encoded);
    }
    pps_buf_clear(&encoded);
}

void
pps_gossip_answer_state_request(pps_gossip_t *gossip,
                                const pps_gossip_state_request_t *request)
{
    if (pps_gossip_find_peer(gossip, request->from) == NULL) {
        return;
    }
    for (size_t i = 0; i < request->count; i++) {
        const pps_gossip_peer_t *peer =
            pps_gossip_find_id(gossip, request->ids[i]);

        if (is_known(peer) && pps_gossip_is_live(gossip, peer)) {
            send_state_of(gossip, peer, request->from);
        }
    }
}
