/** @file standin_server.c @brief Runs an HTTP server until a signal. */
#include "standin_server.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <errno.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define PATH_BYTES_MAX 4096
#define SLEEP_SLICE_US (20 * PPS_US_PER_MS) /* bounds the time of a stop */
#define NS_PER_US 1000L
#define NS_PER_S 1000000000L

static atomic_int stopping;

int
standin_server_is_stopping(void)
{
    return atomic_load(&stopping);
}

void
standin_server_sleep_us(int64_t us)
{
    int64_t end_us = pps_clock_now_us() + us;
    int64_t remaining_us = us;

    while (remaining_us > 0 && !standin_server_is_stopping()) {
        pps_clock_sleep_us(remaining_us < SLEEP_SLICE_US ? remaining_us
                                                         : SLEEP_SLICE_US);
        remaining_us = end_us - pps_clock_now_us();
    }
}

void
standin_server_wait(pthread_cond_t *condition, pthread_mutex_t *lock)
{
    struct timespec deadline;

    clock_gettime(CLOCK_MONOTONIC, &deadline);
    deadline.tv_nsec += SLEEP_SLICE_US * NS_PER_US;
    deadline.tv_sec += deadline.tv_nsec / NS_PER_S;
    deadline.tv_nsec %= NS_PER_S;
    pthread_cond_clockwait(condition, lock, CLOCK_MONOTONIC, &deadline);
}

static void
fill_signals(sigset_t *signals)
{
    sigemptyset(signals);
    sigaddset(signals, SIGTERM);
    sigaddset(signals, SIGINT);
}

void
standin_server_init_signals(void)
{
    sigset_t signals;

    signal(SIGPIPE, SIG_IGN);
    fill_signals(&signals);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
}

static int
write_port_file(const char *path, unsigned int port)
{
    char temporary[PATH_BYTES_MAX];
    FILE *file;
    int written;

    if (snprintf(temporary, sizeof(temporary), "%s.tmp", path) >=
        (int)sizeof(temporary)) {
        return pps_error_set(PPS_EINVALID, "%s: path too long", path);
    }
    file = fopen(temporary, "we");
    if (file == NULL) {
        return pps_error_set(PPS_EIO, "%s: %s", temporary, strerror(errno));
    }
    written = fprintf(file, "%u\n", port);
    if (fclose(file) != 0 || written < 0 || rename(temporary, path) != 0) {
        return pps_error_set(PPS_EIO, "%s: %s", path, strerror(errno));
    }
    return PPS_OK;
}

static int
start(standin_server_t *server, const standin_route_t *routes, size_t count,
      void *user)
{
    const pps_http_limits_t limits = PPS_HTTP_LIMITS_INIT;
    int error = pps_http_listener_new(&server->listener, server->address,
                                      (unsigned int)server->port, &limits);

    for (size_t i = 0; i < count && error == 0; i++) {
        error =
            pps_http_listener_add(server->listener, routes[i].method,
                                  routes[i].format, routes[i].handler, user);
    }
    if (error == 0) {
        error = pps_http_listener_start(server->listener);
    }
    if (error == 0 && server->port_file != NULL) {
        error = write_port_file(server->port_file,
                                pps_http_listener_port(server->listener));
    }
    return error;
}

int
standin_server_run(standin_server_t *server, const standin_route_t *routes,
                   size_t count, void *user)
{
    sigset_t signals;
    int signal_number;
    int error;

    fill_signals(&signals);
    error = start(server, routes, count, user);
    if (error == 0) {
        sigwait(&signals, &signal_number);
    }
    atomic_store(&stopping, 1);
    pps_http_listener_free(server->listener);
    server->listener = NULL;
    return error;
}
