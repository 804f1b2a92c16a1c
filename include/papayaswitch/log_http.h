/**
 * @file log_http.h
 * @brief Log backend over the HTTP API of the platform.
 */
#ifndef PAPAYASWITCH_LOG_HTTP_H
#define PAPAYASWITCH_LOG_HTTP_H

#include "papayaswitch/log_backend.h"

/**
 * Creates a backend for the log service at `base_url`
 * (`http://ADDRESS:PORT`). The caller frees it with `(*out)->free(*out)`.
 */
int
pps_log_http_new(pps_log_backend_t **out, const char *base_url);

#endif
