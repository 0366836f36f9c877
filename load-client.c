#include "load-client.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "http.h"
#include "load-answer.h"
#include "response-check.h"
#include "settings.h"

#define US_PER_MS 1000
#define PERCENT   100
/* Wall time after the deadline at which an unfinished request counts as
 * lost. */
#define LOST_GRACE_MS 2000
/* Longest wait for a request without a deadline, scenario time. */
#define NO_DEADLINE_MS 120000
/* A connection that was idle for longer is not reused: the server may be about
 * to close it. */
#define MAX_IDLE_MS    5000
#define PATH_BYTES     256
#define MAX_BODY_BYTES (64 * 1024 * 1024)

typedef struct
{
  char ip[64];
  uint16_t port;
  GQueue idle; /* of idle_t, most recent first */
} target_t;

typedef struct
{
  struct evhttp_connection *connection;
  uint64_t since_ms;
} idle_t;

struct load_client
{
  load_client_options_t options;
  GRand *random;
  target_t *targets;
  uint32_t active;
  GPtrArray *closed; /* evhttp_connection, freed by free_event: a connection
                        must not be freed in its own callback */
  struct event *free_event;
};

typedef struct
{
  load_client_t *client;
  target_t *target;
  struct evhttp_connection *connection;
  struct event *timeout; /* fires when the longest allowed wait ends */
  uint64_t start_us;     /* intended send time, monotonic clock */
  uint64_t last_token_us;
  load_answer_t *answer;
  load_record_t record;
} call_t;

static void
free_closed (evutil_socket_t fd, short events, void *context)
{
  load_client_t *client = context;

  for (guint i = 0; i < client->closed->len; i++)
    evhttp_connection_free (g_ptr_array_index (client->closed, i));
  g_ptr_array_set_size (client->closed, 0);
}

static int
client_destroy (load_client_t *client)
{
  free_closed (-1, 0, client);
  for (size_t i = 0; i < client->options.target_count; i++)
    {
      idle_t *idle;

      while ((idle = g_queue_pop_head (&client->targets[i].idle)) != NULL)
        {
          evhttp_connection_free (idle->connection);
          g_free (idle);
        }
    }
  event_free (client->free_event);
  g_ptr_array_unref (client->closed);
  g_rand_free (client->random);
  return 0;
}

load_client_t *
load_client_new (void *parent, const load_client_options_t *options)
{
  load_client_t *client = talloc_zero (parent, load_client_t);

  client->options = *options;
  client->random = g_rand_new_with_seed ((guint32)options->seed);
  client->targets = talloc_zero_array (client, target_t, options->target_count);
  for (size_t i = 0; i < options->target_count; i++)
    {
      settings_split_address (options->targets[i], client->targets[i].ip,
                              &client->targets[i].port);
      g_queue_init (&client->targets[i].idle);
    }
  client->closed = g_ptr_array_new ();
  client->free_event = event_new (options->base, -1, 0, free_closed, client);
  talloc_set_destructor (client, client_destroy);
  return client;
}

static uint64_t
to_scenario_us (const load_client_t *client, uint64_t wall_us)
{
  return wall_us * PERCENT / client->options.time_scale_percent;
}

static uint64_t
to_wall_time (const load_client_t *client, uint64_t time_us)
{
  return time_us * client->options.time_scale_percent / PERCENT;
}

static uint64_t
elapsed_us (const call_t *call)
{
  return to_scenario_us (call->client, clock_mono_us () - call->start_us);
}

static struct evhttp_connection *
get_connection (load_client_t *client, target_t *target)
{
  uint64_t now_ms = clock_mono_ms ();
  struct evhttp_connection *connection = NULL;
  idle_t *idle;

  while (connection == NULL
         && (idle = g_queue_pop_head (&target->idle)) != NULL)
    {
      if (now_ms - idle->since_ms < MAX_IDLE_MS)
        connection = idle->connection;
      else
        evhttp_connection_free (idle->connection);
      g_free (idle);
    }
  if (connection != NULL)
    return connection;
  connection = evhttp_connection_base_new (client->options.base, NULL,
                                           target->ip, target->port);
  evhttp_connection_set_max_body_size (connection, MAX_BODY_BYTES);
  return connection;
}

