/*
 * Runs the gateway between callers and scripted upstreams on one event loop:
 * which requests are forwarded, retried, resumed, aborted or never repeated.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "gateway.h"
#include "lib-scripted.h"
#include "logging.h"

#define WAIT_TIMEOUT_MS 20000
#define UPSTREAMS       2

typedef struct
{
  struct event_base *base;
  gateway_t *gateway;
  metrics_t *metrics;
  directory_t *directory;
  scripted_t upstreams[UPSTREAMS];
  char listen[32];
  /* The current caller. */
  struct bufferevent *caller;
  GString *answer;
  bool caller_closed;
} fixture_t;

static void
read_request_info (const http_fields_t *fields, gateway_request_info_t *terms)
{
  const char *id = http_fields_find (fields, "X-Id");
  const char *last = http_fields_find (fields, "Last-Event-Id");

  terms->id = id != NULL ? id : "";
  terms->key = http_fields_find (fields, "X-Key");
  terms->has_deadline = true;
  terms->deadline_ms = 8000;
  terms->has_last_event = last != NULL;
  terms->last_event = last != NULL ? strtoull (last, NULL, 10) : 0;
}

static void
write_upstream_fields (void *parent,
                       const http_fields_t *caller,
                       const gateway_upstream_info_t *send,
                       http_fields_t *out)
{
  char number[24];

  for (size_t i = 0; i < caller->count; i++)
    if (!http_field_is_hop_by_hop (caller, caller->items[i].name)
        && strcmp (caller->items[i].name, "X-Key") != 0)
      http_fields_add (parent, out, caller->items[i].name,
                       caller->items[i].value);
  http_fields_add (parent, out, "X-Upstream", send->upstream_id);
  if (send->customer != NULL)
    http_fields_add (parent, out, "X-Customer", send->customer);
  if (!send->has_last_event)
    return;
  snprintf (number, sizeof number, "%ju", (uintmax_t)send->last_event);
  http_fields_add (parent, out, "X-After", number);
}

static void
read_answer_info (uint32_t status,
                  const http_fields_t *fields,
                  gateway_answer_info_t *answer)
{
  answer->is_signed = http_fields_find (fields, "X-Signed") != NULL;
  answer->has_not_run = http_fields_find (fields, "X-Not-Run") != NULL;
  answer->request_id = http_fields_find (fields, "X-Id");
}

static const gateway_protocol_t protocol
    = { .read_request_info = read_request_info,
        .write_upstream_fields = write_upstream_fields,
        .read_answer_info = read_answer_info };

static gateway_route_t
make_route (const char *prefix, route_kind_t kind, bool resumable)
{
  static route_target_t target = { "s", 1 };

  return (gateway_route_t){ .name = prefix,
                            .host = "h",
                            .path_prefix = prefix,
                            .kind = kind,
                            .is_resumable = resumable,
                            .is_public = strcmp (prefix, "/keyed/") != 0,
                            .timeout_ms = 8000,
                            .target_ms = 500,
                            .gap_target_ms = 200,
                            .attempts = 2,
                            .targets = &target,
                            .target_count = 1 };
}

static void
configure (fixture_t *fixture)
{
  static const char *keys[] = { "secret" };
  gateway_config_t *config = gateway_config_new (NULL);
  gateway_route_t routes[] = { make_route ("/safe/", ROUTE_SAFE, false),
                               make_route ("/unsafe/", ROUTE_UNSAFE, false),
                               make_route ("/stream/", ROUTE_STREAM, true),
                               make_route ("/once/", ROUTE_STREAM, false),
                               make_route ("/keyed/", ROUTE_SAFE, false) };

  config->number = 1;
  config->routes = talloc_memdup (config, routes, sizeof routes);
  config->route_count = G_N_ELEMENTS (routes);
  config->services = talloc_zero (config, gateway_service_t);
  config->services[0].name = "s";
  config->service_count = 1;
  config->customers = talloc_zero (config, gateway_customer_t);
  config->customers[0]
      = (gateway_customer_t){ .name = "one", .keys = keys, .key_count = 1 };
  config->customer_count = 1;
  config->has_customers = true;
  g_assert_null (gateway_config_finalize (config));
  gateway_set_config (fixture->gateway, config);
}

