/**
 * @file gateway-internal.h
 * What the parts of a gateway share: gateway.c (requests in, ends),
 * gateway-early.c (those that come while the instance starts),
 * gateway-wait.c (those that wait), gateway-attempt.c (sending and failures),
 * gateway-parts.c (helpers and memory), gateway-relay.c (answers) and
 * gateway-metrics.c. For those only.
 */
#ifndef GATEWAY_INTERNAL_H
#define GATEWAY_INTERNAL_H

#include <event2/util.h>
#include <glib.h>

#include "engine-memory.h"
#include "error.h"
#include "event-stream.h"
#include "exchange.h"
#include "gateway.h"
#include "retry.h"
#include "standstill.h"
#include "upstream-choice.h"

struct event;

#define GATEWAY_MAX_TRIES 6
#define GATEWAY_TICK_MS   100
/** Prompts up to this size are answered before longer ones. */
#define GATEWAY_SHORT_TOKENS 16000
/** Prompts over this size give way to others. */
#define GATEWAY_LONG_TOKENS 80000
/** Time after which a caller that was refused may find room. */
#define GATEWAY_RETRY_AFTER_MS 300

/** Kinds of request that are measured apart, as callers expect other times. */
typedef enum
{
  GATEWAY_CLASS_CALL,  /**< an answer that is no stream */
  GATEWAY_CLASS_SHORT, /**< streams, by the size of their prompt */
  GATEWAY_CLASS_MEDIUM,
  GATEWAY_CLASS_LONG,
  GATEWAY_CLASS_COUNT,
} gateway_class_t;

/** Counters; one for each refusal reason is in refusals. */
typedef struct
{
  metric_t *requests;
  metric_t *answered;
  metric_t *early; /* had to wait for a start to end */
  metric_t *gone;
  metric_t *broken;
  metric_t *refusals[ERROR_KIND_COUNT];
  metric_t *first[GATEWAY_CLASS_COUNT]; /* seconds to the first event */
  metric_t *whole[GATEWAY_CLASS_COUNT]; /* seconds to the end */
} gateway_counters_t;

struct gateway
{
  gateway_options_t options;
  gateway_config_t *config; /* in force, or NULL */
  caller_server_t *callers;
  exchange_pool_t *pool;
  upstream_set_t *set;
  load_share_t *share;
  engine_memory_t *memory;
  retry_t *retry;
  standstill_t still; /* of this process */
  GPtrArray *open;    /* gateway_request_t */
  GPtrArray *waiting; /* gateway_request_t, in no order */
  uint64_t started_ms;
  GPtrArray *early; /* caller_request_t that came too early to be served */
  struct event *early_end;
  struct event *tick;
  struct event *wake; /* looks at those that wait */
  gateway_counters_t counters;
};

typedef struct gateway_request gateway_request_t;

/** An engine that reads a part of a prompt, and may keep memory for it. */
typedef struct
{
  uint64_t job_id; /* 0 once it has ended */
  uint64_t upstream_key;
  char *address;
  uint32_t memory_tokens;
  char ticket_name[UPSTREAM_TICKET_BYTES];
  engine_ticket_t *ticket; /* or NULL */
} gateway_helper_t;

/** One request of a caller, from its arrival to its end. */
struct gateway_request
{
  gateway_t *gateway;
  caller_request_t *caller;
  gateway_terms_t terms;
  gateway_route_t route; /* copied: a new configuration may come */
  const char *service;
  engine_model_t *engine;   /* NULL: a plain service */
  const char *customer;     /* or NULL */
  uint32_t shortest_gap_ms; /* that any route of the service aims at */
  uint64_t config_number;
  uint64_t begun_ms;
  uint64_t deadline_ms;
  struct event *timer;
  uint64_t attempt_due_ms; /* when the attempt counts as hanging, or 0 */

  uint32_t sent;  /* failed attempts that an upstream may have run */
  uint32_t tries; /* all, with those that could not connect */
  uint64_t avoid[GATEWAY_MAX_TRIES];
  bool may_have_run;
  bool is_waiting;

  /* The present attempt. */
  exchange_t *exchange; /* NULL between attempts */
  uint64_t job_id;
  uint64_t upstream_key;
  char *upstream_id;
  char *upstream_address;
  gateway_helper_t helpers[CHOICE_MAX_HELPERS]; /* who read with it */
  uint32_t helper_count;
  uint32_t memory_count;    /* the first of them keep memory to the end */
  uint32_t tickets_missing; /* not held yet */
  uint64_t attempt_ms;      /* when it was sent */
  double predicted_ms;
  bool has_head;
  bool is_foreign; /* the answer is not this request's */
  bool is_spoilt;  /* its events cannot be used */
  uint32_t attempt_events;
  gateway_answer_t answer;

