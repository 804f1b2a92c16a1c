/** @file soak_places.h @brief Cold workers and evacuations of the soak.
 * Include soak.h instead. */
#ifndef PPS_TESTS_SOAK_SOAK_PLACES_H
#define PPS_TESTS_SOAK_SOAK_PLACES_H

/** Requests a second that a cold worker takes, in the configuration. */
#define SOAK_COLD_PER_S 2

/** Starts to let workers become cold. */
void
cold_start(struct soak *soak);

/** Counts a cold worker's requests anew, after a disturbance of its
 * connections. */
void
cold_reset(worker_t *worker);

/** Returns for how long the worker stays cold; 0: it is not cold. */
long long
cold_remaining_ms(const worker_t *worker);

/** Writes the header line of that time. */
void
cold_write_field(char *out, size_t size, const worker_t *worker);

/** Notes that a host has passed on an answer of the cold worker. */
void
cold_note_told(worker_t *worker, int host);

/** Counts a request and reports more than the cold worker takes. */
void
cold_check(worker_t *worker, const request_t *request);

/** Starts to let workers be brittle, or no longer. */
void
brittle_start(struct soak *soak);

/** Writes the header lines of a brittle worker, or "". */
void
brittle_write_field(char *out, size_t size, const worker_t *worker);

/** Returns whether the worker rejects a request for lack of room. */
int
brittle_rejects(const worker_t *worker);

/** Starts to cut hosts off from all workers, and to end that. */
void
cut_start(struct soak *soak);

/** Ends all cuts, and schedules one for the calm end. */
void
cut_begin_calm_end(struct soak *soak);

/** Returns whether a request that is sent now counts for cut_check(). */
int
cut_counts(const struct soak *soak);

/** Notes the end of a request that counts. */
void
cut_note_request(const struct soak *soak, int host, int is_served);

/** Checks that hosts without paths served nearly as often as the others. */
void
cut_check(struct soak *soak);

/** Orders an evacuation, for every other seed. */
void
evacuation_start(struct soak *soak);

/** Reports a request that reaches an evacuated worker after the bound. */
void
evacuation_check(const worker_t *worker, const request_t *request);

/** Returns the number of requests that were checked after the bound. */
unsigned int
evacuation_checked(void);

#endif
