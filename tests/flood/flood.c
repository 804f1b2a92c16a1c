/** @file flood.c @brief Runs one form of a flood, and measures the hosts. */
#include "flood.h"

#include "../soak/soak.h"
#include "logger.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define HOSTS 2
#define BAD_WORKERS 2
#define SOUND_WORKERS 2
#define CALLERS_PORT 20010
#define START_US (1500 * PPS_US_PER_MS)
#define FLOOD_US (16 * PPS_US_PER_S)
#define SOUND_REQUESTS 120
#define SOUND_INTERVAL_US (100 * PPS_US_PER_MS)
#define HEARTBEAT_US (400 * PPS_US_PER_MS)
#define SMALL_BODY_BYTES 4
#define SMALL_ANSWER_BYTES 2
#define BAD_KEY "Authorization: Token bad\r\n"
#define SOUND_KEY "Authorization: Token sound\r\n"
#define SLOW_BEHIND_BYTES (16U << 10)
#define SLOW_PAUSE_US (6 * PPS_US_PER_S)
#define FILES_MAX 20000
#define KIB_PER_MIB 1024.0
#define EXIT_USAGE 2

typedef struct {
    pid_t pid;
    char address[FLOOD_ADDRESS_BYTES];
    char callers[FLOOD_ADDRESS_BYTES + 8];
    char settings_path[FLOOD_ADDRESS_BYTES + 32];
} flood_host_t;

static struct {
    pps_reactor_t reactor;
    const char *program;
    const flood_form_t *form;
    size_t requests;
    const char *memory_mb; /* setting of the hosts; NULL: not set */
    char folder[FLOOD_ADDRESS_BYTES];
    store_t store;
    flood_host_t hosts[HOSTS];
    flood_worker_t workers[BAD_WORKERS + SOUND_WORKERS];
    flood_counts_t bad;
    flood_counts_t sound;
    pps_timer_t heartbeat_timer;
    pps_timer_t sound_timer;
    pps_timer_t phase_timer;
} flood;

static const char config[] =
    "{\"version\":1,\"services\":[{\"name\":\"bad\"},{\"name\":\"sound\"}],"
    "\"routes\":["
    "{\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/once/\",\"kind\":"
    "\"non_idempotent\",\"service\":\"bad\",\"max_attempts\":1,"
    "\"timeout_ms\":25000,\"target_latency_ms\":5000},"
    "{\"name\":\"b\",\"host\":\"h\",\"path_prefix\":\"/stream/\",\"kind\":"
    "\"streaming\",\"service\":\"bad\",\"max_attempts\":1,"
    "\"timeout_ms\":25000,\"target_latency_ms\":5000,\"gap_aim_ms\":9000},"
    "{\"name\":\"c\",\"host\":\"h\",\"path_prefix\":\"/sound/\",\"kind\":"
    "\"non_idempotent\",\"service\":\"sound\",\"max_attempts\":1,"
    "\"timeout_ms\":5000,\"target_latency_ms\":1000}],"
    "\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":1048576,"
    "\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"bad\",\"api_keys\":[\"bad\"]},"
    "{\"name\":\"sound\",\"api_keys\":[\"sound\"]}]}";

static void
write_entries(void)
{
    static unsigned int sequence;
    char text[512];

    sequence++;
    for (int i = 0; i < BAD_WORKERS + SOUND_WORKERS; i++) {
        snprintf(text, sizeof(text),
                 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z0\","
                 "\"version\":\"v1\",\"slots\":1000,\"state\":\"ready\","
                 "\"sequence\":%u,\"born\":1,\"cold_remaining_ms\":0}",
                 i < BAD_WORKERS ? "bad" : "sound", flood.workers[i].address,
                 sequence);
        store_put(&flood.store, "keyed.servers", flood.workers[i].id, text);
    }
}