static void
pool_connection (call_t *call)
{
  idle_t *idle = g_new (idle_t, 1);

  idle->connection = call->connection;
  idle->since_ms = clock_mono_ms ();
  g_queue_push_head (&call->target->idle, idle);
  call->connection = NULL;
}

static void
discard_connection (call_t *call)
{
  g_ptr_array_add (call->client->closed, call->connection);
  call->connection = NULL;
  event_active (call->client->free_event, EV_TIMEOUT, 0);
}

/* Also runs for requests in progress when the client is freed. */
static int
call_destroy (call_t *call)
{
  event_free (call->timeout);
  if (call->connection != NULL)
    evhttp_connection_free (call->connection);
  return 0;
}

static void
finish_call (call_t *call)
{
  load_client_t *client = call->client;

  call->record.end_us = elapsed_us (call);
  client->active--;
  client->options.on_done (&call->record, client->options.context);
  talloc_free (call);
}

/* Reports the gap before each new token as the caller sees it: tokens that come
 * in the same chunk have a gap of zero. */
static void
report_tokens (call_t *call, uint32_t before)
{
  load_client_t *client = call->client;
  uint64_t now_us = clock_mono_us ();
  uint32_t tokens = load_answer_tokens (call->answer);

  if (tokens == before)
    return;
  if (before == 0)
    call->record.first_token_us = MAX (elapsed_us (call), 1);
  for (uint32_t i = MAX (before, 1); i < tokens; i++)
    {
      uint64_t gap_us
          = i == before ? to_scenario_us (client, now_us - call->last_token_us)
                        : 0;

      client->options.on_gap (&call->record.request, gap_us,
                              client->options.context);
    }
  call->last_token_us = now_us;
}

static void
on_chunk (struct evhttp_request *request, void *context)
{
  call_t *call = context;
  uint32_t before = load_answer_tokens (call->answer);

  /* libevent empties the buffer after this callback, also for error bodies. */
  load_answer_read (call->answer, evhttp_request_get_response_code (request),
                    evhttp_request_get_input_buffer (request));
  report_tokens (call, before);
}

static void
on_answer (struct evhttp_request *request, void *context)
{
  call_t *call = context;
  bool is_valid = request != NULL && response_check_is_valid (NULL, request);
  int status = is_valid ? evhttp_request_get_response_code (request) : 0;

  call->record.status = status;
  if (status == 0)
    {
      load_answer_unreachable (call->answer, &call->record);
      discard_connection (call);
    }
  else
    {
      load_answer_finish (call->answer, status,
                          evhttp_request_get_input_buffer (request),
                          &call->record);
      pool_connection (call);
    }
  finish_call (call);
}

static void
on_timeout (evutil_socket_t fd, short events, void *context)
{
  call_t *call = context;

  call->record.outcome = LOAD_LOST;
  g_strlcpy (call->record.reason, "no_answer", LOAD_REASON_BYTES);
  /* Freeing the connection also frees its request, without a callback. */
  finish_call (call);
}

static void
add_header (struct evhttp_request *request, const char *name, const char *value)
{
  evhttp_add_header (evhttp_request_get_output_headers (request), name, value);
}

