/** @file brittle_play.c @brief Implements the play of brittle workers. */
#include "brittle_play.h"

#include "brittle_play_hosts.h"
#include "brittle_worker.h"
#include "clock.h"
#include "counters.h"
#include "exchange_fixture.h"
#include "logger.h"
#include "play_clock.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define WORKERS_MAX 16
/** Of a play that names no other number. */
#define WORKERS_DEFAULT 8
#define SLOTS_DEFAULT 8
/** Requests that may wait for each slot, until the room shrinks. */
#define ROOM_PER_SLOT 3
#define DOWN_MS 800
#define STEP_MS 10
#define HOST_STEP_MS 250
#define SETTLE_MS 300
/** Times from the statement that they are brittle at which workers are killed.
 */
#define FIRST_KILL_MS 1000
#define KILL_PERIOD_MS 300
/** The operators' bound: this many, and one in so many workers, in one time in
 * which they say that they are brittle. */
#define FALLS_ALLOWED 2
#define FALLS_ALLOWED_ONE_IN 10
#define CLIENTS_MAX 8192

typedef struct {
    brittle_worker_t worker;
    unsigned int starts;
    int64_t killed_until_us;
} play_worker_t;

static pps_reactor_t reactor;
static const brittle_case_t *play;
static play_worker_t workers[WORKERS_MAX];
static unsigned int large_sent;
static int has_begun; /* hosts have known the workers for long before */
static int has_changed_hosts;
static int has_cut_hosts;
static int64_t next_step_ms; /* of the hosts' periodic work */
static unsigned int killed;  /* workers, so far */
static net_client_t clients[CLIENTS_MAX];
static int is_closed[CLIENTS_MAX];
static int64_t leave_us[CLIENTS_MAX]; /* when its caller leaves; 0: never */

static unsigned int
work_ms(void)
{
    return play->work_ms != 0 ? play->work_ms : BRITTLE_WORK_MS;
}

static int
worker_count(void)
{
    return play->workers != 0 ? (int)play->workers : WORKERS_DEFAULT;
}

static unsigned int
slot_count(void)
{
    return play->slots != 0 ? play->slots : SLOTS_DEFAULT;
}

static unsigned int
room_before(void)
{
    return play->room_before != 0 ? play->room_before
                                  : slot_count() * ROOM_PER_SLOT;
}

static void
format_id(char *out, size_t size, int index)
{
    unsigned int generation =
        play->returns == BRITTLE_NEW_ID ? workers[index].starts : 0;

    snprintf(out, size, "w%d-%u", index, generation);
}

/* Brings the record of a worker to all hosts. */
static void
put_record(int index)
{
    const play_worker_t *worker = &workers[index];
    pps_worker_info_t info = {
        .upstream = "s",
        .failure_domain = "z",
        .version = "v1",
        .slots = slot_count(),
        .start_ms = play->returns == BRITTLE_SAME_START ? 0 : worker->starts,
        .received_us = has_begun ? reactor.now_us : 0};

    format_id(info.id, sizeof(info.id), index);
    snprintf(info.address, sizeof(info.address), "%s", worker->worker.address);
    brittle_hosts_put(&info);
}

static void
on_restart(void *user)
{
    play_worker_t *worker = user;
    int index = (int)(worker - workers);
    char id[PPS_WORKER_TEXT_BYTES];

    if (play->returns == BRITTLE_NEW_ID) {
        format_id(id, sizeof(id), index);
        brittle_hosts_remove(id);
    }
    worker->starts++;
    put_record(index);
}

