/** @file platform_ratings.c @brief HTTP handlers of the rater. */
#include "platform.h"

#include "standin_refusal.h"
#include "standin_request.h"

#define LIMIT_DEFAULT 1000

int
platform_ratings_add(const struct _u_request *request,
                     struct _u_response *response, void *user)
{
    platform_t *platform = user;
    json_t *body = standin_request_json(request);
    size_t count = json_array_size(body);
    int error = ratings_add(&platform->ratings, body);

    json_decref(body);
    if (error < 0) {
        return standin_refuse_malformed(response);
    }
    pps_http_reply_json(response, 200,
                        json_pack("{s:I}", "count", (json_int_t)count));
    return U_CALLBACK_COMPLETE;
}

int
platform_ratings_get(const struct _u_request *request,
                     struct _u_response *response, void *user)
{
    platform_t *platform = user;
    int64_t from = standin_request_int(request, "from", 0);
    int64_t limit = standin_request_int(request, "limit", LIMIT_DEFAULT);

    pps_http_reply_json(
        response, 200,
        ratings_list(&platform->ratings, (size_t)from, (size_t)limit));
    return U_CALLBACK_COMPLETE;
}
