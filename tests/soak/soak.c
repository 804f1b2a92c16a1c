/** @file soak.c @brief Runs a soak of one seed and tells what it found. */
#include "soak.h"

#include "clock.h"
#include "logger.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define START_US (1500 * PPS_US_PER_MS)
#define FAULTS_US (7 * PPS_US_PER_S)
#define CALM_US (9 * PPS_US_PER_S)
#define FAULT_EVERY_US (350 * PPS_US_PER_MS)
#define REQUEST_EVERY_US (15 * PPS_US_PER_MS)
#define BEAT_EVERY_US (400 * PPS_US_PER_MS)
/** Share of the requests of the calm end that must be served. */
#define SERVED_MIN 0.95
#define HOSTS_DEFAULT 4

static pps_timer_t fault_timer;
static pps_timer_t request_timer;
static pps_timer_t beat_timer;
static pps_timer_t phase_timer;

void
soak_broken(soak_t *soak, const char *what, const char *id)
{
    soak->broken_promises++;
    printf("seed %llu: BROKEN: %s (%s)\n", (unsigned long long)soak->seed,
           what, id);
}

request_t *
soak_request(soak_t *soak, const char *id)
{
    pps_table_item_t *item = pps_table_find(&soak->requests, id, strlen(id));

    return item ? caa_container_of(item, request_t, item) : NULL;
}

void
soak_configure(soak_t *soak)
{
    char text[2048];

    soak->revision += 1 + (int64_t)pps_rng_below(&soak->rng, 3);
    snprintf(
        text, sizeof(text),
        "{\"version\":%lld,\"services\":[{\"name\":\"pool\"}],\"routes\":["
        "{\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/safe/\",\"kind\":"
        "\"safe\",\"service\":\"pool\",\"max_attempts\":3,\"timeout_ms\":2000,"
        "\"target_latency_ms\":300},"
        "{\"name\":\"b\",\"host\":\"h\",\"path_prefix\":\"/once/\",\"kind\":"
        "\"non_idempotent\",\"service\":\"pool\",\"max_attempts\":1,"
        "\"timeout_ms\":2000,\"target_latency_ms\":300},"
        "{\"name\":\"c\",\"host\":\"h\",\"path_prefix\":\"/stream/\","
        "\"kind\":\"streaming\",\"service\":\"pool\",\"max_attempts\":3,"
        "\"timeout_ms\":2000,\"target_latency_ms\":300,\"gap_aim_ms\":300,"
        "\"stream_resume\":true}],"
        "\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":65536,"
        "\"header_timeout_ms\":2000,\"idle_timeout_ms\":5000},"
        "\"tenants\":[{\"name\":\"team\",\"api_keys\":[\"key1\"%s]}]}",
        (long long)soak->revision, soak->key_gone_us == 0 ? ",\"key2\"" : "");
    store_put(&soak->store, "keyed.op", "config", text);
}

static void
on_request_timer(int64_t now_us, void *user)
{
    client_send(user);
}

static void
on_beat(int64_t now_us, void *user)
{
    soak_t *soak = user;

    host_reap(soak);
    for (int i = 0; i < SOAK_WORKERS; i++) {
        if (soak->workers[i].listed) {
            worker_beat(&soak->workers[i], "ready");
        }
    }
}

static void
on_fault(int64_t now_us, void *user)
{
    fault_inject(user);
}

static void
on_over(int64_t now_us, void *user)
{
    pps_reactor_stop(&((soak_t *)user)->reactor);
}

static void
on_calm(int64_t now_us, void *user)
{
    soak_t *soak = user;

    pps_timers_cancel(&fault_timer);
    fault_end_all(soak);
    soak->calm = 1;
    pps_reactor_after(&soak->reactor, &phase_timer, CALM_US, on_over, soak);
}

static void
on_started(int64_t now_us, void *user)
{
    soak_t *soak = user;

    pps_reactor_every(&soak->reactor, &request_timer, REQUEST_EVERY_US,
                      on_request_timer, soak);
    pps_reactor_every(&soak->reactor, &fault_timer, FAULT_EVERY_US, on_fault,
                      soak);
    pps_reactor_after(&soak->reactor, &phase_timer, FAULTS_US, on_calm, soak);
}

