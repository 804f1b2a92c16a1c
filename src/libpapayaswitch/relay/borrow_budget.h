/**
 * @file borrow_budget.h
 * @brief Bounds how often a host asks others to send requests with their share
 * of a worker. Does no I/O.
 *
 * Designed for an overload in which no share is free: each request that is
 * refused would ask many hosts in vain. While asking succeeds, it costs
 * nothing of the budget.
 */
#ifndef PPS_RELAY_BORROW_BUDGET_H
#define PPS_RELAY_BORROW_BUDGET_H

/** Tries that are saved up. Zero-initialize it. */
typedef struct {
    double saved;
} pps_borrow_budget_t;

/** Adds the tries of a request that needs another host's share. */
void
pps_borrow_budget_add(pps_borrow_budget_t *budget);

/** Returns whether a request may ask one more host. */
int
pps_borrow_budget_is_open(const pps_borrow_budget_t *budget);

/** Takes one try. */
void
pps_borrow_budget_take(pps_borrow_budget_t *budget);

/** Gives a try back that succeeded. */
void
pps_borrow_budget_refund(pps_borrow_budget_t *budget);

#endif
