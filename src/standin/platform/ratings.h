/**
 * @file ratings.h
 * @brief Ratings of answers, kept in the order in which they came.
 */
#ifndef STANDIN_RATINGS_H
#define STANDIN_RATINGS_H

#include <jansson.h>
#include <pthread.h>
#include <stdint.h>

/** All ratings. */
typedef struct {
    pthread_mutex_t lock;
    json_t *list;
} ratings_t;

int
ratings_init(ratings_t *ratings);

void
ratings_clear(ratings_t *ratings);

/** Adds an array of ratings. @return 0; PPS_EINVALID; PPS_ELIMIT */
int
ratings_add(ratings_t *ratings, const json_t *added);

/** `{"head","ratings"}` with at most `limit` ratings from `from` on. */
json_t *
ratings_list(ratings_t *ratings, size_t from, size_t limit);

#endif
