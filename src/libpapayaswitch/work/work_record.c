/** @file work_record.c @brief Codec of the records of the stream `work`. */
#include "papayaswitch/work_record.h"

#include "commit/pack.h"
#include "msgpack_check.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define CLAIM_FIELDS 7
#define OUTCOME_FIELDS 9
#define PIN_FIELDS 5
#define TOUCH_FIELDS 2

void
pps_body_digest(uint8_t out[PPS_BODY_DIGEST_SIZE], const void *body,
                size_t size)
{
    crypto_generichash(out, PPS_BODY_DIGEST_SIZE, body, size, NULL, 0);
}

static int
finish_record(msgpack_sbuffer *buffer, pps_record_kind_t kind, void **out,
              size_t *size)
{
    int error = pps_record_encode(out, size, kind, buffer->data, buffer->size);

    msgpack_sbuffer_destroy(buffer);
    return error;
}

int
pps_claim_encode(void **out, size_t *size, const pps_claim_t *claim)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;

    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, CLAIM_FIELDS);
    pps_pack_text(&packer, claim->workspace);
    pps_pack_text(&packer, claim->key);
    pps_pack_bytes(&packer, claim->digest, sizeof(claim->digest));
    pps_pack_text(&packer, claim->host);
    msgpack_pack_uint64(&packer, claim->incarnation);
    msgpack_pack_uint64(&packer, claim->attempt);
    pps_pack_text(&packer, claim->request_id);
    return finish_record(&buffer, PPS_RECORD_CLAIM, out, size);
}

int
pps_outcome_encode(void **out, size_t *size, const pps_outcome_t *outcome)
{
    uint8_t digest[PPS_BODY_DIGEST_SIZE];
    int kept =
        outcome->body != NULL && outcome->body_size <= PPS_OUTCOME_BODY_MAX;
    msgpack_sbuffer buffer;
    msgpack_packer packer;

    pps_body_digest(digest, outcome->body,
                    outcome->body ? outcome->body_size : 0);
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, OUTCOME_FIELDS);
    pps_pack_text(&packer, outcome->workspace);
    pps_pack_text(&packer, outcome->key);
    msgpack_pack_uint64(&packer, outcome->claim_offset);
    msgpack_pack_int(&packer, (int)outcome->state);
    msgpack_pack_int(&packer, outcome->status);
    pps_pack_text(&packer, outcome->content_type);
    msgpack_pack_uint64(&packer, outcome->body_size);
    pps_pack_bytes(&packer, kept ? outcome->body : "",
                   kept ? outcome->body_size : 0);
    pps_pack_bytes(&packer, digest, sizeof(digest));
    return finish_record(&buffer, PPS_RECORD_OUTCOME, out, size);
}

int
pps_pin_encode(void **out, size_t *size, const pps_pin_t *pin)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;

    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, PIN_FIELDS);
    pps_pack_text(&packer, pin->workspace);
    pps_pack_text(&packer, pin->session);
    pps_pack_text(&packer, pin->version);
    pps_pack_text(&packer, pin->host);
    msgpack_pack_uint32(&packer, pin->idle_s);
    return finish_record(&buffer, PPS_RECORD_PIN, out, size);
}

int
pps_touch_encode(void **out, size_t *size, const pps_touch_t *touches,
                 size_t count)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;

    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, count);
    for (size_t i = 0; i < count; i++) {
        msgpack_pack_array(&packer, TOUCH_FIELDS);
        pps_pack_text(&packer, touches[i].workspace);
        pps_pack_text(&packer, touches[i].session);
    }
    return finish_record(&buffer, PPS_RECORD_TOUCH, out, size);
}

static int
open_payload(msgpack_unpacked *unpacked, pps_pack_cursor_t *cursor,
             const void *payload, size_t size)
{

    if (pps_msgpack_unpack(unpacked, payload, size) < 0) {
        msgpack_unpacked_destroy(unpacked);
        return PPS_ECORRUPT;
    }
    pps_pack_open(cursor, &unpacked->data);
    return PPS_OK;
}

