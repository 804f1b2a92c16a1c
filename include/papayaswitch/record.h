/**
 * @file record.h
 * @brief Envelope of the records that the system keeps in the platform's log.
 *
 * msgpack array: format number, kind, payload, XXH64 of the payload seeded
 * with the kind. A record whose envelope does not hold is dropped alike by
 * every reader.
 */
#ifndef PAPAYASWITCH_RECORD_H
#define PAPAYASWITCH_RECORD_H

#include <stddef.h>
#include <stdint.h>

/** Streams of the platform's log. */
#define PPS_STREAM_CONFIG "config" /**< notes and their checkpoints */
#define PPS_STREAM_WORK "work"     /**< claims, outcomes and session pins */
#define PPS_STREAM_BILLS "bills"   /**< batches of bills */

/** Largest payload of one record, in bytes. */
#define PPS_RECORD_PAYLOAD_MAX (1 << 20)

/** Kinds of record; numbers are part of the format. */
typedef enum {
    PPS_RECORD_NOTE = 1,              /**< the text of a release note */
    PPS_RECORD_CONFIG_CHECKPOINT = 2, /**< the folded config stream */
    PPS_RECORD_CLAIM = 3,             /**< right to run a request once */
    PPS_RECORD_OUTCOME = 4,           /**< what became of a claim */
    PPS_RECORD_PIN = 5,               /**< version of a session */
    PPS_RECORD_TOUCH = 6,             /**< sessions in use */
    PPS_RECORD_WORK_CHECKPOINT = 7,   /**< the folded work stream */
    PPS_RECORD_BILLS = 8,             /**< a batch of bills */
} pps_record_kind_t;

/** A decoded record; the payload points into the decoded bytes. */
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
