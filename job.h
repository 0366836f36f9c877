/**
 * @file job.h
 * A request inside the scheduler, from its admission to its end.
 */
#ifndef JOB_H
#define JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "sched.h"

struct fleet_upstream;

/** A prompt with more tokens is long: an engine reads it over many steps. */
#define JOB_LONG_TOKENS 32768

typedef struct
{
  uint64_t id;
  char *service;
  char *customer;
  char *model;   /**< NULL: any */
  char *adapter; /**< NULL: none */
  char *version; /**< NULL: any; set once a token of one version arrived */
  uint64_t prompt_tokens;
  uint64_t max_tokens;
  uint64_t prefix_hash; /**< hash of the prompt's first block, 0 for none */
  uint32_t priority;    /**< 0 lowest to 9 highest */
  uint64_t deadline_ms;
  uint64_t first_token_by_ms; /**< target time, 0 for none */

  uint64_t submitted_at_ms;
  uint64_t number;      /**< position in the order of submission */
  double fair_tag;      /**< virtual start time among customers */
  GSequenceIter *place; /**< position in the waiting queue; NULL: not waiting */
  bool is_urgent;       /**< a long prompt without time to spare */
  bool may_spread;      /**< a long prompt that has waited longer than reading
                           it takes, so any upstream may read it */
  char *avoid;          /**< upstream where its last attempt failed, or NULL */

  struct fleet_upstream *at; /**< upstream it was sent to, or NULL */
  uint64_t sent_at_ms;
  double predicted_ms;    /**< predicted time from sending to the first token */
  uint64_t cached_tokens; /**< prompt tokens expected in the upstream's cache */
  char *sent_version;     /**< version of the weights chosen when it was sent */
  bool reading; /**< true from sending the request to its first token */
  uint64_t received_tokens; /**< tokens of the answer so far */
  uint64_t first_token_at_ms;
  uint64_t last_token_at_ms;
} job_t;

/** Creates a job from a copy of @a request, freed with @a parent (talloc). */
job_t *job_new (void *parent, const sched_request_t *request);

/** Returns whether the prompt has more than JOB_LONG_TOKENS tokens. */
bool job_is_long (const job_t *job);

/** Returns the most KV memory that the request can occupy, in tokens. */
uint64_t job_max_kv_tokens (const job_t *job);

/** Returns the prompt tokens that are not cached and that the engine still has
 * to read before the first token. */
uint64_t job_unread_tokens (const job_t *job);

#endif
