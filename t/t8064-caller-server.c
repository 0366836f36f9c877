/*
 * The server for callers, with callers that read slowly, send more than they
 * may, or shut their sending side.
 */
#include <event2/event.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "caller-server.h"
#include "lib-caller.h"
#include "lib-scripted.h"
#include "logging.h"

#define WAIT_TIMEOUT_MS 20000
/** Size of an answer that is larger than all buffers of the kernel. */
#define LARGE_BODY_BYTES (7u * 1024 * 1024)
#define IDLE_TIMEOUT_MS  100

typedef struct
{
  struct event_base *base;
  caller_server_t *server;
  caller_t *caller;
  char listen[32];
} fixture_t;

/** Answers at once with a large body. */
static void
on_request (caller_request_t *request, void *context)
{
  http_fields_t fields = { 0 };
  char *body = g_strnfill (LARGE_BODY_BYTES, 'x');

  caller_reply_begin (request, 200, "OK", &fields, LARGE_BODY_BYTES);
  caller_reply_data (request, body, LARGE_BODY_BYTES);
  caller_reply_end (request);
  g_free (body);
}

static void
on_nothing (caller_request_t *request, void *context)
{
}

static void
set_up (fixture_t *fixture)
{
  caller_server_options_t options
      = { .listen = fixture->listen,
          .limits = { .max_head_bytes = 4096,
                      .max_body_bytes = 4096,
                      .head_timeout_ms = 1000,
                      .idle_timeout_ms = IDLE_TIMEOUT_MS },
          .on_request = on_request,
          .on_gone = on_nothing,
          .on_drained = on_nothing };

  *fixture = (fixture_t){ .base = event_base_new () };
  options.base = fixture->base;
  options.metrics = metrics_new (NULL);
  scripted_find_free_address (fixture->base, fixture->listen);
  fixture->server = caller_server_new (options.metrics, &options);
  g_assert_nonnull (fixture->server);
  fixture->caller = caller_new (fixture->listen);
}

static void
clean_up (fixture_t *fixture)
{
  caller_free (fixture->caller);
  talloc_free (talloc_parent (fixture->server));
  event_base_free (fixture->base);
}

static void
run_for (fixture_t *fixture, uint32_t time_ms)
{
  uint64_t end_ms = clock_mono_ms () + time_ms;

  while (clock_mono_ms () < end_ms)
    {
      event_base_loop (fixture->base, EVLOOP_NONBLOCK);
      g_usleep (500);
    }
}

/** Reads until the answer is over. */
static void
read_all (fixture_t *fixture)
{
  uint64_t end_ms = clock_mono_ms () + WAIT_TIMEOUT_MS;

  while (!caller_read (fixture->caller) && clock_mono_ms () < end_ms)
    event_base_loop (fixture->base, EVLOOP_NONBLOCK);
}

static void
check_large_answer (const caller_t *caller)
{
  const char *body = strstr (caller->answer->str, "\r\n\r\n");

  g_assert_nonnull (body);
  g_assert_cmpuint (strlen (body + 4), ==, LARGE_BODY_BYTES);
  g_assert_true (caller->has_end);
}

static const char get[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/** An idle timeout that cuts an answer which its caller still reads. */
static void
test_idle_timeout (void)
{
  fixture_t fixture;

  set_up (&fixture);
  caller_send (fixture.caller, get, strlen (get));
  run_for (&fixture, 3 * IDLE_TIMEOUT_MS);
  read_all (&fixture);
  check_large_answer (fixture.caller);
  clean_up (&fixture);
}

/** A caller that shuts its sending side while it reads the end of its answer
 * loses that end. */
static void
test_shut_while_reading (void)
{
  fixture_t fixture;

  set_up (&fixture);
  caller_send (fixture.caller, get, strlen (get));
  run_for (&fixture, IDLE_TIMEOUT_MS / 2);
  caller_shut (fixture.caller);
  run_for (&fixture, IDLE_TIMEOUT_MS / 4);
  read_all (&fixture);
  check_large_answer (fixture.caller);
  clean_up (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8064-caller-server");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/caller-server/idle-timeout", test_idle_timeout);
  g_test_add_func ("/caller-server/shut-while-reading",
                   test_shut_while_reading);
  return g_test_run ();
}
