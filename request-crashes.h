/**
 * @file request-crashes.h
 * Evidence of an entry instance against requests that crash the upstreams which
 * run them, and its exchange with other instances. A request is recognized by
 * its signature (request-signature.h). No I/O; time is an argument.
 *
 * An instance tells the others of requests with several crashes, and of single
 * crashes that it has observed itself lately. Crashes observed by different
 * instances thus add up, and a message may arrive more than once.
 */
#ifndef REQUEST_CRASHES_H
#define REQUEST_CRASHES_H

#include <stdbool.h>
#include <stdint.h>

#include "gossip.pb-c.h"
#include "metric.h"
#include "quarantine.h"

typedef struct request_crashes request_crashes_t;

typedef struct
{
  metrics_t *metrics; /**< may be NULL */
  /** Called when other instances should be told; may be NULL. */
  void (*news) (void *context);
  void *context;
} request_crashes_options_t;

/** Creates empty evidence; freed with @a parent (talloc). */
request_crashes_t *
request_crashes_new (void *parent, const request_crashes_options_t *options);

/** Records that an incarnation of an upstream crashed while it ran a request.
 * Does nothing for signature 0. */
void request_crashes_add (request_crashes_t *crashes,
                          uint64_t signature,
                          const char *upstream,
                          uint64_t incarnation,
                          uint64_t now_ms);

/** Records a complete answer to a request, which withdraws the evidence against
 * it. Does nothing for signature 0. */
void request_crashes_add_success (request_crashes_t *crashes,
                                  uint64_t signature,
                                  const char *upstream,
                                  uint64_t incarnation,
                                  uint64_t now_ms);

/** Returns what is known of a request. */
quarantine_level_t request_crashes_level (const request_crashes_t *crashes,
                                          uint64_t signature);

/** Returns the time until a blocked request may be tried again. */
uint32_t request_crashes_remaining_ms (const request_crashes_t *crashes,
                                       uint64_t signature,
                                       uint64_t now_ms);

/** Returns what other instances should know, owned by @a parent (talloc); NULL
 * if there is nothing to tell. */
Lwm__CrashEvidence *
request_crashes_to_message (const request_crashes_t *crashes,
                            uint64_t now_ms,
                            void *parent);

/** Merges what another instance knows. Returns whether this instance knows of
 * crashes on these requests that the message does not contain. */
bool request_crashes_merge (request_crashes_t *crashes,
                            const Lwm__CrashEvidence *evidence,
                            uint64_t now_ms);

/** Forgets what is old. The caller runs it a few times a second. */
void request_crashes_tick (request_crashes_t *crashes, uint64_t now_ms);

#endif
