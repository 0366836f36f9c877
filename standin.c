#include "standin.h"

#include <string.h>
#include <talloc.h>

#include "base.h"
#include "http.h"
#include "standin-private.h"
#define LOG_PART "upstream"
#include "logging.h"

#define STATUS_CONFLICT  409
#define STATUS_TOO_LARGE 413

#define US_PER_MS 1000
#define US_PER_S  1000000

/* Shorter engine steps are grouped into one wake-up of the event loop. */
#define MIN_WAKE_US 1000

/* Longest time that a leaving stand-in waits for callers to fetch finished
 * streams. */
#define LEAVE_TIMEOUT_US (5 * US_PER_S)
#define LEAVE_CHECK_MS   50

static int
free_standin (standin_t *standin)
{
  if (standin->step != NULL)
    event_free (standin->step);
  if (standin->leave != NULL)
    event_free (standin->leave);
  standin_free_orders (standin);
  g_hash_table_destroy (standin->runs);
  g_hash_table_destroy (standin->keys);
  return 0;
}

static void
add_cache_event (uint64_t first_hash,
                 uint64_t prefix_hash,
                 uint32_t tokens,
                 bool present,
                 void *context)
{
  standin_t *standin = context;
  cache_event_t event = { .first_hash = first_hash,
                          .prefix_hash = prefix_hash,
                          .tokens = tokens,
                          .present = present,
                          .at_us = clock_mono_us () };

  cache_events_add (standin->events, &event);
}

static void
create_engine (standin_t *standin)
{
  const Lwm__UpstreamSettings *settings = standin->settings;
  engine_options_t options
      = { .kv_tokens = settings->kv_tokens,
          .cache_tokens = settings->cache_tokens,
          .prefill_tokens_s = settings->prefill_tokens_s,
          .step_us = settings->step_us,
          .step_stream_us = settings->step_stream_us,
          .max_batch = settings->max_batch,
          .time_scale_percent = settings->time_scale_percent,
          .on_progress = standin_stream_progress,
          .on_cache_event = add_cache_event,
          .context = standin };
  cache_events_options_t events
      = { .lag_us = (uint64_t)settings->event_lag_ms * US_PER_MS,
          .loss_percent = settings->event_loss_percent,
          .seed = settings->seed };

  standin->events = cache_events_new (standin, &events);
  standin->engine = engine_new (standin, &options);
  standin->kv = kv_new (standin, standin->engine);
  standin->role = talloc_strdup (standin, settings->role);
  standin_add_weights (standin, settings->model, "", settings->version);
}

standin_t *
standin_new (void *parent, const Lwm__UpstreamSettings *settings)
{
  standin_t *standin = talloc_zero (parent, standin_t);

  standin->settings = settings;
  standin->incarnation = clock_wall_ms ();
  standin->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  standin->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  standin->weights = g_ptr_array_new ();
  standin->orders = g_ptr_array_new ();
  standin->misbehave = misbehave_new (standin);
  if (strcmp (settings->kind, "engine") == 0)
    create_engine (standin);
  talloc_set_destructor (standin, free_standin);
  return standin;
}

uint32_t
standin_count_run (GHashTable *runs, const char *id)
{
  uint32_t count = GPOINTER_TO_UINT (g_hash_table_lookup (runs, id)) + 1;

  g_hash_table_insert (runs, g_strdup (id), GUINT_TO_POINTER (count));
  return count;
}

void
standin_advance (standin_t *standin)
{
  uint64_t now_us = clock_mono_us ();
  uint64_t next_us;
  uint64_t wait_us;
  struct timeval wait;

  engine_advance (standin->engine, now_us);
  kv_expire (standin->kv, now_us);
  standin_sample_load (standin, now_us);
  next_us = engine_next_us (standin->engine);
  if (next_us == 0)
    return;
  wait_us = next_us > now_us + MIN_WAKE_US ? next_us - now_us : MIN_WAKE_US;
  wait = (struct timeval){ .tv_sec = (time_t)(wait_us / US_PER_S),
                           .tv_usec = (suseconds_t)(wait_us % US_PER_S) };
  event_add (standin->step, &wait);
}

static void
on_step (evutil_socket_t fd, short what, void *arg)
{
  standin_advance (arg);
}

