/** @file test_store_topic_epochs.c @brief Tests a store topic whose store came
 * back from a backup, with a higher epoch. */
#include "store_topic_fixture.h"

#include <criterion/criterion.h>
#include <string.h>

#define GONE_IN(epoch)                                                        \
    "HTTP/1.1 410 Gone\r\nStore-Era: " epoch                                  \
    "\r\nContent-Length: 11\r\n\r\n{\"first\":0}"

static const store_topic_case_t cases[] = {
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
};

Test(store_topic_epochs, answers)
{
    store_topic_expect_cases(cases, sizeof(cases) / sizeof(*cases));
}

/* An epoch that another topic learned: the next read is a listing, and the
 * answer to the read under way is dropped. */
Test(store_topic_epochs, epoch_learned_elsewhere)
{
    static const net_answer_t script[] = {
        {ONE_KEY("1", "MQ==", "9"), NET_KEEP},
        {NULL, NET_KEEP},
        {ONE_KEY("2", "OQ==", "3"), NET_KEEP},
        {NULL, NET_KEEP}};
    static const char late[] = EPOCH("1") NO_RECORDS;
    store_topic_fixture_t fixture;

    store_topic_start(&fixture, script, 4);
    cr_assert(net_run_until(&fixture.reactor, &fixture.server.requests, 2,
                            TIMEOUT_MS));
    pps_store_topic_set_epoch(fixture.topic, 2);
    net_server_send(&fixture.server, late, strlen(late));
    cr_assert(net_run_until(&fixture.reactor, &fixture.reads, 2, TIMEOUT_MS));
    cr_expect_str_eq(pps_buf_text(&fixture.changes), "epoch 1;a=1;a=9;");
    cr_expect_eq(fixture.failures, 0);
    cr_expect_eq(pps_mirror_epoch(fixture.mirror), 2);
    pps_buf_clear(&fixture.changes);
}

/* Guards against passing over records that a store writes after it came back
 * several times during one read: the read's offsets are of the first epoch. */
Test(store_topic_epochs, read_of_an_older_epoch_does_not_move_the_end)
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
        store_topic_fixture_t fixture;

        store_topic_start(&fixture, script, 2);
        cr_assert(net_run_until(&fixture.reactor, &fixture.server.requests, 2,
                                TIMEOUT_MS));
        for (int64_t epoch = 2; epoch <= returns[i].epoch; epoch++) {
            pps_store_topic_set_epoch(fixture.topic, epoch);
        }
        pps_mirror_begin_listing(fixture.mirror, returns[i].epoch, 2);
        pps_mirror_apply_listed(fixture.mirror, 1, "a", 1, "9", 1);
        pps_mirror_end_listing(fixture.mirror);
        net_server_send(&fixture.server, returns[i].answer,
                        strlen(returns[i].answer));
        cr_assert(net_run_until(&fixture.reactor, &fixture.server.requests, 3,
                                TIMEOUT_MS));
        cr_expect_eq(pps_mirror_end(fixture.mirror), 2, "epoch %d: %d",
                     (int)returns[i].epoch,
                     (int)pps_mirror_end(fixture.mirror));
        cr_expect_not_null(strstr(fixture.server.last.data,
                                  "/-/log-read?topic=keyed.t&part=0&from=2&"),
                           "%s", fixture.server.last.data);
        pps_buf_clear(&fixture.changes);
    }
}
