/* Status reports of a stand-in: announcements, load, events and inspection. */
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"
#include "http.h"
#include "standin-private.h"

#define US_PER_MS 1000

/* A sample is published while it is between one and two lags old. */
void
standin_sample_load (standin_t *standin, uint64_t now_us)
{
  uint64_t lag_us = (uint64_t)standin->settings->load_lag_ms * US_PER_MS;
  load_sample_t *load_samples = standin->load_samples;

  if (now_us - load_samples[1].taken_us < lag_us)
    return;
  load_samples[0] = load_samples[1];
  load_samples[1].load = engine_load (standin->engine);
  load_samples[1].taken_us = now_us;
  if (lag_us == 0 || load_samples[0].taken_us == 0)
    load_samples[0] = load_samples[1];
}

static JsonObject *
load_object (standin_t *standin)
{
  JsonObject *object = json_object_new ();
  uint64_t now_us = clock_mono_us ();
  const load_sample_t *sample = &standin->load_samples[0];

  json_object_set_int_member (object, "running", sample->load.running);
  json_object_set_int_member (object, "waiting_tokens",
                              (gint64)sample->load.waiting_tokens);
  json_object_set_int_member (object, "kv_used_tokens",
                              (gint64)sample->load.held_tokens);
  json_object_set_int_member (
      object, "taken_ms_ago",
      (gint64)((now_us - sample->taken_us) / US_PER_MS));
  return object;
}

static JsonArray *
weights_array (const standin_t *standin)
{
  JsonArray *array = json_array_new ();

  for (guint i = 0; i < standin->weights->len; i++)
    {
      const weights_t *weights = g_ptr_array_index (standin->weights, i);
      JsonObject *object;

      if (weights->loading)
        continue;
      object = json_object_new ();
      json_object_set_string_member (object, "model", weights->model);
      json_object_set_string_member (object, "adapter", weights->adapter);
      json_object_set_string_member (object, "version", weights->version);
      json_array_add_object_element (array, object);
    }
  return array;
}

static void
add_engine_status (const standin_t *standin, JsonObject *object)
{
  const Lwm__UpstreamSettings *settings = standin->settings;

  json_object_set_array_member (object, "loaded", weights_array (standin));
  json_object_set_string_member (object, "role", standin->role);
  json_object_set_int_member (object, "kv_tokens", settings->kv_tokens);
  json_object_set_int_member (object, "max_batch", settings->max_batch);
  json_object_set_int_member (object, "prefill_tokens_s",
                              settings->prefill_tokens_s);
  json_object_set_int_member (object, "step_us", settings->step_us);
}

static JsonObject *
service_load_object (const standin_t *standin)
{
  JsonObject *object = json_object_new ();

  json_object_set_int_member (object, "running", standin->calls);
  json_object_set_int_member (object, "waiting_tokens", 0);
  json_object_set_int_member (object, "kv_used_tokens", 0);
  json_object_set_int_member (object, "taken_ms_ago", 0);
  return object;
}

JsonNode *
standin_announcement (void *context)
{
  standin_t *standin = context;
  const Lwm__UpstreamSettings *settings = standin->settings;
  JsonObject *object = json_object_new ();
  bool advertised = settings->advertise[0] != '\0';
  JsonNode *node;

  json_object_set_string_member (object, "upstream", settings->upstream);
  json_object_set_int_member (object, "incarnation",
                              (gint64)standin->incarnation);
  json_object_set_string_member (
      object, "address", advertised ? settings->advertise : settings->listen);
  json_object_set_string_member (object, "zone", settings->zone);
  json_object_set_string_member (object, "service", settings->service);
  json_object_set_string_member (object, "kind", settings->kind);
  json_object_set_string_member (object, "state",
                                 standin->leaving ? "leaving" : "ready");
  json_object_set_boolean_member (object, "fencing",
                                  strcmp (settings->fencing, "check") == 0);
  json_object_set_int_member (object, "last_fencing",
                              (gint64)standin->last_fencing);
  if (settings->announce_secret[0] != '\0')
    json_object_set_string_member (object, "secret", settings->announce_secret);
  if (standin->engine != NULL)
    {
      standin_advance (standin);
      add_engine_status (standin, object);
      json_object_set_object_member (object, "load", load_object (standin));
    }
  else
    json_object_set_object_member (object, "load",
                                   service_load_object (standin));
  node = json_node_init_object (json_node_alloc (), object);
  json_object_unref (object);
  return node;
}

static void
add_stream (engine_stream_t *stream, void *context)
{
  JsonObject *object = json_object_new ();

  json_object_set_string_member (object, "request_id", stream->request_id);
  json_object_set_string_member (object, "owner", stream->owner);
  json_object_set_int_member (object, "prompt_tokens", stream->prompt_tokens);
  json_object_set_int_member (object, "read_tokens", stream->read_tokens);
  json_object_set_int_member (object, "generated", stream->generated);
  json_object_set_int_member (object, "held_tokens",
                              (gint64)stream->held_tokens);
  json_object_set_boolean_member (object, "done", stream->done);
  json_object_set_boolean_member (object, "read", stream->observer != NULL);
  json_array_add_object_element (context, object);
}

