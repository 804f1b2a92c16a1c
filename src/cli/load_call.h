/**
 * @file load_call.h
 * @brief One attempt at one entry host.
 */
#ifndef PPS_CLI_LOAD_CALL_H
#define PPS_CLI_LOAD_CALL_H

#include "load_answer.h"

#include <curl/curl.h>

/** Sends the request and reads the answer. @return the attempt's verdict */
load_verdict_t
load_call(CURL *curl, const load_request_t *request, const char *entry,
          load_answer_t *answer);

#endif
