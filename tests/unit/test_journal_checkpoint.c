/** @file test_journal_checkpoint.c @brief Tests when a checkpoint is due. */
#include "fake_log.h"
#include "papayaswitch/journal.h"

#include <criterion/criterion.h>

static fake_log_t logged;

Test(journal_checkpoint, is_due_once_the_log_has_dropped_records)
{
    pps_journal_options_t options = PPS_JOURNAL_OPTIONS_INIT;
    pps_journal_t *journal;

    fake_log_init(&logged);
    options.host = "a";
    cr_assert_eq(pps_journal_new(&journal, &logged.base, &options), 0);
    pps_journal_on_read(journal, 1, 2, 0);
    cr_expect_not(pps_journal_checkpoint_due(journal),
                  "the fold has not reached the first record");
    for (int i = 0; i < 2; i++) {
        fake_log_store(&logged, "junk", 4);
    }
    pps_journal_fold(journal, logged.entries, logged.count);
    cr_expect(pps_journal_checkpoint_due(journal));
    pps_journal_free(journal);
    fake_log_clear(&logged);
}

Test(journal_checkpoint, is_due_after_the_configured_number_of_records)
{
    pps_journal_options_t options = PPS_JOURNAL_OPTIONS_INIT;
    pps_journal_t *journal;

    fake_log_init(&logged);
    options.host = "a";
    options.checkpoint_records = 1;
    cr_assert_eq(pps_journal_new(&journal, &logged.base, &options), 0);
    cr_expect_not(pps_journal_checkpoint_due(journal));
    for (int i = 0; i < 3; i++) {
        fake_log_store(&logged, "junk", 4);
    }
    pps_journal_fold(journal, logged.entries, logged.count);
    cr_expect(pps_journal_checkpoint_due(journal));
    cr_assert_eq(pps_journal_checkpoint(journal), 0);
    pps_journal_free(journal);
    cr_expect_eq(logged.count, 4);
    fake_log_clear(&logged);
}
