/** @file ratings.c @brief Array of ratings, indexed by offset. */
#include "ratings.h"

#include "papayaswitch/errors.h"

#define RATINGS_MAX 1000000

int
ratings_init(ratings_t *ratings)
{
    pthread_mutex_init(&ratings->lock, NULL);
    ratings->list = json_array();
    if (ratings->list == NULL) {
        return pps_error_set(PPS_ENOMEM, "ratings: out of memory");
    }
    return PPS_OK;
}

void
ratings_clear(ratings_t *ratings)
{
    json_decref(ratings->list);
    pthread_mutex_destroy(&ratings->lock);
}

static int
check_ratings(const json_t *added)
{
    size_t index;
    json_t *rating;

    if (!json_is_array(added)) {
        return pps_error_set(PPS_EINVALID,
                             "ratings: the body is not a JSON array");
    }
    json_array_foreach(added, index, rating)
    {
        const json_t *score = json_object_get(rating, "score");
        double value = json_number_value(score);

        if (!json_is_number(score) || value < 0 || value > 1) {
            return pps_error_set(
                PPS_EINVALID, "rating: the score is not a number from 0 to 1");
        }
    }
    return PPS_OK;
}

int
ratings_add(ratings_t *ratings, const json_t *added)
{
    size_t index;
    json_t *rating;
    int error = check_ratings(added);

    if (error < 0) {
        return error;
    }
    pthread_mutex_lock(&ratings->lock);
    if (json_array_size(ratings->list) > RATINGS_MAX) {
        error = pps_error_set(PPS_ELIMIT,
                              "ratings: the maximum number is reached");
        goto done;
    }
    json_array_foreach(added, index, rating)
    {
        json_t *copy = json_copy(rating);
        size_t offset = json_array_size(ratings->list);

        json_object_set_new(copy, "offset", json_integer((json_int_t)offset));
        json_array_append_new(ratings->list, copy);
    }
done:
    pthread_mutex_unlock(&ratings->lock);
    return error;
}

json_t *
ratings_list(ratings_t *ratings, size_t from, size_t limit)
{
    json_t *list = json_array();
    size_t head;

    pthread_mutex_lock(&ratings->lock);
    head = json_array_size(ratings->list);
    for (size_t offset = from; offset < head && offset - from < limit;
         offset++) {
        json_array_append(list, json_array_get(ratings->list, offset));
    }
    pthread_mutex_unlock(&ratings->lock);
    return json_pack("{s:I,s:o}", "head", (json_int_t)head, "ratings", list);
}
