/** @file byte_account.c @brief Holdings by source, and which is given up. */
#include "byte_account.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

#define GAUGE_PREFIX "papayaswitch_"

void
pps_byte_account_init(pps_byte_account_t *account, size_t max)
{
    memset(account, 0, sizeof(*account));
    account->max = max;
    CDS_INIT_LIST_HEAD(&account->holdings);
}

static pps_byte_source_t *
find_or_add_source(pps_byte_account_t *account, uint64_t digest)
{
    pps_table_item_t *item =
        pps_table_find(&account->sources, &digest, sizeof(digest));
    pps_byte_source_t *source;

    if (item != NULL) {
        return caa_container_of(item, pps_byte_source_t, item);
    }
    source = calloc(1, sizeof(*source));
    if (source != NULL) {
        source->digest = digest;
        pps_table_add(&account->sources, &source->item, &source->digest,
                      sizeof(source->digest));
    }
    return source;
}

static int
begin_holding(pps_held_t *held, pps_byte_account_t *account,
              const pps_held_options_t *options)
{
    pps_byte_source_t *source = find_or_add_source(account, options->source);

    if (source == NULL) {
        return PPS_ENOMEM;
    }
    held->account = account;
    held->source = source;
    held->kind = options->kind;
    held->give_up = options->give_up;
    held->owner = options->owner;
    source->holdings++;
    cds_list_add_tail(&held->node, &account->holdings);
    return PPS_OK;
}

static void
set_bytes(pps_held_t *held, size_t bytes)
{
    pps_byte_account_t *account = held->account;

    account->bytes += bytes - held->bytes;
    account->kind_bytes[held->kind] += bytes - held->bytes;
    held->source->bytes += bytes - held->bytes;
    held->bytes = bytes;
}

void
pps_held_release(pps_held_t *held)
{
    pps_byte_source_t *source = held->source;

    if (held->account == NULL) {
        return;
    }
    set_bytes(held, 0);
    cds_list_del(&held->node);
    if (--source->holdings == 0) {
        pps_table_remove(&held->account->sources, &source->item);
        free(source);
    }
    held->account = NULL;
    held->source = NULL;
}

static int
is_larger(const pps_held_t *a, const pps_held_t *b)
{
    if (a->source->bytes != b->source->bytes) {
        return a->source->bytes > b->source->bytes;
    }
    return a->bytes > b->bytes;
}

pps_held_t *
pps_byte_account_find_largest(const pps_byte_account_t *account)
{
    pps_held_t *largest = NULL;
    pps_held_t *held;

    cds_list_for_each_entry (held, &account->holdings, node) {
        if (largest == NULL || is_larger(held, largest)) {
            largest = held;
        }
    }
    return largest;
}

int
pps_held_resize(pps_held_t *held, pps_byte_account_t *account,
                const pps_held_options_t *options, size_t bytes)
{
    if (bytes == 0) {
        pps_held_release(held);
        return PPS_OK;
    }
    if (held->account == NULL &&
        begin_holding(held, account, options) != PPS_OK) {
        return PPS_ENOMEM;
    }
    set_bytes(held, bytes);
    while (account->bytes > account->max) {
        pps_held_t *largest = pps_byte_account_find_largest(account);

        if (largest == held) {
            return PPS_ELIMIT;
        }
        largest->give_up(largest->owner);
    }
    if (account->bytes > account->peak) {
        account->peak = account->bytes;
    }
    return PPS_OK;
}

size_t
pps_byte_account_source_bytes(const pps_byte_account_t *account,
                              uint64_t digest)
{
    pps_table_item_t *item =
        pps_table_find(&account->sources, &digest, sizeof(digest));

    return item != NULL
               ? caa_container_of(item, pps_byte_source_t, item)->bytes
               : 0;
}

const char *
pps_held_kind_name(pps_held_kind_t kind)
{
    static const char *const names[PPS_HELD_KINDS] = {"answer", "event",
                                                      "copy", "body"};

    return names[kind];
}

static void
describe(pps_buf_t *out, const pps_byte_account_labels_t *labels,
         const char *suffix, const char *help)
{
    pps_buf_printf(out, "# HELP %s%s%s %s %s\n# TYPE %s%s%s gauge\n",
                   GAUGE_PREFIX, labels->name, suffix, help, labels->what,
                   GAUGE_PREFIX, labels->name, suffix);
}

static void
expose_gauge(pps_buf_t *out, const pps_byte_account_labels_t *labels,
             const char *suffix, const char *help, size_t value)
{
    describe(out, labels, suffix, help);
    pps_buf_printf(out, "%s%s%s %zu\n", GAUGE_PREFIX, labels->name, suffix,
                   value);
}

void
pps_byte_account_expose(pps_buf_t *out, const pps_byte_account_t *account,
                        const pps_byte_account_labels_t *labels)
{
    expose_gauge(out, labels, "_max_bytes", "Limit of the bytes held",
                 account->max);
    expose_gauge(out, labels, "_peak_bytes", "Most bytes held since the start",
                 account->peak);
    describe(out, labels, "_bytes", "Bytes held");
    for (int kind = 0; kind < PPS_HELD_KINDS; kind++) {
        pps_buf_printf(out, "%s%s_bytes{kind=\"%s\"} %zu\n", GAUGE_PREFIX,
                       labels->name, pps_held_kind_name((pps_held_kind_t)kind),
                       account->kind_bytes[kind]);
    }
}
