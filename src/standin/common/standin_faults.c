/** @file standin_faults.c @brief Fault values as a typed JSON object. */
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
has_same_type(const json_t *default_value, const json_t *value)
{
    if (default_value == NULL) {
        return 0;
    }
    if (json_is_boolean(default_value)) {
        return json_is_boolean(value);
    }
    if (json_is_real(default_value)) {
        return json_is_number(value);
    }
    return json_typeof(default_value) == json_typeof(value);
}

static int
check_change(const standin_faults_t *faults, const json_t *change)
{
    const char *key;
    json_t *value;

    if (!json_is_object(change)) {
        return pps_error_set(PPS_EINVALID,
                             "faults: the body is not a JSON object");
    }
    json_object_foreach((json_t *)change, key, value)
    {
        if (strcmp(key, KEY_RESET) == 0) {
            continue;
        }
        if (!has_same_type(json_object_get(faults->defaults, key), value)) {
            return pps_error_set(
                PPS_EINVALID,
                "fault '%s': unknown, or its value has the wrong type", key);
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
    if (faults->on_change != NULL) {
        faults->on_change(change, faults->user);
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
standin_faults_has_text(standin_faults_t *faults, const char *key,
                        const char *text)
{
    const char *value;
    int is_equal;

    pthread_mutex_lock(&faults->lock);
    value = json_string_value(json_object_get(faults->values, key));
    is_equal = value != NULL && strcmp(value, text) == 0;
    pthread_mutex_unlock(&faults->lock);
    return is_equal;
}

int
standin_faults_use_one(standin_faults_t *faults, const char *key)
{
    int64_t remaining;

    pthread_mutex_lock(&faults->lock);
    remaining = json_integer_value(json_object_get(faults->values, key));
    if (remaining > 0) {
        json_object_set_new(faults->values, key, json_integer(remaining - 1));
    }
    pthread_mutex_unlock(&faults->lock);
    return remaining > 0;
}

int
standin_faults_count_request(standin_faults_t *faults)
{
    return standin_faults_int(faults, "count") < 0 ||
           standin_faults_use_one(faults, "count");
}

standin_refusal_t
standin_faults_next_refusal(standin_faults_t *faults)
{
    standin_refusal_t refusal;

    pthread_mutex_lock(&faults->lock);
    refusal = standin_refusal_find(
        json_string_value(json_object_get(faults->values, "refuse")));
    pthread_mutex_unlock(&faults->lock);
    if (refusal == STANDIN_REFUSAL_NONE ||
        !standin_faults_count_request(faults)) {
        return STANDIN_REFUSAL_NONE;
    }
    return refusal;
}

int
standin_faults_is_on(standin_faults_t *faults, const char *key)
{
    int is_on;

    pthread_mutex_lock(&faults->lock);
    is_on = json_is_true(json_object_get(faults->values, key));
    pthread_mutex_unlock(&faults->lock);
    return is_on;
}

int
standin_faults_handle_get(standin_faults_t *faults,
                          struct _u_response *response)
{
    pps_http_reply_json(response, 200, standin_faults_copy(faults));
    return U_CALLBACK_COMPLETE;
}

int
standin_faults_handle_put(standin_faults_t *faults,
                          const struct _u_request *request,
                          struct _u_response *response)
{
    json_t *change = standin_request_json(request);
    int error = standin_faults_change(faults, change);

    json_decref(change);
    if (error < 0) {
        return standin_refuse_malformed(response);
    }
    return standin_faults_handle_get(faults, response);
}
