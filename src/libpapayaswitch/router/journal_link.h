/**
 * @file journal_link.h
 * @brief Updates the journal's view of the other hosts.
 */
#ifndef PPS_ROUTER_JOURNAL_LINK_H
#define PPS_ROUTER_JOURNAL_LINK_H

#include "router_state.h"

/** Runs the journal's periodic work. Call it each second. Control thread. */
void
pps_journal_link_tick(pps_router_t *router);

#endif
