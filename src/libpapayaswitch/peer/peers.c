/** @file peers.c @brief Implements the public interface of pps_peers_t. */
#include "papayaswitch/peers.h"

#include "papayaswitch/errors.h"
#include "peer/peers_internal.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define BACKLOG 128

/* The uthash macros expand to many statements. */
pps_peer_t * /* NOLINTNEXTLINE(readability-function-size) */
pps_peers_find(const pps_peers_t *peers, const char *id)
{
    pps_peer_t *peer = NULL;

    HASH_FIND_STR(peers->by_id, id, peer);
    return peer;
}

int /* NOLINTNEXTLINE(readability-function-size) */
pps_peers_add(pps_peers_t *peers, pps_peer_t **out, const char *id)
{
    int error = pps_peer_new(out, id, pps_clock_now_us());

    if (error == 0) {
        HASH_ADD_STR(peers->by_id, host.id, *out);
    }
    return error;
}

static void
free_all(pps_peers_t *peers)
{
    pps_peer_t *peer = peers->by_id;

    HASH_CLEAR(hh, peers->by_id);
    while (peer != NULL) {
        pps_peer_t *next = peer->hh.next;

        free(peer);
        peer = next;
    }
}

void
pps_peers_on_handle_closed(pps_peers_t *peers)
{
    peers->handles--;
    if (!peers->closing || peers->handles > 0) {
        return;
    }
    free_all(peers);
    if (peers->closed != NULL) {
        peers->closed(peers->closed_user);
    }
    sodium_memzero(peers->config.key, sizeof(peers->config.key));
    free(peers);
}

static void
on_listener_closed(uv_handle_t *handle)
{
    pps_peers_on_handle_closed(handle->data);
}

void
pps_peers_close(pps_peers_t *peers, void (*closed)(void *user), void *user)
{
    pps_peer_link_t *link;
    pps_peer_link_t *next;

    peers->closing = 1;
    peers->closed = closed;
    peers->closed_user = user;
    pps_timers_cancel(&peers->tick);
    cds_list_for_each_entry_safe (link, next, &peers->links, node) {
        pps_peers_drop_link(peers, link);
    }
    uv_close((uv_handle_t *)&peers->listener, on_listener_closed);
}

static int
bind_listener(pps_peers_t *peers, const pps_peers_options_t *options)
{
    struct sockaddr_storage address;
    int size = sizeof(address);
    int error;

    if (uv_ip4_addr(options->address, options->port,
                    (struct sockaddr_in *)&address) != 0 &&
        uv_ip6_addr(options->address, options->port,
                    (struct sockaddr_in6 *)&address) != 0) {
        return pps_error_set(PPS_EINVALID, "peers: '%s' is not an IP address",
                             options->address);
    }
    error = uv_tcp_bind(&peers->listener, (struct sockaddr *)&address, 0);
    if (error == 0) {
        error = uv_listen((uv_stream_t *)&peers->listener, BACKLOG,
                          pps_peers_on_connection);
    }
    if (error != 0) {
        return pps_error_set(PPS_EIO, "peers: %s port %u: %s",
                             options->address, options->port,
                             uv_strerror(error));
    }
    uv_tcp_getsockname(&peers->listener, (struct sockaddr *)&address, &size);
    peers->port = ntohs(((struct sockaddr_in *)&address)->sin_port);
    return PPS_OK;
}

static void
copy_options(pps_peers_t *peers, const pps_peers_options_t *options)
{
    peers->config.loop = options->loop;
    memcpy(peers->config.key, options->key, sizeof(peers->config.key));
    strncpy(peers->config.own_id, options->self_id, PPS_HOST_ID_MAX);
    peers->config.incarnation = options->incarnation;
    peers->config.queue_max_bytes = options->queue_max_bytes;
    peers->callbacks = options->callbacks;
    peers->user = options->user;
    peers->timers = options->timers;
    pps_rng_init(&peers->rng, options->seed);
    peers->status.evidence_us = PPS_TIME_NONE;
    CDS_INIT_LIST_HEAD(&peers->links);
}

