/** @file tcp_write.h @brief Writes, read buffer and timeout of TCP sockets. */
#ifndef PPS_TRANSPORT_TCP_WRITE_H
#define PPS_TRANSPORT_TCP_WRITE_H

#include <uv.h>

/** Writes all pieces and queues a copy of unsent bytes, whose later failure is
 * not reported. @return 0, PPS_ENOMEM or PPS_EIO */
int
pps_tcp_write(uv_tcp_t *tcp, const uv_buf_t *pieces, unsigned int count);

/** Called when a write that could not be done at once has ended.
 * @param error 0 or a libuv error */
typedef void (*pps_tcp_written_fn)(void *user, int error);

/** The same as pps_tcp_write(). Bytes that are queued are reported when they
 * are written or given up; nothing is reported if none are queued. */
int
pps_tcp_write_then(uv_tcp_t *tcp, const uv_buf_t *pieces, unsigned int count,
                   pps_tcp_written_fn on_done, void *user);

/** Supplies the read buffer that all connections of the process share. The
 * read callback must consume or copy the bytes. */
void
pps_tcp_get_read_buffer(uv_handle_t *handle, size_t wanted, uv_buf_t *out);

/** Makes the kernel close the connection when sent bytes stay unacknowledged
 * for `timeout_ms` (TCP_USER_TIMEOUT). */
void
pps_tcp_set_user_timeout(uv_tcp_t *tcp, unsigned int timeout_ms);

/** Initializes a socket whose connections leave from a local address.
 * @param address IPv4; NULL, or one that can't be used: any address */
void
pps_tcp_init_from(uv_tcp_t *tcp, uv_loop_t *loop, const char *address);

/** Returns whether the peer has ended a connection in order, so that what it
 * sent is complete. A reset is not always what a read reports: libuv gives the
 * end of file right after data, and a write that fails takes the error from
 * the socket, which then reads as ended.
 * @param read_error what the read reported, negative
 * @param write_error what a write reported before, 0: none has failed */
int
pps_tcp_ended_in_order(const uv_tcp_t *tcp, ssize_t read_error,
                       int write_error);

#endif
