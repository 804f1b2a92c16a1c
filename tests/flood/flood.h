/**
 * @file flood.h
 * @brief Flood test: real hosts between many callers and workers that send
 * without end, or whose answers are read slowly, or callers with large
 * requests. Measures the memory of the hosts, and whether requests to another
 * upstream are served meanwhile.
 */
#ifndef PPS_TESTS_FLOOD_FLOOD_H
#define PPS_TESTS_FLOOD_FLOOD_H

#include "clock.h"
#include "transport/reactor.h"

#include <stddef.h>

#define FLOOD_ADDRESS_BYTES 32
/** Events of a sound stream, and the bytes of each. */
#define FLOOD_EVENTS 900
#define FLOOD_EVENT_BYTES 1024
/** What the body of a request ends with. */
#define FLOOD_BODY_END "body"
/** Largest body of a request. */
#define FLOOD_UPLOAD_MAX (1U << 20)

/** What a worker sends. */
typedef enum {
    FLOOD_ENDLESS, /**< `begin`, then `more` until its connection is closed */
    FLOOD_HALF,    /**< the same up to `bytes`, then nothing */
    FLOOD_STREAM,  /**< a sound stream, which its caller stops to read */
    FLOOD_UPLOAD,  /**< a short answer to a large request */
} flood_kind_t;

/** A form of a flood. */
typedef struct {
    const char *name;
    flood_kind_t kind;
    const char *path;  /**< of the requests */
    const char *begin; /**< "%s" stands for the fields of a sound answer */
    const char *more;
    size_t bytes;
    const char *key;  /**< header line of the callers; NULL: their workspace's
                       */
    int is_held_back; /**< the last byte of a large request does not come */
} flood_form_t;

extern const flood_form_t flood_forms[];
extern const size_t flood_form_count;

/** A stand-in for a worker. */
typedef struct {
    pps_reactor_t *reactor;
    uv_tcp_t listener;
    char address[FLOOD_ADDRESS_BYTES];
    const flood_form_t *form; /**< NULL: it answers at once */
    char id[16];
} flood_worker_t;

/** Starts a worker on a free port. */
void
flood_worker_start(flood_worker_t *worker, pps_reactor_t *reactor,
                   const char *id, const flood_form_t *form);

/** Outcomes of callers. */
typedef struct {
    size_t sent;
    size_t served;     /**< whole successes */
    size_t refused;    /**< told as not run */
    size_t failed;     /**< other errors, and streams that ended broken */
    size_t false_ends; /**< streams that looked complete and were not */
} flood_counts_t;

/** What a caller sends, and how it reads. */
typedef struct {
    const char *path;
    const char *key;     /**< header line, or "" */
    size_t upload_bytes; /**< of its request's body */
    int is_held_back;    /**< the last of them does not come */
    size_t body_bytes;   /**< of a whole answer */
    size_t pause_behind; /**< bytes after which it stops; 0: never */
    int64_t pause_us;
} flood_reading_t;

/** Sends a request and counts its outcome; frees itself.
 * @param address IPv4:PORT of a host */
void
flood_caller_start(pps_reactor_t *reactor, const char *address,
                   const flood_reading_t *reading, flood_counts_t *counts);

#endif
