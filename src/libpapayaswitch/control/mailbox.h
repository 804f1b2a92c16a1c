/**
 * @file mailbox.h
 * @brief Runs calls from other threads on the control thread.
 */
#ifndef PPS_CONTROL_MAILBOX_H
#define PPS_CONTROL_MAILBOX_H

#include <pthread.h>
#include <urcu/list.h>
#include <uv.h>

/** Queue of calls that one loop runs. */
typedef struct {
    uv_async_t wake;
    pthread_mutex_t lock;
    struct cds_list_head queue;
} pps_mailbox_t;

/** Opens the mailbox on a loop. Called on the loop's thread.
 * @return 0 or PPS_EIO */
int
pps_mailbox_open(pps_mailbox_t *mailbox, uv_loop_t *loop);

/** Queues `run(user)` for the loop's thread. Called on any thread.
 * @return 0 or PPS_ENOMEM */
int
pps_mailbox_post(pps_mailbox_t *mailbox, void (*run)(void *user), void *user);

/** Runs the queued calls and closes. Called on the loop's thread. */
void
pps_mailbox_close(pps_mailbox_t *mailbox);

#endif
