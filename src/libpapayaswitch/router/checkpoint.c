/** @file checkpoint.c @brief When a checkpoint is due, and whose turn it is.
 */
#include "checkpoint.h"

#include "clock.h"
#include "event.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/membership.h"
#include "papayaswitch/record.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/** Notes that come together get one checkpoint. */
#define SETTLE_US PPS_US_PER_S
/** Time that each host has before the next one tries. */
#define TURN_US PPS_US_PER_S
/** The log may drop records by age, which nobody tells. */
#define AGE_MAX_US (600 * PPS_US_PER_S)
#define REPORTS_MAX PPS_HOSTS_MAX

typedef struct {
    pps_router_t *router;
    void *record;
    size_t size;
} append_job_t;

static void
append_checkpoint(uv_work_t *work)
{
    append_job_t *job = work->data;
    pps_log_blob_t blob = {job->record, job->size};
    uint64_t offset;

    if (job->router->log->append(job->router->log, PPS_STREAM_CONFIG, &blob, 1,
                                 &offset) == 0) {
        pps_event_record("config_checkpoint",
                         PPS_FIELDS(PPS_INT("offset", offset)));
    }
}

static void
checkpoint_appended(uv_work_t *work, int status)
{
    append_job_t *job = work->data;

    free(job->record);
    free(job);
    free(work);
}

static int
encode_checkpoint(append_job_t *job)
{
    void *payload;
    size_t size;
    int error =
        pps_config_fold_checkpoint(job->router->config.fold, &payload, &size);

    if (error == 0) {
        error = pps_record_encode(&job->record, &job->size,
                                  PPS_RECORD_CONFIG_CHECKPOINT, payload, size);
        free(payload);
    }
    return error;
}

static void
append(pps_router_t *router)
{
    append_job_t *job = calloc(1, sizeof(*job));
    uv_work_t *work = calloc(1, sizeof(*work));

    if (job == NULL || work == NULL) {
        goto failed;
    }
    job->router = router;
    work->data = job;
    if (encode_checkpoint(job) < 0) {
        goto failed;
    }
    if (uv_queue_work(&router->loop, work, append_checkpoint,
                      checkpoint_appended) == 0) {
        return;
    }
    free(job->record);

failed:
    free(job);
    free(work);
}

/* Nothing is kept from which a host without state could start. */
static int
is_lost(const pps_config_feed_t *feed)
{
    return feed->first > 0 && (feed->checkpoint_us == PPS_TIME_NONE ||
                               feed->checkpoint_offset < feed->first);
}

static int
is_in_older_half(const pps_config_feed_t *feed)
{
    uint64_t kept =
        feed->read_head > feed->first ? feed->read_head - feed->first : 0;

    return feed->first > 0 && feed->checkpoint_offset < feed->first + kept / 2;
}

static int
is_due(const pps_config_feed_t *feed, int64_t now_us)
{
    if (feed->searching || feed->changed_at == 0) {
        return 0;
    }
    return feed->changed_at > feed->checkpoint_at || is_lost(feed) ||
           is_in_older_half(feed) || now_us - feed->checkpoint_us > AGE_MAX_US;
}

typedef struct {
    uint64_t seed;
    uint64_t own_weight;
    int64_t before; /**< hosts that go first */
} turn_t;

static uint64_t
weigh(const char *id, uint64_t seed)
{
    return XXH64(id, strlen(id), seed);
}

static int
count_before(const pps_member_t *member, void *user)
{
    turn_t *turn = user;

    turn->before += weigh(member->host.id, turn->seed) > turn->own_weight;
    return 0;
}

/* How many live hosts go before this one; another order for each state. */
static int64_t
find_turn(pps_router_t *router)
{
    static pps_host_report_t reports[REPORTS_MAX];
    size_t count = pps_peers_copy_reports(router->peers, reports, REPORTS_MAX);
    const char *self = router->settings.host_id;
    pps_membership_t membership = PPS_MEMBERSHIP_INIT;
    turn_t turn = {.seed = router->config.changed_at};

    turn.own_weight = weigh(self, turn.seed);
    if (pps_membership_build(&membership, self, router->incarnation,
                             &router->hosts, reports, count) == 0) {
        pps_membership_foreach_alive(&membership, count_before, &turn);
    }
    pps_membership_clear(&membership);
    return turn.before;
}

/*
 * A checkpoint follows soon on every note, since one that is followed by no
 * other may expire by age alone. Two by different hosts are harmless.
 */
void
pps_checkpoint_tick(pps_router_t *router, int64_t now_us)
{
    const pps_config_feed_t *feed = &router->config;

    if (!is_due(feed, now_us)) {
        router->checkpoint_due_us = PPS_TIME_NONE;
        return;
    }
    if (router->checkpoint_due_us == PPS_TIME_NONE) {
        router->checkpoint_due_us = now_us;
    }
    if (now_us - router->checkpoint_due_us <
        (is_lost(feed) ? 0 : SETTLE_US) + find_turn(router) * TURN_US) {
        return;
    }
    router->checkpoint_due_us = now_us;
    append(router);
}
