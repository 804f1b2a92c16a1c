/** @file copy_pack.c @brief Compresses copies of topics by zlib. */
#include "copy_pack.h"

#include "papayaswitch/errors.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <zlib.h>

/** Fastest level: hosts have as little as 0.12 of a core. */
#define LEVEL 1
#define PIECE_BYTES 32768

int
pps_copy_pack(pps_buf_t *out, const char *data, size_t size)
{
    uLongf packed_size = compressBound((uLong)size);
    Bytef *packed;
    int error;

    if (size > PPS_COPY_BYTES_MAX) {
        return pps_error_set(PPS_ELIMIT, "a copy of %zu bytes", size);
    }
    packed = malloc(packed_size);
    if (packed == NULL) {
        return PPS_ENOMEM;
    }
    error = compress2(packed, &packed_size, (const Bytef *)data, (uLong)size,
                      LEVEL) == Z_OK
                ? pps_buf_append(out, packed, packed_size)
                : PPS_ENOMEM;
    free(packed);
    return error;
}

/* Unpacks the next piece. @return the result of inflate() */
static int
unpack_piece(pps_buf_t *out, z_stream *stream)
{
    Bytef piece[PIECE_BYTES];
    int result;

    stream->next_out = piece;
    stream->avail_out = sizeof(piece);
    result = inflate(stream, Z_NO_FLUSH);
    if ((result == Z_OK || result == Z_STREAM_END) &&
        pps_buf_append(out, piece, sizeof(piece) - stream->avail_out) != 0) {
        return Z_MEM_ERROR;
    }
    return result;
}

static int
error_of(int result, const z_stream *stream)
{
    if (result == Z_MEM_ERROR) {
        return PPS_ENOMEM;
    }
    return result == Z_STREAM_END && stream->avail_in == 0
               ? PPS_OK
               : pps_error_set(PPS_ECORRUPT, "a copy that does not unpack");
}

int
pps_copy_unpack(pps_buf_t *out, const char *data, size_t size, size_t limit)
{
    z_stream stream = {.next_in = (Bytef *)(uintptr_t)data,
                       .avail_in = (uInt)size};
    int result = Z_OK;
    int error;

    if (size > PPS_COPY_BYTES_MAX || inflateInit(&stream) != Z_OK) {
        return size > PPS_COPY_BYTES_MAX ? PPS_ELIMIT : PPS_ENOMEM;
    }
    while (result == Z_OK && stream.total_out <= limit) {
        result = unpack_piece(out, &stream);
    }
    error = stream.total_out > limit
                ? pps_error_set(PPS_ELIMIT, "a copy over %zu bytes", limit)
                : error_of(result, &stream);
    inflateEnd(&stream);
    return error;
}

/* Returns whether the parameters after a coding's name give it the weight 0.
 */
static int
is_excluded(const char *parameters, size_t size)
{
    const char *weight = memmem(parameters, size, "q=", 2);

    return weight != NULL && strtod(weight + 2, NULL) <= 0.0;
}

int
pps_copy_names_coding(const char *value)
{
    static const char separators[] = ", \t";
    size_t name_size = strlen(PPS_COPY_CODING);

    while (value != NULL && *value != '\0') {
        size_t size;

        value += strspn(value, separators);
        size = strcspn(value, ",");
        if (size >= name_size &&
            strncasecmp(value, PPS_COPY_CODING, name_size) == 0 &&
            strchr(",; \t", value[name_size]) != NULL) {
            return !is_excluded(value + name_size, size - name_size);
        }
        value += size;
    }
    return 0;
}
