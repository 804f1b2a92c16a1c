/** @file harness.c @brief Starts, signals and ends the processes of tests. */
#include "harness.h"

#include "clock.h"
#include "ini_lines.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define ARGS_MAX 64
#define SERVE_TIMEOUT_MS 10000
#define POLL_US (5 * PPS_US_PER_MS)
#define SIGNAL_STATUS_BASE 128

extern char **environ;

int
harness_new(harness_t **out)
{
    harness_t *harness = calloc(1, sizeof(*harness));

    if (harness == NULL) {
        return pps_error_set(PPS_ENOMEM, "harness: out of memory");
    }
    snprintf(harness->folder, sizeof(harness->folder),
             "/tmp/papayaswitch-XXXXXX");
    if (mkdtemp(harness->folder) == NULL) {
        free(harness);
        return pps_error_set(PPS_EIO, "mkdtemp: %s", strerror(errno));
    }
    *out = harness;
    return PPS_OK;
}

void
harness_path(const harness_t *harness, char out[HARNESS_PATH_MAX],
             const char *name)
{
    snprintf(out, HARNESS_PATH_MAX, "%.64s/%.128s", harness->folder, name);
}

int
harness_write_file(const harness_t *harness, const char *name,
                   const char *text)
{
    char path[HARNESS_PATH_MAX];
    FILE *file;
    int failed;

    harness_path(harness, path, name);
    file = fopen(path, "we");
    if (file == NULL) {
        return pps_error_set(PPS_EIO, "%s: %s", path, strerror(errno));
    }
    failed = fputs(text, file) < 0;
    failed |= fclose(file) != 0;
    return failed ? pps_error_set(PPS_EIO, "%s: cannot be written", path)
                  : PPS_OK;
}

/* PPS_TEST_BIN_DIR selects the programs of another build. */
static const char *
program_folder(void)
{
    const char *folder = getenv("PPS_TEST_BIN_DIR");

    return folder != NULL ? folder : PPS_BIN_DIR;
}

static int
spawn(harness_process_t *process, char **argv)
{
    posix_spawn_file_actions_t actions;
    posix_spawnattr_t attributes;
    sigset_t none;
    int failed;

    sigemptyset(&none);
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO,
                                     process->output_file,
                                     O_WRONLY | O_CREAT | O_TRUNC, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
    failed = posix_spawn(&process->pid, argv[0], &actions, &attributes, argv,
                         environ);
    posix_spawn_file_actions_destroy(&actions);
    posix_spawnattr_destroy(&attributes);
    if (failed != 0) {
        return pps_error_set(PPS_EIO, "%s: %s", argv[0], strerror(failed));
    }
    process->running = 1;
    return PPS_OK;
}

static void
name_files(const harness_t *harness, harness_process_t *process,
           const char *port_file)
{
    char name[32];
    char path[HARNESS_PATH_MAX];

    snprintf(name, sizeof(name), "stderr-%d", harness->process_count);
    harness_path(harness, path, name);
    memcpy(process->output_file, path, sizeof(path));
    snprintf(name, sizeof(name), "port-%d", harness->process_count);
    harness_path(harness, path, port_file == NULL ? name : port_file);
    memcpy(process->port_file, path, sizeof(path));
    unlink(process->port_file);
}

int
harness_start(harness_t *harness, harness_process_t **out, const char *program,
              const char *port_file, const char *const *args)
{
    harness_process_t *process = &harness->processes[harness->process_count];
    const char *argv[ARGS_MAX + 4];
    char path[HARNESS_PATH_MAX];
    size_t count = 0;
    int error;

    if (harness->process_count == HARNESS_PROCESSES_MAX) {
        return pps_error_set(PPS_ELIMIT, "harness: too many processes");
    }
    memset(process, 0, sizeof(*process));
    name_files(harness, process, port_file);
    snprintf(path, sizeof(path), "%s/%s", program_folder(), program);
    argv[count++] = path;
    for (size_t i = 0; args[i] != NULL && i < ARGS_MAX; i++) {
        argv[count++] = args[i];
    }
    if (port_file == NULL) {
        argv[count++] = "--port-file";
        argv[count++] = process->port_file;
    }
    argv[count] = NULL;
    error = spawn(process, (char **)argv);
    if (error < 0) {
        return error;
    }
    harness->process_count++;
    *out = process;
    return PPS_OK;
}

static int
object_int(const json_t *object, const char *key)
{
    return (int)json_integer_value(json_object_get(object, key));
}

