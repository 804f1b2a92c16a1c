/** @file assembler.c @brief Reorders tokens and checks the finish. */
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
} waiting_t;

void
pps_assembler_init(pps_assembler_t *assembler, const char *request_id)
{
    memset(assembler, 0, sizeof(*assembler));
    assembler->request_id = request_id;
    CDS_INIT_LIST_HEAD(&assembler->waiting);
}

/* @return the place behind which the index belongs, or NULL if it is there */
static struct cds_list_head *
find_place(pps_assembler_t *assembler, uint64_t index)
{
    struct cds_list_head *at = assembler->waiting.prev;

    while (at != &assembler->waiting) {
        const waiting_t *other = cds_list_entry(at, waiting_t, node);

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
keep(pps_assembler_t *assembler, const pps_engine_event_t *event)
{
    struct cds_list_head *place = find_place(assembler, event->index);
    size_t size = strlen(event->text) + 1;
    waiting_t *waiting;

    if (place == NULL) {
        return PPS_OK;
    }
    if (assembler->waiting_count >= PPS_ASSEMBLER_WAITING_MAX) {
        return pps_error_set(PPS_ECORRUPT,
                             "token %" PRIu64 " is missing behind %d others",
                             assembler->next, assembler->waiting_count);
    }
    waiting = malloc(sizeof(*waiting) + size);
    if (waiting == NULL) {
        return pps_error_set(PPS_ENOMEM, "answer: out of memory");
    }
    waiting->index = event->index;
    memcpy(waiting->text, event->text, size);
    cds_list_add(&waiting->node, place);
    assembler->waiting_count++;
    return PPS_OK;
}

static void
drop(pps_assembler_t *assembler, waiting_t *waiting)
{
    cds_list_del(&waiting->node);
    assembler->waiting_count--;
    free(waiting);
}

static int
emit_in_order(pps_assembler_t *assembler,
              int (*emit)(const char *text, void *user), void *user)
{
    waiting_t *first;
    waiting_t *next;

    cds_list_for_each_entry_safe (first, next, &assembler->waiting, node) {
        int error;

        if (first->index != assembler->next) {
            break;
        }
        error = emit(first->text, user);
        drop(assembler, first);
        if (error < 0) {
            return error;
        }
        assembler->next++;
    }
    return PPS_OK;
}

static int
take_token(pps_assembler_t *assembler, const pps_engine_event_t *event,
           int (*emit)(const char *text, void *user), void *user)
{
    int error;

    if (event->index < assembler->next) {
        return PPS_OK;
    }
    if (event->index > assembler->next) {
        return keep(assembler, event);
    }
    error = emit(event->text, user);
    if (error < 0) {
        return error;
    }
    assembler->next++;
    return emit_in_order(assembler, emit, user);
}

static int
take_finish(pps_assembler_t *assembler, const pps_engine_event_t *event)
{
    if (event->generated_tokens < assembler->next) {
        return pps_error_set(PPS_ECORRUPT,
                             "finish after %" PRIu64 " tokens tells %" PRIu64,
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
        return take_finish(assembler, event);
    }
    return take_token(assembler, event, emit, user);
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
    waiting_t *waiting;
    waiting_t *next;

    cds_list_for_each_entry_safe (waiting, next, &assembler->waiting, node) {
        drop(assembler, waiting);
    }
}
