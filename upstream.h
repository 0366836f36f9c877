/**
 * @file upstream.h
 * Defines the interface to an upstream: one table of callbacks.
 *
 * The table hides the protocol. Another protocol needs another table and no
 * other change. Every function except cancel and the one-shot calls returns at
 * once and reports through a sink, always from the event loop and never from
 * inside the function itself.
 */
#ifndef UPSTREAM_H
#define UPSTREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct evbuffer;

/** One open stream or call, ended with upstream_ops_t.close. */
typedef struct upstream_call upstream_call_t;

/** The address of an upstream. Strings are copied when kept. */
typedef struct
{
  const char *name;
  const char *address; /**< IP:PORT */
  uint64_t incarnation;
} upstream_target_t;

/** How a stream or call ended. */
typedef enum
{
  UPSTREAM_DONE,          /**< the whole answer arrived */
  UPSTREAM_NOT_CONNECTED, /**< no byte of the request was written */
  UPSTREAM_BUSY,          /**< refused before running: full */
  UPSTREAM_NOT_LOADED,    /**< refused before running: weights not loaded */
  UPSTREAM_LEAVING,       /**< refused before running: stopping */
  UPSTREAM_REFUSED,       /**< refused before running: any other reason */
  UPSTREAM_DUPLICATE,     /**< the upstream already has a stream of this id */
  UPSTREAM_NO_STREAM,     /**< resume: the upstream has no stream of this id */
  UPSTREAM_ERROR,         /**< failed without saying whether the request ran */
  UPSTREAM_BROKEN,        /**< the connection broke */
  UPSTREAM_TRUNCATED,     /**< the stream ended without its closing event */
  UPSTREAM_MISMATCHED,    /**< data of another request or offset arrived */
  UPSTREAM_RESULT_COUNT
} upstream_result_t;

/** The tokens that a finished request took. */
typedef struct
{
  uint64_t prompt_tokens;
  uint64_t completion_tokens;
  uint64_t cached_tokens;
} upstream_usage_t;

/** The end of a stream or call. */
typedef struct
{
  upstream_result_t result;
  upstream_usage_t usage;   /**< set when a stream is done */
  int status;               /**< set when a plain call is done */
  const char *content_type; /**< set when a plain call is done, or NULL */
  struct evbuffer *body;    /**< set when a plain call is done */
  /** The upstream closed or reset the connection after bytes of the request
   * were sent and before its answer was complete. */
  bool is_broken_off;
  bool has_not_run; /**< a plain call is done, but the answer says that it has
                         not run */
  bool is_leaving;  /**< the answer says that the upstream leaves */
} upstream_end_t;

/** Receives the events of a stream or call. No callback follows end. */
typedef struct
{
  /** The upstream accepted the request; tokens follow. May be NULL. */
  void (*accepted) (void *context);
  /** Delivers the token at @a offset. Offsets arrive in order, without gaps. */
  void (*token) (void *context, uint64_t offset, const char *text);
  void (*end) (void *context, const upstream_end_t *end);
  void *context;
} upstream_sink_t;

/** A stream to open. Strings need to live only during the call. */
typedef struct
{
  const char *request_id;
  const char *owner; /**< INSTANCE/INCARNATION */
  const char *model;
  const char *adapter;
  const char *version;
  const char *prompt;
  uint64_t max_tokens;
  uint32_t priority;
  uint64_t deadline_ms;    /**< time left until the deadline */
  const char *reservation; /**< id of reserved memory, or NULL */
  const char *import;      /**< id of imported KV, or NULL */
} upstream_submit_t;

/** A call to a plain service. */
typedef struct
{
  const char *request_id;
  const char *path; /**< without leading slash */
  const char *idempotency_key;
  const char *content_type;
  const void *body; /**< kept until the call is closed */
  size_t body_bytes;
  uint64_t deadline_ms; /**< time left until the deadline */
} upstream_plain_t;

/** Memory to reserve, or KV to move. */
typedef struct
{
  const char *id;
  const char *owner;
  const char *request_id; /**< export: the stream */
  const char *from;       /**< import: address of the exporter */
  uint64_t tokens;
  uint32_t lease_ms;
  bool keep; /**< export: the stream continues */
} upstream_memory_t;

