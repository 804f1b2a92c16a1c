/** @file tcp_write.h @brief Writes, read buffer and timeout of TCP sockets. */
#ifndef PPS_TRANSPORT_TCP_WRITE_H
#define PPS_TRANSPORT_TCP_WRITE_H

#include <uv.h>

/** Writes all pieces and queues a copy of unsent bytes, whose later failure is
 * not reported. @return 0, PPS_ENOMEM or PPS_EIO */
int
pps_tcp_write(uv_tcp_t *tcp, const uv_buf_t *pieces, unsigned int count);

/** Supplies the read buffer that all connections of the process share. The
 * read callback must consume or copy the bytes. */
void
pps_tcp_get_read_buffer(uv_handle_t *handle, size_t wanted, uv_buf_t *out);

/** Makes the kernel close the connection when sent bytes stay unacknowledged
 * for `timeout_ms` (TCP_USER_TIMEOUT). */
void
pps_tcp_set_user_timeout(uv_tcp_t *tcp, unsigned int timeout_ms);

#endif
