/** @file fuzz_copy.c @brief Fuzzes copies of topics from other hosts: first as
 * compressed bytes, then as the content of a compressed copy, and as a bundle
 * of copies. */
#include "mirror/copy_bundle.h"
#include "mirror/copy_pack.h"
#include "mirror/mirror.h"

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#define UNPACKED_MAX (1 << 20)
#define PIECE_MAX 32768

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static int
on_changed(void *user, const char *key, const char *value, size_t size)
{
    return 1;
}

static void
import(const char *data, size_t size)
{
    pps_mirror_t *mirror;

    if (pps_mirror_new(&mirror, on_changed, NULL) == 0) {
        pps_mirror_apply_record(mirror, 3, "a", 1, "1", 1);
        pps_mirror_import(mirror, data, size);
        pps_mirror_free(mirror);
    }
}

/* Unpacking must append no more than its limit and one piece. */
static void
unpack(const char *data, size_t size)
{
    pps_buf_t plain = PPS_BUF_INIT;

    if (pps_copy_unpack(&plain, data, size, UNPACKED_MAX) == 0) {
        import(pps_buf_text(&plain), plain.size);
    }
    if (plain.size > UNPACKED_MAX + PIECE_MAX) {
        abort();
    }
    pps_buf_clear(&plain);
}

static void
on_bundled(void *user, const char *topic, size_t topic_size,
           const char *packed, size_t size)
{
    unpack(packed, size);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    pps_buf_t packed = PPS_BUF_INIT;

    unpack((const char *)data, size);
    pps_copy_bundle_read((const char *)data, size, on_bundled, NULL);
    if (pps_copy_pack(&packed, (const char *)data, size) != 0) {
        abort();
    }
    unpack(packed.data, packed.size);
    pps_buf_clear(&packed);
    return 0;
}
