/** @file link.c @brief Runs the handshake and the I/O of one connection. */
#include "peer/link.h"

#include "clock.h"
#include "counters.h"
#include "papayaswitch/errors.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define READ_BYTES 65536
#define HELLO_BODY_MAX 512

typedef struct {
    uv_write_t request;
    pps_peer_link_t *link;
    pps_buf_t bytes;
} write_t;

static _Thread_local char read_buffer[READ_BYTES];

int
pps_peer_link_new(pps_peer_link_t **out, const pps_peer_link_config_t *config,
                  const pps_peer_link_ops_t *ops, void *user)
{
    unsigned char hello_key[PPS_FRAME_KEY_BYTES];
    pps_peer_link_t *link = calloc(1, sizeof(*link));

    if (link == NULL) {
        return pps_error_set(PPS_ENOMEM, "link: out of memory");
    }
    CDS_INIT_LIST_HEAD(&link->node);
    link->config = config;
    link->ops = ops;
    link->user = user;
    link->opened_us = pps_clock_now_us();
    link->received_us = link->opened_us;
    pps_peer_hello_init(&link->own, config->own_id, config->incarnation);
    pps_peer_hello_key(hello_key, config->key);
    memcpy(link->send_key, hello_key, sizeof(hello_key));
    pps_frame_decoder_init(&link->decoder, hello_key);
    link->decoder.body_max = HELLO_BODY_MAX;
    uv_tcp_init(config->loop, &link->tcp);
    link->tcp.data = link;
    *out = link;
    return PPS_OK;
}

static void
on_closed(uv_handle_t *handle)
{
    pps_peer_link_t *link = handle->data;

    link->ops->closed(link, link->user);
    pps_frame_decoder_clear(&link->decoder);
    sodium_memzero(link->send_key, sizeof(link->send_key));
    free(link);
}

void
pps_peer_link_close(pps_peer_link_t *link)
{
    if (link->state != PPS_LINK_CLOSING) {
        link->state = PPS_LINK_CLOSING;
        uv_close((uv_handle_t *)&link->tcp, on_closed);
    }
}

static void
on_written(uv_write_t *request, int status)
{
    write_t *write = (write_t *)request;

    write->link->queued_bytes -= write->bytes.size;
    if (status < 0) {
        pps_peer_link_close(write->link);
    }
    pps_buf_clear(&write->bytes);
    free(write);
}

static int
submit(pps_peer_link_t *link, write_t *write)
{
    uv_buf_t buf = uv_buf_init(write->bytes.data, (unsigned)write->bytes.size);

    link->queued_bytes += write->bytes.size;
    pps_counter_add(PPS_COUNTER_PEER_BYTES_SENT, write->bytes.size);
    if (uv_write(&write->request, (uv_stream_t *)&link->tcp, &buf, 1,
                 on_written) != 0) {
        link->queued_bytes -= write->bytes.size;
        pps_peer_link_close(link);
        return pps_error_set(PPS_ECLOSED, "link: write failed");
    }
    return PPS_OK;
}

int
pps_peer_link_send(pps_peer_link_t *link, uint32_t kind, const void *payload,
                   size_t size)
{
    write_t *write;
    int error;

    if (link->state == PPS_LINK_CLOSING) {
        return pps_error_set(PPS_ECLOSED, "link: closed");
    }
    if (link->queued_bytes + size > link->config->queue_max_bytes) {
        pps_counter_add(PPS_COUNTER_PEER_LINKS_OVERFLOWED, 1);
        pps_peer_link_close(link);
        return pps_error_set(PPS_ELIMIT, "link: send queue is full");
    }
    write = calloc(1, sizeof(*write));
    if (write == NULL) {
        return pps_error_set(PPS_ENOMEM, "link: out of memory");
    }
    write->link = link;
    error = pps_frame_encode(&write->bytes, link->send_key, kind,
                             link->next_sequence, payload, size);
    if (error == 0) {
        link->next_sequence++;
        error = submit(link, write);
    }
    if (error != 0) {
        pps_buf_clear(&write->bytes);
        free(write);
    }
    return error;
}

static void
send_hello(pps_peer_link_t *link)
{
    pps_buf_t payload = PPS_BUF_INIT;

    if (pps_peer_hello_encode(&payload, &link->own) != 0 ||
        pps_peer_link_send(link, PPS_FRAME_HELLO, payload.data,
                           payload.size) != 0) {
        pps_peer_link_close(link);
    }
    pps_buf_clear(&payload);
}

static int
check_hello(pps_peer_link_t *link, const pps_frame_t *frame)
{
    const char *expected = link->initiator ? link->expected_id : NULL;
    int error =
        frame->kind == PPS_FRAME_HELLO
            ? pps_peer_hello_decode(&link->remote, frame->payload, frame->size)
            : PPS_ECORRUPT;

    if (error == PPS_EINVALID) {
        pps_counter_add(PPS_COUNTER_PEER_HELLOS_BAD_VERSION, 1);
        return error;
    }
    if (error != 0) {
        pps_counter_add(PPS_COUNTER_PEER_FRAMES_MALFORMED, 1);
        return error;
    }
    error = pps_peer_hello_check(&link->remote, link->own.id, expected);
    if (error != 0) {
        pps_counter_add(PPS_COUNTER_PEER_HELLOS_BAD_ID, 1);
    }
    return error;
}

