/** @file test_store_topic.c @brief Tests reading a store topic into a
 * mirror. */
#include "steady_clock.h"
#include "store_topic_fixture.h"

#include <criterion/criterion.h>
#include <string.h>

#define GONE "HTTP/1.1 410 Gone\r\nContent-Length: 11\r\n\r\n{\"first\":9}"

static const store_topic_case_t cases[] = {
    {"listing", {{LISTING, NET_KEEP}, {NULL, NET_KEEP}}, 1, 0, "a=1;b=2;"},
    {"first read refused",
     {{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
       NET_KEEP},
      {LISTING, NET_KEEP},
      {NULL, NET_KEEP}},
     1,
     1,
     "a=1;b=2;"},
    {"first connection closed",
     {{NULL, NET_CLOSE}, {LISTING, NET_KEEP}, {NULL, NET_KEEP}},
     1,
     1,
     "a=1;b=2;"},
    {"history dropped",
     {{LISTING, NET_KEEP},
      {GONE, NET_KEEP},
      {HEAD "39\r\n\r\n{\"entries\":[],\"has_more\":false,\"end\":9}",
       NET_KEEP},
      {NULL, NET_KEEP}},
     2,
     0,
     "a=1;b=2;a-;b-;"},
    {"unreadable page",
     {{HEAD "4\r\n\r\nnull", NET_KEEP}, {LISTING, NET_KEEP}, {NULL, NET_KEEP}},
     1,
     1,
     "a=1;b=2;"},
    {"a key that is no text among others",
     {{HEAD
       "121\r\n\r\n"
       "{\"entries\":[{\"key\":\"a\\u0000x\",\"value\":\"OQ==\",\"offset\":1},"
       "{\"key\":\"b\",\"value\":\"Mg==\",\"offset\":2}],"
       "\"has_more\":false,\"end\":3}",
       NET_KEEP},
      {NULL, NET_KEEP}},
     1,
     0,
     "b=2;"},
    {"an empty page that has a successor",
     {{HEAD "38\r\n\r\n{\"entries\":[],\"has_more\":true,\"end\":9}",
       NET_KEEP},
      {LISTING, NET_KEEP},
      {NULL, NET_KEEP}},
     1,
     1,
     "a=1;b=2;"},
};

Test(store_topic, answers)
{
    store_topic_expect_cases(cases, sizeof(cases) / sizeof(*cases));
}

/* A record from another host advances the mirror's end during a read that
 * started below that end. Offsets of the read's records must still count from
 * the read's start, or the removal of b at 4 is applied as one at 5. */
Test(store_topic, offsets_count_from_the_start_of_the_read)
{
    static const net_answer_t script[] = {{LISTING, NET_KEEP},
                                          {NULL, NET_KEEP}};
    static const char records[] = {
        0, 0, 0, 0, 0, 0,   0,   6,
        0, 0, 0, 0, 0, 0,   0,   0, /* end, first offset */
        0, 0, 0, 3, 1, 'a', '3',    /* 3 */
        0, 0, 0, 2, 1, 'b',         /* 4: removed */
        0, 0, 0, 3, 1, 'c', '5',    /* 5 */
    };
    store_topic_fixture_t fixture;
    pps_buf_t answer = PPS_BUF_INIT;

    store_topic_start(&fixture, script, 2);
    cr_assert(net_run_until(&fixture.reactor, &fixture.server.requests, 2,
                            TIMEOUT_MS));
    pps_mirror_apply_record(fixture.mirror, 3, "a", 1, "3", 1);
    pps_buf_printf(&answer, HEAD "%zu\r\n\r\n", sizeof(records));
    pps_buf_append(&answer, records, sizeof(records));
    net_server_send(&fixture.server, answer.data, answer.size);
    cr_assert(net_run_until(&fixture.reactor, &fixture.reads, 2, TIMEOUT_MS));
    cr_expect_str_eq(pps_buf_text(&fixture.changes), "a=1;b=2;a=3;b-;c=5;");
    cr_expect_eq(pps_mirror_end(fixture.mirror), 6);
    pps_buf_clear(&answer);
    pps_buf_clear(&fixture.changes);
}

