/**
 * @file oversize.h
 * Plan and progress for a prompt that exceeds every engine's KV memory and is
 * read in spans. No I/O.
 *
 * A separate stream reads each span of the prompt; its short answer is the
 * span's extract. A last pass reads all extracts and the end of the prompt,
 * where the question usually is; its tokens are the answer. (This is map-reduce
 * summarization of long documents.) Every pass is an ordinary prompt, so
 * engines need no support for it.
 */
#ifndef OVERSIZE_H
#define OVERSIZE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  OVERSIZE_WAITING, /**< not sent yet, or failed and to be read again */
  OVERSIZE_READING,
  OVERSIZE_READ,
} oversize_state_t;

/** A part of the prompt; callers only read the fields. */
typedef struct
{
  uint64_t start_bytes; /**< offset of its text in the prompt */
  uint64_t end_bytes;   /**< offset after its last byte */
  oversize_state_t state;
  uint32_t sends; /**< times it was sent */
  char *upstream; /**< upstream that it was sent to last, or NULL */
  char *extract;  /**< NULL until the span is read */
} oversize_span_t;

typedef struct
{
  uint64_t prompt_tokens;      /**< length of the whole prompt */
  uint64_t max_extract_tokens; /**< limit for each span's extract */
  uint64_t span_kv_tokens;     /**< KV memory reserved for a span */
  uint64_t tail_start_bytes; /**< offset of the tail, the end of the prompt that
                                  is part of every pass */
  uint32_t span_count;
  oversize_span_t *spans;
} oversize_t;

/**
 * Divides the prompt into spans.
 * @param max_tokens limit of the answer's tokens
 * @param memory_tokens KV memory of the largest engine that serves the request
 * @return freed with @a parent (talloc); NULL when there would be too many
 *         spans or when an engine could not hold their extracts
 */
oversize_t *oversize_plan (void *parent,
                           const char *prompt,
                           uint64_t max_tokens,
                           uint64_t memory_tokens);

/** Returns the prompt for span @a index, freed with @a parent (talloc). */
char *oversize_span_prompt (const oversize_t *plan,
                            void *parent,
                            const char *prompt,
                            uint32_t index);

/**
 * Returns the prompt of the last pass, freed with @a parent (talloc). All spans
 * must have been read.
 */
char *
oversize_last_prompt (const oversize_t *plan, void *parent, const char *prompt);

/** Returns the index of the first waiting span, or span_count for none. */
uint32_t oversize_next_waiting (const oversize_t *plan);

/** Returns whether every span has been read. */
bool oversize_all_read (const oversize_t *plan);

/** Returns the number of prompt tokens in the waiting spans. */
uint64_t oversize_waiting_tokens (const oversize_t *plan);

/** Records that span @a index is sent to @a upstream, whose name is copied. */
void
oversize_mark_sent (oversize_t *plan, uint32_t index, const char *upstream);

/** Marks span @a index as waiting again after a failed attempt. */
void oversize_mark_failed (oversize_t *plan, uint32_t index);

/** Marks span @a index as read and copies its extract. */
void oversize_mark_read (oversize_t *plan, uint32_t index, const char *extract);

/** Frees the extracts; the rest of the plan is kept to explain the request. */
void oversize_free_extracts (oversize_t *plan);

/** Returns the name of @a state for explanations. */
const char *oversize_state_name (oversize_state_t state);

#endif
