/** @file host_stop.c @brief Which requests a host takes while it stops. */
#include "host_stop.h"

/** Weights of an answer that took longer than the usual long ones, and of
 * another one. */
#define LONGER_WEIGHT 0.5
#define SHORTER_WEIGHT 0.02
/** Multiple of its usual time that a request needs which must not be repeated.
 */
#define UNREPEATABLE_FACTOR 2

static double *
long_time_of(const pps_exchange_t *exchange)
{
    return &exchange->upstream_state
                ->long_times_us[exchange->route->class_index %
                                PPS_ROLLOUT_KINDS];
}

void
pps_host_stop_note_answer(const pps_exchange_t *exchange, int64_t elapsed_us)
{
    double *long_us = long_time_of(exchange);
    double change_us = (double)elapsed_us - *long_us;

    *long_us += change_us * (change_us > 0 ? LONGER_WEIGHT : SHORTER_WEIGHT);
}

int
pps_host_stop_leaves_time(const pps_exchange_t *exchange)
{
    const pps_dispatcher_t *dispatcher = exchange->dispatcher;
    int64_t left_us = dispatcher->stops_us - dispatcher->reactor->now_us;
    double usual_us = *long_time_of(exchange);

    if (dispatcher->stops_us == 0) {
        return 1;
    }
    if (usual_us == 0) {
        usual_us = (double)exchange->route->target_us;
    }
    if (!pps_exchange_is_repeatable(exchange)) {
        usual_us *= UNREPEATABLE_FACTOR;
    }
    return usual_us < (double)left_us;
}
