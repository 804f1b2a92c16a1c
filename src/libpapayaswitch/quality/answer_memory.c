/** @file answer_memory.c @brief Hash table of answers in order of age. */
#include "answer_memory.h"

#include "papayaswitch/errors.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/compiler.h>

void
pps_answer_memory_init(pps_answer_memory_t *memory)
{
    memset(memory, 0, sizeof(*memory));
    CDS_INIT_LIST_HEAD(&memory->order);
}

static void
detach(pps_answer_memory_t *memory, pps_kept_answer_t *answer)
{
    pps_table_remove(&memory->by_id, &answer->item);
    cds_list_del(&answer->node);
    memory->count--;
}

static void
attach(pps_answer_memory_t *memory, pps_kept_answer_t *answer)
{
    pps_table_add(&memory->by_id, &answer->item, answer->request_id,
                  strlen(answer->request_id));
    cds_list_add_tail(&answer->node, &memory->order);
    memory->count++;
}

pps_kept_answer_t *
pps_answer_memory_take(pps_answer_memory_t *memory, const char *request_id)
{
    pps_table_item_t *item =
        pps_table_find(&memory->by_id, request_id, strlen(request_id));
    pps_kept_answer_t *answer;

    if (item == NULL) {
        return NULL;
    }
    answer = caa_container_of(item, pps_kept_answer_t, item);
    detach(memory, answer);
    return answer;
}

static void
copy_or_dash(char *out, size_t size, const char *text)
{
    snprintf(out, size, "%s", text[0] != '\0' ? text : "-");
}

int
pps_answer_memory_add(pps_answer_memory_t *memory,
                      const pps_quality_answer_t *answer, double expected)
{
    pps_kept_answer_t *kept = calloc(1, sizeof(*kept));

    if (kept == NULL) {
        return pps_error_set(PPS_ENOMEM, "answers: out of memory");
    }
    copy_or_dash(kept->request_id, sizeof(kept->request_id),
                 answer->request_id);
    copy_or_dash(kept->workspace, sizeof(kept->workspace), answer->workspace);
    copy_or_dash(kept->kind, sizeof(kept->kind), answer->kind);
    copy_or_dash(kept->version, sizeof(kept->version), answer->version->name);
    copy_or_dash(kept->worker, sizeof(kept->worker), answer->worker);
    kept->revision = answer->version->revision;
    kept->expected = expected;
    free(pps_answer_memory_take(memory, kept->request_id));
    if (memory->count >= PPS_QUALITY_ANSWERS_MAX) {
        pps_kept_answer_t *oldest =
            cds_list_first_entry(&memory->order, pps_kept_answer_t, node);

        detach(memory, oldest);
        free(oldest);
    }
    attach(memory, kept);
    return PPS_OK;
}

void
pps_answer_memory_clear(pps_answer_memory_t *memory)
{
    pps_kept_answer_t *answer;
    pps_kept_answer_t *next;

    cds_list_for_each_entry_safe (answer, next, &memory->order, node) {
        detach(memory, answer);
        free(answer);
    }
}
