/** @file test_copy_pack.c @brief Tests the compression of copies. */
#include "mirror/copy_cache.h"
#include "mirror/copy_pack.h"
#include "mirror_fixture.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

static pps_buf_t
make_text(size_t size)
{
    pps_buf_t text = PPS_BUF_INIT;

    for (size_t i = 0; text.size < size; i++) {
        pps_buf_printf(&text, "{\"host\":\"h%zu\",\"path\":\"/a/%zu\"},", i,
                       i * 7919 % 1009);
    }
    text.size = size;
    return text;
}

Test(copy_pack, what_was_packed_unpacks)
{
    static const size_t sizes[] = {0, 1, 32767, 32768, 32769, 400000};

    for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
        pps_buf_t text = make_text(sizes[i]);
        pps_buf_t packed = PPS_BUF_INIT;
        pps_buf_t plain = PPS_BUF_INIT;

        cr_assert_eq(pps_copy_pack(&packed, pps_buf_text(&text), text.size),
                     0);
        cr_expect_eq(
            pps_copy_unpack(&plain, packed.data, packed.size, sizes[i]), 0,
            "%zu bytes", sizes[i]);
        cr_assert_eq(plain.size, text.size);
        cr_expect_eq(
            memcmp(pps_buf_text(&plain), pps_buf_text(&text), text.size), 0);
        pps_buf_clear(&text);
        pps_buf_clear(&packed);
        pps_buf_clear(&plain);
    }
}

/* Guards against a sender that fails within a copy, and against bytes that are
 * no copy: both must be dropped whole. */
Test(copy_pack, truncated_and_malformed_copies_are_rejected)
{
    pps_buf_t text = make_text(5000);
    pps_buf_t packed = PPS_BUF_INIT;
    pps_buf_t plain = PPS_BUF_INIT;

    cr_assert_eq(pps_copy_pack(&packed, text.data, text.size), 0);
    for (size_t size = 0; size < packed.size; size++) {
        cr_expect_eq(pps_copy_unpack(&plain, packed.data, size, 5000),
                     PPS_ECORRUPT, "cut to %zu bytes", size);
        pps_buf_clear(&plain);
    }
    cr_expect_eq(pps_copy_unpack(&plain, text.data, text.size, 5000),
                 PPS_ECORRUPT);
    pps_buf_append(&packed, "x", 1);
    cr_expect_eq(pps_copy_unpack(&plain, packed.data, packed.size, 5000),
                 PPS_ECORRUPT, "bytes after the end");
    pps_buf_clear(&text);
    pps_buf_clear(&packed);
    pps_buf_clear(&plain);
}

/* Guards against a small answer that unpacks to more than the memory of a
 * host: no more than the limit and one piece may be unpacked. */
Test(copy_pack, unpacked_size_is_limited)
{
    size_t size = PPS_COPY_BYTES_MAX;
    char *zeros = calloc(1, size + 1);
    pps_buf_t packed = PPS_BUF_INIT;
    pps_buf_t plain = PPS_BUF_INIT;

    cr_assert_eq(pps_copy_pack(&packed, zeros, size), 0);
    cr_expect_lt(packed.size, 100000);
    cr_expect_eq(pps_copy_unpack(&plain, packed.data, packed.size, size - 1),
                 PPS_ELIMIT);
    cr_expect_leq(plain.size, size + 65536);
    pps_buf_clear(&plain);
    cr_expect_eq(pps_copy_unpack(&plain, packed.data, packed.size, size), 0);
    cr_expect_eq(pps_copy_pack(&packed, zeros, size + 1), PPS_ELIMIT);
    free(zeros);
    pps_buf_clear(&packed);
    pps_buf_clear(&plain);
}

/* Guards against sending compressed copies to hosts of older builds, which
 * send no Accept-Encoding. */
Test(copy_pack, coding_is_negotiated)
{
    static const struct {
        const char *value;
        int expected;
    } cases[] = {
        {NULL, 0},
        {"", 0},
        {"deflate", 1},
        {"Deflate", 1},
        {"gzip, deflate", 1},
        {"gzip,deflate;q=0.5", 1},
        {"deflate;q=0", 0},
        {"deflate; q=0.0, gzip", 0},
        {"deflated", 0},
        {"x-deflate", 0},
        {"gzip", 0},
        {",", 0},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        cr_expect_eq(pps_copy_names_coding(cases[i].value), cases[i].expected,
                     "%s", cases[i].value != NULL ? cases[i].value : "NULL");
    }
}

/* Guards against sending an outdated copy after the mirror has changed, and
 * against a copy of a mirror that has no content. */
Test(copy_pack, cached_copy_follows_the_mirror)
{
    mirror_fixture_t from;
    pps_copy_cache_t cache = PPS_COPY_CACHE_INIT;
    const pps_buf_t *packed;
    size_t first_size;

    mirror_fixture_start(&from);
    cr_expect_null(pps_copy_cache_get(&cache, from.mirror));
    mirror_fixture_apply(from.mirror, 0, "a", "1");
    packed = pps_copy_cache_get(&cache, from.mirror);
    cr_assert_not_null(packed);
    first_size = packed->size;
    cr_expect_eq(pps_copy_cache_get(&cache, from.mirror)->size, first_size);
    mirror_fixture_apply(from.mirror, 1, "b", "a longer value");
    cr_expect_gt(pps_copy_cache_get(&cache, from.mirror)->size, first_size);
    pps_copy_cache_put(&cache, from.mirror, "kept", 4);
    cr_expect_eq(pps_copy_cache_get(&cache, from.mirror)->size, 4);
    mirror_fixture_apply(from.mirror, 2, "b", NULL);
    cr_expect_neq(pps_copy_cache_get(&cache, from.mirror)->size, 4);
    pps_buf_clear(&cache.packed);
    mirror_fixture_end(&from);
}
