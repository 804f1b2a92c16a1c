/** @file test_request_size.c @brief The memory that requests take at a worker,
 * and how permits are shared between small and large ones. */
#include "clock.h"
#include "pool/request_size.h"
#include "pool/size_balance.h"

#include <criterion/criterion.h>

#define SLOTS 12
#define MEMORY 120000
#define NOW_US (100 * PPS_US_PER_S)
#define WINDOW 16

typedef struct {
    const char *name;
    int64_t tokens;
    int64_t memory;
    unsigned int slots;
    unsigned int size;
    unsigned int divided_for; /* if it is the longest prompt */
} size_case_t;

static const size_case_t sizes[] = {
    {"no tokens are stated", 0, MEMORY, SLOTS, 1, 1},
    {"the memory is unknown", 50000, 0, SLOTS, 1, 1},
    {"the slots are unknown", 50000, MEMORY, 0, 1, 1},
    {"one slot", 10000, MEMORY, SLOTS, 1, 1},
    {"a token more than one slot", 10001, MEMORY, SLOTS, 2, 2},
    {"three slots", 30000, MEMORY, SLOTS, 3, 4},
    {"nine slots", 90000, MEMORY, SLOTS, 9, SLOTS},
    {"all memory", MEMORY, MEMORY, SLOTS, SLOTS, SLOTS},
    {"more than the memory", 10 * MEMORY, MEMORY, SLOTS, SLOTS, SLOTS},
};

Test(request_size, table)
{
    for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
        const size_case_t *item = &sizes[i];
        pps_longest_prompt_t longest = {0};

        pps_longest_prompt_note(&longest, item->tokens, NOW_US);
        cr_expect_eq(pps_request_size(item->tokens, item->memory, item->slots),
                     item->size, "%s", item->name);
        cr_expect_eq(pps_longest_prompt_size(&longest, item->memory,
                                             item->slots, NOW_US),
                     item->divided_for, "%s", item->name);
    }
}

typedef struct {
    const char *name;
    int64_t tokens[2];
    int64_t gap_s; /* between them, and after the last one */
    int64_t longest;
} prompt_case_t;

static const prompt_case_t prompts[] = {
    {"a shorter one follows", {900, 100}, 1, 900},
    {"a longer one follows", {100, 900}, 1, 900},
    {"a shorter one does not stay for longer", {900, 100}, 59, 0},
    {"nothing follows for long", {900, 0}, 60, 0},
};

Test(request_size, longest_prompt)
{
    for (size_t i = 0; i < sizeof(prompts) / sizeof(*prompts); i++) {
        const prompt_case_t *item = &prompts[i];
        int64_t gap_us = item->gap_s * PPS_US_PER_S;
        pps_longest_prompt_t longest = {0};

        pps_longest_prompt_note(&longest, item->tokens[0], NOW_US);
        pps_longest_prompt_note(&longest, item->tokens[1], NOW_US + gap_us);
        cr_expect_eq(pps_longest_prompt_tokens(&longest, NOW_US + 2 * gap_us),
                     item->longest, "%s", item->name);
    }
}

typedef struct {
    const char *name;
    unsigned int requests[4]; /* their sizes; 0: none */
    double large;
} balance_case_t;

static const balance_case_t balances[] = {
    {"no requests", {0}, 0},
    {"small ones", {1, 1}, 0},
    {"a large one", {4}, 1},
    {"one of each", {1, 3}, 0.75},
    {"newer ones count more", {12, 8, 1, 1}, 10.0 / 12},
};

Test(size_balance, table)
{
    for (size_t i = 0; i < sizeof(balances) / sizeof(*balances); i++) {
        pps_size_balance_t balance = {0};

        for (int r = 0; r < 4 && balances[i].requests[r] > 0; r++) {
            pps_size_balance_add(&balance, balances[i].requests[r], WINDOW);
        }
        cr_expect_float_eq(pps_size_balance_large(&balance), balances[i].large,
                           0.001, "%s: %f", balances[i].name,
                           pps_size_balance_large(&balance));
    }
}
