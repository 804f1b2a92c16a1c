/** @file ini_lines.c @brief Reads INI text with libinih. */
#include "ini_lines.h"

#include "papayaswitch/errors.h"

#include <ctype.h>
#include <errno.h>
#include <ini.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define LINE_BYTES_MAX 8000
#define LIBRARY_LINE_BYTES (LINE_BYTES_MAX + 3)
#define SECTION_BYTES_MAX 64
#define FILE_BYTES_MAX (1 << 20)

static pthread_once_t line_limit_raised = PTHREAD_ONCE_INIT;

typedef struct {
    const char *next;
    const char *end;
    const char *file;
    int line;
    const pps_ini_handler_t *handler;
    void *user;
    pps_findings_t *findings;
    char section[SECTION_BYTES_MAX + 1];
} reader_t;

static void
parse_section(reader_t *reader, const char *text)
{
    const char *end = strchr(text, ']');
    size_t size;

    if (end == NULL) {
        pps_findings_add(reader->findings, reader->file, reader->line,
                         "section header without ']'");
        return;
    }
    size = (size_t)(end - text - 1);
    if (size == 0 || size > SECTION_BYTES_MAX) {
        pps_findings_add(reader->findings, reader->file, reader->line,
                         "section name must have 1 to %d characters",
                         SECTION_BYTES_MAX);
        size = size > SECTION_BYTES_MAX ? SECTION_BYTES_MAX : size;
    }
    memcpy(reader->section, text + 1, size);
    reader->section[size] = '\0';
    reader->handler->section(reader->user, reader->section, reader->line);
}

static int
has_control_character(const char *text, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        if (iscntrl((unsigned char)text[i]) && text[i] != '\t' &&
            text[i] != '\r') {
            return 1;
        }
    }
    return 0;
}

/* Strips leading blanks, so that libinih sees no continuation line. */
static char *
read_line(char *out, int limit, void *stream)
{
    reader_t *reader = stream;
    const char *start = reader->next;
    const char *newline;
    size_t size;

    if (start >= reader->end) {
        return NULL;
    }
    reader->line++;
    newline = memchr(start, '\n', (size_t)(reader->end - start));
    reader->next = newline ? newline + 1 : reader->end;
    size = (size_t)((newline ? newline : reader->end) - start);
    while (size > 0 && isblank((unsigned char)*start)) {
        start++;
        size--;
    }
    if (size > LINE_BYTES_MAX || size + 2 > (size_t)limit) {
        pps_findings_add(reader->findings, reader->file, reader->line,
                         "line longer than %d characters", LINE_BYTES_MAX);
        size = 0;
    }
    if (has_control_character(start, size)) {
        pps_findings_add(reader->findings, reader->file, reader->line,
                         "control character in line");
        size = 0;
    }
    memcpy(out, start, size);
    out[size] = '\n';
    out[size + 1] = '\0';
    if (out[0] == '[') {
        parse_section(reader, out);
    }
    else if (size > 0 && out[0] != ';' && out[0] != '#' && out[0] != '\r' &&
             strpbrk(out, "=:") == NULL) {
        pps_findings_add(reader->findings, reader->file, reader->line,
                         "expected 'key = value'");
        out[0] = '\0';
    }
    return out;
}

static int
on_key(void *user, const char *section, const char *name, const char *value)
{
    reader_t *reader = user;

    reader->handler->key(reader->user, reader->section, name,
                         value ? value : "", reader->line);
    return 1;
}

/* libinih has its limits in globals; a line is 200 bytes by default. */
static void
raise_line_limit(void)
{
    ini_use_stack = false;
    ini_max_line = LIBRARY_LINE_BYTES;
    ini_initial_alloc = LIBRARY_LINE_BYTES;
}

int
pps_ini_read(const char *text, size_t size, const char *file,
             const pps_ini_handler_t *handler, void *user,
             pps_findings_t *findings)
{
    reader_t reader = {.next = text,
                       .end = text + size,
                       .file = file,
                       .handler = handler,
                       .user = user,
                       .findings = findings};

    pthread_once(&line_limit_raised, raise_line_limit);
    if (ini_parse_stream(read_line, &reader, on_key, &reader) == -2) {
        return pps_error_set(PPS_ENOMEM, "%s: out of memory", file);
    }
    return PPS_OK;
}

int
pps_file_read(char **out, size_t *size, const char *path)
{
    FILE *stream = fopen(path, "rb");
    char *text = NULL;
    size_t bytes_read = 0;
    int error = PPS_OK;

    if (stream == NULL) {
        return pps_error_set(PPS_EIO, "%s: %s", path, strerror(errno));
    }
    text = malloc(FILE_BYTES_MAX + 1);
    if (text == NULL) {
        error = pps_error_set(PPS_ENOMEM, "%s: out of memory", path);
        goto done;
    }
    bytes_read = fread(text, 1, FILE_BYTES_MAX + 1, stream);
    if (ferror(stream)) {
        error = pps_error_set(PPS_EIO, "%s: %s", path, strerror(errno));
        goto done;
    }
    if (bytes_read > FILE_BYTES_MAX) {
        error = pps_error_set(PPS_ELIMIT, "%s: larger than %d bytes", path,
                              FILE_BYTES_MAX);
        goto done;
    }
    text[bytes_read] = '\0';
    *out = text;
    *size = bytes_read;
    text = NULL;

done:
    free(text);
    fclose(stream);
    return error;
}
