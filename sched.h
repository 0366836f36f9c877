/**
 * @file sched.h
 * Scheduler of one instance: admission, queueing and placement of requests.
 *
 * The caller reports events to the scheduler (upstreams announced, requests
 * submitted, tokens received) and asks for the next action with sched_next().
 * The scheduler does no I/O and has no clock; the time is an argument.
 */
#ifndef SCHED_H
#define SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"
#include "weights.h"

typedef struct sched sched_t;

/** Placement policy; see placement.h. */
typedef enum
{
  SCHED_RANDOM,
  SCHED_ROUND_ROBIN,
  SCHED_LEAST_OUTSTANDING,
  SCHED_TWO_CHOICES,
  SCHED_PREDICTED, /**< by predicted time to the first token */
} sched_policy_t;

/** Why an upstream was chosen, for `explain`. */
typedef enum
{
  SCHED_REASON_POLICY,        /**< no reason beyond the policy itself */
  SCHED_REASON_CACHED_PREFIX, /**< in this zone, part of the prompt cached */
  SCHED_REASON_OWN_ZONE,      /**< the best in this instance's zone */
  SCHED_REASON_OTHER_ZONE,    /**< this zone is too late, another is faster */
  SCHED_REASON_ONLY_ONE,      /**< the only candidate of a baseline policy */
} sched_reason_t;

/** Settings of a scheduler. */
typedef struct
{
  const char *zone; /**< availability zone of this instance */
  sched_policy_t policy;
  uint64_t seed; /**< seed of the random choices */
} sched_options_t;

/** State of an upstream: its announcement and its last load report. */
typedef struct
{
  const char *name;
  uint64_t incarnation;
  const char *zone;
  const char *service;
  const weights_t *loaded; /**< weights that an engine has loaded */
  size_t loaded_count;
  const char *role; /**< phases that an engine runs, as announced */
  bool is_engine;
  bool leaving;       /**< finishes its requests, takes no new ones */
  bool suspect;       /**< recent failures; used only when no other upstream is
                         available */
  uint64_t kv_tokens; /**< KV memory, tokens; 0 for unknown */
  uint64_t kv_used_tokens;
  uint32_t max_batch;        /**< most streams at once, 0 for unknown */
  uint32_t running;          /**< streams running at the load report */
  uint64_t waiting_tokens;   /**< prompt tokens not read yet at the report */
  uint32_t prefill_tokens_s; /**< as announced; later corrected by answers */
  uint32_t step_us;          /**< announced time of a step without prefill */
  uint64_t reported_at_ms;   /**< when the load report was taken */
} sched_upstream_t;

/** A request as the scheduler sees it; strings are copied. */
typedef struct
{
  uint64_t id;
  const char *service;
  const char *customer;
  const char *model;   /**< NULL: any of the service */
  const char *adapter; /**< NULL: none */
  const char *version; /**< NULL: the service's preferred version */
  uint64_t prompt_tokens;
  uint64_t max_tokens;
  uint64_t prefix_hash; /**< hash of the prompt's first block, 0 for none */
  uint32_t priority;    /**< 0 lowest to 9 highest */
  uint64_t deadline_ms; /**< deadline, on the clock of now_ms */
  uint64_t first_token_by_ms; /**< target time of its first token, 0 for none */
} sched_request_t;

/** Result of submitting a request. */
typedef struct
{
  bool admitted;
  error_kind_t refusal;    /**< reason, when not admitted */
  uint32_t retry_after_ms; /**< hint to the caller when refused, 0 for none */
} sched_verdict_t;

/** Kind of a scheduling step. */
typedef enum
{
  SCHED_SEND,   /**< send the request to the upstream */
  SCHED_REFUSE, /**< refuse the request: it can no longer be served */
} sched_action_t;

