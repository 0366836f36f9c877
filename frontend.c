#include "frontend.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <openssl/crypto.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "announcement.h"
#include "base.h"
#include "explain.h"
#include "forward.h"
#include "http.h"
#include "intake.h"
#include "reply.h"

typedef struct
{
  int method;
  const char *prefix;
  frontend_route_cb_t callback;
  void *context;
} route_t;

struct frontend
{
  frontend_options_t options;
  const Lwm__Config *config;
  GArray *routes;
  uint32_t open_replies;
  bool stopping;
};

static void
send_refusal (frontend_t *frontend,
              struct evhttp_request *http,
              error_kind_t kind,
              const char *detail)
{
  dispatch_count_refusal (frontend->options.dispatch, kind);
  http_reply_error (http, kind, RAN_NO, detail, NULL, 0);
}

/** Returns whether new requests are accepted; otherwise refuses this one. */
static bool
check_serving (frontend_t *frontend, struct evhttp_request *http)
{
  if (frontend->stopping)
    send_refusal (frontend, http, ERROR_STOPPING, NULL);
  else if (frontend->config == NULL)
    send_refusal (frontend, http, ERROR_NO_CONFIGURATION, NULL);
  else
    return true;
  return false;
}

static void
on_reply_closed (void *context)
{
  frontend_t *frontend = context;

  frontend->open_replies--;
  if (frontend->open_replies == 0 && frontend->options.idle != NULL)
    frontend->options.idle (frontend->options.context);
}

static reply_t *
open_reply (frontend_t *frontend,
            struct evhttp_request *http,
            bool is_stream,
            uint64_t offset)
{
  reply_options_t options = { .dispatch = frontend->options.dispatch,
                              .http = http,
                              .is_stream = is_stream,
                              .offset = offset,
                              .closed = on_reply_closed,
                              .context = frontend };

  frontend->open_replies++;
  return reply_new (frontend, &options);
}

static void
submit_request (frontend_t *frontend,
                struct evhttp_request *http,
                intake_t *intake)
{
  request_listener_t listener;
  reply_t *reply;

  if (intake->error != ERROR_NONE)
    {
      send_refusal (frontend, http, intake->error, intake->detail);
      return;
    }
  reply = open_reply (frontend, http, intake->is_stream, 0);
  listener = reply_listener (reply);
  reply_start (reply, dispatch_submit (frontend->options.dispatch,
                                       &intake->spec, &listener));
}

static void
serve_completion (struct evhttp_request *http, const char *rest, void *context)
{
  frontend_t *frontend = context;
  void *scratch;
  intake_t intake;

  if (!check_serving (frontend, http))
    return;
  scratch = talloc_new (frontend);
  intake = intake_parse_completion (scratch, http, frontend->config);
  submit_request (frontend, http, &intake);
  g_clear_pointer (&intake.spec.body, json_object_unref);
  talloc_free (scratch);
}

static void
serve_call (struct evhttp_request *http, const char *rest, void *context)
{
  frontend_t *frontend = context;
  void *scratch;
  intake_t intake;

  if (!check_serving (frontend, http))
    return;
  scratch = talloc_new (frontend);
  intake = intake_parse_call (scratch, http, rest, frontend->config);
  submit_request (frontend, http, &intake);
  talloc_free (scratch);
}

static JsonNode *
ok_node (void)
{
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  JsonObject *object = json_object_new ();

  json_object_set_boolean_member (object, "ok", TRUE);
  json_node_take_object (node, object);
  return node;
}

static void
accept_announcement (frontend_t *frontend,
                     struct evhttp_request *http,
                     const registry_announcement_t *announcement)
{
  const frontend_options_t *options = &frontend->options;

  if (!registry_put_announcement (options->registry, announcement,
                                  clock_mono_ms ()))
    {
      http_reply_error (http, ERROR_STALE_NUMBER, RAN_NO,
                        "a higher incarnation is known", NULL, 0);
      return;
    }
  if (options->announced != NULL)
    options->announced (announcement, options->context);
  dispatch_wake (options->dispatch);
  http_reply_json (http, HTTP_OK, ok_node ());
}

