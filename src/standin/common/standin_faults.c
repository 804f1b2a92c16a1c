/** @file standin_faults.c @brief Faults as a typed JSON object. */
#include "standin_faults.h"

#include "papayaswitch/errors.h"
#include "standin_request.h"

#include <string.h>

#define KEY_RESET "reset"

int
standin_faults_init(standin_faults_t *faults, json_t *defaults)
{
    memset(faults, 0, sizeof(*faults));
    pthread_mutex_init(&faults->lock, NULL);
    faults->defaults = defaults;
    faults->values = json_deep_copy(defaults);
    if (faults->values == NULL) {
        return pps_error_set(PPS_ENOMEM, "faults: out of memory");
    }
    return PPS_OK;
}

void
standin_faults_clear(standin_faults_t *faults)
{
    json_decref(faults->defaults);
    json_decref(faults->values);
    pthread_mutex_destroy(&faults->lock);
}

static int
same_type(const json_t *known, const json_t *value)
{
    if (known == NULL) {
        return 0;
    }
    if (json_is_boolean(known)) {
        return json_is_boolean(value);
    }
    if (json_is_real(known)) {
        return json_is_number(value);
    }
    return json_typeof(known) == json_typeof(value);
}

static int
check_change(const standin_faults_t *faults, const json_t *change)
{
    const char *key;
    json_t *value;

    if (!json_is_object(change)) {
        return pps_error_set(PPS_EINVALID, "faults: no JSON object");
    }
    json_object_foreach((json_t *)change, key, value)
    {
        if (strcmp(key, KEY_RESET) == 0) {
            continue;
        }
        if (!same_type(json_object_get(faults->defaults, key), value)) {
            return pps_error_set(PPS_EINVALID, "fault '%s' refused", key);
        }
    }
    return PPS_OK;
}

int
standin_faults_change(standin_faults_t *faults, const json_t *change)
{
    int error = check_change(faults, change);

    if (error < 0) {
        return error;
    }
    pthread_mutex_lock(&faults->lock);
    if (json_is_true(json_object_get(change, KEY_RESET))) {
        json_object_update(faults->values, faults->defaults);
    }
    json_object_update_existing(faults->values, (json_t *)change);
    pthread_mutex_unlock(&faults->lock);
    if (faults->changed != NULL) {
        faults->changed(change, faults->user);
    }
    return PPS_OK;
}

int64_t
standin_faults_int(standin_faults_t *faults, const char *key)
{
    int64_t value;

    pthread_mutex_lock(&faults->lock);
    value = json_integer_value(json_object_get(faults->values, key));
    pthread_mutex_unlock(&faults->lock);
    return value;
}

json_t *
standin_faults_copy(standin_faults_t *faults)
{
    json_t *copy;

    pthread_mutex_lock(&faults->lock);
    copy = json_deep_copy(faults->values);
    pthread_mutex_unlock(&faults->lock);
    return copy;
}

int
standin_faults_is(standin_faults_t *faults, const char *key, const char *text)
{
    const char *value;
    int same;

    pthread_mutex_lock(&faults->lock);
    value = json_string_value(json_object_get(faults->values, key));
    same = value != NULL && strcmp(value, text) == 0;
    pthread_mutex_unlock(&faults->lock);
    return same;
}

int
standin_faults_take(standin_faults_t *faults, const char *key)
{
    int64_t left;

    pthread_mutex_lock(&faults->lock);
    left = json_integer_value(json_object_get(faults->values, key));
    if (left > 0) {
        json_object_set_new(faults->values, key, json_integer(left - 1));
    }
    pthread_mutex_unlock(&faults->lock);
    return left > 0;
}

int
standin_faults_affect(standin_faults_t *faults)
{
    return standin_faults_int(faults, "count") < 0 ||
           standin_faults_take(faults, "count");
}

standin_refusal_t
standin_faults_refusal(standin_faults_t *faults)
{
    standin_refusal_t refusal;

    pthread_mutex_lock(&faults->lock);
    refusal = standin_refusal_find(
        json_string_value(json_object_get(faults->values, "refuse")));
    pthread_mutex_unlock(&faults->lock);
    if (refusal == STANDIN_REFUSAL_NONE || !standin_faults_affect(faults)) {
        return STANDIN_REFUSAL_NONE;
    }
    return refusal;
}

int
standin_faults_on(standin_faults_t *faults, const char *key)
{
    int on;

    pthread_mutex_lock(&faults->lock);
    on = json_is_true(json_object_get(faults->values, key));
    pthread_mutex_unlock(&faults->lock);
    return on;
}

int
standin_faults_get(standin_faults_t *faults, struct _u_response *response)
{
    pps_http_reply_json(response, 200, standin_faults_copy(faults));
    return U_CALLBACK_COMPLETE;
}

int
standin_faults_put(standin_faults_t *faults, const struct _u_request *request,
                   struct _u_response *response)
{
    json_t *change = standin_request_json(request);
    int error = standin_faults_change(faults, change);

    json_decref(change);
    if (error < 0) {
        return standin_refuse_malformed(response);
    }
    return standin_faults_get(faults, response);
}
