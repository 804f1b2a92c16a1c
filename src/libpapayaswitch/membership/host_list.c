/** @file host_list.c @brief Decodes, copies and searches the host list. */
#include "papayaswitch/errors.h"
#include "papayaswitch/host.h"

#include <stdlib.h>
#include <string.h>

static int
parse_text(char *out, size_t limit, const json_t *entry, const char *key)
{
    const char *text = json_string_value(json_object_get(entry, key));

    if (text == NULL || text[0] == '\0' || strlen(text) > limit) {
        return pps_error_set(PPS_EINVALID,
                             "host list: missing or invalid '%s'", key);
    }
    memcpy(out, text, strlen(text) + 1);
    return PPS_OK;
}

static int
parse_port(uint16_t *out, const json_t *entry, const char *key)
{
    const json_t *value = json_object_get(entry, key);
    json_int_t port = json_integer_value(value);

    if (!json_is_integer(value) || port < 0 || port > UINT16_MAX) {
        return pps_error_set(PPS_EINVALID,
                             "host list: missing or invalid '%s'", key);
    }
    *out = (uint16_t)port;
    return PPS_OK;
}

static int
parse_state(pps_host_state_t *out, const json_t *entry)
{
    const char *text = json_string_value(json_object_get(entry, "state"));

    if (text != NULL && strcmp(text, "live") == 0) {
        *out = PPS_HOST_LIVE;
        return PPS_OK;
    }
    if (text != NULL && strcmp(text, "leaving") == 0) {
        *out = PPS_HOST_LEAVING;
        return PPS_OK;
    }
    return pps_error_set(PPS_EINVALID,
                         "host list: missing or invalid 'state'");
}

static int
parse_host(pps_host_t *out, const json_t *entry)
{
    int error = parse_text(out->id, PPS_HOST_ID_MAX, entry, "id");

    if (error == 0) {
        error = parse_text(out->address, PPS_ADDRESS_MAX, entry, "address");
    }
    if (error == 0) {
        error = parse_text(out->failure_domain, PPS_HOST_ID_MAX, entry,
                           "failure_domain");
    }
    if (error == 0) {
        error = parse_port(&out->http_port, entry, "http_port");
    }
    if (error == 0) {
        error = parse_port(&out->peer_port, entry, "peer_port");
    }
    if (error == 0) {
        error = parse_port(&out->operator_port, entry, "operator_port");
    }
    if (error == 0) {
        error = parse_state(&out->state, entry);
    }
    return error;
}

int
pps_host_list_from_json(pps_host_list_t *out, const json_t *entries)
{
    pps_host_list_t list = PPS_HOST_LIST_INIT;
    size_t count = json_array_size(entries);
    int error = PPS_OK;

    if (!json_is_array(entries)) {
        return pps_error_set(PPS_EINVALID, "host list: not an array");
    }
    if (count > PPS_HOSTS_MAX) {
        return pps_error_set(PPS_ELIMIT, "host list: more than %d hosts",
                             PPS_HOSTS_MAX);
    }
    list.hosts = calloc(count + 1, sizeof(*list.hosts));
    if (list.hosts == NULL) {
        return pps_error_set(PPS_ENOMEM, "host list: out of memory");
    }
    for (size_t i = 0; i < count; i++) {
        pps_host_t *host = &list.hosts[i];

        error = parse_host(host, json_array_get(entries, i));
        if (error != 0) {
            goto done;
        }
        if (pps_host_list_find(&list, host->id) != NULL) {
            error = pps_error_set(PPS_EINVALID, "host list: duplicate id '%s'",
                                  host->id);
            goto done;
        }
        list.count++;
    }
    *out = list;
    return PPS_OK;

done:
    pps_host_list_clear(&list);
    return error;
}

int
pps_host_list_copy(pps_host_list_t *out, const pps_host_list_t *list)
{
    pps_host_t *hosts = calloc(list->count + 1, sizeof(*hosts));

    if (hosts == NULL) {
        return pps_error_set(PPS_ENOMEM, "host list: out of memory");
    }
    if (list->count > 0) {
        memcpy(hosts, list->hosts, list->count * sizeof(*hosts));
    }
    out->hosts = hosts;
    out->count = list->count;
    return PPS_OK;
}

void
pps_host_list_clear(pps_host_list_t *list)
{
    free(list->hosts);
    list->hosts = NULL;
    list->count = 0;
}

const pps_host_t *
pps_host_list_find(const pps_host_list_t *list, const char *id)
{
    for (size_t i = 0; i < list->count; i++) {
        if (strcmp(list->hosts[i].id, id) == 0) {
            return &list->hosts[i];
        }
    }
    return NULL;
}

size_t
pps_host_list_majority(const pps_host_list_t *list)
{
    return list->count / 2 + 1;
}
