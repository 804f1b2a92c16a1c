/*
 * Model of the bills of one host, which a partner holds until the log has them.
 *
 * The owner ends an answer only when a partner or the log has its bill. It
 * appends batches; an append may take effect although its answer is lost. The
 * partner appends its copies when it considers the owner lost, rightly or not.
 * The log has outages of any length. Assumption: a host is lost only while
 * another has the bills that it holds, so the owner is not lost before a new
 * partner has the copies that the old one lost.
 *
 * Checked in the final state, when no step is possible: the reader counts the
 * bill of each finished answer exactly once.
 */
/* variants: END_BEFORE_HOLD RELEASE_BEFORE_LOG NO_RECOVERY NO_DROP */
/* variants: NO_HANDOVER NO_INCARNATION FORGET_UNANSWERED */
/* cc: -DCOLLAPSE */

#define BILLS 3       /* 0 and 1 in the owner's first incarnation, 2 later */
#define FIRST_BILLS 2
#define PARTNERS 2
#define MAX_OUTAGES 2
#define MAX_LOST_ANSWERS 2

/* State of each bill at the owner. */
bit made[BILLS];
bit acked[BILLS];
bit in_log_known[BILLS];
bit finished[BILLS];
/* State of a partner. */
typedef partner_t {
    bit copy[BILLS];
    bit released[BILLS];
    bit lost;           /* the partner is lost */
    bit owner_lost;     /* it considers the owner lost */
    bit answered[BILLS] /* an acknowledgement was sent */
};
partner_t partners[PARTNERS];
byte partner;
/* The log and the state of its reader. */
bit seen[BILLS];
byte counted[BILLS];
bit log_down;
byte outages;
byte lost_answers;
bit owner_lost;
byte incarnation;
bit faults_over;

inline identity(b, out) {
#ifdef NO_INCARNATION
    /* the second incarnation starts again at sequence 1 */
    out = (b == FIRST_BILLS -> 0 : b)
#else
    out = b
#endif
}

/* pps_bill_reader_feed(): drops repeated bills */
inline write(b) {
    identity(b, id);
#ifdef NO_DROP
    counted[b]++;
#else
    if
    :: !seen[id] -> seen[id] = 1; counted[b]++
    :: else
    fi;
#endif
    id = 0
}

/* A bill of the owner's present incarnation that it does not know as logged. */
#define KEPT(b) (!owner_lost && made[b] && !in_log_known[b] && \
                 (b >= FIRST_BILLS) == (incarnation == 1))

proctype bill(byte b) {
    byte id;
end:
    do
    /* pps_bills_hold(); its first transmission is the next step */
    :: atomic {
        !owner_lost && !made[b] && (b >= FIRST_BILLS) == (incarnation == 1) ->
        made[b] = 1
    }
    /* pps_bills_send_hold(), resend_holds(), handle_hold() */
    :: atomic {
        KEPT(b) && !partners[partner].lost && !acked[b] &&
        !partners[partner].copy[b] && !partners[partner].released[b] ->
        partners[partner].copy[b] = 1
    }
    /* handle_hold_ack(); a lost acknowledgement is sent again */
    :: atomic {
        KEPT(b) && partners[partner].copy[b] && !acked[b] -> acked[b] = 1
    }
    /* is_replicated(): the last byte of the answer is sent */
#ifdef END_BEFORE_HOLD
    :: atomic { made[b] && !owner_lost && !finished[b] &&
                (b >= FIRST_BILLS) == (incarnation == 1) -> finished[b] = 1 }
#else
    :: atomic {
        made[b] && !owner_lost && !finished[b] &&
        (b >= FIRST_BILLS) == (incarnation == 1) &&
        (acked[b] || in_log_known[b]) ->
        finished[b] = 1
    }
#endif
    /* pps_bills_flush(), on_appended() */
    :: atomic { KEPT(b) && !log_down -> write(b); in_log_known[b] = 1 }
    :: atomic { KEPT(b) && !log_down && lost_answers < MAX_LOST_ANSWERS ->
        lost_answers++;
#ifdef FORGET_UNANSWERED
        in_log_known[b] = 1 /* variant: treats PPS_EUNKNOWN as written */
#else
        write(b) /* PPS_EUNKNOWN: written, but the owner cannot know */
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
    /* pps_bills_recover_host(), flush_batch() with copies */
#ifndef NO_RECOVERY
    :: atomic { partners[0].owner_lost && !partners[0].lost &&
                partners[0].copy[b] && !log_down ->
        write(b); partners[0].copy[b] = 0; partners[0].released[b] = 1 }
    :: atomic { partners[1].owner_lost && !partners[1].lost &&
                partners[1].copy[b] && !log_down ->
        write(b); partners[1].copy[b] = 0; partners[1].released[b] = 1 }
    /* the answer is lost: the partner keeps the copy and appends it again */
    :: atomic { partners[partner].owner_lost && !partners[partner].lost &&
                partners[partner].copy[b] && !log_down &&
                lost_answers < MAX_LOST_ANSWERS ->
        lost_answers++; write(b) }
#endif
    od
}

/* A finished bill is in the log, or the present partner has a copy. */
#define SYNCED(b) (!finished[b] || in_log_known[b] || \
                   partners[partner].copy[b] || seen[b])
#ifdef NO_HANDOVER
#define OWNER_MAY_BE_LOST 1
#else
#define OWNER_MAY_BE_LOST (partner == 0 || (SYNCED(0) && SYNCED(1)))
#endif

proctype world() {
end:
    do
    :: faults_over = 1; break
    /* the owner is lost, and restarts with a new incarnation */
    :: atomic {
        !owner_lost && incarnation == 0 && OWNER_MAY_BE_LOST &&
        !partners[partner].lost ->
        owner_lost = 1
    }
    :: atomic {
        owner_lost && incarnation == 0 -> owner_lost = 0; incarnation = 1
    }
    /* a partner considers the owner lost, also when it is not */
    :: atomic {
        !partners[partner].owner_lost -> partners[partner].owner_lost = 1
    }
    /* the partner is lost; pps_bills_set_partner() chooses another */
    :: atomic {
        partner == 0 && !owner_lost && incarnation == 0 ->
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
    /* pps_bills_recover_host(): the loss of the owner is always detected */
    atomic {
        if
        :: owner_lost || incarnation == 1 ->
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
