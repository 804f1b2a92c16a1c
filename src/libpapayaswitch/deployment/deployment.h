/**
 * @file deployment.h
 * @brief The operator's configuration: routes, upstreams, workspaces, keys and
 * limits.
 *
 * A decoder fills it once. It is then immutable and shared by reference count,
 * so that a running request keeps the revision it started with.
 */
#ifndef PPS_DEPLOYMENT_DEPLOYMENT_H
#define PPS_DEPLOYMENT_DEPLOYMENT_H

#include "homes.h"
#include "transport/http_server.h"

#include <stddef.h>
#include <stdint.h>

/** Maximum number of models of a route, an upstream or a worker. */
#define PPS_MODELS_MAX 8

/** Whether the calls of a route may be repeated. */
typedef enum {
    PPS_CALL_IDEMPOTENT, /**< may run more than once */
    PPS_CALL_ONCE,       /**< sent again only if it did not run */
    PPS_CALL_STREAM,     /**< event stream, repeatable if resumable */
} pps_call_kind_t;

/** An upstream of a route and its share of the requests. */
typedef struct {
    unsigned int upstream; /**< index of the upstream */
    unsigned int weight;
} pps_route_target_t;

/** A route: which requests it matches and how they are served. */
typedef struct {
    char *name;
    char *host;
    char *prefix; /**< path prefix, begins and ends with a slash */
    pps_call_kind_t kind;
    int64_t timeout_us;        /**< limit to the end of the answer; 0: none */
    int64_t target_us;         /**< target time to the first byte; 0: none */
    int64_t gap_us;            /**< target pause between events; 0: none */
    int priority;              /**< 0 is the most urgent */
    int resumable;             /**< a broken stream can be resumed */
    int anonymous;             /**< accepts requests without a key */
    unsigned int attempts_max; /**< attempts that may have run, per request */
    pps_route_target_t *targets;
    size_t target_count;
    char *models[PPS_MODELS_MAX]; /**< smallest first */
    size_t model_count;           /**< 0: the caller chooses the model */
    pps_homes_t homes;            /**< regions of its workers and hosts */
    unsigned int
        class_index; /**< the same for routes of like kind, targets
                          and priority; set by pps_deployment_sort() */
} pps_route_t;

/** The price of a model. */
typedef struct {
    char *name;
    double cost; /**< price of 1,000 generated tokens */
} pps_model_price_t;

/** A pool of workers and the prices of its models. */
typedef struct {
    char *name;
    pps_model_price_t models[PPS_MODELS_MAX];
    size_t model_count;
    int64_t memory_tokens;  /**< of prompts that a worker's memory holds; 0:
                                 unknown */
    int64_t cold_start_us;  /**< time for which a worker is cold after its
                                 start */
    double cold_rate_per_s; /**< requests a second that a cold worker takes
                            from all hosts; 0: workers are never cold */
} pps_upstream_t;

/** An account of callers. */
typedef struct {
    char *name;
    int priority;      /**< 0 is the most urgent; negative: use the route's */
    pps_homes_t homes; /**< apply in addition to the route's */
} pps_workspace_t;

/** An API key of a workspace. */
typedef struct {
    char *key;
    unsigned int workspace; /**< index of the workspace */
} pps_workspace_key_t;

/** A revision of the configuration. Read-only once it is shared. */
typedef struct {
    int64_t revision;
    pps_route_t *routes;
    size_t route_count;
    pps_upstream_t *upstreams;
    size_t upstream_count;
    pps_workspace_t *workspaces;
    size_t workspace_count;
    pps_workspace_key_t *keys; /**< sorted by key */
    size_t key_count;
    int requires_key; /**< requests need a key, unless the route is anonymous;
                           then none is valid while `key_count` is 0 */
    pps_http_limits_t limits;
    unsigned int refs;
} pps_deployment_t;

/** Creates an empty deployment with one reference. @return 0 or PPS_ENOMEM */
int
pps_deployment_new(pps_deployment_t **out);

/** Adds a reference. @return `deployment` */
pps_deployment_t *
pps_deployment_ref(pps_deployment_t *deployment);

/** Drops a reference and frees the deployment with the last one; NULL is
 * allowed. */
void
pps_deployment_unref(pps_deployment_t *deployment);

/** Sorts the routes and keys for look-ups and numbers the routes' classes.
 * Call it once after filling. */
void
pps_deployment_sort(pps_deployment_t *deployment);

/** Finds the route of the host with the longest prefix of `path`, or NULL.
 * @param host without a port @param path may include a query */
const pps_route_t *
pps_deployment_find_route(const pps_deployment_t *deployment, const char *host,
                          const char *path);

/** Finds the workspace of a key. @return NULL when the key is unknown */
const pps_workspace_t *
pps_deployment_find_workspace(const pps_deployment_t *deployment,
                              const char *key);

/** Finds the index of an upstream by name. @return 0 or PPS_ENOTFOUND */
int
pps_deployment_find_upstream(unsigned int *out,
                             const pps_deployment_t *deployment,
                             const char *name);

/** Returns the price of 1,000 generated tokens, 0 when unknown. */
double
pps_upstream_model_cost(const pps_upstream_t *upstream, const char *model);

/** Chooses an upstream by weight; the same digest gives the same upstream.
 * @return the index of the upstream */
unsigned int
pps_route_choose_upstream(const pps_route_t *route, uint64_t digest);

#endif
