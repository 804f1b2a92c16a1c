/**
 * @file test_golden.c
 * @brief Whole sessions against committed time lines, tests/golden/.
 *
 * PPS_GOLDEN_WRITE=1 writes the files anew; read the difference before it is
 * committed.
 */
#include "golden_state.h"

#include <criterion/criterion.h>
#include <glob.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATTERN "tests/golden/*.txt"
#define LEAST_FILES 6

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

/* The first line that differs says more than both texts. */
static void
expect_same(const char *path, const char *wanted, const char *got)
{
    size_t start = 0;

    for (size_t i = 0; wanted[i] != '\0' && wanted[i] == got[i]; i++) {
        start = wanted[i] == '\n' ? i + 1 : start;
    }
    cr_expect(strcmp(wanted, got) == 0, "%s: wanted `%.*s`, got `%.*s`", path,
              (int)strcspn(wanted + start, "\n"), wanted + start,
              (int)strcspn(got + start, "\n"), got + start);
}

static void
check(const char *path)
{
    pps_buf_t wanted = PPS_BUF_INIT;
    pps_buf_t got = PPS_BUF_INIT;

    read_file(&wanted, path);
    golden_run(&got, pps_buf_text(&wanted));
    if (getenv("PPS_GOLDEN_WRITE") != NULL) {
        write_file(path, pps_buf_text(&got));
    }
    else {
        expect_same(path, pps_buf_text(&wanted), pps_buf_text(&got));
    }
    pps_buf_clear(&wanted);
    pps_buf_clear(&got);
}

Test(golden, sessions)
{
    glob_t files;

    cr_assert_eq(glob(PATTERN, 0, NULL, &files), 0);
    cr_assert_geq(files.gl_pathc, LEAST_FILES);
    for (size_t i = 0; i < files.gl_pathc; i++) {
        check(files.gl_pathv[i]);
    }
    globfree(&files);
}
