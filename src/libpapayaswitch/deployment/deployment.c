/** @file deployment.c @brief Look-ups in the operator's configuration. */
#include "deployment.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

int
pps_deployment_new(pps_deployment_t **out)
{
    pps_deployment_t *deployment = calloc(1, sizeof(*deployment));

    if (deployment == NULL) {
        return PPS_ENOMEM;
    }
    deployment->refs = 1;
    *out = deployment;
    return PPS_OK;
}

pps_deployment_t *
pps_deployment_ref(pps_deployment_t *deployment)
{
    deployment->refs++;
    return deployment;
}

static void
free_route(pps_route_t *route)
{
    free(route->name);
    free(route->host);
    free(route->prefix);
    free(route->targets);
    pps_homes_clear(&route->homes);
    for (size_t i = 0; i < route->model_count; i++) {
        free(route->models[i]);
    }
}

static void
free_upstream(pps_upstream_t *upstream)
{
    free(upstream->name);
    for (size_t i = 0; i < upstream->model_count; i++) {
        free(upstream->models[i].name);
    }
}

void
pps_deployment_unref(pps_deployment_t *deployment)
{
    if (deployment == NULL || --deployment->refs > 0) {
        return;
    }
    for (size_t i = 0; i < deployment->route_count; i++) {
        free_route(&deployment->routes[i]);
    }
    for (size_t i = 0; i < deployment->upstream_count; i++) {
        free_upstream(&deployment->upstreams[i]);
    }
    for (size_t i = 0; i < deployment->workspace_count; i++) {
        free(deployment->workspaces[i].name);
        pps_homes_clear(&deployment->workspaces[i].homes);
    }
    for (size_t i = 0; i < deployment->key_count; i++) {
        free(deployment->keys[i].key);
    }
    free(deployment->routes);
    free(deployment->upstreams);
    free(deployment->workspaces);
    free(deployment->keys);
    free(deployment);
}

static int
compare_keys(const void *left, const void *right)
{
    const pps_workspace_key_t *a = left;
    const pps_workspace_key_t *b = right;

    return strcmp(a->key, b->key);
}

/* Orders routes by host, then by descending length of the prefix. */
static int
compare_routes(const void *left, const void *right)
{
    const pps_route_t *a = left;
    const pps_route_t *b = right;
    int order = strcmp(a->host, b->host);
    size_t a_size = strlen(a->prefix);
    size_t b_size = strlen(b->prefix);

    if (order != 0) {
        return order;
    }
    return (a_size < b_size) - (a_size > b_size);
}

static int
compare_numbers(int64_t left, int64_t right)
{
    return (left > right) - (left < right);
}

/* Orders routes by what their requests have in common. */
static int
compare_classes(const pps_route_t *left, const pps_route_t *right)
{
    const int64_t differences[] = {
        compare_numbers(left->kind, right->kind),
        compare_numbers(left->target_us, right->target_us),
        compare_numbers(left->gap_us, right->gap_us),
        compare_numbers(left->priority, right->priority),
    };

    for (size_t i = 0; i < sizeof(differences) / sizeof(*differences); i++) {
        if (differences[i] != 0) {
            return (int)differences[i];
        }
    }
    return 0;
}

/* Returns whether no route before this one has its class. */
static int
is_first_of_class(const pps_deployment_t *deployment, size_t route)
{
    for (size_t i = 0; i < route; i++) {
        if (compare_classes(&deployment->routes[i],
                            &deployment->routes[route]) == 0) {
            return 0;
        }
    }
    return 1;
}

/* Numbers the classes in their order, so that a route that is added or removed
 * changes no number unless its class comes or goes. */
static void
number_classes(pps_deployment_t *deployment)
{
    for (size_t i = 0; i < deployment->route_count; i++) {
        if (!is_first_of_class(deployment, i)) {
            continue;
        }
        for (size_t k = 0; k < deployment->route_count; k++) {
            deployment->routes[k].class_index +=
                compare_classes(&deployment->routes[i],
                                &deployment->routes[k]) < 0;
        }
    }
}

void
pps_deployment_sort(pps_deployment_t *deployment)
{
    if (deployment->key_count > 0) {
        qsort(deployment->keys, deployment->key_count,
              sizeof(deployment->keys[0]), compare_keys);
    }
    if (deployment->route_count > 0) {
        qsort(deployment->routes, deployment->route_count,
              sizeof(deployment->routes[0]), compare_routes);
    }
    number_classes(deployment);
}

/* Returns the index of the first route whose host is not less than `host`. */
static size_t
first_route(const pps_deployment_t *deployment, const char *host)
{
    size_t low = 0;
    size_t high = deployment->route_count;

    while (low < high) {
        size_t middle = (low + high) / 2;

        if (strcmp(deployment->routes[middle].host, host) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

const pps_route_t *
pps_deployment_find_route(const pps_deployment_t *deployment, const char *host,
                          const char *path)
{
    for (size_t i = first_route(deployment, host); i < deployment->route_count;
         i++) {
        const pps_route_t *route = &deployment->routes[i];

        if (strcmp(route->host, host) != 0) {
            break;
        }
        if (strncmp(path, route->prefix, strlen(route->prefix)) == 0) {
            return route;
        }
    }
    return NULL;
}

const pps_workspace_t *
pps_deployment_find_workspace(const pps_deployment_t *deployment,
                              const char *key)
{
    pps_workspace_key_t wanted = {.key = (char *)key};
    const pps_workspace_key_t *found;

    if (deployment->key_count == 0) {
        return NULL;
    }
    found = bsearch(&wanted, deployment->keys, deployment->key_count,
                    sizeof(deployment->keys[0]), compare_keys);
    return found ? &deployment->workspaces[found->workspace] : NULL;
}

int
pps_deployment_find_upstream(unsigned int *out,
                             const pps_deployment_t *deployment,
                             const char *name)
{
    for (size_t i = 0; i < deployment->upstream_count; i++) {
        if (strcmp(deployment->upstreams[i].name, name) == 0) {
            *out = (unsigned int)i;
            return PPS_OK;
        }
    }
    return PPS_ENOTFOUND;
}

double
pps_upstream_model_cost(const pps_upstream_t *upstream, const char *model)
{
    for (size_t i = 0; i < upstream->model_count; i++) {
        if (strcmp(upstream->models[i].name, model) == 0) {
            return upstream->models[i].cost;
        }
    }
    return 0;
}

unsigned int
pps_route_choose_upstream(const pps_route_t *route, uint64_t digest)
{
    uint64_t sum = 0;
    uint64_t offset;

    for (size_t i = 0; i < route->target_count; i++) {
        sum += route->targets[i].weight;
    }
    if (sum == 0) {
        return route->targets[0].upstream;
    }
    offset = digest % sum;
    for (size_t i = 0; i < route->target_count; i++) {
        if (offset < route->targets[i].weight) {
            return route->targets[i].upstream;
        }
        offset -= route->targets[i].weight;
    }
    return route->targets[0].upstream;
}
