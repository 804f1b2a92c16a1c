/** @file http_listener.c @brief Runs ulfius on a socket that is bound here. */
#include "http_listener.h"

#include "papayaswitch/errors.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define THREAD_STACK_BYTES (256u * 1024u)
#define LISTEN_BACKLOG 1024

struct pps_http_listener {
    struct _u_instance instance;
    pps_http_limits_t limits;
    int socket;
    unsigned int port;
    int started;
};

static int
bind_socket(pps_http_listener_t *listener, const char *address,
            unsigned int port)
{
    struct sockaddr_in bind_address = {.sin_family = AF_INET,
                                       .sin_port = htons((uint16_t)port)};
    socklen_t size = sizeof(bind_address);
    int enable = 1;

    if (inet_pton(AF_INET, address, &bind_address.sin_addr) != 1) {
        return pps_error_set(PPS_EINVALID, "'%s' is not an IPv4 address",
                             address);
    }
    listener->socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (listener->socket < 0) {
        return pps_error_set(PPS_EIO, "socket: %s", strerror(errno));
    }
    setsockopt(listener->socket, SOL_SOCKET, SO_REUSEADDR, &enable,
               sizeof(enable));
    if (bind(listener->socket, (struct sockaddr *)&bind_address, size) != 0 ||
        listen(listener->socket, LISTEN_BACKLOG) != 0 ||
        getsockname(listener->socket, (struct sockaddr *)&bind_address,
                    &size) != 0) {
        return pps_error_set(PPS_EIO, "%s:%u: %s", address, port,
                             strerror(errno));
    }
    listener->port = ntohs(bind_address.sin_port);
    return PPS_OK;
}

int
pps_http_listener_new(pps_http_listener_t **out, const char *address,
                      unsigned int port, const pps_http_limits_t *limits)
{
    pps_http_listener_t *listener = calloc(1, sizeof(*listener));
    int error;

    if (listener == NULL) {
        return pps_error_set(PPS_ENOMEM, "listener: out of memory");
    }
    listener->limits = *limits;
    listener->socket = -1;
    error = bind_socket(listener, address, port);
    if (error == 0 && ulfius_init_instance(&listener->instance, listener->port,
                                           NULL, NULL) != U_OK) {
        error = pps_error_set(PPS_EGENERIC, "cannot initialize ulfius");
    }
    if (error < 0) {
        if (listener->socket >= 0) {
            close(listener->socket);
        }
        free(listener);
        return error;
    }
    listener->instance.max_post_body_size = limits->body_bytes_max;
    listener->instance.allowed_post_processor = U_POST_PROCESS_NONE;
    *out = listener;
    return PPS_OK;
}

int
pps_http_listener_add(pps_http_listener_t *listener, const char *method,
                      const char *format, pps_http_handler_t handler,
                      void *user)
{
    if (ulfius_add_endpoint_by_val(&listener->instance, method, NULL, format,
                                   0, handler, user) != U_OK) {
        return pps_error_set(PPS_EGENERIC, "cannot add endpoint %s %s", method,
                             format);
    }
    return PPS_OK;
}

unsigned int
pps_http_listener_port(const pps_http_listener_t *listener)
{
    return listener->port;
}

int
pps_http_listener_start(pps_http_listener_t *listener)
{
    struct MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed, NULL},
        {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ulfius_uri_logger, NULL},
        {MHD_OPTION_LISTEN_SOCKET, listener->socket, NULL},
        {MHD_OPTION_CONNECTION_LIMIT, listener->limits.connections_max, NULL},
        {MHD_OPTION_CONNECTION_TIMEOUT, listener->limits.idle_timeout_s, NULL},
        {MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES, NULL},
        {MHD_OPTION_END, 0, NULL},
    };
    unsigned int flags = MHD_USE_THREAD_PER_CONNECTION |
                         MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                         MHD_USE_ITC;

    if (ulfius_start_framework_with_mhd_options(&listener->instance, flags,
                                                options) != U_OK) {
        return pps_error_set(PPS_EIO, "cannot start HTTP server on port %u",
                             listener->port);
    }
    listener->started = 1;
    return PPS_OK;
}

void
pps_http_listener_quiesce(pps_http_listener_t *listener)
{
    MHD_socket socket;

    if (!listener->started) {
        return;
    }
    socket = MHD_quiesce_daemon(listener->instance.mhd_daemon);
    if (socket != MHD_INVALID_SOCKET) {
        close(socket);
        listener->socket = -1;
    }
}

unsigned int
pps_http_listener_connections(const pps_http_listener_t *listener)
{
    const union MHD_DaemonInfo *info =
        listener->started
            ? MHD_get_daemon_info(listener->instance.mhd_daemon,
                                  MHD_DAEMON_INFO_CURRENT_CONNECTIONS)
            : NULL;

    return info != NULL ? info->num_connections : 0;
}

void
pps_http_listener_free(pps_http_listener_t *listener)
{
    if (listener == NULL) {
        return;
    }
    if (listener->started) {
        ulfius_stop_framework(&listener->instance);
    }
    else if (listener->socket >= 0) {
        close(listener->socket);
    }
    ulfius_clean_instance(&listener->instance);
    free(listener);
}

void
pps_http_reply_json(struct _u_response *response, unsigned int status,
                    json_t *body)
{
    ulfius_set_json_body_response(response, status, body);
    json_decref(body);
}

const char *
pps_http_header(const struct _u_request *request, const char *name)
{
    return u_map_get_case(request->map_header, name);
}
