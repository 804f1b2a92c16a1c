/** @file fold_checkpoint.c @brief Encodes and decodes the state of a fold. */
#include "fold_state.h"

#include "commit/pack.h"
#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

#define STATE_FORMAT 1

static void
pack_hosts(msgpack_packer *packer, const pps_work_fold_t *fold)
{
    const pps_fold_host_t *host;
    size_t count = 0;

    cds_list_for_each_entry (host, &fold->host_list, node) {
        count += !pps_fold_host_is_expired(fold, host);
    }
    msgpack_pack_array(packer, count);
    cds_list_for_each_entry (host, &fold->host_list, node) {
        if (pps_fold_host_is_expired(fold, host)) {
            continue;
        }
        msgpack_pack_array(packer, 3);
        pps_pack_text(packer, host->name);
        msgpack_pack_uint64(packer, host->incarnation);
        msgpack_pack_int64(packer, host->time_us);
    }
}

static void
pack_outcome(msgpack_packer *packer, const pps_fold_outcome_t *outcome)
{
    int kept = outcome->body != NULL;

    msgpack_pack_array(packer, 6);
    msgpack_pack_int(packer, outcome->status);
    pps_pack_text(packer, outcome->content_type);
    msgpack_pack_uint64(packer, outcome->body_size);
    msgpack_pack_int(packer, kept);
    pps_pack_bytes(packer, kept ? outcome->body : "",
                   kept ? outcome->body_size : 0);
    pps_pack_bytes(packer, outcome->body_digest, PPS_BODY_DIGEST_SIZE);
}

static void
pack_claims(msgpack_packer *packer, const pps_work_fold_t *fold)
{
    const pps_fold_claim_t *claim;

    msgpack_pack_array(packer, pps_table_count(&fold->claims));
    cds_list_for_each_entry (claim, &fold->claim_list, node) {
        msgpack_pack_array(packer, 9);
        pps_pack_bytes(packer, claim->name, claim->name_size);
        msgpack_pack_int(packer, (int)claim->state);
        msgpack_pack_uint64(packer, claim->offset);
        msgpack_pack_uint64(packer, claim->incarnation);
        msgpack_pack_uint64(packer, claim->attempt);
        msgpack_pack_int64(packer, claim->time_us);
        pps_pack_text(packer, claim->host->name);
        pps_pack_bytes(packer, claim->digest, PPS_BODY_DIGEST_SIZE);
        if (claim->outcome != NULL) {
            pack_outcome(packer, claim->outcome);
        }
        else {
            msgpack_pack_array(packer, 0);
        }
    }
}

static void
pack_pins(msgpack_packer *packer, const pps_work_fold_t *fold)
{
    const pps_fold_pin_t *pin;
    size_t count = 0;

    cds_list_for_each_entry (pin, &fold->pin_list, node) {
        count += !pps_fold_pin_is_expired(fold, pin);
    }
    msgpack_pack_array(packer, count);
    cds_list_for_each_entry (pin, &fold->pin_list, node) {
        if (pps_fold_pin_is_expired(fold, pin)) {
            continue;
        }
        msgpack_pack_array(packer, 5);
        pps_pack_bytes(packer, pin->name, pin->name_size);
        pps_pack_text(packer, pin->version);
        msgpack_pack_uint64(packer, pin->offset);
        msgpack_pack_uint32(packer, pin->idle_s);
        msgpack_pack_int64(packer, pin->time_us);
    }
}

int
pps_fold_encode(const pps_work_fold_t *fold, void **out, size_t *size)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;

    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, 7);
    msgpack_pack_int(&packer, STATE_FORMAT);
    msgpack_pack_uint64(&packer, fold->next);
    msgpack_pack_int64(&packer, fold->log_time_us);
    msgpack_pack_int64(&packer, fold->retention_us);
    pack_hosts(&packer, fold);
    pack_claims(&packer, fold);
    pack_pins(&packer, fold);
    *size = buffer.size;
    *out = msgpack_sbuffer_release(&buffer);
    return *out ? PPS_OK : PPS_ENOMEM;
}

static void
unpack_hosts(pps_work_fold_t *fold, pps_pack_cursor_t *state)
{
    pps_pack_cursor_t list;
    pps_pack_cursor_t item;
    char name[PPS_NAME_MAX + 1];
    pps_fold_host_t *host;

    pps_pack_read_array(state, &list);
    while (list.unread_count > 0 && !state->failed) {
        pps_pack_read_array(&list, &item);
        pps_pack_read_text(&item, name, sizeof(name));
        host = pps_fold_host_intern(fold, name);
        if (host == NULL) {
            state->failed = 1;
            return;
        }
        host->incarnation = pps_pack_read_u64(&item);
        host->time_us = pps_pack_read_i64(&item);
        state->failed |= pps_pack_finish(&item) < 0;
    }
    state->failed |= list.failed;
}

static int
unpack_outcome(pps_fold_claim_t *claim, pps_pack_cursor_t *item)
{
    pps_fold_outcome_t *outcome;
    const void *body;
    size_t size;
    int kept;

    if (item->unread_count == 0 && !item->failed) {
        return claim->state == PPS_CLAIM_COMPLETED ? PPS_ECORRUPT : PPS_OK;
    }
    outcome = calloc(1, sizeof(*outcome));
    if (outcome == NULL) {
        return PPS_ENOMEM;
    }
    claim->outcome = outcome;
    outcome->status = (int)pps_pack_read_i64(item);
    pps_pack_read_text(item, outcome->content_type,
                       sizeof(outcome->content_type));
    outcome->body_size = pps_pack_read_u64(item);
    kept = (int)pps_pack_read_u64(item);
    pps_pack_read_bytes(item, &body, &size);
    pps_pack_read_exact(item, outcome->body_digest, PPS_BODY_DIGEST_SIZE);
    if (pps_pack_finish(item) < 0 || (kept && size != outcome->body_size)) {
        return PPS_ECORRUPT;
    }
    if (kept) {
        outcome->body = malloc(size + 1);
        if (outcome->body == NULL) {
            return PPS_ENOMEM;
        }
        memcpy(outcome->body, body, size);
    }
    return PPS_OK;
}

