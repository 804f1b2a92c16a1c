/**
 * @file bench_bills.c
 * @brief Measures how long pps_bills_hold() takes as bills accumulate.
 *
 * Runs two hosts in one process. One thread replaces the control threads of
 * both and the link between them. Appends to the log fail, so that all bills
 * remain in memory.
 *
 * bench_bills [BILLS]: measures at each quarter of BILLS (80,000).
 */
#include "clock.h"
#include "papayaswitch/bills.h"
#include "papayaswitch/errors.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#define SAMPLES 2000
#define TICK_PERIOD_US (100 * PPS_US_PER_MS)
#define HOLD_TIMEOUT_US (10 * PPS_US_PER_S)

typedef struct {
    struct cds_list_head node;
    int to;
    pps_bills_message_t kind;
    size_t size;
    char payload[];
} message_t;

static const char *const host_names[] = {"a", "b"};
static pps_bills_t *hosts[2];
static int host_indices[2] = {0, 1};
static CDS_LIST_HEAD(queue);
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t posted = PTHREAD_COND_INITIALIZER;
static atomic_int stopped;

static int
refuse_append(pps_log_backend_t *self, const char *stream,
              const pps_log_blob_t *records, size_t count, uint64_t *first)
{
    return PPS_EUNAVAILABLE;
}

static int
post(void *user, const char *host, pps_bills_message_t kind,
     const void *payload, size_t size)
{
    message_t *message = malloc(sizeof(*message) + size);

    message->to = 1 - *(int *)user;
    message->kind = kind;
    message->size = size;
    memcpy(message->payload, payload, size);
    pthread_mutex_lock(&lock);
    cds_list_add_tail(&message->node, &queue);
    pthread_cond_signal(&posted);
    pthread_mutex_unlock(&lock);
    return 0;
}

static message_t *
wait_for_message(int64_t deadline_us)
{
    message_t *message = NULL;
    struct timespec wake_time;

    pthread_mutex_lock(&lock);
    if (cds_list_empty(&queue) && pps_clock_now_us() < deadline_us) {
        clock_gettime(CLOCK_REALTIME, &wake_time);
        wake_time.tv_nsec += 10 * 1000 * 1000;
        wake_time.tv_sec += wake_time.tv_nsec / 1000000000;
        wake_time.tv_nsec %= 1000000000;
        pthread_cond_timedwait(&posted, &lock, &wake_time);
    }
    if (!cds_list_empty(&queue)) {
        message = cds_list_first_entry(&queue, message_t, node);
        cds_list_del(&message->node);
    }
    pthread_mutex_unlock(&lock);
    return message;
}

static void *
run_control(void *user)
{
    int64_t tick_us = pps_clock_now_us();

    while (!atomic_load(&stopped)) {
        message_t *message = wait_for_message(tick_us);

        if (message != NULL) {
            pps_bills_receive(hosts[message->to], host_names[1 - message->to],
                              message->kind, message->payload, message->size);
            free(message);
        }
        if (pps_clock_now_us() >= tick_us) {
            pps_bills_tick(hosts[0]);
            pps_bills_tick(hosts[1]);
            tick_us = pps_clock_now_us() + TICK_PERIOD_US;
        }
    }
    return NULL;
}

static int
start_host(int index, pps_log_backend_t *log)
{
    pps_bills_options_t options = PPS_BILLS_OPTIONS_INIT;
    const pps_bills_transport_t transport = {post, &host_indices[index]};

    options.host = host_names[index];
    return pps_bills_new(&hosts[index], log, &transport, &options);
}

static int64_t
hold(void)
{
    const pps_bill_t bill = {.request_id = "request",
                             .workspace = "office",
                             .kind = PPS_BILL_COMPLETED};
    int64_t before = pps_clock_now_us();

    if (pps_bills_hold(hosts[0], &bill, before + HOLD_TIMEOUT_US) != 0) {
        fprintf(stderr, "a bill was not held\n");
        exit(1);
    }
    return pps_clock_now_us() - before;
}

static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

static void
measure(void)
{
    static int64_t latencies_us[SAMPLES];
    pps_bills_stats_t stats;

    pps_bills_stats(hosts[0], &stats);
    for (int i = 0; i < SAMPLES; i++) {
        latencies_us[i] = hold();
    }
    qsort(latencies_us, SAMPLES, sizeof(latencies_us[0]), compare);
    printf("in memory %6zu  p50_us %5lld  p99_us %5lld  max_us %6lld\n",
           stats.own, (long long)latencies_us[SAMPLES / 2],
           (long long)latencies_us[SAMPLES * 99 / 100],
           (long long)latencies_us[SAMPLES - 1]);
}

int
main(int argc, char **argv)
{
    pps_log_backend_t log = {.append = refuse_append};
    int bills_max = argc > 1 ? atoi(argv[1]) : 80000;
    pps_bills_stats_t stats;
    pthread_t thread;

    if (start_host(0, &log) < 0 || start_host(1, &log) < 0) {
        return 1;
    }
    pps_bills_set_partner(hosts[0], host_names[1]);
    pthread_create(&thread, NULL, run_control, NULL);
    for (int level = 0; level <= bills_max; level += bills_max / 4) {
        pps_bills_stats(hosts[0], &stats);
        for (size_t i = stats.own; i < (size_t)level; i++) {
            hold();
        }
        measure();
    }
    atomic_store(&stopped, 1);
    pthread_join(thread, NULL);
    pps_bills_free(hosts[0]);
    pps_bills_free(hosts[1]);
    return 0;
}
