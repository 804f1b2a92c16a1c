/** @file test_crash_line.c @brief Tests the last line of a process that dies
 * by a signal. */
#include "crash_line.h"

#include <criterion/criterion.h>
#include <jansson.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

typedef struct {
    const char *what;
    int number;
    const char *request;
    const char *logged;
} crash_case_t;

static const crash_case_t cases[] = {
    {"a fault in memory", SIGSEGV, "9c41d07be2a35f68", "9c41d07be2a35f68"},
    {"a bus error", SIGBUS, "r1", "r1"},
    {"an arithmetic fault", SIGFPE, "r1", "r1"},
    {"an invalid instruction", SIGILL, "r1", "r1"},
    {"an abort, no request", SIGABRT, NULL, ""},
    {"an id that would break the line", SIGSEGV, "a\"b\\c\nd", "a?b?c?d"},
};

static void
die(int fd, const crash_case_t *item)
{
    const struct rlimit no_core = {0, 0};

    setrlimit(RLIMIT_CORE, &no_core);
    pps_crash_line_install(fd, "h1");
    pps_crash_line_set_request("earlier-and-longer-request");
    pps_crash_line_set_request(item->request);
    raise(item->number);
    _exit(0);
}

static void
expect_line(const crash_case_t *item, const char *text)
{
    json_t *line = json_loads(text, 0, NULL);

    cr_assert_not_null(line, "%s: %s", item->what, text);
    cr_expect_str_eq(json_string_value(json_object_get(line, "event")),
                     "crashed");
    cr_expect_str_eq(json_string_value(json_object_get(line, "host")), "h1");
    cr_expect_eq(json_integer_value(json_object_get(line, "signal")),
                 item->number);
    cr_expect_str_eq(json_string_value(json_object_get(line, "request")),
                     item->logged, "%s", item->what);
    cr_expect_not_null(json_object_get(line, "address"));
    cr_expect_not_null(json_object_get(line, "instruction"));
    json_decref(line);
}

/* The process still ends by the signal, so that its supervisor sees it. */
Test(crash_line, cases)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        char text[1024] = "";
        int ends[2];
        int status = 0;
        pid_t child;

        cr_assert_eq(pipe(ends), 0);
        child = fork();
        cr_assert_geq(child, 0);
        if (child == 0) {
            die(ends[1], &cases[i]);
        }
        close(ends[1]);
        cr_assert_gt(read(ends[0], text, sizeof(text) - 1), 0, "%s",
                     cases[i].what);
        close(ends[0]);
        waitpid(child, &status, 0);
        cr_expect(WIFSIGNALED(status) && WTERMSIG(status) == cases[i].number,
                  "%s: status %x", cases[i].what, status);
        expect_line(&cases[i], text);
    }
}
