/**
 * @file harness_answer.h
 * @brief Sends chats and reads their answers as a caller does.
 */
#ifndef PPS_TESTS_HARNESS_ANSWER_H
#define PPS_TESTS_HARNESS_ANSWER_H

#include "harness_cluster.h"

#include <pthread.h>

/** Longest name in an answer, in bytes, including the terminating NUL. */
#define ANSWER_NAME_MAX 80

/** How an answer ended. */
typedef enum {
    ANSWER_INCOMPLETE, /**< none of the following */
    ANSWER_COMPLETE,   /**< with finish reason and end mark, without error */
    ANSWER_ERROR,      /**< with an error object, without end mark */
} answer_end_t;

/** The answer that a caller received. */
typedef struct {
    answer_end_t end;
    pps_buf_t text;
    int foreign_id_count; /**< parts with the id of another request */
    char version[ANSWER_NAME_MAX];
    char code[ANSWER_NAME_MAX]; /**< `error.code`, or empty */
    char run[ANSWER_NAME_MAX];  /**< `error.run`, or empty */
} answer_result_t;

/** A chat that can run on a thread of its own. */
typedef struct {
    cluster_t *cluster;
    cluster_chat_t chat; /**< its request id must be set */
    answer_result_t result;
    pthread_t thread;
} answer_call_t;

/** Sends the chat and reads its answer. */
void
answer_call(answer_call_t *call);

/** Does the same on a thread of its own. */
void
answer_start(answer_call_t *call);

/** Waits for the thread of answer_start(). */
void
answer_join(answer_call_t *call);

void
answer_clear(answer_call_t *call);

/**
 * Waits until an engine has generated this many tokens of a request.
 * @return the engine's index, or -1
 */
int
answer_wait_tokens(cluster_t *cluster, const char *request_id,
                   json_int_t tokens);

/** Reads the state of a request at an engine (`running`, `done`, ...);
 * `tokens` may be NULL. */
void
answer_engine_state(cluster_t *cluster, int engine, const char *request_id,
                    char state[ANSWER_NAME_MAX], json_int_t *tokens);

/** Sends a chat with the id `reference` while no fault is active; fails the
 * test unless its answer is complete. */
void
answer_call_reference(answer_call_t *reference, cluster_t *cluster,
                      const char *prompt, int tokens);

/** Expects the reference's version and no foreign request id, and the
 * reference's text when the answer is complete. */
void
answer_expect_match(const answer_call_t *call, const answer_call_t *reference,
                    const char *name);

/** Waits for this many bills and expects no more; each request is billed at
 * most once. */
void
answer_expect_bills(cluster_t *cluster, uint64_t expected, const char *name);

/** Router settings of answer_cluster_new(): short timeouts. */
#define ANSWER_SETTINGS                                                       \
    "[limits]\nsilence_timeout_ms = 300\nanswer_timeout_ms = 8000\n"

/** Starts a system with two routers; fails the test unless it serves. */
cluster_t *
answer_cluster_new(int engines, const char *token_us);

#endif
