/** @file mirror_ends.c @brief Offsets by which hosts compare their copies. */
#include "mirror_state.h"

int64_t
pps_mirror_end(const pps_mirror_t *mirror)
{
    return mirror->end;
}

int64_t
pps_mirror_epoch(const pps_mirror_t *mirror)
{
    return mirror->epoch;
}

int64_t
pps_mirror_relevant_end(const pps_mirror_t *mirror)
{
    return mirror->relevant_end;
}

int64_t
pps_mirror_required_end(const pps_mirror_t *mirror)
{
    return mirror->unread.end > mirror->relevant_end ? mirror->unread.end
                                                     : mirror->relevant_end;
}

void
pps_mirror_advance(pps_mirror_t *mirror, int64_t end)
{
    if (end > mirror->end) {
        mirror->end = end;
    }
}

/* Returns whether an offset lies in the part that was listed and not read. */
static int
is_unread(const pps_mirror_t *mirror, int64_t offset)
{
    return mirror->unread.end > mirror->relevant_end &&
           offset > mirror->unread.from && offset <= mirror->unread.end;
}

void
pps_mirror_raise_relevant_end(pps_mirror_t *mirror, int64_t relevant_end)
{
    if (is_unread(mirror, relevant_end)) {
        relevant_end = mirror->unread.end;
    }
    if (relevant_end > mirror->relevant_end) {
        mirror->relevant_end = relevant_end;
    }
}

void
pps_mirror_sync_end(pps_mirror_t *mirror, int64_t relevant_end, int64_t end)
{
    if (mirror->end < 0 || relevant_end < 0) {
        return;
    }
    if (relevant_end == mirror->relevant_end) {
        pps_mirror_advance(mirror, end);
    }
    else if (is_unread(mirror, relevant_end)) {
        pps_mirror_raise_relevant_end(mirror, relevant_end);
    }
}
