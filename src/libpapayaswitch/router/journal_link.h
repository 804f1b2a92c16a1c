/**
 * @file journal_link.h
 * @brief What the control thread tells the journal about the other hosts.
 */
#ifndef PPS_ROUTER_JOURNAL_LINK_H
#define PPS_ROUTER_JOURNAL_LINK_H

#include "router_state.h"

/** Does the journal's periodic work; control thread, each second. */
void
pps_journal_link_tick(pps_router_t *router);

#endif
