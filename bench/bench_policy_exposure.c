/**
 * @file bench_policy_exposure.c
 * @brief Measures how many requests a bad version answers until it is held.
 *
 * Also counts false holds of a version without a fault. One host restarts each
 * minute.
 *
 * bench_policy_exposure [SEEDS [CLEAN]]: runs seeds 1 to SEEDS (10), and CLEAN
 * (500,000) ratings without a fault.
 */
#include "policy_exposure_detectors.h"
#include "policy_random.h"

#define SEEDS 10
#define CLEAN_RATINGS 500000

#define WORKSPACES 10
#define WORKERS 20

/** Load of the version, share of answers rated, and mean rating delay. */
#define REQUESTS_PER_S 2
#define RATED_SHARE 0.05
#define RATING_DELAY_S 60.0
#define DELAY_MAX_S 1024

/** Standard deviations of ratings, except for DRIFT_MEMORY and QUALITY. */
#define ANSWER_SPREAD 0.15
#define RATER_NOISE 0.10
#define DRIFT 0.01             /**< slow drift of a workspace's ratings */
#define DRIFT_MEMORY 0.999     /**< factor of the old drift, per rating */
#define EXPECTATION_ERROR 0.01 /**< of a workspace's mean rating */
#define QUALITY 0.75           /**< expected rating without a fault */

#define WARM_UP_S 15000
#define RUN_MAX_S 60000
#define RESTART_S 60

/** The part that fails. */
typedef enum {
    VERSION_BAD,
    WORKSPACE_BAD,
    WORKER_BAD,
    NOTHING_BAD,
} fault_t;

/** A generator of ratings. */
typedef struct {
    pps_rng_t rng;
    double sizes[WORKSPACES];
    double error[WORKSPACES];
    double drift[WORKSPACES];
    fault_t fault;
    double drop;
} source_t;

/** Delayed ratings, by the second in which they arrive. */
typedef struct {
    arrival_t arrivals[DELAY_MAX_S][64];
    int count[DELAY_MAX_S];
} rating_queue_t;

typedef struct {
    int requests; /**< answered after the fault began */
    int ratings;  /**< received for these requests */
    int version_held;
    int other_finding;
} run_t;

static void
source_start(source_t *source, uint64_t seed, fault_t fault, double drop)
{
    memset(source, 0, sizeof(*source));
    pps_rng_init(&source->rng, seed);
    source->fault = fault;
    source->drop = drop;
    for (int w = 0; w < WORKSPACES; w++) {
        source->sizes[w] = 1.0 / (w + 1);
        source->error[w] = EXPECTATION_ERROR * policy_normal(&source->rng);
    }
}

static int
is_affected(const source_t *source, const arrival_t *arrival)
{
    switch (source->fault) {
    case VERSION_BAD:
        return 1;
    case WORKSPACE_BAD:
        return arrival->workspace == 0;
    case WORKER_BAD:
        return arrival->worker == 0;
    default:
        return 0;
    }
}

static arrival_t
generate(source_t *source, int after_fault)
{
    pps_rng_t *rng = &source->rng;
    int w = policy_pick(rng, source->sizes, WORKSPACES);
    arrival_t out = {(int)pps_rng_below(rng, HOSTS),
                     w,
                     (int)pps_rng_below(rng, WORKERS),
                     0.0,
                     QUALITY,
                     after_fault};
    double mean = QUALITY + source->error[w];

    source->drift[w] =
        DRIFT_MEMORY * source->drift[w] +
        DRIFT * sqrt(1.0 - DRIFT_MEMORY * DRIFT_MEMORY) * policy_normal(rng);
    if (after_fault && is_affected(source, &out)) {
        mean -= source->drop;
    }
    out.rating =
        policy_clip(mean + source->drift[w] +
                    hypot(ANSWER_SPREAD, RATER_NOISE) * policy_normal(rng));
    return out;
}

static void
enqueue_rating(rating_queue_t *queue, source_t *source, arrival_t arrival,
               int now_s)
{
    int wait = (int)policy_exponential(&source->rng, RATING_DELAY_S) + 1;
    int at =
        (now_s + (wait < DELAY_MAX_S ? wait : DELAY_MAX_S - 1)) % DELAY_MAX_S;

    if (queue->count[at] < 64) {
        queue->arrivals[at][queue->count[at]++] = arrival;
    }
}

static int
is_held_everywhere(const detector_t *detector)
{
    for (int h = 0; h < HOSTS; h++) {
        if (!detector->held[h]) {
            return 0;
        }
    }
    return 1;
}

