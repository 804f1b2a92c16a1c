/** @file fuzz_sse.c @brief Fuzzes events against splits of the bytes. */
#include "upstream/sse.h"

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
parse(pps_buf_t *events, const uint8_t *data, size_t size, size_t step)
{
    pps_sse_t sse = {0};
    const char *event;
    int got = 0;

    for (size_t at = 0; at < size && got >= 0; at += step) {
        pps_buf_append(&sse.pending, data + at,
                       size - at < step ? size - at : step);
        while ((got = pps_sse_next(&sse, &event)) > 0) {
            pps_buf_puts(events, event);
            pps_buf_append(events, "", 1);
        }
    }
    pps_sse_clear(&sse);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    pps_buf_t unsplit = PPS_BUF_INIT;
    pps_buf_t split = PPS_BUF_INIT;

    parse(&unsplit, data, size, size + 1);
    parse(&split, data, size, 3);
    if (unsplit.size != split.size) {
        abort();
    }
    pps_buf_clear(&unsplit);
    pps_buf_clear(&split);
    return 0;
}
