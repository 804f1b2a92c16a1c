/**
 * @file load_kind.h
 * @brief Kinds of requests that a load consists of.
 */
#ifndef PPS_CLI_LOAD_KIND_H
#define PPS_CLI_LOAD_KIND_H

#include <stddef.h>

/** Target of a request. */
typedef enum {
    LOAD_TARGET_MODEL,   /**< a chat completion */
    LOAD_TARGET_LOOKUP,  /**< a lookup in the service */
    LOAD_TARGET_RELEASE, /**< a non-idempotent request to the service */
} load_target_t;

/** A kind of request. */
typedef struct {
    const char *name;
    load_target_t target;
    int max_tokens;
    int stream;
    size_t prompt_bytes; /**< minimum length of the prefix per workspace */
} load_kind_t;

/** Number of kinds. */
#define LOAD_KIND_COUNT 5

extern const load_kind_t load_kinds[LOAD_KIND_COUNT];

/** Returns the index of a kind by name, or -1. */
int
load_kind_find(const char *name, size_t length);

#endif
