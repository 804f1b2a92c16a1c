/*
 * Bills of one host, on their way to the log through a partner's memory.
 *
 * The owner ends an answer only when a partner or the log has its bill. It
 * appends batches; an append may take effect without an answer. The partner
 * appends its copies when the owner is lost, or is taken for lost. The log has
 * outages of any length. Bound: a host is lost only while another holds all
 * that it must, that is, the owner not before a new partner has the copies
 * that the old one lost.
 *
 * Checked when everything has come to rest: the reader counts each finished
 * answer's bill exactly once.
 */
/* variants: END_BEFORE_HOLD RELEASE_BEFORE_LOG NO_RECOVERY NO_DROP */
/* variants: NO_HANDOVER NO_INCARNATION FORGET_UNANSWERED */
/* cc: -DCOLLAPSE */

#define BILLS 3       /* 0 and 1 in the first life of the owner, 2 after */
#define FIRST_LIFE 2
#define PARTNERS 2
#define MAX_OUTAGES 2
#define LOST_MESSAGES 2

/* What the owner knows of each bill. */
bit made[BILLS];
bit acked[BILLS];
bit in_log_known[BILLS];
bit finished[BILLS];
/* What the partners hold. */
typedef partner_t {
    bit copy[BILLS];
    bit released[BILLS];
    bit lost;           /* the partner itself */
    bit owner_lost;     /* it takes the owner for lost */
    bit answered[BILLS] /* an acknowledgement is on its way */
};
partner_t partners[PARTNERS];
byte partner;
/* The log, as its reader sees it. */
bit shown[BILLS];
byte counted[BILLS];
bit log_down;
byte outages;
byte dropped;
bit owner_lost;
byte life;
bit faults_over;

inline identity(b, out) {
#ifdef NO_INCARNATION
    /* the second life starts again at sequence 1 */
    out = (b == FIRST_LIFE -> 0 : b)
#else
    out = b
#endif
}

/* pps_bill_reader_feed(): repeats are dropped */
inline write(b) {
    identity(b, id);
#ifdef NO_DROP
    counted[b]++;
#else
    if
    :: !shown[id] -> shown[id] = 1; counted[b]++
    :: else
    fi;
#endif
    id = 0
}

/* A bill of the owner's present life that it still keeps. */
#define KEPT(b) (!owner_lost && made[b] && !in_log_known[b] && \
                 (b >= FIRST_LIFE) == (life == 1))

proctype bill(byte b) {
    byte id;
end:
    do
    /* pps_bills_hold(): the first transmission is the loop's "send" below */
    :: atomic {
        !owner_lost && !made[b] && (b >= FIRST_LIFE) == (life == 1) ->
        made[b] = 1
    }
    /* pps_bills_send_hold(), resend_holds(), handle_hold() */
    :: atomic {
        KEPT(b) && !partners[partner].lost && !acked[b] &&
        !partners[partner].copy[b] && !partners[partner].released[b] ->
        partners[partner].copy[b] = 1
    }
    /* handle_hold_ack(); a lost acknowledgement is repeated */
    :: atomic {
        KEPT(b) && partners[partner].copy[b] && !acked[b] -> acked[b] = 1
    }
    /* is_replicated(): the last byte leaves */
#ifdef END_BEFORE_HOLD
    :: atomic { made[b] && !owner_lost && !finished[b] &&
                (b >= FIRST_LIFE) == (life == 1) -> finished[b] = 1 }
#else
    :: atomic {
        made[b] && !owner_lost && !finished[b] &&
        (b >= FIRST_LIFE) == (life == 1) && (acked[b] || in_log_known[b]) ->
        finished[b] = 1
    }
#endif
    /* pps_bills_flush(), on_appended() */
    :: atomic { KEPT(b) && !log_down -> write(b); in_log_known[b] = 1 }
    :: atomic { KEPT(b) && !log_down && dropped < LOST_MESSAGES ->
        dropped++;
#ifdef FORGET_UNANSWERED
        in_log_known[b] = 1 /* PPS_EUNKNOWN taken for written ... */
#else
        write(b)             /* PPS_EUNKNOWN: written, and not known */
#endif
    }
    /* send_releases(), pps_bills_discard_copies() */
#ifdef RELEASE_BEFORE_LOG
    :: atomic { KEPT(b) && partners[partner].copy[b] && acked[b] ->
        partners[partner].copy[b] = 0; partners[partner].released[b] = 1 }
#else
    :: atomic { in_log_known[b] && !owner_lost &&
                partners[partner].copy[b] ->
        partners[partner].copy[b] = 0; partners[partner].released[b] = 1 }
#endif
    /* pps_bills_recover_host(), flush_batch() of copies */
#ifndef NO_RECOVERY
    :: atomic { partners[0].owner_lost && !partners[0].lost &&
                partners[0].copy[b] && !log_down ->
        write(b); partners[0].copy[b] = 0; partners[0].released[b] = 1 }
    :: atomic { partners[1].owner_lost && !partners[1].lost &&
                partners[1].copy[b] && !log_down ->
        write(b); partners[1].copy[b] = 0; partners[1].released[b] = 1 }
    /* written, answer lost: the copy stays and is appended again */
    :: atomic { partners[partner].owner_lost && !partners[partner].lost &&
                partners[partner].copy[b] && !log_down &&
                dropped < LOST_MESSAGES ->
        dropped++; write(b) }
#endif
    od
}

/* Every unlogged finished bill has its second copy again. */
#define SYNCED(b) (!finished[b] || in_log_known[b] || \
                   partners[partner].copy[b] || shown[b])
#ifdef NO_HANDOVER
#define OWNER_MAY_DIE 1
#else
#define OWNER_MAY_DIE (partner == 0 || (SYNCED(0) && SYNCED(1)))
#endif

proctype world() {
end:
    do
    :: faults_over = 1; break
    /* the owner is lost, and starts again under a new incarnation */
    :: atomic {
        !owner_lost && life == 0 && OWNER_MAY_DIE && !partners[partner].lost ->
        owner_lost = 1
    }
    :: atomic { owner_lost && life == 0 -> owner_lost = 0; life = 1 }
    /* a living owner is taken for lost */
    :: atomic {
        !partners[partner].owner_lost -> partners[partner].owner_lost = 1
    }
    /* the partner is lost; pps_bills_set_partner() chooses another */
    :: atomic {
        partner == 0 && !owner_lost && life == 0 ->
        partners[0].lost = 1;
        partner = 1;
#ifndef NO_HANDOVER
        acked[0] = 0;
        acked[1] = 0
#endif
    }
    /* the log's outages */
    :: atomic {
        !log_down && outages < MAX_OUTAGES -> log_down = 1; outages++
    }
    :: atomic { log_down -> log_down = 0 }
    od;
    log_down = 0;
    /* pps_bills_recover_host(): a lost owner is noticed in the end */
    atomic {
        if
        :: owner_lost || life == 1 ->
            partners[0].owner_lost = 1;
            partners[1].owner_lost = 1
        :: else
        fi
    };
    timeout;
    assert(!finished[0] || counted[0] == 1);
    assert(!finished[1] || counted[1] == 1);
    assert(!finished[2] || counted[2] == 1)
}

init {
    atomic {
        run bill(0);
        run bill(1);
        run bill(2);
        run world()
    }
}
