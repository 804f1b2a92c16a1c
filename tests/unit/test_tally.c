/** @file test_tally.c @brief Tests counters that are summed over hosts and
 * restarts. */
#include "papayaswitch/errors.h"
#include "papayaswitch/tally.h"

#include <criterion/criterion.h>
#include <stdlib.h>

#define HOSTS 4
#define ROUNDS 30

static void
count(pps_tally_t *tally, uint64_t ratings)
{
    pps_tally_counts_t delta = {.ratings = ratings, .rating_sum = 2 * ratings};

    cr_assert_eq(pps_tally_add(tally, "k\tone", &delta), 0);
}

static void
send(pps_tally_t *from, pps_tally_t *to, uint64_t since)
{
    void *data;
    size_t size;

    cr_assert_eq(pps_tally_encode(from, &data, &size, since), 0);
    cr_assert_eq(pps_tally_merge(to, data, size), 0);
    free(data);
}

static uint64_t
ratings(const pps_tally_t *tally)
{
    pps_tally_counts_t total;

    pps_tally_total(tally, &total, "k\tone");
    cr_assert_eq(total.rating_sum, 2 * total.ratings);
    return total.ratings;
}

Test(tally, restarts_and_repeats_count_once)
{
    static const struct {
        const char *host;
        uint64_t incarnation;
        uint64_t add;
        int sends; /**< times that the message arrives */
        uint64_t total;
    } cases[] = {
        {"a", 1, 5, 1, 5},
        {"a", 1, 3, 3, 5}, /* a lower value changes nothing */
        {"a", 2, 4, 2, 9}, /* a restart adds to earlier counts */
        {"b", 1, 1, 1, 10},
        {"a", 1, 7, 1, 12}, /* late, larger value of the first incarnation */
    };
    pps_tally_t *sink;

    cr_assert_eq(pps_tally_new(&sink, "sink", 1), 0);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_tally_t *source;

        cr_assert_eq(
            pps_tally_new(&source, cases[i].host, cases[i].incarnation), 0);
        count(source, cases[i].add);
        for (int n = 0; n < cases[i].sends; n++) {
            send(source, sink, 0);
        }
        cr_expect_eq(ratings(sink), cases[i].total, "case %zu", i);
        pps_tally_free(source);
    }
    pps_tally_free(sink);
}

Test(tally, hosts_agree_whatever_the_order)
{
    pps_tally_t *hosts[HOSTS];
    uint64_t expected = 0;

    for (int h = 0; h < HOSTS; h++) {
        char name[2] = {(char)('a' + h), 0};

        cr_assert_eq(pps_tally_new(&hosts[h], name, 1), 0);
    }
    for (int round = 0; round < ROUNDS; round++) {
        count(hosts[round % HOSTS], (uint64_t)round);
        expected += (uint64_t)round;
        send(hosts[round % HOSTS], hosts[(round * 3 + 1) % HOSTS], 0);
    }
    for (int h = 0; h < 2 * HOSTS; h++) {
        send(hosts[h % HOSTS], hosts[(h + 1) % HOSTS], 0);
    }
    for (int h = 0; h < HOSTS; h++) {
        cr_expect_eq(ratings(hosts[h]), expected, "host %d", h);
        pps_tally_free(hosts[h]);
    }
}

Test(tally, only_what_changed_is_encoded)
{
    pps_tally_t *source;
    pps_tally_t *sink;
    uint64_t change;
    void *data;
    size_t size;

    cr_assert_eq(pps_tally_new(&source, "a", 1), 0);
    cr_assert_eq(pps_tally_new(&sink, "b", 1), 0);
    count(source, 1);
    change = pps_tally_last_change(source);
    cr_assert_eq(pps_tally_encode(source, &data, &size, change), 0);
    cr_expect_eq(size, 0);
    free(data);
    count(source, 1);
    send(source, sink, change);
    cr_expect_eq(ratings(sink), 2);
    pps_tally_free(source);
    pps_tally_free(sink);
}

Test(tally, damaged_messages_merge_nothing)
{
    pps_tally_t *source;
    pps_tally_t *sink;
    unsigned char *data;
    size_t size;

    cr_assert_eq(pps_tally_new(&source, "a", 1), 0);
    cr_assert_eq(pps_tally_new(&sink, "b", 1), 0);
    count(source, 3);
    cr_assert_eq(pps_tally_encode(source, (void **)&data, &size, 0), 0);
    for (size_t cut = 1; cut < size; cut++) {
        cr_expect_eq(pps_tally_merge(sink, data, cut), PPS_ECORRUPT, "%zu",
                     cut);
    }
    data[0] = 0xa0; /* empty host name */
    cr_expect_eq(pps_tally_merge(sink, data, size), PPS_ECORRUPT);
    for (int container = 0x80; container <= 0x9f; container++) {
        data[0] = (unsigned char)container;
        cr_expect_eq(pps_tally_merge(sink, data, size), PPS_ECORRUPT);
    }
    cr_expect_eq(ratings(sink), 0);
    free(data);
    pps_tally_free(source);
    pps_tally_free(sink);
}
