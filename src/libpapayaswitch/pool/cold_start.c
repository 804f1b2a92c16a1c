/** @file cold_start.c @brief Evidence of cold workers and shares of them. */
#include "cold_start.h"

#include "clock.h"

#include <stddef.h>

#define SAVED_MAX 1.0
/** Time after a refused connection in which a worker may restart before its
 * new record has come. After a longer time its entry has expired in the store.
 */
#define RESTART_US (10 * PPS_US_PER_S)
/** Time for which a host that replaces another sender waits. Hosts notice that
 * another one is gone up to a period of states apart. */
#define SETTLE_US (1 * PPS_US_PER_S)
/** Time to the first byte that a cold worker adds, as a multiple of the usual
 * one: an idle cold worker is as good as one with all slots busy. */
#define SLOWNESS 1.0

void
pps_cold_start_note_record(pps_cold_start_t *cold,
                           const pps_cold_record_t *record)
{
    int is_known = record->has_remaining || record->started_us != 0;

    cold->record_until_us = record->has_remaining ? record->until_us : 0;
    cold->started_us = record->has_remaining ? 0 : record->started_us;
    if (record->has_remaining) {
        cold->order_until_us = 0;
    }
    if (record->is_restart && is_known) {
        cold->answer_until_us = 0;
        pps_cold_start_forget_refused(cold);
    }
}

void
pps_cold_start_note_remaining(pps_cold_start_t *cold, int64_t until_us)
{
    cold->answer_until_us = until_us;
}

int
pps_cold_start_note_refused(pps_cold_start_t *cold, int64_t now_us)
{
    cold->last_refused_us = now_us;
    if (cold->refused_us != 0 && cold->answered_us == 0) {
        return 0;
    }
    cold->refused_us = now_us;
    cold->answered_us = 0;
    return 1;
}

void
pps_cold_start_forget_refused(pps_cold_start_t *cold)
{
    cold->refused_us = 0;
    cold->answered_us = 0;
}

void
pps_cold_start_note_answer(pps_cold_start_t *cold, int64_t sent_us,
                           int64_t now_us)
{
    if (cold->refused_us != 0 && cold->answered_us == 0 &&
        sent_us >= cold->refused_us) {
        cold->answered_us = now_us;
    }
}

void
pps_cold_start_expect(pps_cold_start_t *cold, int64_t until_us)
{
    if (until_us > cold->order_until_us) {
        cold->order_until_us = until_us;
    }
}

static int64_t
restart_until_us(const pps_cold_start_t *cold, const pps_cold_rule_t *rule)
{
    if (cold->refused_us == 0) {
        return 0;
    }
    return (cold->answered_us != 0 ? cold->answered_us
                                   : cold->last_refused_us + RESTART_US) +
           rule->cold_us;
}

int64_t
pps_cold_start_until_us(const pps_cold_start_t *cold,
                        const pps_cold_rule_t *rule,
                        pps_cold_evidence_t *evidence)
{
    const int64_t untils[] = {
        [PPS_COLD_NONE] = 0,
        [PPS_COLD_BY_RECORD] = cold->record_until_us,
        [PPS_COLD_BY_START] =
            cold->started_us != 0 ? cold->started_us + rule->cold_us : 0,
        [PPS_COLD_BY_ANSWER] = cold->answer_until_us,
        [PPS_COLD_BY_ORDER] = cold->order_until_us,
        [PPS_COLD_BY_RESTART] = restart_until_us(cold, rule),
    };
    pps_cold_evidence_t last = PPS_COLD_NONE;

    for (int i = PPS_COLD_BY_RECORD;
         rule->per_s > 0 && rule->over > 0 && i <= PPS_COLD_BY_RESTART; i++) {
        if (untils[i] > untils[last]) {
            last = (pps_cold_evidence_t)i;
        }
    }
    if (evidence != NULL) {
        *evidence = last;
    }
    return untils[last];
}

int
pps_cold_start_is_cold(pps_cold_start_t *cold, const pps_cold_rule_t *rule,
                       int64_t now_us)
{
    int is_cold = pps_cold_start_until_us(cold, rule, NULL) > now_us;

    if (is_cold && !cold->is_active) {
        cold->is_ranked = 0;
        cold->is_sender = 0;
        cold->rank_until_us = 0;
    }
    cold->is_active = is_cold;
    return is_cold;
}

static double
min(double a, double b)
{
    return a < b ? a : b;
}

/* Returns the senders of all hosts together, at least 1. Each may save up one
 * request, so that there are fewer than the slack, and as many as send at
 * least one request a second each. */
static unsigned int
count_senders(const pps_cold_rule_t *rule, unsigned int hosts)
{
    double senders = min(PPS_COLD_SENDERS_MAX, hosts);

    senders = min(min(senders, rule->slack - 1), rule->per_s);
    return senders < 1 ? 1 : (unsigned int)senders;
}

void
pps_cold_start_share(pps_cold_start_t *cold, const pps_cold_rule_t *rule,
                     const pps_host_rank_t *rank, int64_t now_us)
{
    unsigned int all = count_senders(rule, rank->peak);
    unsigned int senders = rank->peak > 0 ? all * rank->hosts / rank->peak : 0;
    double per_s =
        min(rule->per_s, rule->per_s * rule->over + rule->slack - all);
    int was_sender = cold->is_sender;

    cold->is_sender =
        rank->before >= 0 && rank->before < (int)senders && per_s > 0;
    if (cold->is_sender) {
        if (!was_sender) {
            int is_new = cold->is_ranked || rank->hosts < rank->peak;

            cold->saved = 0;
            cold->saved_us = now_us + (is_new ? SETTLE_US : 0);
        }
        cold->per_us =
            per_s * rank->hosts / rank->peak / senders / PPS_US_PER_S;
    }
    cold->is_ranked = 1;
}

int64_t
pps_cold_start_wait_us(pps_cold_start_t *cold, int64_t now_us)
{
    int64_t settle_us = cold->saved_us > now_us ? cold->saved_us - now_us : 0;

    if (!cold->is_sender) {
        return INT64_MAX;
    }
    if (settle_us == 0) {
        cold->saved = min(SAVED_MAX,
                          cold->saved + cold->per_us *
                                            (double)(now_us - cold->saved_us));
        cold->saved_us = now_us;
    }
    return cold->saved >= SAVED_MAX
               ? 0
               : settle_us +
                     (int64_t)((SAVED_MAX - cold->saved) / cold->per_us) + 1;
}

void
pps_cold_start_take(pps_cold_start_t *cold)
{
    cold->saved -= SAVED_MAX;
}

double
pps_cold_start_slowness_us(double service_us)
{
    return service_us * SLOWNESS;
}

const char *
pps_cold_evidence_name(pps_cold_evidence_t evidence)
{
    static const char *const names[] = {
        [PPS_COLD_NONE] = "none",      [PPS_COLD_BY_RECORD] = "record",
        [PPS_COLD_BY_START] = "start", [PPS_COLD_BY_ANSWER] = "answer",
        [PPS_COLD_BY_ORDER] = "order", [PPS_COLD_BY_RESTART] = "restart",
    };

    return names[evidence];
}
