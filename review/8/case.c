/** @file case.c @brief A bad version of a third service, after roll-outs of two
 * others.
 *
 * Two hosts, three services. The callers of the first host ask for one route
 * of the third service, those of the second host for the other one, on which
 * the new version fails. The second host sees that and holds the roll-out.
 */
#include "../standins-2/stand.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SERVICES 3
#define KEY "n2ctnfzs989anu6wsjnb"
#define DURATION_S 24
/* Bounds of the page. */
#define ROLLBACK_MS 5000
#define EXPOSE_SHARE 0.15
#define EXPOSE_SLACK 30
#define BAD_ANSWERS 50
/* Requests that may cross the bound on their way. */
#define AFTER_DURATION_MS 9000

typedef struct {
    int64_t sent_us;
    int is_of_last;    /* to the third service */
    int is_at_target;  /* reached a worker of its new version */
} call_t;

typedef struct {
    int host;
    const char *path;
    int per_s;
    int delay_ms; /* before the first request */
} caller_t;

static const char *const names[SERVICES] = {"huvo11a", "wuno96b", "kaba98a"};
static call_t *calls;
static volatile int call_count;
static volatile int has_finished;
static volatile int bad_answers;
static volatile int64_t bad_limit_us; /* when the 50th bad answer was given */
static volatile int64_t ordered_us[SERVICES];
static int is_stopped[STAND_WORKERS_MAX * 4];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static int
serve(stand_worker_t *worker, int fd, const stand_request_t *request)
{
    int index = (int)(worker - stand.workers);
    int is_target = strcmp(worker->version, "v2") == 0;
    int is_bad_route = strncmp(request->target, "/route-b/", 9) == 0;
    int is_bad = 0;
    char id[STAND_TEXT];
    char head[512];

    stand_header(request->head, "X-Request-Id", id, sizeof(id));
    if (is_stopped[index]) {
        return 0;
    }
    pthread_mutex_lock(&lock);
    if (is_target && strcmp(worker->service, names[2]) == 0) {
        calls[atoi(id + 1)].is_at_target = 1;
        if (is_bad_route) {
            static int turn;

            is_bad = turn++ % 2 == 0;
            bad_answers += is_bad;
            if (is_bad && bad_answers == BAD_ANSWERS) {
                bad_limit_us = stand_now_us();
            }
        }
    }
    pthread_mutex_unlock(&lock);
    if (strcmp(worker->service, names[2]) == 0) {
        stand_record("%s (%s) runs %s%s", worker->id, worker->version, id,
                     is_bad ? ", badly" : "");
    }
    stand_sleep_ms(15);
    if (is_stopped[index]) {
        return 0;
    }
    snprintf(head, sizeof(head),
             "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Response-Seal: %s.%s\r\n"
             "X-Server-Load: 1,0,6\r\nContent-Length: 5\r\n\r\ndone\n",
             is_bad ? "500 Internal Server Error" : "200 OK", id, worker->id,
             id);
    return stand_write(fd, head, strlen(head));
}

static void *
send_calls(void *user)
{
    const caller_t *caller = user;
    int channel = -1;

    stand_sleep_ms(caller->delay_ms);
    while (!has_finished) {
        stand_answer_t answer;
        char id[STAND_TEXT];
        int number;
        stand_call_t call = {.method = "POST",
                             .name = "ficu95.example",
                             .path = caller->path,
                             .id = id,
                             .key = KEY,
                             .deadline_ms = 1500,
                             .body = "one tin",
                             .body_size = 7};

        if (channel < 0) {
            channel = stand_open(caller->host);
        }
        pthread_mutex_lock(&lock);
        number = call_count++;
        calls[number].is_of_last = strstr(caller->path, "/route-") != NULL;
        calls[number].sent_us = stand_now_us();
        pthread_mutex_unlock(&lock);
        snprintf(id, sizeof(id), "r%d", number);
        if (channel >= 0) {
            stand_call_on(&answer, channel, &call);
            if (calls[number].is_of_last || answer.status != 200) {
                stand_record("%s to %s at host %d, answered %d", id,
                             caller->path, caller->host + 1, answer.status);
            }
            if (answer.status == 0 ||
                strstr(answer.head, "Connection: close") != NULL) {
                close(channel);
                channel = -1;
            }
        }
        stand_sleep_ms(1000 / caller->per_s);
    }
    return NULL;
}

static void
put_config(void)
{
    char text[4096];
    size_t size;

    size = (size_t)snprintf(text, sizeof(text), "{\"version\":7,\"routes\":[");
    for (int i = 0; i < 4; i++) {
        static const char *const prefixes[] = {"/first/", "/second/",
                                               "/route-a/", "/route-b/"};
        int service = i < 2 ? i : 2;

        size += (size_t)snprintf(
            text + size, sizeof(text) - size,
            "%s{\"name\":\"r-%d\",\"host\":\"ficu95.example\","
            "\"path_prefix\":\"%s\",\"kind\":\"non_idempotent\","
            "\"timeout_ms\":1500,\"target_latency_ms\":100,\"priority\":%d,"
            "\"service\":\"%s\",\"max_attempts\":2,\"allow_anonymous\":false}",
            i > 0 ? "," : "", i, prefixes[i], i, names[service]);
    }
    size += (size_t)snprintf(text + size, sizeof(text) - size,
                             "],\"services\":[");
    for (int i = 0; i < SERVICES; i++) {
        size += (size_t)snprintf(
            text + size, sizeof(text) - size,
            "%s{\"name\":\"%s\",\"health_path\":\"/healthz\","
            "\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}",
            i > 0 ? "," : "", names[i]);
    }
    snprintf(text + size, sizeof(text) - size,
             "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
             "4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
             "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" KEY
             "\"],\"priority\":1}]}");
    stand_put("keyed.op", "config", text);
}

