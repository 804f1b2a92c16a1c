/**
 * @file harness.h
 * @brief Real processes on loopback, for tests.
 *
 * All that a harness started is killed, by its id, when it is freed.
 */
#ifndef PPS_TESTS_HARNESS_H
#define PPS_TESTS_HARNESS_H

#include <sys/types.h>

/** Most processes of one harness. */
#define HARNESS_PROCESSES_MAX 32

/** Longest path, its end included. */
#define HARNESS_PATH_MAX 256

/** A process that the harness started. */
typedef struct {
    pid_t pid;
    int running;
    int status;        /**< as of waitpid(), once it has ended */
    int port;          /**< towards callers; 0 until it serves */
    int operator_port; /**< of the router only */
    int peer_port;     /**< of the router only */
    char port_file[HARNESS_PATH_MAX];
    char output_file[HARNESS_PATH_MAX];
} harness_process_t;

/** A folder of temporary files and the processes started in it. */
typedef struct {
    char folder[HARNESS_PATH_MAX];
    harness_process_t processes[HARNESS_PROCESSES_MAX];
    int count;
} harness_t;

/** Makes a harness with an empty folder. @return 0 or a negative error */
int
harness_new(harness_t **out);

/** Kills what still runs and removes the folder. NULL is allowed. */
void
harness_free(harness_t *harness);

/** The path of a file in the harness' folder. */
void
harness_path(const harness_t *harness, char out[HARNESS_PATH_MAX],
             const char *name);

/** Writes a file in the folder. @return 0 or a negative error */
int
harness_write_file(const harness_t *harness, const char *name,
                   const char *text);

/**
 * Starts a program of the build.
 *
 * @param args arguments behind the program's name, ended by NULL
 * @param port_file name of the port file that the program's settings name;
 *        NULL adds `--port-file` to the arguments
 */
int
harness_start(harness_t *harness, harness_process_t **out, const char *program,
              const char *port_file, const char *const *args);

/**
 * Waits for the port file: a number, or the router's JSON object.
 * @return 0; negative when time is up or it died
 */
int
harness_wait_ports(harness_process_t *process, int timeout_ms);

/** Starts a program and waits until it serves. @return its port, or < 0 */
int
harness_start_server(harness_t *harness, harness_process_t **out,
                     const char *program, const char *const *args);

/** Sends a signal. */
int
harness_signal(const harness_process_t *process, int number);

/** Waits for the end. @return the exit status; 128 + signal; -1: runs on */
int
harness_wait(harness_process_t *process, int timeout_ms);

/** What the process wrote to both of its outputs; free() by the caller. */
char *
harness_output(const harness_process_t *process);

#endif
