/**
 * @file decision_log.h
 * @brief The log lines of a request's way, each with what decided it.
 */
#ifndef PPS_EXCHANGE_DECISION_LOG_H
#define PPS_EXCHANGE_DECISION_LOG_H

#include "exchange.h"

/** Refused before it had a route. */
void
pps_decision_log_refused(const char *id, unsigned int status,
                         const char *reason, int64_t revision);

/** Admitted on a route, by a revision of the deployment. */
void
pps_decision_log_admitted(const pps_exchange_t *exchange);

/** Sent to a worker; with its load and the load's age. */
void
pps_decision_log_sent(const pps_exchange_t *exchange);

/** The head of an answer came. */
void
pps_decision_log_answer_began(const pps_exchange_t *exchange,
                              unsigned int status, int confidence);

/** The answer is dropped and a larger model asked. */
void
pps_decision_log_larger_model(const pps_exchange_t *exchange, int confidence,
                              double load);

/** Sent once more, or gone on with at another worker. */
void
pps_decision_log_repeated(const pps_exchange_t *exchange, const char *reason,
                          int may_have_run);

/** A silent worker is waited for, since no repeat is allowed. */
void
pps_decision_log_no_repeat(const pps_exchange_t *exchange);

/** An answer to another request was skipped. */
void
pps_decision_log_foreign_answer(const pps_exchange_t *exchange);

/** Over. @param status what the caller got; 0: the connection was closed */
void
pps_decision_log_ended(const pps_exchange_t *exchange, unsigned int status,
                       const char *outcome);

#endif