static void
simulate_second(const detector_kind_t *kind, detector_t *detector,
                source_t *source, rating_queue_t *queue, run_t *run, int now_s)
{
    int after_fault = now_s >= WARM_UP_S;
    int slot = now_s % DELAY_MAX_S;

    for (int i = 0; i < REQUESTS_PER_S; i++) {
        arrival_t arrival = generate(source, after_fault);

        if (detector->held[arrival.host]) {
            continue;
        }
        run->requests += after_fault;
        if (pps_rng_unit(&source->rng) < RATED_SHARE) {
            enqueue_rating(queue, source, arrival, now_s);
        }
    }
    for (int i = 0; i < queue->count[slot]; i++) {
        run->ratings += queue->arrivals[slot][i].after_fault;
        kind->rate(detector, &queue->arrivals[slot][i]);
    }
    queue->count[slot] = 0;
    kind->tick(detector);
    if (kind->start == fleet_start && now_s % RESTART_S == 0) {
        fleet_restart(detector, now_s / RESTART_S % HOSTS);
    }
}

static run_t
run_once(const detector_kind_t *kind, uint64_t seed, fault_t fault,
         double drop, int limit_s)
{
    static rating_queue_t queue;
    detector_t detector = {0};
    source_t source;
    run_t run = {0};

    memset(&queue, 0, sizeof(queue));
    source_start(&source, seed, fault, drop);
    kind->start(&detector);
    for (int s = 0; s < limit_s && !is_held_everywhere(&detector); s++) {
        simulate_second(kind, &detector, &source, &queue, &run, s);
    }
    run.version_held = is_held_everywhere(&detector);
    run.other_finding = detector.other_finding;
    kind->clear(&detector);
    return run;
}

/** Returns Lorden's bound: the least mean number of ratings of any test. */
static double
lorden_bound(double drop)
{
    double variance =
        ANSWER_SPREAD * ANSWER_SPREAD + RATER_NOISE * RATER_NOISE;

    return log(1e6) / (drop * drop / (2.0 * variance));
}

static void
measure_drop(double drop, int seeds)
{
    for (size_t k = 0; k < DETECTORS; k++) {
        double requests = 0.0;
        double ratings = 0.0;
        int held = 0;

        for (int seed = 1; seed <= seeds; seed++) {
            run_t run = run_once(&detector_kinds[k], (uint64_t)seed,
                                 VERSION_BAD, drop, RUN_MAX_S);

            requests += run.requests;
            ratings += run.ratings;
            held += run.version_held;
        }
        printf("%5.2f %-17s %4d/%-3d %9.1f %9.1f %7.2f %9.0f %9.0f\n", drop,
               detector_kinds[k].name, held, seeds, ratings / seeds,
               lorden_bound(drop), ratings / seeds / lorden_bound(drop),
               requests / seeds, lorden_bound(drop) / RATED_SHARE);
    }
}

static void
measure_clean(const detector_kind_t *kind, int ratings)
{
    detector_t detector = {0};
    source_t source;
    int false_holds = 0;
    int runs = 1;

    source_start(&source, 1, NOTHING_BAD, 0.0);
    kind->start(&detector);
    for (int i = 0; i < ratings; i++) {
        arrival_t arrival = generate(&source, 0);
        int any_held = 0;

        kind->rate(&detector, &arrival);
        if (i % HOSTS == 0) {
            kind->tick(&detector);
        }
        for (int h = 0; h < HOSTS; h++) {
            any_held |= detector.held[h];
        }
        if (any_held) {
            false_holds++;
            kind->clear(&detector);
            memset(&detector, 0, sizeof(detector));
            kind->start(&detector);
            source_start(&source, (uint64_t)++runs, NOTHING_BAD, 0.0);
        }
    }
    kind->clear(&detector);
    printf("clean %-17s %d false holds in %d ratings\n", kind->name,
           false_holds, ratings);
}

static void
measure_cluster(const char *name, fault_t fault, int seeds)
{
    int held = 0;
    int found = 0;

    for (int seed = 1; seed <= seeds; seed++) {
        run_t run = run_once(&detector_kinds[0], (uint64_t)seed, fault, 0.3,
                             WARM_UP_S + 20000);

        held += run.version_held;
        found += run.other_finding;
    }
    printf("one bad %-9s: version held in %d of %d, named itself in %d\n",
           name, held, seeds, found);
}

int
main(int argc, char **argv)
{
    static const double sizes[] = {0.05, 0.10, 0.30};
    int seeds = argc > 1 ? atoi(argv[1]) : SEEDS;
    int clean = argc > 2 ? atoi(argv[2]) : CLEAN_RATINGS;

    printf("exposure to a bad version: seeds 1-%d, %d hosts, %d workspaces, "
           "%d workers\n",
           seeds, HOSTS, WORKSPACES, WORKERS);
    printf("%5s %-17s %8s %9s %9s %7s %9s %9s\n", "drop", "test", "held",
           "ratings", "bound", "ratio", "requests", "bound");
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        measure_drop(sizes[i], seeds);
    }
    measure_cluster("workspace", WORKSPACE_BAD, seeds);
    measure_cluster("worker", WORKER_BAD, seeds);
    for (size_t k = 0; k < DETECTORS; k++) {
        measure_clean(&detector_kinds[k], clean);
    }
    return 0;
}
