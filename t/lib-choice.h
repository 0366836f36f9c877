/**
 * @file lib-choice.h
 * Sets up engines and requests for tests of the choice of an engine. The
 * engines have the figures of a service on two sites: 16 slots, memory for
 * 232,000 tokens, and a prefill rate of 206 prompt tokens per millisecond.
 */
#ifndef LIB_CHOICE_H
#define LIB_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include "directory.h"
#include "upstream-choice.h"

#define CHOICE_ENGINES             14
#define CHOICE_SHORT_TOKENS        4960
#define CHOICE_LONG_TOKENS         133000
#define CHOICE_HUGE_TOKENS         300000
#define CHOICE_LARGEST_TOKENS      511000
#define CHOICE_SHORT_ANSWER_TOKENS 1376
#define CHOICE_LONG_ANSWER_TOKENS  688
#define CHOICE_NOW_MS              100000

extern const engine_model_t choice_model;

/** CHOICE_ENGINES engines, in zones "a" and "b" by turns. */
typedef struct
{
  directory_t *directory;
  upstream_set_t *set;
  uint64_t keys[CHOICE_ENGINES];
  uint64_t last_job;
} choice_fixture_t;

choice_fixture_t *choice_fixture_new (void);

void choice_fixture_free (choice_fixture_t *fixture);

/** Returns a short request of zone "a" that has just arrived. */
choice_request_t choice_short_request (void);

/** Returns a long request of zone "a" that has just arrived. */
choice_request_t choice_long_request (uint32_t prompt_tokens);

/** Starts a request on an engine and returns the id of its job.
 * @param parts in which the prompt is prefilled
 * @param is_part another engine decodes
 * @param is_decoding its first event has been sent */
uint64_t choice_start_job (choice_fixture_t *fixture,
                           uint64_t key,
                           const choice_request_t *request,
                           uint32_t parts,
                           bool is_part,
                           bool is_decoding);

/** Starts a request on the engines chosen for it. */
void choice_start_chosen_jobs (choice_fixture_t *fixture,
                               const choice_request_t *request,
                               const choice_t *choice);

#endif
