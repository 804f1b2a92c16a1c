/** @file standin_request.c @brief Reads requests and finds their sockets. */
#include "standin_request.h"

#include "papayaswitch/errors.h"

#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define FD_FIRST 3 /* after the standard streams */
#define FD_MAX 8192

json_t *
standin_request_json(const struct _u_request *request)
{
    json_error_t json_error;
    json_t *body = json_loadb(request->binary_body,
                              request->binary_body_length, 0, &json_error);

    if (body == NULL) {
        pps_error_set(PPS_EINVALID, "body: %s", json_error.text);
    }
    return body;
}

int64_t
standin_request_int(const struct _u_request *request, const char *name,
                    int64_t fallback)
{
    const char *text = u_map_get(request->map_url, name);
    char *end;
    int64_t value;

    if (text == NULL) {
        return fallback;
    }
    value = strtoll(text, &end, 10);
    return end == text || *end != '\0' ? fallback : value;
}

char *
standin_request_path_suffix(const struct _u_request *request,
                            const char *prefix)
{
    const char *path = request->url_path;
    size_t length = strlen(prefix);

    if (strncmp(path, prefix, length) != 0) {
        return strdup("");
    }
    return ulfius_url_decode(path + length);
}

/* Finds the socket by its peer address, as ulfius does not expose it. */
static int
find_socket(const struct _u_request *request)
{
    const struct sockaddr_in *caller = (void *)request->client_address;

    for (int fd = FD_FIRST; caller != NULL && fd < FD_MAX; fd++) {
        struct sockaddr_in peer = {0};
        socklen_t size = sizeof(peer);

        if (getpeername(fd, (struct sockaddr *)&peer, &size) == 0 &&
            peer.sin_family == AF_INET && peer.sin_port == caller->sin_port &&
            peer.sin_addr.s_addr == caller->sin_addr.s_addr) {
            return fd;
        }
    }
    return -1;
}

void
standin_request_abort(const struct _u_request *request)
{
    int fd = find_socket(request);

    if (fd >= 0) {
        shutdown(fd, SHUT_RDWR);
    }
}

int
standin_request_is_closed(const struct _u_request *request)
{
    struct pollfd poller = {.fd = find_socket(request), .events = POLLRDHUP};

    if (poller.fd < 0) {
        return 1;
    }
    return poll(&poller, 1, 0) > 0 &&
           (poller.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
