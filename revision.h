/**
 * @file revision.h
 * Holds the configuration revision that is in force at this instance.
 *
 * Revisions are ordered by the operator's number, which never decreases. The
 * same number with the same digest is the same revision. The same number with
 * another digest is a conflict, and the revision in force stays. With a data
 * folder, a revision is written to disk, synced and renamed into place before
 * it comes into force, so a restart never returns to an older one.
 */
#ifndef REVISION_H
#define REVISION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config.h"
#include "metric.h"

typedef struct revision revision_t;

typedef enum
{
  REVISION_APPLIED,     /**< the revision came into force */
  REVISION_SAME,        /**< the revision is already in force */
  REVISION_STALE,       /**< a higher number is in force */
  REVISION_CONFLICT,    /**< its number is in force with other
                             content */
  REVISION_INVALID,     /**< the revision has no number */
  REVISION_SAVE_FAILED, /**< the revision could not be written to the data
                           folder */
} revision_result_t;

/** Called after a revision came into force. @a config is valid until the next
 * one comes into force. */
typedef void (*revision_applied_cb_t) (const Lwm__Config *config,
                                       const char *digest,
                                       void *context);

typedef struct
{
  const char *data_folder; /**< NULL or "" to save no revision */
  metrics_t *metrics;
  revision_applied_cb_t on_revision_applied;
  void *context;
} revision_options_t;

/**
 * Creates the holder and loads the saved revision, without calling
 * on_revision_applied.
 * @return freed with @a parent (talloc); NULL, after one line on stderr, when
 *         the saved file is damaged or cannot be read
 */
revision_t *revision_new (void *parent, const revision_options_t *options);

/**
 * Offers a revision, which comes into force when its number is higher than the
 * one in force.
 * @param config copied
 * @param source origin of the revision, for the log
 */
revision_result_t revision_offer (revision_t *revision,
                                  const Lwm__Config *config,
                                  const char *source);

/** Counts and logs that another instance has the number in force with other
 * content. @a digest and @a source describe the revision there. */
void revision_report_conflict (revision_t *revision,
                               const char *digest,
                               const char *source);

/** Returns the revision in force, or NULL. */
const Lwm__Config *revision_config (const revision_t *revision);

/** Returns the number of the revision in force, 0 for none. */
uint64_t revision_number (const revision_t *revision);

/** Returns the digest of the revision in force, "" for none. */
const char *revision_digest (const revision_t *revision);

/** Returns the revision in force in packed form, owned by @a revision; NULL for
 * none. */
const uint8_t *revision_packed (const revision_t *revision, size_t *size_bytes);

#endif
