/**
 * @file model_choice.h
 * @brief Which of a route's models answers: the smallest first, and the
 * largest when the smallest one doubts its own answer. Pure.
 *
 * Load it answers: the busier the workers, and the fewer repeats are left, the
 * surer of a bad answer a model must be for it to be given again.
 */
#ifndef PPS_EXCHANGE_MODEL_CHOICE_H
#define PPS_EXCHANGE_MODEL_CHOICE_H

#include <stddef.h>

/** What is known when a model's answer begins. */
typedef struct {
    size_t model;       /**< index of the model that answers */
    size_t model_count; /**< of the route */
    int confidence;     /**< of the model, 0 to 100; -1: unsaid */
    unsigned int attempts_left;
    unsigned int confidence_min; /**< on idle workers */
    double load;                 /**< busy share of the upstream's slots */
    double repeats_used;         /**< share of the allowed repeats in use */
} pps_model_choice_t;

/** @return index of the model to ask instead, or `model` to keep the answer
 */
size_t
pps_model_choose(const pps_model_choice_t *doubt);

#endif