/** An order to load or unload weights, or to change role. */
typedef struct
{
  const char *id;
  const char *kind; /**< load, unload or role */
  const char *model;
  const char *adapter;
  const char *version;
  const char *role;
  uint64_t fencing;
  const char *signature; /**< or NULL */
} upstream_order_t;

/** Reports the end of a one-shot call; @a status is 0 when no answer came. */
typedef void (*upstream_done_cb_t) (int status, void *context);

/** One change of the prefix cache of an upstream. */
typedef struct
{
  uint64_t seq;
  uint64_t prefix_hash; /**< as returned by upstream_ops_t.prefix_hash */
  uint64_t tokens;
  bool present;
} upstream_event_t;

/** Delivers cache events; @a next is the number to request from next time. */
typedef void (*upstream_events_cb_t) (const upstream_event_t *events,
                                      size_t count,
                                      uint64_t next,
                                      void *context);

/** The load that an upstream reports. */
typedef struct
{
  uint32_t running;
  uint64_t waiting_tokens;
  uint64_t kv_used_tokens;
  uint32_t taken_ms_ago;
} upstream_load_t;

/** Delivers the load; @a load is NULL when no answer came. */
typedef void (*upstream_load_cb_t) (const upstream_load_t *load, void *context);

/** The table of callbacks. @a context belongs to the implementation. */
typedef struct
{
  upstream_call_t *(*submit) (void *context,
                              const upstream_target_t *target,
                              const upstream_submit_t *submit,
                              const upstream_sink_t *sink);
  /** Resumes a stream that the upstream has, from @a offset on. */
  upstream_call_t *(*resume) (void *context,
                              const upstream_target_t *target,
                              const char *request_id,
                              uint64_t offset,
                              const upstream_sink_t *sink);
  upstream_call_t *(*plain) (void *context,
                             const upstream_target_t *target,
                             const upstream_plain_t *plain,
                             const upstream_sink_t *sink);
  /** Returns whether any byte of the request left this process. */
  bool (*wrote) (const upstream_call_t *call);
  /**
   * Pauses or resumes reading. While paused, the socket fills up and blocks the
   * upstream.
   */
  void (*pause) (upstream_call_t *call, bool paused);
  /**
   * Closes the connection without cancelling the request. Allowed inside the
   * sink.
   */
  void (*close) (upstream_call_t *call);

  void (*cancel) (void *context,
                  const upstream_target_t *target,
                  const char *request_id,
                  upstream_done_cb_t done,
                  void *done_context);
  void (*reserve) (void *context,
                   const upstream_target_t *target,
                   const upstream_memory_t *memory,
                   upstream_done_cb_t done,
                   void *done_context);
  void (*release) (void *context,
                   const upstream_target_t *target,
                   const char *id,
                   upstream_done_cb_t done,
                   void *done_context);
  void (*export_kv) (void *context,
                     const upstream_target_t *target,
                     const upstream_memory_t *memory,
                     upstream_done_cb_t done,
                     void *done_context);
  void (*import_kv) (void *context,
                     const upstream_target_t *target,
                     const upstream_memory_t *memory,
                     upstream_done_cb_t done,
                     void *done_context);
  void (*drop_kv) (void *context,
                   const upstream_target_t *target,
                   const char *id,
                   upstream_done_cb_t done,
                   void *done_context);
  void (*order) (void *context,
                 const upstream_target_t *target,
                 const upstream_order_t *order,
                 upstream_done_cb_t done,
                 void *done_context);
  /**
   * Returns the hash that cache events use for the start of the prompt, or 0
   * when the prompt is too short.
   */
  uint64_t (*prefix_hash) (const char *prompt, size_t size_bytes);
  void (*load) (void *context,
                const upstream_target_t *target,
                upstream_load_cb_t done,
                void *done_context);
  void (*events) (void *context,
                  const upstream_target_t *target,
                  uint64_t since,
                  upstream_events_cb_t done,
                  void *done_context);
} upstream_ops_t;

/** Returns the stable name of a result, for counters and logs. */
const char *upstream_result_name (upstream_result_t result);

/**
 * Returns whether the result shows that the request did not run at the
 * upstream.
 */
bool upstream_result_not_run (upstream_result_t result);

#endif
