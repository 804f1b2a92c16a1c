/** @file gossip_play.c @brief Plays the gossip of many hosts. */
#include "gossip_play.h"

#include "clock.h"
#include "gossip/gossip_digest.h"
#include "gossip_play_queue.h"
#include "logger.h"
#include "mirror/catch_up.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START_US (1000 * PPS_US_PER_S)
#define EPOCH 1
#define TOPIC 1
/** Those of node.c, node_peers.c and node_topics.c. */
#define TICK_MS 250
#define READ_AGE_MAX_US (1950 * PPS_US_PER_MS)
#define READ_PERIOD_US (500 * PPS_US_PER_MS)
#define MARK_DELAY_US (100 * PPS_US_PER_MS)
#define STATE_BUSY_US (400 * PPS_US_PER_MS)
#define STATE_IDLE_US (1000 * PPS_US_PER_MS)
#define RELAY_PERIOD_US (400 * PPS_US_PER_MS)
/** One-way latency: the largest between failure domains of the target
 * deployments, rounded up, and some jitter. */
#define FAR_MS 6
#define NEAR_MS 1
#define JITTER_MS 3
/** Hosts of a domain with fast links. */
#define FAST_HOSTS 2
#define RECORD_TEXT_BYTES 300
#define LOSS_UNIT 1000000

static int64_t
now_ms(const gossip_play_t *play)
{
    return play->reactor.now_us / PPS_US_PER_MS;
}

static unsigned int
domain_of(const gossip_play_t *play, unsigned int host)
{
    return host % play->options.domains;
}

static int
is_running(const gossip_play_host_t *host)
{
    return host->fault == GOSSIP_PLAY_NOTHING ||
           host->fault == GOSSIP_PLAY_CUT_OFF;
}

static void
transmit(void *user, const char *address, const pps_buf_t *encoded)
{
    gossip_play_t *play = user;
    gossip_play_host_t *from = &play->hosts[play->running];
    unsigned int to = (unsigned int)strtoul(address, NULL, 10);
    int is_near = domain_of(play, to) == domain_of(play, play->running);
    int64_t delay_ms = (is_near ? NEAR_MS : FAR_MS) +
                       (int64_t)pps_rng_below(&play->rng, JITTER_MS);

    from->sent_bytes += encoded->size + GOSSIP_PLAY_HEADER_BYTES;
    if (from->fault == GOSSIP_PLAY_CUT_OFF ||
        (double)pps_rng_below(&play->rng, LOSS_UNIT) <
            play->options.loss * LOSS_UNIT) {
        return;
    }
    gossip_play_queue_add(play->queue, to, encoded->data, encoded->size,
                          now_ms(play), delay_ms);
}

static void
apply(gossip_play_t *play, int64_t offset)
{
    gossip_play_host_t *host = &play->hosts[play->running];

    host->end = offset + 1;
    host->last_delay_us = play->reactor.now_us - play->published_us[offset];
    if (host->last_delay_us > host->worst_delay_us) {
        host->worst_delay_us = host->last_delay_us;
    }
}

/* As pps_node_catch_up(). */
static void
catch_up(gossip_play_t *play)
{
    gossip_play_host_t *host = &play->hosts[play->running];
    int64_t now_us = play->reactor.now_us;
    pps_lag_t lag = {.has_gap = host->gap_end > host->end, .is_loaded = 1};
    int attempt;

    lag.is_behind = lag.has_gap || host->other_end > host->end;
    if (!lag.is_behind) {
        host->behind_since_us = 0;
    }
    else if (host->behind_since_us == 0) {
        host->behind_since_us = now_us;
    }
    lag.behind_us = lag.is_behind ? now_us - host->behind_since_us : 0;
    attempt = pps_record_repair_step(&host->repair, lag.is_behind, lag.has_gap,
                                     lag.behind_us, now_us);
    if (attempt >= 0) {
        host->repair.is_asking =
            pps_gossip_request_records(&host->gossip, TOPIC, EPOCH, host->end,
                                       (unsigned int)attempt) == 0;
    }
    lag.has_gap = lag.has_gap && !host->repair.is_asking;
    if ((pps_catch_up_choose(&lag) & PPS_CATCH_UP_FROM_STORE) != 0) {
        host->store_reads++;
        while (host->end < play->published) {
            apply(play, host->end);
        }
    }
}

