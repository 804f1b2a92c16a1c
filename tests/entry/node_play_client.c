/** @file node_play_client.c @brief The functions of a play that take the place
 * of those of http_requester.c, and of the one by which a host answers. */
#include "node_play_net.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>

int
__wrap_pps_http_requester_new(pps_http_requester_t **out,
                              pps_reactor_t *reactor, const char *address);
void
__wrap_pps_http_requester_set_address(pps_http_requester_t *requester,
                                      const char *address);
void
__wrap_pps_http_requester_set_head_fn(pps_http_requester_t *requester,
                                      pps_http_requester_head_fn on_head,
                                      void *user);
void
__wrap_pps_http_requester_set_fields(pps_http_requester_t *requester,
                                     const char *fields);
void
__wrap_pps_http_requester_set_body_max(pps_http_requester_t *requester,
                                       size_t size);
void
__wrap_pps_http_requester_set_progress(pps_http_requester_t *requester,
                                       int64_t step_us, int64_t max_us);
int
__wrap_pps_http_requester_is_busy(const pps_http_requester_t *requester);
void
__wrap_pps_http_requester_call(pps_http_requester_t *requester,
                               const char *path, const pps_buf_t *body,
                               int64_t timeout_us,
                               pps_http_requester_done_fn done, void *user);
void
__wrap_pps_http_conn_respond(pps_http_conn_t *conn, unsigned int status,
                             const char *fields, const void *body,
                             size_t size);

int
__wrap_pps_http_requester_new(pps_http_requester_t **out,
                              pps_reactor_t *reactor, const char *address)
{
    pps_http_requester_t *requester = calloc(1, sizeof(*requester));

    cr_assert_not_null(requester);
    requester->host = node_play->running;
    requester->fields = "";
    __wrap_pps_http_requester_set_address(requester, address);
    *out = requester;
    return PPS_OK;
}

void
__wrap_pps_http_requester_set_address(pps_http_requester_t *requester,
                                      const char *address)
{
    snprintf(requester->address, sizeof(requester->address), "%s", address);
}

void
__wrap_pps_http_requester_set_head_fn(pps_http_requester_t *requester,
                                      pps_http_requester_head_fn on_head,
                                      void *user)
{
    requester->on_head = on_head;
    requester->head_user = user;
}

void
__wrap_pps_http_requester_set_fields(pps_http_requester_t *requester,
                                     const char *fields)
{
    requester->fields = fields;
}

void
__wrap_pps_http_requester_set_body_max(pps_http_requester_t *requester,
                                       size_t size)
{
}

void
__wrap_pps_http_requester_set_progress(pps_http_requester_t *requester,
                                       int64_t step_us, int64_t max_us)
{
}

int
__wrap_pps_http_requester_is_busy(const pps_http_requester_t *requester)
{
    return requester->is_busy;
}

void
__wrap_pps_http_requester_call(pps_http_requester_t *requester,
                               const char *path, const pps_buf_t *body,
                               int64_t timeout_us,
                               pps_http_requester_done_fn done, void *user)
{
    node_play_event_t event = {
        .at_us = node_play->now_us + node_play_draw_latency_us(),
        .kind = EVENT_REQUEST,
        .host = requester->host,
        .incarnation = node_play->hosts[requester->host].incarnation,
        .requester = requester,
        .call = ++requester->call,
    };

    cr_assert_not(requester->is_busy);
    requester->is_busy = 1;
    requester->done = done;
    requester->user = user;
    snprintf(requester->path, sizeof(requester->path), "%s", path);
    pps_buf_clear(&requester->body);
    requester->has_body = body != NULL;
    if (body != NULL) {
        pps_buf_append(&requester->body, body->data, body->size);
    }
    node_play_push(event);
    event.kind = EVENT_TIMEOUT;
    event.at_us = node_play->now_us + timeout_us;
    node_play_push(event);
}

void
__wrap_pps_http_conn_respond(pps_http_conn_t *conn, unsigned int status,
                             const char *fields, const void *body, size_t size)
{
    struct pps_http_conn *answer = (struct pps_http_conn *)conn;

    answer->status = status;
    pps_buf_puts(&answer->fields, fields);
    pps_buf_append(&answer->body, body, size);
}
