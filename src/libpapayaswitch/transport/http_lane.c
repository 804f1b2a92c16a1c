/** @file http_lane.c @brief Calls over one kept connection. */
#include "http_lane.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ADDRESS_BYTES 64
#define CONNECT_US (800 * PPS_US_PER_MS)
#define USER_TIMEOUT_MS 1500
/** A connection idle for longer is not trusted: it may have gone silent. */
#define IDLE_MAX_US (2 * PPS_US_PER_S)

struct pps_http_lane {
    pps_reactor_t *reactor;
    char address[ADDRESS_BYTES];
    pps_http_channel_t *channel;
    int busy;
    unsigned int status;
    pps_buf_t body;
    pps_timer_t timer;
    pps_lane_done_fn done;
    void *user;
};

int
pps_http_lane_new(pps_http_lane_t **out, pps_reactor_t *reactor,
                  const char *address)
{
    pps_http_lane_t *lane = calloc(1, sizeof(*lane));

    if (lane == NULL) {
        return PPS_ENOMEM;
    }
    lane->reactor = reactor;
    snprintf(lane->address, sizeof(lane->address), "%s", address);
    *out = lane;
    return PPS_OK;
}

void
pps_http_lane_set_address(pps_http_lane_t *lane, const char *address)
{
    if (strcmp(lane->address, address) == 0) {
        return;
    }
    if (lane->channel != NULL) {
        pps_http_channel_close(lane->channel);
    }
    snprintf(lane->address, sizeof(lane->address), "%s", address);
}

int
pps_http_lane_is_busy(const pps_http_lane_t *lane)
{
    return lane->busy;
}

static void
finish(pps_http_lane_t *lane, int error)
{
    pps_buf_t body = lane->body;

    pps_timers_cancel(&lane->timer);
    lane->busy = 0;
    lane->body = (pps_buf_t)PPS_BUF_INIT;
    lane->done(lane->user, error, lane->status, pps_buf_text(&body),
               body.size);
    pps_buf_clear(&body);
}

static void
on_closed(void *owner, pps_http_channel_t *channel)
{
    pps_http_lane_t *lane = owner;

    if (lane->channel == channel) {
        lane->channel = NULL;
    }
}

static int
on_head(void *user, const pps_http_reply_t *reply)
{
    pps_http_lane_t *lane = user;

    lane->status = reply->status;
    return 0;
}

static void
on_body(void *user, const char *data, size_t size)
{
    pps_http_lane_t *lane = user;

    pps_buf_append(&lane->body, data, size);
}

static void
on_end(void *user)
{
    finish(user, PPS_OK);
}

static void
on_fail(void *user, pps_channel_failure_t failure)
{
    finish(user, PPS_EUNAVAILABLE);
}

static const pps_channel_ops_t channel_ops = {on_head, on_body, on_end,
                                              on_fail};

static void
on_timeout(int64_t now_us, void *user)
{
    pps_http_lane_t *lane = user;

    if (lane->channel != NULL) {
        pps_http_channel_close(lane->channel);
    }
    finish(lane, PPS_EUNAVAILABLE);
}

static int
can_be_reused(const pps_http_lane_t *lane)
{
    int64_t now_us = lane->reactor->now_us;
    int64_t idle_us = now_us - pps_http_channel_idle_since_us(lane->channel);

    return pps_http_channel_is_idle(lane->channel) &&
           pps_http_channel_expires_us(lane->channel) > now_us &&
           idle_us < IDLE_MAX_US;
}

static int
take_channel(pps_http_lane_t *lane)
{
    static const pps_channel_options_t options = {CONNECT_US, USER_TIMEOUT_MS};

    if (lane->channel != NULL && !can_be_reused(lane)) {
        pps_http_channel_close(lane->channel);
    }
    if (lane->channel != NULL) {
        return PPS_OK;
    }
    return pps_http_channel_new(&lane->channel, lane->reactor, lane->address,
                                &options, on_closed, lane);
}

static int
send_call(pps_http_lane_t *lane, const char *path, const pps_buf_t *body)
{
    pps_buf_t text = PPS_BUF_INIT;
    int error;

    pps_buf_printf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n",
                   body != NULL ? "POST" : "GET", path, lane->address);
    if (body != NULL) {
        pps_buf_printf(&text, "Content-Length: %zu\r\n", body->size);
    }
    pps_buf_puts(&text, "\r\n");
    if (body != NULL) {
        pps_buf_append(&text, body->data, body->size);
    }
    error = text.failed ? PPS_ENOMEM
                        : pps_http_channel_call(lane->channel, text.data,
                                                text.size, &channel_ops, lane);
    pps_buf_clear(&text);
    return error;
}

void
pps_http_lane_call(pps_http_lane_t *lane, const char *path,
                   const pps_buf_t *body, int64_t timeout_us,
                   pps_lane_done_fn done, void *user)
{
    int error;

    lane->busy = 1;
    lane->status = 0;
    lane->done = done;
    lane->user = user;
    lane->body.size = 0;
    error = take_channel(lane);
    if (error == 0) {
        error = send_call(lane, path, body);
    }
    pps_reactor_after(lane->reactor, &lane->timer, error != 0 ? 0 : timeout_us,
                      on_timeout, lane);
}