int
pps_peers_new(pps_peers_t **out, const pps_peers_options_t *options)
{
    pps_peers_t *peers;
    int error;

    if (options->version != PPS_PEERS_OPTIONS_VERSION ||
        options->self_id[0] == '\0' ||
        strlen(options->self_id) > PPS_HOST_ID_MAX || sodium_init() < 0) {
        return pps_error_set(PPS_EINVALID, "peers: invalid options");
    }
    peers = calloc(1, sizeof(*peers));
    if (peers == NULL) {
        return pps_error_set(PPS_ENOMEM, "peers: out of memory");
    }
    copy_options(peers, options);
    uv_tcp_init(options->loop, &peers->listener);
    peers->listener.data = peers;
    peers->handles = 1;
    error = bind_listener(peers, options);
    if (error != 0) {
        pps_peers_close(peers, NULL, NULL);
        return error;
    }
    pps_timers_subscribe(peers->timers, &peers->tick, pps_clock_now_us(),
                         PPS_PEERS_TICK_INTERVAL_US, pps_peers_on_tick, peers);
    *out = peers;
    return PPS_OK;
}

uint16_t
pps_peers_port(const pps_peers_t *peers)
{
    return peers->port;
}

static int
has_address_changed(const pps_host_t *before, const pps_host_t *after)
{
    return before->peer_port != after->peer_port ||
           strcmp(before->address, after->address) != 0;
}

static int
update_host(pps_peers_t *peers, const pps_host_t *host)
{
    pps_peer_t *peer = pps_peers_find(peers, host->id);
    int error = peer ? PPS_OK : pps_peers_add(peers, &peer, host->id);

    if (error != 0) {
        return error;
    }
    if (peer->outbound != NULL && has_address_changed(&peer->host, host)) {
        pps_peers_drop_link(peers, peer->outbound);
        pps_dial_retry_now(&peer->dial, pps_clock_now_us());
    }
    peer->host = *host;
    peer->listed = 1;
    return PPS_OK;
}

/* Frees no entry, as a callback of pps_peers_on_tick() may call this while the
 * tick iterates. An unlisted host is kept while its inbound link is open. */
static void
close_unlisted_links(pps_peers_t *peers)
{
    pps_peer_t *peer;
    pps_peer_t *next;

    HASH_ITER (hh, peers->by_id, peer, next) {
        if (!peer->listed && peer->outbound != NULL) {
            pps_peers_drop_link(peers, peer->outbound);
        }
    }
}

int
pps_peers_set_hosts(pps_peers_t *peers, const pps_host_list_t *hosts)
{
    pps_peer_t *peer;
    pps_peer_t *next;
    int error = PPS_OK;

    HASH_ITER (hh, peers->by_id, peer, next) {
        peer->listed = 0;
    }
    for (size_t i = 0; i < hosts->count && error == 0; i++) {
        if (strcmp(hosts->hosts[i].id, peers->config.own_id) != 0) {
            error = update_host(peers, &hosts->hosts[i]);
        }
    }
    close_unlisted_links(peers);
    return error;
}

void
pps_peers_set_status(pps_peers_t *peers, const pps_peers_status_t *status)
{
    peers->status = *status;
}

static int
check_message(uint32_t kind, size_t size)
{
    if (kind < PPS_PEERS_KIND_FIRST) {
        return pps_error_set(PPS_EINVALID,
                             "peers: message kind %u is reserved", kind);
    }
    if (size > PPS_PEERS_PAYLOAD_MAX) {
        return pps_error_set(PPS_ELIMIT,
                             "peers: message of %zu bytes is too large", size);
    }
    return PPS_OK;
}

int
pps_peers_send(pps_peers_t *peers, const char *host_id, uint32_t kind,
               const void *payload, size_t size)
{
    pps_peer_t *peer = pps_peers_find(peers, host_id);
    pps_peer_link_t *link = peer ? pps_peer_select_link(peer) : NULL;
    int error = check_message(kind, size);

    if (error != 0) {
        return error;
    }
    if (link == NULL) {
        return pps_error_set(PPS_EUNAVAILABLE, "peers: no link to '%s'",
                             host_id);
    }
    return pps_peer_link_send(link, kind, payload, size);
}

size_t
pps_peers_broadcast(pps_peers_t *peers, uint32_t kind, const void *payload,
                    size_t size)
{
    pps_peer_t *peer;
    pps_peer_t *next;
    size_t count = 0;

    if (check_message(kind, size) != 0) {
        return 0;
    }
    HASH_ITER (hh, peers->by_id, peer, next) {
        pps_peer_link_t *link = pps_peer_select_link(peer);

        if (link != NULL &&
            pps_peer_link_send(link, kind, payload, size) == 0) {
            count++;
        }
    }
    return count;
}

size_t
pps_peers_copy_reports(const pps_peers_t *peers, pps_host_report_t *out,
                       size_t limit)
{
    pps_peer_t *peer;
    pps_peer_t *next;
    size_t count = 0;

    HASH_ITER (hh, peers->by_id, peer, next) {
        if (count < limit) {
            out[count++] = peer->report;
        }
    }
    return count;
}
