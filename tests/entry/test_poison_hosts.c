/** @file test_poison_hosts.c @brief Plays many hosts that send requests to
 * workers which end under some of them, on a simulated clock. */
#include "clock.h"
#include "poison/poison_key.h"
#include "poison/poison_table.h"
#include "rng.h"

#include <criterion/criterion.h>
#include <string.h>

#define HOSTS_MAX 300
#define DOMAINS 4
#define FULL_MESH_HOSTS 13
#define READERS 2
#define WORKERS_MAX 24
#define RACK_WORKERS 8
#define RUNS_MAX 4096
#define MESSAGES_MAX 65536
#define KEYS 5
#define STORED_MAX 128
#define REQUEST_KEY 4 /* index */
#define HOT_REQUESTS 3
#define ATTEMPTS_MAX 3
#define SEEDS 6
#define S PPS_US_PER_S
#define MS PPS_US_PER_MS
#define STEP_US (5 * MS)
#define END_US (40 * S)
#define BAD_FROM_US (8 * S)
#define CUT_FROM_US (8 * S)
#define CUT_UNTIL_US (14 * S)
#define HERD_KILL_US (20 * S)
#define WORKER_BACK_US (3 * S)
#define WENT_ON_US (400 * MS)
#define WINDOW_US (3 * S)
#define SYNC_PERIOD_US (1 * S)
#define LOSS 0.1
/** The rules count from the fifth crash on by a part, and from the third by a
 * request, and allow so many sends. */
#define CRASHES_COUNTED 5
#define REQUEST_CRASHES_COUNTED 3
#define SENDS_AFTER_MAX 3
/** Share of the sound requests that may be refused. */
#define REFUSED_MAX 0.1

typedef enum { KEEP_ALL, RESTART_ONE, KILL_ALL, CUT_THIRD } fate_t;

typedef struct {
    const char *name;
    unsigned int hosts;
    double bad_per_s; /* of each bad part */
    double sound_per_s;
    unsigned int bad_kinds;
    int64_t sound_from_us;
    int64_t rack_every_us; /* a rack of workers ends, 0: never */
    fate_t fate;
    int is_request; /* short calls of a service with few workers; the bad one
                       is the same request each time */
} play_case_t;

typedef struct {
    pps_poison_table_t *table;
    int64_t up_at_us;
    int64_t excused_until_us;
} host_t;

typedef struct {
    int64_t up_at_us;
    uint64_t start;
} worker_t;

typedef struct {
    int is_used;
    unsigned int host;
    unsigned int worker;
    uint64_t start; /* of the worker */
    uint64_t keys[KEYS];
    int is_bad;
    unsigned int bad_kind;
    unsigned int attempts;
    int64_t begins_us;
    int64_t ends_us; /* the worker crashes then if the request is bad */
    int went_on;
} run_t;

typedef struct {
    int64_t at_us;
    unsigned int to;
    pps_poison_evidence_t evidence;
} message_t;

static struct {
    const play_case_t *item;
    pps_rng_t rng;
    int64_t now_us;
    host_t hosts[HOSTS_MAX];
    worker_t workers[WORKERS_MAX];
    run_t runs[RUNS_MAX];
    message_t messages[MESSAGES_MAX];
    size_t message_count;
    pps_poison_evidence_t stored[STORED_MAX]; /* in the platform's store */
    size_t stored_count;
    uint64_t serial;
    unsigned int crashes[2]; /* by bad part */
    int64_t fifth_us[2];
    unsigned int sends_after[2];
    unsigned int sound;
    unsigned int refused;
} play;

static int64_t
draw_us(int64_t from_us, int64_t to_us)
{
    return from_us +
           (int64_t)pps_rng_below(&play.rng, (uint64_t)(to_us - from_us));
}

static void
drop_exposed(unsigned int host);

static int
is_up(unsigned int host)
{
    return play.now_us >= play.hosts[host].up_at_us;
}

static int
is_cut(unsigned int host)
{
    return play.item->fate == CUT_THIRD && host % 3 == 0 &&
           play.now_us >= CUT_FROM_US && play.now_us < CUT_UNTIL_US;
}

static int
hears(unsigned int host, unsigned int from)
{
    return play.item->hosts <= FULL_MESH_HOSTS || host < READERS ||
           from < READERS || host % DOMAINS == from % DOMAINS;
}