/* As on_record() of node_peers.c. */
static void
on_record(void *user, const pps_gossip_record_t *record)
{
    gossip_play_t *play = user;
    gossip_play_host_t *host = &play->hosts[play->running];

    switch (pps_record_gap_judge(record, EPOCH, host->end, host->end)) {
    case PPS_RECORD_SKIPPED:
        return;
    case PPS_RECORD_AFTER_GAP:
        host->gap_end = record->offset + 1;
        catch_up(play);
        return;
    case PPS_RECORD_NEXT:
        apply(play, record->offset);
        return;
    }
}

static void
on_mark(void *user, const pps_gossip_mark_t *mark)
{
    gossip_play_t *play = user;
    gossip_play_host_t *host = &play->hosts[play->running];

    if (mark->relevant_end > host->end) {
        host->gap_end = mark->relevant_end;
        catch_up(play);
    }
}

static void
on_leaving(void *user, const pps_gossip_leaving_t *leaving)
{
    gossip_play_t *play = user;

    play->hosts[play->running].reports++;
}

static void
fill_state(void *user, pps_gossip_state_t *out)
{
    gossip_play_t *play = user;
    const gossip_play_host_t *host = &play->hosts[play->running];

    out->read_age_us =
        play->is_store_down ? -1 : play->reactor.now_us - host->read_us;
    out->topic_epochs[0] = EPOCH;
    out->topic_epochs[TOPIC] = EPOCH;
    out->topic_ends[TOPIC] = host->end;
    out->topic_relevant_ends[TOPIC] = host->end;
    out->takes_relays = 1;
}

static void
on_state(void *user, const pps_gossip_peer_t *peer)
{
    gossip_play_t *play = user;
    gossip_play_host_t *host = &play->hosts[play->running];

    if (peer->state.topic_relevant_ends[TOPIC] > host->other_end) {
        host->other_end = peer->state.topic_relevant_ends[TOPIC];
    }
    catch_up(play);
}

static const pps_gossip_ops_t ops = {
    .fill_state = fill_state,
    .on_state = on_state,
    .on_record = on_record,
    .on_mark = on_mark,
    .on_leaving = on_leaving,
};

/* As a read of the workers' topic and forward_record() of node_topics.c. */
static void
read_store(gossip_play_t *play)
{
    static const char value[RECORD_TEXT_BYTES];
    gossip_play_host_t *host = &play->hosts[play->running];
    int64_t now_us = play->reactor.now_us;

    if (!pps_gossip_is_reader(&host->gossip) || now_us < host->next_read_us ||
        host->fault == GOSSIP_PLAY_CUT_OFF || play->is_store_down) {
        return;
    }
    host->read_us = now_us;
    host->next_read_us = now_us + READ_PERIOD_US;
    while (host->end < play->published) {
        const pps_gossip_record_t record = {
            TOPIC, host->end, host->end,     "worker",
            6,     value,     sizeof(value), EPOCH};

        apply(play, host->end);
        pps_gossip_send_record(&host->gossip, &record);
        if (host->mark_due_us == 0) {
            host->mark_due_us = now_us + MARK_DELAY_US;
        }
    }
}

static void
send_due_mark(gossip_play_t *play)
{
    gossip_play_host_t *host = &play->hosts[play->running];
    const pps_gossip_mark_t mark = {TOPIC, EPOCH, host->end};

    if (host->mark_due_us != 0 && play->reactor.now_us >= host->mark_due_us) {
        host->mark_due_us = 0;
        pps_gossip_send_mark(&host->gossip, &mark);
    }
}

static void
end_fault(gossip_play_t *play, gossip_play_host_t *host)
{
    if (host->fault == GOSSIP_PLAY_NOTHING || host->fault_end_us == 0 ||
        play->reactor.now_us < host->fault_end_us) {
        return;
    }
    if (host->fault == GOSSIP_PLAY_FROZEN) {
        host->gossip.forwarding->resumed_us = play->reactor.now_us;
    }
    host->fault = GOSSIP_PLAY_NOTHING;
}

static int64_t
state_period_us(const pps_gossip_t *gossip)
{
    return pps_gossip_is_reader(gossip)
               ? STATE_BUSY_US
               : (int64_t)(STATE_IDLE_US * pps_gossip_period_scale(gossip));
}

