/** @file fold_part.c @brief Splits and reassembles checkpoints. */
#include "fold_state.h"

#include "commit/pack.h"
#include "msgpack_check.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define PART_FIELDS 6
#define PART_SIZE_MAX (PPS_RECORD_PAYLOAD_MAX / 2)

/** A checkpoint of which the first parts have been read. */
typedef struct {
    struct cds_list_head node;
    uint64_t next;
    uint64_t digest;
    uint64_t parts;
    char *data;
    size_t size;
} partial_t;

struct pps_work_restorer {
    struct cds_list_head partials;
    pps_work_fold_t *newest;
};

static int
emit_part(const pps_work_fold_t *fold, const pps_fold_part_t *part,
          int (*emit)(const void *, size_t, void *), void *user)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    int error;

    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, PART_FIELDS);
    msgpack_pack_uint64(&packer, part->next);
    msgpack_pack_uint64(&packer, part->digest);
    msgpack_pack_uint64(&packer, part->index);
    msgpack_pack_uint64(&packer, part->count);
    msgpack_pack_int64(&packer, part->time_us);
    pps_pack_bytes(&packer, part->data, part->size);
    error = emit(buffer.data, buffer.size, user);
    msgpack_sbuffer_destroy(&buffer);
    return error;
}

int
pps_work_fold_write_checkpoint(const pps_work_fold_t *fold,
                               int (*emit)(const void *payload, size_t size,
                                           void *user),
                               void *user)
{
    pps_fold_part_t part = {.next = fold->next, .time_us = fold->log_time_us};
    void *data;
    size_t size;
    int error = pps_fold_encode(fold, &data, &size);

    if (error < 0) {
        return pps_error_set(error, "work checkpoint: out of memory");
    }
    part.digest = XXH64(data, size, 0);
    part.count = (size + PART_SIZE_MAX - 1) / PART_SIZE_MAX;
    for (; part.index < part.count && error == 0; part.index++) {
        size_t from = part.index * PART_SIZE_MAX;

        part.data = (const char *)data + from;
        part.size = size - from < PART_SIZE_MAX ? size - from : PART_SIZE_MAX;
        error = emit_part(fold, &part, emit, user);
    }
    free(data);
    return error;
}

uint64_t
pps_work_fold_digest(const pps_work_fold_t *fold)
{
    void *data;
    size_t size;
    uint64_t digest;

    if (pps_fold_encode(fold, &data, &size) < 0) {
        return 0;
    }
    digest = XXH64(data, size, 0);
    free(data);
    return digest;
}

int
pps_fold_part_decode(pps_fold_part_t *out, const void *payload, size_t size)
{
    msgpack_unpacked unpacked;
    pps_pack_cursor_t cursor;
    int error = PPS_ECORRUPT;

    if (pps_msgpack_unpack(&unpacked, payload, size) == PPS_OK) {
        pps_pack_open(&cursor, &unpacked.data);
        out->next = pps_pack_read_u64(&cursor);
        out->digest = pps_pack_read_u64(&cursor);
        out->index = pps_pack_read_u64(&cursor);
        out->count = pps_pack_read_u64(&cursor);
        out->time_us = pps_pack_read_i64(&cursor);
        pps_pack_read_bytes(&cursor, &out->data, &out->size);
        error = pps_pack_finish(&cursor);
    }
    msgpack_unpacked_destroy(&unpacked);
    if (error == 0 && out->index >= out->count) {
        error = PPS_ECORRUPT;
    }
    return error;
}

int
pps_work_restorer_new(pps_work_restorer_t **out)
{
    pps_work_restorer_t *restorer = calloc(1, sizeof(*restorer));

    if (restorer == NULL) {
        return pps_error_set(PPS_ENOMEM, "work restorer: out of memory");
    }
    CDS_INIT_LIST_HEAD(&restorer->partials);
    *out = restorer;
    return PPS_OK;
}

static void
partial_free(partial_t *partial)
{
    cds_list_del(&partial->node);
    free(partial->data);
    free(partial);
}

void
pps_work_restorer_free(pps_work_restorer_t *restorer)
{
    partial_t *partial;
    partial_t *following;

    if (restorer == NULL) {
        return;
    }
    cds_list_for_each_entry_safe (partial, following, &restorer->partials,
                                  node) {
        partial_free(partial);
    }
    pps_work_fold_free(restorer->newest);
    free(restorer);
}

static partial_t *
partial_find(pps_work_restorer_t *restorer, const pps_fold_part_t *part)
{
    partial_t *partial;

    cds_list_for_each_entry (partial, &restorer->partials, node) {
        if (partial->next == part->next && partial->digest == part->digest) {
            return partial;
        }
    }
    if (part->index != 0) {
        return NULL;
    }
    partial = calloc(1, sizeof(*partial));
    if (partial != NULL) {
        partial->next = part->next;
        partial->digest = part->digest;
        cds_list_add_tail(&partial->node, &restorer->partials);
    }
    return partial;
}

static int
partial_append(partial_t *partial, const pps_fold_part_t *part)
{
    char *data = realloc(partial->data, partial->size + part->size + 1);

    if (data == NULL) {
        return pps_error_set(PPS_ENOMEM, "work restorer: out of memory");
    }
    if (part->size > 0) {
        memcpy(data + partial->size, part->data, part->size);
    }
    partial->data = data;
    partial->size += part->size;
    partial->parts++;
    return PPS_OK;
}

static void
keep_newest(pps_work_restorer_t *restorer, const partial_t *partial)
{
    pps_work_fold_t *fold;

    if (XXH64(partial->data, partial->size, 0) != partial->digest ||
        pps_fold_decode(&fold, partial->data, partial->size) < 0) {
        return;
    }
    if (restorer->newest != NULL && restorer->newest->next >= fold->next) {
        pps_work_fold_free(fold);
        return;
    }
    pps_work_fold_free(restorer->newest);
    restorer->newest = fold;
}

int
pps_work_restorer_feed(pps_work_restorer_t *restorer,
                       const pps_log_entry_t *entry)
{
    pps_record_t record;
    pps_fold_part_t part;
    partial_t *partial;

    if (pps_record_decode(&record, entry->data, entry->size) < 0 ||
        record.kind != PPS_RECORD_WORK_CHECKPOINT ||
        pps_fold_part_decode(&part, record.payload, record.size) < 0) {
        return PPS_OK;
    }
    partial = partial_find(restorer, &part);
    if (partial == NULL || part.index != partial->parts) {
        return PPS_OK;
    }
    if (partial_append(partial, &part) < 0) {
        return PPS_ENOMEM;
    }
    if (partial->parts == part.count) {
        keep_newest(restorer, partial);
        partial_free(partial);
    }
    return PPS_OK;
}

int
pps_work_restorer_take(pps_work_restorer_t *restorer, pps_work_fold_t **out)
{
    if (restorer->newest == NULL) {
        return pps_error_set(PPS_ENOTFOUND,
                             "no complete checkpoint in the stream work");
    }
    *out = restorer->newest;
    restorer->newest = NULL;
    return PPS_OK;
}
