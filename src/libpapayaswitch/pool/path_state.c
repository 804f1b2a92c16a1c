/** @file path_state.c @brief Counts workers that are out of reach. */
#include "path_state.h"

/** Workers in a row without an answer that make a cut, if confirmed. */
#define UNREACHED_MIN 2

void
pps_path_state_note_unreached(pps_path_state_t *state, uint64_t worker,
                              int64_t tried_us)
{
    if (state->unreached == 0 || state->last_worker != worker) {
        state->unreached++;
    }
    state->last_worker = worker;
    state->tried_us = tried_us;
}

void
pps_path_state_note_confirmed(pps_path_state_t *state)
{
    state->is_confirmed = state->unreached > 0;
}

int
pps_path_state_note_reached(pps_path_state_t *state, int64_t tried_us)
{
    if (tried_us < state->tried_us) {
        return 0;
    }
    state->unreached = 0;
    state->is_confirmed = 0;
    return 1;
}

int
pps_path_state_is_doubtful(const pps_path_state_t *state)
{
    return state->unreached >= UNREACHED_MIN;
}

int
pps_path_state_is_cut(const pps_path_state_t *state)
{
    return state->is_confirmed && pps_path_state_is_doubtful(state);
}
