/** @file quality_prices.c @brief Updates and draws prices of workspaces. */
#include "board_state.h"
#include "price_plan.h"

/** Maximum prices updated per call; bounds the time under the lock. */
#define PRICES_PER_CALL 32

static void
update_next_price(pps_quality_board_t *board, const pps_catalog_t *catalog,
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
        pps_price_book_remove(&board->prices, account);
        return;
    }
    pps_price_plan_compute(&account->price, account, &input);
    account->has_price = 1;
}

static size_t
count_prices_to_update(pps_quality_board_t *board)
{
    size_t count;

    pthread_rwlock_rdlock(&board->lock);
    count = board->prices.count;
    pthread_rwlock_unlock(&board->lock);
    return count < PRICES_PER_CALL ? count : PRICES_PER_CALL;
}

void
pps_quality_board_update_prices(pps_quality_board_t *board,
                                const pps_catalog_t *catalog)
{
    size_t count = count_prices_to_update(board);
    pps_quality_held_t held;

    pps_quality_board_copy_held(board, &held);
    for (size_t i = 0; i < count; i++) {
        pthread_rwlock_wrlock(&board->lock);
        update_next_price(board, catalog, &held);
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
    if (account != NULL && account->has_price) {
        price = pps_price_draw(&account->price, draw);
    }
    pthread_rwlock_unlock(&board->lock);
    return price;
}
