/**
 * @file host.h
 * @brief Declares entry hosts, the host list and the status of hosts.
 */
#ifndef PAPAYASWITCH_HOST_H
#define PAPAYASWITCH_HOST_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum length of a host or failure domain id, in bytes. */
#define PPS_HOST_ID_MAX 40
/** Maximum length of an IP address, in bytes. */
#define PPS_ADDRESS_MAX 45
/** Maximum number of hosts in a list. */
#define PPS_HOSTS_MAX 4096
/** Value of an unknown time or age. */
#define PPS_TIME_NONE INT64_C(-1)

/** State of a host in the platform's list. */
typedef enum {
    PPS_HOST_LIVE,
    PPS_HOST_LEAVING,
} pps_host_state_t;

/** An entry host. Owns no memory, so it may be copied. */
typedef struct {
    char id[PPS_HOST_ID_MAX + 1];
    char address[PPS_ADDRESS_MAX + 1]; /**< IP address */
    uint16_t http_port;
    uint16_t peer_port;
    uint16_t operator_port;
    char failure_domain[PPS_HOST_ID_MAX + 1];
    pps_host_state_t state;
} pps_host_t;

/** A list of hosts with unique ids. */
typedef struct {
    pps_host_t *hosts;
    size_t count;
} pps_host_list_t;

#define PPS_HOST_LIST_INIT                                                    \
    {                                                                         \
        NULL, 0                                                               \
    }

/** Status that a host reports in each pong. */
typedef struct {
    uint64_t incarnation;
    uint64_t revision;        /**< revision of the active catalog */
    uint64_t next_offset;     /**< next record of the config stream to apply */
    int64_t evidence_age_us;  /**< age of its log evidence, or PPS_TIME_NONE */
    int synced;               /**< see pps_serving_input_t */
    int leaving;              /**< the host drains and accepts no new work */
    uint32_t reachable_count; /**< hosts whose pongs it received recently */
} pps_host_status_t;

/** State of another host, taken from its pongs. */
typedef struct {
    char id[PPS_HOST_ID_MAX + 1];
    int64_t echo_us; /**< send time of the answered ping, or PPS_TIME_NONE */
    int64_t pong_received_us; /**< arrival of its pong, or PPS_TIME_NONE */
    int suspected;            /**< two dials ended since the last pong */
    pps_host_status_t status;
} pps_host_report_t;

/**
 * Decodes the platform's list: an array of objects with `id`, `address`,
 * `http_port`, `peer_port`, `operator_port`, `failure_domain` and `state`.
 * Free the list with pps_host_list_clear().
 * @return 0; PPS_EINVALID; PPS_ELIMIT above PPS_HOSTS_MAX; PPS_ENOMEM
 */
int
pps_host_list_from_json(pps_host_list_t *out, const json_t *entries);

/** Copies a list; free the copy with pps_host_list_clear().
 * @return 0 or PPS_ENOMEM */
int
pps_host_list_copy(pps_host_list_t *out, const pps_host_list_t *list);

/** Frees the hosts and empties the list. */
void
pps_host_list_clear(pps_host_list_t *list);

/** Finds a host by id. @return the host, owned by the list, or NULL */
const pps_host_t *
pps_host_list_find(const pps_host_list_t *list, const char *id);

/** Returns the number of hosts that form a majority of the list. */
size_t
pps_host_list_majority(const pps_host_list_t *list);

#endif