/* Orders the roll-out of a service; its new workers are listed before. */
static void
order(int service)
{
    char key[STAND_TEXT];
    char text[256];

    for (int i = 0; i < 2; i++) {
        stand_worker_t *worker =
            stand_add_worker(names[service], "zona-uno", 16, serve);

        (void)worker;
    }
    snprintf(key, sizeof(key), "rollout/%s", names[service]);
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"target\":\"v2\",\"duration_s\":%d}",
             names[service], DURATION_S);
    stand_put("keyed.op", key, text);
    ordered_us[service] = stand_now_us();
    stand_record("the store accepts %s %s", key, text);
}

/* Does what the platform does at the end of a roll-out. */
static void *
follow_statuses(void *user)
{
    int is_done[SERVICES] = {0};

    while (!has_finished) {
        for (int i = 0; i < SERVICES; i++) {
            char key[STAND_TEXT];
            char text[512];
            int is_completed;

            snprintf(key, sizeof(key), "rollout/%s", names[i]);
            if (is_done[i] ||
                !stand_get("keyed.status", key, text, sizeof(text))) {
                continue;
            }
            is_completed = strstr(text, "completed") != NULL;
            if (!is_completed && strstr(text, "rolled_back") == NULL) {
                continue;
            }
            is_done[i] = 1;
            stand_record("status/%s is %s", key, text);
            if (!is_completed) {
                stand_sleep_ms(2000);
            }
            for (int k = 0; k < stand.worker_count; k++) {
                stand_worker_t *worker = &stand.workers[k];

                if (strcmp(worker->service, names[i]) == 0 &&
                    (strcmp(worker->version, "v1") == 0) == is_completed) {
                    worker->is_listed = 0;
                    stand_put("keyed.servers", worker->id, NULL);
                    is_stopped[k] = is_completed;
                }
            }
        }
        stand_sleep_ms(50);
    }
    return NULL;
}

static void
judge(void)
{
    int64_t until_us = ordered_us[2] + (int64_t)DURATION_S * 1000000;
    int all = 0;
    int exposed = 0;
    int late = 0;
    double allowed;

    for (int i = 0; i < call_count; i++) {
        const call_t *call = &calls[i];

        if (!call->is_of_last) {
            continue;
        }
        if (call->sent_us >= ordered_us[2] && call->sent_us < until_us) {
            all++;
            exposed += call->is_at_target;
        }
        late += call->is_at_target && bad_limit_us != 0 &&
                call->sent_us > bad_limit_us + ROLLBACK_MS * 1000;
    }
    allowed = EXPOSE_SHARE * all + EXPOSE_SLACK;
    stand_record("bad answers: %d", bad_answers);
    stand_record("of %d requests in the time of the roll-out %d reached the "
                 "bad version; allowed: %.0f",
                 all, exposed, allowed);
    stand_record("requests that reached it and were sent over %d ms after "
                 "its 50th bad answer: %d",
                 ROLLBACK_MS, late);
    stand_end(exposed > allowed || late > 0);
}

int
main(int argc, char **argv)
{
    static caller_t callers[] = {
        {0, "/first/2f", 10, 0},     {1, "/first/2f", 10, 0},
        {0, "/second/2f", 10, 300},  {1, "/second/2f", 10, 300},
        {0, "/route-a/2f", 20, 600}, {0, "/route-a/2f", 20, 610},
        {0, "/route-a/2f", 20, 620}, {0, "/route-a/2f", 20, 630},
        {1, "/route-b/2f", 20, 600}, {1, "/route-b/2f", 20, 610},
        {1, "/route-a/2f", 10, 640},
    };
    pthread_t thread;

    calls = calloc(100000, sizeof(*calls));
    stand_begin(argc > 1 ? argv[1] : ".", 2, 110);
    for (int i = 0; i < SERVICES; i++) {
        stand_add_worker(names[i], "zona-uno", 16, serve);
        stand_add_worker(names[i], "zona-uno", 16, serve);
    }
    put_config();
    for (int host = 0; host < 2; host++) {
        stand_start_host(host);
    }
    for (int host = 0; host < 2; host++) {
        if (!stand_wait_ready(host, 10000)) {
            stand_end(2);
        }
    }
    stand_sleep_ms(3000);
    for (size_t i = 0; i < sizeof(callers) / sizeof(*callers); i++) {
        pthread_create(&thread, NULL, send_calls, &callers[i]);
    }
    pthread_create(&thread, NULL, follow_statuses, NULL);
    stand_sleep_ms(4000);
    stand_new_version("v2");
    if (stand.has_trouble) {
        order(0);
        order(1);
        stand_sleep_ms(DURATION_S * 1000 + 3000);
    }
    order(2);
    stand_sleep_ms(DURATION_S * 1000 + AFTER_DURATION_MS);
    has_finished = 1;
    stand_sleep_ms(500);
    judge();
    return 2;
}
