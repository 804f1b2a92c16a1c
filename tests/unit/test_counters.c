/** @file test_counters.c @brief Tests the counters and their operators page.
 */
#include "counters.h"
#include "ini_lines.h"

#include <criterion/criterion.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define THREADS 20
#define ADDS 1000

static void *
add_repeatedly(void *user)
{
    for (int i = 0; i < ADDS; i++) {
        pps_counter_add(PPS_COUNTER_REQUESTS, 1);
    }
    return NULL;
}

Test(counters, concurrent_additions_are_all_counted)
{
    pthread_t threads[THREADS];

    for (int i = 0; i < THREADS; i++) {
        pthread_create(&threads[i], NULL, add_repeatedly, NULL);
    }
    for (int i = 0; i < THREADS; i++) {
        pthread_join(threads[i], NULL);
    }
    cr_expect_eq(pps_counter_sum(PPS_COUNTER_REQUESTS), THREADS * ADDS);
}

Test(counters, every_counter_is_on_the_operators_page)
{
    char *page;
    size_t size;

    cr_assert_eq(pps_file_read(&page, &size, "docs/operators/counters.md"), 0);
    for (int i = 0; i < PPS_COUNTER_COUNT; i++) {
        char cell[96];

        snprintf(cell, sizeof(cell), "| `%s` |",
                 pps_counter_name((pps_counter_t)i));
        cr_expect(strstr(page, cell) != NULL, "%s", cell);
    }
    free(page);
}