static void
add_prompt_body (const call_t *call,
                 struct evhttp_request *http,
                 uint64_t wall_ms)
{
  const load_request_t *request = &call->record.request;
  const Lwm__Scenario *scenario = call->client->options.scenario;
  struct evbuffer *out = evhttp_request_get_output_buffer (http);

  evbuffer_add_printf (out,
                       "{\"service\":\"%s\",\"customer\":\"%s\",\"stream\":"
                       "true,\"max_tokens\":%u,",
                       scenario->service, request->customer,
                       request->output_tokens);
  if (scenario->model != NULL && scenario->model[0] != '\0')
    evbuffer_add_printf (out, "\"model\":\"%s\",", scenario->model);
  if (wall_ms > 0)
    evbuffer_add_printf (out, "\"deadline_ms\":%" PRIu64 ",", wall_ms);
  evbuffer_add_printf (out, "\"prompt\":\"");
  load_prompt_append (call->client->options.prompt, request, out);
  evbuffer_add_printf (out, "\"}");
  add_header (http, "Content-Type", "application/json");
}

static void
add_call_body (const call_t *call,
               struct evhttp_request *http,
               uint64_t wall_ms)
{
  const load_request_t *request = &call->record.request;
  uint64_t number
      = request->resend_of > 0 ? request->resend_of : request->number;
  char *body = load_call_body (number);
  char text[64];

  add_header (http, "X-Customer", request->customer);
  add_header (http, "X-Idempotent",
              request->call->idempotent ? "true" : "false");
  if (wall_ms > 0)
    {
      snprintf (text, sizeof text, "%" PRIu64, wall_ms);
      add_header (http, "X-Deadline-Ms", text);
    }
  if (request->call->keyed)
    {
      snprintf (text, sizeof text, "load-%" PRIu64 "-%" PRIu64,
                call->client->options.seed, number);
      add_header (http, "Idempotency-Key", text);
    }
  add_header (http, "Content-Type", "application/json");
  evbuffer_add (evhttp_request_get_output_buffer (http), body, strlen (body));
  g_free (body);
}

static void
start_call (call_t *call, uint64_t deadline_ms)
{
  load_client_t *client = call->client;
  const load_request_t *request = &call->record.request;
  struct evhttp_request *http = evhttp_request_new (on_answer, call);
  uint64_t wall_ms = to_wall_time (client, deadline_ms);
  char path[PATH_BYTES] = "/v1/completions";

  if (request->class_ != NULL)
    {
      evhttp_request_set_chunked_cb (http, on_chunk);
      add_prompt_body (call, http, wall_ms);
    }
  else
    {
      snprintf (path, sizeof path, "/v1/call/%s/%s", request->call->service,
                request->call->path);
      add_call_body (call, http, wall_ms);
    }
  add_header (http, "Host", call->target->ip);
  evhttp_make_request (call->connection, http, EVHTTP_REQ_POST, path);
}

static target_t *
pick_target (load_client_t *client)
{
  gint32 count = (gint32)client->options.target_count;

  return &client->targets[g_rand_int_range (client->random, 0, count)];
}

void
load_client_send (load_client_t *client,
                  const load_request_t *request,
                  uint64_t late_us)
{
  call_t *call = talloc_zero (client, call_t);
  uint64_t deadline_ms = request->class_ != NULL ? request->class_->deadline_ms
                                                 : request->call->deadline_ms;
  uint64_t timeout_us
      = to_wall_time (client, (deadline_ms > 0 ? deadline_ms : NO_DEADLINE_MS)
                                  * US_PER_MS)
        + LOST_GRACE_MS * US_PER_MS;
  struct timeval timeout
      = { (time_t)(timeout_us / 1000000), (suseconds_t)(timeout_us % 1000000) };

  client->active++;
  call->client = client;
  call->record.request = *request;
  call->record.sent_us = late_us;
  call->record.deadline_us = deadline_ms * US_PER_MS;
  call->start_us = clock_mono_us () - to_wall_time (client, late_us);
  call->answer
      = load_answer_new (call, client->options.scenario, client->options.prompt,
                         &call->record.request);
  call->target = pick_target (client);
  call->connection = get_connection (client, call->target);
  call->timeout = event_new (client->options.base, -1, 0, on_timeout, call);
  event_add (call->timeout, &timeout);
  talloc_set_destructor (call, call_destroy);
  start_call (call, deadline_ms);
}

uint32_t
load_client_active (const load_client_t *client)
{
  return client->active;
}
