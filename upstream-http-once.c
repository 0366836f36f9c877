/*
 * The one-shot calls of upstream-http.h: a request with a short response, which
 * is reported by one callback.
 */
#include <event2/http.h>
#include <string.h>
#include <talloc.h>

#include "http.h"
#include "upstream-http-internal.h"

#define ONE_SHOT_TIMEOUT_MS 3000

void
upstream_http_add_text (JsonBuilder *builder,
                        const char *name,
                        const char *value)
{
  if (value == NULL || value[0] == '\0')
    return;
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

JsonNode *
upstream_http_finish (JsonBuilder *builder)
{
  JsonNode *node;

  json_builder_end_object (builder);
  node = json_builder_get_root (builder);
  g_object_unref (builder);
  return node;
}

/** State of a one-shot call. Exactly one callback is used; done may be NULL. */
typedef struct
{
  upstream_done_cb_t done;
  upstream_load_cb_t load;
  upstream_events_cb_t events;
  uint64_t since; /* events: number of the first event requested */
  void *context;  /* passed to the callback */
} one_shot_t;

static void
on_one_shot_done (int status, JsonObject *body, void *context)
{
  one_shot_t *one_shot = context;

  if (one_shot->done != NULL)
    one_shot->done (status, one_shot->context);
  talloc_free (one_shot);
}

/** Sends a request. Takes ownership of @a body, which may be NULL. */
static void
start_one_shot (upstream_http_t *http,
                const upstream_target_t *target,
                const char *method,
                const char *path,
                JsonNode *body,
                http_done_cb_t done,
                one_shot_t one_shot)
{
  one_shot_t *one_shot_copy = talloc_memdup (http, &one_shot, sizeof one_shot);
  http_call_options_t options = {
    .owner = http,
    .base = http->base,
    .address = target->address,
    .method = method,
    .path = path,
    .body = body,
    .timeout_ms = ONE_SHOT_TIMEOUT_MS,
    .done = done,
    .context = one_shot_copy,
  };

  http_call (&options);
}

/** Sends DELETE /v1/COLLECTION/ID. */
static void
start_delete (upstream_http_t *http,
              const upstream_target_t *target,
              const char *collection,
              const char *id,
              one_shot_t one_shot)
{
  char *path = g_strdup_printf ("/v1/%s/%s", collection, id);

  start_one_shot (http, target, "DELETE", path, NULL, on_one_shot_done,
                  one_shot);
  g_free (path);
}

void
upstream_http_cancel (void *context,
                      const upstream_target_t *target,
                      const char *request_id,
                      upstream_done_cb_t done,
                      void *done_context)
{
  start_delete (context, target, "streams", request_id,
                (one_shot_t){ .done = done, .context = done_context });
}

void
upstream_http_release (void *context,
                       const upstream_target_t *target,
                       const char *id,
                       upstream_done_cb_t done,
                       void *done_context)
{
  start_delete (context, target, "reservations", id,
                (one_shot_t){ .done = done, .context = done_context });
}

void
upstream_http_drop_kv (void *context,
                       const upstream_target_t *target,
                       const char *id,
                       upstream_done_cb_t done,
                       void *done_context)
{
  start_delete (context, target, "kv", id,
                (one_shot_t){ .done = done, .context = done_context });
}

static JsonNode *
memory_node (const upstream_memory_t *memory)
{
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  upstream_http_add_text (builder, "id", memory->id);
  upstream_http_add_text (builder, "owner", memory->owner);
  upstream_http_add_text (builder, "request_id", memory->request_id);
  upstream_http_add_text (builder, "from", memory->from);
  http_json_add_number (builder, "tokens", memory->tokens);
  http_json_add_number (builder, "lease_ms", memory->lease_ms);
  json_builder_set_member_name (builder, "keep");
  json_builder_add_boolean_value (builder, memory->keep);
  return upstream_http_finish (builder);
}

void
upstream_http_reserve (void *context,
                       const upstream_target_t *target,
                       const upstream_memory_t *memory,
                       upstream_done_cb_t done,
                       void *done_context)
{
  start_one_shot (context, target, "POST", "/v1/reservations",
                  memory_node (memory), on_one_shot_done,
                  (one_shot_t){ .done = done, .context = done_context });
}

void
upstream_http_export_kv (void *context,
                         const upstream_target_t *target,
                         const upstream_memory_t *memory,
                         upstream_done_cb_t done,
                         void *done_context)
{
  start_one_shot (context, target, "POST", "/v1/kv/export",
                  memory_node (memory), on_one_shot_done,
                  (one_shot_t){ .done = done, .context = done_context });
}

void
upstream_http_import_kv (void *context,
                         const upstream_target_t *target,
                         const upstream_memory_t *memory,
                         upstream_done_cb_t done,
                         void *done_context)
{
  start_one_shot (context, target, "POST", "/v1/kv/import",
                  memory_node (memory), on_one_shot_done,
                  (one_shot_t){ .done = done, .context = done_context });
}

void
upstream_http_order (void *context,
                     const upstream_target_t *target,
                     const upstream_order_t *order,
                     upstream_done_cb_t done,
                     void *done_context)
{
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  upstream_http_add_text (builder, "id", order->id);
  upstream_http_add_text (builder, "kind", order->kind);
  upstream_http_add_text (builder, "model", order->model);
  upstream_http_add_text (builder, "adapter", order->adapter);
  upstream_http_add_text (builder, "version", order->version);
  upstream_http_add_text (builder, "role", order->role);
  http_json_add_number (builder, "fencing", order->fencing);
  upstream_http_add_text (builder, "signature", order->signature);
  start_one_shot (context, target, "POST", "/v1/orders",
                  upstream_http_finish (builder), on_one_shot_done,
                  (one_shot_t){ .done = done, .context = done_context });
}

static void
on_load (int status, JsonObject *body, void *context)
{
  one_shot_t *one_shot = context;
  upstream_load_t load;

  if (status == HTTP_OK && body != NULL)
    {
      load = (upstream_load_t){
        .running = (uint32_t)http_json_number_member (body, "running", 0),
        .waiting_tokens
        = (uint64_t)http_json_number_member (body, "waiting_tokens", 0),
        .kv_used_tokens
        = (uint64_t)http_json_number_member (body, "kv_used_tokens", 0),
        .taken_ms_ago
        = (uint32_t)http_json_number_member (body, "taken_ms_ago", 0),
      };
      one_shot->load (&load, one_shot->context);
    }
  else
    one_shot->load (NULL, one_shot->context);
  talloc_free (one_shot);
}

void
upstream_http_load (void *context,
                    const upstream_target_t *target,
                    upstream_load_cb_t done,
                    void *done_context)
{
  start_one_shot (context, target, "GET", "/v1/load", NULL, on_load,
                  (one_shot_t){ .load = done, .context = done_context });
}

/* The hash is a number or a string of hexadecimal digits, because a JSON number
 * holds 63 bits only. */
static uint64_t
read_hash (JsonObject *event)
{
  const char *text = http_json_text_member (event, "first_hash", NULL);

  if (text != NULL)
    return g_ascii_strtoull (text, NULL, 16);
  return (uint64_t)http_json_number_member (event, "first_hash", 0);
}

static void
on_events (int status, JsonObject *body, void *context)
{
  one_shot_t *one_shot = context;
  GArray *events = g_array_new (FALSE, TRUE, sizeof (upstream_event_t));
  uint64_t next = one_shot->since;
  JsonNode *node = NULL;
  JsonArray *list;

  if (status == HTTP_OK && body != NULL)
    {
      next = (uint64_t)http_json_number_member (body, "next", (int64_t)next);
      node = json_object_get_member (body, "events");
    }
  list = node != NULL && JSON_NODE_HOLDS_ARRAY (node)
             ? json_node_get_array (node)
             : NULL;
  for (guint i = 0; list != NULL && i < json_array_get_length (list); i++)
    {
      JsonNode *item = json_array_get_element (list, i);
      JsonObject *event;
      upstream_event_t parsed;

      if (!JSON_NODE_HOLDS_OBJECT (item))
        continue;
      event = json_node_get_object (item);
      parsed.seq = (uint64_t)http_json_number_member (event, "seq", 0);
      parsed.prefix_hash = read_hash (event);
      parsed.tokens = (uint64_t)http_json_number_member (event, "tokens", 0);
      parsed.present = http_json_bool_member (event, "present", false);
      g_array_append_val (events, parsed);
    }
  one_shot->events ((const upstream_event_t *)events->data, events->len, next,
                    one_shot->context);
  g_array_free (events, TRUE);
  talloc_free (one_shot);
}

void
upstream_http_events (void *context,
                      const upstream_target_t *target,
                      uint64_t since,
                      upstream_events_cb_t done,
                      void *done_context)
{
  char *path = g_strdup_printf ("/v1/events?since=%" G_GUINT64_FORMAT, since);

  start_one_shot (
      context, target, "GET", path, NULL, on_events,
      (one_shot_t){ .events = done, .since = since, .context = done_context });
  g_free (path);
}
