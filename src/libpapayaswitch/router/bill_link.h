/**
 * @file bill_link.h
 * @brief Connects the store of bills to the peer links and the membership.
 */
#ifndef PPS_ROUTER_BILL_LINK_H
#define PPS_ROUTER_BILL_LINK_H

#include "papayaswitch/answer.h"
#include "papayaswitch/bills.h"
#include "papayaswitch/peers.h"

#include "call.h"

/** Base of the message kinds that carry bills; the base itself is unused. */
#define PPS_BILL_LINK_KIND_FIRST (PPS_PEERS_KIND_FIRST + 16)

/** Creates the router's store of bills. */
int
pps_bill_link_open(pps_router_t *router);

/**
 * Processes a peer's message. Control thread.
 * @return 0; PPS_ENOTFOUND if the kind is not one of bills
 */
int
pps_bill_link_receive(pps_router_t *router, const char *from, uint32_t kind,
                      const void *payload, size_t size);

/** Chooses the partner and appends the bills of lost hosts. Control thread. */
void
pps_bill_link_tick(pps_router_t *router);

/**
 * Bills a call. Call it before the last byte of the answer is sent.
 * @param usage NULL for a plain service, which has no price
 * @return 0 once a second host or the log has the bill, or a negative code
 */
int
pps_bill_link_bill(const pps_call_t *call, const char *model,
                   const char *upstream, const pps_answer_usage_t *usage,
                   pps_bill_kind_t kind);

#endif
