/** @file address.h @brief Parses socket addresses. */
#ifndef PPS_TRANSPORT_ADDRESS_H
#define PPS_TRANSPORT_ADDRESS_H

#include <netinet/in.h>

/** Parses a numeric IPv4 address and port, "IP:PORT".
 * @return 0 or PPS_EINVALID */
int
pps_address_parse(struct sockaddr_in *out, const char *address);

#endif
