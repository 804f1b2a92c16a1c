/** @file test_copy_sources.c @brief Tests the choice of the host that sends a
 * copy, and the bound on the copies that a host sends. */
#include "mirror/copy_queue.h"
#include "mirror/copy_sources.h"

#include "clock.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define MS PPS_US_PER_MS
#define CANDIDATES 4
#define NONE "-"

typedef struct {
    const char *name;
    pps_copy_candidate_t candidates[CANDIDATES];
    const char *hinted; /**< at 0 ms; NULL: none */
    const char *left_out;
    pps_copy_refusal_t why;
    int64_t now_us;
    const char *chosen; /**< all that may be chosen; NONE: nobody */
} case_t;

static const case_t cases[] = {
    {"nobody is ahead", {{"a", 0, 1}, {"b", 0, 0}}, NULL, NULL, 0, 0, NONE},
    {"the own domain is preferred",
     {{"a", 1, 0}, {"b", 1, 1}, {"c", 1, 0}, {"d", 1, 1}},
     NULL,
     NULL,
     0,
     0,
     "bd"},
    {"other domains, if nobody of the own one is ahead",
     {{"a", 1, 0}, {"b", 0, 1}, {"c", 1, 0}},
     NULL,
     NULL,
     0,
     0,
     "ac"},
    {"a busy host is left out",
     {{"a", 1, 1}, {"b", 1, 0}},
     NULL,
     "a",
     PPS_COPY_BUSY,
     199 * MS,
     "b"},
    {"a busy host is asked again later",
     {{"a", 1, 1}, {"b", 1, 0}},
     NULL,
     "a",
     PPS_COPY_BUSY,
     200 * MS,
     "a"},
    {"the only host is left out after a failure",
     {{"a", 1, 1}},
     NULL,
     "a",
     PPS_COPY_FAILED,
     1999 * MS,
     NONE},
    {"a host with an outdated copy may get a newer one",
     {{"a", 1, 1}},
     NULL,
     "a",
     PPS_COPY_OUTDATED,
     500 * MS,
     "a"},
    {"a host that was named is asked without its state",
     {{"a", 0, 1}, {"b", 0, 0}, {"c", 1, 0}},
     "a",
     NULL,
     0,
     0,
     "a"},
    {"one that is ahead comes before one that was named",
     {{"a", 0, 1}, {"b", 1, 1}},
     "a",
     NULL,
     0,
     0,
     "b"},
    {"a hint is forgotten", {{"a", 0, 1}}, "a", NULL, 0, 1500 * MS, NONE},
    {"a host that was named and failed is not asked",
     {{"a", 0, 1}},
     "a",
     "a",
     PPS_COPY_OUTDATED,
     600 * MS,
     NONE},
    {"an unknown host that was named is not asked",
     {{"a", 1, 0}},
     "z",
     NULL,
     0,
     0,
     "a"},
};

static const char *
draw(const case_t *c, const pps_copy_sources_t *sources, pps_rng_t *rng)
{
    pps_copy_draw_t choice = {0};

    for (size_t i = 0; i < CANDIDATES && c->candidates[i].address; i++) {
        pps_copy_draw_offer(&choice, sources, &c->candidates[i], rng,
                            c->now_us);
    }
    return choice.chosen != NULL ? choice.chosen->address : NONE;
}

/* Each host that may be chosen must be, so that no host serves all others. */
Test(copy_sources, table)
{
    pps_rng_t rng;

    pps_rng_init(&rng, 1);
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        const case_t *c = &cases[i];
        pps_copy_sources_t sources = {0};
        unsigned int counts[256] = {0};

        if (c->hinted != NULL) {
            pps_copy_sources_hint(&sources, c->hinted, 0);
        }
        if (c->left_out != NULL) {
            pps_copy_sources_leave_out(&sources, c->left_out, c->why, 0);
        }
        for (int n = 0; n < 400; n++) {
            const char *chosen = draw(c, &sources, &rng);

            cr_expect_not_null(strstr(c->chosen, chosen), "%s: %s", c->name,
                               chosen);
            counts[(unsigned char)chosen[0]]++;
        }
        for (const char *host = c->chosen; *host != '\0'; host++) {
            cr_expect_gt(counts[(unsigned char)*host], 300 / strlen(c->chosen),
                         "%s: %c", c->name, *host);
        }
    }
}

