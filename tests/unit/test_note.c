/** @file test_note.c @brief Tests parsing and applying notes. */
#include "papayaswitch/catalog.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define HASH_A                                                                \
    "0101010101010101010101010101010101010101010101010101010101010101"
#define HASH_B                                                                \
    "0202020202020202020202020202020202020202020202020202020202020202"
#define HEAD "[note]\nid = n\nbase = 0\n"
#define HEAD1 "[note]\nid = n\nbase = 1\n"

/* Note that creates the catalog of revision 1 for the cases. */
static const char seed[] =
    "[note]\nid = seed\nbase = 0\ncomment = first\n"
    "[upstream pool]\nkind = engine\n"
    "[upstream desk]\nkind = service\nidempotent = /lookup, /archive\n"
    "[version m/1]\nupstream = pool\ncost = 1\nquality = 0.5\n"
    "[version m/2]\nupstream = pool\ncost = 2\nquality = 0.75\n"
    "exposure = 0.1\n"
    "[workspace w]\nkey_hash = " HASH_A "\nallow = m/1\n";

typedef struct {
    const char *name;
    const char *text;
    int error;
    const char *findings;
} case_t;

static char *
print_findings(pps_findings_t *findings)
{
    char *text = NULL;
    size_t size = 0;
    FILE *stream = open_memstream(&text, &size);

    pps_findings_sort(findings);
    pps_findings_print(findings, stream);
    fclose(stream);
    return text;
}

static void
expect_case(const case_t *test, int error, pps_findings_t *findings)
{
    char *text = print_findings(findings);

    cr_expect_eq(error, test->error, "%s: %d", test->name, error);
    cr_expect_str_eq(text, test->findings, "%s", test->name);
    free(text);
    pps_findings_free(findings);
}

static const case_t parse_cases[] = {
    {"complete note", seed, 0, ""},
    {"empty", "", PPS_EINVALID, "f:0: section [note] is missing\n"},
    {"no keys", "[note]\n", PPS_EINVALID,
     "f:1: key id is missing in [note]\nf:1: key base is missing in "
     "[note]\n"},
    {"bad id and base", "[note]\nid = A b\nbase = -1\n", PPS_EINVALID,
     "f:2: id must be 1 to 40 characters of [a-z0-9._-]\n"
     "f:3: base must be a whole number of at most 18 digits\n"},
    {"unknown keys and section",
     HEAD "why = x\n[pool p]\nkind = x\n[upstream p]\nkin = x\n", PPS_EINVALID,
     "f:4: unknown key why in [note]\nf:5: unknown section [pool p]\n"
     "f:8: unknown key kin in [upstream]\n"},
    {"second section and key",
     HEAD "[upstream p]\nkind = engine\nkind = engine\n[upstream p]\n[note]\n",
     PPS_EINVALID,
     "f:6: second key kind, the first is on line 5\n"
     "f:7: second section [upstream p], the first is on line 4\n"
     "f:8: second section [note], the first is on line 1\n"},
    {"invalid names", HEAD "[version m]\n[workspace W]\n[upstream]\n",
     PPS_EINVALID,
     "f:4: name of version must be MODEL/NAME, each of [a-z0-9._-], 40 "
     "characters in all\n"
     "f:5: name of workspace must be 1 to 40 characters of [a-z0-9._-]\n"
     "f:6: name of upstream must be 1 to 40 characters of [a-z0-9._-]\n"},
    {"invalid version values",
     HEAD "[version m/1]\ncost = 0\nquality = 1.1\nexposure = 0\n"
          "state = new\nupstream = a b\n",
     PPS_EINVALID,
     "f:5: cost must be a number above 0\n"
     "f:6: quality must be a number of at least 0 and at most 1\n"
     "f:7: exposure must be a number above 0 and at most 1\n"
     "f:8: state must be active or retiring or withdrawn\n"
     "f:9: upstream must be 1 to 40 characters of [a-z0-9._-]\n"},
    {"invalid workspace values",
     HEAD "[workspace w]\nkey_hash = 01\nquality_target = nan\nweight = -1\n"
          "session_idle_s = 2592001\nallow = m/1,,m/1\n",
     PPS_EINVALID,
     "f:5: key_hash must be 64 hexadecimal digits, not all zero\n"
     "f:6: quality_target must be a number of at least 0 and at most 1\n"
     "f:7: weight must be a number above 0\n"
     "f:8: session_idle_s must be a whole number of at least 1 and at most "
     "2592000\n"
     "f:9: '' in allow must be MODEL/NAME, each of [a-z0-9._-], 40 characters "
     "in all\n"
     "f:9: 'm/1' stands twice in allow\n"},
    {"invalid upstream values",
     HEAD "[upstream p]\nkind = pool\nchecks_fencing = 1\nidempotent = x\n"
          "kind+ = engine\n",
     PPS_EINVALID,
     "f:5: kind must be engine or service\n"
     "f:6: checks_fencing must be no or yes\n"
     "f:7: 'x' in idempotent must be a path that starts with '/'\n"
     "f:8: unknown key kind+ in [upstream]\n"},
    {"hexadecimal number", HEAD "[version m/1]\ncost = 0x10\n", PPS_EINVALID,
     "f:5: cost must be a number above 0\n"},
};