/** What the caller has to do next with one request. */
typedef struct
{
  sched_action_t action;
  uint64_t request_id;
  const char *upstream;     /**< valid until the scheduler is next called */
  const weights_t *weights; /**< weights to use; NULL for a plain service */
  sched_reason_t why;
  error_kind_t refusal; /**< reason, with SCHED_REFUSE */
  uint32_t predicted_first_token_ms;
  uint32_t priority; /**< priority at the upstream, 0 lowest to 9 highest */
} sched_step_t;

/** How a request ended. */
typedef enum
{
  SCHED_END_DONE,
  SCHED_END_FAILED,    /**< the upstream failed */
  SCHED_END_CANCELLED, /**< ended by the caller or the deadline */
} sched_end_t;

/** Creates a scheduler, freed with @a parent (talloc); @a options is copied. */
sched_t *sched_new (void *parent, const sched_options_t *options);

/** Sets @a policy by its name in settings; false when there is no such name. */
bool sched_policy_from_name (const char *name, sched_policy_t *policy);

/** Adds an upstream or updates its state; strings are copied. */
void sched_put_upstream (sched_t *sched,
                         const sched_upstream_t *upstream,
                         uint64_t now_ms);

/** Removes an upstream; the caller ends the requests that run on it. */
void sched_drop_upstream (sched_t *sched, const char *name);

/** Sets the weight of a customer and this instance's share of its limits; a
 * limit of 0 means none. */
void sched_put_customer (sched_t *sched,
                         const char *name,
                         uint32_t weight,
                         uint64_t tokens_per_s,
                         uint32_t requests_per_s);

/**
 * Sets the version that a service's answers should come from. Upstreams with
 * another version are still used while the upstreams with this version have no
 * room, so that a rolling update keeps the capacity.
 * @param version preferred version, NULL for none
 */
void
sched_set_version (sched_t *sched, const char *service, const char *version);

/** Sets the maximum length of the waiting queue. */
void sched_set_max_queue (sched_t *sched, uint32_t requests);

/**
 * Admits a new request to the waiting queue or refuses it. Reasons to refuse
 * are a deadline that cannot be met, no upstream that serves the request, no
 * engine with enough memory, a full queue and the limits of the customer.
 */
sched_verdict_t
sched_submit (sched_t *sched, const sched_request_t *request, uint64_t now_ms);

/** Takes one request of @a tokens from a customer's limits, for work that is
 * not submitted to the scheduler. */
sched_verdict_t sched_charge (sched_t *sched,
                              const char *customer,
                              uint64_t tokens,
                              uint64_t now_ms);

/**
 * Puts a request that was sent back into the queue, for a retry. It is refused
 * when it is unknown, its deadline has passed or no upstream serves it.
 * @param avoid upstream to use only if no other is available, or NULL
 */
sched_verdict_t sched_resubmit (sched_t *sched,
                                uint64_t request_id,
                                const char *avoid,
                                uint64_t now_ms);

/**
 * Determines the next step. The caller repeats the call until it returns false.
 * @param step set when the result is true
 * @param wake_ms set to the time of the next call, 0 when none is needed
 * @return whether there is a step to do
 */
bool sched_next (sched_t *sched,
                 uint64_t now_ms,
                 sched_step_t *step,
                 uint64_t *wake_ms);

/** Records that the first byte of the answer to a request arrived. */
void
sched_record_first_token (sched_t *sched, uint64_t request_id, uint64_t now_ms);

/** Records that @a tokens more tokens of an answer arrived. */
void sched_record_tokens (sched_t *sched,
                          uint64_t request_id,
                          uint32_t tokens,
                          uint64_t now_ms);

/** Ends a request, whether it waits or runs, and removes it. */
void sched_end (sched_t *sched,
                uint64_t request_id,
                sched_end_t how,
                uint64_t now_ms);

/** Records that an upstream has a prefix cached or, without @a present, no
 * longer has it. The hint may be wrong. */
void sched_prefix_hint (sched_t *sched,
                        const char *upstream,
                        uint64_t prefix_hash,
                        uint64_t tokens,
                        bool present);

/** Returns the number of waiting requests. */
uint32_t sched_waiting (const sched_t *sched);

#endif