  /* The answer. */
  uint32_t status;
  void *head; /* owns the next two */
  const char *reason;
  http_fields_t fields;
  GByteArray *body;       /* of an answer that is passed on when whole */
  event_stream_t *events; /* of a stream, NULL before its head */
  bool is_begun;          /* its head has left for the caller */
  bool is_held;           /* the upstream is held back by a slow caller */
  bool has_event;
  uint64_t last_event; /* passed on */
  uint32_t event_count;
  uint64_t first_event_ms;
  uint64_t last_event_ms;
  uint32_t longest_gap_ms; /* between two events */
};

/** Takes a request on, or turns it away. */
void gateway_take (gateway_t *gateway, caller_request_t *caller);

/**
 * Keeps a request for the moment at which an instance that has just started
 * has a configuration and upstreams enough.
 * @return false when that is not to be waited for
 */
bool gateway_hold_early (gateway_t *gateway,
                         caller_request_t *caller,
                         const char *request_id);

/** Its caller is gone. */
void gateway_drop_early (gateway_t *gateway, caller_request_t *caller);

/** A configuration has come: takes on, or turns away, those held that need not
 * wait any more, in the order in which they came. */
void gateway_look_at_early (gateway_t *gateway);

/** Upstreams have come: the same, once there are enough. */
void gateway_end_early (gateway_t *gateway);

/** The event of those that have waited for long enough. */
void gateway_on_early_end (evutil_socket_t fd, short what, void *context);

/** Makes the counters and gauges. */
void gateway_add_metrics (gateway_t *gateway);

/** Notes how long a request took that was answered in full. */
void gateway_note_times (const gateway_request_t *request, uint64_t now_ms);

/** Where it would go now. */
choice_t gateway_choose (const gateway_request_t *request);

/** Finds a place for the request now, or lets it wait, or refuses it. */
void gateway_place (gateway_request_t *request);

/** Sends it to the upstream chosen. */
void gateway_attempt (gateway_request_t *request, const choice_t *choice);

/** Ends the present attempt, whose exchange is over or is cancelled here. */
void gateway_attempt_over (gateway_request_t *request, upstream_job_end_t how);

/** Hands the request to the upstream of the attempt. */
void gateway_send (gateway_request_t *request);

/** Notes the jobs of the attempt at its upstream and its helpers. */
void gateway_note_jobs (gateway_request_t *request, const choice_t *choice);

/** Asks the helpers for memory; the request is sent when all is held. */
void gateway_ask_memory (gateway_request_t *request);

/** The prompt is read: those that only helped are free. */
void gateway_parts_read (gateway_request_t *request);

/** Tells of the helper that the upstream found gone, by id or address. */
void gateway_blame (gateway_request_t *request, const char *at_fault);

/** Ends the jobs of the attempt and gives its memory back. */
void gateway_end_jobs (gateway_request_t *request, upstream_job_end_t how);

/** Who helps, as the upstream is told; NULL for nobody. */
const char *gateway_helper_list (void *parent,
                                 const gateway_request_t *request);

/** Lets it wait in the queue. */
void gateway_wait (gateway_request_t *request);

/** The attempt failed: sends again, passes on what came, or gives up. */
void gateway_attempt_failed (gateway_request_t *request,
                             retry_reason_t reason,
                             bool has_run);

/** When a stream counts as hanging if no event comes after one now; 0: never.
 */
uint64_t gateway_gap_due_ms (const gateway_request_t *request);

/** The time that the attempt was given has passed. */
void gateway_attempt_hangs (gateway_request_t *request);

/** Callbacks of its exchange. */
extern const exchange_callbacks_t gateway_relay_callbacks;

/** Passes on the whole answer that is held. */
void gateway_relay_answer (gateway_request_t *request);

/** Time for the next event, or the first, to come. */
void gateway_set_timer (gateway_request_t *request);

/** Answers with an error of our own and ends the request. */
void gateway_refuse (gateway_request_t *request,
                     error_kind_t kind,
                     uint32_t retry_after_ms);

/** Breaks the answer off and ends the request. */
void gateway_break (gateway_request_t *request, const char *why);

/** The answer was passed on in full: ends the request. */
void gateway_finish (gateway_request_t *request, uint32_t status);

/** @a retry_ms or up to half as much again, so that those who are refused
 * together do not return together. */
uint32_t gateway_spread_ms (uint32_t retry_ms);

/** The event of those that wait: places who can be placed now. */
void gateway_on_wake (evutil_socket_t fd, short what, void *context);

/** Looks soon at those that wait. */
void gateway_wake (gateway_t *gateway);

/** Milliseconds until the request's deadline, 0 when it has passed. */
uint32_t gateway_left_ms (const gateway_request_t *request);

#endif
