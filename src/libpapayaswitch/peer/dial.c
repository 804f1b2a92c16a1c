/** @file dial.c @brief Schedules connection attempts to one host. */
#include "peer/dial.h"

#include "papayaswitch/host.h"

#include <string.h>

/* One failure of the link that timed out and one of its replacement. */
#define SUSPECT_FAILURES_MIN 2

void
pps_dial_init(pps_dial_t *dial, int64_t now_us)
{
    memset(dial, 0, sizeof(*dial));
    dial->attempt_us = PPS_TIME_NONE;
    dial->attempt_pong_us = PPS_TIME_NONE;
    dial->retry_us = now_us;
    dial->backoff_us = PPS_DIAL_BACKOFF_MIN_US;
    dial->last_pong_us = now_us;
}

int
pps_dial_is_due(const pps_dial_t *dial, int64_t now_us)
{
    return dial->attempt_us == PPS_TIME_NONE && now_us >= dial->retry_us;
}

void
pps_dial_begin(pps_dial_t *dial, int64_t now_us)
{
    dial->attempt_us = now_us;
    dial->attempt_pong_us = PPS_TIME_NONE;
}

void
pps_dial_record_pong(pps_dial_t *dial, int64_t now_us, int on_attempt)
{
    dial->last_pong_us = now_us;
    dial->failures = 0;
    if (on_attempt) {
        dial->attempt_pong_us = now_us;
        dial->backoff_us = PPS_DIAL_BACKOFF_MIN_US;
    }
}

int
pps_dial_has_timed_out(const pps_dial_t *dial, int64_t now_us)
{
    int64_t since = dial->attempt_pong_us != PPS_TIME_NONE
                        ? dial->attempt_pong_us
                        : dial->attempt_us;

    return dial->attempt_us != PPS_TIME_NONE &&
           now_us - since >= PPS_DIAL_PONG_TIMEOUT_US;
}

void
pps_dial_end(pps_dial_t *dial, int64_t now_us, pps_rng_t *rng)
{
    dial->failures++;
    if (dial->attempt_pong_us != PPS_TIME_NONE) {
        dial->retry_us = now_us;
    }
    else {
        dial->retry_us =
            now_us + dial->backoff_us / 2 +
            (int64_t)pps_rng_below(rng, (uint64_t)dial->backoff_us / 2);
        dial->backoff_us *= 2;
        if (dial->backoff_us > PPS_DIAL_BACKOFF_MAX_US) {
            dial->backoff_us = PPS_DIAL_BACKOFF_MAX_US;
        }
    }
    dial->attempt_us = PPS_TIME_NONE;
    dial->attempt_pong_us = PPS_TIME_NONE;
}

void
pps_dial_retry_now(pps_dial_t *dial, int64_t now_us)
{
    dial->retry_us = now_us;
    dial->backoff_us = PPS_DIAL_BACKOFF_MIN_US;
}

int
pps_dial_is_suspected(const pps_dial_t *dial, int64_t now_us)
{
    return dial->failures >= SUSPECT_FAILURES_MIN &&
           now_us - dial->last_pong_us >= PPS_DIAL_PONG_TIMEOUT_US;
}
