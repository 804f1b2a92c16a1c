/** @file platform_faults.c @brief HTTP handlers of `/faults`. */
#include "platform.h"

int
platform_faults_get(const struct _u_request *request,
                    struct _u_response *response, void *user)
{
    platform_t *platform = user;

    return standin_faults_handle_get(&platform->faults, response);
}

int
platform_faults_put(const struct _u_request *request,
                    struct _u_response *response, void *user)
{
    platform_t *platform = user;

    return standin_faults_handle_put(&platform->faults, request, response);
}
