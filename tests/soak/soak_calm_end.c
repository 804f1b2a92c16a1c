/** @file soak_calm_end.c @brief Checks what is served after the last fault. */
#include "soak.h"

#include "clock.h"

#include <stdio.h>

/** Time in which hosts find out that a fault has ended. */
#define RETURN_US (1 * PPS_US_PER_S)
/** From then on, one request and one more of so many need not be served. */
#define SENT_PER_LOSS 100

typedef struct {
    unsigned int sent;
    unsigned int served;
} tally_t;

static int64_t begun_us;
static int64_t count_until_us;
static tally_t all;      /* requests that count */
static tally_t returned; /* of these, the ones sent after RETURN_US */

void
calm_end_begin(const soak_t *soak, int64_t duration_us)
{
    begun_us = soak->reactor.now_us;
    count_until_us = begun_us + duration_us;
}

int
calm_end_counts(const soak_t *soak, int64_t sent_us)
{
    return soak->in_recovery && sent_us < count_until_us;
}

static int
is_returned(int64_t sent_us)
{
    return sent_us - begun_us > RETURN_US;
}

void
calm_end_note_sent(int64_t sent_us)
{
    all.sent++;
    returned.sent += (unsigned int)is_returned(sent_us);
}

void
calm_end_note_served(int64_t sent_us)
{
    all.served++;
    returned.served += (unsigned int)is_returned(sent_us);
}

void
calm_end_take_back(int64_t sent_us)
{
    all.sent--;
    returned.sent -= (unsigned int)is_returned(sent_us);
}

void
calm_end_note_not_served(const soak_t *soak, const char *id, int64_t sent_us,
                         unsigned int status)
{
    printf("seed %llu: not served at the calm end: %s, status %u (0: none), "
           "sent %lld ms after the last fault, ended %lld ms later\n",
           (unsigned long long)soak->seed, id, status,
           (long long)((sent_us - begun_us) / PPS_US_PER_MS),
           (long long)((soak->reactor.now_us - sent_us) / PPS_US_PER_MS));
}

void
calm_end_check(soak_t *soak)
{
    unsigned int lost = returned.sent - returned.served;

    printf("seed %llu: at the calm end %u of %u served, %u of %u after the "
           "first second\n",
           (unsigned long long)soak->seed, all.served, all.sent,
           returned.served, returned.sent);
    if (returned.served == 0 || lost > 1 + returned.sent / SENT_PER_LOSS) {
        soak_report_violation(
            soak, "too little is served when all is calm again", "");
    }
}
