/**
 * @file host.h
 * @brief Entry hosts as the platform lists them, and what they report.
 */
#ifndef PAPAYASWITCH_HOST_H
#define PAPAYASWITCH_HOST_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/** Longest id of a host or failure domain, in bytes. */
#define PPS_HOST_ID_MAX 40
/** Longest IP number, in bytes. */
#define PPS_ADDRESS_MAX 45
/** Most hosts in a list. */
#define PPS_HOSTS_MAX 4096
/** No time, or no age, is known. */
#define PPS_TIME_NONE INT64_C(-1)

/** What the platform says of a host. */
typedef enum {
    PPS_HOST_LIVE,
    PPS_HOST_LEAVING,
} pps_host_state_t;

/** An entry host. A plain value: it may be copied. */
typedef struct {
    char id[PPS_HOST_ID_MAX + 1];
    char address[PPS_ADDRESS_MAX + 1]; /**< IP number */
    uint16_t http_port;
    uint16_t peer_port;
    uint16_t operator_port;
    char failure_domain[PPS_HOST_ID_MAX + 1];
    pps_host_state_t state;
} pps_host_t;

/** A list of hosts without repeated ids. */
typedef struct {
    pps_host_t *hosts;
    size_t count;
} pps_host_list_t;

#define PPS_HOST_LIST_INIT                                                    \
    {                                                                         \
        NULL, 0                                                               \
    }

/** What a host says of itself in each pong. */
typedef struct {
    uint64_t incarnation;
    uint64_t revision;        /**< of the catalog in force there */
    uint64_t next_offset;     /**< next record of the config stream to fold */
    int64_t evidence_age_us;  /**< age of its log evidence, or PPS_TIME_NONE */
    int synced;               /**< see pps_serving_input_t */
    int leaving;              /**< it drains and takes no new work */
    uint32_t reachable_count; /**< hosts whose pongs arrive there */
} pps_host_status_t;

/** What this host knows of another one from the pongs. */
typedef struct {
    char id[PPS_HOST_ID_MAX + 1];
    int64_t echo_us; /**< when the ping that was answered last was sent */
    int64_t pong_received_us; /**< when that answer arrived; PPS_TIME_NONE:
                                 never */
    int suspected;            /**< a fresh connection got no answer either */
    pps_host_status_t status;
} pps_host_report_t;

/**
 * Decodes the platform's list: an array of objects with `id`, `address`,
 * `http_port`, `peer_port`, `operator_port`, `failure_domain` and `state`.
 * @return 0; PPS_EINVALID; PPS_ELIMIT; PPS_ENOMEM
 */
int
pps_host_list_from_json(pps_host_list_t *out, const json_t *entries);

/** Copies a list. */
int
pps_host_list_copy(pps_host_list_t *out, const pps_host_list_t *list);

/** Frees the hosts and leaves an empty list. */
void
pps_host_list_clear(pps_host_list_t *list);

/** The host with this id, or NULL. */
const pps_host_t *
pps_host_list_find(const pps_host_list_t *list, const char *id);

/** Hosts that make a majority of the list. */
size_t
pps_host_list_majority(const pps_host_list_t *list);

#endif
