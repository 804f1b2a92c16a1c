/** @file test_ini_lines.c @brief Tests the INI reader. */
#include "buf.h"
#include "ini_lines.h"

#include <criterion/criterion.h>
#include <string.h>

static void
on_section(void *user, const char *section, int line)
{
    pps_buf_printf(user, "%d[%s];", line, section);
}

static void
on_key(void *user, const char *section, const char *key, const char *value,
       int line)
{
    pps_buf_printf(user, "%d %s.%s=%s;", line, section, key, value);
}

typedef struct {
    const char *name;
    const char *text;
    const char *received;
    const char *findings;
} case_t;

static const case_t cases[] = {
    {"empty", "", "", ""},
    {"keys", "[a]\nk = v\n\n; c\nl=w\n", "1[a];2 a.k=v;5 a.l=w;", ""},
    {"no final newline", "[a]\nk=v", "1[a];2 a.k=v;", ""},
    {"empty section", "[a]\n[b c]\n", "1[a];2[b c];", ""},
    {"leading blanks", "[a]\nk=v\n  l=w\n", "1[a];2 a.k=v;3 a.l=w;", ""},
    {"no key", "[a]\nwhat\nk=v\n", "1[a];3 a.k=v;",
     "f:2: expected 'key = value'\n"},
    {"open header", "[a\nk=v\n", "2 .k=v;",
     "f:1: section header without ']'\n"},
    {"control", "[a]\nk=\001\n", "1[a];", "f:2: control character in line\n"},
};

Test(ini_lines, table)
{
    const pps_ini_handler_t handler = {on_section, on_key};

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_buf_t received = PPS_BUF_INIT;
        pps_findings_t *findings;
        char *text = NULL;
        size_t size = 0;
        FILE *stream = open_memstream(&text, &size);

        cr_assert_eq(pps_findings_new(&findings), 0);
        pps_ini_read(cases[i].text, strlen(cases[i].text), "f", &handler,
                     &received, findings);
        pps_findings_print(findings, stream);
        fclose(stream);
        cr_expect_str_eq(pps_buf_text(&received), cases[i].received, "%s",
                         cases[i].name);
        cr_expect_str_eq(text, cases[i].findings, "%s", cases[i].name);
        free(text);
        pps_buf_clear(&received);
        pps_findings_free(findings);
    }
}
