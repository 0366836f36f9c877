/* Calls of a plain service: each takes the configured service time, and its
 * runs are counted. */
#include <event2/buffer.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "base.h"
#include "http.h"
#include "standin-private.h"

#define STATUS_GONE 410

/* Longer than any answer, so that the caller sees a truncated body. */
#define TRUNCATED_LENGTH "100000000"

/** A call in progress. */
typedef struct
{
  standin_t *standin;
  struct evhttp_request *request; /* NULL after its connection failed */
  struct event *timer;
  char *id;
  char *path;
  char *body;
  uint32_t run;
  fault_t fault;
} service_call_t;

static int
free_call (service_call_t *call)
{
  event_free (call->timer);
  call->standin->calls--;
  return 0;
}

static void
on_call_closed (struct evhttp_connection *connection, void *arg)
{
  service_call_t *call = arg;

  http_abandon (call->request);
  call->request = NULL;
  if (call->fault.kind == MISBEHAVE_STALL)
    talloc_free (call);
}

static void
answer_call (service_call_t *call)
{
  JsonObject *answer = json_object_new ();
  bool is_crossed = call->fault.kind == MISBEHAVE_CROSSED;

  json_object_set_string_member (answer, "request_id",
                                 is_crossed ? "crossed" : call->id);
  json_object_set_string_member (answer, "path", call->path);
  json_object_set_string_member (answer, "echo", is_crossed ? "" : call->body);
  json_object_set_int_member (answer, "run", call->run);
  /* The body is always shorter than the announced length. */
  if (call->fault.kind == MISBEHAVE_TRUNCATE)
    {
      struct evkeyvalq *headers
          = evhttp_request_get_output_headers (call->request);

      evhttp_add_header (headers, "Content-Length", TRUNCATED_LENGTH);
      evhttp_add_header (headers, "Connection", "close");
    }
  standin_reply (call->request, answer);
}

/* A stalled call stays open until its caller closes the connection. */
static void
on_call_done (evutil_socket_t fd, short what, void *arg)
{
  service_call_t *call = arg;
  struct evhttp_request *request = call->request;
  misbehave_kind_t kind = call->fault.kind;

  if (kind == MISBEHAVE_DIE)
    _exit (EXIT_CODE_FAILED);
  if (kind == MISBEHAVE_STALL && request != NULL)
    return;
  if (request != NULL)
    evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                   NULL, NULL);
  if (request != NULL && kind == MISBEHAVE_RESET)
    standin_reset_connection (request);
  else if (request != NULL)
    answer_call (call);
  talloc_free (call);
}

static char *
body_text (void *parent, struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t length = evbuffer_get_length (input);
  const char *text = (const char *)evbuffer_pullup (input, -1);
  char *valid = g_utf8_make_valid (text != NULL ? text : "", (gssize)length);
  char *copy = talloc_strdup (parent, valid);

  g_free (valid);
  return copy;
}

/* Counts the run, and a double run if the call must run only once: a repeated
 * idempotency key, or a repeated request id without X-Idempotent. */
static void
count_call (service_call_t *call)
{
  standin_t *standin = call->standin;
  const char *key = http_header (call->request, "Idempotency-Key");
  const char *idempotent = http_header (call->request, "X-Idempotent");
  bool may_repeat = idempotent != NULL && strcmp (idempotent, "true") == 0;

  call->run = standin_count_run (standin->runs, call->id);
  if (key != NULL && standin_count_run (standin->keys, key) > 1)
    standin->double_runs++;
  else if (call->run > 1 && !may_repeat)
    standin->double_runs++;
}

static struct timeval
get_call_duration (const standin_t *standin, const fault_t *fault)
{
  uint32_t delay_ms = fault->kind == MISBEHAVE_LATE ? fault->ms : 0;
  struct timeval delay = timeval_from_ms (delay_ms);
  struct timeval service
      = standin_scaled (standin, standin->settings->service_ms);
  struct timeval sum;

  evutil_timeradd (&delay, &service, &sum);
  return sum;
}

static void
run_call (standin_t *standin,
          struct evhttp_request *request,
          const char *id,
          const char *path,
          fault_t fault)
{
  service_call_t *call = talloc_zero (standin, service_call_t);
  struct timeval time = get_call_duration (standin, &fault);

  call->standin = standin;
  call->request = request;
  call->id = talloc_strdup (call, id);
  call->path = talloc_strdup (call, path);
  call->body = body_text (call, request);
  call->fault = fault;
  call->timer = event_new (standin->base, -1, 0, on_call_done, call);
  standin->calls++;
  talloc_set_destructor (call, free_call);
  count_call (call);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 on_call_closed, call);
  event_add (call->timer, &time);
}

void
standin_call (standin_t *standin,
              struct evhttp_request *request,
              const char *path)
{
  const char *id = http_header (request, "X-Request-Id");
  fault_t fault;

  if (standin->leaving)
    standin_refuse (request, STATUS_GONE, "leaving", RAN_NO);
  else if (id == NULL)
    standin_refuse_bad (request, "the header 'X-Request-Id' is missing");
  else
    {
      fault = misbehave_take (standin->misbehave);
      if (!standin_fault_refuses (request, &fault))
        run_call (standin, request, id, path, fault);
    }
}
