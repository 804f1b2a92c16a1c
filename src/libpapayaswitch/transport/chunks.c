/** @file chunks.c @brief Reads chunks byte by byte, their data at once. */
#include "chunks.h"

#include <ctype.h>
#include <string.h>

/** Digits of the largest size of a chunk, which fits in an int64_t. */
#define DIGITS_MAX 15
/** Longest line with a size and extensions. */
#define LINE_BYTES_MAX 4096

static unsigned int
digit_value(char c)
{
    return isdigit((unsigned char)c)
               ? (unsigned int)(c - '0')
               : (unsigned int)(tolower((unsigned char)c) - 'a' + 10);
}

/* Reads a byte of the size's line behind the digits. */
static pps_chunks_state_t
read_extension(pps_chunks_t *chunks, char c)
{
    if (c == '\r') {
        chunks->position = PPS_CHUNKS_BEHIND_CR;
        return PPS_CHUNKS_MORE;
    }
    return c == '\t' || !iscntrl((unsigned char)c) ? PPS_CHUNKS_MORE
                                                   : PPS_CHUNKS_MALFORMED;
}

static pps_chunks_state_t
read_size(pps_chunks_t *chunks, char c)
{
    if (isxdigit((unsigned char)c)) {
        chunks->left = chunks->left * 16 + digit_value(c);
        return ++chunks->digits <= DIGITS_MAX ? PPS_CHUNKS_MORE
                                              : PPS_CHUNKS_MALFORMED;
    }
    if (chunks->digits == 0) {
        return PPS_CHUNKS_MALFORMED;
    }
    if (c == '\r') {
        chunks->position = PPS_CHUNKS_BEHIND_CR;
        return PPS_CHUNKS_MORE;
    }
    chunks->position =
        c == ';' ? PPS_CHUNKS_IN_EXTENSION : PPS_CHUNKS_BEHIND_SIZE;
    return c == ';' || isblank((unsigned char)c) ? PPS_CHUNKS_MORE
                                                 : PPS_CHUNKS_MALFORMED;
}

static pps_chunks_state_t
read_blank(pps_chunks_t *chunks, char c)
{
    if (c == ';') {
        chunks->position = PPS_CHUNKS_IN_EXTENSION;
        return PPS_CHUNKS_MORE;
    }
    return isblank((unsigned char)c) ? PPS_CHUNKS_MORE : PPS_CHUNKS_MALFORMED;
}

static pps_chunks_state_t
end_line(pps_chunks_t *chunks, char c)
{
    chunks->digits = 0;
    chunks->line_bytes = 0;
    chunks->position = PPS_CHUNKS_IN_DATA;
    if (c != '\n') {
        return PPS_CHUNKS_MALFORMED;
    }
    return chunks->left == 0 ? PPS_CHUNKS_LAST : PPS_CHUNKS_MORE;
}

static pps_chunks_state_t
expect(pps_chunks_t *chunks, char c, char wanted, pps_chunks_position_t next)
{
    chunks->position = next;
    return c == wanted ? PPS_CHUNKS_MORE : PPS_CHUNKS_MALFORMED;
}

static pps_chunks_state_t
read_char(pps_chunks_t *chunks, char c)
{
    if (++chunks->line_bytes > LINE_BYTES_MAX) {
        return PPS_CHUNKS_MALFORMED;
    }
    switch (chunks->position) {
    case PPS_CHUNKS_IN_SIZE:
        return read_size(chunks, c);
    case PPS_CHUNKS_BEHIND_SIZE:
        return read_blank(chunks, c);
    case PPS_CHUNKS_IN_EXTENSION:
        return read_extension(chunks, c);
    case PPS_CHUNKS_BEHIND_CR:
        return end_line(chunks, c);
    case PPS_CHUNKS_BEHIND_DATA:
        return expect(chunks, c, '\r', PPS_CHUNKS_BEHIND_DATA_CR);
    case PPS_CHUNKS_BEHIND_DATA_CR:
        return expect(chunks, c, '\n', PPS_CHUNKS_IN_SIZE);
    case PPS_CHUNKS_IN_DATA:
        break;
    }
    return PPS_CHUNKS_MALFORMED;
}

static void
take_data(pps_chunks_t *chunks, pps_chunk_piece_t *piece, const char *data,
          size_t size)
{
    piece->data = data;
    piece->size = size < chunks->left ? size : (size_t)chunks->left;
    chunks->left -= piece->size;
    if (chunks->left == 0) {
        chunks->position = PPS_CHUNKS_BEHIND_DATA;
    }
}

pps_chunks_state_t
pps_chunks_read(pps_chunks_t *chunks, pps_chunk_piece_t *piece,
                const char *data, size_t size, size_t *used)
{
    pps_chunks_state_t state = PPS_CHUNKS_MORE;

    *piece = (pps_chunk_piece_t){0};
    *used = 0;
    while (state == PPS_CHUNKS_MORE && *used < size) {
        if (chunks->position == PPS_CHUNKS_IN_DATA) {
            take_data(chunks, piece, data + *used, size - *used);
            *used += piece->size;
            return PPS_CHUNKS_MORE;
        }
        state = read_char(chunks, data[(*used)++]);
    }
    return state;
}
