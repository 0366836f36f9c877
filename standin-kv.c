/* KV memory over HTTP: reservations, export, and import from another engine. */
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "http.h"
#include "settings.h"
#include "standin-private.h"

#define US_PER_MS 1000

#define STATUS_BAD_GATEWAY 502

/* Simulated rate of a KV transfer between engines. */
#define TRANSFER_TOKENS_S 500000

#define FETCH_TIMEOUT_MS 5000

/** An import in progress. */
typedef struct
{
  standin_t *standin;
  struct evhttp_request *request; /* NULL after its connection failed */
  struct event *timer;            /* fires when the transfer ends, or NULL */
  char *id;
  uint32_t prefix_blocks;
  uint64_t prefix_hash;
} import_t;

/** Returns the mistake in the body of a memory request, or NULL. */
static const char *
find_memory_mistake (JsonObject *body)
{
  if (http_json_text_member (body, "id", "")[0] == '\0')
    return "'id' is missing";
  if (http_json_number_member (body, "tokens", 0) < 0)
    return "'tokens' must not be negative";
  if (http_json_number_member (body, "lease_ms", 0) < 0)
    return "'lease_ms' must not be negative";
  return NULL;
}

static void
reply_tokens (struct evhttp_request *request, uint64_t tokens)
{
  JsonObject *object = json_object_new ();

  json_object_set_int_member (object, "tokens", (gint64)tokens);
  standin_reply (request, object);
}

/**
 * Refuses a request that is invalid or comes while the stand-in is leaving;
 * returns whether it did.
 */
static bool
refuse_memory (standin_t *standin,
               struct evhttp_request *request,
               JsonObject *body)
{
  const char *mistake = find_memory_mistake (body);

  standin_advance (standin);
  if (mistake != NULL)
    standin_refuse_bad (request, mistake);
  else if (standin->leaving)
    standin_refuse (request, 410, "leaving", RAN_NO);
  return mistake != NULL || standin->leaving;
}

void
standin_reserve (standin_t *standin,
                 struct evhttp_request *request,
                 JsonObject *body)
{
  const char *id = http_json_text_member (body, "id", "");
  uint64_t lease_us
      = (uint64_t)http_json_number_member (body, "lease_ms", 0) * US_PER_MS;
  engine_result_t result;

  if (refuse_memory (standin, request, body))
    return;
  result
      = kv_reserve (standin->kv, id, http_json_text_member (body, "owner", ""),
                    (uint64_t)http_json_number_member (body, "tokens", 0),
                    lease_us, clock_mono_us ());
  if (result == ENGINE_OK)
    reply_tokens (request, kv_find (standin->kv, id)->tokens);
  else
    standin_refuse_result (request, result);
}

void
standin_export (standin_t *standin,
                struct evhttp_request *request,
                JsonObject *body)
{
  const char *id = http_json_text_member (body, "id", "");
  engine_stream_t *stream = engine_find (
      standin->engine, http_json_text_member (body, "request_id", ""));
  engine_result_t result;

  if (refuse_memory (standin, request, body))
    return;
  result = kv_export (
      standin->kv, id, http_json_text_member (body, "owner", ""), stream,
      http_json_bool_member (body, "keep", false), clock_mono_us ());
  if (result == ENGINE_OK)
    reply_tokens (request, kv_find (standin->kv, id)->tokens);
  else
    standin_refuse_result (request, result);
}

void
standin_get_kv (standin_t *standin,
                struct evhttp_request *request,
                const char *id)
{
  const kv_entry_t *entry = kv_find (standin->kv, id);
  JsonObject *object;
  char hash[17];

  if (entry == NULL || entry->kind == KV_RESERVATION
      || entry->kind == KV_IMPORTING)
    {
      standin_refuse (request, HTTP_NOTFOUND, "not_found", RAN_NO);
      return;
    }
  kv_touch (standin->kv, id, clock_mono_us ());
  object = json_object_new ();
  g_snprintf (hash, sizeof hash, "%016" G_GINT64_MODIFIER "x",
              entry->prefix_hash);
  json_object_set_int_member (object, "tokens", (gint64)entry->tokens);
  json_object_set_int_member (object, "prefix_blocks", entry->prefix_blocks);
  json_object_set_string_member (object, "prefix_hash", hash);
  standin_reply (request, object);
}

