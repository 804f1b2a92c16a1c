/** @file worker_list.c @brief Decodes the platform's list of workers. */
#include "json_bound.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/worker_view.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define PORT_MAX 65535
#define SLOTS_MAX (1 << 20)

/** A worker in an unknown state gets no new requests. */
static pps_worker_state_t
state_decode(const char *text)
{
    return strcmp(text, "live") == 0 ? PPS_WORKER_LIVE : PPS_WORKER_LEAVING;
}

static int
worker_decode(pps_worker_t *out, json_t *item, size_t index)
{
    const char *state = "live";
    json_error_t error;
    json_int_t port = 0;
    json_int_t slots = 0;

    memset(out, 0, sizeof(*out));
    out->failure_domain = "";
    if (json_unpack_ex(item, &error, 0, "{s:s, s:s, s:s, s:I, s?s, s?s, s?I}",
                       "id", &out->id, "upstream", &out->upstream, "address",
                       &out->address, "port", &port, "failure_domain",
                       &out->failure_domain, "state", &state, "slots",
                       &slots) != 0) {
        return pps_error_set(PPS_EINVALID, "worker %zu: %s", index,
                             error.text);
    }
    if (port <= 0 || port > PORT_MAX || slots < 0 || slots > SLOTS_MAX) {
        return pps_error_set(PPS_EINVALID,
                             "worker %s: port or slots out of range", out->id);
    }
    out->port = (unsigned int)port;
    out->slots = (unsigned int)slots;
    out->state = state_decode(state);
    return PPS_OK;
}

static int
has_id(const pps_worker_t *workers, size_t count, const char *id)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(workers[i].id, id) == 0) {
            return 1;
        }
    }
    return 0;
}

/* Decodes the entries that are valid. Of several with one id the first counts.
 * @return how many there are */
static size_t
decode_entries(pps_worker_t *workers, const json_t *list)
{
    size_t count = 0;
    json_t *item;
    size_t i;

    json_array_foreach(list, i, item)
    {
        if (worker_decode(&workers[count], item, i) == PPS_OK &&
            !has_id(workers, count, workers[count].id)) {
            count++;
        }
    }
    return count;
}

int
pps_worker_view_decode(pps_worker_view_t **out,
                       const pps_worker_view_t *previous, const char *json,
                       size_t size, size_t *skipped)
{
    pps_worker_t *workers = NULL;
    json_t *root;
    size_t count;
    int error = PPS_OK;

    *out = NULL;
    root = pps_json_load_bounded(json, size);
    if (!json_is_array(root)) {
        error =
            pps_error_set(PPS_EINVALID, "list of workers: not a JSON array");
        goto done;
    }
    workers = calloc(json_array_size(root) + 1, sizeof(*workers));
    if (workers == NULL) {
        error = pps_error_set(PPS_ENOMEM, "list of workers: out of memory");
        goto done;
    }
    count = decode_entries(workers, root);
    if (skipped != NULL) {
        *skipped = json_array_size(root) - count;
    }
    error = pps_worker_view_new(out, previous, workers, count);
done:
    free(workers);
    json_decref(root);
    return error;
}
