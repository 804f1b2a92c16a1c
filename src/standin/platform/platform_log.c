/** @file platform_log.c @brief HTTP handlers of the log, with its faults. */
#include "platform.h"

#include "clock.h"
#include "papayaswitch/errors.h"
#include "standin_refusal.h"
#include "standin_request.h"
#include "standin_server.h"

#define LIMIT_DEFAULT 1000
#define WAIT_MS_MAX 10000
#define SILENCE_US (30 * PPS_US_PER_S)

/* Applies the values `down`, `silent` and `slow` of the fault `log`.
 * @return whether the request is to be processed */
static int
apply_log_fault(platform_t *platform, const struct _u_request *request,
                struct _u_response *response)
{
    if (standin_faults_has_text(&platform->faults, "log", "down")) {
        standin_refuse(response, STANDIN_REFUSAL_DOWN);
        return 0;
    }
    if (standin_faults_has_text(&platform->faults, "log", "silent")) {
        standin_server_sleep_us(SILENCE_US);
        standin_request_abort(request);
        return 0;
    }
    if (standin_faults_has_text(&platform->faults, "log", "slow")) {
        standin_server_sleep_us(
            standin_faults_int(&platform->faults, "slow_ms") * PPS_US_PER_MS);
    }
    return 1;
}

/* Hides a successful append from the caller: closes the connection for an
 * even offset, answers 500 for an odd one. */
static int
drop_response(const struct _u_request *request, struct _u_response *response,
              uint64_t offset)
{
    if (offset % 2 == 0) {
        standin_request_abort(request);
        return U_CALLBACK_COMPLETE;
    }
    return standin_refuse(response, STANDIN_REFUSAL_BROKEN);
}

static int
must_drop_response(platform_t *platform)
{
    return standin_faults_use_one(&platform->faults, "drop_acks") ||
           standin_faults_has_text(&platform->faults, "log", "drop_acks");
}

static int
reply_append(int error, struct _u_response *response, uint64_t offset,
             size_t count)
{
    if (error == PPS_ELIMIT) {
        return standin_refuse(response, STANDIN_REFUSAL_RATE_LIMITED);
    }
    if (error == PPS_EINVALID) {
        return standin_refuse_malformed(response);
    }
    if (error < 0) {
        return standin_refuse(response, STANDIN_REFUSAL_BROKEN);
    }
    pps_http_reply_json(response, 200,
                        json_pack("{s:I,s:I}", "offset", (json_int_t)offset,
                                  "count", (json_int_t)count));
    return U_CALLBACK_COMPLETE;
}

int
platform_log_append(const struct _u_request *request,
                    struct _u_response *response, void *user)
{
    platform_t *platform = user;
    json_t *body;
    const json_t *records;
    uint64_t offset = 0;
    int error;

    if (!apply_log_fault(platform, request, response)) {
        return U_CALLBACK_COMPLETE;
    }
    body = standin_request_json(request);
    records = json_object_get(body, "records");
    error = log_service_append(&platform->log,
                               u_map_get(request->map_url, "stream"), records,
                               &offset);
    if (error == 0 && must_drop_response(platform)) {
        drop_response(request, response, offset);
    }
    else {
        reply_append(error, response, offset, json_array_size(records));
    }
    json_decref(body);
    return U_CALLBACK_COMPLETE;
}

static log_read_t
read_bounds(const struct _u_request *request)
{
    int64_t wait_ms = standin_request_int(request, "wait_ms", 0);
    int64_t limit = standin_request_int(request, "limit", LIMIT_DEFAULT);
    log_read_t read = {
        .from = (uint64_t)standin_request_int(request, "from", 0),
        .limit = limit < 0 ? 0 : (uint64_t)limit,
        .wait_us =
            (wait_ms > WAIT_MS_MAX ? WAIT_MS_MAX : wait_ms) * PPS_US_PER_MS,
    };

    return read;
}

int
platform_log_read(const struct _u_request *request,
                  struct _u_response *response, void *user)
{
    platform_t *platform = user;
    const log_read_t read = read_bounds(request);
    json_t *body;
    int error;

    if (!apply_log_fault(platform, request, response)) {
        return U_CALLBACK_COMPLETE;
    }
    error = log_service_read(&platform->log, &body,
                             u_map_get(request->map_url, "stream"), &read);
    if (body == NULL) {
        return standin_refuse(response, STANDIN_REFUSAL_BROKEN);
    }
    /* The fault may have been set while the read waited. */
    if (standin_faults_has_text(&platform->faults, "log", "down")) {
        json_decref(body);
        return standin_refuse(response, STANDIN_REFUSAL_DOWN);
    }
    pps_http_reply_json(response, error == PPS_EEXPIRED ? 410 : 200, body);
    return U_CALLBACK_COMPLETE;
}
