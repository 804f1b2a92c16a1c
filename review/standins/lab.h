/**
 * @file lab.h
 * @brief Stand-ins of a small deployment for the cases of the review: the
 * platform's store, workers, clients, and the machines' processes.
 *
 * All of it runs in one program with a thread for each connection. Every
 * address is a loopback address that depends on the process id, so that cases
 * can run side by side.
 */
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define LAB_TEXT 128
#define LAB_HEADERS_MAX 64

/** Exit codes of a case. */
enum { LAB_HELD = 0, LAB_BROKEN = 1, LAB_NOT_RUN = 2 };

/** Head of an HTTP message, and its body if it has a length. */
typedef struct {
    char line[512]; /**< first line, without its end */
    int header_count;
    char names[LAB_HEADERS_MAX][LAB_TEXT];
    char values[LAB_HEADERS_MAX][512];
    char *body; /**< to be freed by lab_message_clear() */
    size_t size;
} lab_message_t;

/** A process of the system on one machine. */
typedef struct {
    int index;
    char ip[LAB_TEXT];
    char settings[256]; /**< path of the settings file */
    char log[256];      /**< path of the file with its output */
    pid_t pid;          /**< 0: not running */
    int starts;
} lab_host_t;

struct lab_worker;

/** Serves one request that names the worker's id. `out` is the connection.
 * @return 0 to keep the connection, -1 to close it */
typedef int (*lab_handler_t)(struct lab_worker *worker, int out,
                             const lab_message_t *request);

/** A worker, which registers itself in the store and checks in. */
typedef struct lab_worker {
    char id[LAB_TEXT];
    char address[LAB_TEXT];
    char service[LAB_TEXT];
    char models[256]; /**< JSON list, or "" */
    int slots;
    int64_t born_ms;
    int sequence;
    int listener;
    lab_handler_t handler;
} lab_worker_t;

/** Reads TROUBLE, opens record.txt in the folder of the case, starts the store
 * and limits the time of the run. Exits with LAB_NOT_RUN if that fails. */
void
lab_begin(const char *folder);

/** Returns 0 if TROUBLE=0 asks for a run without the disturbance. */
int
lab_has_trouble(void);

/** Ends all processes and returns the exit code that was passed. */
int
lab_end(int code);

/** Writes a line with the time to record.txt. */
void
lab_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** Ends the run: the case could not be set up. */
void
lab_give_up(const char *why) __attribute__((noreturn));

/** Returns the steady clock in milliseconds. */
int64_t
lab_now_ms(void);

void
lab_sleep_ms(int64_t ms);

/** Writes a record of a keyed topic to the store. @param value NULL: none */
void
lab_store_put(const char *topic, const char *key, const char *value);

/** Writes the configuration: three routes of host `desk.example`, /filing/
 * (non_idempotent), /lookup/ (safe) and /chapter/ (streaming), and the tenant
 * `office` with the key `key-1`. */
void
lab_put_config(int version);

void
lab_worker_start(lab_worker_t *worker, int index, const char *service,
                 lab_handler_t handler);

/** Starts the process with the command of the deploy file. */
void
lab_host_start(lab_host_t *host, int index);

/** Starts a process that has ended again. */
void
lab_host_restart(lab_host_t *host);

/** Waits until the machine is ready. */
void
lab_host_await_ready(const lab_host_t *host);

/** Returns whether the process has ended, and notes that. */
int
lab_host_has_ended(lab_host_t *host);

/** Kills the process and waits for its end. */
void
lab_host_kill(lab_host_t *host);

/** Returns the resident memory in KiB; 0 if the process has ended. */
long
lab_host_memory_kib(const lab_host_t *host);

/** Connects to the callers' address. @param window receive buffer in bytes of
 * a client that reads slowly, with segments as on Ethernet; 0: default
 * @return the socket or -1 */
int
lab_connect(const lab_host_t *host, int window);

/** Limits the time that a read on the socket takes. */
void
lab_set_timeout(int fd, int64_t ms);

/** @return 0, or -1 if the connection is lost */
int
lab_send(int fd, const void *data, size_t size);

int
lab_sendf(int fd, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** Reads the head of a message. @return 0, or -1 */
int
lab_read_head(FILE *in, lab_message_t *out);

/** Reads a head, and the body if Content-Length is there. @return 0, or -1 */
int
lab_read_message(FILE *in, lab_message_t *out);

void
lab_message_clear(lab_message_t *message);

/** Returns the value of a header, or "". */
const char *
lab_header(const lab_message_t *message, const char *name);

/** Returns how often a header is there. */
int
lab_header_count(const lab_message_t *message, const char *name);

/** Returns the status of an answer. */
int
lab_status(const lab_message_t *message);

/** Answers with success and a body. */
int
lab_answer(int out, const lab_worker_t *worker, const lab_message_t *request,
           const char *body, size_t size);

#endif
