/** @file store_topic_fixture.c @brief Runs a store topic with a scripted
 * store. */
#include "store_topic_fixture.h"

#include "steady_clock.h"

#include <criterion/criterion.h>
#include <string.h>

static void
on_changed(pps_mirror_relevance_t *out, void *user, const char *key,
           const char *value, size_t size)
{
    store_topic_fixture_t *fixture = user;

    pps_buf_printf(&fixture->changes, "%s%s%.*s;", key, value ? "=" : "-",
                   (int)size, value ? value : "");
}

static void
on_read(void *user)
{
    ((store_topic_fixture_t *)user)->reads++;
}

static void
on_failed(void *user)
{
    ((store_topic_fixture_t *)user)->failures++;
}

static void
on_epoch(void *user, int64_t epoch)
{
    pps_buf_printf(&((store_topic_fixture_t *)user)->changes, "epoch %d;",
                   (int)epoch);
}

static const pps_mirror_ops_t mirror_ops = {.on_changed = on_changed};
static const pps_store_topic_ops_t ops = {on_read, on_failed, on_epoch};
static const pps_store_topic_options_t options = {"keyed.t", 0,
                                                  20 * PPS_US_PER_MS};

void
store_topic_start(store_topic_fixture_t *fixture, const net_answer_t *script,
                  size_t size)
{
    memset(fixture, 0, sizeof(*fixture));
    steady_clock_init_reactor(&fixture->reactor);
    net_server_start(&fixture->server, &fixture->reactor, script, size);
    cr_assert_eq(pps_mirror_new(&fixture->mirror, &mirror_ops, fixture), 0);
    cr_assert_eq(pps_store_topic_new(&fixture->topic, &fixture->reactor,
                                     fixture->server.address, fixture->mirror,
                                     &options, &ops, fixture),
                 0);
}

static void
expect_case(const store_topic_case_t *item)
{
    store_topic_fixture_t fixture;

    store_topic_start(&fixture, item->script, 4);
    cr_expect(net_run_until(&fixture.reactor, &fixture.reads, item->reads,
                            TIMEOUT_MS),
              "%s", item->name);
    cr_expect_eq(fixture.failures, item->failures, "%s: %zu", item->name,
                 fixture.failures);
    cr_expect_str_eq(pps_buf_text(&fixture.changes), item->changes, "%s",
                     item->name);
    pps_buf_clear(&fixture.changes);
}

void
store_topic_expect_cases(const store_topic_case_t *cases, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        expect_case(&cases[i]);
    }
}