static void
send_one(unsigned int from, unsigned int to,
         const pps_poison_evidence_t *evidence)
{
    if (from == to || !is_up(to) || is_cut(from) != is_cut(to) ||
        pps_rng_unit(&play.rng) < LOSS) {
        return;
    }
    cr_assert_lt(play.message_count, MESSAGES_MAX);
    play.messages[play.message_count++] =
        (message_t){play.now_us + draw_us(10 * MS, 50 * MS), to, *evidence};
}

static void
send_to_all(unsigned int from, uint64_t key)
{
    const pps_poison_table_t *table = play.hosts[from].table;
    const pps_poison_evidence_t *known = pps_poison_table_lookup(table, key);
    pps_poison_evidence_t evidence = {
        .key = key, .good_us = pps_poison_table_good_us(table, key)};

    for (unsigned int to = 0; to < play.item->hosts; to++) {
        if (hears(to, from)) {
            send_one(from, to, known != NULL ? known : &evidence);
        }
    }
}

/* Brings the store up to date on a key. */
static void
store(const pps_poison_table_t *table, uint64_t key)
{
    const pps_poison_evidence_t *known = pps_poison_table_lookup(table, key);
    size_t i = 0;

    while (i < play.stored_count && play.stored[i].key != key) {
        i++;
    }
    if (known != NULL && known->convicted && i < STORED_MAX) {
        play.stored[i] = *known;
        play.stored_count += i == play.stored_count;
    }
    else if (i < play.stored_count) {
        play.stored[i] = play.stored[--play.stored_count];
    }
}

static void
merge(unsigned int host, const pps_poison_evidence_t *evidence)
{
    int convicted = 0;
    int is_new =
        pps_poison_table_merge(play.hosts[host].table, evidence, &convicted);

    if (convicted) {
        drop_exposed(host);
    }
    if (is_new) {
        store(play.hosts[host].table, evidence->key);
    }
    if (is_new && play.item->hosts > FULL_MESH_HOSTS && host < READERS) {
        send_to_all(host, evidence->key);
    }
}

static void
deliver(void)
{
    size_t count = play.message_count;
    size_t kept = 0;

    for (size_t i = 0; i < count; i++) {
        const message_t message = play.messages[i];

        if (message.at_us <= play.now_us && is_up(message.to)) {
            merge(message.to, &message.evidence);
        }
    }
    for (size_t i = 0; i < play.message_count; i++) {
        if (play.messages[i].at_us > play.now_us || i >= count) {
            play.messages[kept++] = play.messages[i];
        }
    }
    play.message_count = kept;
}

typedef struct {
    unsigned int from;
    unsigned int to;
} sync_t;

static int
sync_key(void *user, const pps_poison_evidence_t *evidence)
{
    const sync_t *sync = user;

    send_one(sync->from, sync->to, evidence);
    return 0;
}

/* Hosts whose digests differ send each other what they know. */
static void
synchronize(void)
{
    for (unsigned int from = 0; from < play.item->hosts; from++) {
        if (!is_up(from) ||
            (play.now_us + from * 7 * STEP_US) % SYNC_PERIOD_US != 0) {
            continue;
        }
        for (unsigned int to = 0; to < play.item->hosts; to++) {
            sync_t sync = {from, to};

            if (hears(to, from) && is_up(to) &&
                pps_poison_table_digest(play.hosts[from].table) !=
                    pps_poison_table_digest(play.hosts[to].table)) {
                pps_poison_table_visit(play.hosts[from].table, 2, sync_key,
                                       &sync);
            }
        }
    }
}

