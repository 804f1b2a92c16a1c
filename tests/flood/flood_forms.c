/** @file flood_forms.c @brief What the workers of a flood send. */
#include "flood.h"

#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK "%sTransfer-Encoding: chunked\r\n\r\n"
#define OTHER OK "X-Request-Id: other\r\nContent-Length: 2\r\n\r\nhi"
#define EVENTS                                                                \
    OK "%sContent-Type: text/event-stream\r\n"                                \
       "Transfer-Encoding: chunked\r\n\r\n"
#define ENDLESS_BYTES (48U << 20)
#define HALF_BODY_BYTES 8300000
#define HALF_EVENT_BYTES (252U << 10)

const flood_form_t flood_forms[] = {
    {"garbage", FLOOD_ENDLESS, "/once/x", "no answer\r\n", "no answer ",
     ENDLESS_BYTES},
    {"reason", FLOOD_ENDLESS, "/once/x", "HTTP/1.1 200 ", "reason ",
     ENDLESS_BYTES},
    {"field", FLOOD_ENDLESS, "/once/x", OK "X-A: ", "aaaaaaaa", ENDLESS_BYTES},
    {"fields", FLOOD_ENDLESS, "/once/x", OK, "X-A: a\r\n", ENDLESS_BYTES},
    {"interim", FLOOD_ENDLESS, "/once/x", "HTTP/1.1 100 Go\r\n\r\n",
     "HTTP/1.1 100 Go\r\n\r\n", ENDLESS_BYTES},
    {"foreign", FLOOD_ENDLESS, "/once/x", OTHER, OTHER, ENDLESS_BYTES},
    {"extension", FLOOD_ENDLESS, "/once/x", CHUNKED "1;", "extension",
     ENDLESS_BYTES},
    {"trailer", FLOOD_ENDLESS, "/once/x", CHUNKED "0\r\n", "X-A: a\r\n",
     ENDLESS_BYTES},
    {"body-length", FLOOD_ENDLESS, "/once/x",
     OK "%sContent-Length: 50000000\r\n\r\n", "no answer ", ENDLESS_BYTES},
    {"body-chunks", FLOOD_ENDLESS, "/once/x", CHUNKED, "9\r\nno answer\r\n",
     ENDLESS_BYTES},
    {"body-unframed", FLOOD_ENDLESS, "/once/x", OK "%s\r\n", "no answer ",
     ENDLESS_BYTES},
    {"body-half", FLOOD_HALF, "/once/x",
     OK "%sContent-Length: 8388608\r\n\r\n", "no answer ", HALF_BODY_BYTES},
    {"event-line", FLOOD_ENDLESS, "/stream/x", EVENTS "9\r\ndata: xxx\r\n",
     "9\r\nno event \r\n", ENDLESS_BYTES},
    {"event-lines", FLOOD_ENDLESS, "/stream/x", EVENTS, "8\r\ndata: x\n\r\n",
     ENDLESS_BYTES},
    {"event-half", FLOOD_HALF, "/stream/x", EVENTS, "8\r\ndata: x\n\r\n",
     HALF_EVENT_BYTES},
    {"comments", FLOOD_ENDLESS, "/stream/x", EVENTS, "8\r\n: a b c\n\r\n",
     ENDLESS_BYTES},
    {"slow-callers", FLOOD_STREAM, "/stream/x", EVENTS, "", 0},
    {"uploads", FLOOD_UPLOAD, "/once/x", NULL, NULL, FLOOD_UPLOAD_MAX},
    {"uploads-held", FLOOD_UPLOAD, "/once/x", NULL, NULL, FLOOD_UPLOAD_MAX,
     NULL, 1},
    {"uploads-keyless", FLOOD_UPLOAD, "/once/x", NULL, NULL, FLOOD_UPLOAD_MAX,
     "", 1},
};

const size_t flood_form_count = sizeof(flood_forms) / sizeof(*flood_forms);
