/** @file hosts_fixture.c @brief Several hosts before the same workers. */
#include "hosts_fixture.h"

#include "exchange/path_watch.h"
#include "steady_clock.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#define REFUSED_ADDRESS "127.0.0.1:1"
/** Connections that fill the queue of a listener with a backlog of 0. */
#define FILLING_CONNECTIONS 4

/* Listens at an address whose queue of connections is full, so that further
 * ones are not answered. */
static void
start_unanswering(char *address)
{
    struct sockaddr_in endpoint = {.sin_family = AF_INET};
    socklen_t size = sizeof(endpoint);
    int listener = socket(AF_INET, SOCK_STREAM, 0);

    endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    cr_assert_eq(bind(listener, (struct sockaddr *)&endpoint, size), 0);
    cr_assert_eq(listen(listener, 0), 0);
    cr_assert_eq(getsockname(listener, (struct sockaddr *)&endpoint, &size),
                 0);
    for (int i = 0; i < FILLING_CONNECTIONS; i++) {
        int filling = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

        connect(filling, (struct sockaddr *)&endpoint, size);
    }
    snprintf(address, NET_ADDRESS_BYTES, "127.0.0.1:%u",
             ntohs(endpoint.sin_port));
}

static int
knows_host(void *user, const char *address)
{
    const hosts_t *hosts = ((fixture_host_t *)user)->all;

    for (unsigned int i = 0; i < hosts->host_count; i++) {
        if (strcmp(hosts->hosts[i].address, address) == 0) {
            return 1;
        }
    }
    return 0;
}

/* Lists the other hosts that say that they reach workers. */
static size_t
list_neighbours(void *user, const pps_neighbour_filter_t *filter,
                char (*out)[PPS_NEIGHBOUR_ADDRESS_BYTES], size_t max)
{
    const fixture_host_t *host = user;
    const hosts_t *hosts = host->all;
    size_t count = 0;

    for (unsigned int i = 0; i < hosts->host_count; i++) {
        const fixture_host_t *other = &hosts->hosts[i];

        if (other != host && count < max &&
            pps_path_watch_takes_relays(&other->dispatcher) &&
            pps_neighbour_filter_accepts(
                filter, other->dispatcher.options.failure_domain)) {
            snprintf(out[count++], PPS_NEIGHBOUR_ADDRESS_BYTES, "%s",
                     other->relay);
        }
    }
    return count;
}

/* Gives a host an address of its own, by which the others know it. */
static void
start_relays(hosts_t *hosts, unsigned int index)
{
    fixture_host_t *host = &hosts->hosts[index];

    host->all = hosts;
    snprintf(host->address, sizeof(host->address), "127.0.1.%u", index + 1);
    host->dispatcher.options.local_address = host->address;
    host->relay_desk = (pps_relay_desk_t){&host->dispatcher, knows_host, host};
    host->dispatcher.neighbours.list = list_neighbours;
    host->dispatcher.neighbours.user = host;
    cr_assert_eq(pps_relay_server_new(&host->relays, &hosts->reactor,
                                      host->address, 0, host->address,
                                      &pps_relay_desk_ops, &host->relay_desk),
                 0);
    snprintf(host->relay, sizeof(host->relay), "%s:%u", host->address,
             pps_relay_server_port(host->relays));
}

void
hosts_start(hosts_t *hosts, unsigned int count, const net_answer_t *script,
            size_t script_size)
{
    memset(hosts, 0, sizeof(*hosts));
    hosts->host_count = count;
    steady_clock_init_reactor(&hosts->reactor);
    start_unanswering(hosts->unanswered);
    for (int i = 0; i < HOSTS_WORKERS; i++) {
        net_server_start(&hosts->workers[i], &hosts->reactor, script,
                         script_size);
    }
    for (unsigned int i = 0; i < count; i++) {
        fixture_start_host(&hosts->hosts[i].dispatcher,
                           &hosts->hosts[i].callers, &hosts->reactor);
        start_relays(hosts, i);
        hosts_set_paths(hosts, i, PATH_SOUND, 0, HOSTS_WORKERS - 1);
    }
}

static const char *
address_of(const hosts_t *hosts, path_t path, unsigned int worker)
{
    switch (path) {
    case PATH_UNANSWERED:
        return hosts->unanswered;
    case PATH_REFUSED:
        return REFUSED_ADDRESS;
    case PATH_SOUND:
        break;
    }
    return hosts->workers[worker].address;
}

void
hosts_set_paths(hosts_t *hosts, unsigned int host, path_t path,
                unsigned int first, unsigned int last)
{
    pps_pool_t *pool = hosts->hosts[host].dispatcher.pool;

    for (unsigned int i = first; i <= last; i++) {
        char id[PPS_WORKER_TEXT_BYTES];
        pps_pool_worker_t *worker;

        snprintf(id, sizeof(id), "w%u", i);
        worker = pps_pool_lookup(pool, id);
        if (worker == NULL) {
            pps_worker_info_t info = {.upstream = "s",
                                      .failure_domain = "z",
                                      .version = "v1",
                                      .slots = 8};

            snprintf(info.id, sizeof(info.id), "%s", id);
            cr_assert_eq(pps_pool_put(pool, &info), 1);
            worker = pps_pool_lookup(pool, id);
        }
        snprintf(worker->info.address, sizeof(worker->info.address), "%s",
                 address_of(hosts, path, i));
    }
}

void
hosts_mark_paths(hosts_t *hosts, unsigned int host, int is_lost)
{
    pps_pool_worker_t *worker;

    cds_list_for_each_entry (
        worker, pps_pool_workers(hosts->hosts[host].dispatcher.pool), node) {
        pps_pool_set_path_lost(worker, is_lost);
    }
}

void
hosts_request(hosts_t *hosts, unsigned int host, net_client_t *client,
              const char *path)
{
    fixture_request_host(&hosts->reactor, hosts->hosts[host].callers, client,
                         path, "");
}

size_t
hosts_count_requests(const hosts_t *hosts)
{
    size_t sum = 0;

    for (int i = 0; i < HOSTS_WORKERS; i++) {
        sum += hosts->workers[i].requests;
    }
    return sum;
}
