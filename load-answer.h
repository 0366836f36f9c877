/**
 * @file load-answer.h
 * Parses one answer of an entry instance incrementally and verifies it for
 * lwm-load. A stream must have consecutive offsets, a single request id and the
 * requested number of tokens, and every token must be the expected one for the
 * prompt under a single version of the weights. The answer to a call must
 * contain the body that the call sent.
 */
#ifndef LOAD_ANSWER_H
#define LOAD_ANSWER_H

#include <stdint.h>

#include "generated/scenario.pb-c.h"
#include "load-plan.h"
#include "load-prompt.h"
#include "load-record.h"

struct evbuffer;

typedef struct load_answer load_answer_t;

/**
 * Returns an empty answer to @a request, freed with @a parent (talloc). The
 * scenario, the prompt text and the request must outlive it.
 */
load_answer_t *load_answer_new (void *parent,
                                const Lwm__Scenario *scenario,
                                const load_prompt_t *prompt,
                                const load_request_t *request);

/**
 * Consumes all of @a input, the next part of the body.
 * @param status HTTP status of the answer
 */
void
load_answer_read (load_answer_t *answer, int status, struct evbuffer *input);

/** Returns the number of tokens received so far. */
uint32_t load_answer_tokens (const load_answer_t *answer);

/**
 * Completes the answer: sets outcome, reason, not_run and the token counts of
 * @a record.
 * @param rest the part of the body that load_answer_read() has not seen
 */
void load_answer_finish (load_answer_t *answer,
                         int status,
                         struct evbuffer *rest,
                         load_record_t *record);

/** Returns the body of call @a number; the caller frees it with g_free(). */
char *load_call_body (uint64_t number);

/**
 * Sets outcome, reason and the token count of @a record for a connection that
 * failed before or during the answer.
 */
void load_answer_unreachable (const load_answer_t *answer,
                              load_record_t *record);

#endif
