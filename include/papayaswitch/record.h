/**
 * @file record.h
 * @brief Encodes and decodes the records of the platform's log.
 *
 * A record is a msgpack array: format number, kind, payload, and XXH64 of the
 * payload seeded with the kind. Every reader drops a record with an invalid
 * envelope, so that all readers fold the same records.
 */
#ifndef PAPAYASWITCH_RECORD_H
#define PAPAYASWITCH_RECORD_H

#include <stddef.h>
#include <stdint.h>

/** Names of the streams in the platform's log. */
#define PPS_STREAM_CONFIG "config" /**< notes and checkpoints */
#define PPS_STREAM_WORK "work"     /**< claims, outcomes and session pins */
#define PPS_STREAM_BILLS "bills"   /**< batches of bills */

/** Maximum payload of a record, in bytes. */
#define PPS_RECORD_PAYLOAD_MAX (1 << 20)

/** Kinds of records; the numbers are part of the stored format. */
typedef enum {
    PPS_RECORD_NOTE = 1,              /**< the text of a release note */
    PPS_RECORD_CONFIG_CHECKPOINT = 2, /**< the folded config stream */
    PPS_RECORD_CLAIM = 3,             /**< right to run a request once */
    PPS_RECORD_OUTCOME = 4,           /**< result of a claimed request */
    PPS_RECORD_PIN = 5,               /**< pinned version of a session */
    PPS_RECORD_TOUCH = 6,             /**< sessions in use */
    PPS_RECORD_WORK_CHECKPOINT = 7,   /**< the folded work stream */
    PPS_RECORD_BILLS = 8,             /**< a batch of bills */
} pps_record_kind_t;

/** A decoded record; `payload` points into the decoded bytes. */
typedef struct {
    pps_record_kind_t kind;
    const void *payload;
    size_t size;
} pps_record_t;

/** Encodes a record. The caller frees `*out` with free(). */
int
pps_record_encode(void **out, size_t *out_size, pps_record_kind_t kind,
                  const void *payload, size_t size);

/** Decodes a record. @return 0 or PPS_ECORRUPT */
int
pps_record_decode(pps_record_t *out, const void *data, size_t size);

#endif
