/**
 * @file golden_state.h
 * @brief Whole sessions through the decisions, without I/O.
 *
 * A script states what happens and when; each decision that it brings about
 * is written below its line. Script and time line are one file.
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

/** A host as its decisions see it. */
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

/** A session under way. */
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

/** What a line does. */
typedef struct {
    const char *word;
    void (*act)(golden_t *golden, const golden_line_t *line);
} golden_verb_t;

/** Verbs of each part, ended by an empty one. */
extern const golden_verb_t golden_log_verbs[];
extern const golden_verb_t golden_claim_verbs[];
extern const golden_verb_t golden_choice_verbs[];
extern const golden_verb_t golden_host_verbs[];

/** Writes a line of the time line. */
void
golden_tell(golden_t *golden, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** Copies a text; fails the test when it does not fit. */
void
golden_copy(char *out, size_t capacity, const char *text);

/** The host that a word names; fails the test when there is none. */
golden_host_t *
golden_host(golden_t *golden, const char *id);

/** Starts a host, or starts it again. */
void
golden_host_start(golden_t *golden, golden_host_t *host);

void
golden_host_clear(golden_host_t *host);

/** Appends a record, which is taken over. @return its offset */
uint64_t
golden_append(golden_t *golden, golden_log_t *log, void *data, size_t size);

/** Runs a script. `out` gets script and time line. */
void
golden_run(pps_buf_t *out, const char *script);

#endif
