/**
 * @file harness_answer.h
 * @brief Answers of chats, as a caller reads them.
 */
#ifndef PPS_TESTS_HARNESS_ANSWER_H
#define PPS_TESTS_HARNESS_ANSWER_H

#include "harness_cluster.h"

#include <pthread.h>

/** Longest name in an answer, its end included. */
#define ANSWER_NAME_MAX 80

/** How an answer ended. */
typedef enum {
    ANSWER_INCOMPLETE, /**< neither of the others */
    ANSWER_COMPLETE,   /**< finish and end mark came, and no error */
    ANSWER_ERROR,      /**< an error object came, and no end mark */
} answer_end_t;

/** What a caller got. */
typedef struct {
    answer_end_t end;
    pps_buf_t text;
    int foreign; /**< parts that name another request */
    char version[ANSWER_NAME_MAX];
    char code[ANSWER_NAME_MAX]; /**< of the error */
    char run[ANSWER_NAME_MAX];
} answer_result_t;

/** A chat on a thread of its own. */
typedef struct {
    cluster_t *cluster;
    cluster_chat_t chat; /**< with a request id */
    answer_result_t result;
    pthread_t thread;
} answer_call_t;

/** Makes the chat and reads its answer. */
void
answer_call(answer_call_t *call);

/** The same on a thread of its own. */
void
answer_start(answer_call_t *call);

/** Waits for answer_start(). */
void
answer_join(answer_call_t *call);

void
answer_clear(answer_call_t *call);

/**
 * Waits until an engine has generated so many tokens of a request.
 * @return the engine's index, or -1
 */
int
answer_wait_tokens(cluster_t *cluster, const char *request_id,
                   json_int_t tokens);

/** State of a request at an engine (`running`, `done`, ...); `tokens` may be
 * NULL. */
void
answer_engine_state(cluster_t *cluster, int engine, const char *request_id,
                    char state[ANSWER_NAME_MAX], json_int_t *tokens);

/** Asks for an undisturbed answer, to compare others with; its id is
 * `reference`. */
void
answer_call_reference(answer_call_t *reference, cluster_t *cluster,
                      const char *prompt, int tokens);

/** Expects an answer of the same version to its own request; when it is whole,
 * of the same text. */
void
answer_expect_match(const answer_call_t *call, const answer_call_t *reference,
                    const char *name);

/** Expects so many bills: whole answers are billed once, others not. */
void
answer_expect_bills(cluster_t *cluster, uint64_t wanted, const char *name);

/** Longest silences of the routers that answer_cluster_new() starts. */
#define ANSWER_SETTINGS                                                       \
    "[limits]\nsilence_timeout_ms = 300\nanswer_timeout_ms = 8000\n"

/** Starts a system with two routers; fails the test unless it serves. */
cluster_t *
answer_cluster_new(int engines, const char *token_us);

#endif
