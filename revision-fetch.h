/**
 * @file revision-fetch.h
 * Fetches, in parts, a revision that is in force at another instance. The
 * module does no I/O: it sends requests through a callback and takes the time
 * as an argument.
 *
 * A fetch starts after a random delay and then asks any instance that holds the
 * revision by that time. A new revision therefore spreads from instance to
 * instance, instead of all instances requesting it from the first one.
 */
#ifndef REVISION_FETCH_H
#define REVISION_FETCH_H

#include <stdint.h>

#include "config.h"
#include "gossip.pb-c.h"

/** Size of the largest part of a revision in one answer. */
#define REVISION_PART_BYTES (48 * 1024)

typedef struct revision_fetch revision_fetch_t;

/** Sends @a request, for the part at its offset, to an instance that holds the
 * revision. */
typedef void (*revision_fetch_ask_cb_t) (const Lwm__RevisionPart *request,
                                         void *context);

/** Receives the complete revision, whose number and digest are the requested
 * ones. @a config is valid only in the callback. */
typedef void (*revision_fetch_done_cb_t) (const Lwm__Config *config,
                                          void *context);

typedef struct
{
  uint64_t seed;      /**< seed of the random delays */
  uint32_t jitter_ms; /**< upper bound of the random delay before the first
                           request */
  revision_fetch_ask_cb_t ask;
  revision_fetch_done_cb_t done;
  void *context; /**< passed to the callbacks */
} revision_fetch_options_t;

/** Creates an idle fetch, freed with @a parent (talloc). */
revision_fetch_t *revision_fetch_new (void *parent,
                                      const revision_fetch_options_t *options);

/** Starts fetching a revision and abandons the fetch of a lower one. Has no
 * effect while the same or a higher number is being fetched. */
void revision_fetch_start (revision_fetch_t *fetch,
                           uint64_t number,
                           const char *digest,
                           uint64_t now_ms);

/** Returns the number of the revision being fetched, 0 for none. */
uint64_t revision_fetch_number (const revision_fetch_t *fetch);

/** Takes a received part; ignores one that is not the next part of the revision
 * being fetched. */
void revision_fetch_receive (revision_fetch_t *fetch,
                             const Lwm__RevisionPart *part,
                             uint64_t now_ms);

/** Sends a request that is due, the first or a retry. Abandons the fetch after
 * ten successive requests without an answer. Must be called regularly. */
void revision_fetch_tick (revision_fetch_t *fetch, uint64_t now_ms);

#endif
