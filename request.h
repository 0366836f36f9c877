/**
 * @file request.h
 * State machine, history and partial answer of one request. No I/O.
 *
 *     received -> admitted -> queued -> sent -> first byte -> done
 *     received -> done, with the recorded answer of an earlier request
 *
 * Every state except done may change to failed. A retry changes sent or first
 * byte back to queued, and a broken stream resumes as first byte -> sent ->
 * first byte. Each state transition (edge) has a reason from one of the closed
 * lists (error.h, retry.h, request_reason_t).
 */
#ifndef REQUEST_H
#define REQUEST_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "error.h"
#include "upstream.h"
#include "weights.h"

struct evbuffer;
struct event;

typedef enum
{
  REQUEST_RECEIVED,
  REQUEST_ADMITTED,
  REQUEST_QUEUED,
  REQUEST_SENT,
  REQUEST_FIRST_BYTE,
  REQUEST_DONE,
  REQUEST_FAILED,
  REQUEST_STATE_COUNT
} request_state_t;

/** Reasons of transitions that are neither errors nor retries. */
typedef enum
{
  REQUEST_REASON_ARRIVED,
  REQUEST_REASON_WITHIN_LIMITS,
  REQUEST_REASON_WAITING,
  REQUEST_REASON_PLACED,
  REQUEST_REASON_RESUMED,
  REQUEST_REASON_ANSWERED,
  REQUEST_REASON_COMPLETE,
  REQUEST_REASON_RECORDED,
  REQUEST_REASON_COUNT
} request_reason_t;

typedef enum
{
  REQUEST_COMPLETION, /**< a prompt for an engine */
  REQUEST_CALL,       /**< a call to a plain service */
} request_kind_t;

/** The parameters of a caller's request. Strings are copied when kept. */
typedef struct
{
  request_kind_t kind;
  const char *service;
  const char *customer;
  const char *model;
  const char *adapter;
  const char *version;
  const char *key; /**< idempotency key, or NULL */
  uint32_t priority;
  uint64_t deadline_ms;    /**< time to answer, from receipt */
  uint64_t first_token_ms; /**< target time of the first token, from receipt; 0
                              for none */
  uint64_t max_tokens;
  bool idempotent;
  JsonObject *body; /**< completion: referenced while an attempt may need it */
  const char *prompt;       /**< completion: points into body */
  const char *path;         /**< call: path of the request */
  const char *content_type; /**< call: content type of the body */
  struct evbuffer *raw; /**< call: body; request_new() moves its bytes out */
  uint64_t signature;   /**< of request-signature.h, 0 for none */
} request_spec_t;

/** One state transition in a request's history. */
typedef struct
{
  uint64_t at_ms;        /**< on the monotonic clock */
  request_state_t state; /**< the new state */
  const char *reason;    /**< static */
  char *upstream;        /**< upstream of the attempt under way, or NULL */
} request_edge_t;

/** Callbacks for the events of a request; each may be NULL. */
typedef struct
{
  void (*progress) (void *context); /**< the answer has grown */
  void (*ended) (void *context);    /**< done or failed */
  void (*replaced) (void *context); /**< another listener is installed */
  void *context;
} request_listener_t;

/** The attempt under way; a request has at most one at a time. */
typedef struct
{
  char *upstream;
  char *address;
  uint64_t incarnation;
  char *id;             /**< the attempt's id at the upstream */
  uint64_t sequence;    /**< last part of that id */
  uint64_t next_offset; /**< offset of the next token from the upstream */
  char *version; /**< version of the weights chosen at sending, or NULL */
  upstream_call_t *call; /**< NULL while no connection is open */
  bool accepted;         /**< the upstream took the stream */
  bool was_resumed;
  bool has_tokens;       /**< this attempt has delivered a token */
  bool was_sent;         /**< a byte of the request left this process */
  bool is_broken_off;    /**< the upstream broke off the connection and has not
                            answered since */
  bool has_left;         /**< the upstream was dropped while it was leaving */
  uint32_t stalls;       /**< consecutive broken connections without a token; a
                            refused connection counts more than once */
  uint32_t predicted_ms; /**< predicted time until the first token */
  weights_t *weights;    /**< weights to use; NULL: the weights that the request
                            asks for */
  uint32_t priority;     /**< priority at the upstream */
} request_attempt_t;

