/** @file signal_hold.c @brief Blocks SIGHUP and SIGTERM for a time. */
#include "signal_hold.h"

#include "papayaswitch/errors.h"

#include <signal.h>
#include <stddef.h>

static int
change_mask(int how)
{
    sigset_t held;

    sigemptyset(&held);
    sigaddset(&held, SIGHUP);
    sigaddset(&held, SIGTERM);
    return sigprocmask(how, &held, NULL) == 0 ? PPS_OK : PPS_EIO;
}

int
pps_signal_hold(void)
{
    return change_mask(SIG_BLOCK);
}

int
pps_signal_release(void)
{
    return change_mask(SIG_UNBLOCK);
}
