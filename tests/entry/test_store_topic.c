/** @file test_store_topic.c @brief Tests reading a store topic into a
 * mirror. */
#include "net.h"
#include "store_topic.h"

#include "clock.h"
#include "steady_clock.h"

#include <criterion/criterion.h>
#include <string.h>

#define TIMEOUT_MS 3000
#define HEAD "HTTP/1.1 200 OK\r\nContent-Length: "
/* Listing of the keys a and b with the values 1 and 2; its end is 3. */
#define LISTING                                                               \
    HEAD "119\r\n\r\n"                                                        \
         "{\"entries\":[{\"key\":\"a\",\"value\":\"MQ==\",\"offset\":1},"     \
         "{\"key\":\"b\",\"value\":\"Mg==\",\"offset\":2}],"                  \
         "\"has_more\":false,\"end\":3     }"
#define GONE "HTTP/1.1 410 Gone\r\nContent-Length: 11\r\n\r\n{\"first\":9}"

#define EPOCH(n) "HTTP/1.1 200 OK\r\nStore-Era: " n "\r\nContent-Length: "
#define ONE_KEY(epoch, value, end)                                            \
    EPOCH(epoch)                                                              \
    "84\r\n\r\n{\"entries\":[{\"key\":\"a\",\"value\":\"" value               \
    "\",\"offset\":1}],\"has_more\":false,\"end\":" end "        }"
/* Answer to a read: end 3, first offset 0, no records. */
#define NO_RECORDS "16\r\n\r\n0000000300000000"
#define FIRST_PAGE(epoch)                                                     \
    EPOCH(epoch)                                                              \
    "75\r\n\r\n{\"entries\":[{\"key\":\"a\",\"value\":\"MQ==\",\"offset\":1}" \
    "],"                                                                      \
    "\"has_more\":true,\"end\":3}"
#define GONE_IN(epoch)                                                        \
    "HTTP/1.1 410 Gone\r\nStore-Era: " epoch                                  \
    "\r\nContent-Length: 11\r\n\r\n{\"first\":0}"

typedef struct {
    pps_buf_t changes;
    pps_mirror_t *mirror;
    size_t reads;
    size_t failures;
} owner_t;

static int
on_changed(void *user, const char *key, const char *value, size_t size)
{
    owner_t *owner = user;

    pps_buf_printf(&owner->changes, "%s%s%.*s;", key, value ? "=" : "-",
                   (int)size, value ? value : "");
    return 1;
}

static void
on_read(void *user)
{
    ((owner_t *)user)->reads++;
}

static void
on_failed(void *user)
{
    ((owner_t *)user)->failures++;
}

static void
on_epoch(void *user, int64_t epoch)
{
    pps_buf_printf(&((owner_t *)user)->changes, "epoch %d;", (int)epoch);
}

static const pps_store_topic_ops_t ops = {on_read, on_failed, on_epoch};
static const pps_store_topic_options_t options = {"keyed.t", 0,
                                                  20 * PPS_US_PER_MS};

typedef struct {
    const char *name;
    net_answer_t script[4];
    size_t reads;
    size_t failures;
    const char *changes;
} case_t;

