/** @file test_poison_store.c @brief Tests that what ends workers outlives the
 * hosts, in the store. */
#include "net.h"
#include "papayaswitch/errors.h"
#include "poison_sample.h"
#include "poison_store.h"
#include "steady_clock.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define OTHER_KEY UINT64_C(0x42)
#define OTHER_KEY_TEXT "0000000000000042"
#define OTHER_REQUEST UINT64_C(0x43)
#define HEAD "HTTP/1.1 200 OK\r\nContent-Length: "
#define EMPTY HEAD "39\r\n\r\n{\"entries\":[],\"has_more\":false,\"end\":0}"
#define WRITTEN HEAD "20\r\n\r\n{\"offset\":0,\"end\":1}"
#define UNAVAILABLE "HTTP/1.1 503 Off\r\nContent-Length: 0\r\n\r\n"

typedef struct {
    pps_reactor_t reactor;
    net_server_t server;
    pps_poison_table_t *table;
    pps_poison_store_t *store;
    size_t stored;
    pps_poison_evidence_t last;
} fixture_t;

static void
on_stored(void *user, const pps_poison_evidence_t *evidence)
{
    fixture_t *fixture = user;

    fixture->stored++;
    fixture->last = *evidence;
}

static void
start(fixture_t *fixture, const net_answer_t *script, size_t size)
{
    memset(fixture, 0, sizeof(*fixture));
    steady_clock_init_reactor(&fixture->reactor);
    cr_assert_eq(pps_poison_table_new(&fixture->table), 0);
    net_server_start(&fixture->server, &fixture->reactor, script, size);
    cr_assert_eq(pps_poison_store_new(&fixture->store, &fixture->reactor,
                                      fixture->server.address, fixture->table,
                                      on_stored, fixture),
                 0);
}

/* Steps the store until the server has seen a number of requests. */
static void
step_until(fixture_t *fixture, size_t requests)
{
    for (int i = 0; i < 200 && fixture->server.requests < requests; i++) {
        pps_poison_store_step(fixture->store);
        net_run_for(&fixture->reactor, 5);
    }
    net_run_for(&fixture->reactor, 20);
    cr_assert_eq(fixture->server.requests, requests);
}

static int
has_text(const pps_buf_t *buf, const char *text)
{
    return memmem(buf->data, buf->size, text, strlen(text)) != NULL;
}

static int
was_written(const fixture_t *fixture, const char *text)
{
    return has_text(&fixture->server.last, text);
}

/* Returns evidence that convicts a key. @param first_id of its crashes */
static pps_poison_evidence_t
crashes_of(uint64_t key, uint64_t first_id)
{
    pps_poison_evidence_t evidence = convicted;

    evidence.key = key;
    for (unsigned int i = 0; i < evidence.crash_count; i++) {
        evidence.crashes[i].id += first_id - 1;
    }
    return evidence;
}

static void
convict(fixture_t *fixture, uint64_t key, uint64_t first_id)
{
    pps_poison_evidence_t evidence = crashes_of(key, first_id);

    cr_assert_eq(pps_poison_table_merge(fixture->table, &evidence, NULL), 1);
}

Test(poison_store, convicted_key_is_written_once_and_deleted_when_cleared)
{
    static const net_answer_t script[] = {
        {EMPTY, NET_KEEP}, {UNAVAILABLE, NET_KEEP}, {WRITTEN, NET_KEEP}};
    fixture_t fixture;

    start(&fixture, script, 3);
    step_until(&fixture, 1);
    convict(&fixture, KEY, 1);
    step_until(&fixture, 3);
    cr_expect(was_written(&fixture, KEY_TEXT "{\"crashes\":["));
    pps_poison_store_step(fixture.store);
    net_run_for(&fixture.reactor, 50);
    cr_expect_eq(fixture.server.requests, 3);
    cr_expect_eq(pps_poison_table_note_good(fixture.table, KEY, NOW_US), 1);
    step_until(&fixture, 4);
    cr_expect(was_written(&fixture, KEY_TEXT));
    cr_expect_not(was_written(&fixture, "crashes"));
}

