/** @file settings.c @brief Table-driven parser of the daemon's settings. */
#include "papayaswitch/settings.h"

#include "ini_lines.h"
#include "papayaswitch/errors.h"

#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

typedef enum {
    KIND_TEXT,
    KIND_NUMBER,
    KIND_KEY,
    KIND_LOG_FORMAT,
} kind_t;

typedef struct {
    const char *section;
    const char *key;
    kind_t kind;
    size_t offset;
    const char *default_value; /* NULL: required */
    long min;
    long max;
} setting_t;

#define OFFSET(field) offsetof(pps_settings_t, field)
#define PORT_MAX 65535
#define HOUR_MS 3600000L

static const setting_t settings[] = {
    {"host", "id", KIND_TEXT, OFFSET(host_id), NULL, 0, 0},
    {"host", "failure_domain", KIND_TEXT, OFFSET(failure_domain), NULL, 0, 0},
    {"host", "address", KIND_TEXT, OFFSET(address), "127.0.0.1", 0, 0},
    {"host", "http_port", KIND_NUMBER, OFFSET(http_port), "0", 0, PORT_MAX},
    {"host", "operator_port", KIND_NUMBER, OFFSET(operator_port), "0", 0,
     PORT_MAX},
    {"host", "peer_port", KIND_NUMBER, OFFSET(peer_port), "0", 0, PORT_MAX},
    {"host", "port_file", KIND_TEXT, OFFSET(port_file), "", 0, 0},
    {"host", "connections_max", KIND_NUMBER, OFFSET(connections_max), "4000",
     1, 100000},
    {"host", "body_bytes_max", KIND_NUMBER, OFFSET(body_bytes_max), "4194304",
     1024, 1L << 26},
    {"host", "drain_seconds_max", KIND_NUMBER, OFFSET(drain_seconds_max),
     "300", 1, 86400},
    {"platform", "url", KIND_TEXT, OFFSET(platform_url), NULL, 0, 0},
    {"peers", "key", KIND_KEY, OFFSET(peer_key), NULL, 0, 0},
    {"sessions", "token_key", KIND_KEY, OFFSET(token_key), NULL, 0, 0},
    {"log", "format", KIND_LOG_FORMAT, OFFSET(log_format), "key-value", 0, 0},
    {"limits", "freshness_ms", KIND_NUMBER, OFFSET(freshness_ms), "2000", 200,
     60000},
    {"limits", "claim_interval_ms", KIND_NUMBER, OFFSET(claim_interval_ms),
     "40", 1, 1000},
    {"limits", "answer_timeout_ms", KIND_NUMBER, OFFSET(answer_timeout_ms),
     "30000", 100, HOUR_MS},
    {"limits", "silence_timeout_ms", KIND_NUMBER, OFFSET(silence_timeout_ms),
     "5000", 100, HOUR_MS},
    {"limits", "bills_max", KIND_NUMBER, OFFSET(bills_max), "100000", 1,
     1000000},
};

#define SETTING_COUNT (sizeof(settings) / sizeof(settings[0]))

typedef struct {
    pps_settings_t *out;
    const char *file;
    pps_findings_t *findings;
    int lines[SETTING_COUNT]; /* line where it is set; 0: not set */
} parser_t;

static const char *const sections[] = {"host",     "platform", "peers",
                                       "sessions", "log",      "limits"};

static void
on_section(void *user, const char *section, int line)
{
    parser_t *parser = user;

    for (size_t i = 0; i < sizeof(sections) / sizeof(sections[0]); i++) {
        if (strcmp(section, sections[i]) == 0) {
            return;
        }
    }
    pps_findings_add(parser->findings, parser->file, line,
                     "unknown section [%s]", section);
}

static void
set_text(parser_t *parser, const setting_t *setting, const char *value,
         int line)
{
    char *field = (char *)parser->out + setting->offset;

    if (strlen(value) >= PPS_SETTING_TEXT_BYTES) {
        pps_findings_add(parser->findings, parser->file, line,
                         "%s is longer than %d bytes", setting->key,
                         PPS_SETTING_TEXT_BYTES - 1);
        return;
    }
    if (value[0] == '\0' && setting->default_value == NULL) {
        pps_findings_add(parser->findings, parser->file, line,
                         "%s must not be empty", setting->key);
    }
    memcpy(field, value, strlen(value) + 1);
}

