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

static void
on_changed(pps_mirror_relevance_t *out, void *user, const char *key,
           const char *value, size_t size)
{
}

static const pps_mirror_ops_t mirror_ops = {.on_changed = on_changed};

static void
import(const char *data, size_t size)
{
    pps_mirror_t *mirror;

    if (pps_mirror_new(&mirror, &mirror_ops, NULL) == 0) {
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

/* Imports valid changes after some of their bytes have been replaced: few
 * random inputs are as far as their lists. */
static void
import_damaged(const uint8_t *data, size_t size)
{
    pps_buf_t changes = PPS_BUF_INIT;
    pps_mirror_t *mirror;

    if (pps_mirror_new(&mirror, &mirror_ops, NULL) != 0) {
        return;
    }
    pps_mirror_apply_record(mirror, 3, "a", 1, "1", 1);
    pps_mirror_apply_record(mirror, 4, "b", 1, "22", 2);
    pps_mirror_apply_record(mirror, 5, "a", 1, NULL, 0);
    pps_mirror_apply_record(mirror, 6, "c", 1, "333", 3);
    if (pps_mirror_encode_changes(mirror, 0, 4, &changes) != 0) {
        abort();
    }
    for (size_t i = 0; i + 1 < size && i < 8; i += 2) {
        changes.data[data[i] % changes.size] = (char)data[i + 1];
    }
    import(changes.data, changes.size);
    pps_buf_clear(&changes);
    pps_mirror_free(mirror);
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
    import_damaged(data, size);
    pps_copy_bundle_read((const char *)data, size, on_bundled, NULL);
    if (pps_copy_pack(&packed, (const char *)data, size) != 0) {
        abort();
    }
    unpack(packed.data, packed.size);
    pps_buf_clear(&packed);
    return 0;
}
