/** @file test_host_settings.c @brief Tests reading a host's settings file. */
#include "host_settings.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define REQUIRED                                                              \
    "[host]\nid=h\naddress=10.0.0.1\nfailure_domain=z\n[listen]\n"            \
    "callers=10.0.0.1:1\nreadiness=10.0.0.1:2\npeers=10.0.0.1:3\n[peers]\n"   \
    "gossip_port=4\n[store]\naddress=10.0.0.9:5\n"

typedef struct {
    const char *text;
    int error;
    const char *finding; /* part of the printed findings; "": none */
} case_t;

static const case_t cases[] = {
    {REQUIRED, 0, ""},
    {REQUIRED "[peers]\nseeds=10.0.0.1:3, 10.0.0.2:3\n", 0, ""},
    {REQUIRED "[listen]\nmetrics=10.0.0.1:9464\n", 0, ""},
    {REQUIRED "[listen]\nmetrics=\n", 0, ""},
    {REQUIRED "[cold]\nover=1.5\nmore=5\n", 0, ""},
    {REQUIRED "[hedging]\nshare=2.5\n", 0, ""},
    {REQUIRED "[hedging]\nshare=101\n", PPS_EINVALID, "101"},
    {REQUIRED "[cold]\nover=\n", PPS_EINVALID, "invalid value ''"},
    {"", PPS_EINVALID, "host.id is missing"},
    {REQUIRED "[cascade]\nconfidence_min=101\n", PPS_EINVALID,
     ":14: invalid value '101'"},
    {REQUIRED "[cascade]\nconfidence_min=x\n", PPS_EINVALID,
     "invalid value 'x'"},
    {REQUIRED "[host]\nregions=za:r1,zb:r2\n", 0, ""},
    {REQUIRED "[host]\nregions=za\n", PPS_EINVALID, "invalid value 'za'"},
    {REQUIRED "[host]\nmemory_mb=88\n", 0, ""},
    {REQUIRED "[host]\nmemory_mb=40\n", 0, ""},
    {REQUIRED "[host]\nmemory_mb=39\n", PPS_EINVALID, "invalid value '39'"},
    {REQUIRED "[host]\nmemory_mb=0\n", PPS_EINVALID, "invalid value '0'"},
    {REQUIRED "[host]\nmemory_mb=-88\n", PPS_EINVALID, "invalid value '-88'"},
    {REQUIRED "[host]\nmemory_mb=1e12\n", PPS_EINVALID,
     "invalid value '1e12'"},
    {REQUIRED "[host]\nmemory_mb=nan\n", PPS_EINVALID, "invalid value 'nan'"},
    {REQUIRED "[host]\nmemory_mb=\n", PPS_EINVALID, "invalid value ''"},
    {REQUIRED "[what]\never=1\n", PPS_EINVALID, "unknown setting what.ever"},
    {REQUIRED "[store]\naddress=10.0.0.9:5\n", PPS_EINVALID,
     "is already set on line 12"},
    {REQUIRED "[host]\nsome words\n", PPS_EINVALID, "expected 'key = value'"},
};

static void
load(pps_host_settings_t *out, const case_t *item, pps_findings_t *findings)
{
    char path[] = "/tmp/settings-XXXXXX";
    int fd = mkstemp(path);

    cr_assert(fd >= 0);
    cr_assert_eq(write(fd, item->text, strlen(item->text)),
                 (ssize_t)strlen(item->text));
    close(fd);
    cr_expect_eq(pps_host_settings_load(out, path, findings), item->error,
                 "%s", item->finding);
    unlink(path);
}

Test(host_settings, findings)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_host_settings_t settings;
        pps_findings_t *findings;
        char text[512] = "";
        FILE *stream = fmemopen(text, sizeof(text), "w");

        cr_assert_eq(pps_findings_new(&findings), 0);
        load(&settings, &cases[i], findings);
        pps_findings_sort(findings);
        pps_findings_print(findings, stream);
        fclose(stream);
        cr_expect_not_null(strstr(text, cases[i].finding), "case %zu: %s", i,
                           text);
        cr_expect_eq(text[0] == '\0', cases[i].error == 0);
        pps_findings_free(findings);
    }
}

Test(host_settings, values)
{
    const case_t item = {REQUIRED "[peers]\nseeds=10.0.0.1:3,10.0.0.2:3\n"
                                  "[repeats]\nratio=0.25\n"
                                  "[host]\nregions=za:r1, zb:r2\n",
                         0, ""};
    pps_host_settings_t settings;
    pps_findings_t *findings;

    cr_assert_eq(pps_findings_new(&findings), 0);
    load(&settings, &item, findings);
    cr_expect_eq(settings.seed_count, 2);
    cr_expect_str_eq(settings.seeds[1], "10.0.0.2:3");
    cr_expect_eq(settings.gossip_port, 4);
    cr_expect_eq(settings.regions.count, 2);
    cr_expect_str_eq(pps_region_map_find(&settings.regions, "zb"), "r2");
    cr_expect_float_eq(settings.repeat_ratio, 0.25, 1e-9);
    cr_expect_eq(settings.confidence_min, 50);
    cr_expect_eq(settings.memory_mb, 128);
    pps_findings_free(findings);
}

Test(host_settings, missing_file)
{
    pps_host_settings_t settings;
    pps_findings_t *findings;

    cr_assert_eq(pps_findings_new(&findings), 0);
    cr_expect_lt(pps_host_settings_load(&settings, "/nowhere", findings), 0);
    cr_expect_eq(pps_findings_count(findings), 1);
    pps_findings_free(findings);
}

typedef struct {
    const char *text;
    int has_pressure;
} contracts_case_t;

/* A deployment without the contract must be served as before. */
static const contracts_case_t contract_cases[] = {
    {"", 0},
    {"[deployment]\n", 0},
    {"[deployment]\ncontracts=\n", 0},
    {"[deployment]\ncontracts=places\n", 0},
    {"[deployment]\ncontracts=pressures\n", 0},
    {"[deployment]\ncontracts=pressure\n", 1},
    {"[deployment]\ncontracts=places, pressure\n", 1},
    {"[deployment]\ncontracts=pressure\ncontracts=places\n", 1},
    {"[deployment]\ncontracts=places\ncontracts=pressure\n", 1},
};

Test(host_settings, contracts)
{
    for (size_t i = 0; i < sizeof(contract_cases) / sizeof(*contract_cases);
         i++) {
        char text[512];
        const case_t item = {text, 0, ""};
        pps_host_settings_t settings;
        pps_findings_t *findings;

        snprintf(text, sizeof(text), "%s%s", REQUIRED, contract_cases[i].text);
        cr_assert_eq(pps_findings_new(&findings), 0);
        load(&settings, &item, findings);
        cr_expect_eq(pps_host_settings_has_contract(&settings, "pressure"),
                     contract_cases[i].has_pressure, "case %zu", i);
        pps_findings_free(findings);
    }
}
