/**
 * @file log_http.h
 * @brief The platform's log over HTTP.
 */
#ifndef PAPAYASWITCH_LOG_HTTP_H
#define PAPAYASWITCH_LOG_HTTP_H

#include "papayaswitch/log_backend.h"

/**
 * Makes a backend for the log service at `base_url`
 * (`http://ADDRESS:PORT`). Freed by its own `free` function.
 */
int
pps_log_http_new(pps_log_backend_t **out, const char *base_url);

#endif