/**
 * Returns whether an announcement carries the secret, or none is required.
 * The comparison takes constant time, which reveals nothing about the content
 * of the secret.
 */
static bool
has_valid_secret (const frontend_t *frontend, JsonObject *object)
{
  const char *secret = frontend->options.announce_secret;
  const char *given = http_json_text_member (object, "secret", "");

  if (secret == NULL || secret[0] == '\0')
    return true;
  return strlen (given) == strlen (secret)
         && CRYPTO_memcmp (given, secret, strlen (secret)) == 0;
}

static void
serve_announce (struct evhttp_request *http, const char *rest, void *context)
{
  frontend_t *frontend = context;
  registry_announcement_t announcement;
  char *parse_error = NULL;
  JsonObject *object = http_body_object (http, &parse_error);
  void *scratch = talloc_new (frontend);
  const char *error = parse_error;

  if (object != NULL)
    error = announcement_read (scratch, object, &announcement);
  if (error != NULL)
    send_refusal (frontend, http, ERROR_BAD_REQUEST, error);
  else if (!has_valid_secret (frontend, object))
    send_refusal (frontend, http, ERROR_UNAUTHORIZED,
                  "the announcement does not carry the deployment's secret");
  else
    accept_announcement (frontend, http, &announcement);
  if (object != NULL)
    json_object_unref (object);
  talloc_free (scratch);
  g_free (parse_error);
}

/** Returns a number from the query string, or @a fallback. */
static uint64_t
get_query_number (struct evhttp_request *http,
                  const char *name,
                  uint64_t fallback)
{
  struct evkeyvalq query = { 0 };
  const char *text
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (http));
  const char *value = NULL;
  uint64_t number = fallback;

  if (text != NULL && evhttp_parse_query_str (text, &query) == 0)
    value = evhttp_find_header (&query, name);
  if (value != NULL)
    number = strtoull (value, NULL, 10);
  evhttp_clear_headers (&query);
  return number;
}

/**
 * Returns the instance name in a request id (INSTANCE-INCARNATION-SEQUENCE), or
 * "". The caller frees it with g_free().
 */
static char *
instance_from_id (const char *id)
{
  const char *end = strrchr (id, '-');

  while (end != NULL && end > id && *--end != '-')
    ;
  return end != NULL ? g_strndup (id, (gsize)(end - id)) : g_strdup ("");
}

/**
 * Forwards a GET request to the instance that @a id names.
 * @return false, with nothing done, when that is this instance, its address is
 *         not known or the request was already forwarded
 */
static bool
forward_to_owner (frontend_t *frontend,
                  struct evhttp_request *http,
                  const char *id)
{
  const frontend_options_t *options = &frontend->options;
  char *instance = instance_from_id (id);
  forward_options_t forward = { .base = options->base,
                                .http = http,
                                .closed = on_reply_closed,
                                .context = frontend };

  if (options->address_of != NULL && !forward_is_forwarded (http))
    forward.address = options->address_of (instance, options->context);
  g_free (instance);
  if (forward.address == NULL)
    return false;
  frontend->open_replies++;
  forward_start (frontend, &forward);
  return true;
}

static void
serve_fetch (struct evhttp_request *http, const char *rest, void *context)
{
  frontend_t *frontend = context;
  dispatch_t *dispatch = frontend->options.dispatch;
  request_t *request = dispatch_find (dispatch, rest);
  uint64_t offset = get_query_number (http, "offset", 0);
  bool is_stream = get_query_number (http, "stream", 1) != 0;
  request_listener_t listener;
  reply_t *reply;

  if (request == NULL && forward_to_owner (frontend, http, rest))
    return;
  /* An unknown request may or may not have run. */
  if (request == NULL || request->text_dropped)
    {
      http_reply_error (http, ERROR_NOT_FOUND, RAN_UNKNOWN,
                        "this instance keeps no response for the request", rest,
                        0);
      return;
    }
  if (offset > request_token_count (request))
    {
      http_reply_error (http, ERROR_BAD_REQUEST,
                        dispatch_run_state (dispatch, request),
                        "'offset' is past the end of the response", rest, 0);
      return;
    }
  reply = open_reply (frontend, http,
                      is_stream && request->kind == REQUEST_COMPLETION, offset);
  listener = reply_listener (reply);
  dispatch_attach (dispatch, request, &listener);
  reply_start (reply, request);
}