static void
announce_upstreams (fixture_t *fixture)
{
  for (int i = 0; i < UPSTREAMS; i++)
    {
      directory_statement_t said = { .id = i == 0 ? "u0" : "u1",
                                     .address = fixture->upstreams[i].address,
                                     /* Calls prefer the local zone. */
                                     .zone = i == 0 ? "z" : "y",
                                     .service = "s",
                                     .sequence = 1,
                                     .slots = 4 };

      directory_put (fixture->directory, &said, clock_mono_ms ());
    }
  gateway_set_directory (fixture->gateway, fixture->directory);
}

static fixture_t *
fixture_new (void)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  char share[32];
  gateway_options_t options = { .listen = fixture->listen,
                                .zone = "z",
                                .share_listen = share,
                                .protocol = &protocol,
                                .retry_percent = 20,
                                .spare_retries = 3,
                                .zone_cost_ms = 10 };

  fixture->base = options.base = event_base_new ();
  fixture->metrics = options.metrics = metrics_new (NULL);
  fixture->directory = directory_new (NULL);
  scripted_find_free_address (fixture->base, fixture->listen);
  scripted_find_free_address (fixture->base, share);
  fixture->gateway = gateway_new (NULL, &options);
  g_assert_nonnull (fixture->gateway);
  for (int i = 0; i < UPSTREAMS; i++)
    scripted_start (&fixture->upstreams[i], fixture->base);
  fixture->answer = g_string_new (NULL);
  return fixture;
}

static void
fixture_free (fixture_t *fixture)
{
  if (fixture->caller != NULL)
    bufferevent_free (fixture->caller);
  talloc_free (fixture->gateway);
  talloc_free (fixture->metrics);
  talloc_free (fixture->directory);
  for (int i = 0; i < UPSTREAMS; i++)
    scripted_stop (&fixture->upstreams[i]);
  /* Lets the upstreams see that the gateway closed its connections. */
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
  g_string_free (fixture->answer, TRUE);
  event_base_free (fixture->base);
  g_free (fixture);
}

static void
on_answer_bytes (struct bufferevent *stream, void *context)
{
  fixture_t *fixture = context;
  struct evbuffer *in = bufferevent_get_input (stream);
  size_t length = evbuffer_get_length (in);

  g_string_append_len (fixture->answer, (char *)evbuffer_pullup (in, -1),
                       (gssize)length);
  evbuffer_drain (in, length);
}

static void
on_caller_event (struct bufferevent *stream, short what, void *context)
{
  if ((what & BEV_EVENT_CONNECTED) == 0)
    ((fixture_t *)context)->caller_closed = true;
}

static void
send_call (fixture_t *fixture, const char *request)
{
  struct sockaddr_in address;
  int size = sizeof address;

  g_string_truncate (fixture->answer, 0);
  if (fixture->caller == NULL || fixture->caller_closed)
    {
      if (fixture->caller != NULL)
        bufferevent_free (fixture->caller);
      fixture->caller_closed = false;
      evutil_parse_sockaddr_port (fixture->listen, (struct sockaddr *)&address,
                                  &size);
      fixture->caller
          = bufferevent_socket_new (fixture->base, -1, BEV_OPT_CLOSE_ON_FREE);
      bufferevent_setcb (fixture->caller, on_answer_bytes, NULL,
                         on_caller_event, fixture);
      bufferevent_enable (fixture->caller, EV_READ | EV_WRITE);
      bufferevent_socket_connect (fixture->caller, (struct sockaddr *)&address,
                                  size);
    }
  scripted_write (fixture->caller, request);
}

#define WAIT(condition)                                                        \
  do                                                                           \
    {                                                                          \
      uint64_t end_ms = clock_mono_ms () + WAIT_TIMEOUT_MS;                    \
      while (!(condition) && clock_mono_ms () < end_ms)                        \
        {                                                                      \
          event_base_loop (fixture->base, EVLOOP_NONBLOCK);                    \
          g_usleep (500);                                                      \
        }                                                                      \
      g_assert_true (condition);                                               \
    }                                                                          \
  while (0)

static bool
has_text (const fixture_t *fixture, const char *part)
{
  return strstr (fixture->answer->str, part) != NULL;
}

static bool
metrics_have (const fixture_t *fixture, const char *text)
{
  struct evbuffer *out = evbuffer_new ();
  bool have;

  metrics_write (fixture->metrics, out);
  evbuffer_add (out, "", 1);
  have = strstr ((char *)evbuffer_pullup (out, -1), text) != NULL;
  evbuffer_free (out);
  return have;
}

