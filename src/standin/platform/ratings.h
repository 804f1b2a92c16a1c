/**
 * @file ratings.h
 * @brief Ratings of answers in the order of their arrival.
 */
#ifndef STANDIN_RATINGS_H
#define STANDIN_RATINGS_H

#include <jansson.h>
#include <pthread.h>
#include <stdint.h>

/** List of all ratings. */
typedef struct {
    pthread_mutex_t lock;
    json_t *list;
} ratings_t;

int
ratings_init(ratings_t *ratings);

void
ratings_clear(ratings_t *ratings);

/** Appends an array of ratings. @return 0; PPS_EINVALID; PPS_ELIMIT */
int
ratings_add(ratings_t *ratings, const json_t *added);

/** Returns `{"head","ratings"}`: at most `limit` ratings, from `from` on. */
json_t *
ratings_list(ratings_t *ratings, size_t from, size_t limit);

#endif
