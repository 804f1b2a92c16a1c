/** @file relay_window.c @brief Divides a buffer among calls. */
#include "relay_window.h"

size_t
pps_relay_window_bytes(size_t queued_max, size_t calls)
{
    size_t part = calls > 0 ? queued_max / calls : queued_max;

    if (part < PPS_RELAY_WINDOW_MIN) {
        return PPS_RELAY_WINDOW_MIN;
    }
    return part < PPS_RELAY_WINDOW_MAX ? part : PPS_RELAY_WINDOW_MAX;
}