static uint32_t
sum_requests (const fixture_t *fixture)
{
  return fixture->upstreams[0].requests + fixture->upstreams[1].requests;
}

static fixture_t *
fixture_ready (act_t first, act_t second)
{
  fixture_t *fixture = fixture_new ();

  configure (fixture);
  announce_upstreams (fixture);
  fixture->upstreams[0].act = first;
  fixture->upstreams[1].act = second;
  return fixture;
}

#define POST(path)                                                             \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Own: kept\r\n"           \
  "Content-Length: 5\r\n\r\nhello"
#define GET(path) "GET " path " HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n\r\n"

static void
test_relay (void)
{
  fixture_t *fixture = fixture_ready (ACT_ANSWER, ACT_ANSWER);
  const char *sent;

  send_call (fixture, POST ("/unsafe/a?b=c"));
  WAIT (has_text (fixture, "body"));
  sent = fixture->upstreams[0].last->str;
  g_assert_true (g_str_has_prefix (sent, "POST /unsafe/a?b=c HTTP/1.1\r\n"));
  g_assert_nonnull (strstr (sent, "X-Own: kept\r\n"));
  g_assert_nonnull (strstr (sent, "X-Upstream: u0\r\n"));
  g_assert_true (g_str_has_suffix (sent, "\r\n\r\nhello"));
  g_assert_true (has_text (fixture, "HTTP/1.1 200 OK\r\n"));
  g_assert_true (has_text (fixture, "X-Kept: v\r\n"));
  g_assert_true (has_text (fixture, "Content-Length: 4\r\n"));
  /* The same connection serves the next request. */
  send_call (fixture, GET ("/safe/"));
  WAIT (has_text (fixture, "body"));
  g_assert_false (fixture->caller_closed);
  fixture_free (fixture);
}

static void
test_refusals (void)
{
  fixture_t *fixture = fixture_new ();

  send_call (fixture, GET ("/safe/"));
  WAIT (has_text (fixture, "\r\n\r\n"));
  g_assert_true (has_text (fixture, "HTTP/1.1 503"));
  g_assert_true (has_text (fixture, "Retry-After:"));
  configure (fixture);
  send_call (fixture, GET ("/safe/"));
  WAIT (has_text (fixture, "HTTP/1.1 503"));
  announce_upstreams (fixture);
  send_call (fixture, GET ("/nowhere/"));
  WAIT (has_text (fixture, "HTTP/1.1 404"));
  send_call (fixture, GET ("/keyed/"));
  WAIT (has_text (fixture, "HTTP/1.1 401"));
  g_assert_cmpuint (sum_requests (fixture), ==, 0);
  send_call (fixture, "GET /keyed/ HTTP/1.1\r\nHost: h\r\nX-Key: secret\r\n"
                      "X-Id: r1\r\n\r\n");
  WAIT (has_text (fixture, "body"));
  g_assert_nonnull (
      strstr (fixture->upstreams[0].last->str, "X-Customer: one\r\n"));
  g_assert_null (strstr (fixture->upstreams[0].last->str, "secret"));
  fixture_free (fixture);
}

/** A request to a newly started instance waits until it can be served. */
static void
test_early_request_waits (void)
{
  fixture_t *fixture = fixture_new ();

  fixture->upstreams[0].act = fixture->upstreams[1].act = ACT_ANSWER;
  send_call (fixture, GET ("/safe/"));
  WAIT (gateway_open_requests (fixture->gateway) == 1);
  configure (fixture);
  g_assert_cmpuint (fixture->answer->len, ==, 0);
  announce_upstreams (fixture);
  WAIT (has_text (fixture, "body"));
  g_assert_true (has_text (fixture, "HTTP/1.1 200"));
  fixture_free (fixture);
}

/** After a restart of the control instances only few upstreams are known at
 * first: the waiting requests must not all be forwarded to these. */
