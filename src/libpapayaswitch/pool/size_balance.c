/** @file size_balance.c @brief Shares permits between sizes of requests. */
#include "size_balance.h"

void
pps_size_balance_add(pps_size_balance_t *balance, unsigned int slots,
                     double window)
{
    if (slots > 1) {
        balance->large_slots += slots;
    }
    else {
        balance->small_slots += slots;
    }
    if (balance->small_slots + balance->large_slots > window) {
        balance->small_slots /= 2;
        balance->large_slots /= 2;
    }
}

double
pps_size_balance_large(const pps_size_balance_t *balance)
{
    double sum = balance->small_slots + balance->large_slots;

    return sum > 0 ? balance->large_slots / sum : 0;
}
