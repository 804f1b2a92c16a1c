/**
 * @file byte_account.h
 * @brief Counts the bytes that a host holds of what others send to it, and
 * decides which of them it gives up when they reach a limit. Does no I/O.
 *
 * Designed for workers that send without end, so that the answers of one of
 * them do not take the memory that the others need. Bytes belong to the source
 * that sent them. When an account is full, the source with most bytes gives
 * up its largest holding. So a source keeps what it has as long as that is no
 * more than any other's, whichever of them asks for more.
 */
#ifndef PPS_MEMORY_BYTE_ACCOUNT_H
#define PPS_MEMORY_BYTE_ACCOUNT_H

#include "buf.h"
#include "table.h"

#include <stdint.h>
#include <urcu/list.h>

/** What bytes are held for. */
typedef enum {
    PPS_HELD_ANSWER, /**< answers that callers get when they are whole */
    PPS_HELD_EVENT,  /**< events of streams that are not complete */
    PPS_HELD_COPY,   /**< answers to copies of slow requests */
    PPS_HELD_BODY,   /**< bodies of callers' requests, with their copies */
    PPS_HELD_KINDS
} pps_held_kind_t;

/** All bytes that a host holds. Initialize with pps_byte_account_init(). */
typedef struct {
    size_t max;
    size_t bytes;
    size_t peak; /**< of `bytes` */
    size_t kind_bytes[PPS_HELD_KINDS];
    pps_table_t sources; /**< those that hold bytes, by their digest */
    struct cds_list_head holdings;
} pps_byte_account_t;

/** A source that holds bytes. */
typedef struct {
    pps_table_item_t item;
    uint64_t digest;
    size_t bytes;
    size_t holdings;
} pps_byte_source_t;

typedef struct pps_held pps_held_t;

/** Gives up a holding of another source or owner: pps_held_release() must have
 * been called for it when this returns. */
typedef void (*pps_held_give_up_fn)(void *owner);

/** Bytes that one owner holds. Zero-initialize it, and release it before it is
 * freed. */
struct pps_held {
    struct cds_list_head node;
    pps_byte_account_t *account; /**< NULL: it holds nothing */
    pps_byte_source_t *source;
    pps_held_kind_t kind;
    size_t bytes;
    pps_held_give_up_fn give_up;
    void *owner;
};

/** Whom bytes belong to. */
typedef struct {
    pps_held_kind_t kind;
    uint64_t source; /**< digest of what sent them */
    pps_held_give_up_fn give_up;
    void *owner; /**< argument of `give_up` */
} pps_held_options_t;

/** Initializes an account. @param max limit, in bytes */
void
pps_byte_account_init(pps_byte_account_t *account, size_t max);

/** Sets the bytes that a holding has, and gives up holdings as long as the
 * account is over its limit. A holding keeps its source and kind until it is
 * released.
 * @return 0; PPS_ELIMIT if this holding has to be given up, which is left to
 * the caller; PPS_ENOMEM, with the holding as it was */
int
pps_held_resize(pps_held_t *held, pps_byte_account_t *account,
                const pps_held_options_t *options, size_t bytes);

/** Sets a holding to no bytes; does nothing if it has none. */
void
pps_held_release(pps_held_t *held);

/** Returns the holding that is to be given up first, or NULL if there is none.
 */
pps_held_t *
pps_byte_account_find_largest(const pps_byte_account_t *account);

/** Returns the bytes that a source holds. */
size_t
pps_byte_account_source_bytes(const pps_byte_account_t *account,
                              uint64_t digest);

/** Returns the name of a kind, such as "answer". */
const char *
pps_held_kind_name(pps_held_kind_t kind);

/** How the gauges of an account are named and described. */
typedef struct {
    const char *name; /**< such as "entry_held" */
    const char *what; /**< whose bytes they are, such as "of workers' answers"
                       */
} pps_byte_account_labels_t;

/** Appends the bytes of an account, by kind, as gauges in the Prometheus text
 * format. A failure is kept in the buffer. */
void
pps_byte_account_expose(pps_buf_t *out, const pps_byte_account_t *account,
                        const pps_byte_account_labels_t *labels);

#endif