static int
read_ports(harness_process_t *process)
{
    json_t *ports = json_load_file(process->port_file, JSON_DECODE_ANY, NULL);

    if (json_is_integer(ports)) {
        process->port = (int)json_integer_value(ports);
    }
    else {
        process->port = object_int(ports, "http");
        process->operator_port = object_int(ports, "operator");
        process->peer_port = object_int(ports, "peer");
    }
    json_decref(ports);
    return process->port > 0;
}

int
harness_wait_ports(harness_process_t *process, int timeout_ms)
{
    int64_t end_us = pps_clock_now_us() + timeout_ms * PPS_US_PER_MS;

    while (!read_ports(process)) {
        if (harness_wait(process, 0) >= 0) {
            return pps_error_set(PPS_ECLOSED, "the process has ended");
        }
        if (pps_clock_now_us() > end_us) {
            return pps_error_set(PPS_ETIMEOUT,
                                 "no port file before the timeout");
        }
        pps_clock_sleep_us(POLL_US);
    }
    return PPS_OK;
}

int
harness_start_server(harness_t *harness, harness_process_t **out,
                     const char *program, const char *const *args)
{
    int error = harness_start(harness, out, program, NULL, args);

    if (error == 0) {
        error = harness_wait_ports(*out, SERVE_TIMEOUT_MS);
    }
    return error < 0 ? error : (*out)->port;
}

/* SIGSTOP takes effect thread by thread; the parent is told when the last one
 * has stopped. */
static int
wait_stopped(const harness_process_t *process)
{
    siginfo_t info;

    if (waitid(P_PID, (id_t)process->pid, &info,
               WSTOPPED | WEXITED | WNOWAIT) != 0) {
        return pps_error_set(PPS_EIO, "waitid: %s", strerror(errno));
    }
    if (info.si_code != CLD_STOPPED) {
        return pps_error_set(PPS_ECLOSED, "the process has ended");
    }
    return PPS_OK;
}

int
harness_signal(const harness_process_t *process, int number)
{
    if (!process->running) {
        return pps_error_set(PPS_ECLOSED, "the process has ended");
    }
    if (kill(process->pid, number) != 0) {
        return pps_error_set(PPS_EIO, "kill: %s", strerror(errno));
    }
    return number == SIGSTOP ? wait_stopped(process) : PPS_OK;
}

static int
exit_status(const harness_process_t *process)
{
    if (WIFSIGNALED(process->status)) {
        return SIGNAL_STATUS_BASE + WTERMSIG(process->status);
    }
    return WEXITSTATUS(process->status);
}

int
harness_wait(harness_process_t *process, int timeout_ms)
{
    int64_t end_us = pps_clock_now_us() + timeout_ms * PPS_US_PER_MS;

    while (process->running) {
        if (waitpid(process->pid, &process->status, WNOHANG) == process->pid) {
            process->running = 0;
            break;
        }
        if (pps_clock_now_us() >= end_us) {
            return -1;
        }
        pps_clock_sleep_us(POLL_US);
    }
    return exit_status(process);
}

char *
harness_output(const harness_process_t *process)
{
    char *text = NULL;
    size_t size;

    if (pps_file_read(&text, &size, process->output_file) < 0) {
        return strdup("");
    }
    return text;
}

/* Fails the test when a sanitizer reported an error in the process. */
static void
check_sanitizers(const harness_process_t *process)
{
    char *text = harness_output(process);

    cr_expect_null(strstr(text, "Sanitizer:"), "%s", text);
    cr_expect_null(strstr(text, "runtime error:"), "%s", text);
    free(text);
}

static void
remove_files(const harness_t *harness)
{
    DIR *folder = opendir(harness->folder);
    const struct dirent *entry;

    while (folder != NULL && (entry = readdir(folder)) != NULL) {
        char path[HARNESS_PATH_MAX];

        harness_path(harness, path, entry->d_name);
        unlink(path);
    }
    if (folder != NULL) {
        closedir(folder);
    }
    rmdir(harness->folder);
}

void
harness_free(harness_t *harness)
{
    if (harness == NULL) {
        return;
    }
    for (int i = 0; i < harness->process_count; i++) {
        harness_process_t *process = &harness->processes[i];

        if (process->running) {
            kill(process->pid, SIGKILL);
            waitpid(process->pid, &process->status, 0);
        }
        check_sanitizers(process);
    }
    remove_files(harness);
    free(harness);
}
