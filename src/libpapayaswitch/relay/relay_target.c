/** @file relay_target.c @brief Writes and reads the path of a call. */
#include "relay_target.h"

#include "papayaswitch/errors.h"
#include "relay_wire.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define DIGEST_BASE 16
#define SLOTS_BASE 10

void
pps_relay_target_write(pps_buf_t *out, const pps_relay_target_t *target)
{
    pps_buf_printf(out, "%s%016" PRIx64,
                   target->slots > 0 ? PPS_RELAY_SHARE_PATH : PPS_RELAY_PATH,
                   target->worker);
    if (target->slots > 1) {
        pps_buf_printf(out, PPS_RELAY_SLOTS_QUERY "%u", target->slots);
    }
}

/* Reads the slots that a call takes. */
static int
parse_slots(unsigned int *out, const char *query)
{
    const char *digits = query + strlen(PPS_RELAY_SLOTS_QUERY);
    unsigned long slots;
    char *end;

    if (*query == '\0') {
        *out = 1;
        return PPS_OK;
    }
    if (strncmp(query, PPS_RELAY_SLOTS_QUERY, strlen(PPS_RELAY_SLOTS_QUERY)) !=
        0) {
        return PPS_EINVALID;
    }
    slots = strtoul(digits, &end, SLOTS_BASE);
    if (end == digits || *end != '\0' || slots == 0 ||
        slots > PPS_RELAY_SLOTS_MAX) {
        return PPS_EINVALID;
    }
    *out = (unsigned int)slots;
    return PPS_OK;
}

/* Reads the digest behind a path, and returns what follows it, or NULL. */
static const char *
parse_digest(uint64_t *out, const char *text, const char *path)
{
    const char *digits = text + strlen(path);
    char *end;

    if (strncmp(text, path, strlen(path)) != 0) {
        return NULL;
    }
    *out = strtoull(digits, &end, DIGEST_BASE);
    return end == digits ? NULL : end;
}

int
pps_relay_target_parse(pps_relay_target_t *out, const char *text)
{
    const char *rest = parse_digest(&out->worker, text, PPS_RELAY_SHARE_PATH);

    if (rest != NULL) {
        return parse_slots(&out->slots, rest);
    }
    out->slots = 0;
    rest = parse_digest(&out->worker, text, PPS_RELAY_PATH);
    return rest != NULL && *rest == '\0' ? PPS_OK : PPS_EINVALID;
}
