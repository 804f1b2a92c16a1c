/** @file price_book.c @brief Bounded counts of answers by workspace. */
#include "price_book.h"

#include "board_state.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>
#include <urcu/compiler.h>

void
pps_price_book_init(pps_price_book_t *book)
{
    memset(book, 0, sizeof(*book));
    CDS_INIT_LIST_HEAD(&book->order);
}

pps_price_account_t *
pps_price_book_find(const pps_price_book_t *book, const char *workspace)
{
    pps_table_item_t *item =
        pps_table_find(&book->by_workspace, workspace, strlen(workspace));

    return item != NULL ? caa_container_of(item, pps_price_account_t, item)
                        : NULL;
}

static pps_price_account_t *
account_get(pps_price_book_t *book, const char *workspace)
{
    pps_price_account_t *account = pps_price_book_find(book, workspace);

    if (account != NULL) {
        return account;
    }
    account = calloc(1, sizeof(*account));
    if (account == NULL) {
        return NULL;
    }
    snprintf(account->workspace, sizeof(account->workspace), "%s", workspace);
    pps_table_add(&book->by_workspace, &account->item, account->workspace,
                  strlen(account->workspace));
    cds_list_add(&account->node, &book->order);
    book->count++;
    return account;
}

static pps_price_demand_t *
demand_slot(pps_price_account_t *account)
{
    pps_price_demand_t *least = &account->demands[0];

    if (account->demand_count < PPS_PRICE_DEMANDS_MAX) {
        return &account->demands[account->demand_count++];
    }
    for (size_t i = 1; i < account->demand_count; i++) {
        if (account->demands[i].answers < least->answers) {
            least = &account->demands[i];
        }
    }
    account->answers -= least->answers;
    return least;
}

static pps_price_demand_t *
demand_get(pps_price_account_t *account, const char *model, const char *kind)
{
    pps_price_demand_t *demand;

    for (size_t i = 0; i < account->demand_count; i++) {
        demand = &account->demands[i];
        if (strcmp(demand->kind, kind) == 0 &&
            strcmp(demand->model, model) == 0) {
            return demand;
        }
    }
    demand = demand_slot(account);
    memset(demand, 0, sizeof(*demand));
    snprintf(demand->model, sizeof(demand->model), "%s", model);
    snprintf(demand->kind, sizeof(demand->kind), "%s", kind);
    return demand;
}

static pps_price_delivery_t *
delivery_slot(pps_price_demand_t *demand)
{
    pps_price_delivery_t *least = &demand->deliveries[0];

    if (demand->delivery_count < PPS_PRICE_DELIVERIES_MAX) {
        return &demand->deliveries[demand->delivery_count++];
    }
    for (size_t i = 1; i < demand->delivery_count; i++) {
        if (demand->deliveries[i].answers < least->answers) {
            least = &demand->deliveries[i];
        }
    }
    return least;
}

static pps_price_delivery_t *
delivery_get(pps_price_demand_t *demand, const char *version)
{
    pps_price_delivery_t *delivery;

    for (size_t i = 0; i < demand->delivery_count; i++) {
        if (strcmp(demand->deliveries[i].version, version) == 0) {
            return &demand->deliveries[i];
        }
    }
    delivery = delivery_slot(demand);
    delivery->answers = 0.0;
    snprintf(delivery->version, sizeof(delivery->version), "%s", version);
    return delivery;
}

static void
halve_counts(pps_price_account_t *account)
{
    account->answers /= 2.0;
    for (size_t i = 0; i < account->demand_count; i++) {
        pps_price_demand_t *demand = &account->demands[i];

        demand->answers /= 2.0;
        for (size_t j = 0; j < demand->delivery_count; j++) {
            demand->deliveries[j].answers /= 2.0;
        }
    }
}

int
pps_price_book_add_answer(pps_price_book_t *book,
                          const pps_quality_answer_t *answer)
{
    pps_price_account_t *account = account_get(book, answer->workspace);
    pps_price_demand_t *demand;

    if (account == NULL) {
        return pps_error_set(PPS_ENOMEM, "prices: out of memory");
    }
    if (account->answers >= PPS_PRICE_HALVING_ANSWERS) {
        halve_counts(account);
    }
    demand = demand_get(account, answer->version->model,
                        pps_quality_kind(answer->kind));
    demand->answers++;
    delivery_get(demand, answer->version->name)->answers++;
    account->answers++;
    return PPS_OK;
}

pps_price_account_t *
pps_price_book_next(pps_price_book_t *book)
{
    pps_price_account_t *account;

    if (cds_list_empty(&book->order)) {
        return NULL;
    }
    account = cds_list_first_entry(&book->order, pps_price_account_t, node);
    cds_list_del(&account->node);
    cds_list_add_tail(&account->node, &book->order);
    return account;
}

void
pps_price_book_remove(pps_price_book_t *book, pps_price_account_t *account)
{
    pps_table_remove(&book->by_workspace, &account->item);
    cds_list_del(&account->node);
    book->count--;
    free(account);
}

void
pps_price_book_clear(pps_price_book_t *book)
{
    pps_price_account_t *account;
    pps_price_account_t *next;

    cds_list_for_each_entry_safe (account, next, &book->order, node) {
        pps_price_book_remove(book, account);
    }
}
