/**
 * @file bench_claims.c
 * @brief Measures the latency of claims and the number of claims per append.
 *
 * Several hosts share one simulated log.
 *
 * bench_claims [HOSTS] [CLAIMS_PER_SECOND] [SECONDS]: defaults 8, 2000, 10
 */
#include "../tests/unit/fake_log.h"
#include "papayaswitch/journal.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>

#define HOSTS_MAX 16
#define CALLERS_PER_HOST 64
#define APPEND_DELAY_US 5000
#define POLL_INTERVAL_US 2000

/** A host with its journal, control thread and callers. */
typedef struct {
    pps_journal_t *journal;
    char name[16];
    pthread_t control;
    pthread_t callers[CALLERS_PER_HOST];
} bench_host_t;

/** A calling thread and its measurements. */
typedef struct {
    bench_host_t *host;
    int index;
    size_t count;
    size_t granted;
    int64_t *latency_us;
} bench_caller_t;

static fake_log_t shared_log;
static bench_host_t hosts[HOSTS_MAX];
static bench_caller_t callers[HOSTS_MAX * CALLERS_PER_HOST];
static int host_count = 8;
static int claims_per_second = 2000;
static int seconds = 10;
static atomic_int stop;

static void *
run_control(void *user)
{
    bench_host_t *host = user;

    while (!atomic_load(&stop)) {
        uint64_t next = pps_journal_next(host->journal);

        pthread_mutex_lock(&shared_log.mutex);
        if (next < shared_log.count) {
            pps_journal_fold(host->journal, &shared_log.entries[next],
                             shared_log.count - next);
        }
        pthread_mutex_unlock(&shared_log.mutex);
        pps_clock_sleep_us(POLL_INTERVAL_US);
    }
    return NULL;
}

static void
claim_once(bench_caller_t *caller, size_t number)
{
    static const uint8_t digest[PPS_BODY_DIGEST_SIZE] = {1};
    int64_t start_us = pps_clock_now_us();
    pps_verdict_t verdict;
    char key[64];

    snprintf(key, sizeof(key), "%s-%d-%zu", caller->host->name, caller->index,
             number);
    if (pps_journal_claim(&verdict, caller->host->journal, "ministry", key,
                          digest, key, start_us + PPS_US_PER_S) == 0 &&
        verdict.kind == PPS_VERDICT_GRANTED) {
        caller->granted++;
    }
    caller->latency_us[number] = pps_clock_now_us() - start_us;
}

static void *
run_caller(void *user)
{
    bench_caller_t *caller = user;
    int64_t period_us = PPS_US_PER_S * host_count * CALLERS_PER_HOST /
                        (claims_per_second > 0 ? claims_per_second : 1);
    int64_t due_us =
        pps_clock_now_us() + period_us * caller->index / CALLERS_PER_HOST;

    for (size_t i = 0; i < caller->count; i++) {
        int64_t wait_us = due_us - pps_clock_now_us();

        if (wait_us > 0) {
            pps_clock_sleep_us(wait_us);
        }
        claim_once(caller, i);
        due_us += period_us;
    }
    return NULL;
}

static void
start_host(int index)
{
    pps_journal_options_t options = PPS_JOURNAL_OPTIONS_INIT;
    bench_host_t *host = &hosts[index];

    snprintf(host->name, sizeof(host->name), "host%d", index);
    options.host = host->name;
    if (pps_journal_new(&host->journal, &shared_log.base, &options) < 0) {
        exit(1);
    }
    pthread_create(&host->control, NULL, run_control, host);
    for (int i = 0; i < CALLERS_PER_HOST; i++) {
        bench_caller_t *caller = &callers[index * CALLERS_PER_HOST + i];

        caller->host = host;
        caller->index = i;
        caller->count = (size_t)(claims_per_second * seconds /
                                 (host_count * CALLERS_PER_HOST));
        caller->latency_us = calloc(caller->count + 1, sizeof(int64_t));
        pthread_create(&host->callers[i], NULL, run_caller, caller);
    }
}

static int
compare(const void *a, const void *b)
{
    int64_t first = *(const int64_t *)a;
    int64_t second = *(const int64_t *)b;

    return (first > second) - (first < second);
}

static void
report(int64_t elapsed_us)
{
    size_t total = 0;
    size_t granted = 0;
    int64_t *all;

    for (int i = 0; i < host_count * CALLERS_PER_HOST; i++) {
        total += callers[i].count;
    }
    all = calloc(total + 1, sizeof(*all));
    total = 0;
    for (int i = 0; i < host_count * CALLERS_PER_HOST; i++) {
        memcpy(all + total, callers[i].latency_us,
               callers[i].count * sizeof(*all));
        total += callers[i].count;
        granted += callers[i].granted;
        free(callers[i].latency_us);
    }
    qsort(all, total, sizeof(*all), compare);
    printf("hosts claims/s granted appends/s claims/append "
           "p50_ms p95_ms p99_ms\n");
    printf("%5d %8.0f %4zu/%zu %9.1f %13.1f %6.1f %6.1f %6.1f\n", host_count,
           (double)total * PPS_US_PER_S / (double)elapsed_us, granted, total,
           (double)shared_log.appends * PPS_US_PER_S / (double)elapsed_us,
           (double)total / (double)shared_log.appends,
           (double)all[total / 2] / PPS_US_PER_MS,
           (double)all[total * 95 / 100] / PPS_US_PER_MS,
           (double)all[total * 99 / 100] / PPS_US_PER_MS);
    free(all);
}

int
main(int argc, char **argv)
{
    int64_t start_us;
    int64_t elapsed_us;

    host_count = argc > 1 ? atoi(argv[1]) : host_count;
    claims_per_second = argc > 2 ? atoi(argv[2]) : claims_per_second;
    seconds = argc > 3 ? atoi(argv[3]) : seconds;
    if (host_count < 1 || host_count > HOSTS_MAX ||
        claims_per_second * seconds < host_count * CALLERS_PER_HOST) {
        fprintf(stderr, "fewer claims than callers, or too many hosts\n");
        return 2;
    }
    fake_log_init(&shared_log);
    shared_log.delay_us = APPEND_DELAY_US;
    start_us = pps_clock_now_us();
    for (int i = 0; i < host_count; i++) {
        start_host(i);
    }
    for (int i = 0; i < host_count; i++) {
        for (int j = 0; j < CALLERS_PER_HOST; j++) {
            pthread_join(hosts[i].callers[j], NULL);
        }
    }
    elapsed_us = pps_clock_now_us() - start_us;
    atomic_store(&stop, 1);
    for (int i = 0; i < host_count; i++) {
        pthread_join(hosts[i].control, NULL);
        pps_journal_free(hosts[i].journal);
    }
    report(elapsed_us);
    fake_log_clear(&shared_log);
    return 0;
}
