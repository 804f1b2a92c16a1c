/** @file http_requester.c @brief Implements calls over one HTTP channel. */
#include "http_requester.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ADDRESS_BYTES 64
#define CONNECT_TIMEOUT_US (800 * PPS_US_PER_MS)
#define USER_TIMEOUT_MS 1500
/** Longer idle connections are not reused: they may have failed unnoticed. */
#define IDLE_MAX_US (2 * PPS_US_PER_S)

struct pps_http_requester {
    pps_reactor_t *reactor;
    char address[ADDRESS_BYTES];
    pps_http_channel_t *channel;
    int busy;
    unsigned int status;
    pps_buf_t body;
    pps_timer_t timer;
    pps_http_requester_done_fn done;
    void *user;
    pps_http_requester_head_fn on_head;
    void *head_user;
    const char *fields; /* of all calls */
    size_t body_max;
    int64_t started_us;
    int64_t limit_us; /* of the call in progress */
    int64_t step_us;  /* 0: a call's limit is fixed */
    int64_t max_us;
};

int
pps_http_requester_new(pps_http_requester_t **out, pps_reactor_t *reactor,
                       const char *address)
{
    pps_http_requester_t *requester = calloc(1, sizeof(*requester));

    if (requester == NULL) {
        return PPS_ENOMEM;
    }
    requester->reactor = reactor;
    requester->fields = "";
    requester->body_max = SIZE_MAX;
    snprintf(requester->address, sizeof(requester->address), "%s", address);
    *out = requester;
    return PPS_OK;
}

void
pps_http_requester_set_address(pps_http_requester_t *requester,
                               const char *address)
{
    if (strcmp(requester->address, address) == 0) {
        return;
    }
    if (requester->channel != NULL) {
        pps_http_channel_close(requester->channel);
    }
    snprintf(requester->address, sizeof(requester->address), "%s", address);
}

void
pps_http_requester_set_head_fn(pps_http_requester_t *requester,
                               pps_http_requester_head_fn on_head, void *user)
{
    requester->on_head = on_head;
    requester->head_user = user;
}

void
pps_http_requester_set_fields(pps_http_requester_t *requester,
                              const char *fields)
{
    requester->fields = fields;
}

void
pps_http_requester_set_body_max(pps_http_requester_t *requester, size_t size)
{
    requester->body_max = size;
}

void
pps_http_requester_set_progress(pps_http_requester_t *requester,
                                int64_t step_us, int64_t max_us)
{
    requester->step_us = step_us;
    requester->max_us = max_us;
}

int
pps_http_requester_is_busy(const pps_http_requester_t *requester)
{
    return requester->busy;
}

static void
finish_call(pps_http_requester_t *requester, int error)
{
    pps_buf_t body = requester->body;

    pps_timers_cancel(&requester->timer);
    requester->busy = 0;
    requester->body = (pps_buf_t)PPS_BUF_INIT;
    requester->done(requester->user, error, requester->status,
                    pps_buf_text(&body), body.size);
    pps_buf_clear(&body);
}

static void
on_closed(void *owner, pps_http_channel_t *channel)
{
    pps_http_requester_t *requester = owner;

    if (requester->channel == channel) {
        requester->channel = NULL;
    }
}

static int
on_head(void *user, const pps_http_reply_t *reply)
{
    pps_http_requester_t *requester = user;

    requester->status = reply->status;
    if (requester->on_head != NULL) {
        requester->on_head(requester->head_user, reply);
    }
    return 0;
}

static void
on_timeout(int64_t now_us, void *user)
{
    pps_http_requester_t *requester = user;

    if (requester->channel != NULL) {
        pps_http_channel_close(requester->channel);
    }
    finish_call(requester, PPS_EUNAVAILABLE);
}

/* Moves the limit of the call, never to an earlier time. */
static void
extend_limit(pps_http_requester_t *requester)
{
    int64_t now_us = requester->reactor->now_us;
    int64_t last_us = requester->started_us + requester->max_us;
    int64_t limit_us = now_us + requester->step_us;

    if (limit_us > last_us) {
        limit_us = last_us;
    }
    if (requester->step_us > 0 && limit_us > requester->limit_us) {
        requester->limit_us = limit_us;
        pps_reactor_after(requester->reactor, &requester->timer,
                          limit_us - now_us, on_timeout, requester);
    }
}

static void
on_body(void *user, const char *data, size_t size)
{
    pps_http_requester_t *requester = user;

    if (size > requester->body_max - requester->body.size) {
        pps_http_channel_close(requester->channel);
        finish_call(requester, PPS_ELIMIT);
        return;
    }
    pps_buf_append(&requester->body, data, size);
    extend_limit(requester);
}

static void
on_end(void *user)
{
    finish_call(user, PPS_OK);
}

static void
on_fail(void *user, pps_channel_failure_t failure)
{
    finish_call(user, PPS_EUNAVAILABLE);
}

static const pps_channel_ops_t channel_ops = {on_head, on_body, on_end,
                                              on_fail};

static int
can_be_reused(const pps_http_requester_t *requester)
{
    int64_t now_us = requester->reactor->now_us;
    int64_t idle_us =
        now_us - pps_http_channel_idle_since_us(requester->channel);

    return pps_http_channel_is_idle(requester->channel) &&
           pps_http_channel_expires_us(requester->channel) > now_us &&
           idle_us < IDLE_MAX_US;
}

static int
ensure_channel(pps_http_requester_t *requester)
{
    static const pps_channel_options_t options = {CONNECT_TIMEOUT_US,
                                                  USER_TIMEOUT_MS};

    if (requester->channel != NULL && !can_be_reused(requester)) {
        pps_http_channel_close(requester->channel);
    }
    if (requester->channel != NULL) {
        return PPS_OK;
    }
    return pps_http_channel_new(&requester->channel, requester->reactor,
                                requester->address, &options, on_closed,
                                requester);
}

static int
send_call(pps_http_requester_t *requester, const char *path,
          const pps_buf_t *body)
{
    pps_buf_t text = PPS_BUF_INIT;
    int error;

    pps_buf_printf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s",
                   body != NULL ? "POST" : "GET", path, requester->address,
                   requester->fields);
    if (body != NULL) {
        pps_buf_printf(&text, "Content-Length: %zu\r\n", body->size);
    }
    pps_buf_puts(&text, "\r\n");
    if (body != NULL) {
        pps_buf_append(&text, body->data, body->size);
    }
    error = text.failed
                ? PPS_ENOMEM
                : pps_http_channel_call(requester->channel, text.data,
                                        text.size, &channel_ops, requester);
    pps_buf_clear(&text);
    return error;
}

void
pps_http_requester_call(pps_http_requester_t *requester, const char *path,
                        const pps_buf_t *body, int64_t timeout_us,
                        pps_http_requester_done_fn done, void *user)
{
    int error;

    requester->busy = 1;
    requester->status = 0;
    requester->done = done;
    requester->user = user;
    requester->body.size = 0;
    requester->started_us = requester->reactor->now_us;
    requester->limit_us = requester->started_us + timeout_us;
    error = ensure_channel(requester);
    if (error == 0) {
        error = send_call(requester, path, body);
    }
    pps_reactor_after(requester->reactor, &requester->timer,
                      error != 0 ? 0 : timeout_us, on_timeout, requester);
}