/* As on_tick() of node.c and the timer of the states. */
static void
step_host(gossip_play_t *play, unsigned int index)
{
    gossip_play_host_t *host = &play->hosts[index];
    int64_t now_us = play->reactor.now_us;

    end_fault(play, host);
    if (!is_running(host)) {
        return;
    }
    play->running = index;
    send_due_mark(play);
    if ((now_ms(play) + index * 7) % TICK_MS == 0) {
        catch_up(play);
        read_store(play);
    }
    if (now_us >= host->next_state_us) {
        host->next_state_us = now_us + state_period_us(&host->gossip);
        pps_gossip_send_regular_state(&host->gossip);
    }
    if (now_us >= host->next_relay_us) {
        host->next_relay_us = now_us + RELAY_PERIOD_US;
        pps_gossip_step_relay(&host->gossip);
    }
}

static void
deliver(gossip_play_t *play, const gossip_play_datagram_t *datagram)
{
    gossip_play_host_t *host = &play->hosts[datagram->to];

    if (host->fault == GOSSIP_PLAY_FROZEN) {
        gossip_play_queue_add(play->queue, datagram->to, datagram->data,
                              datagram->size, now_ms(play),
                              host->fault_end_us / PPS_US_PER_MS -
                                  now_ms(play) + TICK_MS);
        return;
    }
    if (host->fault != GOSSIP_PLAY_NOTHING) {
        return;
    }
    host->received_bytes += datagram->size + GOSSIP_PLAY_HEADER_BYTES;
    play->running = datagram->to;
    cr_expect_eq(
        pps_gossip_receive(&host->gossip, datagram->data, datagram->size), 0);
}

static void
step(gossip_play_t *play)
{
    gossip_play_datagram_t *datagram =
        gossip_play_queue_take(play->queue, now_ms(play));

    while (datagram != NULL) {
        gossip_play_datagram_t *next = datagram->next;

        deliver(play, datagram);
        free(datagram);
        datagram = next;
    }
    for (unsigned int i = 0; i < play->options.hosts; i++) {
        step_host(play, i);
    }
}

void
gossip_play_run(gossip_play_t *play, int64_t duration_us)
{
    int64_t end_us = play->reactor.now_us + duration_us;

    while (play->reactor.now_us < end_us) {
        step(play);
        play->reactor.now_us += PPS_US_PER_MS;
    }
}

static void
start_host(gossip_play_t *play, unsigned int index)
{
    gossip_play_host_t *host = &play->hosts[index];
    pps_gossip_t *gossip = &host->gossip;
    pps_gossip_state_t *own = &gossip->own.state;

    gossip->reactor = &play->reactor;
    gossip->read_age_max_us = READ_AGE_MAX_US;
    gossip->ops = &ops;
    gossip->user = play;
    gossip->transmit = transmit;
    gossip->forwarding = calloc(1, sizeof(*gossip->forwarding));
    cr_assert_not_null(gossip->forwarding);
    pps_rng_init(&gossip->rng, play->options.seed + index);
    CDS_INIT_LIST_HEAD(&gossip->peers);
    snprintf(own->host_id, PPS_GOSSIP_TEXT_BYTES, "entry-%03u", index);
    snprintf(own->address, PPS_GOSSIP_TEXT_BYTES, "%u", index);
    snprintf(own->failure_domain, PPS_GOSSIP_TEXT_BYTES, "zone-%u",
             domain_of(play, index));
    own->link_mbps = index / play->options.domains < FAST_HOSTS ? 200 : 10;
    own->incarnation = pps_rng_next(&gossip->rng) >> 1;
    for (unsigned int i = 0; i < play->options.hosts; i++) {
        char address[PPS_GOSSIP_TEXT_BYTES];

        snprintf(address, sizeof(address), "%u", i);
        pps_gossip_add_address(gossip, address);
    }
    host->read_us = START_US;
    host->next_state_us =
        START_US + (int64_t)pps_rng_below(&play->rng, STATE_IDLE_US);
    host->next_relay_us =
        START_US + (int64_t)pps_rng_below(&play->rng, RELAY_PERIOD_US);
}

gossip_play_t *
gossip_play_new(const gossip_play_options_t *options)
{
    gossip_play_t *play = calloc(1, sizeof(*play));

    cr_assert_not_null(play);
    pps_logger_setup(PPS_LOG_KEY_VALUE, PPS_LOG_ERROR, "-");
    play->options = *options;
    play->hosts = calloc(options->hosts, sizeof(*play->hosts));
    play->queue = gossip_play_queue_new();
    cr_assert_not_null(play->hosts);
    pps_rng_init(&play->rng, options->seed);
    play->reactor.now_us = START_US;
    for (unsigned int i = 0; i < options->hosts; i++) {
        start_host(play, i);
    }
    return play;
}
