/** @file copy_play_net.c @brief Events, links and processors of the play. */
#include "copy_play_net.h"

#include "clock.h"

#include <criterion/criterion.h>

#define MS PPS_US_PER_MS
#define FAST_CORES 0.5
#define SLOW_CORES 0.12
#define SEGMENT_BYTES 1400
#define RESEND_US (200 * MS)

static int
is_before(const copy_play_event_t *a, const copy_play_event_t *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
swap(copy_play_event_t *a, copy_play_event_t *b)
{
    copy_play_event_t kept = *a;

    *a = *b;
    *b = kept;
}

copy_play_event_t *
copy_play_push(copy_play_t *play, int64_t at_us, copy_play_kind_t kind,
               unsigned int host, unsigned int other)
{
    size_t at = play->event_count++;

    cr_assert_lt(at, COPY_PLAY_EVENTS_MAX);
    play->events[at] = (copy_play_event_t){.at_us = at_us,
                                           .order = play->order++,
                                           .kind = kind,
                                           .host = host,
                                           .other = other};
    while (at > 0 &&
           is_before(&play->events[at], &play->events[(at - 1) / 2])) {
        swap(&play->events[at], &play->events[(at - 1) / 2]);
        at = (at - 1) / 2;
    }
    return &play->events[at];
}

copy_play_event_t
copy_play_pop(copy_play_t *play)
{
    copy_play_event_t first = play->events[0];
    size_t at = 0;

    play->events[0] = play->events[--play->event_count];
    for (;;) {
        size_t least = at;

        for (size_t i = 2 * at + 1; i <= 2 * at + 2; i++) {
            if (i < play->event_count &&
                is_before(&play->events[i], &play->events[least])) {
                least = i;
            }
        }
        if (least == at) {
            return first;
        }
        swap(&play->events[at], &play->events[least]);
        at = least;
    }
}

int64_t
copy_play_later(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

int64_t
copy_play_link_us(const copy_play_host_t *host, size_t size)
{
    return (int64_t)size * 8 /
           (host->is_fast ? COPY_PLAY_FAST_MBPS : COPY_PLAY_SLOW_MBPS);
}

int64_t
copy_play_work(copy_play_host_t *host, int64_t now_us, int64_t core_us)
{
    double share = host->is_fast ? FAST_CORES : SLOW_CORES;

    host->core_free_us = copy_play_later(host->core_free_us, now_us) +
                         (int64_t)((double)core_us / share);
    return host->core_free_us;
}

int64_t
copy_play_latency_us(const copy_play_t *play, const copy_play_host_t *from,
                     const copy_play_host_t *to)
{
    return from->domain == to->domain ? play->c->latency_us / 10
                                      : play->c->latency_us;
}

int64_t
copy_play_send(copy_play_t *play, copy_play_host_t *from, copy_play_host_t *to,
               int64_t now_us, size_t size)
{
    from->up_free_us = copy_play_later(from->up_free_us, now_us) +
                       copy_play_link_us(from, size);
    to->down_free_us = copy_play_later(
        to->down_free_us + copy_play_link_us(to, size),
        from->up_free_us + copy_play_latency_us(play, from, to));
    return to->down_free_us;
}

int
copy_play_is_lost(copy_play_t *play)
{
    return pps_rng_unit(&play->rng) < play->c->loss;
}

int64_t
copy_play_resend_us(copy_play_t *play, size_t size)
{
    int64_t delay_us = 0;

    for (size_t sent = 0; sent < size; sent += SEGMENT_BYTES) {
        delay_us +=
            copy_play_is_lost(play) && pps_rng_below(&play->rng, 4) == 0
                ? RESEND_US
                : 0;
    }
    return delay_us;
}
