/** @file model_choice.c @brief Confidence threshold that falls with load. */
#include "model_choice.h"

/** Load at which the threshold starts to fall, and at which it is 0. */
#define LOAD_RAMP_START 0.5
#define LOAD_RAMP_END 1.2
/** The same for the used share of the repeat limit. */
#define REPEATS_RAMP_START 0.75
#define REPEATS_RAMP_END 1.0

/* Returns 1 up to `start`, 0 from `end` on, and a linear ramp in between. */
static double
ramp_down(double value, double start, double end)
{
    if (value <= start) {
        return 1;
    }
    return value < end ? (end - value) / (end - start) : 0;
}

size_t
pps_model_choose(const pps_model_choice_t *choice)
{
    double threshold =
        choice->confidence_min *
        ramp_down(choice->load, LOAD_RAMP_START, LOAD_RAMP_END) *
        ramp_down(choice->repeats_used, REPEATS_RAMP_START, REPEATS_RAMP_END);

    if (choice->confidence < 0 || choice->attempts_left == 0 ||
        choice->model + 1 >= choice->model_count) {
        return choice->model;
    }
    return choice->confidence < threshold ? choice->model_count - 1
                                          : choice->model;
}
