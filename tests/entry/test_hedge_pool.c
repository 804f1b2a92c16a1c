/** @file test_hedge_pool.c @brief Simulates copies of slow requests in a pool
 * with slow tails, on a simulated clock. */
#include "clock.h"
#include "hedge/hedge_delay.h"
#include "hedge/hedge_limit.h"
#include "hedge/hedge_load.h"
#include "rng.h"

#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORKERS 40
#define SLOTS 8
#define REQUESTS 40000
/** Requests at the beginning that do not count, while the estimates form. */
#define WARM_UP 10000
#define SERVICE_US 20000.0
/** One request in 100 takes ten times as long at the worker it is sent to. */
#define SLOW_SHARE 0.01
#define SLOW_FACTOR 10.0
#define EVENTS_MAX (REQUESTS * 4)
/** Seeds of the runs, from 1 on. */
#define SEEDS 3

typedef enum { ARRIVE, DUE, END } event_type_t;

typedef struct {
    int64_t at_us;
    event_type_t type;
    int request;
    int copy;
} event_t;

typedef struct {
    int worker; /* -1: not sent */
    int is_running, is_over;
    int64_t begun_us;
} attempt_t;

typedef struct {
    attempt_t attempts[2]; /* the first and its copy */
    int64_t sent_us;
    int64_t answer_us; /* 0: not yet */
    pps_hedge_waiter_t waiter;
} request_t;

typedef struct {
    int running;
    int queue[REQUESTS * 2]; /* request * 2 + copy */
    int head, tail, waiting;
} worker_t;

typedef struct {
    event_t events[EVENTS_MAX];
    size_t event_count;
    request_t requests[REQUESTS];
    worker_t workers[WORKERS];
    pps_hedge_delay_t delay;
    pps_hedge_limit_t limit;
    pps_hedge_load_t load;
    pps_rng_t rng;
    double share;
    int64_t now_us;
    int copies;
    int copies_loaded; /* while requests still arrived */
    int copies_above;
    int arrived;
    int over_limit; /* times at which there were more copies than allowed */
    double work_us; /* of all attempts */
} pool_t;

typedef struct {
    int64_t p50, p99, p999;
    int copies, copies_loaded, copies_above, over_limit;
    double work_us; /* of all attempts */
} result_t;

static pool_t pool;

static void
push(event_t event)
{
    size_t i = pool.event_count++;

    cr_assert_lt(i, EVENTS_MAX);
    for (; i > 0 && pool.events[(i - 1) / 2].at_us > event.at_us;
         i = (i - 1) / 2) {
        pool.events[i] = pool.events[(i - 1) / 2];
    }
    pool.events[i] = event;
}

static event_t
pop(void)
{
    event_t first = pool.events[0];
    event_t last = pool.events[--pool.event_count];
    size_t i = 0;

    for (;;) {
        size_t child = 2 * i + 1;

        if (child + 1 < pool.event_count &&
            pool.events[child + 1].at_us < pool.events[child].at_us) {
            child++;
        }
        if (child >= pool.event_count ||
            pool.events[child].at_us >= last.at_us) {
            break;
        }
        pool.events[i] = pool.events[child];
        i = child;
    }
    pool.events[i] = last;
    return first;
}

static double
exponential(double mean)
{
    return -mean * log(1 - pps_rng_unit(&pool.rng));
}

static double
service_us(void)
{
    double us = SERVICE_US / 2 + exponential(SERVICE_US / 2);

    return pps_rng_unit(&pool.rng) < SLOW_SHARE ? us * SLOW_FACTOR : us;
}

static int
busy(int worker)
{
    return pool.workers[worker].running + pool.workers[worker].waiting;
}

static double
load_now(void)
{
    double sum = 0;

    for (int i = 0; i < WORKERS; i++) {
        sum += busy(i);
    }
    return sum / (WORKERS * SLOTS);
}

/* The less busy one of two random workers, but for `tried`. */
static int
choose(int tried)
{
    int best = -1;

    for (int i = 0; i < 2;) {
        int worker = (int)pps_rng_below(&pool.rng, WORKERS);

        if (worker == tried) {
            continue;
        }
        if (best < 0 || busy(worker) < busy(best)) {
            best = worker;
        }
        i++;
    }
    return best;
}

static void
start_next(int number)
{
    worker_t *worker = &pool.workers[number];

    while (worker->running < SLOTS && worker->head < worker->tail) {
        int entry = worker->queue[worker->head++];
        attempt_t *attempt = &pool.requests[entry / 2].attempts[entry % 2];

        if (attempt->is_over) {
            continue;
        }
        worker->waiting--;
        worker->running++;
        attempt->is_running = 1;
        attempt->begun_us = pool.now_us;
        push((event_t){pool.now_us + (int64_t)service_us(), END, entry / 2,
                       entry % 2});
    }
}

static void
send_to(int request, int copy, int number)
{
    worker_t *worker = &pool.workers[number];

    pool.requests[request].attempts[copy].worker = number;
    worker->queue[worker->tail++] = request * 2 + copy;
    worker->waiting++;
    start_next(number);
}

static void
end_attempt(attempt_t *attempt)
{
    worker_t *worker = &pool.workers[attempt->worker];

    attempt->is_over = 1;
    if (attempt->is_running) {
        worker->running--;
        pool.work_us += (double)(pool.now_us - attempt->begun_us);
    }
    else {
        worker->waiting--;
    }
    start_next(attempt->worker);
}

static int
try_copy(int request)
{
    request_t *slow = &pool.requests[request];
    double load = load_now();

    if (!pps_hedge_load_is_low(&pool.load, load)) {
        return 0;
    }
    pps_hedge_limit_take(&pool.limit);
    pool.copies++;
    pool.copies_loaded += pool.arrived < REQUESTS;
    pool.copies_above += load > PPS_HEDGE_LOAD_MAX;
    pool.over_limit += pool.copies > pool.share * pool.arrived + 1e-6;
    send_to(request, 1, choose(slow->attempts[0].worker));
    return 1;
}

