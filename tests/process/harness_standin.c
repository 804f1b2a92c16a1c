/** @file harness_standin.c @brief Starts stand-ins and sets faults. */
#include "harness_standin.h"

#include "harness_http.h"

#include <criterion/criterion.h>

int
harness_start_standin(harness_t *harness, const char *program,
                      const char *option, const char *value)
{
    const char *const args[] = {option, value, NULL};
    harness_process_t *process;
    int port = harness_start_server(harness, &process, program, args);

    cr_assert_gt(port, 0, "%s did not start to serve", program);
    return port;
}

void
harness_set_faults(int port, const char *faults)
{
    json_t *body = json_loads(faults, 0, NULL);

    cr_assert_eq(harness_status("PUT", port, "/faults", body), 200, "%s",
                 faults);
}