static void
test_early_few_upstreams (void)
{
  fixture_t *fixture = fixture_new ();
  directory_statement_t said = { .id = "u1",
                                 .address = fixture->upstreams[1].address,
                                 .zone = "z",
                                 .service = "s",
                                 .sequence = 1,
                                 .slots = 4 };

  fixture->upstreams[0].act = fixture->upstreams[1].act = ACT_ANSWER;
  send_call (fixture, GET ("/safe/"));
  WAIT (gateway_open_requests (fixture->gateway) == 1);
  for (int i = 0; i < 2; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "before-%d", i);
      said.id = id;
      said.state = DIRECTORY_SILENT;
      directory_put (fixture->directory, &said, clock_mono_ms ());
    }
  said.id = "u1";
  said.state = DIRECTORY_READY;
  directory_put (fixture->directory, &said, clock_mono_ms ());
  gateway_set_directory (fixture->gateway, fixture->directory);
  configure (fixture);
  /* The other upstream, in the local zone, is now announced and takes it. */
  announce_upstreams (fixture);
  WAIT (has_text (fixture, "body"));
  g_assert_cmpuint (fixture->upstreams[1].requests, ==, 0);
  /* Once for the configuration and once for upstreams, not per announcement. */
  g_assert_true (metrics_have (fixture, "lwm_gateway_early_total 2\n"));
  fixture_free (fixture);
}

/** A waiting request whose caller disconnects is dropped. */
static void
test_waiting_caller_disconnects (void)
{
  fixture_t *fixture = fixture_new ();

  send_call (fixture, GET ("/safe/"));
  WAIT (gateway_open_requests (fixture->gateway) == 1);
  bufferevent_free (fixture->caller);
  fixture->caller = NULL;
  WAIT (gateway_open_requests (fixture->gateway) == 0);
  configure (fixture);
  announce_upstreams (fixture);
  send_call (fixture, GET ("/safe/"));
  WAIT (has_text (fixture, "body"));
  g_assert_cmpuint (sum_requests (fixture), ==, 1);
  fixture_free (fixture);
}

/** A safe request is retried on another upstream after any failure. */
static void
test_safe_request_is_retried (void)
{
  static const act_t acts[]
      = { ACT_CLOSE, ACT_NOT_RUN, ACT_FAIL, ACT_FOREIGN, ACT_NO_ANSWER };

  for (size_t i = 0; i < G_N_ELEMENTS (acts); i++)
    {
      fixture_t *fixture = fixture_ready (acts[i], ACT_ANSWER);

      send_call (fixture, GET ("/safe/"));
      WAIT (has_text (fixture, "body"));
      g_assert_true (has_text (fixture, "HTTP/1.1 200"));
      g_assert_cmpuint (fixture->upstreams[0].requests, ==, 1);
      g_assert_cmpuint (fixture->upstreams[1].requests, ==, 1);
      fixture_free (fixture);
    }
}

