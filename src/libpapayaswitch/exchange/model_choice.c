/** @file model_choice.c @brief Cascade by the model's own confidence. */
#include "model_choice.h"

/** Load up to which the threshold stands as it is, and from which no answer
 * is given again. */
#define LOAD_CALM 0.5
#define LOAD_FULL 1.2

size_t
pps_model_next(const pps_model_doubt_t *doubt)
{
    double threshold = doubt->confidence_min;

    if (doubt->confidence < 0 || doubt->attempts_left == 0 ||
        doubt->model + 1 >= doubt->model_count) {
        return doubt->model;
    }
    if (doubt->load > LOAD_CALM) {
        threshold *= (LOAD_FULL - doubt->load) / (LOAD_FULL - LOAD_CALM);
    }
    return doubt->confidence < threshold ? doubt->model_count - 1
                                         : doubt->model;
}
