#include "lib-gateway.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "lib-address.h"

#define STREAM_EVENT_BYTES (64u * 1024)

static void
read_request_info (const http_fields_t *fields, gateway_request_info_t *terms)
{
  const char *id = http_fields_find (fields, "X-Id");
  const char *last = http_fields_find (fields, "Last-Event-Id");
  const char *prompt = http_fields_find (fields, "X-Prompt"); /* its tokens */

  terms->id = id != NULL ? id : "";
  terms->prompt_tokens
      = prompt != NULL ? (uint32_t)strtoul (prompt, NULL, 10) : 0;
  terms->key = http_fields_find (fields, "X-Key");
  terms->has_deadline = true;
  terms->deadline_ms = 8000;
  terms->has_last_event = last != NULL;
  terms->last_event = last != NULL ? strtoull (last, NULL, 10) : 0;
}

/** Reads the parts of a prompt, a character each. */
static prompt_parts_t
read_parts (void *parent, const http_fields_t *fields)
{
  const char *names = http_fields_find (fields, "X-Parts");
  size_t count = names != NULL ? strlen (names) : 0;
  uint64_t *ids = talloc_array (parent, uint64_t, (unsigned)count);

  for (size_t i = 0; i < count; i++)
    ids[i] = (uint64_t)names[i];
  return (prompt_parts_t){ .ids = ids, .count = (uint32_t)count };
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
  const char *pause = http_fields_find (fields, "X-Pause-Ms");
  const char *limit = http_fields_find (fields, "X-Limit");

  answer->is_signed = http_fields_find (fields, "X-Signed") != NULL;
  answer->has_not_run = http_fields_find (fields, "X-Not-Run") != NULL;
  answer->request_id = http_fields_find (fields, "X-Id");
  answer->is_leaving = http_fields_find (fields, "X-Leaving") != NULL;
  if (limit != NULL)
    answer->limit_s = strtod (limit, NULL);
  if (pause != NULL)
    answer->pause_ms = (uint32_t)strtoul (pause, NULL, 10);
}

