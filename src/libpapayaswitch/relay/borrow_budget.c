/** @file borrow_budget.c @brief Bounds how often other hosts are asked. */
#include "borrow_budget.h"

/** Tries that each request adds, and most that are saved up for later ones. */
#define TRIES_PER_REQUEST 4.0
#define SAVED_MAX 24.0

void
pps_borrow_budget_add(pps_borrow_budget_t *budget)
{
    budget->saved += TRIES_PER_REQUEST;
    if (budget->saved > SAVED_MAX) {
        budget->saved = SAVED_MAX;
    }
}

int
pps_borrow_budget_is_open(const pps_borrow_budget_t *budget)
{
    return budget->saved >= 1;
}

void
pps_borrow_budget_take(pps_borrow_budget_t *budget)
{
    budget->saved -= 1;
}

void
pps_borrow_budget_refund(pps_borrow_budget_t *budget)
{
    budget->saved += 1;
}
