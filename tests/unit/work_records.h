/** @file work_records.h @brief Writes records of `work` to a fake log. */
#ifndef PPS_TESTS_WORK_RECORDS_H
#define PPS_TESTS_WORK_RECORDS_H

#include "fake_log.h"
#include "papayaswitch/work_fold.h"

#include <criterion/criterion.h>

static fake_log_t logged;

/** Checks the result of an encoding, then stores the record and frees it.
 * @return its offset */
static uint64_t
store(int error, void *data, size_t size)
{
    cr_assert_eq(error, 0);
    fake_log_store(&logged, data, size);
    free(data);
    return logged.count - 1;
}

static uint64_t
put_claim(const char *key, const char *host, uint64_t incarnation,
          uint64_t attempt)
{
    pps_claim_t claim = {.workspace = "ministry",
                         .incarnation = incarnation,
                         .attempt = attempt,
                         .request_id = "r"};
    void *data;
    size_t size;
    int error;

    strcpy(claim.key, key);
    strcpy(claim.host, host);
    error = pps_claim_encode(&data, &size, &claim);
    return store(error, data, size);
}

static uint64_t
put_outcome(const char *key, uint64_t offset, pps_outcome_state_t state,
            size_t body_size)
{
    pps_outcome_t outcome = {.workspace = "ministry",
                             .claim_offset = offset,
                             .state = state,
                             .status = 200,
                             .content_type = "text/plain"};
    char *body = calloc(1, body_size + 1);
    void *data;
    size_t size;
    int error;

    memset(body, 'x', body_size);
    outcome.body = body;
    outcome.body_size = body_size;
    strcpy(outcome.key, key);
    error = pps_outcome_encode(&data, &size, &outcome);
    free(body);
    return store(error, data, size);
}

static uint64_t
put_pin(const char *session, const char *version, uint32_t idle_s)
{
    pps_pin_t pin = {.workspace = "ministry", .host = "a", .idle_s = idle_s};
    void *data;
    size_t size;
    int error;

    strcpy(pin.session, session);
    strcpy(pin.version, version);
    error = pps_pin_encode(&data, &size, &pin);
    return store(error, data, size);
}

static void
put_touch(const char *session)
{
    pps_touch_t touch = {.workspace = "ministry"};
    void *data;
    size_t size;
    int error;

    strcpy(touch.session, session);
    error = pps_touch_encode(&data, &size, &touch, 1);
    store(error, data, size);
}

#endif
