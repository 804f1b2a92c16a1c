/** @file mailbox.c @brief Queue of calls with a loop wake-up. */
#include "mailbox.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>

typedef struct {
    struct cds_list_head node;
    void (*run)(void *user);
    void *user;
} letter_t;

static void
run_all(pps_mailbox_t *mailbox)
{
    CDS_LIST_HEAD(taken);
    letter_t *letter;
    letter_t *next;

    pthread_mutex_lock(&mailbox->lock);
    cds_list_splice(&mailbox->queue, &taken);
    CDS_INIT_LIST_HEAD(&mailbox->queue);
    pthread_mutex_unlock(&mailbox->lock);
    cds_list_for_each_entry_safe (letter, next, &taken, node) {
        letter->run(letter->user);
        free(letter);
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
        return pps_error_set(PPS_EIO, "mailbox: no wake-up handle");
    }
    mailbox->wake.data = mailbox;
    return PPS_OK;
}

int
pps_mailbox_post(pps_mailbox_t *mailbox, void (*run)(void *user), void *user)
{
    letter_t *letter = malloc(sizeof(*letter));

    if (letter == NULL) {
        return pps_error_set(PPS_ENOMEM, "mailbox: out of memory");
    }
    letter->run = run;
    letter->user = user;
    pthread_mutex_lock(&mailbox->lock);
    cds_list_add_tail(&letter->node, &mailbox->queue);
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
