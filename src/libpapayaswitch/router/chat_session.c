/** @file chat_session.c @brief Finds or pins the version of a session. */
#include "chat_session.h"

#include "chat_error.h"
#include "clock.h"
#include "event.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/session_token.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Selects a version to propose for a new session; the log decides the pin. */
static int
select_proposed_version(pps_chat_t *chat)
{
    pps_choice_version_input_t input = PPS_CHOICE_VERSION_INPUT_INIT;
    pps_choice_version_t choice;
    int error;

    input.catalog = chat->call.catalog;
    input.workspace = chat->call.workspace;
    input.model = chat->request.model;
    input.kind = chat->call.kind;
    input.rng = &chat->call.rng;
    input.quality = pps_quality_board_source(chat->call.router->quality);
    input.price = pps_quality_board_price(chat->call.router->quality,
                                          chat->call.workspace->name,
                                          pps_rng_unit(&chat->call.rng));
    pps_quality_board_copy_held(chat->call.router->quality, &chat->held);
    input.held = (pps_name_set_t){chat->held.list, chat->held.count};
    error = pps_choice_select_version(&choice, &input);
    if (error == 0) {
        memcpy(chat->pinned, choice.version->name,
               strlen(choice.version->name) + 1);
    }
    return error;
}

/* The token keeps a session's version while the log is unavailable. */
static int
pin_from_token(pps_chat_t *chat, const char *text)
{
    const pps_call_t *call = &chat->call;
    pps_session_token_t token;
    pps_session_key_t key;

    memcpy(key.bytes, call->router->settings.token_key, sizeof(key.bytes));
    if (text == NULL ||
        pps_session_token_open(&token, text, call->workspace->name,
                               pps_clock_wall_us(), &key, 1) < 0 ||
        strcmp(token.session, call->session) != 0) {
        return 0;
    }
    memcpy(chat->pinned, token.version, strlen(token.version) + 1);
    return 1;
}

static void
add_token_header(const pps_chat_t *chat, struct _u_response *response)
{
    const pps_call_t *call = &chat->call;
    pps_session_token_t token = {
        .expires_us = pps_clock_wall_us() +
                      call->workspace->session_idle_s * PPS_US_PER_S};
    pps_session_key_t key;
    char *text;

    memcpy(key.bytes, call->router->settings.token_key, sizeof(key.bytes));
    snprintf(token.workspace, sizeof(token.workspace), "%s",
             call->workspace->name);
    snprintf(token.session, sizeof(token.session), "%s", call->session);
    snprintf(token.version, sizeof(token.version), "%s", chat->pinned);
    if (pps_session_token_seal(&text, &token, &key) == 0) {
        u_map_put(response->map_header, "X-Session-Token", text);
        free(text);
    }
}

static int
pin_session(pps_chat_t *chat, struct _u_response *response)
{
    pps_call_t *call = &chat->call;
    int error = select_proposed_version(chat);

    if (error < 0) {
        pps_call_refuse(call, response, pps_chat_error_code(error), 0,
                        pps_chat_error_message(error));
        return error;
    }
    error = pps_journal_pin(chat->pinned, call->router->journal,
                            call->workspace->name, call->session,
                            (uint32_t)call->workspace->session_idle_s,
                            call->deadline_us);
    if (error < 0) {
        pps_call_refuse(call, response, PPS_API_LOG_UNAVAILABLE, 0,
                        "a new session cannot be pinned to a version now");
        return error;
    }
    pps_event_record("session_pinned",
                     PPS_FIELDS(PPS_STR("request", call->request_id),
                                PPS_STR("session", call->session),
                                PPS_STR("version", chat->pinned)));
    return PPS_OK;
}

int
pps_chat_resolve_session(pps_chat_t *chat, const struct _u_request *request,
                         struct _u_response *response)
{
    pps_call_t *call = &chat->call;
    pps_journal_t *journal = call->router->journal;
    int error = PPS_OK;

    if (call->session[0] == '\0') {
        return PPS_OK;
    }
    if (pps_journal_get_pin(chat->pinned, journal, call->workspace->name,
                            call->session) == 0) {
        pps_journal_touch(journal, call->workspace->name, call->session);
    }
    else if (!pin_from_token(chat,
                             pps_http_header(request, "X-Session-Token"))) {
        error = pin_session(chat, response);
    }
    if (error == 0) {
        add_token_header(chat, response);
    }
    return error;
}