/* An unanswered read must time out and be retried on a new connection. */
Test(store_topic, unanswered_read_times_out)
{
    static const net_answer_t script[] = {
        {NULL, NET_KEEP}, {LISTING, NET_KEEP}, {NULL, NET_KEEP}};
    store_topic_fixture_t fixture;

    store_topic_start(&fixture, script, 3);
    cr_assert(
        net_run_until(&fixture.reactor, &fixture.failures, 1, TIMEOUT_MS));
    cr_expect(pps_store_topic_is_failing(fixture.topic));
    cr_assert(net_run_until(&fixture.reactor, &fixture.reads, 1, TIMEOUT_MS));
    cr_expect_not(pps_store_topic_is_failing(fixture.topic));
    cr_expect_eq(fixture.server.closed, 1);
    pps_buf_clear(&fixture.changes);
}

/* While other hosts read the topic, the delay between retries of a failed read
 * must grow beyond its usual maximum. */
Test(store_topic, retry_delay_grows_while_relaxed)
{
    static const net_answer_t script[] = {
        {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
         NET_KEEP}};
    static const int64_t delays_us = (100 + 200 + 400 + 800) * PPS_US_PER_MS;
    store_topic_fixture_t fixture;
    int64_t started_us;

    store_topic_start(&fixture, script, 1);
    pps_store_topic_set_relaxed(fixture.topic, 1);
    started_us = steady_clock_now_us();
    cr_assert(
        net_run_until(&fixture.reactor, &fixture.failures, 5, 2 * TIMEOUT_MS));
    cr_expect_geq(steady_clock_now_us() - started_us, delays_us);
    pps_buf_clear(&fixture.changes);
}

/* The place in a listing of several pages must not outlive it: a later listing
 * would skip the keys before it. */
Test(store_topic, later_listing_starts_at_the_first_key)
{
    static const net_answer_t script[] = {
        {FIRST_PAGE("1"), NET_KEEP},
        {ONE_KEY("1", "MQ==", "9"), NET_KEEP},
        {EPOCH("1") "17\r\n\r\n0000000300000000x", NET_KEEP},
        {EPOCH("1") "20\r\n\r\n0000000300000000\1\1\1\1", NET_KEEP},
        {ONE_KEY("1", "OQ==", "9"), NET_KEEP},
        {NULL, NET_KEEP}};
    store_topic_fixture_t fixture;

    store_topic_start(&fixture, script, 6);
    cr_assert(net_run_until(&fixture.reactor, &fixture.server.requests, 2,
                            TIMEOUT_MS));
    cr_expect_not_null(strstr(fixture.server.last.data, "&after=%61"));
    cr_assert(net_run_until(&fixture.reactor, &fixture.server.requests, 5,
                            TIMEOUT_MS));
    cr_expect_not_null(strstr(fixture.server.last.data, "/-/log-newest"));
    cr_expect_null(strstr(fixture.server.last.data, "after"));
    pps_buf_clear(&fixture.changes);
}

/* Guards against listing the whole topic again when another host's copy has
 * filled the mirror: only the records that follow its end are missing. A copy
 * of an older epoch does not spare the listing. */
Test(store_topic, copy_of_another_host_spares_the_listing)
{
    static const net_answer_t script[] = {{NULL, NET_KEEP}};
    static const struct {
        int64_t epoch;
        const char *path;
    } copies[] = {{0, "/-/log-newest?"},
                  {4, "/-/log-read?topic=keyed.t&part=0&"
                      "from=9&"}};

    for (size_t i = 0; i < 2; i++) {
        store_topic_fixture_t fixture;

        store_topic_start(&fixture, script, 1);
        pps_store_topic_set_paused(fixture.topic, 1);
        pps_mirror_begin_listing(fixture.mirror, copies[i].epoch, 9);
        pps_mirror_apply_listed(fixture.mirror, 1, "a", 1, "1", 1);
        pps_mirror_end_listing(fixture.mirror);
        pps_store_topic_set_epoch(fixture.topic, 4);
        pps_store_topic_set_paused(fixture.topic, 0);
        cr_assert(net_run_until(&fixture.reactor, &fixture.server.requests, 1,
                                TIMEOUT_MS));
        cr_expect_not_null(strstr(fixture.server.last.data, copies[i].path),
                           "%s", fixture.server.last.data);
        pps_buf_clear(&fixture.changes);
    }
}
