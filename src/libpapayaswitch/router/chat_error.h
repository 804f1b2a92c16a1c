/**
 * @file chat_error.h
 * @brief Maps errors of a completion that was not started to API errors.
 */
#ifndef PPS_ROUTER_CHAT_ERROR_H
#define PPS_ROUTER_CHAT_ERROR_H

#include "api/api_error.h"

/** Maps an error of pps_answer_open() to the API error code. */
pps_api_error_t
pps_chat_error_code(int error);

/** Maps the same error to a message. */
const char *
pps_chat_error_message(int error);

#endif
