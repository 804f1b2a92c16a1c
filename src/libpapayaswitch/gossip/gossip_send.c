/** @file gossip_send.c @brief Sends notices, records and reports. */
#include "gossip_state.h"

#include "gossip_codec.h"
#include "papayaswitch/errors.h"

#include <string.h>
#include <xxhash.h>

/** Maximum number of peers that one notice is sent to. */
#define NOTICE_PEERS_MAX 24
/** Largest encoded record that is sent. */
#define RECORD_BYTES_MAX 1200

static int
is_same_domain(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    return strcmp(peer->state.failure_domain,
                  gossip->own.state.failure_domain) == 0;
}

void
pps_gossip_send_notice(pps_gossip_t *gossip, const pps_gossip_notice_t *notice)
{
    pps_buf_t encoded = PPS_BUF_INIT;
    pps_gossip_peer_t *peer;
    unsigned int sent = 0;

    if (pps_gossip_encode_notice(&encoded, notice) == 0) {
        cds_list_for_each_entry (peer, &gossip->peers, node) {
            if (pps_gossip_is_live(gossip, peer) && sent < NOTICE_PEERS_MAX &&
                (gossip->peer_count <= PPS_GOSSIP_FULL_MESH_PEERS_MAX ||
                 is_same_domain(gossip, peer))) {
                pps_gossip_send_to(gossip, peer->state.address, &encoded);
                sent++;
            }
        }
    }
    pps_buf_clear(&encoded);
}

void
pps_gossip_send_to_live(pps_gossip_t *gossip, const pps_buf_t *encoded)
{
    pps_gossip_peer_t *peer;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (pps_gossip_is_live(gossip, peer)) {
            pps_gossip_send_to(gossip, peer->state.address, encoded);
        }
    }
}

/* Returns the same id for the copies that two readers send of a record. */
static uint64_t
record_id(const pps_gossip_record_t *record)
{
    const int64_t place[] = {record->topic, record->epoch, record->offset};

    return XXH64(place, sizeof(place), 0);
}

int
pps_gossip_send_record(pps_gossip_t *gossip, const pps_gossip_record_t *record)
{
    pps_buf_t encoded = PPS_BUF_INIT;
    int error = pps_gossip_encode_record(&encoded, record);

    if (error == 0 && encoded.size > RECORD_BYTES_MAX) {
        error = PPS_ELIMIT;
    }
    if (error == 0) {
        pps_gossip_keep_record(gossip, record, encoded.data, encoded.size);
        pps_gossip_send_to_all(gossip, &encoded, record_id(record));
    }
    pps_buf_clear(&encoded);
    return error;
}

/* Each report has an id of its own: two of the same bytes are two events. */
static void
send_report(pps_gossip_t *gossip, const pps_buf_t *encoded)
{
    pps_gossip_send_to_all(gossip, encoded, pps_rng_next(&gossip->rng));
}

void
pps_gossip_send_leaving(pps_gossip_t *gossip,
                        const pps_gossip_leaving_t *leaving)
{
    pps_buf_t encoded = PPS_BUF_INIT;

    if (pps_gossip_encode_leaving(&encoded, leaving) == 0) {
        send_report(gossip, &encoded);
    }
    pps_buf_clear(&encoded);
}

void
pps_gossip_send_limit(pps_gossip_t *gossip, const pps_gossip_limit_t *limit)
{
    pps_buf_t encoded = PPS_BUF_INIT;

    if (pps_gossip_encode_limit(&encoded, limit) == 0) {
        send_report(gossip, &encoded);
    }
    pps_buf_clear(&encoded);
}

void
pps_gossip_send_brittle(pps_gossip_t *gossip,
                        const pps_gossip_brittle_t *brittle)
{
    pps_buf_t encoded = PPS_BUF_INIT;

    if (pps_gossip_encode_brittle(&encoded, brittle) == 0) {
        send_report(gossip, &encoded);
    }
    pps_buf_clear(&encoded);
}
