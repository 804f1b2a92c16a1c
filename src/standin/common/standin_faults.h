/**
 * @file standin_faults.h
 * @brief Faults of a stand-in, which a test sets over HTTP.
 *
 * The faults are a JSON object of integers, real numbers, strings and
 * booleans; the defaults define the keys and the types of their values. A PUT
 * changes the keys that it contains; `"reset": true` first sets all keys to
 * their defaults.
 */
#ifndef STANDIN_FAULTS_H
#define STANDIN_FAULTS_H

#include "http_listener.h"
#include "standin_refusal.h"

#include <pthread.h>

/** Current values of the faults. */
typedef struct {
    pthread_mutex_t lock;
    json_t *defaults;
    json_t *values;
    /** Called after each change, without the lock; or NULL. */
    void (*on_change)(const json_t *change, void *user);
    void *user;
} standin_faults_t;

/** Sets all values to `defaults` and takes over its reference. */
int
standin_faults_init(standin_faults_t *faults, json_t *defaults);

/** Frees the values and the defaults. */
void
standin_faults_clear(standin_faults_t *faults);

/** Changes the values whose keys are in `change`. @return 0 or PPS_EINVALID */
int
standin_faults_change(standin_faults_t *faults, const json_t *change);

/** Returns the integer value of a key. */
int64_t
standin_faults_int(standin_faults_t *faults, const char *key);

/** Returns a copy of all values; the caller frees it by json_decref(). */
json_t *
standin_faults_copy(standin_faults_t *faults);

/** Returns whether the string value of a key equals `text`. */
int
standin_faults_has_text(standin_faults_t *faults, const char *key,
                        const char *text);

/** Decrements a positive integer value. @return whether it was positive */
int
standin_faults_use_one(standin_faults_t *faults, const char *key);

/**
 * Counts a request in the fault `count`; a negative value sets no limit.
 * @return whether the faults apply to this request
 */
int
standin_faults_count_request(standin_faults_t *faults);

/** Returns the refusal that the fault `refuse` names and counts the request;
 * STANDIN_REFUSAL_NONE if it names none or `count` is used up. */
standin_refusal_t
standin_faults_next_refusal(standin_faults_t *faults);

/** Returns whether the boolean value of a key is true. */
int
standin_faults_is_on(standin_faults_t *faults, const char *key);

/** Handles `GET /faults`. */
int
standin_faults_handle_get(standin_faults_t *faults,
                          struct _u_response *response);

/** Handles `PUT /faults`. */
int
standin_faults_handle_put(standin_faults_t *faults,
                          const struct _u_request *request,
                          struct _u_response *response);

#endif