static void
write_settings(flood_host_t *host, int index)
{
    FILE *file;

    snprintf(host->address, sizeof(host->address), "127.%u.%u.%d",
             1 + (unsigned int)getpid() % 200,
             (unsigned int)getpid() / 200 % 250, index + 1);
    snprintf(host->callers, sizeof(host->callers), "%s:%d", host->address,
             CALLERS_PORT);
    snprintf(host->settings_path, sizeof(host->settings_path), "%s/host%d.ini",
             flood.folder, index);
    file = fopen(host->settings_path, "w");
    if (file == NULL) {
        abort();
    }
    fprintf(file, "[host]\nid = host-%d\naddress = %s\nfailure_domain = z0\n",
            index, host->address);
    if (flood.memory_mb != NULL) {
        fprintf(file, "memory_mb = %s\n", flood.memory_mb);
    }
    fprintf(file,
            "[listen]\ncallers = %s\nreadiness = %s:%d\npeers = %s:%d\n"
            "[peers]\nseeds = %s:1\ngossip_port = %d\n[store]\n"
            "address = 127.0.0.1:%u\n",
            host->callers, host->address, CALLERS_PORT + 1, host->address,
            CALLERS_PORT + 2, flood.hosts[0].address, CALLERS_PORT + 3,
            pps_http_server_port(flood.store.server));
    fclose(file);
}

static void
start_host(flood_host_t *host, int index)
{
    char log[FLOOD_ADDRESS_BYTES + 32];

    write_settings(host, index);
    snprintf(log, sizeof(log), "%s/host%d.log", flood.folder, index);
    host->pid = fork();
    if (host->pid == 0) {
        if (freopen(log, "w", stdout) == NULL ||
            dup2(STDOUT_FILENO, STDERR_FILENO) < 0) {
            _exit(127);
        }
        execl(flood.program, flood.program, "--settings", host->settings_path,
              (char *)NULL);
        _exit(127);
    }
}

/* Returns the most memory that a process has had resident, in MiB; negative:
 * the process has ended. */
static double
peak_memory_mib(pid_t pid)
{
    char line[128];
    char path[FLOOD_ADDRESS_BYTES];
    double kib = -1;
    FILE *file;

    if (waitpid(pid, NULL, WNOHANG) == pid) {
        return -1;
    }
    snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "VmHWM:", 6) == 0) {
            kib = strtod(line + 6, NULL);
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return kib < 0 ? -1 : kib / KIB_PER_MIB;
}

static void
on_heartbeat_timer(int64_t now_us, void *user)
{
    write_entries();
}

static void
on_sound_timer(int64_t now_us, void *user)
{
    static const flood_reading_t reading = {.path = "/sound/x",
                                            .key = SOUND_KEY,
                                            .upload_bytes = SMALL_BODY_BYTES,
                                            .body_bytes = SMALL_ANSWER_BYTES};

    if (flood.sound.sent < SOUND_REQUESTS) {
        flood_caller_start(&flood.reactor,
                           flood.hosts[flood.sound.sent % HOSTS].callers,
                           &reading, &flood.sound);
    }
}

static void
on_end(int64_t now_us, void *user)
{
    pps_reactor_stop(&flood.reactor);
}

static void
on_started(int64_t now_us, void *user)
{
    static flood_reading_t reading;

    reading.path = flood.form->path;
    reading.key = flood.form->key != NULL ? flood.form->key : BAD_KEY;
    reading.upload_bytes = SMALL_BODY_BYTES;
    reading.is_held_back = flood.form->is_held_back;
    if (flood.form->kind == FLOOD_UPLOAD) {
        reading.upload_bytes = flood.form->bytes;
        reading.body_bytes = SMALL_ANSWER_BYTES;
    }
    if (flood.form->kind == FLOOD_STREAM) {
        reading.body_bytes = (size_t)FLOOD_EVENTS * FLOOD_EVENT_BYTES;
        reading.pause_behind = SLOW_BEHIND_BYTES;
        reading.pause_us = SLOW_PAUSE_US;
    }
    for (size_t i = 0; i < flood.requests; i++) {
        flood_caller_start(&flood.reactor, flood.hosts[i % HOSTS].callers,
                           &reading, &flood.bad);
    }
    pps_reactor_every(&flood.reactor, &flood.sound_timer, SOUND_INTERVAL_US,
                      on_sound_timer, NULL);
    pps_reactor_after(&flood.reactor, &flood.phase_timer, FLOOD_US, on_end,
                      NULL);
}

