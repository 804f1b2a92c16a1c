/**
 * @file bench_claims.c
 * @brief Claims per append and their latency, over several hosts and one log.
 *
 * bench_claims [HOSTS] [CLAIMS_PER_SECOND] [SECONDS]
 */
#include "../tests/unit/fake_log.h"
#include "papayaswitch/journal.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>

#define HOSTS_MAX 16
#define CALLERS 64
#define APPEND_US 5000
#define POLL_US 2000

/** A host: its journal, its control thread, its callers. */
typedef struct {
    pps_journal_t *journal;
    char name[16];
    pthread_t control;
    pthread_t callers[CALLERS];
} bench_host_t;

/** One calling thread and what it measured. */
typedef struct {
    bench_host_t *host;
    int index;
    size_t count;
    size_t granted;
    int64_t *latency_us;
} bench_caller_t;

static fake_log_t logged;
static bench_host_t hosts[HOSTS_MAX];
static bench_caller_t callers[HOSTS_MAX * CALLERS];
static int host_count = 8;
static int rate = 2000;
static int seconds = 10;
static atomic_int stop;

static void *
control(void *user)
{
    bench_host_t *host = user;

    while (!atomic_load(&stop)) {
        uint64_t next = pps_journal_next(host->journal);

        pthread_mutex_lock(&logged.mutex);
        if (next < logged.count) {
            pps_journal_fold(host->journal, &logged.entries[next],
                             logged.count - next);
        }
        pthread_mutex_unlock(&logged.mutex);
        pps_clock_sleep_us(POLL_US);
    }
    return NULL;
}

static void
claim_once(bench_caller_t *caller, size_t number)
{
    static const uint8_t digest[PPS_BODY_DIGEST_SIZE] = {1};
    int64_t began_us = pps_clock_now_us();
    pps_verdict_t verdict;
    char key[64];

    snprintf(key, sizeof(key), "%s-%d-%zu", caller->host->name, caller->index,
             number);
    if (pps_journal_claim(&verdict, caller->host->journal, "ministry", key,
                          digest, key, began_us + PPS_US_PER_S) == 0 &&
        verdict.kind == PPS_VERDICT_GRANTED) {
        caller->granted++;
    }
    caller->latency_us[number] = pps_clock_now_us() - began_us;
}

static void *
call(void *user)
{
    bench_caller_t *caller = user;
    int64_t period_us =
        PPS_US_PER_S * host_count * CALLERS / (rate > 0 ? rate : 1);
    int64_t due_us = pps_clock_now_us() + period_us * caller->index / CALLERS;

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
    if (pps_journal_new(&host->journal, &logged.base, &options) < 0) {
        exit(1);
    }
    pthread_create(&host->control, NULL, control, host);
    for (int i = 0; i < CALLERS; i++) {
        bench_caller_t *caller = &callers[index * CALLERS + i];

        caller->host = host;
        caller->index = i;
        caller->count = (size_t)(rate * seconds / (host_count * CALLERS));
        caller->latency_us = calloc(caller->count + 1, sizeof(int64_t));
        pthread_create(&host->callers[i], NULL, call, caller);
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
report(int64_t took_us)
{
    size_t total = 0;
    size_t granted = 0;
    int64_t *all;

    for (int i = 0; i < host_count * CALLERS; i++) {
        total += callers[i].count;
    }
    all = calloc(total + 1, sizeof(*all));
    total = 0;
    for (int i = 0; i < host_count * CALLERS; i++) {
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
           (double)total * PPS_US_PER_S / (double)took_us, granted, total,
           (double)logged.appends * PPS_US_PER_S / (double)took_us,
           (double)total / (double)logged.appends,
           (double)all[total / 2] / PPS_US_PER_MS,
           (double)all[total * 95 / 100] / PPS_US_PER_MS,
           (double)all[total * 99 / 100] / PPS_US_PER_MS);
    free(all);
}

int
main(int argc, char **argv)
{
    int64_t began_us;
    int64_t took_us;

    host_count = argc > 1 ? atoi(argv[1]) : host_count;
    rate = argc > 2 ? atoi(argv[2]) : rate;
    seconds = argc > 3 ? atoi(argv[3]) : seconds;
    if (host_count < 1 || host_count > HOSTS_MAX ||
        rate * seconds < host_count * CALLERS) {
        fprintf(stderr, "fewer claims than callers, or too many hosts\n");
        return 2;
    }
    fake_log_init(&logged);
    logged.delay_us = APPEND_US;
    began_us = pps_clock_now_us();
    for (int i = 0; i < host_count; i++) {
        start_host(i);
    }
    for (int i = 0; i < host_count; i++) {
        for (int j = 0; j < CALLERS; j++) {
            pthread_join(hosts[i].callers[j], NULL);
        }
    }
    took_us = pps_clock_now_us() - began_us;
    atomic_store(&stop, 1);
    for (int i = 0; i < host_count; i++) {
        pthread_join(hosts[i].control, NULL);
        pps_journal_free(hosts[i].journal);
    }
    report(took_us);
    fake_log_clear(&logged);
    return 0;
}
