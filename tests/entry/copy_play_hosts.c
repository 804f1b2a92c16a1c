/** @file copy_play_hosts.c @brief What the hosts of the play do. */
#include "copy_play_net.h"

#include "clock.h"
#include "mirror/catch_up.h"
#include "mirror/start_plan.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS PPS_US_PER_MS
#define FETCH_TIMEOUT_US (1000 * MS)
/** Speed of the store's link. */
#define STORE_MBPS 1000
/** Size of a state datagram, of a request and of a refusal. */
#define STATE_BYTES 450
#define SMALL_BYTES 400
/** Size of a host in the list of hosts. */
#define LISTED_BYTES 100
/** Processor time of a whole core, for a datagram and for an HTTP call. */
#define STATE_CORE_US 30
#define CALL_CORE_US 200
/** Round trips until a copy has been sent: connecting and slow start. */
#define COPY_ROUND_TRIPS 5

static int
is_state_target(const copy_play_t *play, const copy_play_host_t *from,
                const copy_play_host_t *to)
{
    unsigned int index = (unsigned int)(to - play->hosts) / play->c->domains;

    if (from == to) {
        return 0;
    }
    if (from->is_reader || to->is_reader || play->c->is_start) {
        return 1;
    }
    return from->domain == to->domain &&
           (!play->c->sends_to_relays || index < COPY_PLAY_FAST_PER_DOMAIN);
}

static void
send_state(copy_play_t *play, unsigned int index, int64_t now_us)
{
    copy_play_host_t *from = &play->hosts[index];

    for (unsigned int i = 0; i < play->c->hosts; i++) {
        copy_play_host_t *to = &play->hosts[i];

        if (is_state_target(play, from, to) && !to->is_down) {
            int64_t at_us =
                copy_play_send(play, from, to, now_us, STATE_BYTES);

            if (!copy_play_is_lost(play) && from->has_copy) {
                copy_play_push(play, copy_play_work(to, at_us, STATE_CORE_US),
                               EVENT_STATE, i, index);
            }
        }
    }
}

static void
call(copy_play_t *play, unsigned int index, unsigned int other)
{
    copy_play_host_t *host = &play->hosts[index];
    copy_play_host_t *to = &play->hosts[other];
    int64_t at_us = copy_play_send(play, host, to, play->now_us, SMALL_BYTES) +
                    2 * copy_play_latency_us(play, host, to);

    host->is_calling = 1;
    host->call++;
    host->asked = other;
    copy_play_push(play, play->now_us + FETCH_TIMEOUT_US, EVENT_TIMEOUT, index,
                   other)
        ->call = host->call;
    copy_play_push(play, copy_play_work(to, at_us, CALL_CORE_US),
                   EVENT_REQUEST, other, index)
        ->call = host->call;
}

static void
draw_and_call(copy_play_t *play, unsigned int index)
{
    copy_play_host_t *host = &play->hosts[index];
    pps_copy_draw_t draw = {0};

    for (unsigned int i = 0; i < play->c->hosts; i++) {
        const pps_copy_candidate_t candidate = {
            play->hosts[i].address, host->is_ahead[i],
            play->hosts[i].domain == host->domain};

        if (i != index) {
            pps_copy_draw_offer(&draw, &host->sources, &candidate, &play->rng,
                                play->now_us);
        }
    }
    if (draw.chosen != NULL) {
        call(play, index, (unsigned int)atoi(draw.chosen->address));
    }
}

void
copy_play_read_store(copy_play_t *play, unsigned int index)
{
    copy_play_host_t *host = &play->hosts[index];
    size_t size = play->c->store_bytes;

    if (host->is_reading) {
        return;
    }
    host->is_reading = 1;
    play->result.store_reads++;
    play->store_free_us = copy_play_later(play->store_free_us, play->now_us) +
                          (int64_t)size * 8 / STORE_MBPS;
    host->down_free_us =
        copy_play_later(host->down_free_us + copy_play_link_us(host, size),
                        play->store_free_us + 2 * MS);
    copy_play_push(play, host->down_free_us, EVENT_STORE, index, index);
}

