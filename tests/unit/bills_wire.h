/**
 * @file bills_wire.h
 * @brief Simulates hosts with bills, their shared log and a lossy network.
 */
#ifndef PPS_TESTS_BILLS_WIRE_H
#define PPS_TESTS_BILLS_WIRE_H

#include "fake_log.h"
#include "papayaswitch/bills.h"

#include <stdio.h>

#define HOSTS 3
#define MESSAGES_MAX 4096

/** Message that was sent and not delivered yet. */
typedef struct {
    int from;
    char to[PPS_NAME_MAX + 1];
    pps_bills_message_t kind;
    void *payload;
    size_t size;
} message_t;

/** Host with its own access to the shared log. */
typedef struct {
    pps_log_backend_t base;
    int index;
    int log_unreachable;
    pps_bills_t *bills;
} host_t;

static const char *const host_names[HOSTS] = {"a", "b", "c"};
static fake_log_t shared_log;
static host_t hosts[HOSTS];
static message_t messages[MESSAGES_MAX];
static size_t message_count;
static pthread_mutex_t wire_mutex = PTHREAD_MUTEX_INITIALIZER;
static unsigned int dropped_kinds; /**< bit mask, by pps_bills_message_t */

static int
host_append(pps_log_backend_t *self, const char *stream,
            const pps_log_blob_t *records, size_t count, uint64_t *first)
{
    int unreachable;

    pthread_mutex_lock(&wire_mutex);
    unreachable = ((host_t *)self)->log_unreachable;
    pthread_mutex_unlock(&wire_mutex);
    if (unreachable) {
        return PPS_EUNAVAILABLE;
    }
    return fake_log_append(&shared_log.base, stream, records, count, first);
}

static int
send_message(void *user, const char *to, pps_bills_message_t kind,
             const void *payload, size_t size)
{
    message_t *message;

    pthread_mutex_lock(&wire_mutex);
    if ((dropped_kinds & (1U << kind)) == 0 && message_count < MESSAGES_MAX) {
        message = &messages[message_count++];
        message->from = ((host_t *)user)->index;
        snprintf(message->to, sizeof(message->to), "%s", to);
        message->kind = kind;
        message->payload = malloc(size);
        message->size = size;
        memcpy(message->payload, payload, size);
    }
    pthread_mutex_unlock(&wire_mutex);
    return 0;
}

static int
pop_message(message_t *out)
{
    int popped = 0;

    pthread_mutex_lock(&wire_mutex);
    if (message_count > 0) {
        *out = messages[0];
        message_count--;
        memmove(messages, messages + 1, message_count * sizeof(messages[0]));
        popped = 1;
    }
    pthread_mutex_unlock(&wire_mutex);
    return popped;
}

static void
deliver_messages(void)
{
    message_t message;

    while (pop_message(&message)) {
        for (int i = 0; i < HOSTS; i++) {
            if (strcmp(host_names[i], message.to) == 0 &&
                hosts[i].bills != NULL && hosts[message.from].bills != NULL) {
                pps_bills_receive(hosts[i].bills, host_names[message.from],
                                  message.kind, message.payload, message.size);
            }
        }
        free(message.payload);
    }
}

#endif
