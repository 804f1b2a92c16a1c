/** @file copy_play_net.h @brief Events, links, processors and hosts of the
 * play of copies. */
#ifndef PPS_TESTS_ENTRY_COPY_PLAY_NET_H
#define PPS_TESTS_ENTRY_COPY_PLAY_NET_H

#include "copy_play.h"
#include "mirror/copy_queue.h"
#include "mirror/copy_sources.h"
#include "rng.h"

#define COPY_PLAY_FAST_MBPS 200
#define COPY_PLAY_SLOW_MBPS 10
#define COPY_PLAY_EVENTS_MAX 2000000
#define COPY_PLAY_FAST_PER_DOMAIN 2
/** Period of a host's checks. */
#define COPY_PLAY_TICK_US 250000

typedef enum {
    EVENT_TICK,
    EVENT_STATE,    /* `host` gets the state of `other`, which has the copy */
    EVENT_REQUEST,  /* `host` is asked by `other` */
    EVENT_COPY,     /* `host` has got the copy of `other` */
    EVENT_REFUSED,  /* `host` has been refused by `other` */
    EVENT_OUTDATED, /* `host` has got nothing newer from `other` */
    EVENT_TIMEOUT,  /* the call `call` of `host` has timed out */
    EVENT_RETRY,
    EVENT_STORE, /* `host` has read the store */
    EVENT_APPLIED,
    EVENT_CRASH,
    EVENT_LISTED, /* `host` has read the list of hosts */
} copy_play_kind_t;

typedef struct {
    int64_t at_us;
    uint64_t order;
    copy_play_kind_t kind;
    unsigned int host;
    unsigned int other;
    unsigned int call;
    char hints[PPS_COPY_RECENT * 8];
} copy_play_event_t;

typedef struct {
    char address[16];
    unsigned int domain;
    int is_fast;
    int is_reader;
    int is_down;
    int has_copy;
    int is_applying;
    int is_reading; /* the store */
    int is_calling;
    unsigned int call;
    unsigned int asked;
    unsigned int ticks;
    int64_t done_us; /* -1: not yet */
    int64_t behind_since_us;
    int64_t listed_us;   /* -1: not yet */
    unsigned int before; /* hosts that rank before this one at the start */
    int64_t up_free_us;
    int64_t down_free_us;
    int64_t core_free_us;
    unsigned char is_ahead[COPY_PLAY_HOSTS_MAX];
    pps_copy_sources_t sources;
    pps_copy_queue_t queue;
} copy_play_host_t;

typedef struct {
    const copy_play_case_t *c;
    pps_rng_t rng;
    copy_play_host_t hosts[COPY_PLAY_HOSTS_MAX];
    copy_play_event_t *events; /* heap */
    size_t event_count;
    uint64_t order;
    int64_t now_us;
    int64_t store_free_us;
    copy_play_result_t result;
} copy_play_t;

/** Starts to read the store in full, unless a read is in progress. */
void
copy_play_read_store(copy_play_t *play, unsigned int index);

/** Starts to read the store's list of hosts. */
void
copy_play_list_hosts(copy_play_t *play, unsigned int index);

/** Returns whether an event concerns its host: an answer to a call that has
 * ended, or of a host that is down, does not. */
int
copy_play_is_due(const copy_play_t *play, const copy_play_event_t *event);

/** Lets its host act on an event. */
void
copy_play_handle(copy_play_t *play, copy_play_event_t *event);

/** Adds an event. */
copy_play_event_t *
copy_play_push(copy_play_t *play, int64_t at_us, copy_play_kind_t kind,
               unsigned int host, unsigned int other);

/** Takes the earliest event. */
copy_play_event_t
copy_play_pop(copy_play_t *play);

/** Returns the later of two times. */
int64_t
copy_play_later(int64_t a, int64_t b);

/** Returns the time that a host's link takes for some bytes. */
int64_t
copy_play_link_us(const copy_play_host_t *host, size_t size);

/** Uses the processor of a host. @return when the work is done */
int64_t
copy_play_work(copy_play_host_t *host, int64_t now_us, int64_t core_us);

/** Returns the one-way latency between two hosts. */
int64_t
copy_play_latency_us(const copy_play_t *play, const copy_play_host_t *from,
                     const copy_play_host_t *to);

/** Sends bytes over both links. @return when they have arrived */
int64_t
copy_play_send(copy_play_t *play, copy_play_host_t *from, copy_play_host_t *to,
               int64_t now_us, size_t size);

/** Draws whether a packet is lost. */
int
copy_play_is_lost(copy_play_t *play);

/** Draws the time that lost segments add to a transfer. */
int64_t
copy_play_resend_us(copy_play_t *play, size_t size);

#endif