void
copy_play_list_hosts(copy_play_t *play, unsigned int index)
{
    copy_play_host_t *host = &play->hosts[index];
    size_t size = (size_t)play->c->hosts * LISTED_BYTES;

    play->store_free_us = copy_play_later(play->store_free_us, play->now_us) +
                          (int64_t)size * 8 / STORE_MBPS;
    host->down_free_us =
        copy_play_later(host->down_free_us + copy_play_link_us(host, size),
                        play->store_free_us + 2 * MS);
    copy_play_push(play, host->down_free_us, EVENT_LISTED, index, index);
}

static int
knows_source(const copy_play_t *play, const copy_play_host_t *host)
{
    return memchr(host->is_ahead, 1, play->c->hosts) != NULL;
}

/* What pps_node_step_start() does. */
static void
step_start(copy_play_t *play, unsigned int index)
{
    copy_play_host_t *host = &play->hosts[index];
    pps_start_state_t state = {
        .elapsed_us = play->now_us,
        .listed_us = host->listed_us,
        .hosts = play->c->hosts,
        .before = host->before,
        .is_link_fast = host->is_fast,
        .has_source = knows_source(play, host),
    };

    if (!host->has_copy && !host->is_applying && pps_start_may_list(&state)) {
        copy_play_read_store(play, index);
    }
}

/* What pps_node_catch_up() does. */
static void
catch_up(copy_play_t *play, unsigned int index)
{
    copy_play_host_t *host = &play->hosts[index];
    int is_behind =
        !host->has_copy && !host->is_applying && knows_source(play, host);
    pps_lag_t lag = {.is_behind = is_behind,
                     .is_urgent = 1,
                     .is_loaded = !play->c->is_start,
                     .has_many_peers = 1,
                     .is_reader = host->is_reader,
                     .has_source = is_behind};
    unsigned int actions;

    if (!is_behind) {
        return;
    }
    if (host->behind_since_us < 0) {
        host->behind_since_us = play->now_us;
    }
    lag.behind_us = play->now_us - host->behind_since_us;
    actions = pps_catch_up_choose(&lag);
    if ((actions & PPS_CATCH_UP_FROM_STORE) != 0) {
        copy_play_read_store(play, index);
    }
    if ((actions & PPS_CATCH_UP_FROM_PEER) != 0 && !host->is_calling) {
        draw_and_call(play, index);
    }
}

static void
use_other_source(copy_play_t *play, const copy_play_event_t *event,
                 pps_copy_refusal_t why)
{
    copy_play_host_t *host = &play->hosts[event->host];

    host->is_calling = 0;
    pps_copy_sources_leave_out(
        &host->sources, play->hosts[event->other].address, why, play->now_us);
    catch_up(play, event->host);
    if (!host->is_calling) {
        copy_play_push(play,
                       play->now_us + 50 * MS +
                           (int64_t)pps_rng_below(&play->rng, 100 * MS),
                       EVENT_RETRY, event->host, 0);
    }
}

static void
on_refused(copy_play_t *play, copy_play_event_t *event)
{
    copy_play_host_t *host = &play->hosts[event->host];
    char *state = NULL;

    play->result.refusals++;
    for (char *hint = strtok_r(event->hints, ",", &state); hint != NULL;
         hint = strtok_r(NULL, ",", &state)) {
        pps_copy_sources_hint(&host->sources, hint, play->now_us);
    }
    use_other_source(play, event, PPS_COPY_BUSY);
}

