/**
 * @file settings.h
 * @brief Reads the settings of `papayaswitchd` from an INI file.
 *
 * docs/operators/settings.md describes each key.
 */
#ifndef PAPAYASWITCH_SETTINGS_H
#define PAPAYASWITCH_SETTINGS_H

#include "papayaswitch/findings.h"

#include <stddef.h>

/** Size of a text setting, with its NUL byte. */
#define PPS_SETTING_TEXT_BYTES 160

/** Size of the keys that all hosts share, in bytes. */
#define PPS_SHARED_KEY_BYTES 32

/** Formats of log lines. */
typedef enum {
    PPS_SETTING_LOG_KEY_VALUE,
    PPS_SETTING_LOG_JSON,
} pps_setting_log_format_t;

/** The settings of one host. */
typedef struct {
    char host_id[PPS_SETTING_TEXT_BYTES];
    char failure_domain[PPS_SETTING_TEXT_BYTES];
    char address[PPS_SETTING_TEXT_BYTES];
    int http_port;     /**< for callers; 0: any free port */
    int operator_port; /**< for status, counters, events; 0: any free port */
    int peer_port;     /**< for the other hosts; 0: any free port */
    char port_file[PPS_SETTING_TEXT_BYTES];
    char platform_url[PPS_SETTING_TEXT_BYTES];
    unsigned char peer_key[PPS_SHARED_KEY_BYTES];
    unsigned char token_key[PPS_SHARED_KEY_BYTES];
    int log_format;   /**< pps_setting_log_format_t */
    int freshness_ms; /**< validity of evidence of the log's head */
    int claim_interval_ms;
    int body_bytes_max;
    int connections_max;
    int drain_seconds_max;
    int answer_timeout_ms;  /**< until an upstream's first byte */
    int silence_timeout_ms; /**< between two tokens */
    int bills_max; /**< own bills in memory at which requests are refused */
} pps_settings_t;

/**
 * Reads and checks a file and adds all findings to `findings`.
 * @return 0; PPS_EINVALID if a finding was added; PPS_EIO; PPS_ELIMIT;
 *         PPS_ENOMEM
 */
int
pps_settings_load(pps_settings_t *out, const char *path,
                  pps_findings_t *findings);

/** Reads and checks a text in memory as pps_settings_load() does a file.
 * @param file name used in findings */
int
pps_settings_parse(pps_settings_t *out, const char *text, size_t size,
                   const char *file, pps_findings_t *findings);

#endif
