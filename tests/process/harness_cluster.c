/** @file harness_cluster.c @brief Starts a system and publishes notes. */
#include "harness_cluster.h"

#include "clock.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POLL_US (30 * PPS_US_PER_MS)
#define TEXT_BYTES 2048
#define COMMAND_TIMEOUT_MS 40000

static const char *const domains[] = {"a", "b", "c", "d"};

static const char *const first_note =
    "[upstream drafting]\nkind = engine\n"
    "[upstream registry]\nkind = service\n%s"
    "[version drafting/small-1]\nupstream = drafting\ncost = 0.2\n"
    "quality = 0.70\n"
    "[version drafting/large-1]\nupstream = drafting\ncost = 1.5\n"
    "quality = 0.95\n"
    "[workspace ministry]\nkey_hash = %s\nquality_target = 0.9\n"
    "allow = drafting/small-1, drafting/large-1\nservices = registry\n"
    "[workspace office]\nkey_hash = %s\nquality_target = 0.6\n"
    "allow = drafting/small-1, drafting/large-1\nservices = registry\n";

static int
start_platform(cluster_t *cluster)
{
    const char *args[8] = {NULL};

    for (int i = 0; i < 6 && cluster->options.platform_args[i] != NULL; i++) {
        args[i] = cluster->options.platform_args[i];
    }
    return harness_start_server(cluster->harness, &cluster->platform,
                                "standin-platform", args);
}

static int
start_engine(cluster_t *cluster, int index)
{
    char id[16];
    const char *const args[] = {
        "--id",
        id,
        "--upstream",
        "drafting",
        "--versions",
        "drafting/small-1,drafting/large-1,drafting/small-2",
        "--token-us",
        cluster->options.token_us,
        "--failure-domain",
        domains[index % 4],
        NULL};

    snprintf(id, sizeof(id), "d%d", index);
    return harness_start_server(cluster->harness, &cluster->engines[index],
                                "standin-engine", args);
}

static int
start_service(cluster_t *cluster, int index)
{
    char id[16];
    const char *const args[] = {
        "--id",
        id,
        "--upstream",
        "registry",
        "--failure-domain",
        domains[index % 4],
        cluster->options.checks_fencing ? "--checks-fencing" : NULL,
        NULL};

    snprintf(id, sizeof(id), "o%d", index);
    return harness_start_server(cluster->harness, &cluster->services[index],
                                "standin-service", args);
}

void
cluster_partition(cluster_t *cluster, int router, int other,
                  forwarder_mode_t mode)
{
    forwarder_set_host_mode(cluster->peer_forwarders[router], other, mode);
    forwarder_set_host_mode(cluster->peer_forwarders[other], router, mode);
}

void
cluster_isolate(cluster_t *cluster, int router, forwarder_mode_t mode)
{
    forwarder_set_mode(cluster->platform_forwarders[router], mode);
    for (int i = 0; i < cluster->options.routers; i++) {
        if (i != router) {
            cluster_partition(cluster, router, i, mode);
        }
    }
}

static int
start_forwarders(cluster_t *cluster, int index)
{
    if (!cluster->options.has_forwarders ||
        cluster->platform_forwarders[index] != NULL) {
        return 0;
    }
    if (forwarder_new(&cluster->platform_forwarders[index],
                      cluster->platform->port) < 0 ||
        forwarder_new(&cluster->peer_forwarders[index], 0) < 0) {
        return -1;
    }
    cluster->listed_peer_port[index] =
        forwarder_port(cluster->peer_forwarders[index]);
    return 0;
}

static int
platform_port(const cluster_t *cluster, int index)
{
    return cluster->platform_forwarders[index]
               ? forwarder_port(cluster->platform_forwarders[index])
               : cluster->platform->port;
}

static int
wait_router(cluster_t *cluster, int index)
{
    harness_process_t *router = cluster->routers[index];
    int error = harness_wait_ports(router, CLUSTER_WAIT_MS);

    if (error == 0 && cluster->peer_forwarders[index] != NULL) {
        forwarder_set_target(cluster->peer_forwarders[index],
                             router->peer_port);
    }
    return error;
}

