/** @file reply_framing.c @brief Reads the fields that concern framing. */
#include "reply_framing.h"

#include "papayaswitch/errors.h"

#include <strings.h>

#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

static int
has_no_body(unsigned int status)
{
    return status < PPS_HTTP_SUCCESS_MIN || status == STATUS_NO_CONTENT ||
           status == STATUS_NOT_MODIFIED;
}

static int
check_coding(const pps_headers_t *headers, unsigned int http_minor)
{
    const char *coding = pps_headers_get(headers, "Transfer-Encoding");
    int is_sound = strcasecmp(coding, "chunked") == 0 &&
                   pps_headers_count(headers, "Transfer-Encoding") == 1 &&
                   pps_headers_count(headers, "Content-Length") == 0 &&
                   http_minor > 0;

    return is_sound ? PPS_OK : PPS_ECORRUPT;
}

static int
read_length(pps_reply_framing_t *out, const pps_headers_t *headers)
{
    int64_t length;

    if (pps_headers_count(headers, "Content-Length") != 1 ||
        pps_headers_get_number(&length, headers, "Content-Length") != 0) {
        return PPS_ECORRUPT;
    }
    out->length = (uint64_t)length;
    return PPS_OK;
}

int
pps_reply_framing_read(pps_reply_framing_t *out, const pps_http_reply_t *reply,
                       unsigned int http_minor)
{
    const pps_headers_t *headers = &reply->headers;
    int error = PPS_OK;

    *out = (pps_reply_framing_t){.kind = PPS_FRAMING_END};
    if (pps_headers_get(headers, "Transfer-Encoding") != NULL) {
        out->kind = PPS_FRAMING_CHUNKS;
        error = check_coding(headers, http_minor);
    }
    else if (pps_headers_get(headers, "Content-Length") != NULL) {
        out->kind = PPS_FRAMING_LENGTH;
        error = read_length(out, headers);
    }
    if (has_no_body(reply->status) ||
        (out->kind == PPS_FRAMING_LENGTH && out->length == 0)) {
        out->kind = PPS_FRAMING_EMPTY;
    }
    return error;
}
