/** @file harness_forwarder.c @brief A TCP forwarder that cuts and freezes. */
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
#define HELLO_BYTES 64
#define HOST_UNKNOWN (-1)

/** One connection: side 0 dialled us, side 1 leads to the target. */
typedef struct {
    int fds[2];
    int host;
    int lost; /**< frozen for good */
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
loopback(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

static int
dial(int port)
{
    struct sockaddr_in address = loopback(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (fd >= 0 &&
        connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static void
drop(forwarder_t *cut, int index)
{
    close(cut->connections[index].fds[0]);
    close(cut->connections[index].fds[1]);
    cut->connections[index] = cut->connections[--cut->count];
}

/* Behind the frame's length and head the hello is an array of the protocol's
 * version and the id, a short text such as `e0`. */
static int
find_host(int fd)
{
    unsigned char bytes[HELLO_BYTES];
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
mode_of(const forwarder_t *cut, const connection_t *connection)
{
    if (connection->lost) {
        return FORWARDER_FROZEN;
    }
    if (cut->mode != FORWARDER_PASS || connection->host == HOST_UNKNOWN) {
        return cut->mode;
    }
    return cut->host_modes[connection->host];
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

/* @return whether the connection lives on */
static int
forward(forwarder_t *cut, int from, int to)
{
    ssize_t size = recv(from, cut->buffer, sizeof(cut->buffer), MSG_DONTWAIT);

    return size > 0 && send_all(to, cut->buffer, size) == 0;
}

static void
accept_one(forwarder_t *cut)
{
    int fd = accept4(cut->listener, NULL, NULL, SOCK_CLOEXEC);
    int target = fd < 0 ? -1 : dial(atomic_load(&cut->target_port));

    if (target < 0 || cut->count >= CONNECTIONS_MAX) {
        close(fd);
        close(target);
        return;
    }
    cut->connections[cut->count++] = (connection_t){
        .fds = {fd, target},
        .host = HOST_UNKNOWN,
    };
}

static void
serve(forwarder_t *cut, int index, const struct pollfd *polled)
{
    connection_t *connection = &cut->connections[index];

    if (connection->host == HOST_UNKNOWN && polled[0].revents != 0) {
        connection->host = find_host(connection->fds[0]);
    }
    switch (mode_of(cut, connection)) {
    case FORWARDER_CLOSED:
        drop(cut, index);
        return;
    case FORWARDER_FROZEN:
        return;
    case FORWARDER_PASS:
        break;
    }
    for (int side = 0; side < 2; side++) {
        if (polled[side].revents != 0 &&
            !forward(cut, connection->fds[side], connection->fds[!side])) {
            drop(cut, index);
            return;
        }
    }
}

static int
fill_polled(forwarder_t *cut, struct pollfd *polled)
{
    polled[0] = (struct pollfd){.fd = cut->listener, .events = POLLIN};
    for (int i = 0; i < cut->count; i++) {
        for (int side = 0; side < 2; side++) {
            polled[1 + 2 * i + side] = (struct pollfd){
                .fd = cut->connections[i].fds[side], .events = POLLIN};
        }
    }
    return cut->count;
}

/* The pause keeps frozen connections, always readable, from spinning. */
static void *
run(void *user)
{
    static const struct timespec pause = {.tv_nsec = 1000000};
    forwarder_t *cut = user;
    struct pollfd polled[1 + 2 * CONNECTIONS_MAX];

    while (!atomic_load(&cut->stopping)) {
        int count;

        pthread_mutex_lock(&cut->lock);
        count = fill_polled(cut, polled);
        pthread_mutex_unlock(&cut->lock);
        poll(polled, 1 + 2 * (nfds_t)count, POLL_MS);
        pthread_mutex_lock(&cut->lock);
        for (int i = count - 1; i >= 0; i--) {
            serve(cut, i, &polled[1 + 2 * i]);
        }
        if (polled[0].revents != 0) {
            accept_one(cut);
        }
        pthread_mutex_unlock(&cut->lock);
        nanosleep(&pause, NULL);
    }
    return NULL;
}

static int
open_listener(forwarder_t *cut)
{
    struct sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);

    cut->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (cut->listener < 0 ||
        bind(cut->listener, (struct sockaddr *)&address, size) < 0 ||
        listen(cut->listener, CONNECTIONS_MAX) < 0 ||
        getsockname(cut->listener, (struct sockaddr *)&address, &size) < 0) {
        return -1;
    }
    cut->port = ntohs(address.sin_port);
    return 0;
}

int
forwarder_new(forwarder_t **out, int target_port)
{
    forwarder_t *cut = calloc(1, sizeof(*cut));

    if (cut == NULL) {
        return -1;
    }
    atomic_init(&cut->target_port, target_port);
    pthread_mutex_init(&cut->lock, NULL);
    if (open_listener(cut) < 0 ||
        pthread_create(&cut->thread, NULL, run, cut) != 0) {
        close(cut->listener);
        free(cut);
        return -1;
    }
    *out = cut;
    return 0;
}

void
forwarder_free(forwarder_t *cut)
{
    if (cut == NULL) {
        return;
    }
    atomic_store(&cut->stopping, 1);
    pthread_join(cut->thread, NULL);
    while (cut->count > 0) {
        drop(cut, 0);
    }
    close(cut->listener);
    pthread_mutex_destroy(&cut->lock);
    free(cut);
}

int
forwarder_port(const forwarder_t *cut)
{
    return cut->port;
}

void
forwarder_set_target(forwarder_t *cut, int target_port)
{
    atomic_store(&cut->target_port, target_port);
}

void
forwarder_set_mode(forwarder_t *cut, forwarder_mode_t mode)
{
    pthread_mutex_lock(&cut->lock);
    cut->mode = mode;
    pthread_mutex_unlock(&cut->lock);
}

void
forwarder_set_host_mode(forwarder_t *cut, int host, forwarder_mode_t mode)
{
    pthread_mutex_lock(&cut->lock);
    cut->host_modes[host] = mode;
    pthread_mutex_unlock(&cut->lock);
}

void
forwarder_freeze_open(forwarder_t *cut)
{
    pthread_mutex_lock(&cut->lock);
    for (int i = 0; i < cut->count; i++) {
        cut->connections[i].lost = 1;
    }
    pthread_mutex_unlock(&cut->lock);
}

int
forwarder_connection_count(forwarder_t *cut)
{
    int open = 0;

    pthread_mutex_lock(&cut->lock);
    for (int i = 0; i < cut->count; i++) {
        open += !cut->connections[i].lost;
    }
    pthread_mutex_unlock(&cut->lock);
    return open;
}
