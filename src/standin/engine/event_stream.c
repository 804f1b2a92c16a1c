/** @file event_stream.c @brief Sends server-sent events and applies faults. */
#include "event_stream.h"

#include "buf.h"
#include "clock.h"
#include "papayaswitch/errors.h"
#include "standin_server.h"
#include "standin_text.h"

#include <stdlib.h>
#include <string.h>

#define BLOCK_BYTES 16384
#define SILENCE_US (120 * PPS_US_PER_S)
#define FOREIGN_ID "foreign-request"
#define FOREIGN_POSITION 1 /* of the token after the foreign event */
#define SWAP_POSITION 1    /* position of the first of the swapped tokens */

typedef struct {
    engine_t *engine;
    run_t *run;
    fault_plan_t plan;
    uint64_t next;     /**< index of the next token to send */
    int ended;         /**< whether the last event was put in `pending` */
    pps_buf_t pending; /**< encoded events that are not sent yet */
} event_stream_t;

run_state_t
event_stream_wait(engine_t *engine, run_t *run, uint64_t end,
                  uint64_t *produced)
{
    scheduler_t *scheduler = &engine->scheduler;
    run_state_t state;

    pthread_mutex_lock(&scheduler->lock);
    while (run->state == RUN_RUNNING && run->produced < end &&
           !standin_server_is_stopping()) {
        standin_server_wait(&scheduler->stepped, &scheduler->lock);
    }
    *produced = run->produced;
    state = standin_server_is_stopping() ? RUN_CANCELLED : run->state;
    pthread_mutex_unlock(&scheduler->lock);
    return state;
}

static void
put_event(event_stream_t *stream, json_t *event)
{
    char *text = json_dumps(event, JSON_COMPACT);

    if (text != NULL) {
        pps_buf_printf(&stream->pending, "data: %s\n\n", text);
    }
    free(text);
    json_decref(event);
}

static void
put_token(event_stream_t *stream, const char *request_id, uint64_t key,
          uint64_t index)
{
    char text[STANDIN_TOKEN_BYTES];

    standin_text_token(text, key, index);
    put_event(stream, json_pack("{s:s,s:I,s:s}", "request_id", request_id,
                                "index", (json_int_t)index, "text", text));
}

static void
put_finish(event_stream_t *stream)
{
    const run_t *run = stream->run;

    put_event(stream,
              json_pack("{s:s,s:s,s:I,s:I}", "request_id", run->request_id,
                        "finish", "stop", "prompt_tokens",
                        (json_int_t)run->prompt_tokens, "generated_tokens",
                        (json_int_t)run->total));
    pps_buf_puts(&stream->pending, "data: [DONE]\n\n");
    stream->ended = 1;
}

static void
put_next_token(event_stream_t *stream)
{
    const char *id = stream->run->request_id;
    uint64_t key = stream->run->key;
    uint64_t position = stream->next - stream->run->first;

    if (stream->plan.foreign_id && position == FOREIGN_POSITION) {
        put_token(stream, FOREIGN_ID, ~key, stream->next);
    }
    if (stream->plan.out_of_order && position == SWAP_POSITION &&
        stream->next + 1 < stream->run->total) {
        put_token(stream, id, key, stream->next + 1);
        put_token(stream, id, key, stream->next);
        stream->next += 2;
        return;
    }
    put_token(stream, id, key, stream->next);
    stream->next++;
}

/* @return 0, or what the stream callback returns to end the stream */
static ssize_t
apply_due_fault(event_stream_t *stream)
{
    const run_t *run = stream->run;
    const fault_plan_t *plan = &stream->plan;
    uint64_t sent = stream->next - run->first;

    if (sent == 0 && plan->delay_first_us > 0) {
        standin_server_sleep_us(plan->delay_first_us);
        stream->plan.delay_first_us = 0;
    }
    if (plan->break_after >= 0 && sent >= (uint64_t)plan->break_after) {
        return U_STREAM_ERROR;
    }
    if (plan->silent_after >= 0 && sent >= (uint64_t)plan->silent_after) {
        standin_server_sleep_us(SILENCE_US);
        return U_STREAM_ERROR;
    }
    if (plan->truncate_without_done && sent >= (run->total - run->first) / 2) {
        return U_STREAM_END;
    }
    return 0;
}

static ssize_t
fill_pending(event_stream_t *stream)
{
    ssize_t result = apply_due_fault(stream);
    uint64_t end = stream->next + 1;
    uint64_t produced;
    run_state_t state;

    if (result != 0) {
        return result;
    }
    if (stream->plan.out_of_order) {
        end++;
    }
    state = event_stream_wait(stream->engine, stream->run, end, &produced);
    if (state == RUN_CANCELLED) {
        return U_STREAM_ERROR;
    }
    if (stream->next < produced) {
        put_next_token(stream);
    }
    else {
        put_finish(stream);
    }
    return stream->pending.failed ? U_STREAM_ERROR : 0;
}

static ssize_t
stream_read(void *user, uint64_t offset, char *out, size_t max)
{
    event_stream_t *stream = user;
    size_t size;

    if (stream->pending.size == 0) {
        ssize_t result = stream->ended ? U_STREAM_END : fill_pending(stream);

        if (result != 0) {
            return result;
        }
    }
    size = stream->pending.size < max ? stream->pending.size : max;
    memcpy(out, stream->pending.data, size);
    pps_buf_consume(&stream->pending, size);
    return (ssize_t)size;
}

static void
stream_free(void *user)
{
    event_stream_t *stream = user;

    scheduler_release(&stream->engine->scheduler, stream->run);
    pps_buf_clear(&stream->pending);
    free(stream);
}

int
event_stream_reply(engine_t *engine, run_t *run, const fault_plan_t *plan,
                   struct _u_response *response)
{
    event_stream_t *stream = calloc(1, sizeof(*stream));

    if (stream == NULL) {
        scheduler_release(&engine->scheduler, run);
        return pps_error_set(PPS_ENOMEM, "stream: out of memory");
    }
    stream->engine = engine;
    stream->run = run;
    stream->plan = *plan;
    stream->next = run->first;
    u_map_put(response->map_header, "Content-Type", "text/event-stream");
    if (ulfius_set_stream_response(response, 200, stream_read, stream_free,
                                   U_STREAM_SIZE_UNKNOWN, BLOCK_BYTES,
                                   stream) != U_OK) {
        stream_free(stream);
        return pps_error_set(PPS_EGENERIC,
                             "stream: ulfius did not accept the response");
    }
    return PPS_OK;
}
