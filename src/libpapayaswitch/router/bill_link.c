/** @file bill_link.c @brief Replicates and recovers bills through peers. */
#include "bill_link.h"

#include "clock.h"
#include "event.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/membership.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REPORTS_MAX 1024
#define UNLISTED_SILENCE_US (3 * PPS_US_PER_S)
#define HOLD_TIMEOUT_US (5 * PPS_US_PER_S)
#define MICROS_PER_UNIT 1e6
#define TOKENS_PER_PRICE 1000.0

/** A message posted to the control thread, which sends it. */
typedef struct {
    pps_router_t *router;
    char host[PPS_HOST_ID_MAX + 1];
    uint32_t kind;
    size_t size;
    char payload[];
} outgoing_message_t;

static void
send_outgoing(void *user)
{
    outgoing_message_t *outgoing = user;

    pps_peers_send(outgoing->router->peers, outgoing->host, outgoing->kind,
                   outgoing->payload, outgoing->size);
    free(outgoing);
}

static int
send_message(void *user, const char *host_id, pps_bills_message_t kind,
             const void *payload, size_t size)
{
    pps_router_t *router = user;
    outgoing_message_t *outgoing = malloc(sizeof(*outgoing) + size);
    int error;

    if (outgoing == NULL) {
        return pps_error_set(PPS_ENOMEM, "bill message: out of memory");
    }
    outgoing->router = router;
    snprintf(outgoing->host, sizeof(outgoing->host), "%s", host_id);
    outgoing->kind = PPS_BILL_LINK_KIND_FIRST + (uint32_t)kind;
    outgoing->size = size;
    memcpy(outgoing->payload, payload, size);
    error = pps_mailbox_post(&router->mailbox, send_outgoing, outgoing);
    if (error < 0) {
        free(outgoing);
    }
    return error;
}

int
pps_bill_link_open(pps_router_t *router)
{
    const pps_bills_transport_t transport = {send_message, router};
    pps_bills_options_t options = PPS_BILLS_OPTIONS_INIT;

    options.host = router->settings.host_id;
    options.incarnation = router->incarnation;
    options.bills_max = (size_t)router->settings.bills_max;
    return pps_bills_new(&router->bills, router->log, &transport, &options);
}

int
pps_bill_link_receive(pps_router_t *router, const char *from, uint32_t kind,
                      const void *payload, size_t size)
{
    if (kind <= PPS_BILL_LINK_KIND_FIRST ||
        kind > PPS_BILL_LINK_KIND_FIRST + PPS_BILLS_RELEASE) {
        return PPS_ENOTFOUND;
    }
    pps_bills_receive(router->bills, from,
                      (pps_bills_message_t)(kind - PPS_BILL_LINK_KIND_FIRST),
                      payload, size);
    return PPS_OK;
}

static int
is_lost(const pps_router_t *router, const pps_host_report_t *report,
        int64_t now_us)
{
    if (report->suspected) {
        return 1;
    }
    return pps_host_list_find(&router->hosts, report->id) == NULL &&
           now_us - report->pong_received_us > UNLISTED_SILENCE_US;
}

/* A host that reports a new incarnation has lost the bills of older ones. */
static void
recover_bills_of_lost_hosts(pps_router_t *router,
                            const pps_host_report_t *reports, size_t count)
{
    int64_t now = pps_clock_now_us();

    for (size_t i = 0; i < count; i++) {
        uint64_t incarnation = reports[i].status.incarnation;

        if (incarnation == 0) {
            continue;
        }
        pps_bills_recover_host(
            router->bills, reports[i].id,
            is_lost(router, &reports[i], now) ? incarnation : incarnation - 1);
    }
}

static int
is_reported(const pps_host_report_t *reports, size_t count, const char *id)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(reports[i].id, id) == 0) {
            return 1;
        }
    }
    return 0;
}

/* A host that shuts down cleanly and is removed from the host list at once is
 * never suspected, since the links drop its report. Its copies are appended
 * here. */
static void
recover_bills_of_removed_hosts(pps_router_t *router,
                               const pps_host_report_t *reports, size_t count)
{
    static pps_bills_origin_id_t origins[REPORTS_MAX];
    size_t held = pps_bills_origins(router->bills, origins, REPORTS_MAX);

    for (size_t i = 0; i < held; i++) {
        const char *id = origins[i].host;

        if (pps_host_list_find(&router->hosts, id) == NULL &&
            !is_reported(reports, count, id)) {
            pps_bills_recover_host(router->bills, id, origins[i].incarnation);
        }
    }
}

static void
choose_partner(pps_router_t *router, const pps_host_report_t *reports,
               size_t count)
{
    pps_membership_t membership = PPS_MEMBERSHIP_INIT;
    const pps_member_t *partner = NULL;

    if (pps_membership_build(&membership, router->settings.host_id,
                             router->incarnation, &router->hosts, reports,
                             count) < 0) {
        return;
    }
    if (pps_membership_find_partner(&partner, &membership,
                                    router->settings.host_id) < 0) {
        partner = NULL;
    }
    pps_bills_set_partner(router->bills, partner ? partner->host.id : NULL);
    pps_membership_clear(&membership);
}

void
pps_bill_link_tick(pps_router_t *router)
{
    static pps_host_report_t reports[REPORTS_MAX];
    size_t count = pps_peers_copy_reports(router->peers, reports, REPORTS_MAX);

    choose_partner(router, reports, count);
    recover_bills_of_lost_hosts(router, reports, count);
    recover_bills_of_removed_hosts(router, reports, count);
    pps_bills_tick(router->bills);
}

static void
fill_usage(pps_bill_t *bill, const pps_answer_usage_t *usage)
{
    snprintf(bill->version, sizeof(bill->version), "%s", usage->version);
    bill->prompt_tokens = usage->prompt_tokens;
    bill->generated_tokens = usage->generated_tokens;
    bill->cost_micros =
        (uint64_t)((double)usage->generated_tokens * usage->cost *
                   (MICROS_PER_UNIT / TOKENS_PER_PRICE));
}

int
pps_bill_link_bill(const pps_call_t *call, const char *model,
                   const char *upstream, const pps_answer_usage_t *usage,
                   pps_bill_kind_t kind)
{
    pps_bill_t bill = {.kind = kind};
    int error;

    snprintf(bill.request_id, sizeof(bill.request_id), "%s", call->request_id);
    snprintf(bill.workspace, sizeof(bill.workspace), "%s",
             call->workspace->name);
    snprintf(bill.model, sizeof(bill.model), "%s", model);
    snprintf(bill.upstream, sizeof(bill.upstream), "%s", upstream);
    if (usage != NULL) {
        fill_usage(&bill, usage);
    }
    error = pps_bills_hold(call->router->bills, &bill,
                           pps_clock_now_us() + HOLD_TIMEOUT_US);
    pps_event_record("billed",
                     PPS_FIELDS(PPS_STR("request", call->request_id),
                                PPS_STR("workspace", call->workspace->name),
                                PPS_INT("result", error)));
    return error;
}
