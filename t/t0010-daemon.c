/*
 * The daemon's HTTP server, with callers that read slowly or have sent more
 * than was read, when the process ends or closes their connection.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "daemon.h"
#include "http.h"
#include "lib-address.h"
#include "lib-caller.h"

/** Size of an answer that is larger than all buffers of the kernel. */
#define LARGE_BODY_BYTES (7u * 1024 * 1024)
#define READ_INTERVAL_MS 2
/** When the daemon is told to exit although no handler has done so. */
#define LATE_EXIT_MS 300
/** Longest time that a daemon with an answer that is not read may take. */
#define MAX_EXIT_MS 6000
/** Longest time of a daemon that owes nobody anything. */
#define QUICK_EXIT_MS 2000
/** Longest silence of a connection, shorter than the time to read an answer. */
#define IDLE_TIMEOUT_MS 100
/** Time in which a large answer is read. */
#define READ_TIME_MS 3000
/** Size of what a caller sends although its request is already refused. */
#define MORE_BYTES       (256u * 1024)
#define TOO_LARGE_HEADER "Content-Length: 5000000\r\n"

typedef struct
{
  daemon_t *daemon;
  caller_t *caller;
  struct event *read_timer;
  struct event *exit_timer;
  size_t body_bytes;
  uint32_t idle_timeout_ms;
  bool exits; /* in the handler, with the answer */
  char listen[ADDRESS_BYTES];
} fixture_t;

static void
on_request (struct evhttp_request *request, void *context)
{
  fixture_t *fixture = context;
  struct evbuffer *out = evbuffer_new ();
  char *body = g_strnfill (fixture->body_bytes, 'x');

  evbuffer_add (out, body, fixture->body_bytes);
  http_send (request, 200, "OK", out);
  evbuffer_free (out);
  g_free (body);
  if (fixture->exits)
    daemon_exit (fixture->daemon, EXIT_CODE_OK);
}

static void
on_read_timer (evutil_socket_t fd, short what, void *context)
{
  fixture_t *fixture = context;

  if (fixture->caller != NULL)
    caller_read (fixture->caller);
}

static void
on_exit_timer (evutil_socket_t fd, short what, void *context)
{
  fixture_t *fixture = context;

  daemon_exit (fixture->daemon, EXIT_CODE_OK);
}

static void
set_up (fixture_t *fixture)
{
  daemon_options_t options = { .listen = fixture->listen,
                               .log_level = "warn",
                               .idle_timeout_ms = fixture->idle_timeout_ms,
                               .fallback = on_request,
                               .context = fixture };

  choose_free_address (fixture->listen);
  fixture->daemon = daemon_new (NULL, &options);
  g_assert_nonnull (fixture->daemon);
  fixture->read_timer = event_new (daemon_base (fixture->daemon), -1,
                                   EV_PERSIST, on_read_timer, fixture);
  fixture->exit_timer = event_new (daemon_base (fixture->daemon), -1, 0,
                                   on_exit_timer, fixture);
  fixture->caller = caller_new (fixture->listen);
}

static void
send_text (fixture_t *fixture, const char *text)
{
  g_assert_cmpuint (caller_send (fixture->caller, text, strlen (text)), ==,
                    strlen (text));
}

static void
read_regularly (fixture_t *fixture)
{
  struct timeval interval = timeval_from_ms (READ_INTERVAL_MS);

  event_add (fixture->read_timer, &interval);
}

static void
exit_later (fixture_t *fixture)
{
  struct timeval delay = timeval_from_ms (LATE_EXIT_MS);

  event_add (fixture->exit_timer, &delay);
}

/** Runs the daemon to its end, as a process does; returns the time taken. */
static uint64_t
run_to_end (fixture_t *fixture)
{
  uint64_t started_ms = clock_mono_ms ();
  uint64_t took_ms;

  g_assert_cmpint (daemon_run (fixture->daemon), ==, EXIT_CODE_OK);
  took_ms = clock_mono_ms () - started_ms;
  event_free (fixture->read_timer);
  event_free (fixture->exit_timer);
  talloc_free (fixture->daemon);
  return took_ms;
}

/** Reads what the kernel still delivers; returns the size of the body. */
static size_t
read_rest (fixture_t *fixture)
{
  const char *body;

  while (!caller_read (fixture->caller))
    g_usleep (1000);
  body = strstr (fixture->caller->answer->str, "\r\n\r\n");
  return body != NULL ? strlen (body + 4) : 0;
}

/* Guards against ending the process with an answer in the buffer of evhttp,
 * when both fall into one turn of the loop (issue 45). */