static void
write_settings(soak_t *soak, int index)
{
    host_t *host = &soak->host[index];
    FILE *file;

    /* By process, so that the same seed can run twice on one machine. */
    snprintf(host->address, sizeof(host->address), "127.%u.%u.%d",
             1 + (unsigned int)getpid() % 200,
             (unsigned int)getpid() / 200 % 250, index + 1);
    snprintf(host->settings, sizeof(host->settings), "%s/host%d.ini",
             soak->folder, index);
    file = fopen(host->settings, "w");
    if (file == NULL) {
        abort();
    }
    fprintf(file,
            "[host]\nid = host-%02d\naddress = %s\nfailure_domain = z%d\n"
            "grace_s = 3\n[listen]\ncallers = %s:%u\nreadiness = %s:%u\n"
            "peers = %s:%u\n[peers]\nseeds = %s:1\ngossip_port = %u\n"
            "[store]\naddress = %s\n[repeats]\nratio = 2\nmore = 1000\n",
            index, host->address, index % 2, host->address, soak->callers_port,
            host->address, soak->callers_port + 1, host->address,
            soak->callers_port + 2, soak->host[0].address, soak->gossip_port,
            soak->store_proxy.address);
    fclose(file);
}

static void
prepare(soak_t *soak)
{
    char target[SOAK_TEXT];

    snprintf(soak->folder, sizeof(soak->folder), "/tmp/soak-%d-%llu",
             (int)getpid(), (unsigned long long)soak->seed);
    mkdir(soak->folder, 0755);
    soak->callers_port = 20000;
    soak->gossip_port = 20003;
    store_start(&soak->store, &soak->reactor);
    snprintf(target, sizeof(target), "127.0.0.1:%u",
             pps_http_server_port(soak->store.server));
    proxy_start(&soak->store_proxy, &soak->reactor, target);
    for (int i = 0; i < SOAK_WORKERS; i++) {
        worker_start(&soak->workers[i], soak, i);
        worker_beat(&soak->workers[i], "ready");
    }
    soak_configure(soak);
    for (int i = 0; i < soak->hosts; i++) {
        write_settings(soak, i);
        host_start(soak, i);
    }
}

static void
stop_hosts(soak_t *soak)
{
    for (int i = 0; i < soak->hosts; i++) {
        if (soak->host[i].pid != 0) {
            kill(soak->host[i].pid, SIGKILL);
            waitpid(soak->host[i].pid, NULL, 0);
        }
    }
}

int
main(int argc, char **argv)
{
    static soak_t soak;
    double share;

    if (argc < 3) {
        fprintf(stderr, "usage: soak PROGRAM SEED [HOSTS]\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    setvbuf(stdout, NULL, _IOLBF, 0);
    pps_logger_setup(PPS_LOG_JSON, PPS_LOG_ERROR, "soak");
    soak.program = argv[1];
    soak.seed = strtoull(argv[2], NULL, 10);
    soak.hosts = argc > 3 ? atoi(argv[3]) : HOSTS_DEFAULT;
    pps_rng_init(&soak.rng, soak.seed);
    if (soak.hosts < 1 || soak.hosts > SOAK_HOSTS_MAX ||
        pps_reactor_init(&soak.reactor) != 0) {
        return 2;
    }
    prepare(&soak);
    pps_reactor_every(&soak.reactor, &beat_timer, BEAT_EVERY_US, on_beat,
                      &soak);
    pps_reactor_after(&soak.reactor, &phase_timer, START_US, on_started,
                      &soak);
    pps_reactor_run(&soak.reactor);
    stop_hosts(&soak);
    share = soak.sent_calm > 0 ? (double)soak.served_calm / soak.sent_calm : 0;
    if (share < SERVED_MIN) {
        soak_broken(&soak, "too little is served when all is calm again", "");
    }
    printf("seed %llu: sent %u, served %u, refused %u, failed %u; at the calm "
           "end %u of %u; %u broken; logs in %s\n",
           (unsigned long long)soak.seed, soak.sent, soak.served, soak.refused,
           soak.failed, soak.served_calm, soak.sent_calm, soak.broken_promises,
           soak.folder);
    return soak.broken_promises > 0;
}
