/** @file service_dispatch.c @brief Sends a service call to chosen workers. */
#include "service_dispatch.h"

#include "clock.h"
#include "counters.h"
#include "event.h"
#include "papayaswitch/errors.h"

static int
choose_worker(pps_service_call_t *service)
{
    pps_choice_worker_input_t input = PPS_CHOICE_WORKER_INPUT_INIT;

    input.workers = service->workers;
    input.upstream = service->upstream->name;
    input.failure_domain = service->call.router->settings.failure_domain;
    input.tried.names = service->tried;
    input.tried.count = service->tried_count;
    input.now_us = pps_clock_now_us();
    input.rng = &service->call.rng;
    return pps_choice_select_worker(&service->choice, &input);
}

static int
time_left_ms(const pps_service_call_t *service)
{
    int64_t left_ms =
        (service->call.deadline_us - pps_clock_now_us()) / PPS_US_PER_MS;
    int timeout_ms = service->call.router->settings.answer_timeout_ms;

    return left_ms < timeout_ms ? (int)left_ms : timeout_ms;
}

static int
send_once(pps_service_call_t *service)
{
    pps_router_t *router = service->call.router;
    const pps_worker_t *worker = service->choice.worker;
    pps_refusal_answer_t refusal = {PPS_REFUSAL_NONE, -1};
    int timeout_ms = time_left_ms(service);
    int error;

    if (timeout_ms <= 0) {
        return pps_error_set(PPS_ELIMIT, "the deadline has passed");
    }
    if (!pps_call_may_use_service(&service->call, service->upstream->name)) {
        return pps_error_set(PPS_ECLOSED, "this host starts no work now");
    }
    pps_event_record(
        "service_called",
        PPS_FIELDS(PPS_STR("request", service->call.request_id),
                   PPS_STR("workspace", service->call.workspace->name),
                   PPS_STR("worker", worker->id),
                   PPS_STR("key", service->key ? service->key : ""),
                   PPS_INT("fencing", service->request.fencing)));
    pps_worker_begin_request(worker);
    error = router->service->call(router->service, &service->answer,
                                  worker->address, worker->port,
                                  &service->request, timeout_ms, &refusal);
    pps_worker_end_request(worker);
    if (error == 0) {
        pps_worker_record_success(worker, NULL);
        return PPS_OK;
    }
    pps_counter_add(PPS_COUNTER_WORKER_REFUSALS, 1);
    pps_worker_record_refusal(worker,
                              error == PPS_EREFUSED   ? refusal.reason
                              : error == PPS_ETIMEOUT ? PPS_REFUSAL_SILENT
                                                      : PPS_REFUSAL_BROKEN,
                              NULL, pps_clock_now_us(), 0);
    return error;
}

static int
is_known_not_run(int error)
{
    return error == PPS_EREFUSED || error == PPS_EUNAVAILABLE;
}

int
pps_service_dispatch(pps_service_call_t *service)
{
    int result = PPS_EUNAVAILABLE;

    while (service->tried_count < PPS_SERVICE_ATTEMPTS_MAX) {
        int error = choose_worker(service);

        if (error < 0 || (service->tried_count > 0 &&
                          !pps_call_may_retry(&service->call))) {
            return result;
        }
        service->tried[service->tried_count++] = service->choice.worker->id;
        error = send_once(service);
        if (error == PPS_ECLOSED || error == PPS_ELIMIT) {
            return result;
        }
        if (error == 0 ||
            (service->request.once && !is_known_not_run(error))) {
            return error;
        }
        result = is_known_not_run(error) ? result : error;
    }
    return result;
}
