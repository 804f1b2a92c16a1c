/** @file journal_present.c @brief Tracks which hosts are present. */
#include "journal_state.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

int
pps_journal_set_present_hosts(pps_journal_t *journal,
                              const pps_journal_host_t *hosts, size_t count)
{
    pps_present_host_t *present = calloc(count + 1, sizeof(*present));

    if (present == NULL) {
        return pps_error_set(PPS_ENOMEM, "journal: out of memory");
    }
    for (size_t i = 0; i < count; i++) {
        strncpy(present[i].name, hosts[i].name, PPS_NAME_MAX);
        present[i].incarnation = hosts[i].incarnation;
    }
    pthread_mutex_lock(&journal->mutex);
    free(journal->present);
    journal->present = present;
    journal->present_count = count;
    pthread_mutex_unlock(&journal->mutex);
    return PPS_OK;
}

int
pps_holder_is_present(const pps_journal_t *journal,
                      const pps_held_claim_t *held)
{
    if (strcmp(held->host, journal->host) == 0) {
        return held->incarnation >= journal->options.incarnation;
    }
    for (size_t i = 0; i < journal->present_count; i++) {
        if (strcmp(held->host, journal->present[i].name) == 0) {
            return held->incarnation >= journal->present[i].incarnation;
        }
    }
    return journal->present == NULL;
}
