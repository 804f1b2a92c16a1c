/** @file golden_log.c @brief Implements commands on notes and log reads. */
#include "golden_state.h"

#include "papayaswitch/record.h"

#include <criterion/criterion.h>
#include <string.h>

uint64_t
golden_append(golden_t *golden, golden_log_t *log, void *data, size_t size)
{
    cr_assert_lt(log->count, GOLDEN_RECORDS_MAX);
    log->entries[log->count] =
        (pps_log_entry_t){log->count, golden->now_us, data, size};
    return log->count++;
}

static void
run_note(golden_t *golden, const golden_line_t *line)
{
    pps_buf_t text = PPS_BUF_INIT;
    void *data;
    size_t size;

    pps_buf_printf(&text, "[note]\nid = %s\nbase = %s\n%s", line->words[1],
                   line->words[2], pps_buf_text((pps_buf_t *)&line->text));
    cr_assert_eq(pps_record_encode(&data, &size, PPS_RECORD_NOTE,
                                   pps_buf_text(&text), text.size),
                 0);
    golden_print(golden, "config[%d]",
                 (int)golden_append(golden, &golden->config, data, size));
    pps_buf_clear(&text);
}

typedef struct {
    golden_t *golden;
    const golden_host_t *host;
    uint64_t offset;
} verdict_filter_t;

static int
print_verdict(const pps_note_verdict_t *verdict, void *user)
{
    const verdict_filter_t *filter = user;

    if (verdict->offset == filter->offset && verdict->accepted) {
        golden_print(filter->golden, "%s: note %s makes revision %d",
                     filter->host->listed.id, verdict->id,
                     (int)verdict->revision);
    }
    else if (verdict->offset == filter->offset) {
        golden_print(filter->golden, "%s: note %s rejected: %s",
                     filter->host->listed.id, verdict->id, verdict->reason);
    }
    return 0;
}

static void
read_config(golden_t *golden, golden_host_t *host)
{
    uint64_t next = pps_config_fold_next(host->config);

    while (next < golden->config.count) {
        verdict_filter_t filter = {golden, host, next};

        cr_assert_eq(
            pps_config_fold_apply(host->config, &golden->config.entries[next]),
            0);
        pps_config_fold_verdict_foreach(host->config, print_verdict, &filter);
        next = pps_config_fold_next(host->config);
    }
    host->read_sent_us = golden->now_us;
    host->read_head = next;
}

static void
print_work_event(golden_t *golden, const golden_host_t *host, uint64_t offset,
                 const pps_work_event_t *event)
{
    const char *id = host->listed.id;
    pps_held_pin_t pin;

    if (event->kind == PPS_WORK_CLAIM) {
        golden_print(golden, "%s: work[%d] claim of %s by %s %s", id,
                     (int)offset, event->claim.key, event->claim.host,
                     event->won ? "holds the key" : "is void");
    }
    else if (event->kind == PPS_WORK_PIN &&
             pps_work_fold_pin(host->work, &pin, event->pin.workspace,
                               event->pin.session,
                               pps_work_fold_log_time(host->work)) == 0) {
        golden_print(golden, "%s: work[%d] session %s is on %s", id,
                     (int)offset, event->pin.session, pin.version);
    }
    else if (event->kind == PPS_WORK_OUTCOME) {
        golden_print(golden, "%s: work[%d] outcome", id, (int)offset);
    }
}

static void
read_work(golden_t *golden, golden_host_t *host)
{
    uint64_t next = pps_work_fold_next(host->work);

    while (next < golden->work.count) {
        pps_work_event_t event;

        cr_assert_eq(pps_work_fold_apply(host->work,
                                         &golden->work.entries[next], &event),
                     0);
        print_work_event(golden, host, next, &event);
        next = pps_work_fold_next(host->work);
    }
}

static void
run_read(golden_t *golden, const golden_line_t *line)
{
    for (size_t i = 0; i < golden->host_count; i++) {
        golden_host_t *host = &golden->hosts[i];

        if (strcmp(line->words[1], "all") == 0 ||
            strcmp(line->words[1], host->listed.id) == 0) {
            read_config(golden, host);
            read_work(golden, host);
        }
    }
}

const golden_command_t golden_log_commands[] = {
    {"note", run_note}, /* note ID BASE, then its text, indented */
    {"read", run_read}, /* read HOST|all */
    {NULL, NULL},
};
