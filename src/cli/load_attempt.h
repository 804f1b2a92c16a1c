/**
 * @file load_attempt.h
 * @brief One attempt of a request at one entry host.
 */
#ifndef PPS_CLI_LOAD_ATTEMPT_H
#define PPS_CLI_LOAD_ATTEMPT_H

#include "load_answer.h"

#include <curl/curl.h>

/** Sends the request and reads the response into `answer`, which the caller
 * has initialized. @return the verdict */
load_verdict_t
load_attempt_run(CURL *curl, const load_request_t *request, const char *entry,
                 load_answer_t *answer);

#endif
