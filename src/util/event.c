/** @file event.c @brief Implements the process-wide event ring. */
#include "event.h"

#include "clock.h"

#include <pthread.h>
#include <stdio.h>

#define HOST_BYTES 64

static pthread_mutex_t ring_lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *ring[PPS_EVENT_RING_SIZE];
static uint64_t next_seq;
static char ring_host[HOST_BYTES] = "-";
static uint64_t ring_incarnation;

void
pps_event_setup(const char *host, uint64_t incarnation)
{
    pthread_mutex_lock(&ring_lock);
    snprintf(ring_host, sizeof(ring_host), "%s", host);
    ring_incarnation = incarnation;
    pthread_mutex_unlock(&ring_lock);
}

void
pps_event_record(const char *kind, const pps_field_t *fields, size_t count)
{
    json_t *event = json_pack("{s:I, s:s}", "time_us",
                              (json_int_t)pps_clock_wall_us(), "kind", kind);
    json_t *evicted;

    if (event == NULL) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        json_object_set_new(event, fields[i].key,
                            fields[i].text ? json_string(fields[i].text)
                                           : json_integer(fields[i].number));
    }
    pthread_mutex_lock(&ring_lock);
    json_object_set_new(event, "host", json_string(ring_host));
    json_object_set_new(event, "incarnation",
                        json_integer((json_int_t)ring_incarnation));
    json_object_set_new(event, "seq", json_integer((json_int_t)next_seq));
    evicted = ring[next_seq % PPS_EVENT_RING_SIZE];
    ring[next_seq % PPS_EVENT_RING_SIZE] = event;
    next_seq++;
    pthread_mutex_unlock(&ring_lock);
    json_decref(evicted);
}

json_t *
pps_event_list(uint64_t since, uint64_t *next)
{
    json_t *list = json_array();
    uint64_t oldest;

    pthread_mutex_lock(&ring_lock);
    oldest =
        next_seq > PPS_EVENT_RING_SIZE ? next_seq - PPS_EVENT_RING_SIZE : 0;
    for (uint64_t i = since > oldest ? since : oldest; i < next_seq; i++) {
        json_array_append_new(list, json_copy(ring[i % PPS_EVENT_RING_SIZE]));
    }
    if (next != NULL) {
        *next = next_seq;
    }
    pthread_mutex_unlock(&ring_lock);
    return list;
}
