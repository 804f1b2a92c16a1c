/* The right to start work and the stages of a publish. */
/* variants: IN_FORCE_AT_MAJORITY EVIDENCE_AT_ARRIVAL MAJORITY_IGNORES_HIGHER RESTARTED_COUNTS SYNC_BY_OLD_EVIDENCE HELD_NOT_TOGETHER UNSYNCED_SERVES */

/*
 * Three hosts, one note. Times are kept as ages that saturate at WINDOW, so
 * that the run is unbounded and the state finite. A step that is possible need
 * not be taken: that covers lost and late messages, partitions, a log that
 * some cannot read, and hosts that are paused while time passes.
 *
 * A ping and its pong are one step, since the content is never older than the
 * ping. A read of the log is two, since its answer may be late.
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
byte right[N];        /* ticks until the right lapses; 0: none */
byte read_age[N];     /* own log evidence; the head it saw is folded */
bit flying[N];        /* a read of the log under way */
byte flying_age[N];
bit flying_head[N];
byte echo[N * N];     /* age of the ping that the peer answered last */
bit peer_next[N * N]; /* its pong: folded, age of the evidence, synced */
byte peer_age[N * N];
bit peer_synced[N * N];
byte restarts;

/* The publisher's record: hosts seen to hold the note, and the age of the
 * instant at which a majority held it together. */
bit seen[N];
bit accepted;
byte accepted_age;
bit in_force;

#define FRESH(h, p) (echo[PAIR(h, p)] < WINDOW)
#define MIN(a, b) (((a) < (b)) -> (a) : (b))

/* No host starts work without the note once it is in force, and none that has
 * acknowledged it comes back to service with less. */
#define STARTS_OLD(h) (in_force && right[h] > 0 && !next[h])
#define FELL(h) (accepted && seen[h] && synced[h] && !next[h])
#define SAFE(h) (!STARTS_OLD(h) && !FELL(h))
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

/* An answer that late is of no use. */
#ifdef EVIDENCE_AT_ARRIVAL
#define LOST(h) 0
#else
#define LOST(h) (flying_age[h] == WINDOW)
#endif

#ifdef HELD_NOT_TOGETHER
#define MAJORITY_HOLDS (seen[0] + seen[1] + seen[2] >= MAJORITY)
#define REPORTED(h) (next[h])
#else
#define MAJORITY_HOLDS (next[0] + next[1] + next[2] >= MAJORITY)
#define REPORTED(h) (accepted && next[h])
#endif

hidden byte i, j, a, own, peer, best, second, count, behind;

inline grow(age)
{
    if
    :: age < WINDOW -> age++
    :: else
    fi
}

/* Age of the evidence that host x passes on: pps_serving_verdict_t. */
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
    behind = 0; count = 0; best = WINDOW; second = WINDOW;
    if
    :: synced[h] -> add_time(0)
    :: else
    fi;
    j = 0;
    do
    :: j < N ->
        if
        :: j != h && FRESH(h, j) ->
            behind = behind || (peer_next[PAIR(h, j)] > next[h]);
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
    behind = 0;
#endif
    synced[h] = (synced[h] || own < WINDOW || PEER_SYNCS(h) ||
                 (second < WINDOW && !behind));
    a = own;
    if
    :: !behind -> a = MIN(a, peer); a = MIN(a, second)
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

/* pps_config_fold_apply(). What others hold makes no difference from now on:
 * forgetting it keeps the state small. */
inline fold(h)
{
    next[h] = 1;
    peer_next[PAIR(h, 0)] = 0;
    peer_next[PAIR(h, 1)] = 0;
    peer_next[PAIR(h, 2)] = 0
}

/* The log's read (pps_log_backend_t) is sent and served. */
inline read_send(h)
{
    flying[h] = 1; flying_age[h] = 0; flying_head[h] = head
}

/* Its answer arrives and is folded. */
inline read_arrive(h)
{
    if
    :: flying_head[h] -> fold(h)
    :: else
    fi;
#ifdef EVIDENCE_AT_ARRIVAL
    read_age[h] = 0;
#else
    read_age[h] = flying_age[h];
#endif
    flying[h] = 0; flying_age[h] = 0; flying_head[h] = 0
}

/* A host without disk starts again with nothing. */
inline restart(h)
{
    restarts++;
    next[h] = 0; right[h] = 0; up[h] = 0;
    read_age[h] = WINDOW;
    flying[h] = 0; flying_age[h] = 0; flying_head[h] = 0;
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

/* pps_publish_evaluate(): a majority whose reports overlap in time. The best
 * that reports can prove is what is true now. */
inline accept()
{
    accepted = 1;
    accepted_age = 0;
#ifndef HELD_NOT_TOGETHER
    seen[0] = 0; seen[1] = 0; seen[2] = 0;
#endif
    judge()
}

/* pps_publish_report_update(): an answer from after the acceptance. */
inline report(h)
{
    seen[h] = 1;
    judge()
}

inline judge()
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
    :: accepted -> grow(accepted_age)
    :: else
    fi;
    judge();
    i = 0;
    do
    :: i < N ->
        if
        :: right[i] > 0 -> right[i]--
        :: else
        fi;
        grow(up[i]); grow(read_age[i]);
        if
        :: flying[i] ->
            grow(flying_age[i]);
            if
            :: LOST(i) -> flying[i] = 0; flying_age[i] = 0; flying_head[i] = 0
            :: else
            fi
        :: else
        fi;
        j = 0;
        do
        :: j < N ->
            grow(echo[PAIR(i, j)]); grow(peer_age[PAIR(i, j)]);
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

/* A host evaluates whenever it has learnt something. One that does not, as it
 * is paused, has learnt nothing yet. */
#define REPORTS(h)                                                            \
    :: d_step { REPORTED(h) && !in_force && !seen[h] -> report(h); CHECK() }

#define HEARS(h, p)                                                           \
    :: d_step { exchange(h, p); evaluate(h); CHECK() }

#define GETS(h, p)                                                            \
    :: d_step { next[p] && !next[h] -> fold(h); evaluate(h) }

/* All hosts are alike, so each part is given to one: host 0 reads the log,
 * with answers that may be late, and hears nobody; host 1 reads it too and
 * restarts; host 2 is cut from it. */
init
{
    d_step { init_state(); skip };
    do
    :: d_step { !head -> head = 1 }
    :: d_step { !flying[0] -> read_send(0) }
    :: d_step { flying[0] -> read_arrive(0); evaluate(0); CHECK() }
    :: d_step { read_send(1); read_arrive(1); evaluate(1); CHECK() }
    :: d_step { restarts < RESTARTS -> restart(1); skip }
    :: d_step { MAJORITY_HOLDS && !accepted -> accept(); CHECK() }
    REPORTS(0)
    REPORTS(1)
    REPORTS(2)
    HEARS(1, 0)
    HEARS(1, 2)
    HEARS(2, 0)
    HEARS(2, 1)
    GETS(0, 1)
    GETS(0, 2)
    GETS(1, 0)
    GETS(1, 2)
    GETS(2, 0)
    GETS(2, 1)
    :: d_step { tick(); CHECK() }
    od
}
