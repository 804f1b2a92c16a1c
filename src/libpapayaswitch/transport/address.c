/** @file address.c @brief Parses socket addresses. */
#include "address.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>
#include <uv.h>

#define ADDRESS_BYTES 64

int
pps_address_parse(struct sockaddr_in *out, const char *address)
{
    char text[ADDRESS_BYTES];
    const char *colon = strrchr(address, ':');
    size_t length = colon ? (size_t)(colon - address) : 0;

    if (length == 0 || length >= sizeof(text)) {
        return PPS_EINVALID;
    }
    memcpy(text, address, length);
    text[length] = '\0';
    return uv_ip4_addr(text, (int)strtol(colon + 1, NULL, 10), out) == 0
               ? PPS_OK
               : PPS_EINVALID;
}
