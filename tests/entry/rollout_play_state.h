/** @file rollout_play_state.h @brief What the parts of a play of a roll-out
 * share. */
#ifndef PPS_TESTS_ENTRY_ROLLOUT_PLAY_STATE_H
#define PPS_TESTS_ENTRY_ROLLOUT_PLAY_STATE_H

#include "rollout_play.h"

#include "rollout/controller.h"

#define ROLLOUT_PLAY_UPSTREAM "pool"
#define ROLLOUT_PLAY_SESSIONS 200
#define ROLLOUT_PLAY_REQUESTS_MAX 256
/** Time after which a host that has come back counts as in touch. */
#define ROLLOUT_PLAY_IN_TOUCH_US (3 * PPS_US_PER_S)

typedef struct {
    uint64_t digest;
    int64_t next_us;
    int64_t ended_us;
    int is_moved; /* its last request ran on the target */
} rollout_play_session_t;

typedef struct {
    int64_t due_us;
    rollout_play_session_t *session;
    unsigned int host;
    unsigned int incarnation;
    int on_target;
    pps_rollout_sample_t sample;
} rollout_play_request_t;

typedef struct {
    rollout_play_options_t options;
    rollout_play_session_t sessions[ROLLOUT_PLAY_SESSIONS];
    rollout_play_request_t requests[ROLLOUT_PLAY_REQUESTS_MAX];
    size_t request_count;
    int64_t ordered_us;
    int64_t back_us[NODE_PLAY_HOSTS_MAX]; /* when a host was last disturbed or
                                             started */
    int64_t cut_us[NODE_PLAY_HOSTS_MAX];  /* when it was last paused, or cut
                                             from  hosts or the store */
    int64_t kill_us[NODE_PLAY_HOSTS_MAX]; /* a stopping host ends; 0: none */
    unsigned int next_turn;
    unsigned int sent;    /* to the upstream, by hosts in touch */
    unsigned int exposed; /* of these, to the target */
    unsigned int pinned;
    unsigned int run;
} rollout_play_state_t;

/** The play that runs. */
extern rollout_play_state_t rollout_play;

/** Draws a number below a bound. */
unsigned int
rollout_play_draw(unsigned int bound);

/** Notes a finding unless there is one. */
void __attribute__((format(printf, 1, 2)))
rollout_play_find(const char *format, ...);

/** Returns what a running host knows of the upstream. */
pps_upstream_state_t *
rollout_play_upstream(unsigned int host);

/** Returns the state that the store states, as a word; "": none. */
const char *
rollout_play_read_status(void);

/** Returns whether a host has not been disturbed or started lately. */
int
rollout_play_is_in_touch(unsigned int host);

/** Returns whether a host runs and is ready. */
int
rollout_play_takes_callers(unsigned int host);

/** Runs hosts and sessions up to a time after the start. */
void
rollout_play_run_until(int64_t ms);

/** Writes the operator's order. */
void
rollout_play_write_order(void);

/** Ends requests that are due and sends those of sessions. */
void
rollout_play_step_sessions(void);

/** Lets the faults of the case happen, and ends them. */
void
rollout_play_break_hosts(void);

/** Compares what the hosts know of the roll-out. */
void
rollout_play_compare_hosts(void);

/** Checks at the end of the duration what the hosts have promised. */
void
rollout_play_check_promises(const char *status);

#endif
