/** @file model_choice.c @brief Cascade by the model's own confidence. */
#include "model_choice.h"

/** Load up to which the threshold stands as it is, and from which no answer
 * is given again. */
#define LOAD_CALM 0.5
#define LOAD_FULL 1.2
/** The same for the share of the allowed repeats that is in use. */
#define USED_CALM 0.75
#define USED_FULL 1.0

/* 1 up to `calm`, 0 from `full` on, and even between. */
static double
falling(double value, double calm, double full)
{
    if (value <= calm) {
        return 1;
    }
    return value < full ? (full - value) / (full - calm) : 0;
}

size_t
pps_model_choose(const pps_model_choice_t *doubt)
{
    double threshold = doubt->confidence_min *
                       falling(doubt->load, LOAD_CALM, LOAD_FULL) *
                       falling(doubt->repeats_used, USED_CALM, USED_FULL);

    if (doubt->confidence < 0 || doubt->attempts_left == 0 ||
        doubt->model + 1 >= doubt->model_count) {
        return doubt->model;
    }
    return doubt->confidence < threshold ? doubt->model_count - 1
                                         : doubt->model;
}
