/**
 * @file bench_http_client.c
 * @brief Compares a connection per call with a reused connection.
 *
 * In one run, calls one server with the ulfius client, which connects for each
 * call, and with a libcurl handle that is reused.
 */
#include "clock.h"
#include "http_listener.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>

#define CALLS 2000
#define WARM_UP_CALLS 50

static int
on_request(const struct _u_request *request, struct _u_response *response,
           void *user)
{
    ulfius_set_string_body_response(response, 200, "ok");
    return U_CALLBACK_COMPLETE;
}

static size_t
ignore_body(char *data, size_t size, size_t count, void *user)
{
    return size * count;
}

static int
call_ulfius(const char *url)
{
    struct _u_request request;
    struct _u_response response;
    int error;

    ulfius_init_request(&request);
    ulfius_init_response(&response);
    ulfius_set_request_properties(&request, U_OPT_HTTP_VERB, "GET",
                                  U_OPT_HTTP_URL, url, U_OPT_NONE);
    error = ulfius_send_http_request(&request, &response);
    ulfius_clean_request(&request);
    ulfius_clean_response(&response);
    return error;
}

static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

static double
report(const char *name, int64_t *latencies_us)
{
    qsort(latencies_us, CALLS, sizeof(*latencies_us), compare);
    printf("%-24s %8lld %8lld\n", name, (long long)latencies_us[CALLS / 2],
           (long long)latencies_us[CALLS * 99 / 100]);
    return (double)latencies_us[CALLS / 2];
}

int
main(void)
{
    static int64_t latencies_us[CALLS];
    pps_http_limits_t limits = PPS_HTTP_LIMITS_INIT;
    pps_http_listener_t *listener;
    char url[64];
    CURL *handle;
    double ulfius_p50_us;
    double reused_p50_us;

    curl_global_init(CURL_GLOBAL_ALL);
    if (pps_http_listener_new(&listener, "127.0.0.1", 0, &limits) < 0 ||
        pps_http_listener_add(listener, "GET", "/x", on_request, NULL) < 0 ||
        pps_http_listener_start(listener) < 0) {
        return 1;
    }
    snprintf(url, sizeof(url), "http://127.0.0.1:%u/x",
             pps_http_listener_port(listener));
    printf("%-24s %8s %8s  (us a call, %d calls)\n", "client", "p50", "p99",
           CALLS);
    for (int i = -WARM_UP_CALLS; i < CALLS; i++) {
        int64_t start = pps_clock_now_us();

        call_ulfius(url);
        latencies_us[i < 0 ? 0 : i] = pps_clock_now_us() - start;
    }
    ulfius_p50_us = report("ulfius client", latencies_us);
    handle = curl_easy_init();
    curl_easy_setopt(handle, CURLOPT_URL, url);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, ignore_body);
    for (int i = -WARM_UP_CALLS; i < CALLS; i++) {
        int64_t start = pps_clock_now_us();

        curl_easy_perform(handle);
        latencies_us[i < 0 ? 0 : i] = pps_clock_now_us() - start;
    }
    reused_p50_us = report("kept libcurl handle", latencies_us);
    printf("ratio of the medians: %.1f\n", ulfius_p50_us / reused_p50_us);
    curl_easy_cleanup(handle);
    pps_http_listener_free(listener);
    return 0;
}
