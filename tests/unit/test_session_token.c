/** @file test_session_token.c @brief Tests which tokens are accepted. */
#include "papayaswitch/errors.h"
#include "papayaswitch/session_token.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define EXPIRES_US 1000

static const pps_session_token_t token = {"ministry", "chapter 4", "v1",
                                          EXPIRES_US};

static pps_session_key_t
derive(const char *secret)
{
    pps_session_key_t key;

    cr_assert_eq(pps_session_key_derive(&key, secret), 0);
    return key;
}

Test(session_token, is_checked_for_key_workspace_and_expiry)
{
    static const struct {
        const char *workspace;
        int64_t now_us;
        int keys; /**< 0: other_key, 1: sealing_key, 2: both */
        int result;
    } cases[] = {
        {"ministry", EXPIRES_US - 1, 1, 0},
        {"ministry", EXPIRES_US - 1, 2, 0},
        {"ministry", EXPIRES_US, 1, PPS_EEXPIRED},
        {"province", EXPIRES_US - 1, 1, PPS_EREFUSED},
        {"ministry", EXPIRES_US - 1, 0, PPS_EREFUSED},
    };
    pps_session_key_t sealing_key = derive("a secret of the hosts");
    pps_session_key_t other_key = derive("another secret, not ours");
    pps_session_key_t keys[2] = {other_key, sealing_key};
    pps_session_token_t found;
    char *text;

    cr_assert_eq(pps_session_token_seal(&text, &token, &sealing_key), 0);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        int count = cases[i].keys == 2 ? 2 : 1;

        cr_expect_eq(pps_session_token_open(
                         &found, text, cases[i].workspace, cases[i].now_us,
                         cases[i].keys == 1 ? &sealing_key : keys,
                         (size_t)count),
                     cases[i].result, "case %zu", i);
    }
    cr_expect_str_eq(found.version, "v1");
    cr_expect_str_eq(found.session, "chapter 4");
    free(text);
}

Test(session_token, altered_and_truncated_tokens_are_refused)
{
    pps_session_key_t key = derive("a secret of the hosts");
    pps_session_token_t found;
    char *text;
    char kept;

    cr_assert_eq(pps_session_token_seal(&text, &token, &key), 0);
    for (size_t i = 0; text[i] != '\0'; i++) {
        kept = text[i];
        text[i] = kept == 'A' ? 'Q' : 'A';
        cr_expect_eq(
            pps_session_token_open(&found, text, "ministry", 0, &key, 1),
            PPS_EREFUSED, "character %zu", i);
        text[i] = '\0';
        cr_expect_eq(
            pps_session_token_open(&found, text, "ministry", 0, &key, 1),
            PPS_EREFUSED, "cut at %zu", i);
        text[i] = kept;
    }
    free(text);
}

Test(session_token, a_short_secret_is_refused)
{
    pps_session_key_t key;

    cr_expect_eq(pps_session_key_derive(&key, "short"), PPS_EINVALID);
}
