/* Model of the right to serve and of the stages of publishing a note. */
/* variants: IN_FORCE_AT_MAJORITY EVIDENCE_AT_ARRIVAL MAJORITY_IGNORES_HIGHER RESTARTED_COUNTS SYNC_BY_OLD_EVIDENCE HELD_NOT_TOGETHER UNSYNCED_SERVES */

/*
 * There are three hosts and one note. Times are stored as ages that saturate
 * at WINDOW, so that runs are unbounded and the state is finite. A possible
 * step need not be taken, which covers lost and late messages, partitions, a
 * log that some hosts cannot read, and hosts paused while time passes.
 *
 * A ping and its pong are one step, because the content is never older than
 * the ping. A read of the log is two steps, because its answer may be late.
 */

#define N 3
#define MAJORITY 2
#define WINDOW 2
#define RESTARTS 1
#define PAIR(h, p) ((h) * N + (p))

bit head;             /* records in the log */
bit next[N];          /* records that the host has folded */
bit synced[N];
byte up[N];           /* age of the incarnation */
byte right[N];        /* ticks until the right to serve expires; 0: none */
byte read_age[N];     /* age of the own log evidence; its head is folded */
bit read_pending[N];  /* a read of the log is in progress */
byte pending_age[N];
bit pending_head[N];
byte echo[N * N];     /* age of the ping that the peer answered last */
bit peer_next[N * N]; /* of that pong: folded, age of evidence, synced */
byte peer_age[N * N];
bit peer_synced[N * N];
byte restarts;

/* The publisher's state: hosts that reported the note as folded, and the age
 * of the moment at which a majority had it folded at the same time. */
bit seen[N];
bit accepted;
byte accepted_age;
bit in_force;

#define FRESH(h, p) (echo[PAIR(h, p)] < WINDOW)
#define MIN(a, b) (((a) < (b)) -> (a) : (b))

/* No host starts work without the note once it is in force, and no host that
 * acknowledged it serves again without it. */
#define STARTS_WITHOUT_NOTE(h) (in_force && right[h] > 0 && !next[h])
#define LOST_NOTE(h) (accepted && seen[h] && synced[h] && !next[h])
#define SAFE(h) (!STARTS_WITHOUT_NOTE(h) && !LOST_NOTE(h))
#define CHECK() assert(SAFE(0) && SAFE(1) && SAFE(2))

#ifdef IN_FORCE_AT_MAJORITY
#define IN_FORCE_TOO_EARLY 1
#else
#define IN_FORCE_TOO_EARLY 0
#endif

#ifdef SYNC_BY_OLD_EVIDENCE
#define PEER_SYNCS(h) (peer < WINDOW)
#else
#define PEER_SYNCS(h) (peer < WINDOW && peer < up[h])
#endif

#ifdef UNSYNCED_SERVES
#define MAY_SERVE(h) 1
#else
#define MAY_SERVE(h) synced[h]
#endif

/* Drops a read that is pending for WINDOW: its answer is no evidence. */
#ifdef EVIDENCE_AT_ARRIVAL
#define IS_TOO_LATE(h) 0
#else
#define IS_TOO_LATE(h) (pending_age[h] == WINDOW)
#endif

#ifdef HELD_NOT_TOGETHER
#define MAJORITY_HOLDS (seen[0] + seen[1] + seen[2] >= MAJORITY)
#define REPORTED(h) (next[h])
#else
#define MAJORITY_HOLDS (next[0] + next[1] + next[2] >= MAJORITY)
#define REPORTED(h) (accepted && next[h])
#endif

hidden byte i, j, a, own, peer, best, second, count, peer_has_more;

inline increase_age(age)
{
    if
    :: age < WINDOW -> age++
    :: else
    fi
}

/* Age of the evidence that host x sends to others: pps_serving_verdict_t. */
inline evidence_of(x)
{
    own = read_age[x];
    peer = WINDOW;
    j = 0;
    do
    :: j < N ->
        if
        :: j != x && FRESH(x, j) && peer_next[PAIR(x, j)] <= next[x] ->
            peer = MIN(peer, peer_age[PAIR(x, j)])
        :: else
        fi;
        j++
    :: else -> break
    od
}

inline add_time(age)
{
    count++;
    if
    :: age < best -> second = best; best = age
    :: else -> second = MIN(second, age)
    fi
}

/* pps_serving_evaluate() */
inline evaluate(h)
{
    evidence_of(h);
    peer_has_more = 0; count = 0; best = WINDOW; second = WINDOW;
    if
    :: synced[h] -> add_time(0)
    :: else
    fi;
    j = 0;
    do
    :: j < N ->
        if
        :: j != h && FRESH(h, j) ->
            peer_has_more = peer_has_more || (peer_next[PAIR(h, j)] > next[h]);
            if
            :: peer_synced[PAIR(h, j)] -> add_time(echo[PAIR(h, j)])
            :: else
            fi
        :: else
        fi;
        j++
    :: else -> break
    od;
    if
    :: count < MAJORITY -> second = WINDOW
    :: else
    fi;
#ifdef MAJORITY_IGNORES_HIGHER
    peer_has_more = 0;
#endif
    synced[h] = (synced[h] || own < WINDOW || PEER_SYNCS(h) ||
                 (second < WINDOW && !peer_has_more));
    a = own;
    if
    :: !peer_has_more -> a = MIN(a, peer); a = MIN(a, second)
    :: else
    fi;
    right[h] = (MAY_SERVE(h) -> WINDOW - a : 0)
}

