/** @file journal_claim.c @brief Appends claims and pins, awaits decisions. */
#include "journal_state.h"

#include "clock.h"
#include "commit/wait.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

/** A lookup may wait for the read in progress and then for the next one. */
#define LOOKUP_TIMEOUTS 2

/** Context of an append: the waiter may return before the append ends. */
typedef struct {
    pps_journal_t *journal;
    uint64_t attempt;
} append_context_t;

void
pps_verdict_clear(pps_verdict_t *verdict)
{
    free(verdict->body);
    verdict->body = NULL;
}

int
pps_verdict_copy(pps_verdict_t *out, const pps_journal_t *journal,
                 const pps_held_claim_t *held, const uint8_t *digest)
{
    static const pps_verdict_kind_t kinds[] = {
        [PPS_CLAIM_IN_PROGRESS] = PPS_VERDICT_IN_PROGRESS,
        [PPS_CLAIM_COMPLETED] = PPS_VERDICT_DONE,
        [PPS_CLAIM_UNKNOWN] = PPS_VERDICT_UNKNOWN,
    };

    memset(out, 0, sizeof(*out));
    out->kind = kinds[held->state];
    if (out->kind == PPS_VERDICT_IN_PROGRESS &&
        !pps_holder_is_present(journal, held)) {
        out->kind = PPS_VERDICT_UNKNOWN;
    }
    out->fencing = held->offset;
    if (digest != NULL &&
        memcmp(digest, held->digest, PPS_BODY_DIGEST_SIZE) != 0) {
        out->kind = PPS_VERDICT_MISMATCH;
        return PPS_OK;
    }
    if (out->kind != PPS_VERDICT_DONE) {
        return PPS_OK;
    }
    out->status = held->status;
    out->body_size = held->body_size;
    strncpy(out->content_type, held->content_type,
            sizeof(out->content_type) - 1);
    if (held->body != NULL) {
        out->body = malloc(held->body_size + 1);
        if (out->body == NULL) {
            return pps_error_set(PPS_ENOMEM, "verdict: out of memory");
        }
        memcpy(out->body, held->body, held->body_size);
    }
    return PPS_OK;
}

static pps_waiter_t *
find_waiter(pps_journal_t *journal, uint64_t attempt)
{
    pps_waiter_t *waiter;

    cds_list_for_each_entry (waiter, &journal->waiters, node) {
        if (waiter->attempt == attempt) {
            return waiter;
        }
    }
    return NULL;
}

/* Keeps the waiter after PPS_EUNKNOWN: the record may still appear. */
static void
on_appended(int result, uint64_t offset, void *user)
{
    append_context_t *context = user;
    pps_journal_t *journal = context->journal;
    pps_waiter_t *waiter;

    pthread_mutex_lock(&journal->mutex);
    waiter = find_waiter(journal, context->attempt);
    if (waiter != NULL && !waiter->decided && result == PPS_EUNAVAILABLE) {
        waiter->decided = 1;
        waiter->result = result;
        pthread_cond_signal(&waiter->cond);
    }
    pthread_mutex_unlock(&journal->mutex);
    free(context);
}

static int64_t
decision_deadline(const pps_journal_t *journal, int64_t deadline_us)
{
    int64_t bound_us =
        pps_clock_now_us() + journal->options.decision_timeout_us;

    return deadline_us < bound_us ? deadline_us : bound_us;
}

/* Mutex held. Lists the waiter before the record can be appended: a claim of
 * this host that is folded without a waiter is an orphan and is released. */
static int
submit_and_wait(pps_journal_t *journal, pps_waiter_t *waiter, void *data,
                size_t size, int64_t deadline_us)
{
    append_context_t *context = malloc(sizeof(*context));
    int error;

    if (context == NULL) {
        free(data);
        return pps_error_set(PPS_ENOMEM, "journal: out of memory");
    }
    *context = (append_context_t){journal, waiter->attempt};
    waiter->decided = 0;
    pps_wait_cond_init(&waiter->cond);
    cds_list_add_tail(&waiter->node, &journal->waiters);
    error = pps_appender_submit(journal->appender, data, size, deadline_us,
                                on_appended, context);
    if (error < 0) {
        free(data);
        free(context);
    }
    while (error == 0 && !waiter->decided) {
        error = pps_wait_until(&waiter->cond, &journal->mutex, deadline_us);
    }
    cds_list_del(&waiter->node);
    pthread_cond_destroy(&waiter->cond);
    if (waiter->decided) {
        return waiter->result;
    }
    return error == PPS_ETIMEOUT
               ? pps_error_set(PPS_EUNKNOWN,
                               "timed out waiting for the decision of the log")
               : error;
}

static int
copy_name(char *out, size_t capacity, const char *name)
{
    size_t size = name ? strlen(name) : 0;

    if (size == 0 || size >= capacity) {
        return pps_error_set(PPS_EINVALID, "a name is empty or too long");
    }
    memcpy(out, name, size + 1);
    return PPS_OK;
}

