/** @file load_verify.c @brief Compares texts with the stand-in engine's. */
#include "load_verify.h"

#include "api/chat_request.h"
#include "standin_text.h"

#include <string.h>

static int
is_generated_text(const pps_buf_t *text, const char *version,
                  const char *prompt, uint64_t max_tokens)
{
    uint64_t key = standin_text_key(version, prompt);
    uint64_t count = standin_text_length(prompt, max_tokens);
    const char *remaining = pps_buf_text(text);

    for (uint64_t i = 0; i < count; i++) {
        char token[STANDIN_TOKEN_BYTES];
        size_t length;

        standin_text_token(token, key, i);
        length = strlen(token);
        if (strncmp(remaining, token, length) != 0) {
            return 0;
        }
        remaining += length;
    }
    return *remaining == '\0';
}

int
load_verify_text(const load_answer_t *answer, const load_request_t *request)
{
    pps_chat_request_t chat;
    int matches = 0;

    if (load_request_kind(request)->target != LOAD_TARGET_MODEL ||
        answer->version[0] == '\0') {
        return 1;
    }
    if (pps_chat_request_decode(&chat, request->body.data,
                                request->body.size) == 0) {
        matches =
            is_generated_text(&answer->text, answer->version,
                              pps_buf_text(&chat.prompt), chat.max_tokens);
    }
    pps_chat_request_clear(&chat);
    return matches;
}
