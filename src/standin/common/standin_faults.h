/**
 * @file standin_faults.h
 * @brief Faults that a test switches on over HTTP.
 *
 * The set of faults is a JSON object of integers, numbers, texts and
 * booleans; its defaults name the keys and their types. A PUT changes the
 * keys that it names; `"reset": true` first puts all back to the defaults.
 */
#ifndef STANDIN_FAULTS_H
#define STANDIN_FAULTS_H

#include "http_listener.h"
#include "standin_refusal.h"

#include <pthread.h>

/** The faults in force. */
typedef struct {
    pthread_mutex_t lock;
    json_t *defaults;
    json_t *values;
    void (*changed)(const json_t *change, void *user); /**< or NULL */
    void *user;
} standin_faults_t;

/** Starts with the defaults; takes the reference of `defaults`. */
int
standin_faults_init(standin_faults_t *faults, json_t *defaults);

/** Frees what the faults hold. */
void
standin_faults_clear(standin_faults_t *faults);

/** Changes the values that `change` names. @return 0 or PPS_EINVALID */
int
standin_faults_change(standin_faults_t *faults, const json_t *change);

/** The integer value of a key. */
int64_t
standin_faults_int(standin_faults_t *faults, const char *key);

/** A copy of all values. */
json_t *
standin_faults_copy(standin_faults_t *faults);

/** Whether the text value of a key is `text`. */
int
standin_faults_is(standin_faults_t *faults, const char *key, const char *text);

/** Uses up one of a counted fault. @return whether there was one left */
int
standin_faults_take(standin_faults_t *faults, const char *key);

/**
 * Uses up one of `count`, where -1 never ends.
 * @return whether the faults concern this request
 */
int
standin_faults_affect(standin_faults_t *faults);

/** The refusal that `refuse` asks for; counted by `count`. */
standin_refusal_t
standin_faults_refusal(standin_faults_t *faults);

/** Whether a boolean fault is on. */
int
standin_faults_on(standin_faults_t *faults, const char *key);

/** Answers `GET /faults`. */
int
standin_faults_get(standin_faults_t *faults, struct _u_response *response);

/** Answers `PUT /faults`. */
int
standin_faults_put(standin_faults_t *faults, const struct _u_request *request,
                   struct _u_response *response);

#endif
