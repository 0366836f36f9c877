/**
 * @file upstream-http-internal.h
 * Declarations shared by the files of upstream-http.h only.
 *
 * The functions that take an upstream_target_t are one-shot calls: members of
 * upstream_ops_t, described in upstream.h. Their context is an upstream_http_t.
 */
#ifndef UPSTREAM_HTTP_INTERNAL_H
#define UPSTREAM_HTTP_INTERNAL_H

#include <json-glib/json-glib.h>

#include "upstream-http.h"

/** Kinds of calls whose response may take long. */
typedef enum
{
  CALL_STREAM, /**< opens a stream of tokens */
  CALL_RESUME, /**< continues an open stream at an offset */
  CALL_PLAIN,  /**< calls a plain service */
} upstream_http_kind_t;

struct upstream_http
{
  struct event_base *base;
};

/** Returns what the status and the body of an error response mean. */
upstream_result_t upstream_http_read_refusal (upstream_http_kind_t kind,
                                              int status,
                                              struct evbuffer *body);

/** Adds a string member unless @a value is NULL or empty. */
void upstream_http_add_text (JsonBuilder *builder,
                             const char *name,
                             const char *value);

/**
 * Ends the outermost object and frees the builder.
 * @return owned by the caller
 */
JsonNode *upstream_http_finish (JsonBuilder *builder);

/* One-shot calls of upstream_ops_t. */
void upstream_http_cancel (void *context,
                           const upstream_target_t *target,
                           const char *request_id,
                           upstream_done_cb_t done,
                           void *done_context);
void upstream_http_release (void *context,
                            const upstream_target_t *target,
                            const char *id,
                            upstream_done_cb_t done,
                            void *done_context);
void upstream_http_drop_kv (void *context,
                            const upstream_target_t *target,
                            const char *id,
                            upstream_done_cb_t done,
                            void *done_context);
void upstream_http_reserve (void *context,
                            const upstream_target_t *target,
                            const upstream_memory_t *memory,
                            upstream_done_cb_t done,
                            void *done_context);
void upstream_http_export_kv (void *context,
                              const upstream_target_t *target,
                              const upstream_memory_t *memory,
                              upstream_done_cb_t done,
                              void *done_context);
void upstream_http_import_kv (void *context,
                              const upstream_target_t *target,
                              const upstream_memory_t *memory,
                              upstream_done_cb_t done,
                              void *done_context);
void upstream_http_order (void *context,
                          const upstream_target_t *target,
                          const upstream_order_t *order,
                          upstream_done_cb_t done,
                          void *done_context);
void upstream_http_load (void *context,
                         const upstream_target_t *target,
                         upstream_load_cb_t done,
                         void *done_context);
void upstream_http_events (void *context,
                           const upstream_target_t *target,
                           uint64_t since,
                           upstream_events_cb_t done,
                           void *done_context);

#endif