int
pps_claim_decode(pps_claim_t *out, const void *payload, size_t size)
{
    msgpack_unpacked unpacked;
    pps_pack_cursor_t cursor;
    int error = open_payload(&unpacked, &cursor, payload, size);

    if (error < 0) {
        return error;
    }
    pps_pack_read_text(&cursor, out->workspace, sizeof(out->workspace));
    pps_pack_read_text(&cursor, out->key, sizeof(out->key));
    pps_pack_read_exact(&cursor, out->digest, sizeof(out->digest));
    pps_pack_read_text(&cursor, out->host, sizeof(out->host));
    out->incarnation = pps_pack_read_u64(&cursor);
    out->attempt = pps_pack_read_u64(&cursor);
    pps_pack_read_text(&cursor, out->request_id, sizeof(out->request_id));
    error = pps_pack_finish(&cursor);
    msgpack_unpacked_destroy(&unpacked);
    return error;
}

static int
copy_body(pps_outcome_t *out, const void *body, size_t kept)
{
    void *copy;

    out->body = NULL;
    if (kept != out->body_size) {
        return kept == 0 ? PPS_OK : PPS_ECORRUPT;
    }
    copy = malloc(kept + 1);
    if (copy == NULL) {
        return PPS_ENOMEM;
    }
    memcpy(copy, body, kept);
    out->body = copy;
    return PPS_OK;
}

int
pps_outcome_decode(pps_outcome_t *out, const void *payload, size_t size)
{
    msgpack_unpacked unpacked;
    pps_pack_cursor_t cursor;
    const void *body;
    size_t kept;
    uint64_t state;
    int error = open_payload(&unpacked, &cursor, payload, size);

    if (error < 0) {
        return error;
    }
    pps_pack_read_text(&cursor, out->workspace, sizeof(out->workspace));
    pps_pack_read_text(&cursor, out->key, sizeof(out->key));
    out->claim_offset = pps_pack_read_u64(&cursor);
    state = pps_pack_read_u64(&cursor);
    out->status = (int)pps_pack_read_u64(&cursor);
    pps_pack_read_text(&cursor, out->content_type, sizeof(out->content_type));
    out->body_size = pps_pack_read_u64(&cursor);
    pps_pack_read_bytes(&cursor, &body, &kept);
    pps_pack_read_exact(&cursor, out->body_digest, sizeof(out->body_digest));
    error = pps_pack_finish(&cursor);
    if (state < PPS_OUTCOME_COMPLETED || state > PPS_OUTCOME_UNKNOWN) {
        error = PPS_ECORRUPT;
    }
    out->state = (pps_outcome_state_t)state;
    if (error == 0) {
        error = copy_body(out, body, kept);
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}

int
pps_pin_decode(pps_pin_t *out, const void *payload, size_t size)
{
    msgpack_unpacked unpacked;
    pps_pack_cursor_t cursor;
    int error = open_payload(&unpacked, &cursor, payload, size);

    if (error < 0) {
        return error;
    }
    pps_pack_read_text(&cursor, out->workspace, sizeof(out->workspace));
    pps_pack_read_text(&cursor, out->session, sizeof(out->session));
    pps_pack_read_text(&cursor, out->version, sizeof(out->version));
    pps_pack_read_text(&cursor, out->host, sizeof(out->host));
    out->idle_s = (uint32_t)pps_pack_read_u64(&cursor);
    error = pps_pack_finish(&cursor);
    msgpack_unpacked_destroy(&unpacked);
    return error;
}

static int
read_touches(pps_pack_cursor_t cursor,
             void (*visit)(const pps_touch_t *touch, void *user), void *user)
{
    pps_pack_cursor_t item;
    pps_touch_t touch;

    while (cursor.unread_count > 0) {
        pps_pack_read_array(&cursor, &item);
        pps_pack_read_text(&item, touch.workspace, sizeof(touch.workspace));
        pps_pack_read_text(&item, touch.session, sizeof(touch.session));
        if (cursor.failed || pps_pack_finish(&item) < 0) {
            return PPS_ECORRUPT;
        }
        if (visit != NULL) {
            visit(&touch, user);
        }
    }
    return pps_pack_finish(&cursor);
}

int
pps_touch_decode(const void *payload, size_t size,
                 void (*visit)(const pps_touch_t *touch, void *user),
                 void *user)
{
    msgpack_unpacked unpacked;
    pps_pack_cursor_t cursor;
    int error = open_payload(&unpacked, &cursor, payload, size);

    if (error < 0) {
        return error;
    }
    error = read_touches(cursor, NULL, NULL);
    if (error == 0) {
        error = read_touches(cursor, visit, user);
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}
