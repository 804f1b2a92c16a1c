/** @file absence.c @brief Tells removed entries from expired ones. */
#include "absence.h"

int
pps_absence_may_be_expiry(const pps_absence_t *absence)
{
    return absence->is_unsettled ||
           (absence->is_failing && !absence->others_read_all);
}
