/**
 * @file decision_log.h
 * @brief Logs and counts routing decisions with their inputs. Lines below the
 * warning level are written for sampled request ids only.
 */
#ifndef PPS_EXCHANGE_DECISION_LOG_H
#define PPS_EXCHANGE_DECISION_LOG_H

#include "exchange.h"
#include "transport/connect_probe.h"

/** Logs a refusal before a route is known. @param id may be NULL @param
 * status 0: the caller disconnected */
void
pps_decision_log_refused(const char *id, unsigned int status,
                         const char *reason, int64_t revision);

/** Logs the route and the deployment's revision of an admitted request. */
void
pps_decision_log_admitted(const pps_exchange_t *exchange);

/** Logs the start of an attempt with the age of the load report. */
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

/** Logs that a silent worker gets more time: no repeat is allowed. */
void
pps_decision_log_no_repeat(const pps_exchange_t *exchange);

/** Logs that a reply to another request was skipped. */
void
pps_decision_log_foreign_answer(const pps_exchange_t *exchange);

/** Logs and counts that a request is refused, as there is no room for its
 * body.
 */
void
pps_decision_log_body_refused(const pps_dispatcher_t *dispatcher,
                              const pps_body_owner_t *owner, size_t bytes);

/** Logs and counts that what is held of an answer is given up, as the host
 * holds too much in all.
 * @param held of the attempt, or of its copy, before it is released */
void
pps_decision_log_given_up(const pps_exchange_t *exchange,
                          const pps_pool_worker_t *worker,
                          const pps_held_t *held);

/** Logs and counts that a caller reads slower than its worker sends.
 * @param queued bytes that wait for it */
void
pps_decision_log_caller_slow(const pps_exchange_t *exchange, size_t queued);

/** Logs the end of a request. @param status 0: no complete answer was sent */
void
pps_decision_log_ended(const pps_exchange_t *exchange, unsigned int status,
                       const char *outcome);

/** Logs and counts that a failure domain gets no new requests.
 * @param order name of the order @param workers listed in it */
void
pps_decision_log_evacuated(const char *failure_domain, const char *order,
                           size_t workers);

/** Logs and counts that a failure domain gets requests again.
 * @param after_us since its evacuation began at this host */
void
pps_decision_log_evacuation_ended(const char *failure_domain, int64_t after_us,
                                  size_t workers);

/** Counts that a request can be sent to no worker because of its homes. The
 * line of its end has the reason. */
void
pps_decision_log_no_home(void);

/** Counts that a request is refused since its workers are evacuated. */
void
pps_decision_log_all_evacuated(void);

/** Logs that a worker said that it is leaving.
 * @param source "answer" or "host" */
void
pps_decision_log_leaving(const pps_pool_worker_t *worker, const char *source);

/** Logs that a worker refused the request and asked for a pause. */
void
pps_decision_log_paused(const pps_pool_worker_t *worker, const char *request,
                        int64_t pause_us);

/** Logs that a worker names another limit than before, or none any more.
 * @param limit_per_s requests a second; negative: none
 * @param source "answer" or "host" */
void
pps_decision_log_limit(const pps_pool_worker_t *worker, double limit_per_s,
                       const char *source);

/** Logs that a worker counts as cold, or no longer.
 * @param left_us time for which it does; 0: no longer */
void
pps_decision_log_cold(const pps_pool_worker_t *worker, int64_t left_us,
                      const char *evidence);

/** Logs that a worker named a limit that is no valid number. */
void
pps_decision_log_invalid_limit(const pps_exchange_t *exchange);

/** Logs that a worker asked for a pause that is negative, too long or no
 * number. @param pause_us the pause that is kept instead; 0: none */
void
pps_decision_log_invalid_pause(const pps_pool_worker_t *worker,
                               const char *request, int64_t pause_us);

/** Logs that the answer of the current attempt broke off, with the digests of
 * the prompt's shared parts. */
void
pps_decision_log_broken(const pps_exchange_t *exchange);

/** Logs whether a worker has ended whose answers broke off. */
void
pps_decision_log_worker_probed(const pps_worker_info_t *worker,
                               pps_probe_result_t result,
                               unsigned int answers);

/** Logs that a key was convicted of ending workers. @param source of the
 * evidence that sufficed */
void
pps_decision_log_convicted(const pps_poison_evidence_t *evidence,
                           const char *source);

/** Logs that a request with a doubtful key is let through. */
void
pps_decision_log_poison_trial(const pps_exchange_t *exchange, uint64_t key);

/** Logs and counts that a request is kept from workers, and by which key. */
void
pps_decision_log_poison_refused(const pps_exchange_t *exchange, uint64_t key);

/** Logs that this host reaches no workers, or does again.
 * @param worker that showed it */
void
pps_decision_log_path(const pps_dispatcher_t *dispatcher,
                      const pps_worker_info_t *worker, int is_lost);

/** Logs that the path to one worker is lost, though a neighbour reaches it, or
 * that it is back. */
void
pps_decision_log_worker_path(const pps_worker_info_t *worker, int is_lost);

/** Logs that the attempt's neighbour did not pass it on. */
void
pps_decision_log_relay_failed(const pps_exchange_t *exchange);

/** Logs that a worker says that it is brittle, or no longer, or that it
 * rejected a request. @param source who heard it: "answer" or "host" */
void
pps_decision_log_brittle(const pps_pool_worker_t *worker,
                         const pps_brittle_notice_t *notice,
                         const char *source);

/** Logs that the workers of an upstream are taken for brittle by what this one
 * says, or no longer. @param source who heard it: "answer" or "host" */
void
pps_decision_log_upstream_brittle(const pps_pool_worker_t *worker,
                                  int is_brittle, const char *source);

/** Logs and counts that a brittle worker rejected a request, by what right
 * that was sent, and what the worker says that it holds. */
void
pps_decision_log_brittle_rejected(const pps_exchange_t *exchange,
                                  const pps_worker_reply_t *reply);

/** Logs a brittle worker's statement that is no number. */
void
pps_decision_log_invalid_brittle(const pps_exchange_t *exchange);

/** Logs and counts the answer to a call that was taken for another host.
 * @param request its id, or NULL */
void
pps_decision_log_relay_taken(const char *request,
                             const pps_worker_info_t *worker,
                             unsigned int status);

#endif