static void
start_all(void)
{
    char id[8];

    snprintf(flood.folder, sizeof(flood.folder), "/tmp/flood-%d",
             (int)getpid());
    mkdir(flood.folder, 0755);
    store_start(&flood.store, &flood.reactor);
    store_put(&flood.store, "keyed.op", "config", config);
    for (int i = 0; i < BAD_WORKERS + SOUND_WORKERS; i++) {
        snprintf(id, sizeof(id), "w%d", i);
        flood_worker_start(&flood.workers[i], &flood.reactor, id,
                           i < BAD_WORKERS && flood.form->kind != FLOOD_UPLOAD
                               ? flood.form
                               : NULL);
    }
    write_entries();
    for (int i = 0; i < HOSTS; i++) {
        start_host(&flood.hosts[i], i);
    }
    pps_reactor_every(&flood.reactor, &flood.heartbeat_timer, HEARTBEAT_US,
                      on_heartbeat_timer, NULL);
    pps_reactor_after(&flood.reactor, &flood.phase_timer, START_US, on_started,
                      NULL);
}

/* Prints what was seen. Returns the number of broken promises. */
static int
report(double memory_max_mib)
{
    const flood_counts_t *bad = &flood.bad;
    const flood_counts_t *sound = &flood.sound;
    double peak_mib = 0;
    int broken = 0;

    for (int i = 0; i < HOSTS; i++) {
        double mib = peak_memory_mib(flood.hosts[i].pid);

        broken += mib < 0;
        peak_mib = mib > peak_mib ? mib : peak_mib;
    }
    printf("%s: %zu requests, peak %.1f MiB, %zu served %zu refused %zu "
           "failed; of others %zu of %zu served%s\n",
           flood.form->name, bad->sent, peak_mib, bad->served, bad->refused,
           bad->failed, sound->served, sound->sent,
           broken > 0 ? "; a host has ended" : "");
    if (memory_max_mib > 0 && peak_mib > memory_max_mib) {
        printf("%s: BROKEN: more than %.1f MiB\n", flood.form->name,
               memory_max_mib);
        broken++;
    }
    if (sound->served < sound->sent) {
        printf("%s: BROKEN: sound requests were not served (%zu refused, %zu "
               "failed)\n",
               flood.form->name, sound->refused, sound->failed);
        broken++;
    }
    if (bad->false_ends > 0) {
        printf("%s: BROKEN: %zu answers look whole and are not\n",
               flood.form->name, bad->false_ends);
        broken++;
    }
    return broken;
}

static void
end_hosts(void)
{
    for (int i = 0; i < HOSTS; i++) {
        kill(flood.hosts[i].pid, SIGKILL);
        waitpid(flood.hosts[i].pid, NULL, 0);
    }
}

static void
print_forms(void)
{
    for (size_t i = 0; i < flood_form_count; i++) {
        printf("%s\n", flood_forms[i].name);
    }
}

int
main(int argc, char **argv)
{
    const struct rlimit files = {FILES_MAX, FILES_MAX};
    int broken;

    if (argc == 2 && strcmp(argv[1], "--forms") == 0) {
        print_forms();
        return 0;
    }
    for (size_t i = 0; argc > 3 && i < flood_form_count; i++) {
        if (strcmp(flood_forms[i].name, argv[2]) == 0) {
            flood.form = &flood_forms[i];
        }
    }
    if (flood.form == NULL) {
        fprintf(stderr,
                "usage: flood PROGRAM FORM REQUESTS [MEMORY_MB MAX_MIB]\n");
        return EXIT_USAGE;
    }
    signal(SIGPIPE, SIG_IGN);
    setrlimit(RLIMIT_NOFILE, &files);
    pps_logger_setup(PPS_LOG_JSON, PPS_LOG_ERROR, "flood");
    flood.program = argv[1];
    flood.requests = strtoul(argv[3], NULL, 10);
    flood.memory_mb = argc > 4 ? argv[4] : NULL;
    if (pps_reactor_init(&flood.reactor) != 0) {
        return EXIT_USAGE;
    }
    start_all();
    pps_reactor_run(&flood.reactor);
    broken = report(argc > 5 ? strtod(argv[5], NULL) : 0);
    end_hosts();
    return broken > 0;
}
