/**
 * @file quarantine.h
 * Finds the part of a prompt, or the request as a whole, on which upstreams
 * crash (a query of death), and tells which requests must not be sent any more.
 * No I/O; time is an argument.
 *
 * Evidence against a part, and against a request by its signature: an upstream
 * crashed before the answer to a request with it was complete. Evidence for it:
 * a complete answer, which withdraws what spoke against it before. An answer
 * that has begun, or goes on, is neither: an upstream may crash while it
 * writes. A part is quarantined after crashes of several upstreams without a
 * complete answer in between. Parts that occurred only in requests that also
 * held a more suspect one are bystanders. A request that was at all crashes of
 * a part explains them.
 *
 * Evidence is identified by the upstream's incarnation, so that reports of
 * several instances on the same crash can be merged in any order. It ages, and
 * a quarantined part may be tried again after some time. The memory is bounded,
 * whatever callers send.
 */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "metric.h"
#include "prompt-parts.h"

/** Parts, or requests, that quarantine_each_suspect() and
 * quarantine_each_request() list. */
#define QUARANTINE_MAX_LISTED 256
/** Crashes that are kept of one part. */
#define QUARANTINE_MAX_CRASHES 8
/** Time for which a request is blocked at most after a crash. */
#define QUARANTINE_MAX_BLOCKED_MS (10u * 60 * 1000)

typedef struct quarantine quarantine_t;

typedef enum
{
  QUARANTINE_CLEAR,
  QUARANTINE_SUSPECT, /**< may be sent, but not again after a crash */
  QUARANTINE_BLOCKED, /**< must not be sent */
} quarantine_level_t;

/** What speaks against a part, or against a request as a whole. */
typedef struct
{
  uint64_t part; /**< or the request's signature */
  bool is_request;
  uint64_t crashes[QUARANTINE_MAX_CRASHES];    /**< keys of incarnations */
  uint64_t crashed_ms[QUARANTINE_MAX_CRASHES]; /**< ascending */
  uint32_t crash_count;
  uint64_t last_ms;    /**< time of the last crash */
  bool was_proven;     /**< a prompt with it was answered in full within half
                            an hour before the first crash; never of a
                            request */
  uint32_t blocked_ms; /**< for how long a request is blocked after the last
                            crash, 0 before it is */
  bool was_blocked;    /**< it was logged that it is blocked */
} quarantine_suspect_t;

/** Creates an empty quarantine; freed with @a parent (talloc).
 * @param metrics may be NULL */
quarantine_t *quarantine_new (void *parent, metrics_t *metrics);

/** Records that an upstream crashed before it completed its answer to a
 * request.
 */
void quarantine_add_crash (quarantine_t *quarantine,
                           const prompt_parts_t *parts,
                           uint64_t upstream,
                           uint64_t now_ms);

/** Records that an upstream began an answer: it has not crashed before. This
 * speaks neither for the request nor for its parts. */
void quarantine_add_answer (quarantine_t *quarantine,
                            uint64_t upstream,
                            uint64_t now_ms);

/** Records that an upstream completed its answer to a request. This speaks for
 * the request as a whole and for its parts. */
void quarantine_add_success (quarantine_t *quarantine,
                             const prompt_parts_t *parts,
                             uint64_t upstream,
                             uint64_t now_ms);

/** Returns what is known of a request and its parts: the level of the worst
 * one, at the latest time that the quarantine was told. */
quarantine_level_t quarantine_level (const quarantine_t *quarantine,
                                     const prompt_parts_t *parts);

/** Returns the number of crashes that speak against a request, by its
 * signature. */
uint32_t quarantine_request_crashes (const quarantine_t *quarantine,
                                     uint64_t request);

/** Returns the time until a request may be tried again that is blocked, by
 * itself or for its parts. */
uint32_t quarantine_remaining_ms (const quarantine_t *quarantine,
                                  const prompt_parts_t *parts,
                                  uint64_t now_ms);

/** Merges what another instance knows of a part or a request. */
void quarantine_merge (quarantine_t *quarantine,
                       const quarantine_suspect_t *reported,
                       uint64_t now_ms);

/** Merges that a prompt with a part was answered in full at @a answered_ms. */
void quarantine_merge_part_success (quarantine_t *quarantine,
                                    uint64_t part,
                                    uint64_t answered_ms);

/** Merges that a request was answered in full at @a answered_ms. */
void quarantine_merge_success (quarantine_t *quarantine,
                               uint64_t request,
                               uint64_t answered_ms);

/** Calls @a each for what is known against parts, the worst first. */
void quarantine_each_suspect (const quarantine_t *quarantine,
                              void (*each) (const quarantine_suspect_t *suspect,
                                            void *context),
                              void *context);

/** Calls @a each for the requests with evidence that other instances are told:
 * those with at least two crashes, the worst first. */
void quarantine_each_request (const quarantine_t *quarantine,
                              void (*each) (const quarantine_suspect_t *suspect,
                                            void *context),
                              void *context);

/** Calls @a each for the parts that a complete answer cleared lately, the
 * latest first. */
void quarantine_each_cleared (const quarantine_t *quarantine,
                              uint64_t now_ms,
                              void (*each) (uint64_t part,
                                            uint64_t answered_ms,
                                            void *context),
                              void *context);

/** The same for requests. */
void quarantine_each_cleared_request (const quarantine_t *quarantine,
                                      uint64_t now_ms,
                                      void (*each) (uint64_t request,
                                                    uint64_t answered_ms,
                                                    void *context),
                                      void *context);

/** Forgets what is old. The caller runs it a few times a second. */
void quarantine_tick (quarantine_t *quarantine, uint64_t now_ms);

#endif