/* Guards against a table that grows with the number of hosts. */
Test(copy_sources, oldest_host_is_forgotten)
{
    pps_copy_sources_t sources = {0};
    pps_copy_candidate_t candidate = {"first", 1, 1};
    pps_copy_draw_t choice = {0};
    pps_rng_t rng;
    char address[16];

    pps_rng_init(&rng, 1);
    pps_copy_sources_leave_out(&sources, "first", PPS_COPY_FAILED, 0);
    for (int i = 0; i < PPS_COPY_SOURCES; i++) {
        snprintf(address, sizeof(address), "h%d", i);
        pps_copy_sources_leave_out(&sources, address, PPS_COPY_FAILED, 0);
    }
    pps_copy_draw_offer(&choice, &sources, &candidate, &rng, 0);
    cr_expect_not_null(choice.chosen);
}

typedef struct {
    const char *name;
    size_t size;
    int64_t link_mbps;
    unsigned int accepted; /**< of many that ask at the same time */
} queue_case_t;

/* The copies accepted at once fit into half of the link for 200 ms. */
static const queue_case_t queue_cases[] = {
    {"41 KB at 10 Mbit/s: 66 ms each", 41000, 10, 3},
    {"41 KB at 200 Mbit/s: 3.3 ms each", 41000, 200, 60},
    {"unknown speed counts as 10 Mbit/s", 41000, 0, 3},
    {"a large copy is sent alone", 1000000, 10, 1},
    {"small copies cost time as well", 100, 200, 100},
};

Test(copy_queue, number_is_bounded)
{
    for (size_t i = 0; i < sizeof(queue_cases) / sizeof(*queue_cases); i++) {
        const queue_case_t *c = &queue_cases[i];
        pps_copy_queue_t queue = {0};
        unsigned int accepted = 0;

        for (int n = 0; n < 1000; n++) {
            accepted += pps_copy_queue_accept(&queue, c->size, c->link_mbps,
                                              1000) != 0;
        }
        cr_expect_eq(accepted, c->accepted, "%s: %u", c->name, accepted);
        cr_expect(pps_copy_queue_accept(&queue, c->size, c->link_mbps,
                                        1000 + 2000 * MS),
                  "%s: accepted again later", c->name);
    }
}

/* A host is named only after its copy has been sent, and not for ever: it may
 * have an older copy by then. */
Test(copy_queue, names_hosts_that_have_the_copy)
{
    pps_copy_queue_t queue = {0};
    char text[64];

    pps_copy_queue_list(text, sizeof(text), &queue, 0);
    cr_expect_str_eq(text, "");
    pps_copy_queue_accept(&queue, 41000, 10, 0);
    pps_copy_queue_note(&queue, "10.0.0.1");
    pps_copy_queue_accept(&queue, 41000, 10, 0);
    pps_copy_queue_note(&queue, "10.0.0.2");
    pps_copy_queue_list(text, sizeof(text), &queue, 65 * MS);
    cr_expect_str_eq(text, "");
    pps_copy_queue_list(text, sizeof(text), &queue, 70 * MS);
    cr_expect_str_eq(text, "10.0.0.1");
    pps_copy_queue_list(text, sizeof(text), &queue, 140 * MS);
    cr_expect_str_eq(text, "10.0.0.1,10.0.0.2");
    pps_copy_queue_list(text, 12, &queue, 140 * MS);
    cr_expect_str_eq(text, "10.0.0.1");
    pps_copy_queue_list(text, sizeof(text), &queue, 3200 * MS);
    cr_expect_str_eq(text, "");
}