static JsonObject *
counts_object (GHashTable *counts)
{
  JsonObject *object = json_object_new ();
  GHashTableIter iter;
  gpointer id;
  gpointer count;

  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &id, &count))
    json_object_set_int_member (object, id, GPOINTER_TO_UINT (count));
  return object;
}

static const char *const kv_kind_names[]
    = { "reserved", "exported", "arriving", "imported" };

/** The lists of KV memory in an inspection. */
typedef struct
{
  JsonArray *reservations;
  JsonArray *kv;
} entry_lists_t;

static void
add_entry (const kv_entry_t *entry, void *context)
{
  entry_lists_t *lists = context;
  JsonObject *object = json_object_new ();

  json_object_set_string_member (object, "id", entry->id);
  json_object_set_string_member (object, "owner", entry->owner);
  json_object_set_string_member (object, "kind", kv_kind_names[entry->kind]);
  json_object_set_int_member (object, "tokens", (gint64)entry->tokens);
  json_array_add_object_element (
      entry->kind == KV_RESERVATION ? lists->reservations : lists->kv, object);
}

static uint64_t
leaked_tokens (const standin_t *standin)
{
  uint64_t leak_us = (uint64_t)standin->settings->leak_ms * US_PER_MS;
  uint64_t now_us = clock_mono_us ();
  uint64_t before_us = now_us - MIN (leak_us, now_us);

  return engine_unobserved_tokens (standin->engine, before_us)
         + kv_untouched_tokens (standin->kv, before_us);
}

static void
inspect_engine (standin_t *standin, JsonObject *object)
{
  JsonArray *streams = json_array_new ();
  entry_lists_t lists = { json_array_new (), json_array_new () };
  engine_load_t load;

  standin_advance (standin);
  load = engine_load (standin->engine);
  engine_each_stream (standin->engine, add_stream, streams);
  kv_each (standin->kv, add_entry, &lists);
  json_object_set_array_member (object, "streams", streams);
  json_object_set_array_member (object, "reservations", lists.reservations);
  json_object_set_array_member (object, "kv", lists.kv);
  json_object_set_int_member (object, "kv_used_tokens",
                              (gint64)load.held_tokens);
  json_object_set_int_member (object, "cache_tokens",
                              (gint64)load.cache_tokens);
  json_object_set_int_member (object, "leaked_tokens",
                              (gint64)leaked_tokens (standin));
  json_object_set_array_member (object, "orders",
                                standin_orders_array (standin));
  json_object_set_array_member (object, "loaded", weights_array (standin));
  json_object_set_string_member (object, "role", standin->role);
  json_object_set_int_member (object, "last_fencing",
                              (gint64)standin->last_fencing);
}

void
standin_inspect (standin_t *standin, struct evhttp_request *request)
{
  JsonObject *object = json_object_new ();

  if (standin->engine != NULL)
    inspect_engine (standin, object);
  else
    json_object_set_object_member (object, "keys",
                                   counts_object (standin->keys));
  json_object_set_object_member (object, "runs", counts_object (standin->runs));
  json_object_set_int_member (object, "double_runs",
                              (gint64)standin->double_runs);
  standin_reply (request, object);
}

void
standin_get_load (standin_t *standin, struct evhttp_request *request)
{
  standin_advance (standin);
  standin_reply (request, load_object (standin));
}

static void
set_hash (JsonObject *object, const char *name, uint64_t hash)
{
  char text[17];

  g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x", hash);
  json_object_set_string_member (object, name, text);
}

static void
add_event (const cache_event_t *event, void *context)
{
  JsonObject *object = json_object_new ();

  json_object_set_int_member (object, "seq", (gint64)event->seq);
  set_hash (object, "prefix_hash", event->prefix_hash);
  set_hash (object, "first_hash", event->first_hash);
  json_object_set_int_member (object, "tokens", event->tokens);
  json_object_set_boolean_member (object, "present", event->present);
  json_array_add_object_element (context, object);
}

void
standin_get_events (standin_t *standin, struct evhttp_request *request)
{
  JsonObject *object = json_object_new ();
  JsonArray *events = json_array_new ();
  uint64_t next;

  standin_advance (standin);
  next = cache_events_visit_since (standin->events,
                                   standin_query_number (request, "since"),
                                   clock_mono_us (), add_event, events);
  json_object_set_int_member (object, "next", (gint64)next);
  json_object_set_array_member (object, "events", events);
  standin_reply (request, object);
}

uint64_t
standin_query_number (struct evhttp_request *request, const char *name)
{
  const char *query
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  struct evkeyvalq values;
  const char *text;
  uint64_t number = 0;

  if (query == NULL || evhttp_parse_query_str (query, &values) != 0)
    return 0;
  text = evhttp_find_header (&values, name);
  if (text != NULL)
    number = strtoull (text, NULL, 10);
  evhttp_clear_headers (&values);
  return number;
}
