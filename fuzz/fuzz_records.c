/** @file fuzz_records.c @brief Fuzzes record, datagram and mirror parsers. */
#include "gossip/gossip_codec.h"
#include "mirror/mirror.h"
#include "records.h"

#include <stddef.h>
#include <stdint.h>

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
on_changed(pps_mirror_relevance_t *out, void *user, const char *key,
           const char *value, size_t size)
{
}

static const pps_mirror_ops_t mirror_ops = {.on_changed = on_changed};

static void
decode_datagram(const char *text, size_t size)
{
    pps_gossip_message_t message;
    pps_gossip_notice_t notice;
    pps_gossip_record_t record;
    msgpack_unpacked memory;

    pps_gossip_decode_state(&message, text, size, 0);
    pps_gossip_decode_notice(&notice, text, size);
    msgpack_unpacked_init(&memory);
    pps_gossip_decode_record(&record, &memory, text, size);
    msgpack_unpacked_destroy(&memory);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const char *text = (const char *)data;
    pps_deployment_t *deployment;
    pps_worker_info_t worker;
    pps_rollout_t rollout;
    pps_mirror_t *mirror;

    if (pps_record_parse_deployment(&deployment, text, size) == 0) {
        pps_deployment_find_route(deployment, "h", "/a/b");
        pps_deployment_find_workspace(deployment, "k");
        pps_deployment_unref(deployment);
    }
    pps_record_parse_worker(&worker, "w", text, size);
    pps_record_parse_order(&rollout, text, size);
    pps_record_parse_status(&rollout, text, size);
    pps_record_check_evacuation(text, size);
    decode_datagram(text, size);
    if (pps_mirror_new(&mirror, &mirror_ops, NULL) == 0) {
        pps_mirror_import(mirror, text, size);
        pps_mirror_free(mirror);
    }
    return 0;
}