static const case_t cases[] = {
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
    {"a read is answered in a higher epoch, at offsets passed before",
     {{ONE_KEY("1", "MQ==", "9"), NET_KEEP},
      {EPOCH("2") NO_RECORDS, NET_KEEP},
      {ONE_KEY("2", "OQ==", "3"), NET_KEEP},
      {NULL, NET_KEEP}},
     2,
     0,
     "epoch 1;a=1;epoch 2;a=9;"},
    {"the offset does not exist in a higher epoch",
     {{ONE_KEY("1", "MQ==", "9"), NET_KEEP},
      {GONE_IN("2"), NET_KEEP},
      {ONE_KEY("2", "OQ==", "3"), NET_KEEP},
      {NULL, NET_KEEP}},
     2,
     0,
     "epoch 1;a=1;epoch 2;a=9;"},
    {"a higher epoch between two pages",
     {{FIRST_PAGE("1"), NET_KEEP},
      {ONE_KEY("2", "Mg==", "3"), NET_KEEP},
      {ONE_KEY("2", "OQ==", "3"), NET_KEEP},
      {NULL, NET_KEEP}},
     1,
     0,
     "epoch 1;a=1;epoch 2;a=9;"},
    {"two higher epochs in a row",
     {{ONE_KEY("1", "MQ==", "9"), NET_KEEP},
      {EPOCH("2") NO_RECORDS, NET_KEEP},
      {ONE_KEY("3", "OQ==", "3"), NET_KEEP},
      {NULL, NET_KEEP}},
     2,
     0,
     "epoch 1;a=1;epoch 2;epoch 3;a=9;"},
    {"an answer of a lower epoch is not applied",
     {{ONE_KEY("2", "MQ==", "3"), NET_KEEP},
      {EPOCH("1") NO_RECORDS, NET_KEEP},
      {EPOCH("2") NO_RECORDS, NET_KEEP},
      {NULL, NET_KEEP}},
     2,
     1,
     "epoch 2;a=1;"},
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

static void
start(owner_t *owner, pps_store_topic_t **topic, net_server_t *server,
      pps_reactor_t *reactor, const net_answer_t *script, size_t size)
{
    memset(owner, 0, sizeof(*owner));
    steady_clock_init_reactor(reactor);
    net_server_start(server, reactor, script, size);
    cr_assert_eq(pps_mirror_new(&owner->mirror, on_changed, owner), 0);
    cr_assert_eq(pps_store_topic_new(topic, reactor, server->address,
                                     owner->mirror, &options, &ops, owner),
                 0);
}

Test(store_topic, answers)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_reactor_t reactor;
        net_server_t server;
        pps_store_topic_t *topic;
        owner_t owner;

        start(&owner, &topic, &server, &reactor, cases[i].script, 4);
        cr_expect(
            net_run_until(&reactor, &owner.reads, cases[i].reads, TIMEOUT_MS),
            "%s", cases[i].name);
        cr_expect_eq(owner.failures, cases[i].failures, "%s: %zu",
                     cases[i].name, owner.failures);
        cr_expect_str_eq(pps_buf_text(&owner.changes), cases[i].changes, "%s",
                         cases[i].name);
        pps_buf_clear(&owner.changes);
    }
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
    pps_reactor_t reactor;
    net_server_t server;
    pps_store_topic_t *topic;
    owner_t owner;
    pps_buf_t answer = PPS_BUF_INIT;

    start(&owner, &topic, &server, &reactor, script, 2);
    cr_assert(net_run_until(&reactor, &server.requests, 2, TIMEOUT_MS));
    pps_mirror_apply_record(owner.mirror, 3, "a", 1, "3", 1);
    pps_buf_printf(&answer, HEAD "%zu\r\n\r\n", sizeof(records));
    pps_buf_append(&answer, records, sizeof(records));
    net_server_send(&server, answer.data, answer.size);
    cr_assert(net_run_until(&reactor, &owner.reads, 2, TIMEOUT_MS));
    cr_expect_str_eq(pps_buf_text(&owner.changes), "a=1;b=2;a=3;b-;c=5;");
    cr_expect_eq(pps_mirror_end(owner.mirror), 6);
    pps_buf_clear(&answer);
    pps_buf_clear(&owner.changes);
}

/* An unanswered read must time out and be retried on a new connection. */
Test(store_topic, unanswered_read_times_out)
{
    static const net_answer_t script[] = {
        {NULL, NET_KEEP}, {LISTING, NET_KEEP}, {NULL, NET_KEEP}};
    pps_reactor_t reactor;
    net_server_t server;
    pps_store_topic_t *topic;
    owner_t owner;

    start(&owner, &topic, &server, &reactor, script, 3);
    cr_assert(net_run_until(&reactor, &owner.failures, 1, TIMEOUT_MS));
    cr_expect(pps_store_topic_is_failing(topic));
    cr_assert(net_run_until(&reactor, &owner.reads, 1, TIMEOUT_MS));
    cr_expect_not(pps_store_topic_is_failing(topic));
    cr_expect_eq(server.closed, 1);
    pps_buf_clear(&owner.changes);
}

/* While other hosts read the topic, the delay between retries of a failed read
 * must grow beyond its usual maximum. */
Test(store_topic, retry_delay_grows_while_relaxed)
{
    static const net_answer_t script[] = {
        {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
         NET_KEEP}};
    static const int64_t delays_us = (100 + 200 + 400 + 800) * PPS_US_PER_MS;
    pps_reactor_t reactor;
    net_server_t server;
    pps_store_topic_t *topic;
    owner_t owner;
    int64_t started_us;

    start(&owner, &topic, &server, &reactor, script, 1);
    pps_store_topic_set_relaxed(topic, 1);
    started_us = steady_clock_now_us();
    cr_assert(net_run_until(&reactor, &owner.failures, 5, 2 * TIMEOUT_MS));
    cr_expect_geq(steady_clock_now_us() - started_us, delays_us);
    pps_buf_clear(&owner.changes);
}

/* An epoch that another topic learned: the next read is a listing, and the
 * answer to the read under way is dropped. */
