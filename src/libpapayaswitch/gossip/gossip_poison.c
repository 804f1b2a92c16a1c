/** @file gossip_poison.c @brief Sends and receives evidence on what ends
 * workers. */
#include "gossip_state.h"

#include "clock.h"
#include "cursor.h"
#include "gossip_versions.h"
#include "papayaswitch/errors.h"

#include <string.h>

#define POISON_FIELDS 3
#define EVIDENCE_FIELDS 4
#define CRASH_FIELDS 4
#define NEVER (-1)
/** Largest age that is told. */
#define AGE_MAX_US (86400 * PPS_US_PER_S)

static void
pack_age(msgpack_packer *packer, int64_t event_us, int64_t now_us)
{
    int64_t age_us = now_us > event_us ? now_us - event_us : 0;

    msgpack_pack_int64(packer, age_us < AGE_MAX_US ? age_us : AGE_MAX_US);
}

static void
pack_evidence(msgpack_packer *packer, const pps_poison_evidence_t *evidence,
              int64_t now_us)
{
    msgpack_pack_array(packer, EVIDENCE_FIELDS);
    msgpack_pack_uint64(packer, evidence->key);
    msgpack_pack_int(packer, evidence->convicted);
    if (evidence->good_us != 0) {
        pack_age(packer, evidence->good_us, now_us);
    }
    else {
        msgpack_pack_int64(packer, NEVER);
    }
    msgpack_pack_array(packer, evidence->crash_count);
    for (unsigned int i = 0; i < evidence->crash_count; i++) {
        const pps_poison_crash_t *crash = &evidence->crashes[i];

        msgpack_pack_array(packer, CRASH_FIELDS);
        msgpack_pack_uint64(packer, crash->id);
        pack_age(packer, crash->begun_us, now_us);
        pack_age(packer, crash->at_us, now_us);
        msgpack_pack_uint64(packer, crash->worker);
    }
}

int
pps_gossip_encode_poison(pps_buf_t *out, const pps_gossip_poison_t *poison,
                         int64_t now_us)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, pps_gossip_append);
    msgpack_pack_array(&packer, POISON_FIELDS);
    msgpack_pack_int(&packer, PPS_GOSSIP_POISON_VERSION);
    msgpack_pack_str_with_body(&packer, poison->from, strlen(poison->from));
    msgpack_pack_array(&packer, poison->count);
    for (size_t i = 0; i < poison->count; i++) {
        pack_evidence(&packer, &poison->items[i], now_us);
    }
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

/* Turns the time since an event into the time of the event. */
static int64_t
time_of_age(pps_cursor_t *fields, int64_t age_us, int64_t now_us)
{
    if (age_us < 0 || age_us > AGE_MAX_US) {
        fields->failed = 1;
        return 0;
    }
    return now_us - age_us;
}

static int64_t
read_time(pps_cursor_t *fields, int64_t now_us)
{
    return time_of_age(fields, pps_cursor_read_integer(fields), now_us);
}

static void
decode_crash(pps_poison_evidence_t *out, pps_cursor_t *list, int64_t now_us)
{
    pps_cursor_t fields = pps_cursor_read_array(list);
    pps_poison_crash_t crash = {0};

    crash.id = (uint64_t)pps_cursor_read_integer(&fields);
    crash.begun_us = read_time(&fields, now_us);
    crash.at_us = read_time(&fields, now_us);
    if (fields.unread_count > 0) {
        crash.worker = (uint64_t)pps_cursor_read_integer(&fields);
    }
    list->failed |= fields.failed;
    if (!list->failed) {
        pps_poison_evidence_add_crash(out, &crash);
    }
}

static void
decode_evidence(pps_poison_evidence_t *out, pps_cursor_t *list, int64_t now_us)
{
    pps_cursor_t fields = pps_cursor_read_array(list);
    pps_cursor_t crashes;
    int64_t good_age_us;

    memset(out, 0, sizeof(*out));
    out->key = (uint64_t)pps_cursor_read_integer(&fields);
    out->convicted = pps_cursor_read_integer(&fields) != 0;
    good_age_us = pps_cursor_read_integer(&fields);
    if (good_age_us != NEVER) {
        out->good_us = time_of_age(&fields, good_age_us, now_us);
    }
    crashes = pps_cursor_read_array(&fields);
    while (crashes.unread_count > 0 && !crashes.failed) {
        decode_crash(out, &crashes, now_us);
    }
    list->failed |= fields.failed | crashes.failed;
}

static void
decode_items(pps_gossip_poison_t *out, pps_cursor_t *fields, int64_t now_us)
{
    pps_cursor_t list;

    pps_cursor_read_string(out->from, sizeof(out->from), fields);
    list = pps_cursor_read_array(fields);
    while (list.unread_count > 0 && !list.failed &&
           out->count < PPS_GOSSIP_POISON_ITEMS) {
        decode_evidence(&out->items[out->count++], &list, now_us);
    }
    fields->failed |= list.failed;
}

int
pps_gossip_decode_poison(pps_gossip_poison_t *out, const char *data,
                         size_t size, int64_t now_us)
{
    msgpack_unpacked unpacked;
    pps_cursor_t fields;
    int error = pps_cursor_open_datagram(
        &unpacked, &fields, PPS_GOSSIP_POISON_VERSION, data, size);

    memset(out, 0, sizeof(*out));
    if (error == 0) {
        decode_items(out, &fields, now_us);
        error = fields.failed ? PPS_ECORRUPT : PPS_OK;
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}

static void
send_items(pps_gossip_t *gossip, const pps_gossip_poison_t *poison,
           const char *address)
{
    pps_buf_t encoded = PPS_BUF_INIT;

    if (pps_gossip_encode_poison(&encoded, poison, gossip->reactor->now_us) ==
        0) {
        if (address != NULL) {
            pps_gossip_send_to(gossip, address, &encoded);
        }
        else {
            pps_gossip_send_to_all(gossip, &encoded,
                                   pps_rng_next(&gossip->rng));
        }
    }
    pps_buf_clear(&encoded);
}

void
pps_gossip_send_poison(pps_gossip_t *gossip,
                       const pps_poison_evidence_t *items, size_t count,
                       const char *address)
{
    pps_gossip_poison_t poison = {0};

    if (address != NULL && pps_gossip_find_peer(gossip, address) == NULL) {
        return;
    }
    memcpy(poison.from, gossip->own.state.address, sizeof(poison.from));
    for (size_t sent = 0; sent < count; sent += poison.count) {
        poison.count = count - sent < PPS_GOSSIP_POISON_ITEMS
                           ? count - sent
                           : PPS_GOSSIP_POISON_ITEMS;
        memcpy(poison.items, items + sent, poison.count * sizeof(*items));
        send_items(gossip, &poison, address);
    }
}

int
pps_gossip_relays(const pps_gossip_t *gossip)
{
    return pps_gossip_is_large(gossip) && !gossip->is_content_forwarded &&
           pps_gossip_is_reader(gossip);
}
