/**
 * @file standin_text.h
 * @brief The text that the stand-in engine generates.
 *
 * Pure functions, so that any worker of the same version continues an answer
 * identically and a test can check it.
 */
#ifndef STANDIN_TEXT_H
#define STANDIN_TEXT_H

#include <stddef.h>
#include <stdint.h>

/** Bytes of one token's text, its end included. */
#define STANDIN_TOKEN_BYTES 16

/** Key of all tokens of one version's answer to one prompt. */
uint64_t
standin_text_key(const char *version, const char *prompt);

/** Writes the token at `index`: a word and a space. */
void
standin_text_token(char out[STANDIN_TOKEN_BYTES], uint64_t key,
                   uint64_t index);

/** Number of tokens of the whole answer, at most `max_tokens`. */
uint64_t
standin_text_length(const char *prompt, uint64_t max_tokens);

/** Number of tokens of a prompt. */
uint64_t
standin_text_prompt_tokens(const char *prompt);

#endif
