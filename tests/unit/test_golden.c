/**
 * @file test_golden.c
 * @brief Runs the scripts in tests/golden/ and compares the output with the
 * committed output.
 *
 * PPS_GOLDEN_WRITE=1 rewrites the files; review the difference before
 * committing it.
 */
#include "golden_state.h"

#include <criterion/criterion.h>
#include <glob.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATTERN "tests/golden/*.txt"
#define FILE_COUNT_MIN 6

static void
read_file(pps_buf_t *out, const char *path)
{
    FILE *file = fopen(path, "r");
    char chunk[4096];
    size_t size;

    cr_assert_not_null(file, "%s", path);
    while ((size = fread(chunk, 1, sizeof(chunk), file)) > 0) {
        pps_buf_append(out, chunk, size);
    }
    fclose(file);
}

static void
write_file(const char *path, const char *text)
{
    FILE *file = fopen(path, "w");

    cr_assert_not_null(file, "%s", path);
    fputs(text, file);
    fclose(file);
}

/* Prints only the first different line, since the texts are long. */
static void
expect_same(const char *path, const char *expected, const char *actual)
{
    size_t start = 0;

    for (size_t i = 0; expected[i] != '\0' && expected[i] == actual[i]; i++) {
        start = expected[i] == '\n' ? i + 1 : start;
    }
    cr_expect(strcmp(expected, actual) == 0, "%s: expected `%.*s`, got `%.*s`",
              path, (int)strcspn(expected + start, "\n"), expected + start,
              (int)strcspn(actual + start, "\n"), actual + start);
}

static void
check_file(const char *path)
{
    pps_buf_t expected = PPS_BUF_INIT;
    pps_buf_t actual = PPS_BUF_INIT;

    read_file(&expected, path);
    golden_run(&actual, pps_buf_text(&expected));
    if (getenv("PPS_GOLDEN_WRITE") != NULL) {
        write_file(path, pps_buf_text(&actual));
    }
    else {
        expect_same(path, pps_buf_text(&expected), pps_buf_text(&actual));
    }
    pps_buf_clear(&expected);
    pps_buf_clear(&actual);
}

Test(golden, scripts_give_the_committed_output)
{
    glob_t files;

    cr_assert_eq(glob(PATTERN, 0, NULL, &files), 0);
    cr_assert_geq(files.gl_pathc, FILE_COUNT_MIN);
    for (size_t i = 0; i < files.gl_pathc; i++) {
        check_file(files.gl_pathv[i]);
    }
    globfree(&files);
}