void
standin_reply (struct evhttp_request *request, JsonObject *object)
{
  JsonNode *node = json_node_init_object (json_node_alloc (), object);

  json_object_unref (object);
  http_reply_json (request, HTTP_OK, node);
}

void
standin_refuse (struct evhttp_request *request,
                int status,
                const char *kind,
                ran_t ran)
{
  JsonObject *error = json_object_new ();
  JsonObject *answer = json_object_new ();
  JsonNode *node;

  json_object_set_string_member (error, "kind", kind);
  if (ran != RAN_UNKNOWN)
    json_object_set_boolean_member (error, "not_run", ran == RAN_NO);
  json_object_set_object_member (answer, "error", error);
  node = json_node_init_object (json_node_alloc (), answer);
  json_object_unref (answer);
  http_reply_json (request, status, node);
}

void
standin_refuse_bad (struct evhttp_request *request, const char *message)
{
  http_reply_error (request, ERROR_BAD_REQUEST, RAN_NO, message, NULL, 0);
}

void
standin_refuse_result (struct evhttp_request *request, engine_result_t result)
{
  if (result == ENGINE_DUPLICATE)
    standin_refuse (request, STATUS_CONFLICT, "duplicate", RAN_YES);
  else if (result == ENGINE_TOO_LARGE)
    standin_refuse (request, STATUS_TOO_LARGE, "too_large", RAN_NO);
  else if (result == ENGINE_UNKNOWN)
    standin_refuse (request, HTTP_NOTFOUND, "not_found", RAN_NO);
  else
    standin_refuse (request, HTTP_SERVUNAVAIL, "busy", RAN_NO);
}

struct timeval
standin_scaled (const standin_t *standin, uint64_t ms)
{
  uint64_t us = ms * US_PER_MS * standin->settings->time_scale_percent / 100;

  return (struct timeval){ .tv_sec = (time_t)(us / US_PER_S),
                           .tv_usec = (suseconds_t)(us % US_PER_S) };
}

void
standin_start (standin_t *standin, daemon_t *daemon)
{
  const Lwm__UpstreamSettings *settings = standin->settings;
  announce_options_t announce = { .base = daemon_base (daemon),
                                  .targets = settings->announce_to,
                                  .target_count = settings->n_announce_to,
                                  .interval_ms = settings->announce_ms,
                                  .body = standin_announcement,
                                  .context = standin };

  standin->daemon = daemon;
  standin->base = daemon_base (daemon);
  if (standin->engine != NULL)
    standin->step = event_new (standin->base, -1, 0, on_step, standin);
  standin->announce = announce_new (standin, &announce);
}

/** Returns the part of @a path after @a prefix, or NULL without a match. */
static const char *
skip_path_prefix (const char *path, const char *prefix)
{
  size_t length = strlen (prefix);

  return strncmp (path, prefix, length) == 0 ? path + length : NULL;
}

typedef void (*post_t) (standin_t *standin,
                        struct evhttp_request *request,
                        JsonObject *body);
typedef void (*item_t) (standin_t *standin,
                        struct evhttp_request *request,
                        const char *id);
typedef void (*get_t) (standin_t *standin, struct evhttp_request *request);

/** A POST route whose body is a JSON object. */
typedef struct
{
  const char *path;
  post_t serve;
  bool for_service; /**< whether plain services have this route too */
} post_route_t;

/** A route of an engine whose path ends with an id. */
typedef struct
{
  enum evhttp_cmd_type method;
  const char *prefix;
  item_t serve;
} item_route_t;

/** A GET route without an id. */
typedef struct
{
  const char *path;
  get_t serve;
  bool for_service; /**< whether plain services have this route too */
} get_route_t;

static const post_route_t post_routes[] = {
  { "/v1/streams", standin_post_stream, false },
  { "/v1/reservations", standin_reserve, false },
  { "/v1/kv/export", standin_export, false },
  { "/v1/kv/import", standin_import, false },
  { "/v1/orders", standin_order, false },
  { "/v1/misbehave", standin_misbehave, true },
};

static const item_route_t item_routes[] = {
  { EVHTTP_REQ_GET, "/v1/streams/", standin_resume_stream },
  { EVHTTP_REQ_DELETE, "/v1/streams/", standin_delete_stream },
  { EVHTTP_REQ_DELETE, "/v1/reservations/", standin_release },
  { EVHTTP_REQ_GET, "/v1/kv/", standin_get_kv },
  { EVHTTP_REQ_DELETE, "/v1/kv/", standin_release },
};

