/**
 * @file bench_bills.c
 * @brief Time to hold a bill at two hosts, against the bills in memory.
 *
 * Two hosts in one process; a pump thread takes the place of both control
 * threads and of the link. The log is down, so that bills stay in memory.
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

#define HOLDS 2000
#define TICK_US (100 * PPS_US_PER_MS)
#define HOLD_WAIT_US (10 * PPS_US_PER_S)

typedef struct {
    struct cds_list_head node;
    int to;
    pps_bills_message_t kind;
    size_t size;
    char payload[];
} message_t;

static const char *const names[] = {"a", "b"};
static pps_bills_t *hosts[2];
static int indices[2] = {0, 1};
static CDS_LIST_HEAD(queue);
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t posted = PTHREAD_COND_INITIALIZER;
static atomic_int ended;

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
take(int64_t until_us)
{
    message_t *message = NULL;
    struct timespec until;

    pthread_mutex_lock(&lock);
    if (cds_list_empty(&queue) && pps_clock_now_us() < until_us) {
        clock_gettime(CLOCK_REALTIME, &until);
        until.tv_nsec += 10 * 1000 * 1000;
        until.tv_sec += until.tv_nsec / 1000000000;
        until.tv_nsec %= 1000000000;
        pthread_cond_timedwait(&posted, &lock, &until);
    }
    if (!cds_list_empty(&queue)) {
        message = cds_list_first_entry(&queue, message_t, node);
        cds_list_del(&message->node);
    }
    pthread_mutex_unlock(&lock);
    return message;
}

static void *
pump(void *user)
{
    int64_t tick_us = pps_clock_now_us();

    while (!atomic_load(&ended)) {
        message_t *message = take(tick_us);

        if (message != NULL) {
            pps_bills_receive(hosts[message->to], names[1 - message->to],
                              message->kind, message->payload, message->size);
            free(message);
        }
        if (pps_clock_now_us() >= tick_us) {
            pps_bills_tick(hosts[0]);
            pps_bills_tick(hosts[1]);
            tick_us = pps_clock_now_us() + TICK_US;
        }
    }
    return NULL;
}

static int
start_host(int index, pps_log_backend_t *log)
{
    pps_bills_options_t options = PPS_BILLS_OPTIONS_INIT;
    const pps_bills_transport_t transport = {post, &indices[index]};

    options.host = names[index];
    return pps_bills_new(&hosts[index], log, &transport, &options);
}

static int64_t
hold(void)
{
    const pps_bill_t bill = {.request_id = "request",
                             .workspace = "office",
                             .kind = PPS_BILL_COMPLETED};
    int64_t before = pps_clock_now_us();

    if (pps_bills_hold(hosts[0], &bill, before + HOLD_WAIT_US) != 0) {
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
    static int64_t taken[HOLDS];
    pps_bills_stats_t stats;

    pps_bills_stats(hosts[0], &stats);
    for (int i = 0; i < HOLDS; i++) {
        taken[i] = hold();
    }
    qsort(taken, HOLDS, sizeof(taken[0]), compare);
    printf("in memory %6zu  p50_us %5lld  p99_us %5lld  max_us %6lld\n",
           stats.own, (long long)taken[HOLDS / 2],
           (long long)taken[HOLDS * 99 / 100], (long long)taken[HOLDS - 1]);
}

int
main(int argc, char **argv)
{
    pps_log_backend_t log = {.append = refuse_append};
    int most = argc > 1 ? atoi(argv[1]) : 80000;
    pps_bills_stats_t stats;
    pthread_t thread;

    if (start_host(0, &log) < 0 || start_host(1, &log) < 0) {
        return 1;
    }
    pps_bills_set_partner(hosts[0], names[1]);
    pthread_create(&thread, NULL, pump, NULL);
    for (int level = 0; level <= most; level += most / 4) {
        pps_bills_stats(hosts[0], &stats);
        for (size_t i = stats.own; i < (size_t)level; i++) {
            hold();
        }
        measure();
    }
    atomic_store(&ended, 1);
    pthread_join(thread, NULL);
    pps_bills_free(hosts[0]);
    pps_bills_free(hosts[1]);
    return 0;
}
