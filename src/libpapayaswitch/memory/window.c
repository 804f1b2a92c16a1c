/** @file window.c @brief Divides a buffer among answers. */
#include "window.h"

size_t
pps_window_bytes(size_t max, size_t answers)
{
    size_t part = answers > 0 ? max / answers : max;

    if (part < PPS_WINDOW_MIN) {
        return PPS_WINDOW_MIN;
    }
    return part < PPS_WINDOW_MAX ? part : PPS_WINDOW_MAX;
}