static void
receive_hello(pps_peer_link_t *link, const pps_frame_t *frame)
{
    pps_peer_keys_t keys;

    if (check_hello(link, frame) != 0) {
        pps_peer_link_close(link);
        return;
    }
    pps_peer_keys_derive(&keys, link->config->key, &link->own, &link->remote,
                         link->initiator);
    memcpy(link->send_key, keys.send, sizeof(keys.send));
    pps_frame_decoder_rekey(&link->decoder, keys.receive);
    sodium_memzero(&keys, sizeof(keys));
    link->state = PPS_LINK_CONFIRM;
    pps_peer_link_send(link, PPS_FRAME_CONFIRM, NULL, 0);
}

static void
receive_confirm(pps_peer_link_t *link, const pps_frame_t *frame)
{
    if (frame->kind != PPS_FRAME_CONFIRM) {
        pps_counter_add(PPS_COUNTER_PEER_FRAMES_MALFORMED, 1);
        pps_peer_link_close(link);
        return;
    }
    link->state = PPS_LINK_READY;
    link->decoder.body_max = PPS_FRAME_BODY_MAX;
    pps_counter_add(PPS_COUNTER_PEER_LINKS_OPENED, 1);
    link->ops->ready(link, link->user);
}

static void
count_bad_frame(const pps_peer_link_t *link, int error)
{
    pps_counter_t counter = PPS_COUNTER_PEER_FRAMES_MALFORMED;

    if (error == PPS_ELIMIT) {
        counter = PPS_COUNTER_PEER_FRAMES_BAD_LENGTH;
    }
    else if (error == PPS_ECONFLICT) {
        counter = PPS_COUNTER_PEER_FRAMES_BAD_SEQUENCE;
    }
    else if (error == PPS_EREFUSED) {
        counter = link->state == PPS_LINK_READY
                      ? PPS_COUNTER_PEER_FRAMES_BAD_MAC
                      : PPS_COUNTER_PEER_HELLOS_BAD_KEY;
    }
    pps_counter_add(counter, 1);
}

static void
dispatch(pps_peer_link_t *link, const pps_frame_t *frame)
{
    link->received_us = pps_clock_now_us();
    switch (link->state) {
    case PPS_LINK_HELLO:
        receive_hello(link, frame);
        break;
    case PPS_LINK_CONFIRM:
        receive_confirm(link, frame);
        break;
    case PPS_LINK_READY:
        link->ops->frame(link, frame, link->user);
        break;
    case PPS_LINK_CLOSING:
        break;
    }
}

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
    pps_peer_link_t *link = stream->data;
    pps_frame_t frame;
    int got = 0;

    if (size < 0 ||
        pps_frame_decoder_feed(&link->decoder, buf->base, (size_t)size) != 0) {
        pps_peer_link_close(link);
        return;
    }
    pps_counter_add(PPS_COUNTER_PEER_BYTES_RECEIVED, (uint64_t)size);
    while (link->state != PPS_LINK_CLOSING &&
           (got = pps_frame_decoder_next(&link->decoder, &frame)) > 0) {
        dispatch(link, &frame);
    }
    if (got < 0) {
        count_bad_frame(link, got);
        pps_peer_link_close(link);
    }
}

static void
on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buf)
{
    *buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void
start_handshake(pps_peer_link_t *link)
{
    uv_tcp_nodelay(&link->tcp, 1);
    send_hello(link);
    if (link->state != PPS_LINK_CLOSING &&
        uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read) != 0) {
        pps_peer_link_close(link);
    }
}

static void
on_connected(uv_connect_t *request, int status)
{
    pps_peer_link_t *link = request->data;

    if (status == 0 && link->state != PPS_LINK_CLOSING) {
        start_handshake(link);
    }
    else {
        pps_peer_link_close(link);
    }
}

void
pps_peer_link_connect(pps_peer_link_t *link, const pps_host_t *host)
{
    struct sockaddr_storage address;

    link->initiator = 1;
    memcpy(link->expected_id, host->id, sizeof(link->expected_id));
    link->connect.data = link;
    if (uv_ip4_addr(host->address, host->peer_port,
                    (struct sockaddr_in *)&address) != 0 &&
        uv_ip6_addr(host->address, host->peer_port,
                    (struct sockaddr_in6 *)&address) != 0) {
        pps_peer_link_close(link);
        return;
    }
    if (uv_tcp_connect(&link->connect, &link->tcp, (struct sockaddr *)&address,
                       on_connected) != 0) {
        pps_peer_link_close(link);
    }
}

void
pps_peer_link_accept(pps_peer_link_t *link, uv_stream_t *server)
{
    if (uv_accept(server, (uv_stream_t *)&link->tcp) != 0) {
        pps_peer_link_close(link);
        return;
    }
    start_handshake(link);
}
