/**
 * @file load_caller.h
 * @brief Sends a request and retries it at other entry hosts.
 */
#ifndef PPS_CLI_LOAD_CALLER_H
#define PPS_CLI_LOAD_CALLER_H

#include "load_report.h"

#include <curl/curl.h>

/** Sends a request, with retries, and adds the outcome to the report. */
void
load_caller_run(CURL *curl, load_request_t *request, load_report_t *report);

#endif
