/**
 * @file work_record.h
 * @brief Codec of the stream `work`: claims, outcomes, pins and touches.
 */
#ifndef PAPAYASWITCH_WORK_RECORD_H
#define PAPAYASWITCH_WORK_RECORD_H

#include "papayaswitch/catalog.h"

#include <stddef.h>
#include <stdint.h>

/** Longest idempotency key and longest session name, in bytes. */
#define PPS_WORK_KEY_MAX 255
/** Longest request id, in bytes. */
#define PPS_REQUEST_ID_MAX 63
/** Longest content type kept with an outcome, in bytes. */
#define PPS_CONTENT_TYPE_MAX 95
/** Size of a body's digest, in bytes. */
#define PPS_BODY_DIGEST_SIZE 32
/** Largest body that is kept with an outcome, in bytes. */
#define PPS_OUTCOME_BODY_MAX (64 * 1024)

/** Claim of one host on the right to run one request. */
typedef struct {
    char workspace[PPS_NAME_MAX + 1];
    char key[PPS_WORK_KEY_MAX + 1];
    uint8_t digest[PPS_BODY_DIGEST_SIZE]; /**< digest of the request's body */
    char host[PPS_NAME_MAX + 1];
    uint64_t incarnation;
    uint64_t attempt; /**< unique within the incarnation */
    char request_id[PPS_REQUEST_ID_MAX + 1];
} pps_claim_t;

/** Result of a claimed request. */
typedef enum {
    PPS_OUTCOME_COMPLETED = 1, /**< answered; the body may be kept */
    PPS_OUTCOME_NOT_RUN = 2,   /**< certainly not run: frees the key */
    PPS_OUTCOME_UNKNOWN = 3,   /**< sent, but not answered */
} pps_outcome_state_t;

/** Outcome of the claim at `claim_offset`. */
typedef struct {
    char workspace[PPS_NAME_MAX + 1];
    char key[PPS_WORK_KEY_MAX + 1];
    uint64_t claim_offset;
    pps_outcome_state_t state;
    int status; /**< HTTP status */
    char content_type[PPS_CONTENT_TYPE_MAX + 1];
    const void *body; /**< NULL when it is too large to keep */
    size_t body_size; /**< size in bytes, even if the body is not kept */
    uint8_t body_digest[PPS_BODY_DIGEST_SIZE];
} pps_outcome_t;

/** Pin of a session to a version. */
typedef struct {
    char workspace[PPS_NAME_MAX + 1];
    char session[PPS_WORK_KEY_MAX + 1];
    char version[PPS_NAME_MAX + 1];
    char host[PPS_NAME_MAX + 1];
    uint32_t idle_s; /**< time without use after which the pin ends */
} pps_pin_t;

/** Use of a session, which extends its pin. */
typedef struct {
    char workspace[PPS_NAME_MAX + 1];
    char session[PPS_WORK_KEY_MAX + 1];
} pps_touch_t;

/** Computes the digest of a request's or an answer's body. */
void
pps_body_digest(uint8_t out[PPS_BODY_DIGEST_SIZE], const void *body,
                size_t size);

/** Encodes a record with its envelope. The caller frees `*out` with free(). */
int
pps_claim_encode(void **out, size_t *size, const pps_claim_t *claim);
/** Computes `body_digest`; omits a body over PPS_OUTCOME_BODY_MAX bytes. */
int
pps_outcome_encode(void **out, size_t *size, const pps_outcome_t *outcome);
int
pps_pin_encode(void **out, size_t *size, const pps_pin_t *pin);
int
pps_touch_encode(void **out, size_t *size, const pps_touch_t *touches,
                 size_t count);

/** Decodes the payload of a record. @return 0 or PPS_ECORRUPT */
int
pps_claim_decode(pps_claim_t *out, const void *payload, size_t size);
/** Copies the body; free() it. @return 0, PPS_ECORRUPT or PPS_ENOMEM */
int
pps_outcome_decode(pps_outcome_t *out, const void *payload, size_t size);
int
pps_pin_decode(pps_pin_t *out, const void *payload, size_t size);
/** Calls `visit` for each touch, or for none when the payload is corrupt. */
int
pps_touch_decode(const void *payload, size_t size,
                 void (*visit)(const pps_touch_t *touch, void *user),
                 void *user);

#endif
