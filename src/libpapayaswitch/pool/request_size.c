/** @file request_size.c @brief The memory that requests take at a worker. */
#include "request_size.h"

#include "clock.h"

/** Time after which a prompt is forgotten if none as long has come. */
#define SEEN_US (60 * PPS_US_PER_S)

unsigned int
pps_request_size(int64_t tokens, int64_t memory_tokens, unsigned int slots)
{
    int64_t slot_tokens = slots > 0 ? memory_tokens / slots : 0;

    if (slot_tokens <= 0 || tokens <= slot_tokens) {
        return 1;
    }
    if (tokens >= memory_tokens) {
        return slots;
    }
    return (unsigned int)((tokens + slot_tokens - 1) / slot_tokens);
}

int64_t
pps_longest_prompt_tokens(const pps_longest_prompt_t *longest, int64_t now_us)
{
    return now_us - longest->seen_us < SEEN_US ? longest->tokens : 0;
}

void
pps_longest_prompt_note(pps_longest_prompt_t *longest, int64_t tokens,
                        int64_t now_us)
{
    if (tokens > 0 && tokens >= pps_longest_prompt_tokens(longest, now_us)) {
        longest->tokens = tokens;
        longest->seen_us = now_us;
    }
}

unsigned int
pps_longest_prompt_size(const pps_longest_prompt_t *longest,
                        int64_t memory_tokens, unsigned int slots,
                        int64_t now_us)
{
    unsigned int size = pps_request_size(
        pps_longest_prompt_tokens(longest, now_us), memory_tokens, slots);
    unsigned int rounded = 1;

    while (rounded < size) {
        rounded *= 2;
    }
    return rounded < slots || slots == 0 ? rounded : slots;
}
