/**
 * @file deployment.h
 * @brief What the operator has put in force: routes, upstreams, workspaces.
 *
 * Filled once by a decoder, then immutable and shared by reference count, so
 * that a request under way keeps the one it began with.
 */
#ifndef PPS_DEPLOYMENT_DEPLOYMENT_H
#define PPS_DEPLOYMENT_DEPLOYMENT_H

#include "transport/http_server.h"

#include <stddef.h>
#include <stdint.h>

/** Models that one route may choose from. */
#define PPS_MODELS_MAX 8

/** What may be repeated. */
typedef enum {
    PPS_CALL_IDEMPOTENT, /**< may run more than once */
    PPS_CALL_ONCE,       /**< runs once at most for an attempt */
    PPS_CALL_STREAM,     /**< events; repeatable where it can be resumed */
} pps_call_kind_t;

/** A share of a route's requests. */
typedef struct {
    unsigned int upstream; /**< index */
    unsigned int weight;
} pps_route_target_t;

/** A route. */
typedef struct {
    char *name;
    char *host;
    char *prefix; /**< begins and ends with a slash */
    pps_call_kind_t kind;
    int64_t timeout_us; /**< longest time to an answer; 0: none */
    int64_t target_us;  /**< time to first byte for full value */
    int64_t gap_us;     /**< longest pause between events for full value */
    int priority;       /**< 0 is the most urgent */
    int resumable;
    int anonymous; /**< needs no key */
    unsigned int attempts_max;
    pps_route_target_t *targets;
    size_t target_count;
    char *models[PPS_MODELS_MAX]; /**< smallest first */
    size_t model_count;           /**< 0: the caller names the model */
} pps_route_t;

/** A model's price. */
typedef struct {
    char *name;
    double cost; /**< of 1,000 generated tokens */
} pps_model_price_t;

/** A pool of workers. */
typedef struct {
    char *name;
    pps_model_price_t models[PPS_MODELS_MAX];
    size_t model_count;
} pps_upstream_t;

/** A caller's account. */
typedef struct {
    char *name;
    int priority; /**< negative: the route's counts */
} pps_workspace_t;

/** A key and the workspace that holds it. */
typedef struct {
    char *key;
    unsigned int workspace; /**< index */
} pps_workspace_key_t;

/** What is in force. Read the members; change nothing once it is shared. */
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
    pps_http_limits_t limits;
    unsigned int refs;
} pps_deployment_t;

/** Makes an empty one, with one reference. */
int
pps_deployment_new(pps_deployment_t **out);

/** Takes one more reference. */
pps_deployment_t *
pps_deployment_ref(pps_deployment_t *deployment);

/** Gives a reference back; NULL is allowed. */
void
pps_deployment_unref(pps_deployment_t *deployment);

/** Sorts what look-ups search; call once after filling. */
void
pps_deployment_sort(pps_deployment_t *deployment);

/** The route of the longest prefix among those of that host, or NULL.
 * @param host without a port @param path may go on with a query */
const pps_route_t *
pps_deployment_find_route(const pps_deployment_t *deployment, const char *host,
                          const char *path);

/** The workspace that holds the key, or NULL. */
const pps_workspace_t *
pps_deployment_find_workspace(const pps_deployment_t *deployment,
                              const char *key);

/** The index of an upstream. @return 0 or PPS_ENOTFOUND */
int
pps_deployment_find_upstream(unsigned int *out,
                             const pps_deployment_t *deployment,
                             const char *name);

/** The price of 1,000 generated tokens, 0 when unknown. */
double
pps_upstream_model_cost(const pps_upstream_t *upstream, const char *model);

/** The upstream for a request of that digest, by the targets' weights. */
unsigned int
pps_route_choose_upstream(const pps_route_t *route, uint64_t digest);

#endif
