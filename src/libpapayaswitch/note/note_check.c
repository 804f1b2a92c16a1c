/** @file note_check.c @brief Checks a note file and loads a catalog file. */
#include "papayaswitch/note_check.h"

#include "ini_lines.h"
#include "papayaswitch/catalog_json.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>

static int
check_text(const char *text, size_t size, const char *path,
           const pps_catalog_t *in_force, pps_catalog_t **next,
           pps_findings_t *findings)
{
    pps_note_t *note;
    int error = pps_note_parse(&note, text, size, path, findings);

    if (error != PPS_ENOMEM && in_force != NULL) {
        error = pps_catalog_apply(next, in_force, note, path, findings);
    }
    pps_note_free(note);
    return error;
}

int
pps_note_check_file(const char *path, const pps_catalog_t *in_force,
                    pps_catalog_t **next, pps_findings_t *findings)
{
    pps_catalog_t *applied = NULL;
    char *text = NULL;
    size_t size;
    int error = pps_file_read(&text, &size, path);

    if (error == PPS_OK) {
        error = check_text(text, size, path, in_force, &applied, findings);
    }
    free(text);
    pps_findings_sort(findings);
    if (next != NULL) {
        *next = applied;
    }
    else {
        pps_catalog_free(applied);
    }
    return error;
}

int
pps_catalog_load(pps_catalog_t **out, const char *path)
{
    json_error_t position;
    json_t *json = json_load_file(path, 0, &position);
    int error;

    if (json == NULL) {
        return pps_error_set(PPS_EINVALID, "%s:%d: %s", path, position.line,
                             position.text);
    }
    error = pps_catalog_from_json(out, json);
    json_decref(json);
    return error;
}