static void
start(void)
{
    const brittle_hosts_options_t hosts = {.count = play->hosts,
                                           .loses_notices =
                                               play->loses_notices,
                                           .hands_on = play->hands_on,
                                           .is_settled = play->shrink_ms > 0};
    const brittle_options_t options = {.slots = slot_count(),
                                       .room = room_before(),
                                       .rejected_per_s = play->rejected_per_s,
                                       .work_ms = work_ms(),
                                       .down_ms = DOWN_MS,
                                       .is_quiet = play->quiet_ms > 0,
                                       .works_on = play->works_on};

    has_begun = 0;
    has_changed_hosts = 0;
    has_cut_hosts = 0;
    next_step_ms = 0;
    killed = 0;
    memset(clients, 0, sizeof(clients));
    memset(is_closed, 0, sizeof(is_closed));
    memset(leave_us, 0, sizeof(leave_us));
    memset(workers, 0, sizeof(workers));
    cr_assert_eq(pps_reactor_init(&reactor), 0);
    play_clock_use(&reactor);
    for (int w = 0; w < worker_count(); w++) {
        brittle_worker_start(&workers[w].worker, &reactor, &options);
        workers[w].worker.on_restart = on_restart;
        workers[w].worker.user = &workers[w];
    }
    brittle_hosts_start(&reactor, &hosts);
    for (int w = 0; w < worker_count(); w++) {
        put_record(w);
    }
}

/* Closes the connections of clients that have an answer or leave. */
static void
close_ended(unsigned int sent)
{
    for (unsigned int i = 0; i < sent; i++) {
        int leaves = leave_us[i] != 0 && leave_us[i] <= reactor.now_us;

        if ((clients[i].ended != 0 || leaves) && !is_closed[i]) {
            is_closed[i] = 1;
            net_client_close(&clients[i]);
        }
    }
}

/* Returns the time since the play, or the second time of it, began. */
static int64_t
since_begin_ms(int64_t passed_ms)
{
    return play->again_ms != 0 && passed_ms >= play->again_ms
               ? passed_ms - play->again_ms
               : passed_ms;
}

/* Ends and adds hosts when the statement comes. */
static void
change_hosts(void)
{
    for (unsigned int i = 0; i < play->ended_hosts; i++) {
        brittle_hosts_end(i);
    }
    for (unsigned int i = 0; i < play->added_hosts; i++) {
        brittle_hosts_add();
    }
    for (int w = 0; play->added_hosts > 0 && w < worker_count(); w++) {
        put_record(w);
    }
}

/* Brings about what hosts are to meet at a time from the begin. */
static void
act_on_hosts(int64_t passed_ms)
{
    if (!has_changed_hosts && passed_ms >= play->quiet_ms) {
        has_changed_hosts = 1;
        change_hosts();
    }
    if (!has_cut_hosts && play->cut_ms > 0 && passed_ms >= play->cut_ms) {
        has_cut_hosts = 1;
        brittle_hosts_cut();
    }
    if (passed_ms >= next_step_ms) {
        next_step_ms = passed_ms + HOST_STEP_MS;
        brittle_hosts_step();
    }
}

/* Brings about what is due at a time from the begin. */
static void
act(int64_t passed_ms)
{
    act_on_hosts(passed_ms);
    for (int w = 0; w < worker_count(); w++) {
        brittle_options_t *options = &workers[w].worker.options;

        options->is_quiet = since_begin_ms(passed_ms) < play->quiet_ms;
        options->room = since_begin_ms(passed_ms) < play->shrink_ms
                            ? room_before()
                            : play->room_after;
        if (play->rejected_after != 0 && passed_ms >= play->shrink_ms) {
            options->rejected_per_s = play->rejected_after;
        }
    }
    if (killed < play->killed &&
        passed_ms >= play->quiet_ms + FIRST_KILL_MS +
                         (int64_t)killed * KILL_PERIOD_MS) {
        play_worker_t *worker = &workers[killed++];

        worker->killed_until_us = reactor.now_us + DOWN_MS * PPS_US_PER_MS;
        brittle_worker_kill(&worker->worker);
    }
}

/* Returns the share of the workers that the play has not killed. */
static double
share_up(void)
{
    unsigned int up = 0;

    for (int w = 0; w < worker_count(); w++) {
        up += workers[w].killed_until_us <= reactor.now_us;
    }
    return (double)up / worker_count();
}

static double
load_at(int64_t passed_ms)
{
    return since_begin_ms(passed_ms) < play->quiet_ms ? play->pressed
                                                      : play->load;
}

/* Returns the memory of a request, where a small one has 1. */
static double
mean_size(void)
{
    if (play->large_one_in == 0) {
        return 1;
    }
    return 1 + (double)(BRITTLE_LARGE_SIZE - 1) / (double)play->large_one_in;
}

