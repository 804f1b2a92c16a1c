/**
 * @file load_verify.h
 * @brief Compares an answer with the text that its version must generate.
 */
#ifndef PPS_CLI_LOAD_VERIFY_H
#define PPS_CLI_LOAD_VERIFY_H

#include "load_answer.h"

/** Whether the text is the stand-in engine's; true without a version. */
int
load_verify_text(const load_answer_t *answer, const load_request_t *request);

#endif