Test(store_topic, epoch_learned_elsewhere)
{
    static const net_answer_t script[] = {
        {ONE_KEY("1", "MQ==", "9"), NET_KEEP},
        {NULL, NET_KEEP},
        {ONE_KEY("2", "OQ==", "3"), NET_KEEP},
        {NULL, NET_KEEP}};
    static const char late[] = EPOCH("1") NO_RECORDS;
    pps_reactor_t reactor;
    net_server_t server;
    pps_store_topic_t *topic;
    owner_t owner;

    start(&owner, &topic, &server, &reactor, script, 4);
    cr_assert(net_run_until(&reactor, &server.requests, 2, TIMEOUT_MS));
    pps_store_topic_set_epoch(topic, 2);
    net_server_send(&server, late, strlen(late));
    cr_assert(net_run_until(&reactor, &owner.reads, 2, TIMEOUT_MS));
    cr_expect_str_eq(pps_buf_text(&owner.changes), "epoch 1;a=1;a=9;");
    cr_expect_eq(owner.failures, 0);
    cr_expect_eq(pps_mirror_epoch(owner.mirror), 2);
    pps_buf_clear(&owner.changes);
}

/* Guards against passing over records that a store writes after it came back
 * several times during one read: the read's offsets are of the first epoch. */
Test(store_topic, read_of_an_older_epoch_does_not_move_the_end)
{
    static const net_answer_t script[] = {
        {ONE_KEY("1", "MQ==", "9"), NET_KEEP}, {NULL, NET_KEEP}};
    static const struct {
        int64_t epoch; /* the last one that is learned during the read */
        const char *answer;
    } returns[] = {{2, EPOCH("2") NO_RECORDS},
                   {3, EPOCH("3") NO_RECORDS},
                   {4, EPOCH("4") NO_RECORDS}};

    for (size_t i = 0; i < sizeof(returns) / sizeof(*returns); i++) {
        pps_reactor_t reactor;
        net_server_t server;
        pps_store_topic_t *topic;
        owner_t owner;

        start(&owner, &topic, &server, &reactor, script, 2);
        cr_assert(net_run_until(&reactor, &server.requests, 2, TIMEOUT_MS));
        for (int64_t epoch = 2; epoch <= returns[i].epoch; epoch++) {
            pps_store_topic_set_epoch(topic, epoch);
        }
        pps_mirror_begin_listing(owner.mirror, returns[i].epoch);
        pps_mirror_apply_listed(owner.mirror, 1, "a", 1, "9", 1);
        pps_mirror_end_listing(owner.mirror, 2);
        net_server_send(&server, returns[i].answer, strlen(returns[i].answer));
        cr_assert(net_run_until(&reactor, &server.requests, 3, TIMEOUT_MS));
        cr_expect_eq(pps_mirror_end(owner.mirror), 2, "epoch %d: %d",
                     (int)returns[i].epoch, (int)pps_mirror_end(owner.mirror));
        cr_expect_not_null(strstr(server.last.data,
                                  "/-/log-read?topic=keyed.t&part=0&from=2&"),
                           "%s", server.last.data);
        pps_buf_clear(&owner.changes);
    }
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
    pps_reactor_t reactor;
    net_server_t server;
    pps_store_topic_t *topic;
    owner_t owner;

    start(&owner, &topic, &server, &reactor, script, 6);
    cr_assert(net_run_until(&reactor, &server.requests, 2, TIMEOUT_MS));
    cr_expect_not_null(strstr(server.last.data, "&after=%61"));
    cr_assert(net_run_until(&reactor, &server.requests, 5, TIMEOUT_MS));
    cr_expect_not_null(strstr(server.last.data, "/-/log-newest"));
    cr_expect_null(strstr(server.last.data, "after"));
    pps_buf_clear(&owner.changes);
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
        pps_reactor_t reactor;
        net_server_t server;
        pps_store_topic_t *topic;
        owner_t owner;

        start(&owner, &topic, &server, &reactor, script, 1);
        pps_store_topic_set_paused(topic, 1);
        pps_mirror_begin_listing(owner.mirror, copies[i].epoch);
        pps_mirror_apply_listed(owner.mirror, 1, "a", 1, "1", 1);
        pps_mirror_end_listing(owner.mirror, 9);
        pps_store_topic_set_epoch(topic, 4);
        pps_store_topic_set_paused(topic, 0);
        cr_assert(net_run_until(&reactor, &server.requests, 1, TIMEOUT_MS));
        cr_expect_not_null(strstr(server.last.data, copies[i].path), "%s",
                           server.last.data);
        pps_buf_clear(&owner.changes);
    }
}
