/** @file harness_forwarder.c @brief A TCP forwarder that injects faults. */
#include "harness_forwarder.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_MAX 128
#define BUFFER_BYTES 65536
#define POLL_MS 5
#define HELLO_PREFIX_BYTES 64
#define HOST_UNKNOWN (-1)

/** A connection: fds[0] was accepted, fds[1] is connected to the target. */
typedef struct {
    int fds[2];
    int host;
    int frozen; /**< permanently, whatever the mode */
} connection_t;

struct forwarder {
    int listener;
    int port;
    atomic_int target_port;
    atomic_int stopping;
    pthread_t thread;
    pthread_mutex_t lock;
    forwarder_mode_t mode;
    forwarder_mode_t host_modes[FORWARDER_HOSTS_MAX];
    connection_t connections[CONNECTIONS_MAX];
    int count;
    char buffer[BUFFER_BYTES];
};

static struct sockaddr_in
loopback_address(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

static int
connect_to(int port)
{
    struct sockaddr_in address = loopback_address(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (fd >= 0 &&
        connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static void
close_connection(forwarder_t *forwarder, int index)
{
    close(forwarder->connections[index].fds[0]);
    close(forwarder->connections[index].fds[1]);
    forwarder->connections[index] = forwarder->connections[--forwarder->count];
}

/* After the frame's length and header, the hello is a msgpack array of four
 * that starts with the protocol version (1) and the id, such as `e0`. */
static int
find_host(int fd)
{
    unsigned char bytes[HELLO_PREFIX_BYTES];
    ssize_t size = recv(fd, bytes, sizeof(bytes), MSG_PEEK | MSG_DONTWAIT);

    for (ssize_t i = 5; i + 4 < size; i++) {
        if (bytes[i] == 0x94 && bytes[i + 1] == 1 && bytes[i + 2] == 0xa2 &&
            bytes[i + 3] == 'e') {
            int host = bytes[i + 4] - '0';

            return host >= 0 && host < FORWARDER_HOSTS_MAX ? host
                                                           : HOST_UNKNOWN;
        }
    }
    return HOST_UNKNOWN;
}

static forwarder_mode_t
connection_mode(const forwarder_t *forwarder, const connection_t *connection)
{
    if (connection->frozen) {
        return FORWARDER_FROZEN;
    }
    if (forwarder->mode != FORWARDER_PASS ||
        connection->host == HOST_UNKNOWN) {
        return forwarder->mode;
    }
    return forwarder->host_modes[connection->host];
}

static int
send_all(int fd, const char *data, ssize_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, data, (size_t)size, MSG_NOSIGNAL);

        if (sent <= 0) {
            return -1;
        }
        data += sent;
        size -= sent;
    }
    return 0;
}

/* @return whether the connection stays open */
static int
forward(forwarder_t *forwarder, int from, int to)
{
    ssize_t size =
        recv(from, forwarder->buffer, sizeof(forwarder->buffer), MSG_DONTWAIT);

    return size > 0 && send_all(to, forwarder->buffer, size) == 0;
}

static void
accept_one(forwarder_t *forwarder)
{
    int fd = accept4(forwarder->listener, NULL, NULL, SOCK_CLOEXEC);
    int target =
        fd < 0 ? -1 : connect_to(atomic_load(&forwarder->target_port));

    if (target < 0 || forwarder->count >= CONNECTIONS_MAX) {
        close(fd);
        close(target);
        return;
    }
    forwarder->connections[forwarder->count++] = (connection_t){
        .fds = {fd, target},
        .host = HOST_UNKNOWN,
    };
}

static void
handle_events(forwarder_t *forwarder, int index, const struct pollfd *polled)
{
    connection_t *connection = &forwarder->connections[index];

    if (connection->host == HOST_UNKNOWN && polled[0].revents != 0) {
        connection->host = find_host(connection->fds[0]);
    }
    switch (connection_mode(forwarder, connection)) {
    case FORWARDER_CLOSED:
        close_connection(forwarder, index);
        return;
    case FORWARDER_FROZEN:
        return;
    case FORWARDER_PASS:
        break;
    }
    for (int side = 0; side < 2; side++) {
        if (polled[side].revents != 0 &&
            !forward(forwarder, connection->fds[side],
                     connection->fds[!side])) {
            close_connection(forwarder, index);
            return;
        }
    }
}

static int
fill_polled(forwarder_t *forwarder, struct pollfd *polled)
{
    polled[0] = (struct pollfd){.fd = forwarder->listener, .events = POLLIN};
    for (int i = 0; i < forwarder->count; i++) {
        for (int side = 0; side < 2; side++) {
            polled[1 + 2 * i + side] = (struct pollfd){
                .fd = forwarder->connections[i].fds[side], .events = POLLIN};
        }
    }
    return forwarder->count;
}

/* A frozen connection stays readable, so that poll() returns at once; the
 * pause keeps the loop from spinning. */
static void *
run(void *user)
{
    static const struct timespec pause = {.tv_nsec = 1000000};
    forwarder_t *forwarder = user;
    struct pollfd polled[1 + 2 * CONNECTIONS_MAX];

    while (!atomic_load(&forwarder->stopping)) {
        int count;

        pthread_mutex_lock(&forwarder->lock);
        count = fill_polled(forwarder, polled);
        pthread_mutex_unlock(&forwarder->lock);
        poll(polled, 1 + 2 * (nfds_t)count, POLL_MS);
        pthread_mutex_lock(&forwarder->lock);
        for (int i = count - 1; i >= 0; i--) {
            handle_events(forwarder, i, &polled[1 + 2 * i]);
        }
        if (polled[0].revents != 0) {
            accept_one(forwarder);
        }
        pthread_mutex_unlock(&forwarder->lock);
        nanosleep(&pause, NULL);
    }
    return NULL;
}

static int
open_listener(forwarder_t *forwarder)
{
    struct sockaddr_in address = loopback_address(0);
    socklen_t size = sizeof(address);

    forwarder->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (forwarder->listener < 0 ||
        bind(forwarder->listener, (struct sockaddr *)&address, size) < 0 ||
        listen(forwarder->listener, CONNECTIONS_MAX) < 0 ||
        getsockname(forwarder->listener, (struct sockaddr *)&address, &size) <
            0) {
        return -1;
    }
    forwarder->port = ntohs(address.sin_port);
    return 0;
}

int
forwarder_new(forwarder_t **out, int target_port)
{
    forwarder_t *forwarder = calloc(1, sizeof(*forwarder));

    if (forwarder == NULL) {
        return -1;
    }
    atomic_init(&forwarder->target_port, target_port);
    pthread_mutex_init(&forwarder->lock, NULL);
    if (open_listener(forwarder) < 0 ||
        pthread_create(&forwarder->thread, NULL, run, forwarder) != 0) {
        close(forwarder->listener);
        free(forwarder);
        return -1;
    }
    *out = forwarder;
    return 0;
}

void
forwarder_free(forwarder_t *forwarder)
{
    if (forwarder == NULL) {
        return;
    }
    atomic_store(&forwarder->stopping, 1);
    pthread_join(forwarder->thread, NULL);
    while (forwarder->count > 0) {
        close_connection(forwarder, 0);
    }
    close(forwarder->listener);
    pthread_mutex_destroy(&forwarder->lock);
    free(forwarder);
}

int
forwarder_port(const forwarder_t *forwarder)
{
    return forwarder->port;
}

void
forwarder_set_target(forwarder_t *forwarder, int target_port)
{
    atomic_store(&forwarder->target_port, target_port);
}

void
forwarder_set_mode(forwarder_t *forwarder, forwarder_mode_t mode)
{
    pthread_mutex_lock(&forwarder->lock);
    forwarder->mode = mode;
    pthread_mutex_unlock(&forwarder->lock);
}

void
forwarder_set_host_mode(forwarder_t *forwarder, int host,
                        forwarder_mode_t mode)
{
    pthread_mutex_lock(&forwarder->lock);
    forwarder->host_modes[host] = mode;
    pthread_mutex_unlock(&forwarder->lock);
}

void
forwarder_freeze_open(forwarder_t *forwarder)
{
    pthread_mutex_lock(&forwarder->lock);
    for (int i = 0; i < forwarder->count; i++) {
        forwarder->connections[i].frozen = 1;
    }
    pthread_mutex_unlock(&forwarder->lock);
}

int
forwarder_connection_count(forwarder_t *forwarder)
{
    int open = 0;

    pthread_mutex_lock(&forwarder->lock);
    for (int i = 0; i < forwarder->count; i++) {
        open += !forwarder->connections[i].frozen;
    }
    pthread_mutex_unlock(&forwarder->lock);
    return open;
}
