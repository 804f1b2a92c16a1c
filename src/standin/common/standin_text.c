/** @file standin_text.c @brief Derives words and lengths from hashes. */
#include "standin_text.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define LENGTH_PREFIX "length="
#define SYLLABLE_COUNT 32
#define SYLLABLES_MAX 4
#define LENGTH_MIN 16
#define LENGTH_RANGE 112
#define BYTES_PER_PROMPT_TOKEN 4

static const char syllables[SYLLABLE_COUNT][3] = {
    "ba", "be", "bo", "da", "de", "do", "fa", "fe", "ga", "go", "ha",
    "ka", "ke", "ko", "la", "le", "lo", "ma", "me", "mo", "na", "ne",
    "no", "pa", "pe", "ra", "re", "ro", "sa", "se", "ta", "te"};

uint64_t
standin_text_key(const char *version, const char *prompt)
{
    uint64_t seed = XXH64(version, strlen(version), 0);

    return XXH64(prompt, strlen(prompt), seed);
}

void
standin_text_token(char out[STANDIN_TOKEN_BYTES], uint64_t key, uint64_t index)
{
    uint64_t bits = XXH64(&index, sizeof(index), key);
    size_t count = 1 + bits % SYLLABLES_MAX;
    size_t length = 0;

    bits /= SYLLABLES_MAX;
    for (size_t i = 0; i < count; i++) {
        memcpy(out + length, syllables[bits % SYLLABLE_COUNT], 2);
        bits /= SYLLABLE_COUNT;
        length += 2;
    }
    out[length] = ' ';
    out[length + 1] = '\0';
}

uint64_t
standin_text_length(const char *prompt, uint64_t max_tokens)
{
    const char *option = strstr(prompt, LENGTH_PREFIX);
    uint64_t length =
        option != NULL
            ? strtoull(option + strlen(LENGTH_PREFIX), NULL, 10)
            : LENGTH_MIN + XXH64(prompt, strlen(prompt), 0) % LENGTH_RANGE;

    return length < max_tokens ? length : max_tokens;
}

uint64_t
standin_text_prompt_tokens(const char *prompt)
{
    return (strlen(prompt) + BYTES_PER_PROMPT_TOKEN - 1) /
           BYTES_PER_PROMPT_TOKEN;
}