static void
serve_explain (struct evhttp_request *http, const char *rest, void *context)
{
  frontend_t *frontend = context;
  const dispatch_t *dispatch = frontend->options.dispatch;
  const request_t *request = dispatch_find (dispatch, rest);

  if (request == NULL && forward_to_owner (frontend, http, rest))
    return;
  if (request == NULL)
    http_reply_error (http, ERROR_NOT_FOUND, RAN_UNKNOWN,
                      "this instance has no record of the request", rest, 0);
  else
    http_reply_json (
        http, HTTP_OK,
        explain_to_json (request, dispatch_run_state (dispatch, request)));
}

static int
free_frontend (frontend_t *frontend)
{
  g_array_free (frontend->routes, TRUE);
  return 0;
}

frontend_t *
frontend_new (void *parent, const frontend_options_t *options)
{
  frontend_t *frontend = talloc_zero (parent, frontend_t);

  frontend->options = *options;
  frontend->routes = g_array_new (FALSE, FALSE, sizeof (route_t));
  talloc_set_destructor (frontend, free_frontend);
  frontend_add_route (frontend, EVHTTP_REQ_POST, "/v1/completions",
                      serve_completion, frontend);
  frontend_add_route (frontend, EVHTTP_REQ_POST, "/v1/call/", serve_call,
                      frontend);
  frontend_add_route (frontend, EVHTTP_REQ_POST, "/v1/announce", serve_announce,
                      frontend);
  frontend_add_route (frontend, EVHTTP_REQ_GET, "/v1/requests/", serve_fetch,
                      frontend);
  frontend_add_route (frontend, EVHTTP_REQ_GET, "/v1/explain/", serve_explain,
                      frontend);
  return frontend;
}

void
frontend_set_config (frontend_t *frontend, const Lwm__Config *config)
{
  frontend->config = config;
}

void
frontend_set_stopping (frontend_t *frontend, bool stopping)
{
  frontend->stopping = stopping;
}

uint32_t
frontend_open_replies (const frontend_t *frontend)
{
  return frontend->open_replies;
}

void
frontend_add_route (frontend_t *frontend,
                    int method,
                    const char *prefix,
                    frontend_route_cb_t callback,
                    void *context)
{
  route_t route = {
    .method = method, .prefix = prefix, .callback = callback, .context = context
  };

  g_array_append_val (frontend->routes, route);
}

/* A prefix that ends in '/' must be followed by more of the path; any other
 * prefix is a whole path. */
static bool
route_matches (const route_t *route, int method, const char *path)
{
  size_t length = strlen (route->prefix);

  if ((route->method & method) == 0)
    return false;
  if (route->prefix[length - 1] == '/')
    return strncmp (path, route->prefix, length) == 0 && path[length] != '\0';
  return strcmp (path, route->prefix) == 0;
}

void
frontend_handle (struct evhttp_request *http, void *context)
{
  frontend_t *frontend = context;
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (http));
  int method = evhttp_request_get_command (http);
  const route_t *best = NULL;

  for (guint i = 0; path != NULL && i < frontend->routes->len; i++)
    {
      const route_t *route = &g_array_index (frontend->routes, route_t, i);

      if (route_matches (route, method, path)
          && (best == NULL || strlen (route->prefix) > strlen (best->prefix)))
        best = route;
    }
  if (best == NULL)
    send_refusal (frontend, http, ERROR_NOT_FOUND, NULL);
  else
    best->callback (http, path + strlen (best->prefix), best->context);
}
