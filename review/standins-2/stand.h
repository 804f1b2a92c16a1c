/**
 * @file stand.h
 * @brief Stand-ins for the cases of this review: the platform's store, workers,
 * callers and the platform's process control, all on loopback addresses.
 *
 * Each server runs in threads of its own with blocking sockets. A case starts
 * one stand_t, adds workers, writes a configuration, starts the hosts and then
 * sends requests.
 */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define STAND_HOSTS_MAX 8
#define STAND_WORKERS_MAX 24
#define STAND_TEXT 128

/** A request as a worker receives it. */
typedef struct {
    char method[16];
    char target[256];
    char *head; /**< all header lines, each ending in CR LF */
    char *body;
    size_t body_size;
} stand_request_t;

/** Copies the value of a header, without case; "" if it is absent.
 * @return whether it is there */
int
stand_header(const char *head, const char *name, char *out, size_t size);

struct stand_worker;

/** Answers one request on a connection; returns 0 to close the connection. */
typedef int (*stand_serve_fn)(struct stand_worker *worker, int fd,
                              const stand_request_t *request);

/** A worker. */
typedef struct stand_worker {
    char id[STAND_TEXT];
    char service[STAND_TEXT];
    char zone[STAND_TEXT];
    char version[STAND_TEXT];
    char address[STAND_TEXT]; /**< IP:PORT */
    int64_t born_ms;
    int slots;
    int is_listed; /**< its entry is renewed */
    unsigned int sequence;
    int listener;
    stand_serve_fn serve;
    /** Called when the head of a request has arrived; or NULL. */
    void (*on_head)(struct stand_worker *worker, const char *head);
} stand_worker_t;

/** A host of the system under test. */
typedef struct {
    char id[STAND_TEXT];
    char address[STAND_TEXT]; /**< IPv4 address */
    char settings[512];
    char log[512];
    pid_t pid; /**< 0: not running */
    int memory_mb;
    long peak_mb;       /**< largest resident memory seen */
    int exits;          /**< ends that the case did not cause */
    int memory_kills;   /**< ends by the platform, over `memory_mb` */
    int is_kept_down;   /**< not started again after an end */
} stand_host_t;

/** Everything of one run. */
typedef struct {
    char folder[512]; /**< of the case; has record.txt */
    char temp[512];
    int callers_port;
    int readiness_port;
    int peers_port;
    int metrics_port;
    int gossip_port;
    char store_address[STAND_TEXT];
    stand_host_t hosts[STAND_HOSTS_MAX];
    int host_count;
    stand_worker_t workers[STAND_WORKERS_MAX];
    int worker_count;
    int has_trouble; /**< TROUBLE is not 0 */
} stand_t;

extern stand_t stand;

/** Starts the store and the renewal of entries. @param hosts number of hosts
 * whose settings are written */
void
stand_begin(const char *folder, int hosts, int memory_mb);

/** Adds a worker that is listed from now on. */
stand_worker_t *
stand_add_worker(const char *service, const char *zone, int slots,
                 stand_serve_fn serve);

/** Writes a record as the operator or a worker; NULL deletes the key. Returns
 * when the store has accepted it. */
void
stand_put(const char *topic, const char *key, const char *value);

/** Copies the newest value of a key. @return whether there is one */
int
stand_get(const char *topic, const char *key, char *out, size_t size);

/** Sets the version of the workers that are added from now on; at first "v1".
 */
void
stand_new_version(const char *version);

/** Starts a host with the command of the deploy file. It is started again if
 * it ends, as by the platform. */
void
stand_start_host(int host);

/** Waits until a host says that it is ready. @return whether it did */
int
stand_wait_ready(int host, int timeout_ms);

/** Sends a signal to a host. */
void
stand_signal(int host, int number);

/** An answer as a caller receives it. */
typedef struct {
    int status; /**< 0: no complete head arrived */
    int is_complete;
    char head[4096];
    char body[4096]; /**< its first bytes */
    size_t body_size;
    int64_t sent_us; /**< when the last byte of the request was sent; 0: not */
    int64_t ended_us;
} stand_answer_t;

/** A request on a channel that is kept. */
typedef struct {
    const char *method;
    const char *name; /**< of the host header */
    const char *path;
    const char *id;
    const char *key; /**< NULL: none */
    int deadline_ms;
    const char *fields; /**< more header lines, or NULL */
    const char *body;   /**< or NULL */
    size_t body_size;
} stand_call_t;

/** Opens a channel to a host. @return it, or -1 */
int
stand_open(int host);

/** Sends a request on an open channel and reads its answer. */
void
stand_call_on(stand_answer_t *out, int channel, const stand_call_t *call);

/** Writes all bytes. @return whether that was possible */
int
stand_write(int fd, const void *data, size_t size);

/** Appends a line to record.txt, with the time since the start. */
void
stand_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

int64_t
stand_now_us(void);

void
stand_sleep_ms(int ms);

/** Ends all processes that were started and the program.
 * @param code 0: the rule held; 1: it was broken; 2: the case couldn't run */
void
stand_end(int code) __attribute__((noreturn));

#endif
