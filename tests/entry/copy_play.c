/** @file copy_play.c @brief Plays how copies spread between hosts. */
#include "copy_play_net.h"

#include "clock.h"
#include "mirror/start_plan.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>

#define MS PPS_US_PER_MS
#define END_US (60 * PPS_US_PER_S)
#define READERS 2

static unsigned int
count_before(const copy_play_t *play, unsigned int index)
{
    uint64_t own = pps_start_rank(play->hosts[index].address);
    unsigned int before = 0;

    for (unsigned int i = 0; i < play->c->hosts; i++) {
        before += pps_start_rank(play->hosts[i].address) < own;
    }
    return before;
}

/* All hosts start at 0 s. Some of those that the store lists are gone. */
static void
prepare_start(copy_play_t *play)
{
    for (unsigned int i = 0; i < play->c->hosts; i++) {
        play->hosts[i].is_down = pps_rng_unit(&play->rng) < play->c->crashing;
        play->hosts[i].listed_us = -1;
        play->hosts[i].before = count_before(play, i);
        copy_play_list_hosts(play, i);
    }
}

static void
prepare(copy_play_t *play)
{
    for (unsigned int i = 0; i < play->c->hosts; i++) {
        copy_play_host_t *host = &play->hosts[i];

        snprintf(host->address, sizeof(host->address), "%u", i);
        host->domain = i % play->c->domains;
        host->is_fast = i / play->c->domains < COPY_PLAY_FAST_PER_DOMAIN;
        host->is_reader = i < READERS;
        host->done_us = -1;
        host->behind_since_us = -1;
        copy_play_push(play,
                       (int64_t)pps_rng_below(&play->rng, COPY_PLAY_TICK_US),
                       EVENT_TICK, i, 0);
        if (play->c->is_start) {
            continue;
        }
        if (host->is_reader) {
            copy_play_read_store(play, i);
        }
        else if (pps_rng_unit(&play->rng) < play->c->crashing) {
            copy_play_push(play,
                           (int64_t)pps_rng_below(&play->rng, PPS_US_PER_S),
                           EVENT_CRASH, i, 0);
        }
    }
}

static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

static void
summarize(copy_play_t *play)
{
    int64_t done[COPY_PLAY_HOSTS_MAX];
    unsigned int count = 0;

    for (unsigned int i = 0; i < play->c->hosts; i++) {
        const copy_play_host_t *host = &play->hosts[i];

        play->result.unfinished += !host->is_down && host->done_us < 0;
        if (!host->is_down && host->done_us >= 0) {
            done[count++] = host->done_us;
        }
    }
    qsort(done, count, sizeof(*done), compare);
    play->result.median_us = done[count / 2];
    play->result.last_us = done[count - 1];
}

static int
is_over(const copy_play_t *play)
{
    for (unsigned int i = 0; i < play->c->hosts; i++) {
        if (!play->hosts[i].is_down && play->hosts[i].done_us < 0) {
            return 0;
        }
    }
    return 1;
}

copy_play_result_t
copy_play_run(const copy_play_case_t *c, uint64_t seed)
{
    copy_play_t *play = calloc(1, sizeof(*play));
    copy_play_result_t result;

    cr_assert_not_null(play);
    play->c = c;
    play->events = malloc(COPY_PLAY_EVENTS_MAX * sizeof(*play->events));
    cr_assert_not_null(play->events);
    pps_rng_init(&play->rng, seed);
    prepare(play);
    if (c->is_start) {
        prepare_start(play);
    }
    while (play->now_us < END_US && !is_over(play)) {
        copy_play_event_t event = copy_play_pop(play);

        play->now_us = event.at_us;
        if (!play->hosts[event.host].is_down &&
            copy_play_is_due(play, &event)) {
            copy_play_handle(play, &event);
        }
    }
    summarize(play);
    result = play->result;
    free(play->events);
    free(play);
    return result;
}
