/** @file harness_watch.c @brief Samples revisions and sends a load. */
#include "harness_watch.h"

#include "clock.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SAMPLE_US (20 * PPS_US_PER_MS)
#define CALLER_COUNT 3

struct revision_monitor {
    cluster_t *cluster;
    pthread_t thread;
    atomic_int stopping;
    json_int_t incarnation[CLUSTER_ROUTERS_MAX];
    /** Of the current incarnation. */
    json_int_t highest_revision[CLUSTER_ROUTERS_MAX];
    /** Of all incarnations. */
    json_int_t served_revision[CLUSTER_ROUTERS_MAX];
    int decrease_count;
};

static json_int_t
get_int(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static void
sample(revision_monitor_t *monitor, int router)
{
    json_t *status = cluster_status(monitor->cluster, router);
    json_int_t revision = get_int(status, "revision");

    if (status == NULL) {
        return;
    }
    if (monitor->incarnation[router] != get_int(status, "incarnation")) {
        monitor->incarnation[router] = get_int(status, "incarnation");
        monitor->highest_revision[router] = 0;
    }
    monitor->decrease_count += revision < monitor->highest_revision[router];
    monitor->highest_revision[router] = revision;
    if (json_is_true(json_object_get(status, "serving"))) {
        monitor->decrease_count += revision < monitor->served_revision[router];
        monitor->served_revision[router] = revision;
    }
    json_decref(status);
}

static void *
run_monitor(void *user)
{
    revision_monitor_t *monitor = user;

    while (!atomic_load(&monitor->stopping)) {
        for (int i = 0; i < monitor->cluster->options.routers; i++) {
            sample(monitor, i);
        }
        pps_clock_sleep_us(SAMPLE_US);
    }
    return NULL;
}

revision_monitor_t *
revision_monitor_start(cluster_t *cluster)
{
    revision_monitor_t *monitor = calloc(1, sizeof(*monitor));

    monitor->cluster = cluster;
    pthread_create(&monitor->thread, NULL, run_monitor, monitor);
    return monitor;
}

int
revision_monitor_stop(revision_monitor_t *monitor)
{
    int decrease_count;

    atomic_store(&monitor->stopping, 1);
    pthread_join(monitor->thread, NULL);
    decrease_count = monitor->decrease_count;
    free(monitor);
    return decrease_count;
}

struct callers {
    cluster_t *cluster;
    pthread_t threads[CALLER_COUNT];
    atomic_int stopping;
    atomic_int count;
    pthread_mutex_t lock;
    callers_result_t result;
};

static int
is_complete(const harness_reply_t *reply, int stream)
{
    return reply->status == 200 && !reply->broken &&
           (!stream ||
            strstr(pps_buf_text(&reply->text), "data: [DONE]") != NULL);
}

static void
count_reply(callers_t *callers, const harness_reply_t *reply, int stream)
{
    callers_result_t *result = &callers->result;

    pthread_mutex_lock(&callers->lock);
    if (is_complete(reply, stream)) {
        result->whole++;
    }
    else if (strcmp(cluster_error_run(reply), "no") == 0) {
        result->refused++;
    }
    else if (strstr(pps_buf_text(&reply->text), "\"bill_not_safe\"")) {
        result->withheld++;
    }
    else if (result->other++ == 0) {
        snprintf(result->first_other, sizeof(result->first_other), "%d %.400s",
                 reply->status, pps_buf_text(&reply->text));
    }
    pthread_mutex_unlock(&callers->lock);
}

static void *
run_caller(void *user)
{
    callers_t *callers = user;

    while (!atomic_load(&callers->stopping)) {
        int number = atomic_fetch_add(&callers->count, 1);
        cluster_chat_t chat = {.router =
                                   number % callers->cluster->options.routers,
                               .stream = number % 2};
        harness_reply_t reply;

        cluster_chat(&reply, callers->cluster, &chat);
        count_reply(callers, &reply, chat.stream);
        harness_reply_clear(&reply);
    }
    return NULL;
}

callers_t *
callers_start(cluster_t *cluster)
{
    callers_t *callers = calloc(1, sizeof(*callers));

    callers->cluster = cluster;
    pthread_mutex_init(&callers->lock, NULL);
    for (int i = 0; i < CALLER_COUNT; i++) {
        pthread_create(&callers->threads[i], NULL, run_caller, callers);
    }
    return callers;
}

int
callers_count(const callers_t *callers)
{
    return atomic_load(&callers->count);
}

void
callers_stop(callers_t *callers, callers_result_t *out)
{
    atomic_store(&callers->stopping, 1);
    for (int i = 0; i < CALLER_COUNT; i++) {
        pthread_join(callers->threads[i], NULL);
    }
    *out = callers->result;
    pthread_mutex_destroy(&callers->lock);
    free(callers);
}

json_int_t
cluster_started_count(cluster_t *cluster, const char *version)
{
    json_int_t started = 0;

    for (int i = 0; i < cluster->options.engines; i++) {
        harness_reply_t reply;

        harness_json(&reply, "GET", cluster->engines[i]->port, "/runs", NULL);
        started += get_int(json_object_get(reply.json, "started_by_version"),
                           version);
        harness_reply_clear(&reply);
    }
    return started;
}

json_int_t
cluster_revision(cluster_t *cluster, int router)
{
    json_t *status = cluster_status(cluster, router);
    json_int_t revision = status ? get_int(status, "revision") : -1;

    json_decref(status);
    return revision;
}

typedef struct {
    int router;
    json_int_t revision;
} expected_t;

static int
has_revision(cluster_t *cluster, void *user)
{
    const expected_t *expected = user;

    return cluster_revision(cluster, expected->router) >= expected->revision &&
           cluster_is_serving(cluster, expected->router);
}

int
cluster_wait_revision(cluster_t *cluster, int router, json_int_t revision)
{
    expected_t expected = {router, revision};

    return cluster_wait(cluster, has_revision, &expected);
}

long
cluster_counter(cluster_t *cluster, int router, const char *name)
{
    harness_call_t call = {.method = "GET",
                           .port = cluster->routers[router]->operator_port,
                           .path = "/counters"};
    harness_reply_t reply;
    char line[128];
    const char *found;
    long value = -1;

    snprintf(line, sizeof(line), "\npapayaswitch_%s ", name);
    harness_call(&reply, &call);
    found = strstr(pps_buf_text(&reply.text), line);
    if (found != NULL) {
        value = strtol(found + strlen(line), NULL, 10);
    }
    harness_reply_clear(&reply);
    return value;
}
