/** @file test_bills.c @brief Tests that crashes lose and repeat no bill. */
#include "bills_wire.h"
#include "papayaswitch/bill_reader.h"
#include "papayaswitch/record.h"

#include <criterion/criterion.h>
#include <stdatomic.h>
#include <stdio.h>

#define INTERVAL_US 1000
#define LONG_WAIT_US (60 * PPS_US_PER_S)
#define SHORT_WAIT_US (20 * PPS_US_PER_MS)

static void
set_log_unreachable(int host, int unreachable)
{
    pthread_mutex_lock(&wire_mutex);
    hosts[host].log_unreachable = unreachable;
    pthread_mutex_unlock(&wire_mutex);
}

static void
drop_kinds(unsigned int kinds)
{
    pthread_mutex_lock(&wire_mutex);
    dropped_kinds = kinds;
    pthread_mutex_unlock(&wire_mutex);
}

static void
crash_host(int host)
{
    pps_bills_t *bills = hosts[host].bills;

    set_log_unreachable(host, 1);
    hosts[host].bills = NULL;
    pps_bills_free(bills);
}

static void
start_host(int i, uint64_t incarnation, size_t bills_max)
{
    pps_bills_options_t options = PPS_BILLS_OPTIONS_INIT;
    pps_bills_transport_t transport = {send_message, &hosts[i]};

    options.host = host_names[i];
    options.incarnation = incarnation;
    options.append_interval_us = INTERVAL_US;
    options.resend_interval_us = INTERVAL_US;
    options.bills_max = bills_max;
    options.reserve = 0;
    hosts[i] = (host_t){.base = {.append = host_append}, .index = i};
    cr_assert_eq(
        pps_bills_new(&hosts[i].bills, &hosts[i].base, &transport, &options),
        0);
}

static void
setup(void)
{
    fake_log_init(&shared_log);
    for (int i = 0; i < HOSTS; i++) {
        start_host(i, 1, 100);
    }
    pps_bills_set_partner(hosts[0].bills, "b");
}

static void
teardown(void)
{
    deliver_messages();
    for (int i = 0; i < HOSTS; i++) {
        pps_bills_free(hosts[i].bills);
    }
    fake_log_clear(&shared_log);
}

TestSuite(bills, .init = setup, .fini = teardown);

static pps_bill_t
make_bill(const char *request)
{
    pps_bill_t bill = {.workspace = "ministry",
                       .model = "draft",
                       .version = "v1",
                       .upstream = "pool",
                       .prompt_tokens = 10,
                       .generated_tokens = 20,
                       .cost_micros = 7,
                       .kind = PPS_BILL_COMPLETED};

    snprintf(bill.request_id, sizeof(bill.request_id), "%s", request);
    return bill;
}

/** Call of pps_bills_hold() on a thread of its own. */
typedef struct {
    pthread_t thread;
    int64_t wait_us;
    atomic_int done;
    int result;
    char request[PPS_REQUEST_ID_MAX + 1];
} hold_call_t;

static void *
run_hold(void *user)
{
    hold_call_t *call = user;
    pps_bill_t bill = make_bill(call->request);

    call->result = pps_bills_hold(hosts[0].bills, &bill,
                                  pps_clock_now_us() + call->wait_us);
    atomic_store(&call->done, 1);
    return NULL;
}

static int
hold_one(const char *request, int64_t wait_us)
{
    hold_call_t call = {.wait_us = wait_us, .result = 1};

    snprintf(call.request, sizeof(call.request), "%s", request);
    pthread_create(&call.thread, NULL, run_hold, &call);
    do {
        deliver_messages();
        pps_clock_sleep_us(INTERVAL_US);
    } while (!atomic_load(&call.done));
    pthread_join(call.thread, NULL);
    return call.result;
}

static void
drain(int host)
{
    while (pps_bills_drain(hosts[host].bills) > 0) {
        deliver_messages();
        pps_clock_sleep_us(INTERVAL_US);
    }
}

/* Appends until the log has all own bills of the host. */
static void
append_own(int host)
{
    pps_bills_stats_t stats;

    do {
        pps_bills_drain(hosts[host].bills);
        pps_clock_sleep_us(INTERVAL_US);
        pps_bills_stats(hosts[host].bills, &stats);
    } while (stats.own > 0);
}

static void
expect_billed(uint64_t bills, const char *step)
{
    pps_bill_reader_t *reader;
    pps_bill_reader_stats_t stats;

    cr_assert_eq(pps_bill_reader_new(&reader), 0);
    cr_assert_eq(pps_bill_reader_read(reader, &shared_log.base), 0);
    pps_bill_reader_stats(reader, &stats);
    cr_expect_eq(stats.bills, bills, "%s: %zu bills", step,
                 (size_t)stats.bills);
    cr_expect_eq(stats.corrupt, 0);
    pps_bill_reader_free(reader);
}

#define BIT(kind) (1U << (kind))

/** Faults before the owner crashes, and the bills that the log then has. */
typedef struct {
    const char *step;
    unsigned int dropped;
    int log_unreachable;
    int append; /**< the owner appends before it crashes */
    fake_log_fault_t fault;
    int result; /**< expected result of the hold */
    uint64_t billed;
} crash_case_t;

