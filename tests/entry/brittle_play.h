/**
 * @file brittle_play.h
 * @brief Plays several hosts that overload workers which end when they have to
 * reject more than a few requests in a second.
 */
#ifndef PPS_TESTS_ENTRY_BRITTLE_PLAY_H
#define PPS_TESTS_ENTRY_BRITTLE_PLAY_H

#include <stddef.h>

/** Share of what the workers could do that has to be served: two thirds, also
 * where most hosts have few permits. */
#define BRITTLE_SERVED_MIN 0.66
/** The same if hosts without a permit ask others. */
#define BRITTLE_HANDED_ON_MIN 0.75

#define BRITTLE_WORK_MS 100
/** Memory of a large request, where a small one has 1. A worker's memory holds
 * as many small ones as it has slots. */
#define BRITTLE_LARGE_SIZE 4

/** What a worker is when it is back after it has ended. */
typedef enum {
    BRITTLE_SAME_START, /**< the records of it do not change */
    BRITTLE_LATER_START,
    BRITTLE_NEW_ID,
} brittle_return_t;

/** A play. */
typedef struct {
    const char *name;
    unsigned int hosts;
    double load; /**< offered, of what the workers could do */
    unsigned int room_after;
    unsigned int rejected_per_s;
    int loses_notices; /**< one in so many; 0: none */
    int hands_on;      /**< hosts without a permit ask others */
    double served_min; /**< share of what the workers could do */
    unsigned int end_ms;
    unsigned int shrink_ms;
    unsigned int work_ms; /**< of each request; 0: BRITTLE_WORK_MS */
    unsigned int killed;  /**< workers that are ended one after the other */
    brittle_return_t returns;
    unsigned int workers;      /**< 0: 8 */
    unsigned int slots;        /**< of each worker; 0: 8 */
    unsigned int room_before;  /**< until the room shrinks; 0: 3 a slot */
    unsigned int quiet_ms;     /**< workers do not say before that they are
                                    brittle, and do not end */
    double pressed;            /**< load offered until then */
    unsigned int again_ms;     /**< time after which all that begins once more;
                                    0: never */
    unsigned int large_one_in; /**< one request in so many is large; 0: none */
    double leaves; /**< share of the callers that leave after 40 or 80 ms */
    int works_on;  /**< workers do not notice that callers have left */
    unsigned int ended_hosts; /**< that end when the statement comes; what they
                                   have at workers goes on */
    unsigned int added_hosts; /**< that start then */
    unsigned int cut_ms;      /**< hosts are cut into halves then; 0: never */
    unsigned int rejected_after; /**< rejections a second that are borne once
                                      the room has shrunk; 0: as before */
    double large_min; /**< how often large requests have to be served, of how
                           often all are; 0: not checked */
} brittle_case_t;

/** Times of a play with full queues, from its begin: workers state that they
 * are brittle, their room shrinks, requests end. */
#define BRITTLE_STATED_MS 2500
#define BRITTLE_SHRINK_MS 3500
#define BRITTLE_END_MS 6500
/** Twice the load fills the queues of all workers before the statement. */
#define BRITTLE_FULL_QUEUES                                                   \
    .end_ms = BRITTLE_END_MS, .shrink_ms = BRITTLE_SHRINK_MS,                 \
    .quiet_ms = BRITTLE_STATED_MS, .pressed = 2,                              \
    .returns = BRITTLE_LATER_START, .workers = 16, .slots = 12,               \
    .room_before = 25, .work_ms = 750

/** Plays a case. Fails the test if more workers end than the operators allow,
 * those killed not counted, or if too little is served. */
void
brittle_play(const brittle_case_t *item);

/** Plays a table of cases. */
void
brittle_play_all(const brittle_case_t *cases, size_t count);

#endif