/* answer_ping() at p, pps_peer_receive_pong() at h */
inline exchange(h, p)
{
    evidence_of(p);
    echo[PAIR(h, p)] = 0;
    peer_next[PAIR(h, p)] = next[p] && !next[h];
    peer_age[PAIR(h, p)] = MIN(own, peer);
    peer_synced[PAIR(h, p)] = synced[p]
}

/* pps_config_fold_apply(). What peers have folded has no effect from now on;
 * clearing it reduces the number of states. */
inline fold(h)
{
    next[h] = 1;
    peer_next[PAIR(h, 0)] = 0;
    peer_next[PAIR(h, 1)] = 0;
    peer_next[PAIR(h, 2)] = 0
}

/* Sends a read (pps_log_backend_t); the log serves it at once. */
inline read_send(h)
{
    read_pending[h] = 1; pending_age[h] = 0; pending_head[h] = head
}

/* Receives and folds the answer. */
inline read_arrive(h)
{
    if
    :: pending_head[h] -> fold(h)
    :: else
    fi;
#ifdef EVIDENCE_AT_ARRIVAL
    read_age[h] = 0;
#else
    read_age[h] = pending_age[h];
#endif
    read_pending[h] = 0; pending_age[h] = 0; pending_head[h] = 0
}

/* Restarts a host; hosts have no disk, so its state is empty. */
inline restart(h)
{
    restarts++;
    next[h] = 0; right[h] = 0; up[h] = 0;
    read_age[h] = WINDOW;
    read_pending[h] = 0; pending_age[h] = 0; pending_head[h] = 0;
#ifdef RESTARTED_COUNTS
    synced[h] = 1;
#else
    synced[h] = 0;
#endif
    j = 0;
    do
    :: j < N ->
        echo[PAIR(h, j)] = WINDOW; peer_next[PAIR(h, j)] = 0;
        peer_age[PAIR(h, j)] = WINDOW; peer_synced[PAIR(h, j)] = 0;
        j++
    :: else -> break
    od
}

/* pps_publish_evaluate(): a majority whose reports overlap in time. Reports
 * prove this at the earliest when it is true, so the model accepts then. */
inline accept()
{
    accepted = 1;
    accepted_age = 0;
#ifndef HELD_NOT_TOGETHER
    seen[0] = 0; seen[1] = 0; seen[2] = 0;
#endif
    update_in_force()
}

/* pps_publish_report_update(): an answer sent after the acceptance. */
inline report(h)
{
    seen[h] = 1;
    update_in_force()
}

inline update_in_force()
{
    if
    :: accepted && (IN_FORCE_TOO_EARLY || accepted_age >= WINDOW ||
                    (seen[0] && seen[1] && seen[2])) ->
        in_force = 1
    :: else
    fi
}

inline tick()
{
    if
    :: accepted -> increase_age(accepted_age)
    :: else
    fi;
    update_in_force();
    i = 0;
    do
    :: i < N ->
        if
        :: right[i] > 0 -> right[i]--
        :: else
        fi;
        increase_age(up[i]); increase_age(read_age[i]);
        if
        :: read_pending[i] ->
            increase_age(pending_age[i]);
            if
            :: IS_TOO_LATE(i) ->
                read_pending[i] = 0; pending_age[i] = 0; pending_head[i] = 0
            :: else
            fi
        :: else
        fi;
        j = 0;
        do
        :: j < N ->
            increase_age(echo[PAIR(i, j)]); increase_age(peer_age[PAIR(i, j)]);
            if
            :: echo[PAIR(i, j)] == WINDOW ->
                peer_next[PAIR(i, j)] = 0; peer_age[PAIR(i, j)] = WINDOW;
                peer_synced[PAIR(i, j)] = 0
            :: else
            fi;
            j++
        :: else -> break
        od;
        i++
    :: else -> break
    od
}

inline init_state()
{
    i = 0;
    do
    :: i < N * N -> echo[i] = WINDOW; peer_age[i] = WINDOW; i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < N ->
        synced[i] = 1; up[i] = WINDOW; read_age[i] = WINDOW; i++
    :: else -> break
    od
}

/* A host evaluates after each message. A paused host is one that has not
 * received the message yet. */
#define REPORTS(h)                                                            \
    :: d_step { REPORTED(h) && !in_force && !seen[h] -> report(h); CHECK() }

#define PINGS(h, p)                                                           \
    :: d_step { exchange(h, p); evaluate(h); CHECK() }

#define FOLDS_FROM(h, p)                                                      \
    :: d_step { next[p] && !next[h] -> fold(h); evaluate(h) }

/* All hosts run the same code, so each fault is given to one host: host 0
 * reads the log with answers that may be late and receives no pongs, host 1
 * reads the log and restarts, host 2 cannot read the log. */
init
{
    d_step { init_state(); skip };
    do
    :: d_step { !head -> head = 1 }
    :: d_step { !read_pending[0] -> read_send(0) }
    :: d_step { read_pending[0] -> read_arrive(0); evaluate(0); CHECK() }
    :: d_step { read_send(1); read_arrive(1); evaluate(1); CHECK() }
    :: d_step { restarts < RESTARTS -> restart(1); skip }
    :: d_step { MAJORITY_HOLDS && !accepted -> accept(); CHECK() }
    REPORTS(0)
    REPORTS(1)
    REPORTS(2)
    PINGS(1, 0)
    PINGS(1, 2)
    PINGS(2, 0)
    PINGS(2, 1)
    FOLDS_FROM(0, 1)
    FOLDS_FROM(0, 2)
    FOLDS_FROM(1, 0)
    FOLDS_FROM(1, 2)
    FOLDS_FROM(2, 0)
    FOLDS_FROM(2, 1)
    :: d_step { tick(); CHECK() }
    od
}
