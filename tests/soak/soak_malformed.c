/** @file soak_malformed.c @brief Answers of workers that are none by the
 * grammar of HTTP, which no caller may get. */
#include "soak.h"

#include <string.h>

/** One in so many whole answers is malformed, until faults have ended. */
#define MALFORMED_INTERVAL 40
#define STATUS_OK 200
/** Keeps the draws of the other faults as they are for a seed. */
#define SEED_CHANGE UINT64_C(0xbad)

typedef struct {
    unsigned int status;
    const char *line; /* of the head */
} form_t;

static const form_t forms[] = {
    {600, ""},
    {999, ""},
    {99, ""},
    {STATUS_OK, "X Odd: 1\r\n"},
    {STATUS_OK, "X-Odd : 1\r\n"},
    {STATUS_OK, "X-Odd\x01: 1\r\n"},
    {STATUS_OK, "X-Odd: 1\r\n 2\r\n"},
    {STATUS_OK, "Content-Length : 1\r\n"},
    {STATUS_OK, "Transfer-Encoding: gzip\r\n"},
};

static pps_rng_t malformed_rng;

void
malformed_start(const soak_t *soak)
{
    pps_rng_init(&malformed_rng, soak->seed ^ SEED_CHANGE);
}

unsigned int
malformed_spoil(char *fields, size_t size, const soak_t *soak)
{
    const form_t *form;

    /* Hosts of earlier builds pass such answers on. */
    if (soak->in_recovery || soak->program_before != NULL ||
        pps_rng_below(&malformed_rng, MALFORMED_INTERVAL) != 0) {
        return STATUS_OK;
    }
    form =
        &forms[pps_rng_below(&malformed_rng, sizeof(forms) / sizeof(*forms))];
    strncat(fields, form->line, size - strlen(fields) - 1);
    return form->status;
}