static void
restart_host(unsigned int host)
{
    pps_poison_table_free(play.hosts[host].table);
    cr_assert_eq(pps_poison_table_new(&play.hosts[host].table), 0);
    play.hosts[host].up_at_us = play.now_us + 500 * MS;
    play.hosts[host].excused_until_us = play.hosts[host].up_at_us + WINDOW_US;
    for (size_t i = 0; i < play.stored_count; i++) {
        pps_poison_table_merge(play.hosts[host].table, &play.stored[i], NULL);
    }
    for (size_t i = 0; i < RUNS_MAX; i++) {
        play.runs[i].is_used &= play.runs[i].host != host;
    }
}

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

    if (run->is_bad && play.fifth_us[bad] != 0 && !is_cut(run->host) &&
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
static void
drop_exposed(unsigned int host)
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
        run->begins_us += draw_us(5 * MS, 60 * MS);
    }
    if (run->is_bad) {
        run->ends_us = run->begins_us + draw_us(10 * MS, 120 * MS);
    }
    else if (play.item->is_request) {
        run->ends_us = run->begins_us + draw_us(10 * MS, 30 * MS);
    }
    else {
        run->ends_us = run->begins_us + draw_us(800 * MS, 2 * S);
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
    if (!is_up(run->host)) {
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

        merge(run->host, &evidence);
        send_to_all(run->host, run->keys[i]);
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
            store(play.hosts[run->host].table, run->keys[i]);
            send_to_all(run->host, run->keys[i]);
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
        if (is_cut(i)) {
            play.hosts[i].excused_until_us = play.now_us + WINDOW_US;
        }
    }
    if (item->fate == RESTART_ONE && play.now_us > BAD_FROM_US &&
        play.now_us % S == 0) {
        restart_host((unsigned int)pps_rng_below(&play.rng, item->hosts));
    }
    if (item->fate == KILL_ALL && play.now_us == HERD_KILL_US) {
        for (unsigned int i = 0; i < item->hosts; i++) {
            restart_host(i);
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
    deliver();
    synchronize();
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

static void
run_play(const play_case_t *item, uint64_t seed)
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

static const play_case_t plays[] = {
    {"six hosts", 6, 4, 40, 1, 0, 0, KEEP_ALL},
    {"six hosts, many bad requests", 6, 30, 40, 1, 0, 0, KEEP_ALL},
    {"six hosts, few bad requests", 6, 0.7, 20, 1, 0, 0, KEEP_ALL},
    {"six hosts, bad ones first", 6, 4, 2, 1, 10 * S, 0, KEEP_ALL},
    {"six hosts, few sound requests", 6, 4, 1, 1, 0, 0, KEEP_ALL},
    {"two bad parts at once", 6, 4, 40, 2, 0, 0, KEEP_ALL},
    {"two bad parts, first, few sound ones", 6, 4, 2, 2, 10 * S, 0, KEEP_ALL},
    {"95 hosts", 95, 4, 60, 1, 0, 0, KEEP_ALL},
    {"95 hosts, bad ones first", 95, 4, 3, 1, 10 * S, 0, KEEP_ALL},
    {"300 hosts", 300, 4, 60, 1, 0, 0, KEEP_ALL},
    {"hosts restarted", 6, 4, 40, 1, 0, 0, RESTART_ONE},
    {"95 hosts, restarted", 95, 4, 60, 1, 0, 0, RESTART_ONE},
    {"all hosts killed", 6, 4, 40, 1, 0, 0, KILL_ALL},
    {"a third of the hosts cut off", 6, 4, 40, 1, 0, 0, CUT_THIRD},
    {"95 hosts, a third cut off", 95, 4, 60, 1, 0, 0, CUT_THIRD},
    {"racks end as well", 6, 4, 40, 1, 0, 5 * S, KEEP_ALL},
    {"racks end, no bad request", 6, 0, 40, 0, 0, 4 * S, KEEP_ALL},
    {"racks end, few requests", 6, 0, 2, 0, 0, 2 * S, KEEP_ALL},
    {"same request", 6, 2, 40, 1, 0, 0, KEEP_ALL, 1},
    {"same request, often", 6, 15, 40, 1, 0, 0, KEEP_ALL, 1},
    {"same request, few others", 6, 1, 1, 1, 0, 0, KEEP_ALL, 1},
    {"two requests come again", 6, 2, 40, 2, 0, 0, KEEP_ALL, 1},
    {"same request, 95 hosts", 95, 2, 60, 1, 0, 0, KEEP_ALL, 1},
    {"same request, 300 hosts", 300, 2, 60, 1, 0, 0, KEEP_ALL, 1},
    {"same request, hosts restarted", 6, 2, 40, 1, 0, 0, RESTART_ONE, 1},
    {"same request, all hosts killed", 6, 2, 40, 1, 0, 0, KILL_ALL, 1},
    {"same request, a third cut off", 6, 2, 40, 1, 0, 0, CUT_THIRD, 1},
};

Test(poison_hosts, bad_requests_are_sent_on_after_enough_crashes)
{
    for (size_t i = 0; i < sizeof(plays) / sizeof(*plays); i++) {
        for (uint64_t seed = 1; seed <= SEEDS; seed++) {
            run_play(&plays[i], seed);
            for (unsigned int bad = 0; bad < plays[i].bad_kinds; bad++) {
                cr_expect(play.sends_after[bad] <= SENDS_AFTER_MAX,
                          "%s, seed %d: sent %u times more, %u ended",
                          plays[i].name, (int)seed, play.sends_after[bad],
                          play.crashes[bad]);
            }
            cr_expect(play.refused <= play.sound * REFUSED_MAX,
                      "%s, seed %d: %u of %u sound requests refused",
                      plays[i].name, (int)seed, play.refused, play.sound);
        }
    }
}
