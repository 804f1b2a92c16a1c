/** @file harness_service_call.c @brief Sends service calls. */
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
copy_reply(service_call_result_t *out, harness_reply_t *reply)
{
    out->status = reply->status;
    snprintf(out->code, sizeof(out->code), "%s", cluster_error_code(reply));
    snprintf(out->run, sizeof(out->run), "%s", cluster_error_run(reply));
    out->run_number = harness_reply_int(reply, "run");
    out->has_retry_after = has_header(reply, "Retry-After");
    out->has_replay_header = has_header(reply, "X-Idempotent-Replay");
    harness_reply_clear(reply);
}

void
service_call_perform(service_call_t *call)
{
    char bearer[LINE_BYTES];
    char key[LINE_BYTES];
    char path[LINE_BYTES];
    harness_call_t request = {
        .method = call->is_outcome_query ? "GET" : "POST",
        .port = call->cluster->routers[call->router]->port,
        .path =
            call->is_outcome_query ? path : "/v1/services/registry/releases",
        .body =
            call->is_outcome_query ? NULL : (call->body ? call->body : "{}"),
        .headers = {bearer, call->is_outcome_query ? NULL : key},
        .timeout_ms = CLUSTER_WAIT_MS,
    };
    harness_reply_t reply;

    snprintf(bearer, sizeof(bearer), "Authorization: Bearer %s",
             call->bearer ? call->bearer : "office-key");
    snprintf(key, sizeof(key), "Idempotency-Key: %s", call->key);
    snprintf(path, sizeof(path), "/v1/outcomes/%s", call->key);
    harness_call(&reply, &request);
    copy_reply(&call->result, &reply);
}

static void *
run_call(void *user)
{
    service_call_perform(user);
    return NULL;
}

void
service_call_start(service_call_t *call)
{
    cr_assert_eq(pthread_create(&call->thread, NULL, run_call, call), 0);
}

void
service_call_join(service_call_t *call)
{
    pthread_join(call->thread, NULL);
}

static int
is_final(const service_call_result_t *result)
{
    int refused = strcmp(result->run, "no") == 0 && result->has_retry_after;

    return result->status != 0 && !refused &&
           strcmp(result->code, "in_progress") != 0;
}

void
service_call_complete(service_call_t *call)
{
    int64_t deadline = pps_clock_now_us() + CLUSTER_WAIT_MS * PPS_US_PER_MS;

    service_call_perform(call);
    while (!is_final(&call->result) && pps_clock_now_us() < deadline) {
        pps_clock_sleep_us(POLL_US);
        service_call_perform(call);
    }
}

typedef struct {
    int router;
    const char *key;
} expected_call_t;

static int
is_sent(cluster_t *cluster, void *user)
{
    const expected_call_t *expected = user;
    json_t *events =
        cluster_events(cluster, expected->router, "service_called");
    char *text = json_dumps(events, JSON_COMPACT);
    char member[LINE_BYTES];
    int found;

    snprintf(member, sizeof(member), "\"key\":\"%s\"", expected->key);
    found = text != NULL && strstr(text, member) != NULL;
    free(text);
    json_decref(events);
    return found;
}

int
service_call_wait_sent(cluster_t *cluster, int router, const char *key)
{
    expected_call_t expected = {router, key};

    return cluster_wait(cluster, is_sent, &expected);
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
service_call_perform_key(service_call_t *call, cluster_t *cluster, int router,
                         const char *key)
{
    *call = (service_call_t){.cluster = cluster, .router = router, .key = key};
    service_call_perform(call);
}

void
service_call_complete_key(service_call_t *call, cluster_t *cluster, int router,
                          const char *key)
{
    *call = (service_call_t){.cluster = cluster, .router = router, .key = key};
    service_call_complete(call);
}

static int
is_serving(cluster_t *cluster, void *user)
{
    service_call_t *call = user;

    service_call_perform(call);
    return !service_call_has_code(call, "not_serving");
}

void
service_call_wait_serving(service_call_t *call)
{
    cr_assert(cluster_wait(call->cluster, is_serving, call));
}

int
service_call_has_code(const service_call_t *call, const char *code)
{
    return strcmp(call->result.code, code) == 0;
}

int
service_call_is_undecided(const service_call_t *call)
{
    return service_call_has_code(call, "in_progress") ||
           service_call_has_code(call, "outcome_unknown");
}

int
service_call_is_not_run(const service_call_t *call)
{
    return strcmp(call->result.run, "no") == 0 && call->result.has_retry_after;
}
