/**
 * @file gateway-internal.h
 * Types and functions shared by the source files of the gateway:
 * gateway.c (admits and ends requests), gateway-startup.c (requests that arrive
 * while the instance starts), gateway-place.c (finding upstreams),
 * gateway-attempt.c (sending and retries), gateway-helpers.c
 * (helpers and reserved memory), gateway-path.c (connections to upstreams
 * through other instances), gateway-relay.c (answers),
 * gateway-quarantine.c (requests on which upstreams crash), gateway-stop.c (the
 * end of the process) and gateway-metrics.c. No other file includes this
 * header.
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
#include "pause-detector.h"
#include "retry.h"
#include "silence.h"
#include "tunnel-server.h"
#include "upstream-path.h"
#include "zone-placement.h"

struct event;

#define GATEWAY_MAX_ATTEMPTS 6
#define GATEWAY_TICK_MS      100
/** Prompts up to this size are answered before longer ones. */
#define GATEWAY_SHORT_PROMPT_TOKENS 16000
/** Prompts over this size have a lower priority at an engine than others. */
#define GATEWAY_LONG_PROMPT_TOKENS 80000
/** Time after which a refused caller may find a free upstream. */
#define GATEWAY_RETRY_AFTER_MS 300

/** Classes of requests with histograms of their own, as callers expect
 * different response times of each. */
typedef enum
{
  GATEWAY_CLASS_CALL,  /**< the answer is not a stream */
  GATEWAY_CLASS_SHORT, /**< streams, by the size of the prompt */
  GATEWAY_CLASS_MEDIUM,
  GATEWAY_CLASS_LONG,
  GATEWAY_CLASS_COUNT,
} gateway_class_t;

/** Counters and histograms; refusals has one counter for each reason. */
typedef struct
{
  metric_t *requests;
  metric_t *answered;
  metric_t *held_at_startup;
  metric_t *gone; /* requests closed by the caller before the end */
  metric_t *broken;
  metric_t *leaving; /* answers in which an upstream said that it leaves */
  metric_t *paused;  /* answers in which an upstream asked for a pause */
  metric_t *cold;    /* times that an upstream was taken for cold */
  metric_t *limited; /* answers in which an upstream named a rate limit */
  metric_t *refusals[ERROR_KIND_COUNT];
  metric_t *first_event_s[GATEWAY_CLASS_COUNT]; /* time to the first event */
  metric_t *answer_s[GATEWAY_CLASS_COUNT];      /* time to the answer's end */
} gateway_counters_t;

struct gateway
{
  gateway_options_t options;
  gateway_config_t *config; /* active configuration, or NULL */
  caller_server_t *callers;
  exchange_pool_t *pool;
  upstream_path_t *path;
  tunnel_server_t *tunnels; /* for other instances, or NULL */
  upstream_set_t *set;
  const directory_t *directory; /* that the set was made from, or NULL */
  zone_placement_t *placement;
  engine_memory_t *memory;
  retry_t *retry;
  quarantine_t *quarantine;
  pause_detector_t process_pause; /* detects pauses of this process */
  GPtrArray *open;                /* gateway_request_t */
  uint64_t started_ms;
  GPtrArray *startup_queue; /* caller_request_t that arrived too early */
  struct event *startup_timer;
  struct event *tick;
  bool is_draining;     /* the process will end */
  bool is_closed;       /* no connection is accepted */
  bool is_finishing;    /* no request waits any more */
  uint64_t close_at_ms; /* while draining: when it will be closed, or 0 */
  uint64_t stop_at_ms;  /* while draining: when open requests will be ended */
  gateway_counters_t counters;
};

typedef struct gateway_request gateway_request_t;

/** An engine that reads a part of a prompt and may reserve memory for it. */
typedef struct
{
  uint64_t job_id; /* 0 once the job has ended */
  uint64_t upstream_key;
  char *address;
  uint32_t memory_tokens;
  engine_reservation_t *ticket; /* or NULL */
} gateway_helper_t;

/** A caller's request, from its arrival to its end. */
struct gateway_request
{
  gateway_t *gateway;
  caller_request_t *caller;
  gateway_request_info_t terms;
  prompt_parts_t parts;  /* of the prompt, and the request's signature */
  gateway_route_t route; /* a copy: the configuration may be replaced */
  const char *service;
  engine_model_t *engine;   /* NULL: a plain service */
  const char *customer;     /* or NULL */
  uint32_t shortest_gap_ms; /* shortest gap target of the service's routes */
  uint64_t config_number;
  uint64_t arrived_ms;
  uint64_t deadline_ms;
  struct event *timer;
  uint64_t attempt_due_ms; /* when the attempt counts as stalled, or 0 */

  uint32_t possible_runs; /* failed attempts that an upstream may have run */
  uint32_t attempt_count; /* all attempts, including those not sent */
  uint64_t avoid[GATEWAY_MAX_ATTEMPTS]; /* upstreams tried before */
  /* Upstreams to which the request was sent: their connections may carry a
   * second answer to it. */
  uint64_t sent_to[GATEWAY_MAX_ATTEMPTS];
  uint32_t sent_count;
  bool may_have_run;
  bool places_locally; /* the placer does not know of a drained zone yet */
  zone_ask_t *ask; /* for an upstream, or to move a stalled attempt, or NULL */

