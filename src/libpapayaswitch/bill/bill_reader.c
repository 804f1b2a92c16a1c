/** @file bill_reader.c @brief Sums the stream `bills` by workspace. */
#include "papayaswitch/bill_reader.h"

#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"
#include "spans.h"
#include "table.h"

#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#define READ_RECORDS_MAX 1000

/** Sequence numbers read from one incarnation of a host. */
typedef struct {
    struct cds_list_head node;
    char host[PPS_NAME_MAX + 1];
    uint64_t incarnation;
    pps_spans_t seen;
} source_t;

/** List entry with the sums of a workspace. */
typedef struct {
    struct cds_list_head node;
    pps_bill_sum_t sum;
} account_t;

/** Id of a request that was billed. */
typedef struct {
    struct cds_list_head node;
    pps_table_item_t item;
    char id[];
} billed_request_t;

struct pps_bill_reader {
    pps_bill_reader_stats_t stats;
    struct cds_list_head sources;
    struct cds_list_head accounts; /**< in order of workspace names */
    struct cds_list_head requests;
    pps_table_t request_table;
};

int
pps_bill_reader_new(pps_bill_reader_t **out)
{
    pps_bill_reader_t *reader = calloc(1, sizeof(*reader));

    if (reader == NULL) {
        return pps_error_set(PPS_ENOMEM, "bill reader: out of memory");
    }
    CDS_INIT_LIST_HEAD(&reader->sources);
    CDS_INIT_LIST_HEAD(&reader->accounts);
    CDS_INIT_LIST_HEAD(&reader->requests);
    *out = reader;
    return PPS_OK;
}

void
pps_bill_reader_free(pps_bill_reader_t *reader)
{
    source_t *source;
    source_t *next_source;
    account_t *account;
    account_t *next_account;
    billed_request_t *request;
    billed_request_t *next_request;

    if (reader == NULL) {
        return;
    }
    cds_list_for_each_entry_safe (source, next_source, &reader->sources,
                                  node) {
        pps_spans_clear(&source->seen);
        free(source);
    }
    cds_list_for_each_entry_safe (account, next_account, &reader->accounts,
                                  node) {
        free(account);
    }
    cds_list_for_each_entry_safe (request, next_request, &reader->requests,
                                  node) {
        pps_table_remove(&reader->request_table, &request->item);
        free(request);
    }
    free(reader);
}

static source_t *
source_intern(pps_bill_reader_t *reader, const pps_bill_t *bill)
{
    source_t *source;

    cds_list_for_each_entry (source, &reader->sources, node) {
        if (source->incarnation == bill->incarnation &&
            strcmp(source->host, bill->host) == 0) {
            return source;
        }
    }
    source = calloc(1, sizeof(*source));
    if (source != NULL) {
        memcpy(source->host, bill->host, sizeof(source->host));
        source->incarnation = bill->incarnation;
        cds_list_add_tail(&source->node, &reader->sources);
    }
    return source;
}

static account_t *
account_intern(pps_bill_reader_t *reader, const char *workspace)
{
    struct cds_list_head *position = &reader->accounts;
    account_t *account;

    cds_list_for_each_entry (account, &reader->accounts, node) {
        int order = strcmp(account->sum.workspace, workspace);

        if (order == 0) {
            return account;
        }
        if (order > 0) {
            position = &account->node;
            break;
        }
    }
    account = calloc(1, sizeof(*account));
    if (account != NULL) {
        memcpy(account->sum.workspace, workspace, strlen(workspace) + 1);
        cds_list_add_tail(&account->node, position);
    }
    return account;
}

/* Returns 1 when the id is new, 0 when it is known, or PPS_ENOMEM. */
static int
request_add(pps_bill_reader_t *reader, const char *id)
{
    size_t size = strlen(id) + 1;
    billed_request_t *request;

    if (pps_table_find(&reader->request_table, id, size) != NULL) {
        return 0;
    }
    request = calloc(1, sizeof(*request) + size);
    if (request == NULL) {
        return PPS_ENOMEM;
    }
    memcpy(request->id, id, size);
    cds_list_add_tail(&request->node, &reader->requests);
    pps_table_add(&reader->request_table, &request->item, request->id, size);
    return 1;
}

