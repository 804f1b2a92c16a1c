/** @file gossip_play_acts.c @brief What happens in a play of gossip. */
#include "gossip_play.h"

#include "clock.h"
#include "gossip/relay_tree.h"
#include "gossip_play_queue.h"

#include <criterion/criterion.h>
#include <stdlib.h>

void
gossip_play_publish(gossip_play_t *play)
{
    cr_assert(play->published < GOSSIP_PLAY_RECORDS_MAX);
    play->published_us[play->published++] = play->reactor.now_us;
}

void
gossip_play_report_leaving(gossip_play_t *play, unsigned int host)
{
    const pps_gossip_leaving_t leaving = {1, play->reactor.now_us};

    play->running = host;
    pps_gossip_send_leaving(&play->hosts[host].gossip, &leaving);
}

void
gossip_play_break(gossip_play_t *play, unsigned int host,
                  gossip_play_fault_t fault, int64_t duration_us)
{
    play->hosts[host].fault = fault;
    play->hosts[host].fault_end_us =
        fault == GOSSIP_PLAY_KILLED ? 0 : play->reactor.now_us + duration_us;
}

static int
is_relay_only(const pps_gossip_t *gossip)
{
    return pps_gossip_relay_rank(gossip) < PPS_GOSSIP_RELAYS &&
           !pps_gossip_is_reader(gossip);
}

static unsigned int
find(gossip_play_t *play, int (*check)(const pps_gossip_t *gossip))
{
    unsigned int host = 0;

    while (host < play->options.hosts && !check(&play->hosts[host].gossip)) {
        host++;
    }
    cr_assert_lt(host, play->options.hosts);
    return host;
}

unsigned int
gossip_play_find_reader(gossip_play_t *play)
{
    return find(play, pps_gossip_is_reader);
}

unsigned int
gossip_play_find_relay(gossip_play_t *play)
{
    return find(play, is_relay_only);
}

unsigned int
gossip_play_count_behind(const gossip_play_t *play)
{
    unsigned int behind = 0;

    for (unsigned int i = 0; i < play->options.hosts; i++) {
        behind += play->hosts[i].fault == GOSSIP_PLAY_NOTHING &&
                  play->hosts[i].end < play->published;
    }
    return behind;
}

void
gossip_play_reset_counts(gossip_play_t *play)
{
    for (unsigned int i = 0; i < play->options.hosts; i++) {
        play->hosts[i].sent_bytes = 0;
        play->hosts[i].received_bytes = 0;
    }
}

static void
stop_host(gossip_play_host_t *host)
{
    pps_gossip_peer_t *peer;
    pps_gossip_peer_t *next;

    cds_list_for_each_entry_safe (peer, next, &host->gossip.peers, node) {
        free(peer);
    }
    pps_record_log_clear(&host->gossip.forwarding->records);
    free(host->gossip.forwarding);
}

void
gossip_play_free(gossip_play_t *play)
{
    for (unsigned int i = 0; i < play->options.hosts; i++) {
        stop_host(&play->hosts[i]);
    }
    gossip_play_queue_free(play->queue);
    free(play->hosts);
    free(play);
}
