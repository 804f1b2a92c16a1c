/**
 * @file price_book.h
 * @brief Counts of this host's answers by workspace, model, kind and version.
 *
 * Bounded per workspace, because callers name the kinds: when full, a new
 * entry replaces the one with the fewest answers. Not thread-safe.
 */
#ifndef PPS_QUALITY_PRICE_BOOK_H
#define PPS_QUALITY_PRICE_BOOK_H

#include "papayaswitch/quality_board.h"
#include "papayaswitch/quality_price.h"

#include "table.h"

#include <urcu/list.h>

/** Maximum number of pairs of model and kind per workspace. */
#define PPS_PRICE_DEMANDS_MAX 16

/** Maximum number of versions per pair of model and kind. */
#define PPS_PRICE_DELIVERIES_MAX 8

/** Answers of a workspace at which its counts are halved, to weight new ones.
 */
#define PPS_PRICE_HALVING_ANSWERS (10.0 * PPS_PRICE_HORIZON)

/** Number of answers by one version. */
typedef struct {
    char version[PPS_NAME_MAX + 1];
    double answers;
} pps_price_delivery_t;

/** Requests of one kind for one model. */
typedef struct {
    char model[PPS_NAME_MAX + 1];
    char kind[PPS_NAME_MAX + 1];
    double answers;
    pps_price_delivery_t deliveries[PPS_PRICE_DELIVERIES_MAX];
    size_t delivery_count;
} pps_price_demand_t;

/** Answer counts of a workspace and its price. */
typedef struct {
    pps_table_item_t item;
    struct cds_list_head node;
    char workspace[PPS_NAME_MAX + 1];
    double answers;
    pps_price_demand_t demands[PPS_PRICE_DEMANDS_MAX];
    size_t demand_count;
    pps_price_t price;
    int has_price; /**< 1: `price` is set */
} pps_price_account_t;

/** Accounts by workspace; initialize with pps_price_book_init(). */
typedef struct {
    pps_table_t by_workspace;
    struct cds_list_head order; /**< no price first, then the oldest price */
    size_t count;
} pps_price_book_t;

void
pps_price_book_init(pps_price_book_t *book);

/** Counts an answer. @return 0; PPS_ENOMEM */
int
pps_price_book_add_answer(pps_price_book_t *book,
                          const pps_quality_answer_t *answer);

/** Returns the account of a workspace, or NULL. */
pps_price_account_t *
pps_price_book_find(const pps_price_book_t *book, const char *workspace);

/** Moves the first account to the end of `order` and returns it, or NULL. */
pps_price_account_t *
pps_price_book_next(pps_price_book_t *book);

/** Removes an account and frees it. */
void
pps_price_book_remove(pps_price_book_t *book, pps_price_account_t *account);

/** Frees all accounts. */
void
pps_price_book_clear(pps_price_book_t *book);

#endif