static int
count_bill(pps_bill_reader_t *reader, const pps_bill_t *bill)
{
    source_t *source = source_intern(reader, bill);
    account_t *account = account_intern(reader, bill->workspace);
    int added;

    if (source == NULL || account == NULL) {
        return PPS_ENOMEM;
    }
    added = pps_spans_add(&source->seen, bill->sequence);
    if (added <= 0) {
        reader->stats.repeated_sequence += added == 0;
        return added;
    }
    added = request_add(reader, bill->request_id);
    if (added <= 0) {
        reader->stats.repeated_request += added == 0;
        return added;
    }
    reader->stats.bills++;
    account->sum.bills++;
    account->sum.prompt_tokens += bill->prompt_tokens;
    account->sum.generated_tokens += bill->generated_tokens;
    account->sum.cost_micros += bill->cost_micros;
    return PPS_OK;
}

int
pps_bill_reader_feed(pps_bill_reader_t *reader, const pps_log_entry_t *entry)
{
    pps_bill_batch_t batch = {NULL, 0};
    pps_record_t record;
    int error;

    reader->stats.next_offset = entry->offset + 1;
    error = pps_record_decode(&record, entry->data, entry->size);
    if (error == 0 && record.kind != PPS_RECORD_BILLS) {
        error = PPS_ECORRUPT;
    }
    if (error == 0) {
        error = pps_bill_batch_decode(&batch, record.payload, record.size);
    }
    if (error == PPS_ECORRUPT) {
        reader->stats.corrupt++;
        return PPS_OK;
    }
    if (error < 0) {
        return error;
    }
    for (size_t i = 0; i < batch.count && error >= 0; i++) {
        error = count_bill(reader, &batch.bills[i]);
    }
    pps_bill_batch_clear(&batch);
    return error < 0 ? pps_error_set(error, "bill reader: out of memory")
                     : PPS_OK;
}

static int
feed_entry(const pps_log_entry_t *entry, void *user)
{
    return pps_bill_reader_feed(user, entry);
}

int
pps_bill_reader_read(pps_bill_reader_t *reader, pps_log_backend_t *backend)
{
    pps_log_range_t range = {0, 0};
    uint64_t from;
    int error;

    do {
        from = reader->stats.next_offset;
        error = backend->read(backend, PPS_STREAM_BILLS, from,
                              READ_RECORDS_MAX, 0, feed_entry, reader, &range);
        if (error == PPS_EEXPIRED) {
            reader->stats.next_offset = range.first;
            reader->stats.expired = range.first;
        }
        else if (error < 0) {
            return error;
        }
    } while (reader->stats.next_offset != from &&
             reader->stats.next_offset < range.head);
    return PPS_OK;
}

void
pps_bill_reader_stats(const pps_bill_reader_t *reader,
                      pps_bill_reader_stats_t *out)
{
    *out = reader->stats;
}

int
pps_bill_reader_sum_foreach(const pps_bill_reader_t *reader,
                            int (*visit)(const pps_bill_sum_t *sum,
                                         void *user),
                            void *user)
{
    const account_t *account;
    int stop = 0;

    cds_list_for_each_entry (account, &reader->accounts, node) {
        stop = account->sum.bills > 0 ? visit(&account->sum, user) : 0;
        if (stop != 0) {
            break;
        }
    }
    return stop;
}

static int
visit_gaps(const source_t *source,
           int (*visit)(const pps_bill_gap_t *gap, void *user), void *user)
{
    pps_bill_gap_t gap = {.incarnation = source->incarnation};
    uint64_t expected = 1;
    int stop = 0;

    memcpy(gap.host, source->host, sizeof(gap.host));
    for (size_t i = 0; i < source->seen.count && stop == 0; i++) {
        if (source->seen.spans[i].first > expected) {
            gap.first = expected;
            gap.last = source->seen.spans[i].first - 1;
            stop = visit(&gap, user);
        }
        expected = source->seen.spans[i].last + 1;
    }
    return stop;
}

int
pps_bill_reader_gap_foreach(const pps_bill_reader_t *reader,
                            int (*visit)(const pps_bill_gap_t *gap,
                                         void *user),
                            void *user)
{
    const source_t *source;
    int stop = 0;

    cds_list_for_each_entry (source, &reader->sources, node) {
        stop = visit_gaps(source, visit, user);
        if (stop != 0) {
            break;
        }
    }
    return stop;
}