static int
is_valid_name(const char *name, size_t size)
{
    return name != NULL && size >= 2 && size <= PPS_FOLD_NAME_MAX &&
           name[size - 1] == '\0' && memchr(name, '\0', size - 1) != NULL;
}

static int
unpack_claim(pps_work_fold_t *fold, pps_pack_cursor_t *item)
{
    pps_fold_claim_t fields = {0};
    pps_fold_claim_t *claim;
    pps_pack_cursor_t outcome;
    const void *name;
    size_t name_size;
    char host_name[PPS_NAME_MAX + 1];
    pps_fold_host_t *host;
    uint64_t state;

    pps_pack_read_bytes(item, &name, &name_size);
    state = pps_pack_read_u64(item);
    fields.offset = pps_pack_read_u64(item);
    fields.incarnation = pps_pack_read_u64(item);
    fields.attempt = pps_pack_read_u64(item);
    fields.time_us = pps_pack_read_i64(item);
    pps_pack_read_text(item, host_name, sizeof(host_name));
    pps_pack_read_exact(item, fields.digest, PPS_BODY_DIGEST_SIZE);
    pps_pack_read_array(item, &outcome);
    if (pps_pack_finish(item) < 0 || !is_valid_name(name, name_size) ||
        state > PPS_CLAIM_UNKNOWN) {
        return PPS_ECORRUPT;
    }
    if (pps_table_find(&fold->claims, name, name_size) != NULL) {
        return PPS_ECORRUPT;
    }
    host = pps_fold_host_intern(fold, host_name);
    claim = host ? pps_fold_claim_add(fold, name, name_size, host) : NULL;
    if (claim == NULL) {
        return PPS_ENOMEM;
    }
    claim->state = (pps_claim_state_t)state;
    claim->offset = fields.offset;
    claim->incarnation = fields.incarnation;
    claim->attempt = fields.attempt;
    claim->time_us = fields.time_us;
    memcpy(claim->digest, fields.digest, sizeof(claim->digest));
    return unpack_outcome(claim, &outcome);
}

static int
unpack_pin(pps_work_fold_t *fold, pps_pack_cursor_t *item)
{
    pps_fold_pin_t fields = {0};
    pps_fold_pin_t *pin;
    const void *name;
    size_t name_size;

    pps_pack_read_bytes(item, &name, &name_size);
    pps_pack_read_text(item, fields.version, sizeof(fields.version));
    fields.offset = pps_pack_read_u64(item);
    fields.idle_s = (uint32_t)pps_pack_read_u64(item);
    fields.time_us = pps_pack_read_i64(item);
    if (pps_pack_finish(item) < 0 || !is_valid_name(name, name_size)) {
        return PPS_ECORRUPT;
    }
    pin = pps_fold_pin_add(fold, name, name_size);
    if (pin == NULL) {
        return PPS_ENOMEM;
    }
    memcpy(pin->version, fields.version, sizeof(pin->version));
    pin->offset = fields.offset;
    pin->idle_s = fields.idle_s;
    pin->time_us = fields.time_us;
    return PPS_OK;
}

static int
unpack_each(pps_work_fold_t *fold, pps_pack_cursor_t *state,
            int (*unpack)(pps_work_fold_t *, pps_pack_cursor_t *))
{
    pps_pack_cursor_t list;
    pps_pack_cursor_t item;
    int error = PPS_OK;

    pps_pack_read_array(state, &list);
    while (list.unread_count > 0 && error == 0) {
        pps_pack_read_array(&list, &item);
        error = list.failed ? PPS_ECORRUPT : unpack(fold, &item);
    }
    return list.failed ? PPS_ECORRUPT : error;
}

static int
unpack_state(pps_work_fold_t *fold, const msgpack_object *object)
{
    pps_pack_cursor_t state;
    int error;

    pps_pack_open(&state, object);
    if (pps_pack_read_u64(&state) != STATE_FORMAT) {
        return PPS_ECORRUPT;
    }
    fold->next = pps_pack_read_u64(&state);
    fold->log_time_us = pps_pack_read_i64(&state);
    fold->retention_us = pps_pack_read_i64(&state);
    unpack_hosts(fold, &state);
    error = unpack_each(fold, &state, unpack_claim);
    if (error == 0) {
        error = unpack_each(fold, &state, unpack_pin);
    }
    fold->checkpoint_next = fold->next;
    fold->checkpoint_time_us = fold->log_time_us;
    return error < 0 ? error : pps_pack_finish(&state);
}

int
pps_fold_decode(pps_work_fold_t **out, const void *data, size_t size)
{
    pps_work_fold_t *fold = NULL;
    msgpack_unpacked unpacked;
    int error = pps_work_fold_new(&fold, NULL);

    if (error < 0) {
        return error;
    }
    error = PPS_ECORRUPT;
    if (pps_msgpack_unpack(&unpacked, data, size) == PPS_OK) {
        error = unpack_state(fold, &unpacked.data);
    }
    msgpack_unpacked_destroy(&unpacked);
    if (error < 0) {
        pps_work_fold_free(fold);
        return pps_error_set(error, "cannot decode the work checkpoint");
    }
    *out = fold;
    return PPS_OK;
}
