/** @file net.c @brief Implements the scripted servers and raw clients. */
#include "net.h"

#include "clock.h"
#include "steady_clock.h"
#include "transport/tcp_write.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Longest wait of the loop, which steady_clock.h counts in full. */
#define WAKE_MS 1

typedef struct {
    struct cds_list_head node;
    uv_tcp_t tcp;
    net_server_t *server;
    pps_buf_t got;
    int closed;
} peer_t;

static void
on_peer_closed(uv_handle_t *handle)
{
    peer_t *peer = handle->data;

    cds_list_del(&peer->node);
    pps_buf_clear(&peer->got);
    free(peer);
}

static void
close_peer(peer_t *peer)
{
    if (!peer->closed) {
        peer->closed = 1;
        uv_close((uv_handle_t *)&peer->tcp, on_peer_closed);
    }
}

static void
on_peer_reset(uv_handle_t *handle)
{
    on_peer_closed(handle);
}

static void
reset_peer(peer_t *peer)
{
    if (!peer->closed) {
        peer->closed = 1;
        uv_tcp_close_reset(&peer->tcp, on_peer_reset);
    }
}

static void
bind_listener(net_server_t *server);

static void
start_listening(net_server_t *server);

/* Returns the length of the first request, or 0 if it is incomplete. */
static size_t
request_size(const pps_buf_t *got)
{
    const char *end = got->size ? strstr(got->data, "\r\n\r\n") : NULL;
    const char *length =
        got->size ? strstr(got->data, "Content-Length: ") : NULL;
    size_t size;

    if (end == NULL) {
        return 0;
    }
    size = (size_t)(end + 4 - got->data);
    if (length != NULL && length < end) {
        size += strtoul(length + strlen("Content-Length: "), NULL, 10);
    }
    return got->size >= size ? size : 0;
}

static void
find_id(char *out, size_t size, const char *text)
{
    const char *field = strstr(text, "X-Request-Id: ");

    out[0] = '\0';
    if (field != NULL) {
        field += strlen("X-Request-Id: ");
        snprintf(out, size, "%.*s", (int)strcspn(field, "\r"), field);
    }
}

/* Sends a text, with the request's id in the place of "%s". */
static void
send_text(peer_t *peer, const char *text, const char *id)
{
    const char *placeholder = strstr(text, "%s");
    pps_buf_t filled = PPS_BUF_INIT;
    uv_buf_t piece;

    if (placeholder != NULL) {
        pps_buf_append(&filled, text, (size_t)(placeholder - text));
        pps_buf_puts(&filled, id);
        pps_buf_puts(&filled, placeholder + 2);
    }
    else {
        pps_buf_puts(&filled, text);
    }
    piece = uv_buf_init(filled.data, (unsigned int)filled.size);
    pps_tcp_write(&peer->tcp, &piece, 1);
    pps_buf_clear(&filled);
}

static void
listen_again(int64_t now_us, void *user)
{
    net_server_t *server = user;

    start_listening(server);
    server->is_down = 0;
    if (server->on_restart != NULL) {
        server->on_restart(server->user, server);
    }
}

static void
on_listener_closed(uv_handle_t *handle)
{
    free(handle);
}

static void
on_crash_due(int64_t now_us, void *user)
{
    net_server_t *server = user;
    peer_t *peer;
    peer_t *next;

    cds_list_for_each_entry_safe (peer, next, &server->peers, node) {
        if (server->crash_closes) {
            close_peer(peer);
        }
        else {
            reset_peer(peer);
        }
    }
    uv_close((uv_handle_t *)server->listener, on_listener_closed);
    bind_listener(server);
    pps_reactor_after(server->reactor, &server->restart_timer,
                      server->restart_ms * PPS_US_PER_MS, listen_again,
                      server);
}

/* Ends the server a moment after the head of the answer. */
static void
crash(net_server_t *server, peer_t *peer, const char *id)
{
    if (server->is_down) {
        return;
    }
    server->is_down = 1;
    server->crashes++;
    if (server->crash_head != NULL) {
        send_text(peer, server->crash_head, id);
    }
    pps_reactor_after(server->reactor, &server->restart_timer,
                      server->crash_delay_ms * PPS_US_PER_MS, on_crash_due,
                      server);
}

static void
answer(peer_t *peer, size_t size)
{
    net_server_t *server = peer->server;
    size_t script_index = (*server->script_index)++;
    size_t index = script_index < server->script_size
                       ? script_index
                       : server->script_size - 1;
    const net_answer_t *script = &server->script[index];
    char id[64];

    server->last.size = 0;
    pps_buf_append(&server->last, peer->got.data, size);
    find_id(id, sizeof(id), server->last.data);
    server->requests++;
    server->last_peer = peer;
    pps_buf_consume(&peer->got, size);
    if (server->crash_text != NULL &&
        strstr(server->last.data, server->crash_text) != NULL) {
        crash(server, peer, id);
        return;
    }
    if (script->text != NULL) {
        send_text(peer, script->text, id);
    }
    if (script->end == NET_CLOSE) {
        close_peer(peer);
    }
    if (script->end == NET_RESET) {
        reset_peer(peer);
    }
}

static void
on_peer_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    peer_t *peer = stream->data;
    size_t request_bytes;

    if (size < 0) {
        peer->server->closed++;
        close_peer(peer);
        return;
    }
    pps_buf_append(&peer->got, buffer->base, (size_t)size);
    while (!peer->closed && (request_bytes = request_size(&peer->got)) > 0) {
        answer(peer, request_bytes);
    }
}