static void
test_answer_of_last_turn (void)
{
  fixture_t fixture = { .body_bytes = 100, .exits = true };

  set_up (&fixture);
  send_text (&fixture, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  run_to_end (&fixture);
  g_assert_cmpuint (read_rest (&fixture), ==, fixture.body_bytes);
  caller_free (fixture.caller);
}

/* Guards against ending the process while a caller reads slowly (issue 45). */
static void
test_slow_reader (void)
{
  fixture_t fixture = { .body_bytes = LARGE_BODY_BYTES, .exits = true };

  set_up (&fixture);
  send_text (&fixture, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  read_regularly (&fixture);
  run_to_end (&fixture);
  g_assert_cmpuint (read_rest (&fixture), ==, fixture.body_bytes);
  caller_free (fixture.caller);
}

/* Guards against a process that never ends because a caller does not read. */
static void
test_caller_that_does_not_read (void)
{
  fixture_t fixture = { .body_bytes = LARGE_BODY_BYTES, .exits = true };

  set_up (&fixture);
  send_text (&fixture, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  g_assert_cmpuint (run_to_end (&fixture), <, MAX_EXIT_MS);
  caller_free (fixture.caller);
}

static void
on_close_timer (evutil_socket_t fd, short what, void *context)
{
  fixture_t *fixture = context;

  g_clear_pointer (&fixture->caller, caller_free);
}

/* Guards against waiting for a connection that its caller has closed. */
static void
test_caller_that_has_closed (void)
{
  fixture_t fixture = { .body_bytes = LARGE_BODY_BYTES };
  struct timeval soon = timeval_from_ms (LATE_EXIT_MS / 2);

  set_up (&fixture);
  send_text (&fixture, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  event_base_once (daemon_base (fixture.daemon), -1, EV_TIMEOUT, on_close_timer,
                   &fixture, &soon);
  exit_later (&fixture);
  g_assert_cmpuint (run_to_end (&fixture), <, QUICK_EXIT_MS);
}

/** Reads a large answer while the daemon runs; returns the size of its body. */
static size_t
read_large (fixture_t *fixture)
{
  struct timeval delay = timeval_from_ms (READ_TIME_MS);

  read_regularly (fixture);
  event_add (fixture->exit_timer, &delay);
  run_to_end (fixture);
  return read_rest (fixture);
}

/* Guards against taking a caller that has shut its sending side after its
 * request for one that has gone (issue 45). */
static void
test_shut_while_reading (void)
{
  fixture_t fixture = { .body_bytes = LARGE_BODY_BYTES };

  set_up (&fixture);
  send_text (&fixture, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  caller_shut (fixture.caller);
  g_assert_cmpuint (read_large (&fixture), ==, fixture.body_bytes);
  caller_free (fixture.caller);
}

/* Guards against the same fault with an answer that the kernel takes at once.
 */
static void
test_shut_after_small_request (void)
{
  fixture_t fixture = { .body_bytes = 100 };

  set_up (&fixture);
  send_text (&fixture, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  caller_shut (fixture.caller);
  exit_later (&fixture);
  run_to_end (&fixture);
  g_assert_cmpuint (read_rest (&fixture), ==, fixture.body_bytes);
  caller_free (fixture.caller);
}

/* Guards against ending a connection as idle while its answer is being read,
 * because the caller sends nothing meanwhile (issue 45). */
static void
test_idle_timeout (void)
{
  fixture_t fixture
      = { .body_bytes = LARGE_BODY_BYTES, .idle_timeout_ms = IDLE_TIMEOUT_MS };

  set_up (&fixture);
  send_text (&fixture, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  g_assert_cmpuint (read_large (&fixture), ==, fixture.body_bytes);
  caller_free (fixture.caller);
}

/** Sends a request that is refused and more bytes, and reads only after that.
 * Returns whether the whole refusal was received and no reset. */
static bool
is_refused (const char *headers, const char *status)
{
  fixture_t fixture = { .body_bytes = 1 };
  char *more = g_strnfill (MORE_BYTES, 'y');
  char *head
      = g_strdup_printf ("POST /x HTTP/1.1\r\nHost: a\r\n%s\r\n", headers);
  bool is_whole;

  set_up (&fixture);
  send_text (&fixture, head);
  g_assert_cmpuint (caller_send (fixture.caller, more, MORE_BYTES), ==,
                    MORE_BYTES);
  exit_later (&fixture);
  run_to_end (&fixture);
  read_rest (&fixture);
  is_whole = g_str_has_prefix (fixture.caller->answer->str, status)
             && fixture.caller->has_end;
  caller_free (fixture.caller);
  g_free (head);
  g_free (more);
  return is_whole;
}

/* Guards against a reset that takes the refusal, when the caller has sent more
 * than was read of its doubtful request (issue 45). */
static void
test_refused_framing (void)
{
  g_assert_true (is_refused ("Content-Length: 0\r\nContent-Length: 0\r\n",
                             "HTTP/1.1 400 "));
}

/* Guards against the same for a body that is too large. */
static void
test_refused_size (void)
{
  g_assert_true (is_refused (TOO_LARGE_HEADER, "HTTP/1.1 413 "));
}

int
main (int argc, char **argv)
{
  base_init ("t0010-daemon");
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/daemon/answer-of-last-turn", test_answer_of_last_turn);
  g_test_add_func ("/daemon/slow-reader", test_slow_reader);
  g_test_add_func ("/daemon/caller-that-does-not-read",
                   test_caller_that_does_not_read);
  g_test_add_func ("/daemon/caller-that-has-closed",
                   test_caller_that_has_closed);
  g_test_add_func ("/daemon/shut-while-reading", test_shut_while_reading);
  g_test_add_func ("/daemon/shut-after-small-request",
                   test_shut_after_small_request);
  g_test_add_func ("/daemon/idle-timeout", test_idle_timeout);
  g_test_add_func ("/daemon/refused-framing", test_refused_framing);
  g_test_add_func ("/daemon/refused-size", test_refused_size);
  return g_test_run ();
}
