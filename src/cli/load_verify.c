/** @file load_verify.c @brief Texts of the stand-in engine. */
#include "load_verify.h"

#include "api/chat_request.h"
#include "standin_text.h"

#include <string.h>

static int
is_text_of(const pps_buf_t *text, const char *version, const char *prompt,
           uint64_t max_tokens)
{
    uint64_t key = standin_text_key(version, prompt);
    uint64_t count = standin_text_length(prompt, max_tokens);
    const char *rest = pps_buf_text(text);

    for (uint64_t i = 0; i < count; i++) {
        char token[STANDIN_TOKEN_BYTES];
        size_t length;

        standin_text_token(token, key, i);
        length = strlen(token);
        if (strncmp(rest, token, length) != 0) {
            return 0;
        }
        rest += length;
    }
    return *rest == '\0';
}

int
load_verify_text(const load_answer_t *answer, const load_request_t *request)
{
    pps_chat_request_t chat;
    int same = 0;

    if (load_request_kind(request)->target != LOAD_TARGET_MODEL ||
        answer->version[0] == '\0') {
        return 1;
    }
    if (pps_chat_request_decode(&chat, request->body.data,
                                request->body.size) == 0) {
        same = is_text_of(&answer->text, answer->version,
                          pps_buf_text(&chat.prompt), chat.max_tokens);
    }
    pps_chat_request_clear(&chat);
    return same;
}
