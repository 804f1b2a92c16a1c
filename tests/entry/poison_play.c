/** @file poison_play.c @brief Requests and workers of a play. */
#include "poison_play.h"

#include "poison/poison_key.h"

#include <criterion/criterion.h>
#include <string.h>

#define RACK_WORKERS 8
#define REQUEST_KEY 4 /* index */
#define HOT_REQUESTS 3
#define ATTEMPTS_MAX 3
#define END_US (40 * S)
#define BAD_FROM_US (8 * S)
#define HERD_KILL_US (20 * S)
#define WORKER_BACK_US (3 * S)
#define WENT_ON_US (400 * MS)
/** The rules count from the fifth crash on by a part, and from the third by a
 * request, and allow so many sends. */
#define CRASHES_COUNTED 5
#define REQUEST_CRASHES_COUNTED 3

static unsigned int
worker_count(void)
{
    return play.item->is_request ? 4 : WORKERS_MAX;
}

static void
count_send(const run_t *run)
{
    unsigned int bad = run->bad_kind;
    const host_t *host = &play.hosts[run->host];

    if (run->is_bad && play.fifth_us[bad] != 0 && !play_is_cut(run->host) &&
        play.now_us > play.fifth_us[bad] + WINDOW_US &&
        play.now_us >= host->excused_until_us) {
        play.sends_after[bad]++;
    }
}

static int
is_refused(const run_t *run)
{
    pps_poison_table_t *table = play.hosts[run->host].table;
    pps_poison_block_t block =
        pps_poison_table_find_block(table, run->keys, KEYS, play.now_us);

    return block.key != 0 &&
           !(block.is_doubtful && run->host == 0 &&
             pps_poison_table_take_trial(table, block.key, play.now_us));
}

/* Takes back what is under way with a key that has just been convicted. */
void
play_drop_exposed(unsigned int host)
{
    for (size_t i = 0; i < RUNS_MAX; i++) {
        run_t *run = &play.runs[i];
        pps_poison_block_t block;

        if (run->is_used && run->host == host && !run->went_on) {
            block = pps_poison_table_find_block(play.hosts[host].table,
                                                run->keys, KEYS, play.now_us);
            run->is_used = block.key == 0 || block.is_doubtful;
            play.refused += !run->is_used && !run->is_bad;
        }
    }
}

/* Sends a request to a worker, unless it is blocked or no worker is up. */
static void
send_request(run_t *run)
{
    unsigned int workers = worker_count();
    unsigned int first = (unsigned int)pps_rng_below(&play.rng, workers);

    run->is_used = 0;
    if (is_refused(run)) {
        play.refused += !run->is_bad && run->attempts == 0;
        return;
    }
    for (unsigned int i = 0; i < workers && !run->is_used; i++) {
        run->worker = (first + i) % workers;
        run->is_used = play.workers[run->worker].up_at_us <= play.now_us;
    }
    if (!run->is_used) {
        return;
    }
    run->attempts++;
    run->start = play.workers[run->worker].start;
    run->begins_us = play.now_us;
    run->went_on = 0;
    if (!play.item->is_request) {
        run->begins_us += play_draw_us(5 * MS, 60 * MS);
    }
    if (run->is_bad) {
        run->ends_us = run->begins_us + play_draw_us(10 * MS, 120 * MS);
    }
    else if (play.item->is_request) {
        run->ends_us = run->begins_us + play_draw_us(10 * MS, 30 * MS);
    }
    else {
        run->ends_us = run->begins_us + play_draw_us(800 * MS, 2 * S);
    }
    count_send(run);
}

static void
draw_parts(run_t *run)
{
    const uint64_t parts[] = {
        1, 2 + pps_rng_below(&play.rng, 3),
        run->is_bad ? 1001 + run->bad_kind : 3,
        100 + pps_rng_below(&play.rng, run->is_bad ? 2 : 6)};

    for (size_t i = 0; i < REQUEST_KEY; i++) {
        run->keys[i] = pps_poison_key_of_part(parts[i] * 2);
    }
    run->keys[REQUEST_KEY] = pps_poison_key_of_request(++play.serial * 2);
}

/* A service's requests hold no parts; some sound ones come again and again. */
static void
draw_request(run_t *run)
{
    uint64_t number = pps_rng_below(&play.rng, 2) == 0
                          ? pps_rng_below(&play.rng, HOT_REQUESTS)
                          : 1000000 + ++play.serial;

    if (run->is_bad) {
        number = 1000 + run->bad_kind;
    }
    for (size_t i = 0; i < KEYS; i++) {
        run->keys[i] = pps_poison_key_of_request(number * 2);
    }
}

static void
arrive(int is_bad, unsigned int bad)
{
    run_t *run = play.runs;

    while (run->is_used) {
        cr_assert_lt(++run - play.runs, RUNS_MAX);
    }
    memset(run, 0, sizeof(*run));
    run->host = (unsigned int)pps_rng_below(&play.rng, play.item->hosts);
    if (!play_is_up(run->host)) {
        return;
    }
    run->is_bad = is_bad;
    run->bad_kind = bad;
    if (play.item->is_request) {
        draw_request(run);
    }
    else {
        draw_parts(run);
    }
    play.sound += !is_bad;
    send_request(run);
}