Test(bills, owner_crashes_at_each_step)
{
    static const crash_case_t cases[] = {
        {"copy lost", BIT(PPS_BILLS_HOLD), 1, 0, FAKE_LOG_NO_FAULT,
         PPS_ETIMEOUT, 0},
        {"acknowledgement of the copy lost", BIT(PPS_BILLS_HOLD_ACK), 1, 0,
         FAKE_LOG_NO_FAULT, PPS_ETIMEOUT, 1},
        {"copy held", 0, 1, 0, FAKE_LOG_NO_FAULT, 0, 1},
        {"appended, release lost", BIT(PPS_BILLS_RELEASE), 0, 1,
         FAKE_LOG_NO_FAULT, 0, 1},
        {"appended, acknowledgement of the log and release lost",
         BIT(PPS_BILLS_RELEASE), 0, 0, FAKE_LOG_LOST_ACK, 0, 1},
        {"appended twice, release lost", BIT(PPS_BILLS_RELEASE), 0, 1,
         FAKE_LOG_DUPLICATE, 0, 1},
        {"appended and released", 0, 0, 1, FAKE_LOG_NO_FAULT, 0, 1},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        const crash_case_t *c = &cases[i];

        teardown();
        setup();
        drop_kinds(c->dropped);
        set_log_unreachable(0, c->log_unreachable);
        fake_log_set_fault(&shared_log, c->fault);
        cr_expect_eq(
            hold_one("r", c->result == 0 ? LONG_WAIT_US : SHORT_WAIT_US),
            c->result, "%s", c->step);
        if (c->append) {
            append_own(0);
            pps_bills_tick(hosts[0].bills);
        }
        deliver_messages();
        crash_host(0);
        drop_kinds(0);
        fake_log_set_fault(&shared_log, FAKE_LOG_NO_FAULT);
        pps_bills_recover_host(hosts[1].bills, "a", 1);
        drain(1);
        expect_billed(c->billed, c->step);
    }
}

Test(bills, a_new_incarnation_makes_the_partner_append_the_old_copies)
{
    set_log_unreachable(0, 1);
    cr_assert_eq(hold_one("r1", LONG_WAIT_US), 0);
    crash_host(0);
    start_host(0, 2, 100);
    set_log_unreachable(0, 1);
    pps_bills_set_partner(hosts[0].bills, "b");
    cr_assert_eq(hold_one("r2", LONG_WAIT_US), 0);
    drain(1);
    expect_billed(1, "old incarnation");
    crash_host(0);
    pps_bills_recover_host(hosts[1].bills, "a", 2);
    drain(1);
    expect_billed(2, "both");
}

Test(bills, a_new_partner_receives_bills_that_the_log_lacks)
{
    set_log_unreachable(0, 1);
    cr_assert_eq(hold_one("r1", LONG_WAIT_US), 0);
    cr_assert_eq(hold_one("r2", LONG_WAIT_US), 0);
    crash_host(1);
    pps_bills_set_partner(hosts[0].bills, "c");
    drain(0);
    crash_host(0);
    pps_bills_recover_host(hosts[2].bills, "a", 1);
    drain(2);
    expect_billed(2, "new partner");
}

Test(bills, a_running_host_marked_lost_is_billed_once)
{
    pps_bills_stats_t stats;

    cr_assert_eq(hold_one("r", LONG_WAIT_US), 0);
    pps_bills_recover_host(hosts[1].bills, "a", 1);
    drain(1);
    append_own(0);
    pps_bills_tick(hosts[0].bills);
    deliver_messages();
    expect_billed(1, "both appended");
    pps_bills_stats(hosts[1].bills, &stats);
    cr_expect_eq(stats.held, 0);
}

Test(bills, an_outage_fills_memory_up_to_the_limit_and_is_recovered)
{
    char request[16];
    pps_bill_t bill;

    fake_log_set_fault(&shared_log, FAKE_LOG_OUTAGE);
    cr_expect(pps_bills_can_accept(hosts[0].bills));
    for (int i = 0; i < 100; i++) {
        snprintf(request, sizeof(request), "r%d", i);
        cr_assert_eq(hold_one(request, LONG_WAIT_US), 0);
    }
    cr_expect_not(pps_bills_can_accept(hosts[0].bills));
    bill = make_bill("above the limit");
    cr_expect_eq(pps_bills_hold(hosts[0].bills, &bill, 0), PPS_ELIMIT);
    fake_log_set_fault(&shared_log, FAKE_LOG_NO_FAULT);
    append_own(0);
    cr_expect(pps_bills_can_accept(hosts[0].bills));
    expect_billed(100, "after the outage");
}

Test(bills, accepts_with_a_partner_or_the_log)
{
    static const struct {
        int partner;
        int log;
        int accept;
    } cases[] = {{1, 1, 1}, {1, 0, 1}, {0, 1, 1}, {0, 0, 0}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_bills_set_partner(hosts[0].bills, cases[i].partner ? "b" : NULL);
        pps_bills_set_log_reachable(hosts[0].bills, cases[i].log);
        cr_expect_eq(pps_bills_can_accept(hosts[0].bills), cases[i].accept,
                     "case %zu", i);
    }
}

Test(bills, without_a_partner_a_hold_waits_for_the_log)
{
    pps_bills_set_partner(hosts[0].bills, NULL);
    cr_expect_eq(hold_one("r", LONG_WAIT_US), 0);
    expect_billed(1, "log alone");
}

Test(bills, copies_of_another_host_are_refused)
{
    pps_bill_t bill = make_bill("r");
    void *payload;
    size_t size;

    snprintf(bill.host, sizeof(bill.host), "a");
    bill.sequence = 1;
    cr_assert_eq(pps_bill_batch_encode(&payload, &size, &bill, 1), 0);
    cr_expect_eq(
        pps_bills_receive(hosts[1].bills, "c", PPS_BILLS_HOLD, payload, size),
        PPS_EREFUSED);
    for (size_t part_size = 0; part_size < size; part_size++) {
        cr_expect_eq(pps_bills_receive(hosts[1].bills, "a", PPS_BILLS_HOLD,
                                       payload, part_size),
                     PPS_ECORRUPT);
    }
    free(payload);
}
