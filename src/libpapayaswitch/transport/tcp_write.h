/** @file tcp_write.h @brief Writes that copy only what the kernel leaves. */
#ifndef PPS_TRANSPORT_TCP_WRITE_H
#define PPS_TRANSPORT_TCP_WRITE_H

#include <uv.h>

/**
 * Writes all pieces, now or when the socket takes more.
 * @return 0 or PPS_EIO
 */
int
pps_tcp_write(uv_tcp_t *tcp, const uv_buf_t *pieces, unsigned int count);

/** Read memory shared by all connections of the process: what arrives is used
 * up or copied within the callback. */
void
pps_tcp_get_read_buffer(uv_handle_t *handle, size_t wanted, uv_buf_t *out);

/** Has the kernel end the connection when sent bytes stay unacknowledged. */
void
pps_tcp_set_user_timeout(uv_tcp_t *tcp, unsigned int ms);

#endif