static const gateway_protocol_t protocol
    = { .read_request_info = read_request_info,
        .read_parts = read_parts,
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

/** Puts a configuration in force.
 * @param added name of a second service, or NULL */
static void
configure (gateway_fixture_t *fixture, uint64_t number, const char *added)
{
  static const char *keys[] = { "secret" };
  gateway_config_t *config = gateway_config_new (NULL);
  gateway_route_t routes[] = { make_route ("/safe/", ROUTE_SAFE, false),
                               make_route ("/unsafe/", ROUTE_UNSAFE, false),
                               make_route ("/stream/", ROUTE_STREAM, true),
                               make_route ("/once/", ROUTE_STREAM, false),
                               make_route ("/keyed/", ROUTE_SAFE, false),
                               make_route ("/brief/", ROUTE_STREAM, true) };

  routes[G_N_ELEMENTS (routes) - 1].patience_ms = GATEWAY_PATIENCE_MS;
  config->number = number;
  config->routes = talloc_memdup (config, routes, sizeof routes);
  config->route_count = G_N_ELEMENTS (routes);
  config->services = talloc_zero_array (config, gateway_service_t, 2);
  config->services[0].name = "s";
  config->services[1].name = added;
  config->service_count = added != NULL ? 2 : 1;
  config->customers = talloc_zero (config, gateway_customer_t);
  config->customers[0]
      = (gateway_customer_t){ .name = "one", .keys = keys, .key_count = 1 };
  config->customer_count = 1;
  config->has_customers = true;
  g_assert_null (gateway_config_finalize (config));
  gateway_set_config (fixture->gateway, config);
}

void
gateway_fixture_configure (gateway_fixture_t *fixture)
{
  configure (fixture, 1, NULL);
}

void
gateway_fixture_add_service (gateway_fixture_t *fixture, const char *name)
{
  configure (fixture, gateway_config_number (fixture->gateway) + 1, name);
}

void
gateway_fixture_announce (gateway_fixture_t *fixture)
{
  for (int i = 0; i < GATEWAY_UPSTREAMS; i++)
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

gateway_fixture_t *
gateway_fixture_new (void)
{
  gateway_fixture_t *fixture = g_new0 (gateway_fixture_t, 1);
  gateway_options_t options = { .listen = fixture->listen,
                                .zone = "z",
                                .share_listen = fixture->share,
                                .protocol = &protocol,
                                .retry_percent = 20,
                                .spare_retries = 3,
                                .zone_cost_ms = 10 };

  fixture->base = options.base = event_base_new ();
  fixture->metrics = options.metrics = metrics_new (NULL);
  fixture->directory = directory_new (NULL);
  choose_free_address (fixture->listen);
  choose_free_address (fixture->share);
  fixture->gateway = gateway_new (NULL, &options);
  g_assert_nonnull (fixture->gateway);
  for (int i = 0; i < GATEWAY_UPSTREAMS; i++)
    scripted_start (&fixture->upstreams[i], fixture->base);
  fixture->answer = g_string_new (NULL);
  return fixture;
}

void
gateway_fixture_free (gateway_fixture_t *fixture)
{
  if (fixture->caller != NULL)
    bufferevent_free (fixture->caller);
  talloc_free (fixture->gateway);
  talloc_free (fixture->metrics);
  talloc_free (fixture->directory);
  for (int i = 0; i < GATEWAY_UPSTREAMS; i++)
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
  gateway_fixture_t *fixture = context;
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
    ((gateway_fixture_t *)context)->caller_closed = true;
}

void
gateway_fixture_send (gateway_fixture_t *fixture, const char *request)
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

bool
gateway_fixture_has_text (const gateway_fixture_t *fixture, const char *part)
{
  return strstr (fixture->answer->str, part) != NULL;
}

bool
gateway_fixture_metrics_have (const gateway_fixture_t *fixture,
                              const char *text)
{
  struct evbuffer *out = evbuffer_new ();
  bool have;

  metrics_write (fixture->metrics, out);
  evbuffer_add (out, "", 1);
  have = strstr ((char *)evbuffer_pullup (out, -1), text) != NULL;
  evbuffer_free (out);
  return have;
}

uint32_t
gateway_fixture_requests (const gateway_fixture_t *fixture)
{
  return fixture->upstreams[0].requests + fixture->upstreams[1].requests;
}

gateway_fixture_t *
gateway_fixture_ready (act_t first, act_t second)
{
  gateway_fixture_t *fixture = gateway_fixture_new ();

  gateway_fixture_configure (fixture);
  gateway_fixture_announce (fixture);
  fixture->upstreams[0].act = first;
  fixture->upstreams[1].act = second;
  return fixture;
}

void
gateway_fixture_call (gateway_fixture_t *fixture,
                      const char *request,
                      const char *expected)
{
  gateway_fixture_send (fixture, request);
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, expected));
  GATEWAY_WAIT (gateway_open_requests (fixture->gateway) == 0);
}

void
gateway_fixture_earn_retries (gateway_fixture_t *fixture)
{
  fixture->upstreams[0].act = fixture->upstreams[1].act = ACT_ANSWER;
  for (int i = 0; i < 15; i++)
    gateway_fixture_call (fixture, GET ("/safe/"), "body");
  fixture->upstreams[0].requests = fixture->upstreams[1].requests = 0;
}

char *
gateway_fixture_stream_text (size_t size_bytes)
{
  GString *text = g_string_new ("HTTP/1.1 200 OK\r\nX-Signed: 1\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n");
  char *data = g_strnfill (STREAM_EVENT_BYTES, 'x');

  for (uint32_t id = 1; text->len < size_bytes; id++)
    {
      char *event = g_strdup_printf ("id: %u\ndata: %s\n\n", id, data);

      g_string_append_printf (text, "%zx\r\n%s\r\n", strlen (event), event);
      g_free (event);
    }
  g_string_append (text, "0\r\n\r\n");
  g_free (data);
  return g_string_free (text, FALSE);
}

void
gateway_fixture_stop (gateway_fixture_t *fixture, caller_t *caller)
{
  uint64_t limit_ms = clock_mono_ms () + GATEWAY_WAIT_TIMEOUT_MS;

  while (!gateway_has_ended (fixture->gateway) && clock_mono_ms () < limit_ms)
    {
      gateway_close (fixture->gateway);
      event_base_loop (fixture->base, EVLOOP_NONBLOCK);
      caller_read (caller);
    }
  TALLOC_FREE (fixture->gateway);
  GATEWAY_WAIT (caller_read (caller));
}
