/**
 * @file store_topic_fixture.h
 * @brief A store topic that reads a scripted store into a mirror.
 */
#ifndef PPS_TESTS_ENTRY_STORE_TOPIC_FIXTURE_H
#define PPS_TESTS_ENTRY_STORE_TOPIC_FIXTURE_H

#include "clock.h"
#include "net.h"
#include "store_topic.h"

/** Limit of each wait. */
#define TIMEOUT_MS 3000

#define HEAD "HTTP/1.1 200 OK\r\nContent-Length: "

/** Listing of the keys a and b with the values 1 and 2; its end is 3. */
#define LISTING                                                               \
    HEAD "119\r\n\r\n"                                                        \
         "{\"entries\":[{\"key\":\"a\",\"value\":\"MQ==\",\"offset\":1},"     \
         "{\"key\":\"b\",\"value\":\"Mg==\",\"offset\":2}],"                  \
         "\"has_more\":false,\"end\":3     }"

/** Head of an answer that states the epoch. */
#define EPOCH(n) "HTTP/1.1 200 OK\r\nStore-Era: " n "\r\nContent-Length: "

/** Listing of one page with the key a. */
#define ONE_KEY(epoch, value, end)                                            \
    EPOCH(epoch)                                                              \
    "84\r\n\r\n{\"entries\":[{\"key\":\"a\",\"value\":\"" value               \
    "\",\"offset\":1}],\"has_more\":false,\"end\":" end "        }"

/** Answer to a read: end 3, first offset 0, no records. */
#define NO_RECORDS "16\r\n\r\n0000000300000000"

/** First page of a listing of two; its only key is a. */
#define FIRST_PAGE(epoch)                                                     \
    EPOCH(epoch)                                                              \
    "75\r\n\r\n{\"entries\":[{\"key\":\"a\",\"value\":\"MQ==\",\"offset\":1}" \
    "],"                                                                      \
    "\"has_more\":true,\"end\":3}"

/** The topic, its store, and what the topic reported. */
typedef struct {
    pps_reactor_t reactor;
    net_server_t server;
    pps_store_topic_t *topic;
    pps_mirror_t *mirror;
    pps_buf_t changes; /**< of keys and epochs, in order */
    size_t reads;
    size_t failures;
} store_topic_fixture_t;

/** Answers of the store, and what the topic must report. */
typedef struct {
    const char *name;
    net_answer_t script[4];
    size_t reads;
    size_t failures;
    const char *changes;
} store_topic_case_t;

/** Starts the store and the topic. The script is not copied. */
void
store_topic_start(store_topic_fixture_t *fixture, const net_answer_t *script,
                  size_t size);

/** Checks what the topic reports for each script. */
void
store_topic_expect_cases(const store_topic_case_t *cases, size_t count);

#endif
