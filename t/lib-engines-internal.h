/**
 * @file lib-engines-internal.h
 * Declares what lib-engines.c (arrivals, placement, tallies) and
 * lib-engines-work.c (the passes of engines) share. Other files must not
 * include it.
 */
#ifndef LIB_ENGINES_INTERNAL_H
#define LIB_ENGINES_INTERNAL_H

#include "lib-engines.h"

/** Start of the simulated time; not 0, since a time of 0 means never. */
#define ENGINES_START_MS 100000

typedef struct request request_t;

/** The prefill of a request, or of a part of its prompt, at one engine. */
typedef struct
{
  request_t *request;
  double remaining_ms;
  double tokens;  /* prompt tokens that still need prefill */
  bool is_part;   /* the prompt is split over several engines */
  bool is_helper; /* another engine decodes; this prefill takes no slot */
  bool has_slot;
} prefill_t;

struct request
{
  const engines_kind_t *kind;
  uint32_t instance; /* view that decides on the request */
  uint32_t zone;     /* with zones: view of the placer of its zone */
  uint32_t kind_index;
  uint32_t tenth; /* of its kind, by the size of the prompt */
  uint32_t prompt_tokens;
  uint32_t answer_tokens; /* answer length that the caller estimates */
  uint32_t events_left;
  uint64_t first_attempt_ms;
  uint64_t begun_ms;
  uint64_t retry_at_ms; /* time of the retry; 0 for none */
  uint64_t place_at_ms; /* when its placer decides; 0: not asked */
  bool has_retried;
  bool is_sent;
  bool is_late;
  uint32_t parts_left;
  uint64_t first_ms;
  uint64_t last_ms;
  uint64_t jobs[1 + CHOICE_MAX_HELPERS];
  uint32_t engines[1 + CHOICE_MAX_HELPERS];
  uint32_t kv_tokens[1 + CHOICE_MAX_HELPERS];
  uint32_t job_count;
};

typedef struct
{
  uint64_t key;
  GPtrArray *decoding; /* request_t that are decoding */
  GPtrArray *prefills; /* prefill_t: oldest first */
  double pass_end_ms;
  GPtrArray *done_prefills; /* prefills that end with this pass */
} engine_t;

/** A change of a job that one instance shares with the other instances. */
typedef struct
{
  uint64_t due_ms;
  uint32_t from;
  enum
  {
    NOTICE_BEGIN,
    NOTICE_PROGRESS,
    NOTICE_END
  } what;
  upstream_job_t job;
  upstream_job_end_t how;
} notice_t;

typedef struct
{
  const engines_load_t *load;
  GRand *rand; /* draws the arrivals: the same ones for all policies */
  GRand *placement_rand; /* draws placements and retries */
  directory_t *directory;
  upstream_set_t *sets[ENGINES_MAX_VIEWS]; /* shared views come first */
  uint32_t set_count;
  uint32_t shared_count;                    /* views that learn of all jobs */
  double placer_free_ms[ENGINES_MAX_VIEWS]; /* end of its last decision */
  GQueue notices;                           /* notice_t, oldest first */
  engine_t *engines;
  GPtrArray *requests; /* all requests that arrived */
  GPtrArray *waiting;
  uint64_t now_ms;
  uint64_t last_job;
  uint32_t shortest_gap_ms;
  engines_result_t result;
} world_t;

/** Creates a request that arrives now. */
request_t *engines_request_new (world_t *world, uint32_t kind_index);

/** Returns the rate per second at which requests of a kind arrive now. */
double engines_rate_s (const world_t *world, uint32_t kind_index);

/** Returns the slots that requests hold or wait for. */
uint32_t engines_taken_slots (const engine_t *engine);

/** Ends the passes that are due and starts the next ones. */
void engines_run_passes (world_t *world);

/** Records one event of the answer. */
void engines_emit_event (world_t *world, request_t *request);

/**
 * Ends the jobs of a request after its last event, and tallies it as served.
 */
void engines_finish_request (world_t *world, request_t *request);

#endif
