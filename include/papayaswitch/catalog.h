/**
 * @file catalog.h
 * @brief Catalog of the models, versions, workspaces and upstreams in force.
 *
 * A catalog is immutable; applying a note creates a new one with the next
 * revision. Catalogs are reference-counted, so that a traffic thread can use
 * one for the duration of a request.
 */
#ifndef PAPAYASWITCH_CATALOG_H
#define PAPAYASWITCH_CATALOG_H

#include "papayaswitch/findings.h"
#include "papayaswitch/note.h"

#include <stddef.h>
#include <stdint.h>

/** Size in bytes of a bearer key's hash (crypto_generichash). */
#define PPS_KEY_HASH_BYTES 32

/** Maximum length in bytes of a model, version, workspace or upstream name. */
#define PPS_NAME_MAX 40

/** Lifecycle state of a version. */
typedef enum {
    PPS_VERSION_ACTIVE,    /**< accepts any request */
    PPS_VERSION_RETIRING,  /**< accepts only requests of existing sessions */
    PPS_VERSION_WITHDRAWN, /**< accepts no new request */
} pps_version_state_t;

/** A version of a model: section `[version MODEL/NAME]`. */
typedef struct {
    const char *name;     /**< `MODEL/NAME` */
    const char *model;    /**< model name in callers' requests */
    const char *upstream; /**< upstream that serves it */
    pps_version_state_t state;
    double cost;       /**< price per 1,000 generated tokens */
    double quality;    /**< expected rating in [0, 1] without evidence */
    double exposure;   /**< maximum share of its model's requests, (0, 1] */
    uint64_t revision; /**< revision of the last change */
    const char *note;  /**< id of the note of the last change */
} pps_version_t;

/** A workspace of callers: section `[workspace NAME]`. */
typedef struct {
    const char *name;
    unsigned char key_hash[PPS_KEY_HASH_BYTES];
    double quality_target;    /**< target for the expected rating, [0, 1] */
    double weight;            /**< relative share under contention, > 0 */
    int64_t session_idle_s;   /**< idle seconds after which a session ends */
    const char *const *allow; /**< names of allowed versions, sorted */
    size_t allow_count;
    const char *const *services; /**< names of allowed service upstreams */
    size_t service_count;
    uint64_t revision;
    const char *note;
} pps_workspace_t;

/** Kind of the workers of an upstream. */
typedef enum {
    PPS_UPSTREAM_ENGINE,  /**< model engines */
    PPS_UPSTREAM_SERVICE, /**< services without a model */
} pps_upstream_kind_t;

/** A pool of workers: section `[upstream NAME]`. */
typedef struct {
    const char *name;
    pps_upstream_kind_t kind;
    int checks_fencing; /**< workers reject calls with an old fencing number */
    /** Path prefixes of idempotent calls, besides GET and HEAD calls. */
    const char *const *idempotent;
    size_t idempotent_count;
    uint64_t revision;
    const char *note;
} pps_upstream_t;

/** A catalog; a model is the set of versions that share its model name. */
typedef struct pps_catalog pps_catalog_t;

/** Creates an empty catalog of revision 0. @return 0 or PPS_ENOMEM */
int
pps_catalog_new(pps_catalog_t **out);

/** Adds a reference, which pps_catalog_free() drops. Safe from any thread. */
pps_catalog_t *
pps_catalog_ref(const pps_catalog_t *catalog);

/** Drops a reference and frees the catalog after the last. NULL is allowed. */
void
pps_catalog_free(pps_catalog_t *catalog);

/** Returns the number of accepted notes that led to this catalog. */
uint64_t
pps_catalog_revision(const pps_catalog_t *catalog);

/** Looks up by name. @return the object, owned by the catalog, or NULL */
const pps_version_t *
pps_catalog_version(const pps_catalog_t *catalog, const char *name);
const pps_workspace_t *
pps_catalog_workspace(const pps_catalog_t *catalog, const char *name);
const pps_upstream_t *
pps_catalog_upstream(const pps_catalog_t *catalog, const char *name);

/** Returns the workspace whose bearer key has this hash, or NULL. */
const pps_workspace_t *
pps_catalog_workspace_by_key(const pps_catalog_t *catalog,
                             const unsigned char hash[PPS_KEY_HASH_BYTES]);

/** Returns whether the workspace's `allow` names the version. */
int
pps_workspace_allows(const pps_workspace_t *workspace, const char *version);

/**
 * Visits all objects of a kind in order of name until a callback returns
 * non-zero. @return the last callback's return, or 0 without objects
 */
int
pps_catalog_version_foreach(const pps_catalog_t *catalog,
                            int (*visit)(const pps_version_t *, void *),
                            void *user);
int
pps_catalog_workspace_foreach(const pps_catalog_t *catalog,
                              int (*visit)(const pps_workspace_t *, void *),
                              void *user);
int
pps_catalog_upstream_foreach(const pps_catalog_t *catalog,
                             int (*visit)(const pps_upstream_t *, void *),
                             void *user);

/**
 * Creates the catalog that results from applying a note to `base`.
 *
 * Adds a finding for each fault of the note against `base`, such as a dangling
 * reference, a workspace without an allowed version that is not withdrawn, or
 * a note that changes nothing. An object that another note changed after this
 * note's base revision is a conflict; its finding names the other note.
 *
 * @param out the new catalog; NULL on error
 * @param file name used in findings
 * @return 0; PPS_EINVALID; PPS_ECONFLICT if an object of the note was changed
 *         after its base revision; PPS_ENOMEM
 */
int
pps_catalog_apply(pps_catalog_t **out, const pps_catalog_t *base,
                  const pps_note_t *note, const char *file,
                  pps_findings_t *findings);

/**
 * Reports the differences between two catalogs, a line per changed key:
 * `version drafting/small-2: state active -> withdrawn`.
 * @param on_line called for each difference
 * @return 0 or PPS_ENOMEM
 */
int
pps_catalog_diff(const pps_catalog_t *before, const pps_catalog_t *after,
                 void (*on_line)(const char *text, void *user), void *user);

#endif
