/** @file run.c @brief Creates, advances and frees generations. */
#include "run.h"

#include "papayaswitch/errors.h"
#include "standin_text.h"

#include <stdlib.h>
#include <string.h>

int
run_new(run_t **out, const generate_request_t *request)
{
    run_t *run = calloc(1, sizeof(*run));

    if (run == NULL || (run->request_id = strdup(request->request_id)) == 0) {
        free(run);
        return pps_error_set(PPS_ENOMEM, "run: out of memory");
    }
    CDS_INIT_LIST_HEAD(&run->node);
    run->key = standin_text_key(request->version, request->prompt);
    run->total =
        standin_text_length(request->prompt, (uint64_t)request->max_tokens);
    run->prompt_tokens = standin_text_prompt_tokens(request->prompt);
    run->first = (uint64_t)request->resume_from;
    if (run->first > run->total) {
        run->first = run->total;
    }
    run->produced = run->first;
    run->priority = request->priority;
    run->state = RUN_RUNNING;
    run->reference_count = 1;
    *out = run;
    return PPS_OK;
}

void
run_unref(run_t *run)
{
    if (--run->reference_count > 0) {
        return;
    }
    free(run->request_id);
    free(run);
}

int
run_step(run_t *run, int64_t step_us)
{
    if (run->prefill_us > 0) {
        run->prefill_us -= step_us;
        return 0;
    }
    if (run->produced < run->total) {
        run->produced++;
        run->entry->token_count++;
    }
    return run->produced == run->total;
}
