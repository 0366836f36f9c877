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

/** Answers at once, with a large body except for one target. */
static void
on_request (caller_request_t *request, void *context)
{
  http_fields_t fields = { 0 };
  size_t length = strcmp (caller_request_target (request), "/small") == 0
                      ? 1
                      : LARGE_BODY_BYTES;
  char *body = g_strnfill (length, 'x');

  caller_reply_begin (request, 200, "OK", &fields, (int64_t)length);
  caller_reply_data (request, body, length);
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

/** Sends more than the server reads, as a caller that looks for an answer only
 * after its request. */
static void
send_without_reading (fixture_t *fixture, const char *text, size_t size_bytes)
{
  size_t sent_bytes = caller_send (fixture->caller, text, size_bytes);

  for (int turn = 0; turn < 50; turn++)
    {
      event_base_loop (fixture->base, EVLOOP_NONBLOCK);
      sent_bytes += caller_send (fixture->caller, text + sent_bytes,
                                 size_bytes - sent_bytes);
    }
  caller_shut (fixture->caller);
  read_all (fixture);
}

/** An error that is sent while the caller still writes its request is lost with
 * the reset of the connection. */
static void
test_error_reaches_sender (void)
{
  fixture_t fixture;
  char *body = g_strnfill (LARGE_BODY_BYTES, 'x');
  char *head = g_strdup_printf ("POST / HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: %u\r\n\r\n",
                                LARGE_BODY_BYTES);

  set_up (&fixture);
  caller_send (fixture.caller, head, strlen (head));
  send_without_reading (&fixture, body, LARGE_BODY_BYTES);
  g_assert_true (
      g_str_has_prefix (fixture.caller->answer->str, "HTTP/1.1 413 "));
  g_assert_true (fixture.caller->has_end);
  g_assert_false (fixture.caller->was_reset);
  clean_up (&fixture);
  g_free (body);
  g_free (head);
}

/** The end of an answer with "Connection: close" is lost with the reset of the
 * connection, as bytes that the caller sent after its request are unread. */
static void
test_close_after_pipelined_bytes (void)
{
  static const char request[]
      = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  fixture_t fixture;
  char *more = g_strnfill (LARGE_BODY_BYTES, 'x');

  set_up (&fixture);
  caller_send (fixture.caller, request, strlen (request));
  caller_send (fixture.caller, more, LARGE_BODY_BYTES);
  run_for (&fixture, IDLE_TIMEOUT_MS);
  read_all (&fixture);
  check_large_answer (fixture.caller);
  clean_up (&fixture);
  g_free (more);
}

/** A caller that neither reads, sends nor closes after its answer does not keep
 * its connection for good. */
static void
test_lingering_ends (void)
{
  static const char request[]
      = "GET /small HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  fixture_t fixture;
  uint64_t end_ms = clock_mono_ms () + WAIT_TIMEOUT_MS;

  set_up (&fixture);
  caller_send (fixture.caller, request, strlen (request));
  run_for (&fixture, IDLE_TIMEOUT_MS);
  while (caller_server_is_busy (fixture.server) && clock_mono_ms () < end_ms)
    event_base_loop (fixture.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
  g_assert_false (caller_server_is_busy (fixture.server));
  read_all (&fixture);
  g_assert_true (fixture.caller->has_end);
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
  g_test_add_func ("/caller-server/error-reaches-sender",
                   test_error_reaches_sender);
  g_test_add_func ("/caller-server/close-after-pipelined-bytes",
                   test_close_after_pipelined_bytes);
  g_test_add_func ("/caller-server/lingering-ends", test_lingering_ends);
  return g_test_run ();
}
