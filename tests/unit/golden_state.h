/**
 * @file golden_state.h
 * @brief Runs scripts of events through the decision code, without I/O.
 *
 * A script lists events and their times. The resulting decisions are written
 * below each line, so that script and output are one file.
 */
#ifndef PPS_TESTS_GOLDEN_STATE_H
#define PPS_TESTS_GOLDEN_STATE_H

#include "buf.h"
#include "papayaswitch/choice.h"
#include "papayaswitch/config_fold.h"
#include "papayaswitch/serving.h"
#include "papayaswitch/work_fold.h"
#include "upstream/assembler.h"

#define GOLDEN_HOSTS_MAX 5
#define GOLDEN_RECORDS_MAX 64
#define GOLDEN_WORDS_MAX 8
#define GOLDEN_WORD_BYTES 64

/** A stream of the log. */
typedef struct {
    const char *name;
    pps_log_entry_t entries[GOLDEN_RECORDS_MAX];
    size_t count;
} golden_log_t;

/** The state of a host that its decisions depend on. */
typedef struct {
    pps_host_t listed;
    uint64_t incarnation;
    uint64_t attempt;
    pps_config_fold_t *config;
    pps_work_fold_t *work;
    pps_worker_view_t *workers;
    pps_host_report_t reports[GOLDEN_HOSTS_MAX];
    size_t report_count;
    int64_t started_us;
    int64_t read_sent_us;
    uint64_t read_head;
    int synced;
} golden_host_t;

/** State of a running script. */
typedef struct {
    pps_buf_t out;
    int64_t now_us;
    pps_rng_t rng;
    golden_log_t config;
    golden_log_t work;
    golden_host_t hosts[GOLDEN_HOSTS_MAX];
    size_t host_count;
    pps_assembler_t answer;
    char request[GOLDEN_WORD_BYTES];
} golden_t;

/** A line of the script: its words, and the indented lines below it. */
typedef struct {
    char words[GOLDEN_WORDS_MAX][GOLDEN_WORD_BYTES]; /**< "" when missing */
    pps_buf_t text;
} golden_line_t;

/** A command of the script language. */
typedef struct {
    const char *name;
    void (*run)(golden_t *golden, const golden_line_t *line);
} golden_command_t;

/** Commands of each file, ended by an empty entry. */
extern const golden_command_t golden_log_commands[];
extern const golden_command_t golden_claim_commands[];
extern const golden_command_t golden_choice_commands[];
extern const golden_command_t golden_host_commands[];

/** Appends a line to the output. */
void
golden_print(golden_t *golden, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** Copies a text; fails the test if it doesn't fit. */
void
golden_copy(char *out, size_t capacity, const char *text);

/** Returns the host with the id; fails the test if there is none. */
golden_host_t *
golden_find_host(golden_t *golden, const char *id);

/** Starts or restarts a host with empty state. */
void
golden_host_start(golden_t *golden, golden_host_t *host);

void
golden_host_clear(golden_host_t *host);

/** Appends a record and takes ownership of `data`. @return its offset */
uint64_t
golden_append(golden_t *golden, golden_log_t *log, void *data, size_t size);

/** Runs a script and returns it with its output in `out`, which the caller
 * clears. */
void
golden_run(pps_buf_t *out, const char *script);

#endif
