/** @file service.c @brief Manages the slots and the load of the service. */
#include "service.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <string.h>

static json_t *
load_json(const service_t *service)
{
    return json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:b}", "id",
                     service->options.id, "upstream",
                     service->options.upstream, "failure_domain",
                     service->options.failure_domain, "slots",
                     service->options.slots, "running", service->running,
                     "queued", 0, "draining", service->draining);
}

int
service_init(service_t *service, const service_options_t *options)
{
    int error;

    memset(service, 0, sizeof(*service));
    service->options = *options;
    pthread_mutex_init(&service->lock, NULL);
    call_store_init(&service->calls);
    error = standin_faults_init(&service->faults,
                                json_pack("{s:s,s:i,s:i,s:i,s:b}", "refuse",
                                          "none", "count", -1, "lose_answer",
                                          0, "delay_ms", 0, "silent", 0));
    if (error == 0) {
        error = standin_lagged_init(&service->load,
                                    options->load_lag_ms * PPS_US_PER_MS,
                                    load_json(service));
    }
    return error;
}

void
service_clear(service_t *service)
{
    standin_lagged_clear(&service->load);
    standin_faults_clear(&service->faults);
    call_store_clear(&service->calls);
    pthread_mutex_destroy(&service->lock);
}

standin_refusal_t
service_acquire_slot(service_t *service)
{
    standin_refusal_t refusal = STANDIN_REFUSAL_NONE;

    pthread_mutex_lock(&service->lock);
    if (service->draining) {
        refusal = STANDIN_REFUSAL_DRAINING;
    }
    else if (service->running >= service->options.slots) {
        refusal = STANDIN_REFUSAL_FULL;
    }
    else {
        service->running++;
        standin_lagged_set(&service->load, load_json(service));
    }
    pthread_mutex_unlock(&service->lock);
    return refusal;
}

void
service_release_slot(service_t *service)
{
    pthread_mutex_lock(&service->lock);
    service->running--;
    standin_lagged_set(&service->load, load_json(service));
    pthread_mutex_unlock(&service->lock);
}

void
service_set_draining(service_t *service, int draining)
{
    pthread_mutex_lock(&service->lock);
    service->draining = draining;
    standin_lagged_set(&service->load, load_json(service));
    pthread_mutex_unlock(&service->lock);
}