Test(note, parse)
{
    for (size_t i = 0; i < sizeof(parse_cases) / sizeof(case_t); i++) {
        const case_t *test = &parse_cases[i];
        pps_findings_t *findings;
        pps_note_t *note;
        int error;

        cr_assert_eq(pps_findings_new(&findings), 0);
        error = pps_note_parse(&note, test->text, strlen(test->text), "f",
                               findings);
        expect_case(test, error, findings);
        pps_note_free(note);
    }
}

static int
apply_text(pps_catalog_t **out, const pps_catalog_t *base, const char *text,
           pps_findings_t *findings)
{
    pps_note_t *note;
    int error;

    pps_note_parse(&note, text, strlen(text), "f", findings);
    cr_assert_not_null(note);
    error = pps_catalog_apply(out, base, note, "f", findings);
    pps_note_free(note);
    return error;
}

static pps_catalog_t *
make_seed(void)
{
    pps_findings_t *findings;
    pps_catalog_t *empty;
    pps_catalog_t *catalog;

    cr_assert_eq(pps_findings_new(&findings), 0);
    cr_assert_eq(pps_catalog_new(&empty), 0);
    cr_assert_eq(apply_text(&catalog, empty, seed, findings), 0);
    pps_catalog_free(empty);
    pps_findings_free(findings);
    return catalog;
}

static const case_t apply_cases[] = {
    {"withdraw", HEAD1 "[version m/2]\nstate = withdrawn\n", 0, ""},
    {"add to a list only", HEAD1 "[workspace w]\nallow+ = m/2\n", 0, ""},
    {"remove an absent item", HEAD1 "[workspace w]\nallow- = m/2\n",
     PPS_EINVALID,
     "f:1: the note changes nothing\n"
     "f:5: 'm/2' is not in allow\n"},
    {"no change", HEAD1 "[version m/1]\ncost = 1.0\n", PPS_EINVALID,
     "f:1: the note changes nothing\n"},
    {"no section", HEAD1, PPS_EINVALID, "f:1: the note changes nothing\n"},
    {"changed after the base",
     HEAD "[version m/1]\ncost = 3\n[upstream new]\n"
          "kind = engine\n",
     PPS_ECONFLICT,
     "f:4: version m/1 was changed by note seed at revision 1, after base "
     "0\n"},
    {"base above the revision",
     "[note]\nid = n\nbase = 2\n[version m/1]\ncost = 3\n", PPS_EINVALID,
     "f:1: base 2 is above the revision in force, 1\n"},
    {"new objects without required keys",
     HEAD1 "[version m/3]\n[workspace v]\nallow = m/1\n", PPS_EINVALID,
     "f:4: new version m/3 needs the key upstream\n"
     "f:4: new version m/3 needs the key cost\n"
     "f:4: new version m/3 needs the key quality\n"
     "f:5: new workspace v needs the key key_hash\n"},
    {"dangling references",
     HEAD1 "[version m/3]\nupstream = nil\ncost = 1\nquality = 1\n"
           "[workspace w]\nallow = m/1, m/9\nservices = pool, nil\n",
     PPS_EINVALID,
     "f:5: version m/3: upstream names the unknown upstream nil\n"
     "f:9: workspace w: allow names the unknown version m/9\n"
     "f:10: workspace w: services names the unknown upstream nil\n"
     "f:10: workspace w: services names the upstream pool, which is no "
     "service\n"},
    {"kind changed under versions", HEAD1 "[upstream pool]\nkind = service\n",
     PPS_EINVALID,
     "f:4: version m/1: upstream names the upstream pool, which is no "
     "engine\n"
     "f:4: version m/2: upstream names the upstream pool, which is no "
     "engine\n"},
    {"only allowed version withdrawn",
     HEAD1 "[version m/1]\nstate = withdrawn\n", PPS_EINVALID,
     "f:4: workspace w is left without any allowed version that is not "
     "withdrawn\n"},
    {"only allowed version removed", HEAD1 "[workspace w]\nallow- = m/1\n",
     PPS_EINVALID,
     "f:4: workspace w is left without any allowed version that is not "
     "withdrawn\n"},
    {"services only", HEAD1 "[workspace w]\nallow =\nservices = desk\n", 0,
     ""},
    {"duplicate key_hash",
     HEAD1 "[workspace v]\nallow = m/1\nkey_hash = " HASH_A "\n", PPS_EINVALID,
     "f:6: workspaces w and v have one key_hash\n"},
    {"distinct key_hash",
     HEAD1 "[workspace v]\nallow = m/1\nkey_hash = " HASH_B "\n", 0, ""},
    {"invalid value is one finding",
     HEAD1 "[workspace v]\nallow = M\nkey_hash = " HASH_B "\n", PPS_EINVALID,
     "f:5: 'M' in allow must be MODEL/NAME, each of [a-z0-9._-], 40 "
     "characters in all\n"},
};

