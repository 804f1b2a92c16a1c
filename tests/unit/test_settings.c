/** @file test_settings.c @brief Findings, defaults and keys of settings. */
#include "papayaswitch/errors.h"
#include "papayaswitch/settings.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY "1111111111111111111111111111111111111111111111111111111111111111"
#define GOOD                                                                  \
    "[host]\nid = e1\nfailure_domain = a\n[platform]\nurl = http://p\n"       \
    "[peers]\nkey = " KEY "\n[sessions]\ntoken_key = " KEY "\n"

typedef struct {
    const char *name;
    const char *text;
    const char *findings;
} case_t;

static const case_t cases[] = {
    {"good", GOOD, ""},
    {"empty", "",
     "f:0: [host] id is missing\nf:0: [host] failure_domain is missing\n"
     "f:0: [platform] url is missing\nf:0: [peers] key is missing\n"
     "f:0: [sessions] token_key is missing\n"},
    {"several findings",
     GOOD "[log]\nformat = xml\n[limits]\nfreshness_ms = 1\nx = 1\n",
     "f:11: format must be key-value or json\n"
     "f:13: freshness_ms must be a whole number from 200 to 60000\n"
     "f:14: unknown key x in [limits]\n"},
    {"key set twice", GOOD "[host]\nid = e2\n",
     "f:11: id is set twice, first on line 2\n"},
    {"unknown section", GOOD "[hosts]\n", "f:10: unknown section [hosts]\n"},
    {"short key", "[peers]\nkey = 11\n" GOOD,
     "f:2: key must have 64 hexadecimal digits\n"
     "f:9: key is set twice, first on line 2\n"},
    {"not a number", GOOD "[host]\nhttp_port = 80x\n",
     "f:11: http_port must be a whole number from 0 to 65535\n"},
};

Test(settings, one_parse_reports_all_findings)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_settings_t settings;
        pps_findings_t *findings;
        char *text = NULL;
        size_t size = 0;
        FILE *stream = open_memstream(&text, &size);

        cr_assert_eq(pps_findings_new(&findings), 0);
        pps_settings_parse(&settings, cases[i].text, strlen(cases[i].text),
                           "f", findings);
        pps_findings_print(findings, stream);
        fclose(stream);
        cr_expect_str_eq(text, cases[i].findings, "%s", cases[i].name);
        free(text);
        pps_findings_free(findings);
    }
}

Test(settings, defaults_and_keys_are_applied)
{
    pps_settings_t settings;
    pps_findings_t *findings;

    cr_assert_eq(pps_findings_new(&findings), 0);
    cr_assert_eq(
        pps_settings_parse(&settings, GOOD, strlen(GOOD), "f", findings), 0);
    cr_expect_str_eq(settings.address, "127.0.0.1");
    cr_expect_eq(settings.freshness_ms, 2000);
    cr_expect_eq(settings.peer_key[31], 0x11);
    pps_findings_free(findings);
}
