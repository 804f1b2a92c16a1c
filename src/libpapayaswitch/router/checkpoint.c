/** @file checkpoint.c @brief Decides when and by which host to checkpoint. */
#include "checkpoint.h"

#include "clock.h"
#include "event.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/membership.h"
#include "papayaswitch/record.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/** Delay before a checkpoint, so that notes close together share one. */
#define NOTE_BATCH_DELAY_US PPS_US_PER_S
/** Time that each host has to append before the next one tries. */
#define HOST_DELAY_US PPS_US_PER_S
/** Maximum age of a checkpoint: the log may drop records by age unnoticed. */
#define CHECKPOINT_AGE_MAX_US (600 * PPS_US_PER_S)
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
on_appended(uv_work_t *work, int status)
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
queue_append(pps_router_t *router)
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
    if (uv_queue_work(&router->loop, work, append_checkpoint, on_appended) ==
        0) {
        return;
    }
    free(job->record);

failed:
    free(job);
    free(work);
}

/* Checks that a host without state could not start from the log. */
static int
is_unrecoverable(const pps_config_feed_t *feed)
{
    return feed->first_kept > 0 &&
           (feed->checkpoint_us == PPS_TIME_NONE ||
            feed->checkpoint_offset < feed->first_kept);
}

static int
is_in_older_half(const pps_config_feed_t *feed)
{
    uint64_t kept = feed->read_head > feed->first_kept
                        ? feed->read_head - feed->first_kept
                        : 0;

    return feed->first_kept > 0 &&
           feed->checkpoint_offset < feed->first_kept + kept / 2;
}

static int
is_due(const pps_config_feed_t *feed, int64_t now_us)
{
    if (feed->searching || feed->change_end_offset == 0) {
        return 0;
    }
    return feed->change_end_offset > feed->checkpoint_next_offset ||
           is_unrecoverable(feed) || is_in_older_half(feed) ||
           now_us - feed->checkpoint_us > CHECKPOINT_AGE_MAX_US;
}

typedef struct {
    uint64_t seed;
    uint64_t own_hash;
    int64_t rank; /**< number of hosts before this one */
} host_rank_t;

static uint64_t
hash_host(const char *id, uint64_t seed)
{
    return XXH64(id, strlen(id), seed);
}

static int
count_higher_hash(const pps_member_t *member, void *user)
{
    host_rank_t *host_rank = user;

    host_rank->rank +=
        hash_host(member->host.id, host_rank->seed) > host_rank->own_hash;
    return 0;
}

/* Counts live hosts before this one; the order differs for each state. */
static int64_t
find_rank(pps_router_t *router)
{
    static pps_host_report_t reports[REPORTS_MAX];
    size_t count = pps_peers_copy_reports(router->peers, reports, REPORTS_MAX);
    const char *self = router->settings.host_id;
    pps_membership_t membership = PPS_MEMBERSHIP_INIT;
    host_rank_t host_rank = {.seed = router->config.change_end_offset};

    host_rank.own_hash = hash_host(self, host_rank.seed);
    if (pps_membership_build(&membership, self, router->incarnation,
                             &router->hosts, reports, count) == 0) {
        pps_membership_foreach_alive(&membership, count_higher_hash,
                                     &host_rank);
    }
    pps_membership_clear(&membership);
    return host_rank.rank;
}

/*
 * A checkpoint is appended soon after every note, because the log may drop a
 * note by age alone, even if no record follows it. Checkpoints by two hosts
 * are harmless.
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
        (is_unrecoverable(feed) ? 0 : NOTE_BATCH_DELAY_US) +
            find_rank(router) * HOST_DELAY_US) {
        return;
    }
    router->checkpoint_due_us = now_us;
    queue_append(router);
}
