/** @file platform_feed.c @brief Polls hosts, ratings and worker load. */
#include "platform_feed.h"

#include "clock.h"
#include "counters.h"
#include "http_client.h"
#include "json_bound.h"
#include "papayaswitch/errors.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

#define LIST_PERIOD_US (500 * PPS_US_PER_MS)
#define LOAD_PERIOD_US (500 * PPS_US_PER_MS)
#define LIST_TIMEOUT_MS 1000
#define LOAD_TIMEOUT_MS 200
#define VERSIONS_MAX 64
#define URL_BYTES 256
#define RATINGS_LIMIT 500
#define HTTP_OK 200

struct pps_platform_feed {
    pps_platform_feed_options_t options;
    pps_http_client_t *client;
    pthread_t list_thread;
    pthread_t load_thread;
    atomic_int stopping;
    uint64_t next_rating;
};

static json_t *
get_json(pps_platform_feed_t *feed, const char *url, int timeout_ms)
{
    pps_http_request_t request = {.url = url, .answer_timeout_ms = timeout_ms};
    pps_http_response_t response = {0};
    json_t *body = NULL;

    if (pps_http_client_call(&response, feed->client, &request) < 0) {
        return NULL;
    }
    if (response.status == HTTP_OK) {
        body = pps_json_load_bounded(pps_buf_text(&response.body),
                                     response.body.size);
    }
    pps_http_response_clear(&response);
    return body;
}

static void
pause_until(pps_platform_feed_t *feed, int64_t until_us)
{
    while (!atomic_load(&feed->stopping) && pps_clock_now_us() < until_us) {
        pps_clock_sleep_us(20 * PPS_US_PER_MS);
    }
}

/* Reads pages until one is not full; a failed read ends the loop too. */
static void
poll_ratings(pps_platform_feed_t *feed)
{
    char url[URL_BYTES];
    size_t count;

    do {
        json_t *answer;
        const json_t *ratings;

        snprintf(url, sizeof(url), "%s/ratings?from=%" PRIu64 "&limit=%d",
                 feed->options.url, feed->next_rating, RATINGS_LIMIT);
        answer = get_json(feed, url, LIST_TIMEOUT_MS);
        ratings = json_object_get(answer, "ratings");
        count = json_array_size(ratings);
        if (count > 0) {
            feed->options.on_ratings(ratings, feed->options.user);
            feed->next_rating =
                1 + (uint64_t)json_integer_value(json_object_get(
                        json_array_get(ratings, count - 1), "offset"));
        }
        json_decref(answer);
    } while (count == RATINGS_LIMIT && !atomic_load(&feed->stopping));
}

static void *
poll_list(void *user)
{
    pps_platform_feed_t *feed = user;
    char url[URL_BYTES];

    snprintf(url, sizeof(url), "%s/hosts", feed->options.url);
    while (!atomic_load(&feed->stopping)) {
        int64_t next = pps_clock_now_us() + LIST_PERIOD_US;
        json_t *list = get_json(feed, url, LIST_TIMEOUT_MS);

        if (list != NULL) {
            feed->options.on_list(list, feed->options.user);
        }
        else {
            pps_counter_add(PPS_COUNTER_LIST_READS_FAILED, 1);
        }
        poll_ratings(feed);
        pause_until(feed, next);
    }
    return NULL;
}

static void
apply_report(const pps_worker_t *worker, const json_t *body, int64_t sent_us)
{
    const char *versions[VERSIONS_MAX];
    const json_t *list = json_object_get(body, "versions");
    pps_worker_report_t report = {.measured_at_us = sent_us,
                                  .received_at_us = pps_clock_now_us(),
                                  .versions = versions};
    size_t index;
    json_t *item;

    report.running =
        (unsigned int)json_integer_value(json_object_get(body, "running"));
    report.queued =
        (unsigned int)json_integer_value(json_object_get(body, "queued"));
    report.slots =
        (unsigned int)json_integer_value(json_object_get(body, "slots"));
    json_array_foreach(list, index, item)
    {
        if (report.version_count < VERSIONS_MAX && json_is_string(item)) {
            versions[report.version_count++] = json_string_value(item);
        }
    }
    if (!json_is_array(list)) {
        report.versions = NULL;
    }
    pps_worker_apply_report(worker, &report);
}

static void
poll_worker(pps_platform_feed_t *feed, const pps_worker_t *worker)
{
    int64_t sent_us = pps_clock_now_us();
    char url[URL_BYTES];
    json_t *body;

    snprintf(url, sizeof(url), "http://%s:%u/load", worker->address,
             worker->port);
    body = get_json(feed, url, LOAD_TIMEOUT_MS);
    if (body == NULL) {
        return;
    }
    if (json_is_true(json_object_get(body, "draining"))) {
        pps_worker_record_refusal(worker, PPS_REFUSAL_DRAINING, NULL, sent_us,
                                  0);
    }
    apply_report(worker, body, sent_us);
    json_decref(body);
}

static void *
poll_load(void *user)
{
    pps_platform_feed_t *feed = user;

    while (!atomic_load(&feed->stopping)) {
        int64_t next = pps_clock_now_us() + LOAD_PERIOD_US;
        pps_worker_view_t *view =
            pps_worker_registry_acquire(feed->options.workers);

        for (size_t i = 0;
             i < pps_worker_view_count(view) && !atomic_load(&feed->stopping);
             i++) {
            poll_worker(feed, pps_worker_view_at(view, i));
        }
        pps_worker_view_free(view);
        pause_until(feed, next);
    }
    return NULL;
}

int
pps_platform_feed_new(pps_platform_feed_t **out,
                      const pps_platform_feed_options_t *options)
{
    pps_platform_feed_t *feed = calloc(1, sizeof(*feed));
    int error;

    if (feed == NULL) {
        return pps_error_set(PPS_ENOMEM, "platform feed: out of memory");
    }
    feed->options = *options;
    error = pps_http_client_new(&feed->client);
    if (error < 0) {
        goto failed;
    }
    error = PPS_EIO;
    if (pthread_create(&feed->list_thread, NULL, poll_list, feed) != 0) {
        goto failed;
    }
    if (pthread_create(&feed->load_thread, NULL, poll_load, feed) != 0) {
        atomic_store(&feed->stopping, 1);
        pthread_join(feed->list_thread, NULL);
        goto failed;
    }
    *out = feed;
    return PPS_OK;

failed:
    pps_http_client_free(feed->client);
    free(feed);
    return pps_error_set(error, "platform feed could not be started");
}

void
pps_platform_feed_free(pps_platform_feed_t *feed)
{
    if (feed == NULL) {
        return;
    }
    atomic_store(&feed->stopping, 1);
    pthread_join(feed->list_thread, NULL);
    pthread_join(feed->load_thread, NULL);
    pps_http_client_free(feed->client);
    free(feed);
}
