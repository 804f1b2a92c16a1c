/** @file bills.c @brief `papayaswitch bills`: sums bills, each bill once. */
#include "command.h"
#include "papayaswitch/bill_reader.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/log_http.h"

#include <inttypes.h>
#include <stdio.h>

static int
append_sum(const pps_bill_sum_t *sum, void *user)
{
    json_array_append_new(
        user, json_pack("{s:s, s:I, s:I, s:I, s:I}", "workspace",
                        sum->workspace, "bills", (json_int_t)sum->bills,
                        "prompt_tokens", (json_int_t)sum->prompt_tokens,
                        "generated_tokens", (json_int_t)sum->generated_tokens,
                        "cost_micros", (json_int_t)sum->cost_micros));
    return 0;
}

static int
append_gap(const pps_bill_gap_t *gap, void *user)
{
    json_array_append_new(user, json_pack("{s:s, s:I, s:I, s:I}", "host",
                                          gap->host, "incarnation",
                                          (json_int_t)gap->incarnation,
                                          "first", (json_int_t)gap->first,
                                          "last", (json_int_t)gap->last));
    return 0;
}

static json_t *
encode_reading(const pps_bill_reader_t *reader)
{
    pps_bill_reader_stats_t reading;
    json_t *sums = json_array();
    json_t *gaps = json_array();

    pps_bill_reader_stats(reader, &reading);
    pps_bill_reader_sum_foreach(reader, append_sum, sums);
    pps_bill_reader_gap_foreach(reader, append_gap, gaps);
    return json_pack("{s:I, s:I, s:I, s:I, s:I, s:o, s:o}", "bills",
                     (json_int_t)reading.bills, "repeated_sequence",
                     (json_int_t)reading.repeated_sequence, "repeated_request",
                     (json_int_t)reading.repeated_request, "corrupt",
                     (json_int_t)reading.corrupt, "expired",
                     (json_int_t)reading.expired, "workspaces", sums, "gaps",
                     gaps);
}

static long long
integer_field(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static void
print_reading(const json_t *reading)
{
    size_t index;
    json_t *item;

    printf("%-24s %10s %14s %16s %16s\n", "workspace", "bills",
           "prompt tokens", "generated tokens", "cost (micros)");
    json_array_foreach(json_object_get(reading, "workspaces"), index, item)
    {
        printf("%-24s %10lld %14lld %16lld %16lld\n",
               json_string_value(json_object_get(item, "workspace")),
               integer_field(item, "bills"),
               integer_field(item, "prompt_tokens"),
               integer_field(item, "generated_tokens"),
               integer_field(item, "cost_micros"));
    }
    printf("duplicates dropped: %lld by sequence number, %lld by request id\n",
           integer_field(reading, "repeated_sequence"),
           integer_field(reading, "repeated_request"));
    json_array_foreach(json_object_get(reading, "gaps"), index, item)
    {
        printf("gap: %s incarnation %lld, sequences %lld to %lld\n",
               json_string_value(json_object_get(item, "host")),
               integer_field(item, "incarnation"),
               integer_field(item, "first"), integer_field(item, "last"));
    }
}

static int
read_and_print(const char *platform, int as_json)
{
    pps_bill_reader_t *reader = NULL;
    pps_log_backend_t *log = NULL;
    json_t *reading = NULL;
    int error = pps_log_http_new(&log, platform);

    if (error == 0) {
        error = pps_bill_reader_new(&reader);
    }
    if (error == 0) {
        error = pps_bill_reader_read(reader, log);
    }
    if (error < 0) {
        fprintf(stderr, "bills: %s\n", pps_error_last());
        goto done;
    }
    reading = encode_reading(reader);
    if (as_json) {
        pps_cli_print_json(reading);
    }
    else {
        print_reading(reading);
    }

done:
    json_decref(reading);
    if (reader != NULL) {
        pps_bill_reader_free(reader);
    }
    if (log != NULL) {
        log->free(log);
    }
    return error < 0 ? PPS_EXIT_FINDINGS : PPS_EXIT_OK;
}

int
pps_cli_bills(int argc, char **argv)
{
    struct arg_str *platform =
        arg_str1("p", "platform", "URL", "URL of the platform service");
    struct arg_lit *as_json = arg_lit0(NULL, "json", "print JSON");
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_end *end = arg_end(8);
    void *table[] = {platform, as_json, help, end};
    int status = pps_cli_parse(argc, argv, table, help, end,
                               "Sums the bills of each workspace without "
                               "duplicates and lists missing sequence "
                               "numbers.");

    if (status < 0) {
        status = read_and_print(platform->sval[0], as_json->count > 0);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
