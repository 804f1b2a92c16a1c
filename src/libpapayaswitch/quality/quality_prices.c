/** @file quality_prices.c @brief Prices of the workspaces on the board. */
#include "board_state.h"
#include "price_plan.h"

/** Workspaces that a call finds a price for: a bound on the lock's time. */
#define PLANS_A_CALL 32

static void
plan_next(pps_quality_board_t *board, const pps_catalog_t *catalog,
          const pps_quality_held_t *held)
{
    pps_price_account_t *account = pps_price_book_next(&board->prices);
    pps_price_plan_input_t input = {.catalog = catalog,
                                    .source = &board->evidence.source,
                                    .held = {held->list, held->count}};

    if (account == NULL) {
        return;
    }
    input.workspace = pps_catalog_workspace(catalog, account->workspace);
    if (input.workspace == NULL) {
        pps_price_book_drop(&board->prices, account);
        return;
    }
    pps_price_plan(&account->price, account, &input);
    account->priced = 1;
}

static size_t
plans_due(pps_quality_board_t *board)
{
    size_t count;

    pthread_rwlock_rdlock(&board->lock);
    count = board->prices.count;
    pthread_rwlock_unlock(&board->lock);
    return count < PLANS_A_CALL ? count : PLANS_A_CALL;
}

void
pps_quality_board_update_prices(pps_quality_board_t *board,
                                const pps_catalog_t *catalog)
{
    size_t due = plans_due(board);
    pps_quality_held_t held;

    pps_quality_board_copy_held(board, &held);
    for (size_t i = 0; i < due; i++) {
        pthread_rwlock_wrlock(&board->lock);
        plan_next(board, catalog, &held);
        pthread_rwlock_unlock(&board->lock);
    }
}

double
pps_quality_board_price(pps_quality_board_t *board, const char *workspace,
                        double draw)
{
    const pps_price_account_t *account;
    double price = 0.0;

    pthread_rwlock_rdlock(&board->lock);
    account = pps_price_book_find(&board->prices, workspace);
    if (account != NULL && account->priced) {
        price = pps_price_draw(&account->price, draw);
    }
    pthread_rwlock_unlock(&board->lock);
    return price;
}