static void
report(const run_t *run)
{
    uint64_t id = run->worker * 1000000 + run->start;
    int has_begun = play.now_us >= run->begins_us;
    size_t first = has_begun && !play.item->is_request ? 0 : REQUEST_KEY;

    for (size_t i = first; i < KEYS; i++) {
        const pps_poison_evidence_t evidence = {
            .key = run->keys[i],
            .crashes = {{id, run->begins_us, play.now_us}},
            .crash_count = 1,
        };

        play_merge(run->host, &evidence);
        play_tell(run->host, run->keys[i]);
    }
}

/* Ends a worker: all answers on it break off, and are repeated. */
static void
end_worker(unsigned int worker)
{
    uint64_t start = play.workers[worker].start;

    play.workers[worker].up_at_us = play.now_us + WORKER_BACK_US;
    play.workers[worker].start = ++play.serial;
    for (size_t i = 0; i < RUNS_MAX; i++) {
        run_t *run = &play.runs[i];

        if (!run->is_used || run->worker != worker || run->start != start) {
            continue;
        }
        if (!run->went_on) {
            report(run);
        }
        if (run->attempts < ATTEMPTS_MAX) {
            send_request(run);
        }
        else {
            run->is_used = 0;
        }
    }
}

static void
crash(const run_t *run)
{
    unsigned int bad = run->bad_kind;

    if (++play.crashes[bad] ==
        (play.item->is_request ? REQUEST_CRASHES_COUNTED : CRASHES_COUNTED)) {
        play.fifth_us[bad] = play.now_us;
    }
    end_worker(run->worker);
}

static void
note_good(run_t *run)
{
    run->went_on = 1;
    for (size_t i = 0; i < KEYS; i++) {
        if (pps_poison_table_note_good(play.hosts[run->host].table,
                                       run->keys[i], run->begins_us)) {
            play_store(play.hosts[run->host].table, run->keys[i]);
            play_tell(run->host, run->keys[i]);
        }
    }
}

static void
step_run(run_t *run)
{
    if (run->is_bad && play.now_us >= run->ends_us) {
        crash(run);
        return;
    }
    if (!run->is_bad && !run->went_on &&
        (play.now_us >= run->begins_us + WENT_ON_US ||
         play.now_us >= run->ends_us)) {
        note_good(run);
    }
    if (play.now_us >= run->ends_us) {
        run->is_used = 0;
    }
}

static int
is_due(double per_s)
{
    return pps_rng_unit(&play.rng) < per_s * STEP_US / S;
}

static void
disturb(void)
{
    const play_case_t *item = play.item;

    for (unsigned int i = 0; i < item->hosts; i++) {
        if (play_is_cut(i)) {
            play.hosts[i].excused_until_us = play.now_us + WINDOW_US;
        }
    }
    if (item->fate == RESTART_ONE && play.now_us > BAD_FROM_US &&
        play.now_us % S == 0) {
        play_restart_host((unsigned int)pps_rng_below(&play.rng, item->hosts));
    }
    if (item->fate == KILL_ALL && play.now_us == HERD_KILL_US) {
        for (unsigned int i = 0; i < item->hosts; i++) {
            play_restart_host(i);
        }
    }
    if (item->rack_every_us != 0 && play.now_us > 0 &&
        play.now_us % item->rack_every_us == 0) {
        unsigned int first = (unsigned int)pps_rng_below(
            &play.rng, WORKERS_MAX - RACK_WORKERS + 1);

        for (unsigned int i = 0; i < RACK_WORKERS; i++) {
            end_worker(first + i);
        }
    }
}

static void
step(void)
{
    const play_case_t *item = play.item;

    disturb();
    play_deliver();
    play_synchronize();
    for (unsigned int i = 0; i < item->bad_kinds; i++) {
        if (play.now_us >= BAD_FROM_US && is_due(item->bad_per_s)) {
            arrive(1, i);
        }
    }
    if (play.now_us >= item->sound_from_us && is_due(item->sound_per_s)) {
        arrive(0, 0);
    }
    for (size_t i = 0; i < RUNS_MAX; i++) {
        if (play.runs[i].is_used) {
            step_run(&play.runs[i]);
        }
    }
}

void
play_run(const play_case_t *item, uint64_t seed)
{
    memset(&play, 0, sizeof(play));
    play.item = item;
    pps_rng_init(&play.rng, seed);
    for (unsigned int i = 0; i < item->hosts; i++) {
        cr_assert_eq(pps_poison_table_new(&play.hosts[i].table), 0);
    }
    for (play.now_us = STEP_US; play.now_us < END_US; play.now_us += STEP_US) {
        step();
    }
    for (unsigned int i = 0; i < item->hosts; i++) {
        pps_poison_table_free(play.hosts[i].table);
    }
}
