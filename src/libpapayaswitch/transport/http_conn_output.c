/** @file http_conn_output.c @brief Collects the output of a response. */
#include "http_server_state.h"

#include "papayaswitch/errors.h"
#include "tcp_write.h"

int
pps_http_conn_flush(pps_http_conn_t *conn)
{
    uv_buf_t piece =
        uv_buf_init(conn->output.data, (unsigned int)conn->output.size);
    int error = PPS_OK;

    pps_reactor_cancel_deferred(&conn->flush);
    if (conn->output.failed) {
        error = PPS_ENOMEM;
    }
    else if (conn->output.size > 0) {
        error = pps_tcp_write_then(&conn->tcp, &piece, 1,
                                   pps_http_conn_on_written, conn);
    }
    pps_buf_clear(&conn->output);
    return error;
}

void
pps_http_conn_collect(pps_http_conn_t *conn, const uv_buf_t *pieces,
                      unsigned int count, void (*on_flush)(void *user))
{
    for (unsigned int i = 0; i < count; i++) {
        pps_buf_append(&conn->output, pieces[i].base, pieces[i].len);
    }
    pps_reactor_defer(conn->server->reactor, &conn->flush, on_flush, conn);
}
