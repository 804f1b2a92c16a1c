/**
 * @file load_caller.h
 * @brief A caller: it tries a request until it has an answer or gives up.
 */
#ifndef PPS_CLI_LOAD_CALLER_H
#define PPS_CLI_LOAD_CALLER_H

#include "load_report.h"

#include <curl/curl.h>

/** Sees a request through and enters it in the account. */
void
load_caller_run(CURL *curl, load_request_t *request, load_report_t *account);

#endif
