/** @file worker_list.c @brief Decodes the platform's list of workers. */
#include "papayaswitch/errors.h"
#include "papayaswitch/worker_view.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define PORT_MAX 65535

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
    int port = 0;
    int slots = 0;

    memset(out, 0, sizeof(*out));
    out->failure_domain = "";
    if (json_unpack_ex(item, &error, 0, "{s:s, s:s, s:s, s:i, s?s, s?s, s?i}",
                       "id", &out->id, "upstream", &out->upstream, "address",
                       &out->address, "port", &port, "failure_domain",
                       &out->failure_domain, "state", &state, "slots",
                       &slots) != 0) {
        return pps_error_set(PPS_EINVALID, "worker %zu: %s", index,
                             error.text);
    }
    if (port <= 0 || port > PORT_MAX || slots < 0) {
        return pps_error_set(PPS_EINVALID,
                             "worker %s: port or slots out of range", out->id);
    }
    out->port = (unsigned int)port;
    out->slots = (unsigned int)slots;
    out->state = state_decode(state);
    return PPS_OK;
}

int
pps_worker_view_decode(pps_worker_view_t **out,
                       const pps_worker_view_t *previous, const char *json,
                       size_t size)
{
    pps_worker_t *workers = NULL;
    json_error_t parse_error;
    json_t *root;
    size_t count;
    int error = PPS_OK;

    *out = NULL;
    root = json_loadb(json, size, 0, &parse_error);
    if (!json_is_array(root)) {
        error = pps_error_set(PPS_EINVALID, "list of workers: %s",
                              root ? "not an array" : parse_error.text);
        goto done;
    }
    count = json_array_size(root);
    workers = calloc(count + 1, sizeof(*workers));
    if (workers == NULL) {
        error = pps_error_set(PPS_ENOMEM, "list of workers: out of memory");
        goto done;
    }
    for (size_t i = 0; i < count && error == PPS_OK; i++) {
        error = worker_decode(&workers[i], json_array_get(root, i), i);
    }
    if (error == PPS_OK) {
        error = pps_worker_view_new(out, previous, workers, count);
    }
done:
    free(workers);
    json_decref(root);
    return error;
}