/** An unsafe request is not retried once it may have run. */
static void
test_unsafe_request_runs_once (void)
{
  static const struct
  {
    act_t act;
    const char *status;
    uint32_t requests;
  } cases[] = { { ACT_CLOSE, "HTTP/1.1 502", 1 },
                { ACT_FAIL, "HTTP/1.1 500 Sorry", 1 },
                { ACT_FOREIGN, "HTTP/1.1 502", 1 },
                { ACT_NOT_RUN, "HTTP/1.1 200", 2 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t *fixture = fixture_ready (cases[i].act, ACT_ANSWER);

      send_call (fixture, POST ("/unsafe/"));
      WAIT (has_text (fixture, "\r\n\r\n"));
      g_assert_true (has_text (fixture, cases[i].status));
      g_assert_cmpuint (sum_requests (fixture), ==, cases[i].requests);
      fixture_free (fixture);
    }
}

/** 503 guarantees that the request has not run; 502 guarantees nothing. */
static void
test_status_503_means_not_run (void)
{
  fixture_t *fixture = fixture_ready (ACT_NOT_RUN, ACT_NOT_RUN);

  send_call (fixture, POST ("/unsafe/"));
  WAIT (has_text (fixture, "\r\n\r\n"));
  g_assert_true (has_text (fixture, "HTTP/1.1 503"));
  fixture_free (fixture);
  fixture = fixture_ready (ACT_CLOSE, ACT_NOT_RUN);
  send_call (fixture, GET ("/safe/"));
  WAIT (has_text (fixture, "\r\n\r\n"));
  g_assert_true (has_text (fixture, "HTTP/1.1 502"));
  fixture_free (fixture);
}

/** Bytes that follow a complete answer are discarded. */
static void
test_extra_bytes (void)
{
  fixture_t *fixture = fixture_ready (ACT_EXTRA, ACT_ANSWER);

  send_call (fixture, GET ("/safe/"));
  WAIT (has_text (fixture, "body"));
  fixture->upstreams[0].act = ACT_ANSWER;
  send_call (fixture, GET ("/safe/"));
  WAIT (has_text (fixture, "body"));
  g_assert_false (has_text (fixture, "extra"));
  fixture_free (fixture);
}

/** A request that can never be served does not wait for upstreams. */
static void
test_early_refusals (void)
{
  fixture_t *fixture = fixture_new ();

  configure (fixture);
  send_call (fixture, GET ("/nowhere/"));
  WAIT (has_text (fixture, "HTTP/1.1 404"));
  send_call (fixture, GET ("/keyed/"));
  WAIT (has_text (fixture, "HTTP/1.1 401"));
  g_assert_true (metrics_have (fixture, "lwm_gateway_early_total 0\n"));
  fixture_free (fixture);
}

static void
test_stream (void)
{
  fixture_t *fixture = fixture_ready (ACT_STREAM, ACT_STREAM);

  send_call (fixture, POST ("/stream/"));
  WAIT (has_text (fixture, "0\r\n\r\n"));
  g_assert_true (has_text (fixture, "id: 1\ndata: x\n\n"));
  g_assert_true (has_text (fixture, "id: 3\ndata: x\n\n"));
  g_assert_true (metrics_have (fixture, "lwm_gateway_first_event_seconds_count"
                                        "{kind=\"short\"} 1\n"));
  g_assert_true (metrics_have (fixture, "lwm_gateway_answer_seconds_count"
                                        "{kind=\"call\"} 0\n"));
  fixture_free (fixture);
}

static uint32_t
count (const char *text, const char *part)
{
  uint32_t found = 0;

  for (text = strstr (text, part); text != NULL; text = strstr (text + 1, part))
    found++;
  return found;
}

/** A broken stream is resumed elsewhere after its last complete event. */
static void
test_stream_resumed (void)
{
  fixture_t *fixture = fixture_ready (ACT_STREAM_CUT, ACT_STREAM);

  send_call (fixture, POST ("/stream/"));
  WAIT (has_text (fixture, "0\r\n\r\n"));
  g_assert_nonnull (strstr (fixture->upstreams[1].last->str, "X-After: 1\r\n"));
  g_assert_cmpuint (count (fixture->answer->str, "id: 1\ndata: x\n\n"), ==, 1);
  g_assert_cmpuint (count (fixture->answer->str, "id: 2\ndata: x\n\n"), ==, 1);
  g_assert_cmpuint (count (fixture->answer->str, "id: 3\ndata: x\n\n"), ==, 1);
  g_assert_true (strstr (fixture->answer->str, "id: 1\n")
                 < strstr (fixture->answer->str, "id: 2\n"));
  fixture_free (fixture);
}

/** On a missing event the stream is resumed elsewhere from before the gap. */
static void
test_stream_gap (void)
{
  fixture_t *fixture = fixture_ready (ACT_STREAM_GAP, ACT_STREAM);

  send_call (fixture, POST ("/stream/"));
  WAIT (has_text (fixture, "0\r\n\r\n"));
  g_assert_cmpuint (count (fixture->answer->str, "id: 1\n"), ==, 1);
  g_assert_cmpuint (count (fixture->answer->str, "id: 2\n"), ==, 1);
  g_assert_cmpuint (count (fixture->answer->str, "id: 3\n"), ==, 1);
  fixture_free (fixture);
}

/** A broken stream that may not be resumed must not look complete. */
static void
test_stream_cut (void)
{
  fixture_t *fixture = fixture_ready (ACT_STREAM_CUT, ACT_STREAM);

  send_call (fixture, POST ("/once/"));
  WAIT (fixture->caller_closed);
  g_assert_false (has_text (fixture, "0\r\n\r\n"));
  g_assert_false (has_text (fixture, "id: 2\n"));
  g_assert_cmpuint (sum_requests (fixture), ==, 1);
  fixture_free (fixture);
}

/** A silent upstream does not abort a request that may run only once. */
static void
test_idle_upstream_waits (void)
{
  static const char *const asks[] = { POST ("/unsafe/"), POST ("/once/") };

  for (size_t i = 0; i < G_N_ELEMENTS (asks); i++)
    {
      fixture_t *fixture = fixture_ready (ACT_NO_ANSWER, ACT_ANSWER);
      uint64_t begun_ms = clock_mono_ms ();

      send_call (fixture, asks[i]);
      WAIT (fixture->upstreams[0].requests == 1);
      WAIT (clock_mono_ms () > begun_ms + 1500);
      g_assert_cmpuint (sum_requests (fixture), ==, 1);
      g_assert_cmpuint (fixture->answer->len, ==, 0);
      g_assert_cmpuint (fixture->upstreams[0].closed, ==, 0);
      fixture_free (fixture);
    }
}

/** Exceeds the longest gap between events that an upstream is allowed. */
#define PROCESS_PAUSE_MS 2000

/* The process is paused, as on a frozen machine, while its upstream goes on
 * sending: the backlog is read before the upstream counts as stalled. */
static void
test_own_process_pause (void)
{
  fixture_t *fixture = fixture_ready (ACT_STREAM_HELD, ACT_STREAM);

  send_call (fixture, POST ("/stream/"));
  WAIT (has_text (fixture, "id: 1\n"));
  scripted_send_held (&fixture->upstreams[0]);
  g_usleep (PROCESS_PAUSE_MS * 1000);
  WAIT (has_text (fixture, "0\r\n\r\n"));
  g_assert_cmpuint (sum_requests (fixture), ==, 1);
  g_assert_cmpuint (count (fixture->answer->str, "id: 2\n"), ==, 1);
  fixture_free (fixture);
}

/** When a caller disconnects, the work on its request is aborted. */
static void
test_caller_disconnect_aborts_work (void)
{
  fixture_t *fixture = fixture_ready (ACT_NO_ANSWER, ACT_NO_ANSWER);

  send_call (fixture, POST ("/unsafe/"));
  WAIT (fixture->upstreams[0].requests == 1);
  bufferevent_free (fixture->caller);
  fixture->caller = NULL;
  WAIT (fixture->upstreams[0].closed == 1);
  g_assert_cmpuint (gateway_open_requests (fixture->gateway), ==, 0);
  fixture_free (fixture);
}

/** A draining gateway answers requests and then closes their connections. */
static void
test_drain (void)
{
  fixture_t *fixture = fixture_ready (ACT_ANSWER, ACT_ANSWER);

  gateway_drain (fixture->gateway);
  send_call (fixture, GET ("/safe/"));
  WAIT (fixture->caller_closed);
  g_assert_true (has_text (fixture, "body"));
  g_assert_true (has_text (fixture, "Connection: close\r\n"));
  gateway_close (fixture->gateway);
  send_call (fixture, GET ("/safe/"));
  WAIT (fixture->caller_closed);
  g_assert_cmpuint (fixture->answer->len, ==, 0);
  g_assert_cmpuint (sum_requests (fixture), ==, 1);
  fixture_free (fixture);
}

/** A configuration whose number is not higher is ignored. */
static void
test_older_config_is_ignored (void)
{
  fixture_t *fixture = fixture_ready (ACT_ANSWER, ACT_ANSWER);
  gateway_config_t *older = gateway_config_new (NULL);

  older->number = 1;
  g_assert_null (gateway_config_finalize (older));
  gateway_set_config (fixture->gateway, older);
  send_call (fixture, GET ("/safe/"));
  WAIT (has_text (fixture, "body"));
  fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8060-gateway");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/gateway/relay", test_relay);
  g_test_add_func ("/gateway/refusals", test_refusals);
  g_test_add_func ("/gateway/early", test_early_request_waits);
  g_test_add_func ("/gateway/early-few-upstreams", test_early_few_upstreams);
  g_test_add_func ("/gateway/early-refusals", test_early_refusals);
  g_test_add_func ("/gateway/early-gone", test_waiting_caller_disconnects);
  g_test_add_func ("/gateway/safe-again", test_safe_request_is_retried);
  g_test_add_func ("/gateway/unsafe-once", test_unsafe_request_runs_once);
  g_test_add_func ("/gateway/promise", test_status_503_means_not_run);
  g_test_add_func ("/gateway/extra-bytes", test_extra_bytes);
  g_test_add_func ("/gateway/stream", test_stream);
  g_test_add_func ("/gateway/stream-resumed", test_stream_resumed);
  g_test_add_func ("/gateway/stream-gap", test_stream_gap);
  g_test_add_func ("/gateway/stream-cut", test_stream_cut);
  g_test_add_func ("/gateway/silence-waits", test_idle_upstream_waits);
  g_test_add_func ("/gateway/own-standstill", test_own_process_pause);
  g_test_add_func ("/gateway/caller-gone", test_caller_disconnect_aborts_work);
  g_test_add_func ("/gateway/drain", test_drain);
  g_test_add_func ("/gateway/config-forward", test_older_config_is_ignored);
  return g_test_run ();
}