Test(poison_store, keys_are_written_again_when_the_store_has_lost_them)
{
    static const net_answer_t script[] = {{EMPTY, NET_KEEP},
                                          {WRITTEN, NET_KEEP}};
    fixture_t fixture;

    start(&fixture, script, 2);
    convict(&fixture, KEY, 1);
    convict(&fixture, OTHER_KEY, 9);
    step_until(&fixture, 3);
    pps_poison_store_forget(fixture.store);
    step_until(&fixture, 5);
}

typedef struct {
    const char *what;
    uint64_t other;
    uint64_t first_id; /* of the other key's crashes; 1: the same ones */
    int64_t good_us;   /* of the other key */
    const char *written;
    const char *not_written;
} explained_case_t;

static const explained_case_t explained[] = {
    {"a request, by a part", OTHER_KEY, 1, 0, OTHER_KEY_TEXT, KEY_TEXT},
    {"not by a part that is good", OTHER_KEY, 1, NOW_US - 20 * S, KEY_TEXT,
     NULL},
    {"not by a part with other crashes", OTHER_KEY, 9, 0, KEY_TEXT, NULL},
    {"not by a request with other crashes", OTHER_REQUEST, 9, 0, KEY_TEXT,
     NULL},
    {"two requests, by each other", OTHER_REQUEST, 1, 0, NULL, KEY_TEXT},
};

typedef struct {
    const char *what;
    uint64_t key;            /* convicted by three crashes */
    uint64_t causes[2];      /* of the first two crashes, and of the third */
    int64_t good_us;         /* of the second cause */
    unsigned int last_crash; /* of the second cause; 3: the third one */
    int is_ambiguous;
} ambiguous_case_t;

#define PART_KEY OTHER_KEY
#define BAD_PART UINT64_C(0x52)

static const ambiguous_case_t ambiguous[] = {
    {"a request, by a request and a part",
     KEY,
     {BAD_REQUEST, BAD_PART},
     0,
     3,
     1},
    {"a request, by two parts", KEY, {OTHER_KEY, BAD_PART}, 0, 3, 1},
    {"a part, by two requests",
     PART_KEY,
     {BAD_REQUEST, BAD_REQUEST + 2},
     0,
     3,
     1},
    {"a part, by one request", PART_KEY, {BAD_REQUEST, BAD_REQUEST}, 0, 3, 1},
    {"not by one that is good",
     KEY,
     {BAD_REQUEST, BAD_PART},
     NOW_US - 20 * S,
     3,
     0},
    {"not if one crash is left", KEY, {BAD_REQUEST, BAD_PART}, 0, 8, 0},
};

/* Adds crashes of another key. @param first_id of them, one after the other */
static void
add_crashes(fixture_t *fixture, uint64_t key, uint64_t first_id,
            unsigned int count, int64_t good_us)
{
    pps_poison_evidence_t evidence = {
        .key = key, .good_us = good_us, .crash_count = count};

    for (unsigned int i = 0; i < count; i++) {
        uint64_t id = first_id + count - 1 - i;

        evidence.crashes[i] = convicted.crashes[2 - (id - 1) % 3];
        evidence.crashes[i].id = id;
    }
    cr_assert_eq(pps_poison_table_merge(fixture->table, &evidence, NULL), 1);
}

/* Guards against refusing a sound request for half an hour after an end of all
 * hosts: bad ones had ended the workers that it was at, and only the sound one
 * was remembered. */
