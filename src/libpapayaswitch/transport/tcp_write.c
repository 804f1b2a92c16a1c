/** @file tcp_write.c @brief Implements the TCP socket helpers. */
#include "tcp_write.h"

#include "papayaswitch/errors.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define READ_BUFFER_BYTES 65536

typedef struct {
    uv_write_t request;
    pps_tcp_written_fn written; /* or NULL */
    void *user;
    char data[];
} queued_write_t;

static char read_buffer[READ_BUFFER_BYTES];

static void
on_written(uv_write_t *request, int status)
{
    queued_write_t *queued = request->data;

    if (queued->written != NULL) {
        queued->written(queued->user, status);
    }
    free(queued);
}

static size_t
total_size(const uv_buf_t *pieces, unsigned int count)
{
    size_t size = 0;

    for (unsigned int i = 0; i < count; i++) {
        size += pieces[i].len;
    }
    return size;
}

/* Queues a copy of what `skip` bytes leave. */
static int
queue_remainder(uv_tcp_t *tcp, const uv_buf_t *pieces, unsigned int count,
                size_t skip, pps_tcp_written_fn written, void *user)
{
    queued_write_t *queued =
        malloc(sizeof(*queued) + total_size(pieces, count) - skip);
    size_t filled = 0;
    uv_buf_t remainder;

    if (queued == NULL) {
        return PPS_ENOMEM;
    }
    for (unsigned int i = 0; i < count; i++) {
        if (skip >= pieces[i].len) {
            skip -= pieces[i].len;
            continue;
        }
        memcpy(queued->data + filled, pieces[i].base + skip,
               pieces[i].len - skip);
        filled += pieces[i].len - skip;
        skip = 0;
    }
    queued->request.data = queued;
    queued->written = written;
    queued->user = user;
    remainder = uv_buf_init(queued->data, (unsigned int)filled);
    if (uv_write(&queued->request, (uv_stream_t *)tcp, &remainder, 1,
                 on_written) != 0) {
        free(queued);
        return PPS_EIO;
    }
    return PPS_OK;
}

int
pps_tcp_write(uv_tcp_t *tcp, const uv_buf_t *pieces, unsigned int count)
{
    return pps_tcp_write_then(tcp, pieces, count, NULL, NULL);
}

int
pps_tcp_write_then(uv_tcp_t *tcp, const uv_buf_t *pieces, unsigned int count,
                   pps_tcp_written_fn on_done, void *user)
{
    size_t size = total_size(pieces, count);
    int written = 0;

    if (tcp->write_queue_size == 0) {
        written = uv_try_write((uv_stream_t *)tcp, pieces, count);
        if (written == UV_EAGAIN) {
            written = 0;
        }
        if (written < 0) {
            return PPS_EIO;
        }
    }
    if ((size_t)written == size) {
        return PPS_OK;
    }
    return queue_remainder(tcp, pieces, count, (size_t)written, on_done, user);
}

void
pps_tcp_get_read_buffer(uv_handle_t *handle, size_t wanted, uv_buf_t *out)
{
    *out = uv_buf_init(read_buffer, sizeof(read_buffer));
}

void
pps_tcp_set_user_timeout(uv_tcp_t *tcp, unsigned int timeout_ms)
{
    uv_os_fd_t fd;

    if (uv_fileno((uv_handle_t *)tcp, &fd) == 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                   sizeof(timeout_ms));
    }
}

/* Ports are chosen at the connection, so that a port is free for each server
 * as with sockets that are not bound. */
static void
choose_port_late(const uv_tcp_t *tcp)
{
    uv_os_fd_t fd;
    int on = 1;

    if (uv_fileno((const uv_handle_t *)tcp, &fd) == 0) {
        setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
    }
}

void
pps_tcp_init_from(uv_tcp_t *tcp, uv_loop_t *loop, const char *address)
{
    struct sockaddr_in endpoint;

    if (address == NULL || address[0] == '\0' ||
        uv_ip4_addr(address, 0, &endpoint) != 0) {
        uv_tcp_init(loop, tcp);
        return;
    }
    uv_tcp_init_ex(loop, tcp, AF_INET);
    choose_port_late(tcp);
    uv_tcp_bind(tcp, (const struct sockaddr *)&endpoint, 0);
}

static int
was_reset(const uv_tcp_t *tcp)
{
    uv_os_fd_t fd;
    char byte;

    return uv_fileno((const uv_handle_t *)tcp, &fd) != 0 ||
           recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
}

int
pps_tcp_ended_in_order(const uv_tcp_t *tcp, ssize_t read_error,
                       int write_error)
{
    return read_error == UV_EOF && write_error == 0 && !was_reset(tcp);
}
