/**
 * @file model_choice.h
 * @brief Chooses which of a route's models answers: the smallest first, then
 * the largest if the confidence is too low. Does no I/O and reads no clock.
 *
 * Designed for busy workers and many repeats: the higher the load and the used
 * share of the repeat limit, the lower the confidence must be for a repeat.
 */
#ifndef PPS_EXCHANGE_MODEL_CHOICE_H
#define PPS_EXCHANGE_MODEL_CHOICE_H

#include <stddef.h>

/** State of a request when a model's answer begins. */
typedef struct {
    size_t model; /**< index of the answering model, smallest first */
    size_t model_count;
    int confidence; /**< stated by the model, 0 to 100; -1: none */
    unsigned int attempts_left;
    unsigned int confidence_min; /**< threshold on idle workers, 0 to 100 */
    double load;         /**< load of the upstream; 1: as busy as its slots */
    double repeats_used; /**< used share of the repeat limit, 0 to 1 */
} pps_model_choice_t;

/** Returns the index of the model to ask instead, or `model` if the answer is
 * to be kept. */
size_t
pps_model_choose(const pps_model_choice_t *choice);

#endif
