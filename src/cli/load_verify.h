/**
 * @file load_verify.h
 * @brief Compares a response with the text that its version generates.
 */
#ifndef PPS_CLI_LOAD_VERIFY_H
#define PPS_CLI_LOAD_VERIFY_H

#include "load_answer.h"

/** Returns whether the text is the stand-in engine's. Returns 1 for a service
 * and for a response without a version, which have no expected text. */
int
load_verify_text(const load_answer_t *answer, const load_request_t *request);

#endif
