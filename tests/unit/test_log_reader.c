/** @file test_log_reader.c @brief Tests the reader of a stream whose reads
 * fail midway. */
#include "fake_log.h"
#include "papayaswitch/log_reader.h"

#include <criterion/criterion.h>

#define RECORDS 6
#define WAIT_US (10 * PPS_US_PER_MS)
#define WAITS_MAX 500

/* A backend whose first reads fail after some records. */
typedef struct {
    fake_log_t log;
    int failing_reads;
    size_t records_before_failure;
} failing_log_t;

typedef struct {
    pthread_mutex_t lock;
    uint64_t next; /* offset that is expected next */
    int lost;      /* records that were not delivered in a good batch */
    int failures;
} owner_t;

static int
read_then_fail(pps_log_backend_t *self, const char *stream, uint64_t from,
               size_t limit, int wait_ms,
               int (*each)(const pps_log_entry_t *entry, void *user),
               void *user, pps_log_range_t *range)
{
    failing_log_t *failing = (failing_log_t *)self;

    if (failing->failing_reads-- <= 0) {
        return fake_log_read(self, stream, from, limit, wait_ms, each, user,
                             range);
    }
    fake_log_read(self, stream, from, failing->records_before_failure, wait_ms,
                  each, user, range);
    return PPS_ECORRUPT;
}

/* Applies a batch as the feeds do, which ignore one with an error. */
static void
deliver(pps_log_batch_t *batch, void *user)
{
    owner_t *owner = user;

    pthread_mutex_lock(&owner->lock);
    owner->failures += batch->error < 0;
    for (size_t i = 0; batch->error == 0 && i < batch->count; i++) {
        owner->lost += batch->entries[i].offset != owner->next;
        owner->next = batch->entries[i].offset + 1;
    }
    pthread_mutex_unlock(&owner->lock);
    pps_log_batch_free(batch);
}

static uint64_t
next_offset(owner_t *owner)
{
    uint64_t next;

    pthread_mutex_lock(&owner->lock);
    next = owner->next;
    pthread_mutex_unlock(&owner->lock);
    return next;
}

/* The records before the failure must be read again. */
Test(log_reader, records_of_a_failed_read_are_not_skipped)
{
    failing_log_t failing = {.failing_reads = 2, .records_before_failure = 3};
    owner_t owner = {.lock = PTHREAD_MUTEX_INITIALIZER};
    pps_log_reader_options_t options = PPS_LOG_READER_OPTIONS_INIT;
    pps_log_reader_t *reader;

    fake_log_init(&failing.log);
    failing.log.base.read = read_then_fail;
    for (int i = 0; i < RECORDS; i++) {
        fake_log_store(&failing.log, "r", 1);
    }
    options.backend = &failing.log.base;
    options.stream = "s";
    options.wait_ms = 1;
    options.deliver = deliver;
    options.user = &owner;
    cr_assert_eq(pps_log_reader_new(&reader, &options), 0);
    for (int i = 0; i < WAITS_MAX && next_offset(&owner) < RECORDS; i++) {
        pps_clock_sleep_us(WAIT_US);
    }
    pps_log_reader_free(reader);
    cr_expect_eq(owner.next, RECORDS);
    cr_expect_eq(owner.lost, 0);
    cr_expect_eq(owner.failures, 2);
    fake_log_clear(&failing.log);
}
