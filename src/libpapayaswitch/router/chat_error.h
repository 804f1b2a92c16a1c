/**
 * @file chat_error.h
 * @brief Codes and messages for a completion that could not be started.
 */
#ifndef PPS_ROUTER_CHAT_ERROR_H
#define PPS_ROUTER_CHAT_ERROR_H

#include "api/api_error.h"

/** The caller's code for an error of pps_answer_open(). */
pps_api_error_t
pps_chat_error_code(int error);

/** A sentence for the same error. */
const char *
pps_chat_error_message(int error);

#endif
