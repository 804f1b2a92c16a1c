/** @file tcp_write.h @brief Socket writes that copy only unsent bytes. */
#ifndef PPS_TRANSPORT_TCP_WRITE_H
#define PPS_TRANSPORT_TCP_WRITE_H

#include <uv.h>

/**
 * Writes all pieces; copies and queues what the socket does not accept.
 * @return 0, PPS_ENOMEM or PPS_EIO
 */
int
pps_tcp_write(uv_tcp_t *tcp, const uv_buf_t *pieces, unsigned int count);

/** Supplies the read buffer that all connections of the process share. The
 * read callback must consume or copy the bytes. */
void
pps_tcp_get_read_buffer(uv_handle_t *handle, size_t wanted, uv_buf_t *out);

/** Limits how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT). */
void
pps_tcp_set_user_timeout(uv_tcp_t *tcp, unsigned int ms);

#endif
