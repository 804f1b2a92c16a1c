/** @file call_permission.c @brief Checks a call against the newest catalog. */
#include "call.h"

#include <string.h>

/*
 * A newer revision may take effect while a request waits for the log, or while
 * the process is stopped. Both checks therefore run immediately before the
 * send. They do not cover the time until the upstream has the request; an
 * upstream that checks revisions refuses an older one.
 */
static pps_catalog_t *
newer_catalog(const pps_call_t *call)
{
    pps_catalog_t *catalog = pps_router_catalog(call->router);

    if (pps_catalog_revision(catalog) == pps_catalog_revision(call->catalog)) {
        pps_catalog_free(catalog);
        return NULL;
    }
    return catalog;
}

static int
may_use_version(const pps_catalog_t *catalog, const char *workspace_name,
                const char *name, int in_session)
{
    const pps_workspace_t *workspace =
        pps_catalog_workspace(catalog, workspace_name);
    const pps_version_t *version = pps_catalog_version(catalog, name);

    if (workspace == NULL || version == NULL ||
        !pps_workspace_allows(workspace, name)) {
        return 0;
    }
    return version->state == PPS_VERSION_ACTIVE ||
           (version->state == PPS_VERSION_RETIRING && in_session);
}

static int
may_use_service(const pps_catalog_t *catalog, const char *workspace_name,
                const char *name)
{
    const pps_workspace_t *workspace =
        pps_catalog_workspace(catalog, workspace_name);

    for (size_t i = 0; workspace != NULL && i < workspace->service_count;
         i++) {
        if (strcmp(workspace->services[i], name) == 0) {
            return 1;
        }
    }
    return 0;
}

int
pps_call_may_use_version(const pps_call_t *call, const char *version,
                         int in_session)
{
    pps_catalog_t *newer = newer_catalog(call);
    int may = newer == NULL || may_use_version(newer, call->workspace->name,
                                               version, in_session);

    pps_catalog_free(newer);
    return may && pps_router_may_start(call->router);
}

int
pps_call_may_use_service(const pps_call_t *call, const char *upstream)
{
    pps_catalog_t *newer = newer_catalog(call);
    int may = newer == NULL ||
              may_use_service(newer, call->workspace->name, upstream);

    pps_catalog_free(newer);
    return may && pps_router_may_start(call->router);
}
