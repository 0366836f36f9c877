/**
 * @file load-prompt.h
 * Generates the text of prompts once; each prompt is then a set of slices of
 * it, without a copy.
 */
#ifndef LOAD_PROMPT_H
#define LOAD_PROMPT_H

#include <stdint.h>

#include "generated/scenario.pb-c.h"
#include "load-plan.h"

struct evbuffer;

typedef struct load_prompt load_prompt_t;

/** Bytes of text in one token. */
#define LOAD_TOKEN_BYTES 4

/** Size of the pool that supplies the text after the shared prefix. */
#define LOAD_POOL_BYTES (8 * 1024 * 1024)

/**
 * Generates the text, only letters and spaces, from the scenario's seed. The
 * result is freed with @a parent (talloc).
 */
load_prompt_t *load_prompt_new (void *parent, const Lwm__Scenario *scenario);

/**
 * Appends the prompt of @a request to @a out by reference. The prompt text must
 * outlive the buffer.
 */
void load_prompt_append (const load_prompt_t *prompt,
                         const load_request_t *request,
                         struct evbuffer *out);

/**
 * Returns a copy of the whole prompt of @a request, with a final 0 byte; freed
 * with @a parent (talloc).
 * @param size_bytes set to the length without the 0 byte
 */
char *load_prompt_text (const load_prompt_t *prompt,
                        void *parent,
                        const load_request_t *request,
                        size_t *size_bytes);

#endif
