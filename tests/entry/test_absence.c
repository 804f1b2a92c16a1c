/** @file test_absence.c @brief Tests what an entry's absence is taken for. */
#include "mirror/absence.h"

#include <criterion/criterion.h>

typedef struct {
    const char *name;
    pps_absence_t absence;
    int may_be_expiry;
} absence_case_t;

/* is_unsettled, is_failing, others_read_all */
static const absence_case_t cases[] = {
    {"the host reads, and the entry goes", {0, 0, 0}, 0},
    {"the host and others read", {0, 0, 1}, 0},
    {"the store was away for all", {0, 1, 0}, 1},
    {"it was away for this host only", {0, 1, 1}, 0},
    {"a backup may lack the entry", {1, 0, 0}, 1},
    {"others read the backup too", {1, 0, 1}, 1},
    {"a backup, after it was away", {1, 1, 1}, 1},
};

/* Guards against sending to a worker that left while this host could not read
 * the store and others could. */
Test(absence, entry_removed_while_only_this_host_could_not_read)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        cr_expect_eq(pps_absence_may_be_expiry(&cases[i].absence),
                     cases[i].may_be_expiry, "%s", cases[i].name);
    }
}
