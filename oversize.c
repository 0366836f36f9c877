#include "oversize.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#define BYTES_PER_TOKEN 4
/* A span uses 1/SPAN_MEMORY_DIVISOR of an engine's memory, so that the engine
 * can serve short prompts at the same time. */
#define SPAN_MEMORY_DIVISOR 2
#define MAX_EXTRACT_TOKENS  256
#define MIN_EXTRACT_TOKENS  16
#define EXTRACT_MEMORY_DIVISOR                                                 \
  16 /* limits an extract to 1/16 of engine memory */
#define MAX_TAIL_TOKENS     1024
#define TAIL_MEMORY_DIVISOR 8  /* limits the tail to 1/8 of engine memory */
#define INSTRUCTION_TOKENS  64 /* upper bound of the fixed texts below */
#define MAX_SPANS           64

#define SPAN_HEAD                                                              \
  "Note briefly what this part of a long text says towards the request at "    \
  "its end.\nThe request:\n"
#define SPAN_PART "\nThe part, number %u of %u:\n"
#define LAST_HEAD "Notes on the parts of a long text, in order:\n"
#define LAST_TAIL "\nThe end of the text, which says what to do:\n"

static const char *const state_names[] = {
  [OVERSIZE_WAITING] = "waiting",
  [OVERSIZE_READING] = "reading",
  [OVERSIZE_READ] = "read",
};

static uint64_t
bytes_to_tokens (uint64_t bytes)
{
  return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
}

/** Returns the last offset up to @a offset where a UTF-8 character begins. */
static uint64_t
character_start (const char *text, uint64_t offset)
{
  while (offset > 0 && ((unsigned char)text[offset] & 0xc0) == 0x80)
    offset--;
  return offset;
}

static void
cut_spans (oversize_t *plan, const char *prompt, uint64_t span_bytes)
{
  uint64_t length = strlen (prompt);
  uint64_t start = 0;

  for (uint32_t i = 0; i < plan->span_count; i++)
    {
      uint64_t end = MIN ((i + 1) * span_bytes, length);

      plan->spans[i].start_bytes = start;
      plan->spans[i].end_bytes = character_start (prompt, end);
      start = plan->spans[i].end_bytes;
    }
}

/** Returns the token limit for each of @a spans extracts; 0 when the last pass
 * would not fit into an engine's memory. */
static uint64_t
extract_token_limit (uint64_t spans,
                     uint64_t tail_tokens,
                     uint64_t max_tokens,
                     uint64_t memory_tokens)
{
  uint64_t other_tokens = INSTRUCTION_TOKENS + tail_tokens + max_tokens;
  uint64_t max_each
      = MIN (MAX_EXTRACT_TOKENS, memory_tokens / EXTRACT_MEMORY_DIVISOR);
  uint64_t each;

  if (other_tokens >= memory_tokens)
    return 0;
  /* The line feed after each extract takes at most one token. */
  each = (memory_tokens - other_tokens) / spans;
  each = each > 0 ? MIN (each - 1, max_each) : 0;
  return each >= MIN_EXTRACT_TOKENS ? each : 0;
}

