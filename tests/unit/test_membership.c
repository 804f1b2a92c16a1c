/** @file test_membership.c @brief Tests host lists, membership and owners. */
#include "papayaswitch/errors.h"
#include "papayaswitch/membership.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define HOSTS 8
#define KEYS 10000

#define ENTRY(id, state)                                                      \
    "{\"id\":\"" id "\",\"address\":\"10.0.0.1\",\"http_port\":1,"            \
    "\"peer_port\":2,\"operator_port\":3,\"failure_domain\":\"a\","           \
    "\"state\":\"" state "\"}"

Test(host_list, cases)
{
    static const struct {
        const char *json;
        int error;
        size_t count;
    } cases[] = {
        {"[]", PPS_OK, 0},
        {"[" ENTRY("h1", "live") "," ENTRY("h2", "leaving") "]", PPS_OK, 2},
        {"[" ENTRY("h1", "live") "," ENTRY("h1", "live") "]", PPS_EINVALID, 0},
        {"[" ENTRY("", "live") "]", PPS_EINVALID, 0},
        {"[" ENTRY("h1", "gone") "]", PPS_EINVALID, 0},
        {"[{\"id\":\"h1\"}]", PPS_EINVALID, 0},
        {"[1]", PPS_EINVALID, 0},
        {"{}", PPS_EINVALID, 0},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        json_t *entries = json_loads(cases[i].json, 0, NULL);
        pps_host_list_t list = PPS_HOST_LIST_INIT;

        cr_expect_eq(pps_host_list_from_json(&list, entries), cases[i].error,
                     "case %zu", i);
        cr_expect_eq(list.count, cases[i].count, "case %zu", i);
        pps_host_list_clear(&list);
        json_decref(entries);
    }
}

static void
make_hosts(pps_host_t hosts[HOSTS], pps_host_report_t reports[HOSTS])
{
    memset(hosts, 0, HOSTS * sizeof(*hosts));
    memset(reports, 0, HOSTS * sizeof(*reports));
    for (int i = 0; i < HOSTS; i++) {
        snprintf(hosts[i].id, sizeof(hosts[i].id), "h%d", i);
        snprintf(hosts[i].failure_domain, sizeof(hosts[i].failure_domain),
                 "d%d", i / 2);
        strcpy(reports[i].id, hosts[i].id);
        reports[i].pong_received_us = 1;
        reports[i].status.incarnation = (uint64_t)i + 1;
    }
}

static pps_membership_t
build(const pps_host_t *hosts, const pps_host_report_t *reports, size_t count)
{
    pps_host_list_t list = {(pps_host_t *)hosts, count};
    pps_membership_t membership;

    cr_assert_eq(
        pps_membership_build(&membership, "h0", 9, &list, reports, count), 0);
    return membership;
}

Test(membership, states)
{
    static const struct {
        const char *id;
        pps_member_state_t state;
        uint64_t incarnation;
    } cases[] = {
        {"h0", PPS_MEMBER_ALIVE, 9},   {"h1", PPS_MEMBER_SUSPECTED, 2},
        {"h2", PPS_MEMBER_LEAVING, 3}, {"h3", PPS_MEMBER_LEAVING, 4},
        {"h4", PPS_MEMBER_UNKNOWN, 0}, {"h5", PPS_MEMBER_ALIVE, 6},
    };
    pps_host_t hosts[HOSTS];
    pps_host_report_t reports[HOSTS];
    pps_membership_t membership;

    make_hosts(hosts, reports);
    reports[0].suspected = 1;
    reports[1].suspected = 1;
    hosts[2].state = PPS_HOST_LEAVING;
    reports[3].status.leaving = 1;
    reports[4].pong_received_us = PPS_TIME_NONE;
    reports[4].status.incarnation = 0;
    membership = build(hosts, reports, HOSTS);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        const pps_member_t *member =
            pps_membership_find(&membership, cases[i].id);

        cr_expect_eq(member->state, cases[i].state, "%s", cases[i].id);
        cr_expect_eq(member->incarnation, cases[i].incarnation, "%s",
                     cases[i].id);
    }
    cr_expect_eq(pps_membership_count_alive(&membership), 4);
    pps_membership_clear(&membership);
}

