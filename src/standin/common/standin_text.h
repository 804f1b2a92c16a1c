/**
 * @file standin_text.h
 * @brief Generates the text of the stand-in engine.
 *
 * The functions have no state and no I/O: all workers of a version continue
 * an answer identically, and a test can compute the expected text.
 */
#ifndef STANDIN_TEXT_H
#define STANDIN_TEXT_H

#include <stddef.h>
#include <stdint.h>

/** Maximum size of a token's text in bytes, the NUL included. */
#define STANDIN_TOKEN_BYTES 16

/** Returns the key of the tokens of a version's answer to a prompt. */
uint64_t
standin_text_key(const char *version, const char *prompt);

/** Writes the token at `index`, a word and a space. */
void
standin_text_token(char out[STANDIN_TOKEN_BYTES], uint64_t key,
                   uint64_t index);

/** Returns the number of tokens of an answer, at most `max_tokens`: the value
 * of `length=` in the prompt, or a number derived from the prompt's hash. */
uint64_t
standin_text_length(const char *prompt, uint64_t max_tokens);

/** Returns the number of tokens of a prompt. */
uint64_t
standin_text_prompt_tokens(const char *prompt);

#endif