static void
on_request(copy_play_t *play, const copy_play_event_t *event)
{
    copy_play_host_t *host = &play->hosts[event->host];
    copy_play_host_t *asker = &play->hosts[event->other];
    size_t size = play->c->copy_bytes;
    copy_play_event_t *answer;
    int64_t at_us;

    if (host->has_copy &&
        pps_copy_queue_accept(&host->queue, size,
                              host->is_fast ? COPY_PLAY_FAST_MBPS
                                            : COPY_PLAY_SLOW_MBPS,
                              play->now_us)) {
        pps_copy_queue_note(&host->queue, asker->address);
        at_us =
            copy_play_send(play, host, asker, play->now_us, size) +
            2 * COPY_ROUND_TRIPS * copy_play_latency_us(play, host, asker) +
            copy_play_resend_us(play, size);
        copy_play_push(play, at_us, EVENT_COPY, event->other, event->host)
            ->call = event->call;
        return;
    }
    at_us = copy_play_send(play, host, asker, play->now_us, SMALL_BYTES);
    answer = copy_play_push(play, at_us,
                            host->has_copy ? EVENT_REFUSED : EVENT_OUTDATED,
                            event->other, event->host);
    answer->call = event->call;
    pps_copy_queue_list(answer->hints, sizeof(answer->hints), &host->queue,
                        play->now_us);
}

static void
apply(copy_play_t *play, unsigned int index)
{
    copy_play_host_t *host = &play->hosts[index];

    if (!host->has_copy && !host->is_applying) {
        host->is_applying = 1;
        copy_play_push(play,
                       copy_play_work(host, play->now_us, play->c->apply_us),
                       EVENT_APPLIED, index, 0);
    }
}

static void
on_applied(copy_play_t *play, unsigned int index)
{
    copy_play_host_t *host = &play->hosts[index];

    host->is_applying = 0;
    host->has_copy = 1;
    host->done_us = play->now_us;
    send_state(play, index, play->now_us);
}

/* Readers send their state each 0.5 s, the others each second. */
static void
on_tick(copy_play_t *play, unsigned int index)
{
    copy_play_host_t *host = &play->hosts[index];

    copy_play_push(play, play->now_us + COPY_PLAY_TICK_US, EVENT_TICK, index,
                   0);
    if (play->c->is_start) {
        step_start(play, index);
    }
    catch_up(play, index);
    if (host->has_copy && ++host->ticks % (host->is_reader ? 2 : 4) == 0) {
        send_state(play, index, play->now_us);
    }
}

int
copy_play_is_due(const copy_play_t *play, const copy_play_event_t *event)
{
    const copy_play_host_t *host = &play->hosts[event->host];

    return event->kind < EVENT_COPY || event->kind > EVENT_TIMEOUT ||
           (host->is_calling && host->call == event->call &&
            !play->hosts[event->other].is_down) ||
           (event->kind == EVENT_TIMEOUT && host->is_calling &&
            host->call == event->call);
}

void
copy_play_handle(copy_play_t *play, copy_play_event_t *event)
{
    copy_play_host_t *host = &play->hosts[event->host];

    switch (event->kind) {
    case EVENT_TICK:
        on_tick(play, event->host);
        catch_up(play, event->host);
        break;
    case EVENT_STATE:
        host->is_ahead[event->other] = 1;
        catch_up(play, event->host);
        break;
    case EVENT_REQUEST:
        on_request(play, event);
        break;
    case EVENT_COPY:
        host->is_calling = 0;
        apply(play, event->host);
        break;
    case EVENT_REFUSED:
        on_refused(play, event);
        break;
    case EVENT_OUTDATED:
        play->result.outdated++;
        use_other_source(play, event, PPS_COPY_OUTDATED);
        break;
    case EVENT_TIMEOUT:
        use_other_source(play, event, PPS_COPY_FAILED);
        break;
    case EVENT_RETRY:
        catch_up(play, event->host);
        break;
    case EVENT_STORE:
        apply(play, event->host);
        break;
    case EVENT_APPLIED:
        on_applied(play, event->host);
        break;
    case EVENT_LISTED:
        host->listed_us = play->now_us;
        send_state(play, event->host, play->now_us);
        step_start(play, event->host);
        break;
    case EVENT_CRASH:
        host->is_down = 1;
        break;
    }
}
