/**
 * @file settings.h
 * @brief Settings of `papayaswitchd`, an INI file.
 *
 * docs/operators/settings.md describes each key.
 */
#ifndef PAPAYASWITCH_SETTINGS_H
#define PAPAYASWITCH_SETTINGS_H

#include "papayaswitch/findings.h"

#include <stddef.h>

/** Longest text of one setting, in bytes. */
#define PPS_SETTING_TEXT_BYTES 160

/** Bytes of the keys shared by all hosts. */
#define PPS_SHARED_KEY_BYTES 32

/** Form of log lines. */
typedef enum {
    PPS_SETTING_LOG_KEY_VALUE,
    PPS_SETTING_LOG_JSON,
} pps_setting_log_t;

/** The settings of one host. */
typedef struct {
    char host_id[PPS_SETTING_TEXT_BYTES];
    char failure_domain[PPS_SETTING_TEXT_BYTES];
    char address[PPS_SETTING_TEXT_BYTES];
    int http_port;     /**< towards callers; 0 takes a free one */
    int operator_port; /**< status, counters, events */
    int peer_port;     /**< towards the other hosts */
    char port_file[PPS_SETTING_TEXT_BYTES];
    char platform_url[PPS_SETTING_TEXT_BYTES];
    unsigned char peer_key[PPS_SHARED_KEY_BYTES];
    unsigned char token_key[PPS_SHARED_KEY_BYTES];
    int log_format;   /**< pps_setting_log_t */
    int freshness_ms; /**< how long evidence of the log's head holds */
    int claim_interval_ms;
    int body_bytes_max;
    int connections_max;
    int drain_seconds_max;
    int answer_timeout_ms;  /**< until an upstream's first byte */
    int silence_timeout_ms; /**< between two tokens */
    int bills_max; /**< own bills in memory before requests are refused */
} pps_settings_t;

/**
 * Reads and checks settings; all findings are collected.
 * @return 0; PPS_EINVALID when a finding was added; PPS_EIO; PPS_ENOMEM
 */
int
pps_settings_load(pps_settings_t *out, const char *path,
                  pps_findings_t *findings);

/** The same from a text in memory. */
int
pps_settings_parse(pps_settings_t *out, const char *text, size_t size,
                   const char *file, pps_findings_t *findings);

#endif