static void
set_number(parser_t *parser, const setting_t *setting, const char *value,
           int line)
{
    char *end;
    long number;

    errno = 0;
    number = strtol(value, &end, 10);
    if (errno != 0 || end == value || *end != '\0' || number < setting->min ||
        number > setting->max) {
        pps_findings_add(parser->findings, parser->file, line,
                         "%s must be a whole number from %ld to %ld",
                         setting->key, setting->min, setting->max);
        return;
    }
    *(int *)((char *)parser->out + setting->offset) = (int)number;
}

static void
set_key(parser_t *parser, const setting_t *setting, const char *value,
        int line)
{
    unsigned char *field = (unsigned char *)parser->out + setting->offset;
    size_t size = 0;

    if (sodium_hex2bin(field, PPS_SHARED_KEY_BYTES, value, strlen(value), NULL,
                       &size, NULL) != 0 ||
        size != PPS_SHARED_KEY_BYTES) {
        pps_findings_add(parser->findings, parser->file, line,
                         "%s must have %d hexadecimal digits", setting->key,
                         2 * PPS_SHARED_KEY_BYTES);
    }
}

static void
set_log_format(parser_t *parser, const setting_t *setting, const char *value,
               int line)
{
    int *field = (int *)((char *)parser->out + setting->offset);

    if (strcmp(value, "key-value") == 0) {
        *field = PPS_SETTING_LOG_KEY_VALUE;
    }
    else if (strcmp(value, "json") == 0) {
        *field = PPS_SETTING_LOG_JSON;
    }
    else {
        pps_findings_add(parser->findings, parser->file, line,
                         "%s must be key-value or json", setting->key);
    }
}

static void
set_value(parser_t *parser, const setting_t *setting, const char *value,
          int line)
{
    static void (*const setters[])(parser_t *, const setting_t *, const char *,
                                   int) = {
        [KIND_TEXT] = set_text,
        [KIND_NUMBER] = set_number,
        [KIND_KEY] = set_key,
        [KIND_LOG_FORMAT] = set_log_format,
    };

    setters[setting->kind](parser, setting, value, line);
}

static void
on_key(void *user, const char *section, const char *key, const char *value,
       int line)
{
    parser_t *parser = user;

    for (size_t i = 0; i < SETTING_COUNT; i++) {
        if (strcmp(section, settings[i].section) != 0 ||
            strcmp(key, settings[i].key) != 0) {
            continue;
        }
        if (parser->lines[i] != 0) {
            pps_findings_add(parser->findings, parser->file, line,
                             "%s is set twice, first on line %d", key,
                             parser->lines[i]);
        }
        parser->lines[i] = line;
        set_value(parser, &settings[i], value, line);
        return;
    }
    pps_findings_add(parser->findings, parser->file, line,
                     "unknown key %s in [%s]", key, section);
}

static void
apply_defaults(parser_t *parser)
{
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        if (parser->lines[i] != 0) {
            continue;
        }
        if (settings[i].default_value == NULL) {
            pps_findings_add(parser->findings, parser->file, 0,
                             "[%s] %s is missing", settings[i].section,
                             settings[i].key);
        }
        else {
            set_value(parser, &settings[i], settings[i].default_value, 0);
        }
    }
}

int
pps_settings_parse(pps_settings_t *out, const char *text, size_t size,
                   const char *file, pps_findings_t *findings)
{
    static const pps_ini_handler_t handler = {on_section, on_key};
    parser_t parser = {.out = out, .file = file, .findings = findings};
    size_t before = pps_findings_count(findings);
    int error;

    memset(out, 0, sizeof(*out));
    error = pps_ini_read(text, size, file, &handler, &parser, findings);
    if (error < 0) {
        return error;
    }
    apply_defaults(&parser);
    if (pps_findings_count(findings) > before) {
        return pps_error_set(PPS_EINVALID, "%s: the settings have findings",
                             file);
    }
    return PPS_OK;
}

int
pps_settings_load(pps_settings_t *out, const char *path,
                  pps_findings_t *findings)
{
    char *text;
    size_t size;
    int error = pps_file_read(&text, &size, path);

    if (error < 0) {
        pps_findings_add(findings, path, 0, "%s", pps_error_last());
        return error;
    }
    error = pps_settings_parse(out, text, size, path, findings);
    free(text);
    return error;
}
