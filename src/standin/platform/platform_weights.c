/** @file platform_weights.c @brief HTTP handler of the weight store. */
#include "platform.h"

#include "standin_refusal.h"
#include "standin_request.h"

#include <stdlib.h>

#define WEIGHTS_PREFIX "/weights/"

int
platform_weights_get(const struct _u_request *request,
                     struct _u_response *response, void *user)
{
    platform_t *platform = user;
    char *version;

    if (weight_store_transfer(&platform->weights) < 0) {
        return standin_refuse(response, STANDIN_REFUSAL_RATE_LIMITED);
    }
    version = standin_request_path_suffix(request, WEIGHTS_PREFIX);
    pps_http_reply_json(response, 200,
                        json_pack("{s:s,s:I}", "version", version, "bytes",
                                  (json_int_t)weight_store_bytes(version)));
    free(version);
    return U_CALLBACK_COMPLETE;
}
