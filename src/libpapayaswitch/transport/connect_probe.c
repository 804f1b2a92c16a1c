/** @file connect_probe.c @brief Connects to an address and closes. */
#include "connect_probe.h"

#include "address.h"
#include "papayaswitch/errors.h"
#include "tcp_write.h"

#include <stdlib.h>

typedef struct {
    uv_tcp_t tcp;
    uv_connect_t connect;
    pps_timer_t timer;
    pps_probe_fn done; /* NULL: reported */
    void *user;
} probe_t;

static void
on_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void
finish(probe_t *probe, pps_probe_result_t result)
{
    pps_probe_fn done = probe->done;

    if (done == NULL) {
        return;
    }
    probe->done = NULL;
    pps_timers_cancel(&probe->timer);
    uv_close((uv_handle_t *)&probe->tcp, on_closed);
    done(probe->user, result);
}

static void
on_connected(uv_connect_t *request, int status)
{
    pps_probe_result_t result = PPS_PROBE_UNANSWERED;

    if (status == 0) {
        result = PPS_PROBE_ACCEPTED;
    }
    else if (status == UV_ECONNREFUSED || status == UV_ECONNRESET) {
        result = PPS_PROBE_REFUSED;
    }
    finish(request->data, result);
}

static void
on_timer(int64_t now_us, void *user)
{
    finish(user, PPS_PROBE_UNANSWERED);
}

int
pps_connect_probe_start(pps_reactor_t *reactor, const char *address,
                        const char *local_address, int64_t timeout_us,
                        pps_probe_fn done, void *user)
{
    struct sockaddr_in endpoint;
    probe_t *probe;

    if (pps_address_parse(&endpoint, address) != 0) {
        return pps_error_set(PPS_EINVALID, "%s: not an IPv4 address and port",
                             address);
    }
    probe = calloc(1, sizeof(*probe));
    if (probe == NULL) {
        return PPS_ENOMEM;
    }
    probe->done = done;
    probe->user = user;
    pps_tcp_init_from(&probe->tcp, &reactor->loop, local_address);
    probe->tcp.data = probe;
    probe->connect.data = probe;
    if (uv_tcp_connect(&probe->connect, &probe->tcp,
                       (struct sockaddr *)&endpoint, on_connected) != 0) {
        uv_close((uv_handle_t *)&probe->tcp, on_closed);
        return PPS_EIO;
    }
    pps_reactor_after(reactor, &probe->timer, timeout_us, on_timer, probe);
    return PPS_OK;
}
