/** @file test_byte_account.c @brief Which holdings are given up. */
#include "memory/byte_account.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <string.h>

#define HOLDINGS_MAX 6
#define ACCOUNT_MAX 100

typedef struct {
    uint64_t source;
    size_t bytes;
} holding_t;

typedef struct {
    const char *name;
    holding_t before[HOLDINGS_MAX]; /**< by their owners; 0 bytes: none */
    unsigned int asking;            /**< owner that gets other bytes */
    holding_t asked;
    int error;
    const char *given_up; /**< owners, in their order */
    size_t bytes;         /**< held in all afterwards */
} account_case_t;

static const account_case_t cases[] = {
    {"room enough", {{1, 40}}, 1, {2, 60}, 0, "", 100},
    {"the only one asks for too much",
     {{1, 40}},
     0,
     {1, 101},
     PPS_ELIMIT,
     "",
     0},
    {"the only source, another answer", {{1, 80}}, 1, {1, 30}, 0, "0", 30},
    {"a small one asks, a large source gives up",
     {{1, 40}, {1, 40}, {2, 10}},
     2,
     {2, 30},
     0,
     "0",
     70},
    {"the larger answer of a source goes first",
     {{1, 30}, {1, 50}, {2, 10}},
     2,
     {2, 30},
     0,
     "1",
     60},
    {"a source of many small ones is larger than one large answer",
     {{1, 10}, {1, 10}, {1, 10}, {1, 10}, {2, 35}},
     5,
     {3, 30},
     0,
     "0",
     95},
    {"several are given up until there is room",
     {{1, 30}, {1, 30}, {1, 30}},
     3,
     {2, 50},
     0,
     "01",
     80},
    {"a source that has no more than the other keeps it",
     {{1, 30}, {1, 30}},
     2,
     {2, 60},
     PPS_ELIMIT,
     "",
     60},
    {"the one that asks is the largest source",
     {{1, 20}, {2, 20}, {3, 20}},
     3,
     {4, 50},
     PPS_ELIMIT,
     "",
     60},
    {"its source's larger answer is given up first",
     {{1, 45}, {2, 40}},
     2,
     {1, 20},
     0,
     "0",
     60},
    {"a smaller holding always has room", {{1, 90}}, 0, {1, 10}, 0, "", 10},
};

#define CASE_COUNT (sizeof(cases) / sizeof(*cases))

typedef struct {
    pps_held_t held;
    unsigned int index;
    char *given_up; /**< of the test */
} owner_t;

static void
give_up(void *user)
{
    owner_t *owner = user;
    const char mark[] = {(char)('0' + owner->index), '\0'};

    strcat(owner->given_up, mark);
    pps_held_release(&owner->held);
}

static int
resize(owner_t *owner, pps_byte_account_t *account, const holding_t *holding)
{
    const pps_held_options_t options = {.kind = PPS_HELD_ANSWER,
                                        .source = holding->source,
                                        .give_up = give_up,
                                        .owner = owner};

    return pps_held_resize(&owner->held, account, &options, holding->bytes);
}

/* Guards against a faulty worker that takes the memory of the others, and
 * against a limit that is passed. */
Test(byte_account, another_holding_is_given_up)
{
    for (size_t i = 0; i < CASE_COUNT; i++) {
        const account_case_t *item = &cases[i];
        char given_up[HOLDINGS_MAX + 1] = "";
        owner_t owners[HOLDINGS_MAX] = {0};
        pps_byte_account_t account;
        int error;

        pps_byte_account_init(&account, ACCOUNT_MAX);
        for (unsigned int at = 0; at < HOLDINGS_MAX; at++) {
            owners[at].index = at;
            owners[at].given_up = given_up;
            cr_assert_eq(resize(&owners[at], &account, &item->before[at]), 0);
        }
        error = resize(&owners[item->asking], &account, &item->asked);
        cr_expect_eq(error, item->error, "%s: %d", item->name, error);
        if (error != 0) {
            pps_held_release(&owners[item->asking].held);
        }
        cr_expect_str_eq(given_up, item->given_up, "%s", item->name);
        cr_expect_eq(account.bytes, item->bytes, "%s: %zu", item->name,
                     account.bytes);
        cr_expect_leq(account.peak, ACCOUNT_MAX, "%s", item->name);
        for (unsigned int at = 0; at < HOLDINGS_MAX; at++) {
            pps_held_release(&owners[at].held);
        }
        cr_expect_eq(account.bytes, 0, "%s", item->name);
        cr_expect_eq(account.kind_bytes[PPS_HELD_ANSWER], 0, "%s", item->name);
        cr_expect_eq(pps_table_count(&account.sources), 0, "%s", item->name);
        cr_expect_null(pps_byte_account_find_largest(&account), "%s",
                       item->name);
    }
}

/* A limit that is lowered, as by new settings, holds from the next change on.
 */
Test(byte_account, lowered_limit_is_passed)
{
    char given_up[HOLDINGS_MAX + 1] = "";
    owner_t owners[2] = {{.given_up = given_up},
                         {.index = 1, .given_up = given_up}};
    pps_byte_account_t account;

    pps_byte_account_init(&account, ACCOUNT_MAX);
    resize(&owners[0], &account, &(holding_t){1, 80});
    account.max = ACCOUNT_MAX / 2;
    cr_expect_eq(resize(&owners[1], &account, &(holding_t){2, 10}), 0);
    cr_expect_str_eq(given_up, "0");
    cr_expect_eq(account.bytes, 10);
    pps_held_release(&owners[1].held);
}
