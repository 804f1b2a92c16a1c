/** @file load_caller.c @brief Retries a request at the next entry host. */
#include "load_caller.h"

#include "clock.h"
#include "load_attempt.h"

#define ATTEMPTS_MAX 8
#define RETRY_WAIT_MAX_S 5
#define UNREACHABLE_WAIT_US (100 * PPS_US_PER_MS)
#define JITTER_US (100 * PPS_US_PER_MS)

/* Returns the wait before the next attempt, or -1 if the verdict is final. */
static int64_t
retry_wait_us(load_verdict_t verdict, const load_answer_t *answer,
              pps_rng_t *rng)
{
    int64_t jitter_us = (int64_t)pps_rng_below(rng, JITTER_US);

    if (verdict == LOAD_UNREACHABLE) {
        return UNREACHABLE_WAIT_US + jitter_us;
    }
    if (verdict != LOAD_REFUSED || answer->retry_after_s < 0) {
        return -1;
    }
    if (answer->retry_after_s > RETRY_WAIT_MAX_S) {
        return RETRY_WAIT_MAX_S * PPS_US_PER_S + jitter_us;
    }
    return answer->retry_after_s * PPS_US_PER_S + jitter_us;
}

static void
set_latencies(load_outcome_t *outcome, const load_request_t *request,
              const load_answer_t *answer)
{
    int64_t now_us = pps_clock_now_us();

    outcome->total_us = now_us - request->due_us;
    if (answer->first_text_us > 0) {
        outcome->first_text_us = answer->first_text_us - request->due_us;
    }
}

void
load_caller_run(CURL *curl, load_request_t *request, load_report_t *report)
{
    const load_options_t *options = request->options;
    uint64_t entry_index = pps_rng_below(&request->rng, options->entry_count);
    load_outcome_t outcome = {0};

    for (;;) {
        load_answer_t answer;
        int64_t wait_us;

        load_answer_init(&answer);
        outcome.entry = options->entries[entry_index % options->entry_count];
        outcome.sent_wall_us = pps_clock_wall_us();
        outcome.verdict =
            load_attempt_run(curl, request, outcome.entry, &answer);
        wait_us = retry_wait_us(outcome.verdict, &answer, &request->rng);
        if (wait_us < 0 || outcome.retries + 1 == ATTEMPTS_MAX) {
            set_latencies(&outcome, request, &answer);
            load_report_add(report, request, &answer, &outcome);
            load_answer_clear(&answer);
            return;
        }
        load_answer_clear(&answer);
        pps_clock_sleep_us(wait_us);
        outcome.retries++;
        entry_index++;
    }
}
