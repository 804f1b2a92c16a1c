/**
 * @file decision_log.h
 * @brief Logs and counts each routing decision on a request, with its inputs.
 *
 * Writes warnings always, and other lines for sampled request ids only.
 */
#ifndef PPS_EXCHANGE_DECISION_LOG_H
#define PPS_EXCHANGE_DECISION_LOG_H

#include "exchange.h"

/** Logs a request that was refused before it had a route. @param id may be
 * NULL @param status 0: the caller disconnected @param revision of the
 * deployment; 0: none */
void
pps_decision_log_refused(const char *id, unsigned int status,
                         const char *reason, int64_t revision);

/** Logs the route and the deployment's revision of an admitted request. */
void
pps_decision_log_admitted(const pps_exchange_t *exchange);

/** Logs the start of an attempt with the worker's load and the age of its load
 * report. */
void
pps_decision_log_sent(const pps_exchange_t *exchange);

/** Logs the head of a reply. */
void
pps_decision_log_answer_began(const pps_exchange_t *exchange,
                              unsigned int status, int confidence);

/** Logs that an answer is dropped and requested from a larger model. */
void
pps_decision_log_larger_model(const pps_exchange_t *exchange, int confidence,
                              double load);

/** Logs that a request is repeated or a stream resumed. */
void
pps_decision_log_repeated(const pps_exchange_t *exchange, const char *reason,
                          int may_have_run);

/** Logs that the wait for a silent worker continues because no repeat is
 * allowed. */
void
pps_decision_log_no_repeat(const pps_exchange_t *exchange);

/** Logs that a reply to another request was skipped. */
void
pps_decision_log_foreign_answer(const pps_exchange_t *exchange);

/** Logs the end of a request. @param status HTTP status of the answer; 0: the
 * caller disconnected or the connection was aborted */
void
pps_decision_log_ended(const pps_exchange_t *exchange, unsigned int status,
                       const char *outcome);

#endif
