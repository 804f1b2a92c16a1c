/** @file harness_service_call.c @brief Calls that must run at most once. */
#include "harness_service_call.h"

#include "clock.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POLL_US (50 * PPS_US_PER_MS)
#define LINE_BYTES 320

static int
has_header(const harness_reply_t *reply, const char *name)
{
    char *value = cluster_header(reply, name);
    int found = value != NULL;

    free(value);
    return found;
}

static void
take_reply(service_call_result_t *out, harness_reply_t *reply)
{
    out->status = reply->status;
    snprintf(out->code, sizeof(out->code), "%s", cluster_error_code(reply));
    snprintf(out->run, sizeof(out->run), "%s", cluster_error_run(reply));
    out->ran = harness_reply_int(reply, "run");
    out->retry_after = has_header(reply, "Retry-After");
    out->replayed = has_header(reply, "X-Idempotent-Replay");
    harness_reply_clear(reply);
}

void
service_call_perform(service_call_t *act)
{
    char bearer[LINE_BYTES];
    char key[LINE_BYTES];
    char path[LINE_BYTES];
    harness_call_t call = {
        .method = act->ask ? "GET" : "POST",
        .port = act->cluster->routers[act->router]->port,
        .path = act->ask ? path : "/v1/services/registry/releases",
        .body = act->ask ? NULL : (act->body ? act->body : "{}"),
        .headers = {bearer, act->ask ? NULL : key},
        .timeout_ms = CLUSTER_WAIT_MS,
    };
    harness_reply_t reply;

    snprintf(bearer, sizeof(bearer), "Authorization: Bearer %s",
             act->bearer ? act->bearer : "office-key");
    snprintf(key, sizeof(key), "Idempotency-Key: %s", act->key);
    snprintf(path, sizeof(path), "/v1/outcomes/%s", act->key);
    harness_call(&reply, &call);
    take_reply(&act->result, &reply);
}

static void *
run_act(void *user)
{
    service_call_perform(user);
    return NULL;
}

void
service_call_start(service_call_t *act)
{
    cr_assert_eq(pthread_create(&act->thread, NULL, run_act, act), 0);
}

void
service_call_join(service_call_t *act)
{
    pthread_join(act->thread, NULL);
}

static int
is_final(const service_call_result_t *result)
{
    int refused = strcmp(result->run, "no") == 0 && result->retry_after;

    return result->status != 0 && !refused &&
           strcmp(result->code, "in_progress") != 0;
}

void
service_call_complete(service_call_t *act)
{
    int64_t deadline = pps_clock_now_us() + CLUSTER_WAIT_MS * PPS_US_PER_MS;

    service_call_perform(act);
    while (!is_final(&act->result) && pps_clock_now_us() < deadline) {
        pps_clock_sleep_us(POLL_US);
        service_call_perform(act);
    }
}

typedef struct {
    int router;
    const char *key;
} sent_t;

static int
holds_sent(cluster_t *cluster, void *user)
{
    const sent_t *sent = user;
    json_t *events = cluster_events(cluster, sent->router, "service_called");
    char *text = json_dumps(events, JSON_COMPACT);
    char wanted[LINE_BYTES];
    int found;

    snprintf(wanted, sizeof(wanted), "\"key\":\"%s\"", sent->key);
    found = text != NULL && strstr(text, wanted) != NULL;
    free(text);
    json_decref(events);
    return found;
}

int
service_call_wait_sent(cluster_t *cluster, int router, const char *key)
{
    sent_t sent = {router, key};

    return cluster_wait(cluster, holds_sent, &sent);
}

void
cluster_set_service_faults(cluster_t *cluster, const char *faults)
{
    for (int i = 0; i < cluster->options.services; i++) {
        cr_assert_eq(cluster_set_faults(cluster->services[i], faults), 200,
                     "%s", faults);
    }
}

void
cluster_reset_faults(cluster_t *cluster)
{
    cr_assert_eq(cluster_set_faults(cluster->platform, "{\"reset\": true}"),
                 200);
    cluster_set_service_faults(cluster, "{\"reset\": true}");
}

void
service_call_perform_key(service_call_t *act, cluster_t *cluster, int router,
                         const char *key)
{
    *act = (service_call_t){.cluster = cluster, .router = router, .key = key};
    service_call_perform(act);
}

void
service_call_complete_key(service_call_t *act, cluster_t *cluster, int router,
                          const char *key)
{
    *act = (service_call_t){.cluster = cluster, .router = router, .key = key};
    service_call_complete(act);
}

static int
holds_served(cluster_t *cluster, void *user)
{
    service_call_t *act = user;

    service_call_perform(act);
    return !service_call_has_code(act, "not_serving");
}

void
service_call_wait_serving(service_call_t *act)
{
    cr_assert(cluster_wait(act->cluster, holds_served, act));
}

int
service_call_has_code(const service_call_t *act, const char *code)
{
    return strcmp(act->result.code, code) == 0;
}

int
service_call_is_undecided(const service_call_t *act)
{
    return service_call_has_code(act, "in_progress") ||
           service_call_has_code(act, "outcome_unknown");
}

int
service_call_is_not_run(const service_call_t *act)
{
    return strcmp(act->result.run, "no") == 0 && act->result.retry_after;
}
