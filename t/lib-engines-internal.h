/**
 * @file lib-engines-internal.h
 * What lib-engines.c (arrivals, placement, tallies) and lib-engines-work.c
 * (what engines do in their passes) share. For those only.
 */
#ifndef LIB_ENGINES_INTERNAL_H
#define LIB_ENGINES_INTERNAL_H

#include "lib-engines.h"

typedef struct request request_t;

/** What one engine has to read of a request. */
typedef struct
{
  request_t *request;
  double unread_ms;
  double tokens;
  bool is_part;
  bool is_helper; /* another engine writes; takes no slot */
  bool has_slot;
} reading_t;

struct request
{
  const engines_kind_t *kind;
  uint32_t instance; /* that took it on */
  uint32_t kind_index;
  bool is_largest;
  uint32_t prompt_tokens;
  uint32_t answer_tokens; /* as its caller expects */
  uint32_t events_left;
  uint64_t asked_ms; /* first attempt */
  uint64_t begun_ms;
  uint64_t return_ms; /* asks again then, or 0 */
  bool has_returned;
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
  GPtrArray *writers;  /* request_t */
  GPtrArray *readings; /* reading_t: oldest first */
  double pass_end_ms;
  GPtrArray *read_now; /* readings that this pass ends */
} engine_t;

/** What an instance tells the others. */
typedef struct
{
  uint64_t due_ms;
  uint32_t from;
  enum
  {
    TOLD_BEGIN,
    TOLD_PROGRESS,
    TOLD_END
  } what;
  upstream_job_t job;
  upstream_job_end_t how;
} told_t;

typedef struct
{
  const engines_load_t *load;
  GRand *rand;    /* of arrivals: the same for all policies */
  GRand *chances; /* of placement and returns */
  directory_t *directory;
  upstream_set_t *sets[ENGINES_MAX_INSTANCES]; /* what each instance knows */
  uint32_t set_count;
  GQueue told; /* told_t, oldest first */
  engine_t *engines;
  GPtrArray *requests; /* all that were asked */
  GPtrArray *waiting;
  uint64_t now_ms;
  uint64_t last_job;
  uint32_t shortest_gap_ms;
  engines_result_t result;
} world_t;

/** Passes that end now, and the next ones. */
void engines_work (world_t *world);

/** The engine that answers has written one event. */
void engines_write_event (world_t *world, request_t *request);

/** It has written the last. */
void engines_finish (world_t *world, request_t *request);

#endif
