/** @file harness_watch.c @brief Revisions, starts, steady callers. */
#include "harness_watch.h"

#include "clock.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SAMPLE_US (20 * PPS_US_PER_MS)
#define CALLERS 3

struct revision_monitor {
    cluster_t *cluster;
    pthread_t thread;
    atomic_int stopping;
    json_int_t incarnation[CLUSTER_ROUTERS_MAX];
    json_int_t highest[CLUSTER_ROUTERS_MAX];
    json_int_t served[CLUSTER_ROUTERS_MAX];
    int falls;
};

static json_int_t
int_of(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static void
sample(revision_monitor_t *watch, int router)
{
    json_t *status = cluster_status(watch->cluster, router);
    json_int_t revision = int_of(status, "revision");

    if (status == NULL) {
        return;
    }
    if (watch->incarnation[router] != int_of(status, "incarnation")) {
        watch->incarnation[router] = int_of(status, "incarnation");
        watch->highest[router] = 0;
    }
    watch->falls += revision < watch->highest[router];
    watch->highest[router] = revision;
    if (json_is_true(json_object_get(status, "serving"))) {
        watch->falls += revision < watch->served[router];
        watch->served[router] = revision;
    }
    json_decref(status);
}

static void *
run_watch(void *user)
{
    revision_monitor_t *watch = user;

    while (!atomic_load(&watch->stopping)) {
        for (int i = 0; i < watch->cluster->options.routers; i++) {
            sample(watch, i);
        }
        pps_clock_sleep_us(SAMPLE_US);
    }
    return NULL;
}

revision_monitor_t *
revision_monitor_start(cluster_t *cluster)
{
    revision_monitor_t *watch = calloc(1, sizeof(*watch));

    watch->cluster = cluster;
    pthread_create(&watch->thread, NULL, run_watch, watch);
    return watch;
}

int
revision_monitor_stop(revision_monitor_t *watch)
{
    int falls;

    atomic_store(&watch->stopping, 1);
    pthread_join(watch->thread, NULL);
    falls = watch->falls;
    free(watch);
    return falls;
}

struct callers {
    cluster_t *cluster;
    pthread_t threads[CALLERS];
    atomic_int stopping;
    atomic_int count;
    pthread_mutex_t lock;
    callers_result_t account;
};

static int
is_whole(const harness_reply_t *reply, int stream)
{
    return reply->status == 200 && !reply->broken &&
           (!stream ||
            strstr(pps_buf_text(&reply->text), "data: [DONE]") != NULL);
}

static void
count_reply(callers_t *callers, const harness_reply_t *reply, int stream)
{
    callers_result_t *account = &callers->account;

    pthread_mutex_lock(&callers->lock);
    if (is_whole(reply, stream)) {
        account->whole++;
    }
    else if (strcmp(cluster_error_run(reply), "no") == 0) {
        account->refused++;
    }
    else if (strstr(pps_buf_text(&reply->text), "\"bill_not_safe\"")) {
        account->withheld++;
    }
    else if (account->other++ == 0) {
        snprintf(account->first_other, sizeof(account->first_other),
                 "%d %.400s", reply->status, pps_buf_text(&reply->text));
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
    for (int i = 0; i < CALLERS; i++) {
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
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(callers->threads[i], NULL);
    }
    *out = callers->account;
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
        started +=
            int_of(json_object_get(reply.json, "started_by_version"), version);
        harness_reply_clear(&reply);
    }
    return started;
}

json_int_t
cluster_revision(cluster_t *cluster, int router)
{
    json_t *status = cluster_status(cluster, router);
    json_int_t revision = status ? int_of(status, "revision") : -1;

    json_decref(status);
    return revision;
}

typedef struct {
    int router;
    json_int_t revision;
} wanted_t;

static int
holds_revision(cluster_t *cluster, void *user)
{
    const wanted_t *wanted = user;

    return cluster_revision(cluster, wanted->router) >= wanted->revision &&
           cluster_is_serving(cluster, wanted->router);
}

int
cluster_wait_revision(cluster_t *cluster, int router, json_int_t revision)
{
    wanted_t wanted = {router, revision};

    return cluster_wait(cluster, holds_revision, &wanted);
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