static void
on_arrive(int request, double between_us)
{
    request_t *arrived = &pool.requests[request];
    int64_t usual_us = pps_hedge_delay_us(&pool.delay);
    pps_hedge_waiter_t *waiter;

    pool.arrived++;
    if (request + 1 < REQUESTS) {
        push((event_t){pool.now_us + (int64_t)exponential(between_us), ARRIVE,
                       request + 1, 0});
    }
    arrived->attempts[0].worker = arrived->attempts[1].worker = -1;
    arrived->sent_us = pool.now_us;
    arrived->waiter = (pps_hedge_waiter_t){
        .sent_us = pool.now_us, .usual_us = usual_us, .owner = arrived};
    send_to(request, 0, choose(-1));
    pps_hedge_limit_count_request(&pool.limit, pool.share);
    do {
        waiter = pps_hedge_limit_next(&pool.limit, pool.now_us);
    } while (waiter != NULL &&
             !try_copy((int)((request_t *)waiter->owner - pool.requests)));
    if (usual_us > 0 && pool.share > 0) {
        push((event_t){pool.now_us + usual_us, DUE, request, 0});
    }
}

static void
on_due(int request)
{
    request_t *slow = &pool.requests[request];

    if (slow->answer_us != 0) {
        return;
    }
    pps_hedge_load_record(&pool.load, load_now());
    if (pps_hedge_limit_is_open(&pool.limit)) {
        try_copy(request);
        return;
    }
    pps_hedge_limit_add_waiter(&pool.limit, &slow->waiter);
}

static void
on_end(int request, int copy)
{
    request_t *ended = &pool.requests[request];
    attempt_t *other = &ended->attempts[!copy];
    double quantile = pps_hedge_quantile(pool.share);

    if (ended->attempts[copy].is_over) {
        return;
    }
    ended->answer_us = pool.now_us - ended->sent_us;
    pps_hedge_limit_remove_waiter(&ended->waiter);
    end_attempt(&ended->attempts[copy]);
    if (other->worker >= 0) {
        end_attempt(other);
    }
    if (copy) {
        pps_hedge_delay_record_longer(&pool.delay, quantile);
    }
    else {
        pps_hedge_delay_record(&pool.delay, quantile, ended->answer_us);
    }
}

static int
compare_times(const void *left, const void *right)
{
    int64_t difference = *(const int64_t *)left - *(const int64_t *)right;

    return difference < 0 ? -1 : difference > 0;
}

static result_t
summarize(void)
{
    static int64_t times[REQUESTS - WARM_UP];
    size_t count = REQUESTS - WARM_UP;

    for (size_t i = 0; i < count; i++) {
        times[i] = pool.requests[WARM_UP + i].answer_us;
    }
    qsort(times, count, sizeof(*times), compare_times);
    return (result_t){times[count / 2],          times[count * 99 / 100],
                      times[count * 999 / 1000], pool.copies,
                      pool.copies_loaded,        pool.copies_above,
                      pool.over_limit,           pool.work_us};
}

static result_t
run(uint64_t seed, double load, double share)
{
    double mean_us = SERVICE_US * (1 + SLOW_SHARE * (SLOW_FACTOR - 1));
    result_t result;

    memset(&pool, 0, sizeof(pool));
    pool.share = share;
    pps_rng_init(&pool.rng, seed);
    pps_hedge_limit_init(&pool.limit);
    pps_hedge_load_init(&pool.load);
    push((event_t){0, ARRIVE, 0, 0});
    while (pool.event_count > 0) {
        event_t event = pop();

        pool.now_us = event.at_us;
        if (event.type == ARRIVE) {
            on_arrive(event.request, mean_us / (load * WORKERS * SLOTS));
        }
        else if (event.type == DUE) {
            on_due(event.request);
        }
        else {
            on_end(event.request, event.copy);
        }
    }
    result = summarize();
    fprintf(
        stderr,
        "seed %d load %.2f share %.0f %%: p50 %.1f p99 %.1f p99.9 %.1f ms, "
        "copies %.2f %%, work %.1f s\n",
        (int)seed, load, share * 100, (double)result.p50 / 1000,
        (double)result.p99 / 1000, (double)result.p999 / 1000,
        100.0 * result.copies / REQUESTS, result.work_us / PPS_US_PER_S);
    return result;
}

static void
check_load(uint64_t seed, double load)
{
    static const double shares[] = {0.02, 0.05, 0.1};
    result_t without = run(seed, load, 0);

    cr_expect_eq(without.copies, 0);
    for (size_t i = 0; i < sizeof(shares) / sizeof(*shares); i++) {
        result_t with = run(seed, load, shares[i]);

        cr_expect_eq(with.over_limit, 0, "load %f", load);
        cr_expect_leq(with.copies, shares[i] * REQUESTS);
        cr_expect_eq(with.copies_above, 0, "load %f", load);
        if (load > PPS_HEDGE_LOAD_MAX) {
            cr_expect_eq(with.copies_loaded, 0, "load %f: %d", load,
                         with.copies_loaded);
        }
        if (load <= 0.7 && shares[i] == 0.05) {
            cr_expect_lt(with.p99, without.p99, "load %f", load);
        }
    }
}

/* Guards against copies beyond the share, copies where they do harm, and
 * copies that do not help. */
Test(hedge_pool, loads_and_shares)
{
    static const double loads[] = {0.3, 0.5, 0.7, 0.8, 0.9, 0.95};

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        for (size_t i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
            check_load(seed, loads[i]);
        }
    }
}