typedef struct request request_t;
struct request
{
  char *id;
  uint64_t sequence;
  uint64_t signature; /**< of request-signature.h, 0 for none */
  request_kind_t kind;
  request_state_t state;
  char *service;
  char *customer;
  char *model;
  char *adapter;
  char *version;
  char *key;
  uint32_t key_keep_ms;       /**< how long the control group keeps the key */
  bool claimed;               /**< this request holds the claim on its key */
  uint64_t first_token_by_ms; /**< target time, 0 for none */
  char *path;
  char *content_type;
  uint32_t priority;
  bool idempotent;
  JsonObject *body;
  const char *prompt;
  struct evbuffer *raw;
  uint64_t prompt_bytes;
  /** Length of a prompt that was replaced after it was read in spans; else 0.
   */
  uint64_t original_prompt_tokens;
  struct oversize_job *oversize; /**< reads the prompt in spans, or NULL */
  struct oversize_job *span_job; /**< this request reads its span, or NULL */
  const char *reservation; /**< id of memory for the next attempt, or NULL */
  uint64_t max_tokens;

  uint64_t received_ms;
  uint64_t deadline_ms; /**< on the monotonic clock */
  uint64_t first_token_at_ms;
  uint64_t ended_ms;

  request_attempt_t attempt;
  char *avoid;    /**< upstream where the last attempt failed, or NULL */
  uint32_t sends; /**< attempts so far */
  ran_t ran;      /**< whether it ran, as far as ended attempts show */
  GArray *edges;

  GString *text;     /**< the answer's tokens, concatenated */
  GArray *ends;      /**< end offset of each token in text, uint32_t */
  bool text_dropped; /**< the answer was freed */
  upstream_usage_t usage;
  int answer_status;       /**< call: HTTP status of the answer */
  char *answer_type;       /**< call: content type of the answer */
  struct evbuffer *answer; /**< call: body of the answer */
  error_kind_t error;
  uint32_t retry_after_ms;

  request_listener_t listener;
  void *owner; /**< dispatch_t, for timer callbacks */
  struct event *deadline_timer;
  struct event *silence_timer;
  struct event *retry_timer;
  struct event *detach_timer;
  struct event *hold_timer; /**< waits for the attempt's record to be sent */
};

/** Creates a request in state received, freed with @a parent (talloc). */
request_t *request_new (void *parent,
                        const request_spec_t *spec,
                        const char *id,
                        uint64_t sequence,
                        uint64_t now_ms);

/**
 * Changes the state and records the transition in the history.
 * @param reason static text from one of the closed lists
 * @return false, with nothing changed, when the transition is not allowed
 */
bool request_move (request_t *request,
                   request_state_t state,
                   const char *reason,
                   uint64_t now_ms);

/** Returns the stable name of @a state. */
const char *request_state_name (request_state_t state);

/** Returns the stable name of @a reason. */
const char *request_reason_name (request_reason_t reason);

/** Returns whether the request is done or failed. */
static inline bool
request_is_over (const request_t *request)
{
  return request->state == REQUEST_DONE || request->state == REQUEST_FAILED;
}

/** Returns the number of tokens in the answer so far. */
uint64_t request_token_count (const request_t *request);

/**
 * Returns the token at index @a offset, which must exist.
 * @param length set to its length in bytes; it is not NUL-terminated
 * @return owned by the request, valid until the next token is added
 */
const char *
request_token (const request_t *request, uint64_t offset, size_t *length);

/** Appends a token to the answer. */
void request_add_token (request_t *request, const char *text);

/**
 * Replaces the prompt by a shorter one and keeps the original token count for
 * the reported usage.
 * @param prompt a talloc child of the request
 */
void request_set_prompt (request_t *request, char *prompt);

/** Stores the answer to a call, and takes its body. */
void request_store_call_answer (request_t *request, const upstream_end_t *end);

/** Frees the prompt or call body once no attempt needs it any more. */
void request_drop_prompt (request_t *request);

/** Frees the answer and sets text_dropped. */
void request_drop_answer (request_t *request);

/** Returns the length of the prompt in tokens, as engines count it. */
uint64_t request_prompt_tokens (const request_t *request);

#endif