Test(note, apply)
{
    pps_catalog_t *base = make_seed();

    for (size_t i = 0; i < sizeof(apply_cases) / sizeof(case_t); i++) {
        const case_t *test = &apply_cases[i];
        pps_findings_t *findings;
        pps_catalog_t *next;
        int error;

        cr_assert_eq(pps_findings_new(&findings), 0);
        error = apply_text(&next, base, test->text, findings);
        expect_case(test, error, findings);
        cr_expect_eq(next == NULL, test->error != 0, "%s", test->name);
        pps_catalog_free(next);
    }
    pps_catalog_free(base);
}

Test(note, long_line_is_read)
{
    char text[4096] = HEAD "[workspace w]\nallow = m/0";
    pps_findings_t *findings;
    pps_note_t *note;

    for (int i = 1; i < 300; i++) {
        snprintf(text + strlen(text), 16, ", m/%d", i);
    }
    cr_assert_eq(pps_findings_new(&findings), 0);
    cr_expect_eq(pps_note_parse(&note, text, strlen(text), "f", findings), 0);
    pps_note_free(note);
    pps_findings_free(findings);
}

Test(catalog, lookups)
{
    pps_catalog_t *catalog = make_seed();
    const pps_workspace_t *workspace = pps_catalog_workspace(catalog, "w");
    const pps_upstream_t *desk = pps_catalog_upstream(catalog, "desk");
    const pps_version_t *version = pps_catalog_version(catalog, "m/2");

    cr_assert(workspace && desk && version);
    cr_expect_eq(pps_catalog_workspace_by_key(catalog, workspace->key_hash),
                 workspace);
    cr_expect_null(pps_catalog_version(catalog, "m/9"));
    cr_expect(pps_workspace_allows(workspace, "m/1"));
    cr_expect_not(pps_workspace_allows(workspace, "m/2"));
    cr_expect_eq(workspace->session_idle_s, 3600);
    cr_expect_str_eq(version->model, "m");
    cr_expect_str_eq(version->note, "seed");
    cr_expect_eq(version->exposure, 0.1);
    cr_expect_eq(desk->idempotent_count, 2);
    cr_expect_str_eq(desk->idempotent[0], "/archive");
    pps_catalog_free(catalog);
}

static void
collect_line(const char *text, void *user)
{
    char *all = user;

    strcat(all, text);
    strcat(all, "\n");
}

Test(catalog, diff)
{
    pps_catalog_t *base = make_seed();
    pps_findings_t *findings;
    pps_catalog_t *next;
    char lines[512] = "";

    cr_assert_eq(pps_findings_new(&findings), 0);
    cr_assert_eq(apply_text(&next, base,
                            HEAD1 "[version m/2]\nstate = withdrawn\n"
                                  "[workspace w]\nweight = 2\nallow+ = m/2\n"
                                  "[upstream x]\nkind = engine\n",
                            findings),
                 0);
    pps_catalog_diff(base, next, collect_line, lines);
    cr_expect_str_eq(lines, "upstream x: added\n"
                            "upstream x: kind engine\n"
                            "upstream x: checks_fencing no\n"
                            "upstream x: idempotent \n"
                            "version m/2: state active -> withdrawn\n"
                            "workspace w: weight 1 -> 2\n"
                            "workspace w: allow m/1 -> m/1, m/2\n");
    cr_expect_eq(pps_catalog_version(next, "m/1")->revision, 1);
    cr_expect_eq(pps_catalog_version(next, "m/2")->revision, 2);
    pps_catalog_free(next);
    pps_catalog_free(base);
    pps_findings_free(findings);
}
