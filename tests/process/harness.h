/**
 * @file harness.h
 * @brief Starts the built programs as real processes on loopback, for tests.
 *
 * harness_free() kills every process that is still running, by its id.
 */
#ifndef PPS_TESTS_HARNESS_H
#define PPS_TESTS_HARNESS_H

#include <sys/types.h>

/** Most processes of one harness. */
#define HARNESS_PROCESSES_MAX 32

/** Longest path, in bytes, including the terminating NUL. */
#define HARNESS_PATH_MAX 256

/** A process that the harness started. */
typedef struct {
    pid_t pid;
    int running;
    int status;        /**< from waitpid(), valid once `running` is 0 */
    int port;          /**< HTTP port for callers; 0 until it is known */
    int operator_port; /**< of a router only */
    int peer_port;     /**< of a router only */
    char port_file[HARNESS_PATH_MAX];
    char output_file[HARNESS_PATH_MAX]; /**< stdout and stderr */
} harness_process_t;

/** A temporary folder and the processes started in it. */
typedef struct {
    char folder[HARNESS_PATH_MAX];
    harness_process_t processes[HARNESS_PROCESSES_MAX];
    int process_count;
} harness_t;

/** Creates a harness with an empty folder. @return 0 or a negative error */
int
harness_new(harness_t **out);

/**
 * Kills the running processes and removes the folder; NULL is allowed. Fails
 * the test when a process has printed a sanitizer's report.
 */
void
harness_free(harness_t *harness);

/** Builds the path of a file in the harness's folder. */
void
harness_path(const harness_t *harness, char out[HARNESS_PATH_MAX],
             const char *name);

/** Writes a file in the folder. @return 0 or a negative error */
int
harness_write_file(const harness_t *harness, const char *name,
                   const char *text);

/**
 * Starts a program of the build. @return 0 or a negative error
 *
 * @param args arguments after the program's name, terminated by NULL
 * @param port_file name of the port file that the program's settings name;
 *        NULL adds `--port-file` to the arguments
 */
int
harness_start(harness_t *harness, harness_process_t **out, const char *program,
              const char *port_file, const char *const *args);

/**
 * Waits for the port file: a number, or the router's JSON object.
 * @return 0; negative after the timeout or when the process has ended
 */
int
harness_wait_ports(harness_process_t *process, int timeout_ms);

/** Starts a program and waits for its port. @return the port, or < 0 */
int
harness_start_server(harness_t *harness, harness_process_t **out,
                     const char *program, const char *const *args);

/**
 * Sends a signal. After SIGSTOP it waits until all threads have stopped.
 * @return 0 or a negative error
 */
int
harness_signal(const harness_process_t *process, int number);

/**
 * Waits until the process ends.
 * @return the exit status; 128 + signal; -1 after the timeout
 */
int
harness_wait(harness_process_t *process, int timeout_ms);

/** Returns what the process wrote to stdout and stderr; the caller frees. */
char *
harness_output(const harness_process_t *process);

#endif