static const get_route_t get_routes[] = {
  { "/v1/inspect", standin_inspect, true },
  { "/v1/load", standin_get_load, false },
  { "/v1/events", standin_get_events, false },
};

/* The serve_ functions return whether the route exists. */

static bool
serve_get (standin_t *standin, struct evhttp_request *request, const char *path)
{
  for (size_t i = 0; i < G_N_ELEMENTS (get_routes); i++)
    {
      const get_route_t *route = &get_routes[i];

      if (strcmp (path, route->path) != 0)
        continue;
      if (standin->engine == NULL && !route->for_service)
        continue;
      route->serve (standin, request);
      return true;
    }
  return false;
}

static bool
serve_item (standin_t *standin,
            struct evhttp_request *request,
            enum evhttp_cmd_type method,
            const char *path)
{
  for (size_t i = 0; i < G_N_ELEMENTS (item_routes); i++)
    {
      const item_route_t *route = &item_routes[i];
      const char *id = skip_path_prefix (path, route->prefix);

      if (standin->engine == NULL || method != route->method || id == NULL)
        continue;
      route->serve (standin, request, id);
      return true;
    }
  return false;
}

static bool
serve_post (standin_t *standin,
            struct evhttp_request *request,
            const char *path)
{
  const post_route_t *route = NULL;
  JsonObject *body;
  char *why = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (post_routes); i++)
    if (strcmp (path, post_routes[i].path) == 0
        && (standin->engine != NULL || post_routes[i].for_service))
      route = &post_routes[i];
  if (route == NULL)
    return false;
  body = http_body_object (request, &why);
  if (body != NULL)
    route->serve (standin, request, body);
  else
    standin_refuse_bad (request, why);
  g_clear_pointer (&body, json_object_unref);
  g_free (why);
  return true;
}

static bool
serve_call (standin_t *standin,
            struct evhttp_request *request,
            const char *path)
{
  const char *call = skip_path_prefix (path, "/call/");

  if (standin->engine != NULL || call == NULL)
    return false;
  standin_call (standin, request, call);
  return true;
}

void
standin_serve (struct evhttp_request *request, void *context)
{
  standin_t *standin = context;
  enum evhttp_cmd_type method = evhttp_request_get_command (request);
  const char *raw
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  char *path = evhttp_uridecode (raw != NULL ? raw : "", 0, NULL);
  bool served;

  if (method == EVHTTP_REQ_POST)
    served = serve_post (standin, request, path)
             || serve_call (standin, request, path);
  else
    served = (method == EVHTTP_REQ_GET && serve_get (standin, request, path))
             || serve_item (standin, request, method, path);
  if (!served)
    standin_refuse (request, HTTP_NOTFOUND, "no_route", RAN_NO);
  free (path);
}

/* Returns whether a leaving stand-in can exit. Streams that no caller fetches
 * delay the exit by at most LEAVE_TIMEOUT_US. */
static bool
is_finished (standin_t *standin)
{
  bool is_waiting
      = clock_mono_us () - standin->leaving_since_us < LEAVE_TIMEOUT_US;
  engine_load_t load = { 0 };

  if (!announce_is_settled (standin->announce) || standin->calls > 0)
    return false;
  if (standin->engine != NULL)
    load = engine_load (standin->engine);
  return load.running == 0 && (load.held_tokens == 0 || !is_waiting);
}

static void
on_leave_check (evutil_socket_t fd, short what, void *arg)
{
  standin_t *standin = arg;

  if (!is_finished (standin))
    return;
  event_del (standin->leave);
  log_info ("All work is finished.");
  daemon_exit (standin->daemon, EXIT_CODE_OK);
}

void
standin_stop (void *context)
{
  standin_t *standin = context;
  struct timeval interval = { .tv_usec = LEAVE_CHECK_MS * US_PER_MS };

  if (standin->leaving)
    return;
  standin->leaving = true;
  standin->leaving_since_us = clock_mono_us ();
  announce_now (standin->announce);
  standin->leave
      = event_new (standin->base, -1, EV_PERSIST, on_leave_check, standin);
  event_add (standin->leave, &interval);
}