Test(membership, partner_is_in_another_domain_if_one_is_alive)
{
    pps_host_t hosts[HOSTS];
    pps_host_report_t reports[HOSTS];
    pps_membership_t membership;
    const pps_member_t *partner;

    make_hosts(hosts, reports);
    membership = build(hosts, reports, HOSTS);
    for (int i = 0; i < HOSTS; i++) {
        cr_assert_eq(
            pps_membership_find_partner(&partner, &membership, hosts[i].id),
            0);
        cr_expect_str_neq(partner->host.failure_domain,
                          hosts[i].failure_domain);
    }
    pps_membership_clear(&membership);
    membership = build(hosts, reports, 2);
    cr_assert_eq(pps_membership_find_partner(&partner, &membership, "h0"), 0);
    cr_expect_str_eq(partner->host.id, "h1");
    pps_membership_clear(&membership);
    membership = build(hosts, reports, 1);
    cr_expect_eq(pps_membership_find_partner(&partner, &membership, "h0"),
                 PPS_ENOTFOUND);
    pps_membership_clear(&membership);
}

/* Only keys of the replaced host and keys assigned to the new one change
 * owner; none moves between two remaining hosts. */
Test(membership, replacing_a_host_moves_only_its_keys)
{
    pps_host_t hosts[HOSTS];
    pps_host_report_t reports[HOSTS];
    pps_membership_t before;
    pps_membership_t after;
    size_t lost = 0;
    size_t won = 0;

    make_hosts(hosts, reports);
    before = build(hosts, reports, HOSTS);
    strcpy(hosts[3].id, "new");
    strcpy(reports[3].id, "new");
    after = build(hosts, reports, HOSTS);
    for (uint32_t key = 0; key < KEYS; key++) {
        const pps_member_t *a;
        const pps_member_t *b;

        cr_assert_eq(pps_membership_find_owner(&a, &before, &key, sizeof(key)),
                     0);
        cr_assert_eq(pps_membership_find_owner(&b, &after, &key, sizeof(key)),
                     0);
        if (strcmp(a->host.id, b->host.id) == 0) {
            continue;
        }
        lost += strcmp(a->host.id, "h3") == 0;
        won += strcmp(b->host.id, "new") == 0;
        cr_expect(strcmp(a->host.id, "h3") == 0 ||
                      strcmp(b->host.id, "new") == 0,
                  "key %u", key);
    }
    fprintf(stderr, "keys lost %zu, won %zu of %d\n", lost, won, KEYS);
    cr_expect_lt(lost, KEYS / HOSTS * 6 / 5);
    cr_expect_lt(won, KEYS / HOSTS * 6 / 5);
    pps_membership_clear(&before);
    pps_membership_clear(&after);
}

Test(membership, losing_a_host_moves_exactly_its_keys)
{
    pps_host_t hosts[HOSTS];
    pps_host_report_t reports[HOSTS];
    pps_membership_t before;
    pps_membership_t after;

    make_hosts(hosts, reports);
    before = build(hosts, reports, HOSTS);
    reports[3].suspected = 1;
    after = build(hosts, reports, HOSTS);
    for (uint32_t key = 0; key < KEYS; key++) {
        const pps_member_t *a;
        const pps_member_t *b;

        cr_assert_eq(pps_membership_find_owner(&a, &before, &key, sizeof(key)),
                     0);
        cr_assert_eq(pps_membership_find_owner(&b, &after, &key, sizeof(key)),
                     0);
        cr_expect_eq(strcmp(a->host.id, b->host.id) != 0,
                     strcmp(a->host.id, "h3") == 0, "key %u", key);
    }
    pps_membership_clear(&before);
    pps_membership_clear(&after);
}
