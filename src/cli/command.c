/** @file command.c @brief Arguments, HTTP requests and JSON output. */
#include "command.h"

#include "http_client.h"
#include "papayaswitch/errors.h"

#include <stdio.h>
#include <stdlib.h>

#define RESPONSE_TIMEOUT_MS 2000
#define URL_BYTES 256
#define HTTP_OK 200

int
pps_cli_parse(int argc, char **argv, void **table, struct arg_lit *help,
              struct arg_end *end, const char *description)
{
    int errors = arg_parse(argc, argv, table);

    if (help->count > 0) {
        printf("%s\n\nUsage: papayaswitch %s", description, argv[0]);
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-28s %s\n");
        return PPS_EXIT_OK;
    }
    if (errors > 0) {
        arg_print_errors(stderr, end, argv[0]);
        fprintf(stderr, "Try 'papayaswitch %s --help'.\n", argv[0]);
        return PPS_EXIT_USAGE;
    }
    return -1;
}

char *
pps_cli_get_text(const char *url)
{
    pps_http_request_t request = {.url = url,
                                  .answer_timeout_ms = RESPONSE_TIMEOUT_MS};
    pps_http_response_t response = {0};
    pps_http_client_t *client = NULL;
    char *body = NULL;

    if (pps_http_client_new(&client) < 0) {
        return NULL;
    }
    if (pps_http_client_call(&response, client, &request) == 0) {
        if (response.status == HTTP_OK) {
            pps_buf_puts(&response.body, "");
            body = pps_buf_detach(&response.body);
        }
        else {
            pps_error_set(PPS_EREFUSED,
                          "%s: expected HTTP status 200, received %d", url,
                          response.status);
        }
    }
    pps_http_response_clear(&response);
    pps_http_client_free(client);
    return body;
}

json_t *
pps_cli_get_json(const char *url)
{
    char *body = pps_cli_get_text(url);
    json_t *value = body ? json_loads(body, 0, NULL) : NULL;

    if (body != NULL && value == NULL) {
        pps_error_set(PPS_ECORRUPT, "%s: the response is not valid JSON", url);
    }
    free(body);
    return value;
}

int
pps_cli_get_hosts(pps_host_list_t *out, const char *platform)
{
    char url[URL_BYTES];
    json_t *list;
    int error;

    snprintf(url, sizeof(url), "%s/hosts", platform);
    list = pps_cli_get_json(url);
    if (list == NULL) {
        return PPS_EUNAVAILABLE;
    }
    error = pps_host_list_from_json(out, json_object_get(list, "entries"));
    json_decref(list);
    return error;
}

json_t *
pps_cli_get_from_host(const pps_host_t *host, const char *path)
{
    char url[URL_BYTES];

    snprintf(url, sizeof(url), "http://%s:%u%s", host->address,
             host->operator_port, path);
    return pps_cli_get_json(url);
}

void
pps_cli_print_json(const json_t *value)
{
    json_dumpf(value, stdout, JSON_INDENT(2));
    putchar('\n');
}
