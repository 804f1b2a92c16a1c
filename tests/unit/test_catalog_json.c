/** @file test_catalog_json.c @brief Tests catalog JSON and note checks. */
#include "papayaswitch/catalog_json.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/note_check.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HASH "0101010101010101010101010101010101010101010101010101010101010101"

static const char seed[] =
    "[note]\nid = seed\nbase = 0\n"
    "[upstream pool]\nkind = engine\nchecks_fencing = yes\n"
    "[upstream desk]\nkind = service\nidempotent = /a, /b\n"
    "[version m/1]\nupstream = pool\ncost = 0.1\nquality = 0.7\n"
    "[workspace w]\nkey_hash = " HASH "\nallow = m/1\nservices = desk\n";

/* JSON of a catalog; each case supplies the versions. */
#define CATALOG(versions)                                                     \
    "{\"revision\": 1, \"upstreams\": {\"pool\": {\"revision\": 1, "          \
    "\"note\": \"s\", \"kind\": \"engine\", \"checks_fencing\": \"no\", "     \
    "\"idempotent\": []}}, \"workspaces\": {}, \"versions\": " versions "}"
#define VERSION(name, cost)                                                   \
    "{\"" name "\": {\"revision\": 1, \"note\": \"s\", \"upstream\": "        \
    "\"pool\", \"state\": \"active\", \"cost\": " cost                        \
    ", \"quality\": 1, \"exposure\": 1.0, \"later\": true}}"

static pps_catalog_t *
make_catalog(void)
{
    pps_findings_t *findings;
    pps_catalog_t *empty;
    pps_catalog_t *catalog;
    pps_note_t *note;

    cr_assert_eq(pps_findings_new(&findings), 0);
    cr_assert_eq(pps_catalog_new(&empty), 0);
    cr_assert_eq(pps_note_parse(&note, seed, strlen(seed), "f", findings), 0);
    cr_assert_eq(pps_catalog_apply(&catalog, empty, note, "f", findings), 0);
    pps_note_free(note);
    pps_catalog_free(empty);
    pps_findings_free(findings);
    return catalog;
}

static void
fail_on_difference(const char *text, void *user)
{
    cr_expect(0, "differs: %s", text);
}

Test(catalog_json, round_trip)
{
    pps_catalog_t *catalog = make_catalog();
    pps_catalog_t *parsed;
    json_t *json;
    json_t *reencoded;

    cr_assert_eq(pps_catalog_to_json(&json, catalog), 0);
    cr_assert_eq(pps_catalog_from_json(&parsed, json), 0, "%s",
                 pps_error_last());
    cr_assert_eq(pps_catalog_to_json(&reencoded, parsed), 0);
    cr_expect(json_equal(json, reencoded));
    cr_expect_eq(pps_catalog_revision(parsed), 1);
    cr_expect_eq(pps_catalog_diff(catalog, parsed, fail_on_difference, NULL),
                 0);
    cr_expect_str_eq(pps_catalog_version(parsed, "m/1")->note, "seed");
    json_decref(json);
    json_decref(reencoded);
    pps_catalog_free(parsed);
    pps_catalog_free(catalog);
}

typedef struct {
    const char *name;
    const char *text;
    int error;
} case_t;

static const case_t cases[] = {
    {"complete, with an unknown member", CATALOG(VERSION("m/1", "1")), 0},
    {"not an object", "[]", PPS_EINVALID},
    {"no tables", "{\"revision\": 1}", PPS_EINVALID},
    {"bad revision", "{\"revision\": -1}", PPS_EINVALID},
    {"bad name", CATALOG(VERSION("m", "1")), PPS_EINVALID},
    {"out of range", CATALOG(VERSION("m/1", "0")), PPS_EINVALID},
    {"wrong type", CATALOG(VERSION("m/1", "\"1\"")), PPS_EINVALID},
    {"no attributes", CATALOG("{\"m/1\": {}}"), PPS_EINVALID},
};

Test(catalog_json, table)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        json_t *json = json_loads(cases[i].text, 0, NULL);
        pps_catalog_t *catalog = NULL;

        cr_assert_not_null(json, "%s", cases[i].name);
        cr_expect_eq(pps_catalog_from_json(&catalog, json), cases[i].error,
                     "%s", cases[i].name);
        pps_catalog_free(catalog);
        json_decref(json);
    }
}

typedef struct {
    const char *name;
    const char *text;
    int has_catalog; /* whether the catalog in force is passed */
    int error;
    size_t findings;
} file_case_t;

static const file_case_t file_cases[] = {
    {"dangling reference, without catalog",
     "[note]\nid=n\nbase=1\n[workspace w]\nallow=m/9\n", 0, 0, 0},
    {"dangling reference", "[note]\nid=n\nbase=1\n[workspace w]\nallow=m/9\n",
     1, PPS_EINVALID, 1},
    {"valid note", "[note]\nid=n\nbase=1\n[workspace w]\nweight=9\n", 1, 0, 0},
    {"syntax and references at once",
     "[note]\nid=N\nbase=1\n[workspace w]\nweight=0\nallow=m/9\n", 1,
     PPS_EINVALID, 3},
    {"conflict", "[note]\nid=n\nbase=0\n[workspace w]\nweight=9\n", 1,
     PPS_ECONFLICT, 1},
};

Test(note_check, files)
{
    pps_catalog_t *catalog = make_catalog();

    for (size_t i = 0; i < sizeof(file_cases) / sizeof(file_case_t); i++) {
        const file_case_t *test = &file_cases[i];
        char path[] = "/tmp/pps-note-XXXXXX";
        int file = mkstemp(path);
        pps_findings_t *findings;
        pps_catalog_t *next;

        cr_assert_eq(pps_findings_new(&findings), 0);
        cr_assert_eq(write(file, test->text, strlen(test->text)),
                     (ssize_t)strlen(test->text));
        close(file);
        cr_expect_eq(pps_note_check_file(path,
                                         test->has_catalog ? catalog : NULL,
                                         &next, findings),
                     test->error, "%s", test->name);
        cr_expect_eq(pps_findings_count(findings), test->findings, "%s",
                     test->name);
        cr_expect_eq(next != NULL, test->has_catalog && test->error == 0);
        pps_catalog_free(next);
        pps_findings_free(findings);
        unlink(path);
    }
    pps_catalog_free(catalog);
}
