/**
 * @file load_kind.h
 * @brief Kinds of requests that the load is mixed of.
 */
#ifndef PPS_CLI_LOAD_KIND_H
#define PPS_CLI_LOAD_KIND_H

#include <stddef.h>

/** What a kind calls. */
typedef enum {
    LOAD_TARGET_MODEL,   /**< a chat completion */
    LOAD_TARGET_LOOKUP,  /**< a lookup at the service */
    LOAD_TARGET_RELEASE, /**< a non-idempotent act at the service */
} load_target_t;

/** A kind of request. */
typedef struct {
    const char *name;
    load_target_t target;
    int max_tokens;
    int stream;
    size_t prompt_bytes; /**< of the part that all requests share */
} load_kind_t;

/** Number of kinds. */
#define LOAD_KIND_COUNT 5

extern const load_kind_t load_kinds[LOAD_KIND_COUNT];

/** Index of a kind by name, or -1. */
int
load_kind_find(const char *name, size_t length);

#endif