void
standin_release (standin_t *standin,
                 struct evhttp_request *request,
                 const char *id)
{
  JsonObject *object = json_object_new ();

  json_object_set_boolean_member (object, "released", TRUE);
  json_object_set_boolean_member (object, "known",
                                  kv_release (standin->kv, id));
  standin_reply (request, object);
}

static int
free_import (import_t *import)
{
  if (import->request != NULL)
    evhttp_connection_set_closecb (
        evhttp_request_get_connection (import->request), NULL, NULL);
  if (import->timer != NULL)
    event_free (import->timer);
  return 0;
}

static void
on_import_closed (struct evhttp_connection *connection, void *arg)
{
  import_t *import = arg;

  http_abandon (import->request);
  import->request = NULL;
}

static void
fail_import (import_t *import)
{
  kv_release (import->standin->kv, import->id);
  if (import->request != NULL)
    standin_refuse (import->request, STATUS_BAD_GATEWAY, "not_fetched", RAN_NO);
  talloc_free (import);
}

static void
on_transferred (evutil_socket_t fd, short what, void *arg)
{
  import_t *import = arg;
  kv_t *kv = import->standin->kv;
  bool is_imported = kv_end_import (kv, import->id, import->prefix_blocks,
                                    import->prefix_hash, clock_mono_us ());

  /* The entry was deleted during the transfer, so no memory is held. */
  if (!is_imported && import->request != NULL)
    standin_refuse (import->request, HTTP_NOTFOUND, "not_found", RAN_NO);
  else if (import->request != NULL)
    reply_tokens (import->request, kv_find (kv, import->id)->tokens);
  talloc_free (import);
}

static void
on_fetched (int status, JsonObject *body, void *context)
{
  import_t *import = context;
  const kv_entry_t *entry = kv_find (import->standin->kv, import->id);
  int64_t tokens
      = body != NULL ? http_json_number_member (body, "tokens", -1) : -1;
  struct timeval time;

  if (status != HTTP_OK || tokens < 0 || entry == NULL
      || (uint64_t)tokens > entry->tokens)
    {
      fail_import (import);
      return;
    }
  import->prefix_blocks
      = (uint32_t)http_json_number_member (body, "prefix_blocks", 0);
  import->prefix_hash = g_ascii_strtoull (
      http_json_text_member (body, "prefix_hash", ""), NULL, 16);
  time = standin_scaled (import->standin,
                         (uint64_t)tokens * 1000 / TRANSFER_TOKENS_S);
  import->timer
      = event_new (import->standin->base, -1, 0, on_transferred, import);
  event_add (import->timer, &time);
}

static void
start_fetch (standin_t *standin,
             struct evhttp_request *request,
             const char *id,
             const char *from)
{
  import_t *import = talloc_zero (standin, import_t);
  char *escaped = g_uri_escape_string (id, NULL, FALSE);
  char *path = g_strdup_printf ("/v1/kv/%s", escaped);
  http_call_options_t call = { .owner = import,
                               .base = standin->base,
                               .address = from,
                               .method = "GET",
                               .path = path,
                               .timeout_ms = FETCH_TIMEOUT_MS,
                               .done = on_fetched,
                               .context = import };

  import->standin = standin;
  import->request = request;
  import->id = talloc_strdup (import, id);
  talloc_set_destructor (import, free_import);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 on_import_closed, import);
  http_call (&call);
  g_free (path);
  g_free (escaped);
}

void
standin_import (standin_t *standin,
                struct evhttp_request *request,
                JsonObject *body)
{
  const char *id = http_json_text_member (body, "id", "");
  const char *from = http_json_text_member (body, "from", "");
  const kv_entry_t *entry = kv_find (standin->kv, id);
  char ip[64];
  uint16_t port;
  engine_result_t result;

  if (refuse_memory (standin, request, body))
    return;
  if (!settings_split_address (from, ip, &port))
    {
      standin_refuse_bad (request, "'from' is not an address as IP:PORT");
      return;
    }
  if (entry != NULL && entry->kind == KV_IMPORTED)
    {
      reply_tokens (request, entry->tokens);
      return;
    }
  result = kv_begin_import (
      standin->kv, id, http_json_text_member (body, "owner", ""),
      (uint64_t)http_json_number_member (body, "tokens", 0), clock_mono_us ());
  if (result == ENGINE_OK)
    start_fetch (standin, request, id, from);
  else
    standin_refuse_result (request, result);
}
