/** @file fuzz_settings.c @brief Fuzzes settings: accepted files are valid. */
#include "papayaswitch/findings.h"
#include "papayaswitch/settings.h"

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    pps_settings_t settings;
    pps_findings_t *findings;
    int error;

    if (pps_findings_new(&findings) < 0) {
        return 0;
    }
    error =
        pps_settings_parse(&settings, (const char *)data, size, "f", findings);
    if ((error == 0) != (pps_findings_count(findings) == 0) ||
        (error == 0 &&
         (settings.http_port > 65535 || settings.host_id[0] == '\0'))) {
        abort();
    }
    pps_findings_free(findings);
    return 0;
}
