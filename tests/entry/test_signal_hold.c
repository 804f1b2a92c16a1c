/** @file test_signal_hold.c @brief Tests signals that come while a process
 * starts. */
#include "transport/signal_hold.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

static volatile sig_atomic_t handled;

static void
on_signal(int number)
{
    handled = number;
}

/* Gets the signal while it starts; returns whether it is handled later. */
static int
start_and_handle(int number)
{
    if (pps_signal_hold() != 0) {
        return 0;
    }
    raise(number);
    signal(number, on_signal);
    return pps_signal_release() == 0 && handled == number;
}

Test(signal_hold, signal_at_the_start_ends_the_process)
{
    static const int numbers[] = {SIGHUP, SIGTERM};

    for (size_t i = 0; i < sizeof(numbers) / sizeof(*numbers); i++) {
        pid_t child = fork();
        int status = 0;

        if (child == 0) {
            _exit(start_and_handle(numbers[i]) ? 0 : 1);
        }
        cr_assert_eq(waitpid(child, &status, 0), child);
        cr_expect(WIFEXITED(status) && WEXITSTATUS(status) == 0,
                  "signal %d: status %d", numbers[i], status);
    }
}
