/** @file chat_error.c @brief API errors of completions that did not start. */
#include "chat_error.h"

#include "papayaswitch/errors.h"

pps_api_error_t
pps_chat_error_code(int error)
{
    switch (error) {
    case PPS_ENOTFOUND:
        return PPS_API_MODEL_NOT_FOUND;
    case PPS_EINVALID:
        return PPS_API_NOT_ALLOWED;
    case PPS_EEXPIRED:
        return PPS_API_VERSION_WITHDRAWN;
    case PPS_ECLOSED:
        return PPS_API_NOT_SERVING;
    case PPS_ETIMEOUT:
        return PPS_API_DEADLINE;
    case PPS_EUNAVAILABLE:
    case PPS_EREFUSED:
    case PPS_ELIMIT:
        return PPS_API_NO_CAPACITY;
    default:
        return PPS_API_INTERNAL;
    }
}

const char *
pps_chat_error_message(int error)
{
    switch (error) {
    case PPS_ENOTFOUND:
        return "there is no such model";
    case PPS_EINVALID:
        return "the workspace may use no version of this model";
    case PPS_EEXPIRED:
        return "the session's version was withdrawn; start a new session";
    case PPS_ECLOSED:
        return "this host starts no work now; ask another one";
    case PPS_ETIMEOUT:
        return "the deadline passed before the request could start";
    default:
        return "no worker can take the request now";
    }
}