static void
send_request(unsigned int index, pps_rng_t *rng)
{
    static const unsigned int patience_ms[] = {40, 80};
    int is_large =
        play->large_one_in != 0 && pps_rng_below(rng, play->large_one_in) == 0;
    char headers[64];

    snprintf(headers, sizeof(headers), "X-Token-Usage: %u,1\r\n",
             FIXTURE_MEMORY_TOKENS / slot_count() *
                     (is_large ? BRITTLE_LARGE_SIZE : 1) -
                 1);
    large_sent += is_large != 0;
    if (pps_rng_unit(rng) < play->leaves) {
        leave_us[index] =
            reactor.now_us + patience_ms[index % 2] * PPS_US_PER_MS;
    }
    fixture_request_host(&reactor, brittle_hosts_draw(rng), &clients[index],
                         "/once/", headers);
}

static void
run_step(unsigned int sent)
{
    play_clock_run_for(&reactor, STEP_MS);
    close_ended(sent);
}

/* Returns the number of requests that were sent.
 * @param possible of these, what the workers could do */
static unsigned int
offer(double *possible)
{
    double per_ms = (double)worker_count() * slot_count() / work_ms();
    int64_t begin_us = reactor.now_us;
    int64_t before_ms = 0;
    int64_t passed_ms;
    double due = 0;
    unsigned int sent = 0;
    pps_rng_t rng;

    large_sent = 0;
    has_begun = 1;
    *possible = 0;
    pps_rng_init(&rng, 1);
    while ((passed_ms = (reactor.now_us - begin_us) / PPS_US_PER_MS) <
           play->end_ms) {
        unsigned int sent_before = sent;
        double load = load_at(passed_ms);
        double share = share_up() / (load * mean_size());

        act(passed_ms);
        due += per_ms * load * (double)(passed_ms - before_ms);
        before_ms = passed_ms;
        while (sent < due && sent < CLIENTS_MAX) {
            send_request(sent++, &rng);
        }
        *possible += (sent - sent_before) * (share < 1 ? share : 1);
        run_step(sent);
    }
    play_clock_run_for(&reactor, SETTLE_MS + work_ms());
    close_ended(sent);
    return sent;
}

/* Writes by what right the rejected requests of all plays were sent. */
static void
write_rights(const char *name)
{
    static const pps_counter_t counters[] = {
        PPS_COUNTER_ENTRY_BRITTLE_UNKNOWN, PPS_COUNTER_ENTRY_BRITTLE_OWN,
        PPS_COUNTER_ENTRY_BRITTLE_BORROWED};

    for (size_t i = 0; i < sizeof(counters) / sizeof(*counters); i++) {
        fprintf(stderr, "%s: %s %llu\n", name, pps_counter_name(counters[i]),
                (unsigned long long)pps_counter_sum(counters[i]));
    }
}

void
brittle_play(const brittle_case_t *item)
{
    unsigned int falls = 0;
    unsigned int served = 0;
    unsigned int served_large = 0;
    unsigned int rejected = 0;
    unsigned int sent;
    double possible;

    pps_logger_setup(PPS_LOG_JSON, PPS_LOG_ERROR, "test");
    play = item;
    start();
    sent = offer(&possible);
    for (int w = 0; w < worker_count(); w++) {
        falls += workers[w].worker.falls;
        served += workers[w].worker.served;
        served_large += workers[w].worker.served_large;
        rejected += workers[w].worker.rejected_in_all;
    }
    write_rights(item->name);
    fprintf(stderr,
            "%s: %u falls, %u rejected, %u served (%u large), %.0f possible, "
            "%u sent\n",
            item->name, falls, rejected, served, served_large, possible, sent);
    cr_expect_leq(falls,
                  FALLS_ALLOWED +
                      (unsigned int)worker_count() / FALLS_ALLOWED_ONE_IN,
                  "%s: %u falls", item->name, falls);
    cr_expect_geq((double)served_large * sent,
                  item->large_min * served * large_sent,
                  "%s: %u of %u large ones served", item->name, served_large,
                  large_sent);
    cr_expect_geq(served, item->served_min * possible, "%s: %u served of %.0f",
                  item->name, served, possible);
}

void
brittle_play_all(const brittle_case_t *cases, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        brittle_play(&cases[i]);
    }
}
