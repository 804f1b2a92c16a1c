/**
 * @file bill.h
 * @brief Defines bills and encodes batches of them for the stream `bills`.
 */
#ifndef PAPAYASWITCH_BILL_H
#define PAPAYASWITCH_BILL_H

#include "papayaswitch/catalog.h"
#include "papayaswitch/work_record.h"

#include <stddef.h>
#include <stdint.h>

/** Maximum number of bills in a batch. */
#define PPS_BILL_BATCH_MAX 1000

/** How a billed request ended; docs/design/bills.md defines each kind. */
typedef enum {
    PPS_BILL_COMPLETED = 1, /**< one version ran to the end */
    PPS_BILL_ESCALATED = 2, /**< several versions ran to the end */
    PPS_BILL_CANCELLED = 3, /**< cancelled by the caller; tokens until then */
} pps_bill_kind_t;

/** Bill for one request. */
typedef struct {
    char request_id[PPS_REQUEST_ID_MAX + 1];
    char workspace[PPS_NAME_MAX + 1];
    char model[PPS_NAME_MAX + 1];
    char version[PPS_NAME_MAX + 1]; /**< version that answered */
    char upstream[PPS_NAME_MAX + 1];
    uint64_t prompt_tokens;
    uint64_t generated_tokens;
    uint64_t cost_micros; /**< millionths of the currency unit */
    pps_bill_kind_t kind;
    char host[PPS_NAME_MAX + 1]; /**< host that answered */
    uint64_t incarnation;
    uint64_t sequence; /**< from 1, without gaps within an incarnation */
} pps_bill_t;

/** Bills of one incarnation of one host. */
typedef struct {
    pps_bill_t *bills;
    size_t count;
} pps_bill_batch_t;

/**
 * Encodes bills that share the host and incarnation of the first one.
 * The caller frees `*out` with free().
 * @return 0; PPS_EINVALID for no or too many bills; PPS_ENOMEM
 */
int
pps_bill_batch_encode(void **out, size_t *size, const pps_bill_t *bills,
                      size_t count);

/** Decodes a batch, which the caller clears.
 * @return 0, PPS_ECORRUPT or PPS_ENOMEM */
int
pps_bill_batch_decode(pps_bill_batch_t *out, const void *payload, size_t size);

/** Frees the bills of a batch and zeroes it. */
void
pps_bill_batch_clear(pps_bill_batch_t *batch);

#endif
