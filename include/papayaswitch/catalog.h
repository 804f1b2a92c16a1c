/**
 * @file catalog.h
 * @brief What is in force: models, versions, workspaces and upstreams.
 *
 * A catalog never changes once it is made; applying a note makes a new one
 * with the next revision. Catalogs are reference-counted, so that a traffic
 * thread can hold one for as long as a request lasts.
 */
#ifndef PAPAYASWITCH_CATALOG_H
#define PAPAYASWITCH_CATALOG_H

#include "papayaswitch/findings.h"
#include "papayaswitch/note.h"

#include <stddef.h>
#include <stdint.h>

/** Bytes in the hash of a bearer key (crypto_generichash). */
#define PPS_KEY_HASH_BYTES 32

/** Longest name of a model, version, workspace or upstream, in bytes. */
#define PPS_NAME_MAX 40

/** Where a version stands in its life. */
typedef enum {
    PPS_VERSION_ACTIVE,    /**< takes any request */
    PPS_VERSION_RETIRING,  /**< takes requests of sessions under way only */
    PPS_VERSION_WITHDRAWN, /**< takes no new request */
} pps_version_state_t;

/** A version of a model: section `[version MODEL/NAME]`. */
typedef struct {
    const char *name;     /**< `MODEL/NAME` */
    const char *model;    /**< the model that callers ask for */
    const char *upstream; /**< the pool of workers that serves it */
    pps_version_state_t state;
    double cost;       /**< price of 1,000 generated tokens */
    double quality;    /**< expected rating in [0, 1] before evidence */
    double exposure;   /**< largest share of its model's requests, (0, 1] */
    uint64_t revision; /**< revision that last changed it */
    const char *note;  /**< id of the note that last changed it */
} pps_version_t;

/** A caller's workspace: section `[workspace NAME]`. */
typedef struct {
    const char *name;
    unsigned char key_hash[PPS_KEY_HASH_BYTES];
    double quality_target;    /**< expected rating to reach, [0, 1] */
    double weight;            /**< share under contention, > 0 */
    int64_t session_idle_s;   /**< a session ends after so long unused */
    const char *const *allow; /**< names of versions it may use */
    size_t allow_count;
    const char *const *services; /**< names of service upstreams it may use */
    size_t service_count;
    uint64_t revision;
    const char *note;
} pps_workspace_t;

/** What stands behind an upstream. */
typedef enum {
    PPS_UPSTREAM_ENGINE,  /**< a model engine */
    PPS_UPSTREAM_SERVICE, /**< a plain service */
} pps_upstream_kind_t;

/** A pool of workers: section `[upstream NAME]`. */
typedef struct {
    const char *name;
    pps_upstream_kind_t kind;
    int checks_fencing; /**< refuses orders with an old fencing number */
    /** Path prefixes whose calls may be repeated, GET and HEAD aside. */
    const char *const *idempotent;
    size_t idempotent_count;
    uint64_t revision;
    const char *note;
} pps_upstream_t;

/** A model is the set of versions that share its name. */
typedef struct pps_catalog pps_catalog_t;

/** Makes the empty catalog, revision 0. */
int
pps_catalog_new(pps_catalog_t **out);

/** Takes one more reference. Safe from any thread. */
pps_catalog_t *
pps_catalog_ref(const pps_catalog_t *catalog);

/** Gives a reference back; the last one frees. NULL is allowed. */
void
pps_catalog_free(pps_catalog_t *catalog);

/** Number of accepted notes that led to this catalog. */
uint64_t
pps_catalog_revision(const pps_catalog_t *catalog);

/** Looks up by name. @return the object, owned by the catalog, or NULL */
const pps_version_t *
pps_catalog_version(const pps_catalog_t *catalog, const char *name);
const pps_workspace_t *
pps_catalog_workspace(const pps_catalog_t *catalog, const char *name);
const pps_upstream_t *
pps_catalog_upstream(const pps_catalog_t *catalog, const char *name);

/** The workspace whose bearer key has this hash, or NULL. */
const pps_workspace_t *
pps_catalog_workspace_by_key(const pps_catalog_t *catalog,
                             const unsigned char hash[PPS_KEY_HASH_BYTES]);

/** Whether the workspace's `allow` names the version. */
int
pps_workspace_allows(const pps_workspace_t *workspace, const char *version);

/** Visits all objects in order of name; a non-zero return stops it. */
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
 * Makes the catalog that follows from a note.
 *
 * All that is wrong with the note against this catalog becomes findings:
 * dangling references, a workspace left without any allowed version, a note
 * that touches nothing, and for each object changed after the note's base a
 * finding that names the note which changed it.
 *
 * @return 0; PPS_EINVALID; PPS_ECONFLICT when something that the note touches
 *         has changed after its base; PPS_ENOMEM
 */
int
pps_catalog_apply(pps_catalog_t **out, const pps_catalog_t *base,
                  const pps_note_t *note, const char *file,
                  pps_findings_t *findings);

/**
 * Writes what differs between two catalogs, a line per changed key:
 * `version drafting/small-2: state active -> withdrawn`.
 * @param line called once a difference
 */
int
pps_catalog_diff(const pps_catalog_t *before, const pps_catalog_t *after,
                 void (*line)(const char *text, void *user), void *user);

#endif
