/** @file play_apart.c @brief Runs plays in child processes. */
#include "play_apart.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

void
play_apart(node_play_finding_t *out, play_apart_fn play, const void *options,
           uint64_t seed)
{
    int ends[2];
    int status = 0;
    pid_t pid;
    ssize_t size;

    cr_assert_eq(pipe(ends), 0);
    pid = fork();
    cr_assert_geq(pid, 0);
    if (pid == 0) {
        play(options, seed);
        size = write(ends[1], &node_play->finding, sizeof(*out));
        _exit(size == sizeof(*out) ? 0 : 1);
    }
    close(ends[1]);
    size = read(ends[0], out, sizeof(*out));
    close(ends[0]);
    waitpid(pid, &status, 0);
    if (size != sizeof(*out) || status != 0) {
        snprintf(out->text, sizeof(out->text), "the play ended: status %d",
                 status);
    }
}

uint64_t
play_apart_number(const char *name, uint64_t otherwise)
{
    const char *text = getenv(name);

    return text != NULL ? strtoull(text, NULL, 10) : otherwise;
}
