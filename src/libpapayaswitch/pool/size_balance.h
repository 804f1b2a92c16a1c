/**
 * @file size_balance.h
 * @brief Shares permits between requests of one slot and larger ones. Does no
 * I/O and reads no clock.
 *
 * Designed for overload: a large request needs several permits that are free
 * at the same time, and small ones would take each as soon as it is. While a
 * large one has lately been turned away, small ones leave a host's permits at
 * a worker alone until large ones have had the part there that they are of
 * all requests.
 */
#ifndef PPS_POOL_SIZE_BALANCE_H
#define PPS_POOL_SIZE_BALANCE_H

/** Slots of the last requests. Zero: none. */
typedef struct {
    double small_slots;
    double large_slots;
} pps_size_balance_t;

/** Adds a request. @param slots its size @param window slots that count */
void
pps_size_balance_add(pps_size_balance_t *balance, unsigned int slots,
                     double window);

/** Returns the part of the slots that large requests had, 0 to 1; 0: there
 * were none. */
double
pps_size_balance_large(const pps_size_balance_t *balance);

#endif