  /* The current attempt. */
  exchange_t *exchange; /* NULL between attempts */
  uint64_t job_id;
  uint64_t upstream_key;
  char *upstream_id;
  char *upstream_address;
  gateway_helper_t helpers[CHOICE_MAX_HELPERS];
  uint32_t helper_count;
  uint32_t memory_count;    /* first helpers that keep memory until the end */
  uint32_t tickets_pending; /* tickets that are not held yet */
  uint64_t attempt_ms;      /* when the request was sent */
  double predicted_ms;
  bool is_limited; /* counted within the rate limit of the upstream */
  bool has_head;
  bool has_invalid_event; /* the rest of the stream is ignored */
  uint32_t attempt_events;
  gateway_answer_info_t answer;

  /* The answer. */
  uint32_t status;
  void *head; /* talloc parent of reason and fields */
  const char *reason;
  http_fields_t fields;
  shared_bytes_t *body;   /* an answer that is relayed once it is complete */
  event_stream_t *events; /* parses a stream; NULL before its head */
  bool is_reply_begun;    /* the head was sent to the caller */
  bool has_event;
  uint64_t last_event; /* id of the last event relayed */
  uint32_t event_count;
  uint64_t first_event_ms;
  silence_t silence; /* of the attempt's upstream: since its last event or the
                        start; paused while the caller is slow */
  uint64_t earlier_silence_ms; /* since the last event, of earlier attempts */
  uint32_t longest_gap_ms;     /* longest silence between two events */
};

/** Refuses a request that waits while the process stops, if it may not wait any
 * more: another instance can serve it. */
void gateway_refuse_if_stopping (gateway_request_t *request);

/** Ends a request without an upstream, truly: one that may have run is not
 * called not run.
 * @param kind the error of one that has not run */
void gateway_end_truly (gateway_request_t *request, error_kind_t kind);

/** Ends a request that holds too much memory. */
void gateway_on_reclaim (caller_request_t *caller, void *context);

/** Returns the unsent bytes for a slow caller at which reading from its
 * upstream pauses. */
size_t gateway_max_unsent_bytes (const gateway_t *gateway);

/** Returns whether a request came so late in a stop that it might not be
 * answered before the end. */
bool gateway_is_too_late (const gateway_request_t *request);

/** Returns whether a service states that its upstreams are cold after a start:
 * they are to get their load slowly. @a context is the gateway. */
bool gateway_is_paced (const char *name, void *context);

/** Returns whether the configuration in force has a service.
 * @param context the gateway */
bool gateway_has_service (const char *name, void *context);

/** Returns the bound for cold upstreams of a service. @a context is the
 * gateway. */
upstream_cold_rate_t gateway_find_cold_rate (const char *name, void *context);

/** Admits a request, holds it until the startup ends, or rejects it. */
void gateway_admit (gateway_t *gateway, caller_request_t *caller);

/**
 * Holds a request until an instance that has just started has a configuration
 * and enough upstreams.
 * @return false when the startup is over or too many requests are held
 */
bool gateway_hold_at_startup (gateway_t *gateway,
                              caller_request_t *caller,
                              const char *request_id);

/** Drops a held request whose caller has closed the connection. */
void gateway_drop_held_at_startup (gateway_t *gateway,
                                   caller_request_t *caller);

/** Admits every request held at startup again, in the order of arrival. The
 * startup may not be over: such a request is held once more. */
void gateway_flush_startup_queue (gateway_t *gateway);

/** Flushes the startup queue if the startup is over, as after a change of the
 * upstreams. */
void gateway_check_startup_queue (gateway_t *gateway);

/** Timer callback: flushes the startup queue once the startup time is over. */
void gateway_on_startup_timer (evutil_socket_t fd, short what, void *context);

/** Registers the counters, histograms and gauges. */
void gateway_add_metrics (gateway_t *gateway);

/** Records the times of a request that was answered in full. */
void gateway_observe_times (const gateway_request_t *request, uint64_t now_ms);

/** Returns the hash by which a request is recognized when it comes again. */
uint64_t gateway_sign_request (const gateway_request_t *request);

/** Returns what is known of upstreams that crashed on the request or on parts
 * of its prompt. */
quarantine_level_t gateway_quarantine_level (const gateway_request_t *request);

/** Ends a request that would crash its upstream. */
void gateway_refuse_quarantined (gateway_request_t *request);

/** Callbacks of the upstream set: what ended jobs show of their requests. */
void gateway_on_job_answered (const upstream_job_t *job,
                              uint64_t now_ms,
                              void *context);
void gateway_on_job_broken (const upstream_job_t *job,
                            uint64_t now_ms,
                            void *context);
void gateway_on_job_complete (const upstream_job_t *job,
                              uint64_t now_ms,
                              void *context);