oversize_t *
oversize_plan (void *parent,
               const char *prompt,
               uint64_t max_tokens,
               uint64_t memory_tokens)
{
  uint64_t tokens = bytes_to_tokens (strlen (prompt));
  uint64_t tail = MIN (MAX_TAIL_TOKENS, memory_tokens / TAIL_MEMORY_DIVISOR);
  uint64_t max_extract
      = MIN (MAX_EXTRACT_TOKENS, memory_tokens / EXTRACT_MEMORY_DIVISOR);
  uint64_t overhead = INSTRUCTION_TOKENS + tail + max_extract;
  uint64_t span_limit = memory_tokens / SPAN_MEMORY_DIVISOR;
  /* One token is spare: a span starts up to three bytes earlier where its
   * boundary would split a character. */
  uint64_t text = span_limit > overhead + 1 ? span_limit - overhead - 1 : 0;
  uint64_t spans = text > 0 ? (tokens + text - 1) / text : 0;
  oversize_t *plan;

  if (spans == 0 || spans > MAX_SPANS
      || extract_token_limit (spans, tail, max_tokens, memory_tokens) == 0)
    return NULL;
  plan = talloc_zero (parent, oversize_t);
  plan->prompt_tokens = tokens;
  plan->max_extract_tokens
      = extract_token_limit (spans, tail, max_tokens, memory_tokens);
  plan->span_kv_tokens = span_limit;
  plan->tail_start_bytes
      = strlen (prompt) - MIN (strlen (prompt), tail * BYTES_PER_TOKEN);
  while (((unsigned char)prompt[plan->tail_start_bytes] & 0xc0) == 0x80)
    plan->tail_start_bytes++;
  plan->span_count = (uint32_t)spans;
  plan->spans = talloc_zero_array (plan, oversize_span_t, spans);
  /* Spans of equal size take equally long to read. */
  cut_spans (plan, prompt, ((tokens + spans - 1) / spans) * BYTES_PER_TOKEN);
  return plan;
}

char *
oversize_span_prompt (const oversize_t *plan,
                      void *parent,
                      const char *prompt,
                      uint32_t index)
{
  const oversize_span_t *span = &plan->spans[index];

  return talloc_asprintf (
      parent, SPAN_HEAD "%s" SPAN_PART "%.*s", prompt + plan->tail_start_bytes,
      index + 1, plan->span_count, (int)(span->end_bytes - span->start_bytes),
      prompt + span->start_bytes);
}

char *
oversize_last_prompt (const oversize_t *plan, void *parent, const char *prompt)
{
  char *text = talloc_strdup (parent, LAST_HEAD);

  for (uint32_t i = 0; i < plan->span_count; i++)
    text = talloc_asprintf_append_buffer (text, "%s\n", plan->spans[i].extract);
  return talloc_asprintf_append_buffer (text, LAST_TAIL "%s",
                                        prompt + plan->tail_start_bytes);
}

uint32_t
oversize_next_waiting (const oversize_t *plan)
{
  uint32_t index = 0;

  while (index < plan->span_count
         && plan->spans[index].state != OVERSIZE_WAITING)
    index++;
  return index;
}

bool
oversize_all_read (const oversize_t *plan)
{
  for (uint32_t i = 0; i < plan->span_count; i++)
    if (plan->spans[i].state != OVERSIZE_READ)
      return false;
  return true;
}

uint64_t
oversize_waiting_tokens (const oversize_t *plan)
{
  uint64_t bytes = 0;

  for (uint32_t i = 0; i < plan->span_count; i++)
    if (plan->spans[i].state == OVERSIZE_WAITING)
      bytes += plan->spans[i].end_bytes - plan->spans[i].start_bytes;
  return bytes_to_tokens (bytes);
}

void
oversize_mark_sent (oversize_t *plan, uint32_t index, const char *upstream)
{
  oversize_span_t *span = &plan->spans[index];

  talloc_free (span->upstream);
  span->upstream = talloc_strdup (plan, upstream);
  span->state = OVERSIZE_READING;
  span->sends++;
}

void
oversize_mark_failed (oversize_t *plan, uint32_t index)
{
  plan->spans[index].state = OVERSIZE_WAITING;
}

void
oversize_mark_read (oversize_t *plan, uint32_t index, const char *extract)
{
  oversize_span_t *span = &plan->spans[index];
  /* An engine's tokens may be longer than BYTES_PER_TOKEN, but the last pass
   * has memory only for the planned length. */
  uint64_t length
      = MIN (strlen (extract), plan->max_extract_tokens * BYTES_PER_TOKEN);

  span->state = OVERSIZE_READ;
  span->extract
      = talloc_strndup (plan, extract, character_start (extract, length));
}

void
oversize_free_extracts (oversize_t *plan)
{
  for (uint32_t i = 0; i < plan->span_count; i++)
    TALLOC_FREE (plan->spans[i].extract);
}

const char *
oversize_state_name (oversize_state_t state)
{
  return state_names[state];
}