Test(poison_store, record_does_not_say_that_others_may_be_the_causes)
{
    static const net_answer_t script[] = {{EMPTY, NET_KEEP},
                                          {WRITTEN, NET_KEEP}};

    for (size_t i = 0; i < sizeof(ambiguous) / sizeof(*ambiguous); i++) {
        const ambiguous_case_t *item = &ambiguous[i];
        fixture_t fixture;

        start(&fixture, script, 2);
        step_until(&fixture, 1);
        convict(&fixture, item->key, 1);
        add_crashes(&fixture, item->causes[0], 1, 2, 0);
        add_crashes(&fixture, item->causes[1], item->last_crash, 1,
                    item->good_us);
        step_until(&fixture, 2);
        cr_expect(was_written(&fixture, "crashes"), "%s", item->what);
        cr_expect_eq(was_written(&fixture, "ambiguous"), item->is_ambiguous,
                     "%s", item->what);
    }
}

/* Guards against refusing a sound request after an end of all hosts: what
 * explains the ends of workers under it is forgotten then. */
Test(poison_store, key_that_another_one_explains_is_not_written)
{
    static const net_answer_t script[] = {{EMPTY, NET_KEEP},
                                          {WRITTEN, NET_KEEP}};

    for (size_t i = 0; i < sizeof(explained) / sizeof(*explained); i++) {
        const explained_case_t *item = &explained[i];
        pps_poison_evidence_t other = crashes_of(item->other, item->first_id);
        pps_buf_t written = PPS_BUF_INIT;
        fixture_t fixture;

        start(&fixture, script, 2);
        step_until(&fixture, 1);
        other.good_us = item->good_us;
        convict(&fixture, KEY, 1);
        cr_assert_eq(pps_poison_table_merge(fixture.table, &other, NULL), 1);
        for (int step = 0; step < 20; step++) {
            pps_poison_store_step(fixture.store);
            net_run_for(&fixture.reactor, 5);
            pps_buf_append(&written, fixture.server.last.data,
                           fixture.server.last.size);
        }
        cr_expect(item->written == NULL || has_text(&written, item->written),
                  "%s", item->what);
        cr_expect(item->not_written == NULL ||
                      !has_text(&written, item->not_written),
                  "%s", item->what);
        pps_buf_clear(&written);
    }
}

Test(poison_store, host_that_starts_reads_what_the_store_has)
{
    static const net_answer_t script[] = {
        {UNAVAILABLE, NET_KEEP},
        {HEAD "216\r\n\r\n{\"entries\":[{\"key\":\"" KEY_TEXT "\",\"value\":\""
              "eyJjcmFzaGVzIjpbeyJpZCI6IjAwMDAwMDAwMDAwMDAwMDEiLCJiZWd1bl9tcy"
              "I6MSwiYXRfbXMiOjF9XX0=\",\"offset\":0}],\"has_more\":false,"
              "\"end\":1}                                                   "
              "                                    ",
         NET_KEEP}};
    fixture_t fixture;

    start(&fixture, script, 2);
    for (int i = 0; i < 400 && fixture.stored == 0; i++) {
        net_run_for(&fixture.reactor, 5);
    }
    cr_assert_eq(fixture.stored, 1);
    cr_expect_eq(fixture.last.key, KEY);
    cr_expect_eq(fixture.last.convicted, 1);
    cr_expect_eq(fixture.last.crashes[0].id, 1);
    net_run_for(&fixture.reactor, 100);
    cr_expect_eq(fixture.server.requests, 2);
}

Test(poison_store, key_is_written_again_when_there_are_more_crashes)
{
    static const net_answer_t script[] = {{EMPTY, NET_KEEP},
                                          {WRITTEN, NET_KEEP}};
    const pps_poison_evidence_t another = {
        .key = KEY,
        .crashes = {{4, NOW_US - 80 * MS, NOW_US - 10 * MS}},
        .crash_count = 1,
    };
    fixture_t fixture;

    start(&fixture, script, 2);
    convict(&fixture, KEY, 1);
    step_until(&fixture, 2);
    cr_assert_eq(pps_poison_table_merge(fixture.table, &another, NULL), 1);
    step_until(&fixture, 3);
    cr_expect(was_written(&fixture, "0000000000000004"));
}
