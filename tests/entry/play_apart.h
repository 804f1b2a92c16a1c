/**
 * @file play_apart.h
 * @brief Runs plays of hosts in processes of their own, as hosts are never
 * freed.
 */
#ifndef PPS_TESTS_ENTRY_PLAY_APART_H
#define PPS_TESTS_ENTRY_PLAY_APART_H

#include "node_play.h"

/** Plays what `options` describe, up to the end or the first finding. */
typedef void (*play_apart_fn)(const void *options, uint64_t seed);

/** Runs a play and hands over its finding. */
void
play_apart(node_play_finding_t *out, play_apart_fn play, const void *options,
           uint64_t seed);

/** Reads a number from the environment. */
uint64_t
play_apart_number(const char *name, uint64_t otherwise);

#endif
