/** @file answer_end.c @brief Tells whole answers from those that were cut off.
 */
#include "answer_end.h"

#include <jansson.h>

static int
is_cut_json(const pps_buf_t *body)
{
    json_error_t error;
    json_t *value =
        json_loadb(pps_buf_text(body), body->size, JSON_DECODE_ANY, &error);
    int is_cut = value == NULL &&
                 json_error_code(&error) == json_error_premature_end_of_input;

    json_decref(value);
    return is_cut;
}

int
pps_exchange_is_cut_off(const pps_exchange_t *exchange)
{
    if (exchange->attempt == PPS_ATTEMPT_STREAMING) {
        return exchange->events.partial.size > 0 ||
               (exchange->is_unframed && !exchange->has_event &&
                !exchange->has_last_event);
    }
    return exchange->is_unframed && exchange->is_json &&
           is_cut_json(&exchange->body);
}
