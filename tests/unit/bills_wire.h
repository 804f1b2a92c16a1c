/**
 * @file bills_wire.h
 * @brief Hosts with bills, one log, and a wire that a test cuts.
 */
#ifndef PPS_TESTS_BILLS_WIRE_H
#define PPS_TESTS_BILLS_WIRE_H

#include "fake_log.h"
#include "papayaswitch/bills.h"

#include <stdio.h>

#define HOSTS 3
#define MESSAGES_MAX 4096

/** A message on its way. */
typedef struct {
    int from;
    char to[PPS_NAME_MAX + 1];
    pps_bills_message_t kind;
    void *payload;
    size_t size;
} message_t;

/** A host, with its own way to the one log. */
typedef struct {
    pps_log_backend_t base;
    int index;
    int log_cut;
    pps_bills_t *bills;
} host_t;

static const char *const names[HOSTS] = {"a", "b", "c"};
static fake_log_t logged;
static host_t hosts[HOSTS];
static message_t messages[MESSAGES_MAX];
static size_t message_count;
static pthread_mutex_t wire = PTHREAD_MUTEX_INITIALIZER;
static unsigned int dropped_kinds; /**< bit for each kind */

static int
host_append(pps_log_backend_t *self, const char *stream,
            const pps_log_blob_t *records, size_t count, uint64_t *first)
{
    int cut;

    pthread_mutex_lock(&wire);
    cut = ((host_t *)self)->log_cut;
    pthread_mutex_unlock(&wire);
    if (cut) {
        return PPS_EUNAVAILABLE;
    }
    return fake_log_append(&logged.base, stream, records, count, first);
}

static int
send_message(void *user, const char *to, pps_bills_message_t kind,
             const void *payload, size_t size)
{
    message_t *message;

    pthread_mutex_lock(&wire);
    if ((dropped_kinds & (1U << kind)) == 0 && message_count < MESSAGES_MAX) {
        message = &messages[message_count++];
        message->from = ((host_t *)user)->index;
        snprintf(message->to, sizeof(message->to), "%s", to);
        message->kind = kind;
        message->payload = malloc(size);
        message->size = size;
        memcpy(message->payload, payload, size);
    }
    pthread_mutex_unlock(&wire);
    return 0;
}

static int
take_message(message_t *out)
{
    int taken = 0;

    pthread_mutex_lock(&wire);
    if (message_count > 0) {
        *out = messages[0];
        message_count--;
        memmove(messages, messages + 1, message_count * sizeof(messages[0]));
        taken = 1;
    }
    pthread_mutex_unlock(&wire);
    return taken;
}

static void
deliver(void)
{
    message_t message;

    while (take_message(&message)) {
        for (int i = 0; i < HOSTS; i++) {
            if (strcmp(names[i], message.to) == 0 && hosts[i].bills != NULL &&
                hosts[message.from].bills != NULL) {
                pps_bills_receive(hosts[i].bills, names[message.from],
                                  message.kind, message.payload, message.size);
            }
        }
        free(message.payload);
    }
}

#endif
