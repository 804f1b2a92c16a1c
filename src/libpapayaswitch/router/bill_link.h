/**
 * @file bill_link.h
 * @brief Ties the bills to the peer links and to the membership.
 */
#ifndef PPS_ROUTER_BILL_LINK_H
#define PPS_ROUTER_BILL_LINK_H

#include "papayaswitch/answer.h"
#include "papayaswitch/bills.h"
#include "papayaswitch/peers.h"

#include "call.h"

/** First of the kinds of message that carry bills. */
#define PPS_BILL_LINK_KIND_FIRST (PPS_PEERS_KIND_FIRST + 16)

/** Makes the router's bills. */
int
pps_bill_link_open(pps_router_t *router);

/**
 * Takes a peer's message. Control thread.
 * @return 0, or PPS_ENOTFOUND when it carries no bills
 */
int
pps_bill_link_receive(pps_router_t *router, const char *from, uint32_t kind,
                      const void *payload, size_t size);

/** Chooses the partner and finds lost hosts. Control thread. */
void
pps_bill_link_tick(pps_router_t *router);

/**
 * Bills a call before the last byte of its answer is sent.
 * @param usage NULL for a plain service, which has no price
 * @return 0 when a second host or the log has the bill
 */
int
pps_bill_link_bill(const pps_call_t *call, const char *model,
                   const char *upstream, const pps_answer_usage_t *usage,
                   pps_bill_kind_t kind);

#endif
