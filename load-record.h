/**
 * @file load-record.h
 * Records the result of each request of lwm-load: one line in a records file,
 * and totals for the report at the end. All times are in scenario time.
 */
#ifndef LOAD_RECORD_H
#define LOAD_RECORD_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "generated/scenario.pb-c.h"
#include "load-plan.h"

/** Size of a reason name, including the final 0 byte. */
#define LOAD_REASON_BYTES 32

typedef enum
{
  LOAD_OK,      /**< the answer was complete and correct */
  LOAD_REFUSED, /**< refused without having run */
  LOAD_FAILED,  /**< any other error */
  LOAD_LOST,  /**< no complete answer within the deadline and a grace period */
  LOAD_WRONG, /**< an answer with wrong or missing content */
  LOAD_OUTCOME_COUNT
} load_outcome_t;

typedef struct
{
  load_request_t request;
  load_outcome_t outcome;
  int status; /**< HTTP status, 0 for none */
  char reason[LOAD_REASON_BYTES];
  char not_run[8];         /**< as in the answer: true, false or unknown */
  uint64_t sent_us;        /**< after the intended time */
  uint64_t first_token_us; /**< after the intended time, 0 for none */
  uint64_t end_us;         /**< after the intended time */
  uint32_t tokens;
  uint32_t cached_tokens;
  uint64_t deadline_us; /**< time limit of the request, 0 for none */
} load_record_t;

typedef struct load_report load_report_t;

/**
 * Returns empty totals for each class and call of @a scenario, which must
 * outlive them; freed with @a parent (talloc).
 */
load_report_t *load_report_new (void *parent, const Lwm__Scenario *scenario);

/** Adds one finished request to the totals. */
void load_report_add (load_report_t *report, const load_record_t *record);

/** Adds the gap between two consecutive tokens of an answer to the totals. */
void load_report_add_gap (load_report_t *report,
                          const load_request_t *request,
                          uint64_t gap_us);

/** Returns the number of requests with @a outcome so far. */
uint64_t load_report_count (const load_report_t *report,
                            load_outcome_t outcome);

/**
 * Returns whether the answer was complete and correct, met the deadline and met
 * the time to first token that its class requires.
 */
bool load_record_in_time (const load_record_t *record);

/** Writes the totals as a human-readable table. */
void load_report_write_table (const load_report_t *report, FILE *out);

/** Writes the totals as lines "metric=NAME value=NUMBER" after @a prefix. */
void load_report_write_metrics (const load_report_t *report,
                                const char *prefix,
                                FILE *out);

/** Writes the header line of a records file: column names separated by tabs. */
void load_record_write_header (FILE *out);

/** Writes one record as a line with the columns of the header. */
void load_record_write (const load_record_t *record, FILE *out);

#endif
