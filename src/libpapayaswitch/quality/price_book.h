/**
 * @file price_book.h
 * @brief What this host answered, by workspace, model, kind and version.
 *
 * Bounded: callers name the kinds. Where a place is wanted, the one with the
 * fewest answers is given up. No lock.
 */
#ifndef PPS_QUALITY_PRICE_BOOK_H
#define PPS_QUALITY_PRICE_BOOK_H

#include "papayaswitch/quality_board.h"
#include "papayaswitch/quality_price.h"

#include "table.h"

#include <urcu/list.h>

/** Pairs of model and kind that a workspace is planned for. */
#define PPS_PRICE_DEMANDS_MAX 16

/** Versions by which a demand was answered. */
#define PPS_PRICE_DELIVERIES_MAX 8

/** Answers after which older ones count half: ten horizons. */
#define PPS_PRICE_MEMORY (10.0 * PPS_PRICE_HORIZON)

/** Answers by one version. */
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

/** A workspace with the price found for it. */
typedef struct {
    pps_table_item_t item;
    struct cds_list_head node; /**< longest without a new price first */
    char workspace[PPS_NAME_MAX + 1];
    double answers;
    pps_price_demand_t demands[PPS_PRICE_DEMANDS_MAX];
    size_t demand_count;
    pps_price_t price;
    int priced; /**< whether a price was found yet */
} pps_price_account_t;

/** The accounts; zero-initialise, then pps_price_book_init(). */
typedef struct {
    pps_table_t by_workspace;
    struct cds_list_head order;
    size_t count;
} pps_price_book_t;

void
pps_price_book_init(pps_price_book_t *book);

/** Counts an answer. @return 0; PPS_ENOMEM */
int
pps_price_book_answered(pps_price_book_t *book,
                        const pps_quality_answer_t *answer);

/** The account of a workspace, or NULL. */
pps_price_account_t *
pps_price_book_find(const pps_price_book_t *book, const char *workspace);

/** The account that waits longest for a price, put last; NULL: none. */
pps_price_account_t *
pps_price_book_next(pps_price_book_t *book);

/** Forgets an account and frees it. */
void
pps_price_book_drop(pps_price_book_t *book, pps_price_account_t *account);

/** Frees all. */
void
pps_price_book_clear(pps_price_book_t *book);

#endif
