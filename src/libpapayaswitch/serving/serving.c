/** @file serving.c @brief Shares the serving verdict with traffic threads. */
#include "papayaswitch/serving.h"

static const char *const reason_names[] = {
    [PPS_SERVING_NOT_STARTED] = "not_started",
    [PPS_SERVING_OWN_EVIDENCE] = "own_evidence",
    [PPS_SERVING_PEER_EVIDENCE] = "peer_evidence",
    [PPS_SERVING_MAJORITY] = "majority",
    [PPS_SERVING_BEHIND] = "behind",
    [PPS_SERVING_NO_STATE] = "no_state",
    [PPS_SERVING_ISOLATED] = "isolated",
};

void
pps_serving_init(pps_serving_t *serving)
{
    atomic_init(&serving->valid_until_us, 0);
    atomic_init(&serving->reason, PPS_SERVING_NOT_STARTED);
}

void
pps_serving_publish(pps_serving_t *serving,
                    const pps_serving_verdict_t *verdict)
{
    atomic_store(&serving->reason, (int)verdict->reason);
    atomic_store(&serving->valid_until_us, verdict->valid_until_us);
}

int
pps_serving_may_start(const pps_serving_t *serving, int64_t now_us)
{
    return now_us < atomic_load(&serving->valid_until_us);
}

const char *
pps_serving_reason(const pps_serving_t *serving, int64_t now_us)
{
    int reason = atomic_load(&serving->reason);
    int64_t valid_until = atomic_load(&serving->valid_until_us);

    if (valid_until != 0 && now_us >= valid_until) {
        return "expired";
    }
    return reason_names[reason];
}
