/**
 * @file poison_play.h
 * @brief Plays many hosts that send requests to workers which end under some
 * of them, on a simulated clock.
 */
#ifndef PPS_TESTS_ENTRY_POISON_PLAY_H
#define PPS_TESTS_ENTRY_POISON_PLAY_H

#include "clock.h"
#include "poison/poison_table.h"
#include "rng.h"

#define HOSTS_MAX 300
#define FULL_MESH_HOSTS 13
#define WORKERS_MAX 24
#define RUNS_MAX 4096
#define MESSAGES_MAX 65536
#define KEYS 5
#define STORED_MAX 128
#define S PPS_US_PER_S
#define MS PPS_US_PER_MS
#define STEP_US (5 * MS)
#define WINDOW_US (3 * S)

typedef enum { KEEP_ALL, RESTART_ONE, KILL_ALL, CUT_THIRD } fate_t;

typedef struct {
    const char *name;
    unsigned int hosts;
    double bad_per_s; /* of each bad part */
    double sound_per_s;
    unsigned int bad_kinds;
    int64_t sound_from_us;
    int64_t rack_every_us; /* a rack of workers ends, 0: never */
    fate_t fate;
    int is_request; /* short calls of a service with few workers; the bad one
                       is the same request each time */
} play_case_t;

typedef struct {
    pps_poison_table_t *table;
    int64_t up_at_us;
    int64_t excused_until_us;
} host_t;

typedef struct {
    int64_t up_at_us;
    uint64_t start;
} worker_t;

typedef struct {
    int is_used;
    unsigned int host;
    unsigned int worker;
    uint64_t start; /* of the worker */
    uint64_t keys[KEYS];
    int is_bad;
    unsigned int bad_kind;
    unsigned int attempts;
    int64_t begins_us;
    int64_t ends_us; /* the worker crashes then if the request is bad */
    int went_on;
} run_t;

typedef struct {
    int64_t at_us;
    unsigned int to;
    pps_poison_evidence_t evidence;
} message_t;

typedef struct {
    const play_case_t *item;
    pps_rng_t rng;
    int64_t now_us;
    host_t hosts[HOSTS_MAX];
    worker_t workers[WORKERS_MAX];
    run_t runs[RUNS_MAX];
    message_t messages[MESSAGES_MAX];
    size_t message_count;
    pps_poison_evidence_t stored[STORED_MAX]; /* in the platform's store */
    size_t stored_count;
    uint64_t serial;
    unsigned int crashes[2]; /* by bad part */
    int64_t fifth_us[2];
    unsigned int sends_after[2];
    unsigned int sound;
    unsigned int refused;
} play_t;

/** The play under way. */
extern play_t play;

/** Plays a case. Results are in `play`. */
void
play_run(const play_case_t *item, uint64_t seed);

int64_t
play_draw_us(int64_t from_us, int64_t to_us);

int
play_is_up(unsigned int host);

int
play_is_cut(unsigned int host);

/** Tells all hosts that hear a host what it knows of a key. */
void
play_tell(unsigned int from, uint64_t key);

/** Brings the store up to date on a key. */
void
play_store(const pps_poison_table_t *table, uint64_t key);

/** Adds evidence to what a host knows. */
void
play_merge(unsigned int host, const pps_poison_evidence_t *evidence);

/** Hands over the messages that are due. */
void
play_deliver(void);

/** Lets hosts whose digests differ send each other what they know. */
void
play_synchronize(void);

/** Ends a host, which starts again with what the store has. */
void
play_restart_host(unsigned int host);

/** Takes back what is under way with a key that has just been convicted. */
void
play_drop_exposed(unsigned int host);

#endif
