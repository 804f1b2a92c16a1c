/** @file relay_probe.c @brief Asks a neighbour whether a worker takes
 * connections. */
#include "papayaswitch/errors.h"
#include "relay_call.h"
#include "relay_target.h"
#include "relay_wire.h"

#include <stdlib.h>

#define USER_TIMEOUT_MS 1000

typedef struct {
    pps_http_channel_t *channel;
    pps_timer_t timer;
    unsigned int status;
    pps_probe_fn done;
    void *user;
} relay_probe_t;

static pps_probe_result_t
result_of(unsigned int status)
{
    switch (status) {
    case PPS_RELAY_CONNECTED:
        return PPS_PROBE_ACCEPTED;
    case PPS_RELAY_REFUSED:
        return PPS_PROBE_REFUSED;
    default:
        return PPS_PROBE_UNANSWERED;
    }
}

static void
finish(relay_probe_t *probe)
{
    pps_probe_fn done = probe->done;
    void *user = probe->user;
    pps_probe_result_t result = result_of(probe->status);

    pps_timers_cancel(&probe->timer);
    free(probe);
    done(user, result);
}

static int
on_head(void *user, const pps_http_reply_t *reply)
{
    ((relay_probe_t *)user)->status = reply->status;
    return 0;
}

static void
on_body(void *user, const char *data, size_t size)
{
}

static void
on_end(void *user)
{
    relay_probe_t *probe = user;

    pps_http_channel_close(probe->channel);
    finish(probe);
}

static void
on_fail(void *user, pps_channel_failure_t failure)
{
    relay_probe_t *probe = user;

    probe->status = 0;
    finish(probe);
}

static const pps_channel_ops_t ops = {on_head, on_body, on_end, on_fail};

static void
on_timeout(int64_t now_us, void *user)
{
    relay_probe_t *probe = user;

    pps_http_channel_close(probe->channel);
    probe->status = 0;
    finish(probe);
}

static int
send_probe(relay_probe_t *probe, const pps_relay_route_t *route)
{
    const pps_relay_target_t target = {.worker = route->worker};
    pps_buf_t text = PPS_BUF_INIT;
    int error;

    pps_buf_puts(&text, "GET ");
    pps_relay_target_write(&text, &target);
    pps_buf_puts(&text, " HTTP/1.1\r\nHost: relay\r\n"
                        "Connection: close\r\n\r\n");
    error = text.failed ? PPS_ENOMEM
                        : pps_http_channel_call(probe->channel, text.data,
                                                text.size, &ops, probe);
    pps_buf_clear(&text);
    return error;
}

int
pps_relay_probe_start(pps_reactor_t *reactor, const pps_relay_route_t *route,
                      int64_t timeout_us, pps_probe_fn done, void *user)
{
    const pps_channel_options_t options = {
        .connect_us = timeout_us,
        .user_timeout_ms = USER_TIMEOUT_MS,
        .local_address = route->local_address,
    };
    relay_probe_t *probe = calloc(1, sizeof(*probe));
    int error;

    if (probe == NULL) {
        return PPS_ENOMEM;
    }
    probe->done = done;
    probe->user = user;
    error = pps_http_channel_new(&probe->channel, reactor, route->neighbour,
                                 &options, NULL, NULL);
    if (error != 0) {
        free(probe);
        return error;
    }
    error = send_probe(probe, route);
    if (error != 0) {
        pps_http_channel_close(probe->channel);
        free(probe);
        return error;
    }
    pps_reactor_after(reactor, &probe->timer, timeout_us, on_timeout, probe);
    return PPS_OK;
}