int
cluster_start_router(cluster_t *cluster, int index)
{
    char settings[TEXT_BYTES];
    char name[32];
    char port_name[32];
    char port_path[HARNESS_PATH_MAX];
    char path[HARNESS_PATH_MAX];
    const char *const args[] = {"--settings", path, NULL};

    if (start_forwarders(cluster, index) < 0) {
        return -1;
    }
    cluster->router_start_count[index]++;
    snprintf(name, sizeof(name), "e%d.ini", index);
    snprintf(port_name, sizeof(port_name), "e%d-%d.port", index,
             cluster->router_start_count[index]);
    harness_path(cluster->harness, port_path, port_name);
    harness_path(cluster->harness, path, name);
    snprintf(settings, sizeof(settings),
             "[host]\nid = e%d\nfailure_domain = %s\nport_file = %s\n"
             "[platform]\nurl = http://127.0.0.1:%d\n[peers]\nkey = %064d\n"
             "[sessions]\ntoken_key = %064d\n%s",
             index, domains[index % 4], port_path,
             platform_port(cluster, index), 1, 2,
             cluster->options.router_settings
                 ? cluster->options.router_settings
                 : "");
    if (harness_write_file(cluster->harness, name, settings) < 0 ||
        harness_start(cluster->harness, &cluster->routers[index],
                      "papayaswitchd", port_name, args) < 0) {
        return -1;
    }
    return wait_router(cluster, index);
}

static const char *
state_name(cluster_listing_t listing)
{
    return listing == CLUSTER_LEAVING ? "leaving" : "live";
}

static json_t *
entry_json(const cluster_t *cluster, int index)
{
    const harness_process_t *router = cluster->routers[index];
    int peer_port = cluster->listed_peer_port[index]
                        ? cluster->listed_peer_port[index]
                        : router->peer_port;
    char id[16];

    snprintf(id, sizeof(id), "e%d", index);
    return json_pack("{s:s, s:s, s:i, s:i, s:i, s:s, s:s}", "id", id,
                     "address", "127.0.0.1", "http_port", router->port,
                     "peer_port", peer_port, "operator_port",
                     router->operator_port, "failure_domain",
                     domains[index % 4], "state",
                     state_name(cluster->router_listing[index]));
}

static void
add_worker(json_t *list, const char *prefix, int index, const char *upstream,
           const harness_process_t *process, cluster_listing_t listing)
{
    char id[16];

    if (process == NULL || listing == CLUSTER_UNLISTED) {
        return;
    }
    snprintf(id, sizeof(id), "%s%d", prefix, index);
    json_array_append_new(
        list, json_pack("{s:s, s:s, s:s, s:i, s:s, s:s}", "id", id, "upstream",
                        upstream, "address", "127.0.0.1", "port",
                        process->port, "failure_domain", domains[index % 4],
                        "state", state_name(listing)));
}

int
cluster_put_hosts(cluster_t *cluster)
{
    json_t *entries = json_array();
    json_t *workers = json_array();

    for (int i = 0; i < CLUSTER_ROUTERS_MAX; i++) {
        if (cluster->routers[i] != NULL &&
            cluster->router_listing[i] != CLUSTER_UNLISTED) {
            json_array_append_new(entries, entry_json(cluster, i));
        }
    }
    for (int i = 0; i < CLUSTER_WORKERS_MAX; i++) {
        add_worker(workers, "d", i, "drafting", cluster->engines[i],
                   cluster->engine_listing[i]);
        add_worker(workers, "o", i, "registry", cluster->services[i],
                   cluster->service_listing[i]);
    }
    return harness_status("PUT", cluster->platform->port, "/hosts",
                          json_pack("{s:o, s:o}", "entries", entries,
                                    "workers", workers)) == 200
               ? 0
               : -1;
}

void
cluster_hash_key(char out[65], const char *key)
{
    unsigned char hash[32];

    crypto_generichash(hash, sizeof(hash), (const unsigned char *)key,
                       strlen(key), NULL, 0);
    sodium_bin2hex(out, 65, hash, sizeof(hash));
}

static int
publish_first(cluster_t *cluster)
{
    char ministry[65];
    char office[65];
    char body[TEXT_BYTES];

    cluster_hash_key(ministry, "ministry-key");
    cluster_hash_key(office, "office-key");
    snprintf(body, sizeof(body), first_note,
             cluster->options.checks_fencing ? "checks_fencing = yes\n" : "",
             ministry, office);
    return cluster_publish(cluster, "first", body, "in_force");
}

