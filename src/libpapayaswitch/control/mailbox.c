/** @file mailbox.c @brief Queue of calls with a wake-up of the loop. */
#include "mailbox.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>

typedef struct {
    struct cds_list_head node;
    void (*run)(void *user);
    void *user;
} queued_call_t;

static void
run_all(pps_mailbox_t *mailbox)
{
    CDS_LIST_HEAD(calls);
    queued_call_t *call;
    queued_call_t *next;

    pthread_mutex_lock(&mailbox->lock);
    cds_list_splice(&mailbox->queue, &calls);
    CDS_INIT_LIST_HEAD(&mailbox->queue);
    pthread_mutex_unlock(&mailbox->lock);
    cds_list_for_each_entry_safe (call, next, &calls, node) {
        call->run(call->user);
        free(call);
    }
}

static void
on_wake(uv_async_t *wake)
{
    run_all(wake->data);
}

int
pps_mailbox_open(pps_mailbox_t *mailbox, uv_loop_t *loop)
{
    pthread_mutex_init(&mailbox->lock, NULL);
    CDS_INIT_LIST_HEAD(&mailbox->queue);
    if (uv_async_init(loop, &mailbox->wake, on_wake) != 0) {
        return pps_error_set(PPS_EIO,
                             "mailbox: the wake-up handle could not be "
                             "initialized");
    }
    mailbox->wake.data = mailbox;
    return PPS_OK;
}

int
pps_mailbox_post(pps_mailbox_t *mailbox, void (*run)(void *user), void *user)
{
    queued_call_t *call = malloc(sizeof(*call));

    if (call == NULL) {
        return pps_error_set(PPS_ENOMEM, "mailbox: out of memory");
    }
    call->run = run;
    call->user = user;
    pthread_mutex_lock(&mailbox->lock);
    cds_list_add_tail(&call->node, &mailbox->queue);
    pthread_mutex_unlock(&mailbox->lock);
    uv_async_send(&mailbox->wake);
    return PPS_OK;
}

void
pps_mailbox_close(pps_mailbox_t *mailbox)
{
    run_all(mailbox);
    uv_close((uv_handle_t *)&mailbox->wake, NULL);
}