static int
fill_claim(pps_claim_t *claim, const pps_journal_t *journal,
           const char *workspace, const char *key, const uint8_t *digest,
           const char *request_id)
{
    memset(claim, 0, sizeof(*claim));
    if (copy_name(claim->workspace, sizeof(claim->workspace), workspace) < 0 ||
        copy_name(claim->key, sizeof(claim->key), key) < 0 ||
        copy_name(claim->request_id, sizeof(claim->request_id), request_id) <
            0) {
        return PPS_EINVALID;
    }
    memcpy(claim->digest, digest, sizeof(claim->digest));
    memcpy(claim->host, journal->host, sizeof(claim->host));
    claim->incarnation = journal->options.incarnation;
    return PPS_OK;
}

int
pps_journal_claim(pps_verdict_t *out, pps_journal_t *journal,
                  const char *workspace, const char *key,
                  const uint8_t digest[PPS_BODY_DIGEST_SIZE],
                  const char *request_id, int64_t deadline_us)
{
    pps_claim_t claim;
    pps_held_claim_t held;
    pps_waiter_t waiter = {.kind = PPS_WAIT_CLAIM,
                           .workspace = workspace,
                           .name = key,
                           .digest = digest,
                           .verdict = out};
    void *data;
    size_t size;
    int error;

    memset(out, 0, sizeof(*out));
    error = fill_claim(&claim, journal, workspace, key, digest, request_id);
    if (error < 0) {
        return error;
    }
    pthread_mutex_lock(&journal->mutex);
    if (pps_work_fold_claim(journal->fold, &held, workspace, key) == 0) {
        error = pps_verdict_copy(out, journal, &held, digest);
        goto done;
    }
    claim.attempt = waiter.attempt = ++journal->last_attempt;
    error = pps_claim_encode(&data, &size, &claim);
    if (error == 0) {
        error = submit_and_wait(journal, &waiter, data, size,
                                decision_deadline(journal, deadline_us));
    }
done:
    pthread_mutex_unlock(&journal->mutex);
    return error;
}

/* Mutex held. Repeats the lookup until a read of the log's head that began at
 * or after `since_us` has been folded. */
static int
look_up_current(pps_held_claim_t *held, pps_journal_t *journal,
                const char *workspace, const char *key, int64_t since_us)
{
    int64_t until_us =
        since_us + LOOKUP_TIMEOUTS * journal->options.decision_timeout_us;
    int waited = 0;

    while (pps_work_fold_claim(journal->fold, held, workspace, key) < 0) {
        if (journal->head_read_us >= since_us) {
            return PPS_ENOTFOUND;
        }
        if (waited < 0) {
            return pps_error_set(PPS_EUNKNOWN,
                                 "timed out waiting for a read of the log");
        }
        waited =
            pps_wait_until(&journal->head_read, &journal->mutex, until_us);
    }
    return PPS_OK;
}

int
pps_journal_lookup(pps_verdict_t *out, pps_journal_t *journal,
                   const char *workspace, const char *key)
{
    pps_held_claim_t held;
    int error;

    pthread_mutex_lock(&journal->mutex);
    error =
        look_up_current(&held, journal, workspace, key, pps_clock_now_us());
    if (error == 0) {
        error = pps_verdict_copy(out, journal, &held, NULL);
    }
    pthread_mutex_unlock(&journal->mutex);
    return error;
}

static int
find_pin(const pps_journal_t *journal, char *version, const char *workspace,
         const char *session)
{
    pps_held_pin_t pin;
    int error = pps_work_fold_pin(journal->fold, &pin, workspace, session,
                                  pps_work_fold_log_time(journal->fold));

    if (error == 0) {
        memcpy(version, pin.version, strlen(pin.version) + 1);
    }
    return error;
}

int
pps_journal_get_pin(char *version, pps_journal_t *journal,
                    const char *workspace, const char *session)
{
    int error;

    pthread_mutex_lock(&journal->mutex);
    error = find_pin(journal, version, workspace, session);
    pthread_mutex_unlock(&journal->mutex);
    return error;
}

int
pps_journal_pin(char *version, pps_journal_t *journal, const char *workspace,
                const char *session, uint32_t idle_s, int64_t deadline_us)
{
    pps_pin_t pin = {.idle_s = idle_s};
    pps_waiter_t waiter = {.kind = PPS_WAIT_PIN,
                           .workspace = workspace,
                           .name = session,
                           .version = version};
    void *data;
    size_t size;
    int error;

    if (copy_name(pin.workspace, sizeof(pin.workspace), workspace) < 0 ||
        copy_name(pin.session, sizeof(pin.session), session) < 0 ||
        copy_name(pin.version, sizeof(pin.version), version) < 0) {
        return PPS_EINVALID;
    }
    memcpy(pin.host, journal->host, sizeof(pin.host));
    pthread_mutex_lock(&journal->mutex);
    error = find_pin(journal, version, workspace, session);
    if (error == PPS_ENOTFOUND) {
        waiter.attempt = ++journal->last_attempt;
        error = pps_pin_encode(&data, &size, &pin);
        if (error == 0) {
            error = submit_and_wait(journal, &waiter, data, size,
                                    decision_deadline(journal, deadline_us));
        }
    }
    pthread_mutex_unlock(&journal->mutex);
    return error;
}