static int
knows_workers(cluster_t *cluster, void *user)
{
    const int *router = user;
    json_t *status = cluster_status(cluster, *router);
    size_t known = json_array_size(json_object_get(status, "workers"));

    json_decref(status);
    return known ==
           (size_t)(cluster->options.engines + cluster->options.services);
}

static int
start_all(cluster_t *cluster)
{
    int error = start_platform(cluster) < 0 ? -1 : 0;

    for (int i = 0; i < cluster->options.engines && error == 0; i++) {
        error = start_engine(cluster, i) < 0 ? -1 : 0;
    }
    for (int i = 0; i < cluster->options.services && error == 0; i++) {
        error = start_service(cluster, i) < 0 ? -1 : 0;
    }
    for (int i = 0; i < cluster->options.routers && error == 0; i++) {
        error = cluster_start_router(cluster, i);
    }
    if (error == 0) {
        error = cluster_put_hosts(cluster);
    }
    if (error == 0) {
        error = publish_first(cluster) == 0 ? 0 : -1;
    }
    for (int i = 0; i < cluster->options.routers && error == 0; i++) {
        error = cluster_wait_serving(cluster, i, 1) &&
                        cluster_wait(cluster, knows_workers, &i)
                    ? 0
                    : -1;
    }
    return error;
}

int
cluster_new(cluster_t **out, const cluster_options_t *options)
{
    cluster_t *cluster = calloc(1, sizeof(*cluster));

    if (cluster == NULL || sodium_init() < 0) {
        return -1;
    }
    cluster->options = *options;
    cluster->options.routers = options->routers ? options->routers : 3;
    cluster->options.engines = options->engines ? options->engines : 2;
    cluster->options.services = options->services ? options->services : 2;
    cluster->options.token_us = options->token_us ? options->token_us : "2000";
    if (harness_new(&cluster->harness) < 0 || start_all(cluster) < 0) {
        cluster_free(cluster);
        return -1;
    }
    *out = cluster;
    return 0;
}

void
cluster_free(cluster_t *cluster)
{
    if (cluster == NULL) {
        return;
    }
    harness_free(cluster->harness);
    for (int i = 0; i < CLUSTER_ROUTERS_MAX; i++) {
        forwarder_free(cluster->peer_forwarders[i]);
        forwarder_free(cluster->platform_forwarders[i]);
    }
    free(cluster);
}

int
cluster_publish_begin(cluster_t *cluster, harness_process_t **out,
                      const char *id, int base, const char *body,
                      const char *stage)
{
    char text[2 * TEXT_BYTES];
    char name[64];
    char path[HARNESS_PATH_MAX];
    char platform[64];
    const char *const args[] = {
        "note",
        "publish",
        path,
        "--platform",
        platform,
        "--timeout",
        cluster->publish_timeout_s ? cluster->publish_timeout_s : "20",
        stage ? "--wait" : NULL,
        stage,
        NULL};

    snprintf(name, sizeof(name), "%s.note", id);
    snprintf(text, sizeof(text), "[note]\nid = %s\nbase = %d\n%s", id, base,
             body);
    snprintf(platform, sizeof(platform), "http://127.0.0.1:%d",
             cluster->platform->port);
    harness_path(cluster->harness, path, name);
    if (harness_write_file(cluster->harness, name, text) < 0) {
        return -1;
    }
    return harness_start(cluster->harness, out, "papayaswitch", "none", args);
}

int
cluster_publish_at(cluster_t *cluster, const char *id, int base,
                   const char *body, const char *stage)
{
    if (cluster_publish_begin(cluster, &cluster->last_command, id, base, body,
                              stage) < 0) {
        return -1;
    }
    return harness_wait(cluster->last_command, COMMAND_TIMEOUT_MS);
}

int
cluster_publish(cluster_t *cluster, const char *id, const char *body,
                const char *stage)
{
    return cluster_publish_at(cluster, id, cluster->notes++, body, stage);
}

int
cluster_wait(cluster_t *cluster, int (*condition)(cluster_t *, void *),
             void *user)
{
    int64_t deadline = pps_clock_now_us() + CLUSTER_WAIT_MS * PPS_US_PER_MS;

    do {
        if (condition(cluster, user)) {
            return 1;
        }
        pps_clock_sleep_us(POLL_US);
    } while (pps_clock_now_us() < deadline);
    return 0;
}
