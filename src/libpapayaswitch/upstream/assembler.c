/** @file assembler.c @brief Reorders tokens and checks the finish event. */
#include "assembler.h"

#include "papayaswitch/errors.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
    struct cds_list_head node;
    uint64_t index;
    char text[];
} buffered_token_t;

void
pps_assembler_init(pps_assembler_t *assembler, const char *request_id)
{
    memset(assembler, 0, sizeof(*assembler));
    assembler->request_id = request_id;
    CDS_INIT_LIST_HEAD(&assembler->buffered);
}

/* @return the node after which to insert the index; NULL: already buffered */
static struct cds_list_head *
find_position(pps_assembler_t *assembler, uint64_t index)
{
    struct cds_list_head *at = assembler->buffered.prev;

    while (at != &assembler->buffered) {
        const buffered_token_t *other =
            cds_list_entry(at, buffered_token_t, node);

        if (other->index == index) {
            return NULL;
        }
        if (other->index < index) {
            break;
        }
        at = at->prev;
    }
    return at;
}

static int
buffer_token(pps_assembler_t *assembler, const pps_engine_event_t *event)
{
    struct cds_list_head *position = find_position(assembler, event->index);
    size_t size = strlen(event->text) + 1;
    buffered_token_t *buffered;

    if (position == NULL) {
        return PPS_OK;
    }
    if (assembler->buffered_count >= PPS_ASSEMBLER_BUFFERED_MAX) {
        return pps_error_set(PPS_ECORRUPT,
                             "token %" PRIu64
                             " is missing before %d buffered tokens",
                             assembler->next, assembler->buffered_count);
    }
    buffered = malloc(sizeof(*buffered) + size);
    if (buffered == NULL) {
        return pps_error_set(PPS_ENOMEM, "answer: out of memory");
    }
    buffered->index = event->index;
    memcpy(buffered->text, event->text, size);
    cds_list_add(&buffered->node, position);
    assembler->buffered_count++;
    return PPS_OK;
}

static void
remove_buffered(pps_assembler_t *assembler, buffered_token_t *buffered)
{
    cds_list_del(&buffered->node);
    assembler->buffered_count--;
    free(buffered);
}

static int
emit_in_order(pps_assembler_t *assembler,
              int (*emit)(const char *text, void *user), void *user)
{
    buffered_token_t *first;
    buffered_token_t *next;

    cds_list_for_each_entry_safe (first, next, &assembler->buffered, node) {
        int error;

        if (first->index != assembler->next) {
            break;
        }
        error = emit(first->text, user);
        remove_buffered(assembler, first);
        if (error < 0) {
            return error;
        }
        assembler->next++;
    }
    return PPS_OK;
}

static int
add_token(pps_assembler_t *assembler, const pps_engine_event_t *event,
          int (*emit)(const char *text, void *user), void *user)
{
    int error;

    if (event->index < assembler->next) {
        return PPS_OK;
    }
    if (event->index > assembler->next) {
        return buffer_token(assembler, event);
    }
    error = emit(event->text, user);
    if (error < 0) {
        return error;
    }
    assembler->next++;
    return emit_in_order(assembler, emit, user);
}

static int
add_finish(pps_assembler_t *assembler, const pps_engine_event_t *event)
{
    if (event->generated_tokens < assembler->next) {
        return pps_error_set(PPS_ECORRUPT,
                             "finish event after %" PRIu64
                             " tokens reports %" PRIu64 " tokens",
                             assembler->next, event->generated_tokens);
    }
    assembler->finished = 1;
    assembler->prompt_tokens = event->prompt_tokens;
    assembler->generated_tokens = event->generated_tokens;
    snprintf(assembler->finish_reason, sizeof(assembler->finish_reason), "%s",
             event->finish_reason);
    return PPS_OK;
}

int
pps_assembler_add(pps_assembler_t *assembler, const pps_engine_event_t *event,
                  int (*emit)(const char *text, void *user), void *user)
{
    if (strcmp(event->request_id, assembler->request_id) != 0) {
        return pps_error_set(PPS_ECORRUPT, "event of another request");
    }
    if (event->kind == PPS_ENGINE_FINISH) {
        return add_finish(assembler, event);
    }
    return add_token(assembler, event, emit, user);
}

int
pps_assembler_is_complete(const pps_assembler_t *assembler)
{
    return assembler->finished &&
           assembler->next == assembler->generated_tokens;
}

void
pps_assembler_restart(pps_assembler_t *assembler)
{
    pps_assembler_clear(assembler);
    assembler->finished = 0;
}

void
pps_assembler_clear(pps_assembler_t *assembler)
{
    buffered_token_t *buffered;
    buffered_token_t *next;

    cds_list_for_each_entry_safe (buffered, next, &assembler->buffered, node) {
        remove_buffered(assembler, buffered);
    }
}