/** Returns until when the beginning of an answer is of use: at the deadline,
 * and before when a stream has had no event, the caller leaves. */
uint64_t gateway_last_useful_ms (const gateway_request_t *request);

/** Asks for an upstream, sends the request to it, or refuses the request. */
void gateway_place (gateway_request_t *request);

/** Asks for another upstream for an attempt that is stalled; the attempt goes
 * on until there is one. */
void gateway_ask_to_move (gateway_request_t *request);

/** Creates the placement; returns false when its address cannot be bound. */
bool gateway_open_placement (gateway_t *gateway);

/** Creates the path to the upstreams. */
upstream_path_t *gateway_new_path (gateway_t *gateway);

/** Starts to relay connections of other instances; returns false when the
 * address cannot be bound. */
bool gateway_open_tunnels (gateway_t *gateway);

/** Tries a connection to an upstream if it is doubtful whether this instance
 * reaches them. */
void gateway_probe_path (gateway_t *gateway);

/** Returns whether this instance may not send the current attempt any more,
 * because its upstream or a helper has become unavailable. */
bool gateway_has_unavailable (const gateway_request_t *request);

/** Starts an attempt at the upstream in @a answer. */
void gateway_start_attempt (gateway_request_t *request,
                            const placement_request_t *placed,
                            const placement_answer_t *answer);

/** Moves a stalled request to the upstream in @a answer, unless its attempt has
 * gone on meanwhile or no retry is left. */
void gateway_move_attempt (gateway_request_t *request,
                           const placement_request_t *placed,
                           const placement_answer_t *answer);

/** Checks a stalled attempt again later. */
void gateway_recheck_attempt (gateway_request_t *request);

/** Returns for how long the upstream of the attempt has sent no event while its
 * answer was read, see silence.h. */
uint64_t gateway_silent_ms (const gateway_request_t *request, uint64_t now_ms);

/** Sets when the attempt counts as stalled if its upstream is silent from
 * @a silent_since_ms on. */
void gateway_set_stall_time (gateway_request_t *request,
                             uint64_t silent_since_ms);

/** Reads the answer on if reading was paused for a slow caller. */
void gateway_resume_reading (gateway_request_t *request);

/** Ends the current attempt and cancels its exchange if that is still open. */
void gateway_end_attempt (gateway_request_t *request, upstream_job_end_t how);

/** Sends the request to the upstream of the current attempt. */
void gateway_send (gateway_request_t *request);

/** Registers the jobs of an attempt at its upstream and its helpers. */
void gateway_begin_jobs (gateway_request_t *request,
                         const placement_request_t *placed,
                         const placement_answer_t *answer);

/** Asks the helpers for memory and sends the request once all is reserved. */
void gateway_reserve_memory (gateway_request_t *request);

/** Handles the end of prompt reading: ends the jobs of helpers that have no
 * reserved memory. */
void gateway_on_prompt_read (gateway_request_t *request);

/** Ends the job of the helper with this id or address as dead, after the
 * upstream reported that it failed. */
void gateway_report_dead_helper (gateway_request_t *request,
                                 const char *failed_helper);

/** Ends the jobs of the current attempt and releases its reserved memory. */
void gateway_end_jobs (gateway_request_t *request, upstream_job_end_t how);

/**
 * Returns the list of helpers in the form sent to the upstream, owned by
 * @a parent; NULL if there are none.
 */
const char *gateway_helper_list (void *parent,
                                 const gateway_request_t *request);

/**
 * Handles a failed attempt: retries the request, relays the error answer of
 * the upstream, or refuses the request.
 * @param has_run the upstream may have run the request
 */
void gateway_on_attempt_failed (gateway_request_t *request,
                                retry_reason_t reason,
                                bool has_run);

/** Handles an attempt whose due time has passed: moves the request to another
 * upstream or extends the time. */
void gateway_on_attempt_stalled (gateway_request_t *request);

/** Callbacks of an attempt's exchange. */
extern const exchange_callbacks_t gateway_relay_callbacks;

/** Relays the complete answer that is buffered and ends the request. */
void gateway_relay_answer (gateway_request_t *request);

/** Sets the request's timer to its deadline, or to the attempt's due time if
 * that is earlier. */
void gateway_set_timer (gateway_request_t *request);

/** Answers with an error of the gateway and ends the request. */
void gateway_refuse (gateway_request_t *request,
                     error_kind_t kind,
                     uint32_t retry_after_ms);

/** Aborts the answer and ends the request. */
void gateway_abort (gateway_request_t *request, const char *why);

/** Ends a request whose answer was relayed in full. */
void gateway_finish (gateway_request_t *request, uint32_t status);

/** Adds a random jitter of up to half of @a retry_ms to it, so that callers
 * that are refused together do not return together. */
uint32_t gateway_add_jitter_ms (uint32_t retry_ms);

/** Returns the milliseconds until the request's deadline, 0 once it is past. */
uint32_t gateway_remaining_ms (const gateway_request_t *request);

#endif