static void
on_connection(uv_stream_t *listener, int status)
{
    net_server_t *server = listener->data;
    peer_t *peer = calloc(1, sizeof(*peer));

    cr_assert_not_null(peer);
    cds_list_add_tail(&peer->node, &server->peers);
    peer->server = server;
    uv_tcp_init(&server->reactor->loop, &peer->tcp);
    peer->tcp.data = peer;
    cr_assert_eq(uv_accept(listener, (uv_stream_t *)&peer->tcp), 0);
    uv_read_start((uv_stream_t *)&peer->tcp, pps_tcp_get_read_buffer,
                  on_peer_read);
}

/* Binds the server's address, or a free port if it has none. Until the socket
 * listens, connections are refused, and the port can't be given to others. */
static void
bind_listener(net_server_t *server)
{
    struct sockaddr_in endpoint;
    const char *colon = strchr(server->address, ':');
    int size = sizeof(endpoint);

    server->listener = calloc(1, sizeof(*server->listener));
    cr_assert_not_null(server->listener);
    uv_tcp_init(&server->reactor->loop, server->listener);
    server->listener->data = server;
    uv_ip4_addr("127.0.0.1", colon != NULL ? atoi(colon + 1) : 0, &endpoint);
    cr_assert_eq(
        uv_tcp_bind(server->listener, (struct sockaddr *)&endpoint, 0), 0);
    uv_tcp_getsockname(server->listener, (struct sockaddr *)&endpoint, &size);
    snprintf(server->address, sizeof(server->address), "127.0.0.1:%u",
             ntohs(endpoint.sin_port));
}

static void
start_listening(net_server_t *server)
{
    cr_assert_eq(uv_listen((uv_stream_t *)server->listener, 64, on_connection),
                 0);
}

void
net_server_start(net_server_t *server, pps_reactor_t *reactor,
                 const net_answer_t *script, size_t script_size)
{
    memset(server, 0, sizeof(*server));
    server->reactor = reactor;
    server->script = script;
    server->script_size = script_size;
    server->script_index = &server->own_script_index;
    CDS_INIT_LIST_HEAD(&server->peers);
    bind_listener(server);
    start_listening(server);
}

void
net_server_share_script(net_server_t *servers, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        servers[i].script_index = &servers[0].own_script_index;
    }
}

void
net_server_send(net_server_t *server, const char *data, size_t size)
{
    peer_t *peer = server->last_peer;
    uv_buf_t piece = uv_buf_init((char *)data, (unsigned int)size);

    pps_tcp_write(&peer->tcp, &piece, 1);
}

static void
on_client_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    net_client_t *client = stream->data;

    if (size < 0) {
        client->ended = size == UV_EOF ? 1 : -1;
        net_client_close(client);
        return;
    }
    pps_buf_append(&client->got, buffer->base, (size_t)size);
}

static void
on_client_connected(uv_connect_t *request, int status)
{
    net_client_t *client = request->data;
    uv_buf_t piece =
        uv_buf_init(client->to_send.data, (unsigned int)client->to_send.size);

    cr_assert_eq(status, 0);
    uv_read_start((uv_stream_t *)&client->tcp, pps_tcp_get_read_buffer,
                  on_client_read);
    pps_tcp_write(&client->tcp, &piece, 1);
}

void
net_server_reset(net_server_t *server)
{
    if (server->last_peer != NULL) {
        reset_peer(server->last_peer);
        server->last_peer = NULL;
    }
}

void
net_client_start(net_client_t *client, pps_reactor_t *reactor,
                 unsigned int port, const char *text)
{
    struct sockaddr_in endpoint;

    memset(client, 0, sizeof(*client));
    pps_buf_puts(&client->to_send, text);
    uv_tcp_init(&reactor->loop, &client->tcp);
    client->tcp.data = client;
    client->connect.data = client;
    uv_ip4_addr("127.0.0.1", (int)port, &endpoint);
    cr_assert_eq(uv_tcp_connect(&client->connect, &client->tcp,
                                (struct sockaddr *)&endpoint,
                                on_client_connected),
                 0);
}

void
net_client_close(net_client_t *client)
{
    if (!uv_is_closing((uv_handle_t *)&client->tcp)) {
        uv_close((uv_handle_t *)&client->tcp, NULL);
    }
}

static void
on_wake(uv_timer_t *timer)
{
}

int
net_run_until(pps_reactor_t *reactor, const size_t *value, size_t wanted,
              unsigned int limit_ms)
{
    int64_t end_us = steady_clock_now_us() + limit_ms * PPS_US_PER_MS;
    uv_timer_t wake;

    uv_timer_init(&reactor->loop, &wake);
    uv_timer_start(&wake, on_wake, WAKE_MS, WAKE_MS);
    while (*value < wanted && steady_clock_now_us() < end_us) {
        uv_run(&reactor->loop, UV_RUN_ONCE);
    }
    uv_close((uv_handle_t *)&wake, NULL);
    uv_run(&reactor->loop, UV_RUN_NOWAIT);
    return *value >= wanted;
}

void
net_run_until_ended(pps_reactor_t *reactor, const net_client_t *client,
                    unsigned int limit_ms)
{
    for (unsigned int waited = 0; !client->ended && waited < limit_ms;
         waited += 5) {
        net_run_for(reactor, 5);
    }
}

void
net_run_for(pps_reactor_t *reactor, unsigned int ms)
{
    size_t never = 0;

    net_run_until(reactor, &never, 1, ms);
}
