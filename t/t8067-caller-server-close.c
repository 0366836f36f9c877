/*
 * The end of connections of the server for callers: what the kernel still
 * holds, what the log says of it, and how long a connection is read on.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "base.h"
#include "caller-server.h"
#include "lib-caller.h"
#include "lib-scripted.h"
#include "logging.h"

#define WAIT_TIMEOUT_MS 20000
/** Size of an answer that is larger than all buffers of the kernel. */
#define LARGE_BODY_BYTES (7u * 1024 * 1024)
#define IDLE_TIMEOUT_MS  30000
/** As in the server: time without a byte, and longest time of all, for which a
 * connection is read on; and what a busy machine may add. */
#define LINGER_SILENCE_MS 1000
#define LINGER_MAX_MS     5000
#define LATENESS_MS       1500

typedef struct
{
  struct event_base *base;
  metrics_t *metrics;
  caller_server_t *server;
  caller_t *caller;
  char listen[32];
} fixture_t;

static const char get[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
static const char get_small_and_close[]
    = "GET /small HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

/** Answers at once, with a large body except for one target. */
static void
on_request (caller_request_t *request, void *context)
{
  http_fields_t fields = { 0 };
  size_t length = strcmp (caller_request_target (request), "/small") == 0
                      ? 1
                      : LARGE_BODY_BYTES;
  char *body = g_strnfill (length, 'x');

  caller_request_set_id (request, "r1");
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
  fixture->metrics = options.metrics = metrics_new (NULL);
  scripted_find_free_address (fixture->base, fixture->listen);
  fixture->server = caller_server_new (options.metrics, &options);
  g_assert_nonnull (fixture->server);
  fixture->caller = caller_new (fixture->listen);
}

static void
free_server (fixture_t *fixture)
{
  talloc_free (talloc_parent (fixture->server));
}

static void
clean_up (fixture_t *fixture)
{
  caller_free (fixture->caller);
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

static void
read_all (fixture_t *fixture)
{
  uint64_t end_ms = clock_mono_ms () + WAIT_TIMEOUT_MS;

  while (!caller_read (fixture->caller) && clock_mono_ms () < end_ms)
    event_base_loop (fixture->base, EVLOOP_NONBLOCK);
}

static bool
is_written (const fixture_t *fixture)
{
  struct evbuffer *out = evbuffer_new ();
  bool is_written;

  metrics_write (fixture->metrics, out);
  evbuffer_add (out, "", 1);
  is_written = strstr ((char *)evbuffer_pullup (out, -1),
                       "lwm_callers_answers_written_total 1\n")
               != NULL;
  evbuffer_free (out);
  return is_written;
}

/** Reads until the server has written its answer; the kernel holds the rest. */
static void
read_until_written (fixture_t *fixture)
{
  uint64_t end_ms = clock_mono_ms () + WAIT_TIMEOUT_MS;

  run_for (fixture, 20);
  while (!is_written (fixture) && clock_mono_ms () < end_ms)
    {
      caller_read (fixture->caller);
      event_base_loop (fixture->base, EVLOOP_NONBLOCK);
    }
  g_assert_cmpuint (fixture->caller->answer->len, <, LARGE_BODY_BYTES);
}

/** A stop closes a connection as idle while the kernel still delivers its last
 * answer; the caller's next request crosses the close, and the reset takes the
 * rest of the answer. */
static void
test_idle_undelivered (void)
{
  fixture_t fixture;
  const char *body;

  set_up (&fixture);
  caller_send (fixture.caller, get, strlen (get));
  read_until_written (&fixture);
  caller_server_close_idle (fixture.server);
  run_for (&fixture, 20);
  caller_send (fixture.caller, get, strlen (get));
  run_for (&fixture, 20);
  read_all (&fixture);
  body = strstr (fixture.caller->answer->str, "\r\n\r\n");
  g_assert_nonnull (body);
  g_assert_cmpuint (strlen (body + 4), >=, LARGE_BODY_BYTES);
  free_server (&fixture);
  clean_up (&fixture);
}

/** Returns what the process writes to stderr while the server is freed. */
static char *
log_of_free (fixture_t *fixture)
{
  char path[] = "/tmp/t8067-XXXXXX";
  int file = mkstemp (path);
  int saved = dup (STDERR_FILENO);
  char *text = NULL;

  dup2 (file, STDERR_FILENO);
  free_server (fixture);
  fflush (stderr);
  dup2 (saved, STDERR_FILENO);
  close (saved);
  close (file);
  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  unlink (path);
  return text;
}

/** An answer whose end the kernel drops, because bytes of the caller are unread
 * at the end of the connection, leaves no line: nobody can tell that it was
 * lost. */
static void
test_drop_is_logged (void)
{
  fixture_t fixture;
  char *text;

  set_up (&fixture);
  caller_send (fixture.caller, get, strlen (get));
  read_until_written (&fixture);
  /* The loop does not run again, so these bytes stay unread. */
  caller_send (fixture.caller, "GET", 3);
  g_usleep (20000);
  text = log_of_free (&fixture);
  read_all (&fixture);
  /* The answer was cut, so a line has to say so. */
  g_assert_true (fixture.caller->was_reset);
  g_assert_cmpuint (fixture.caller->answer->len, <, LARGE_BODY_BYTES);
  g_assert_nonnull (strstr (text, "before its answer was delivered"));
  g_free (text);
  clean_up (&fixture);
}

/** Sends without an end while the server is busy; returns how long it was. */
static uint64_t
busy_ms (fixture_t *fixture, bool sends)
{
  uint64_t begun_ms = clock_mono_ms ();
  uint64_t end_ms = begun_ms + WAIT_TIMEOUT_MS;

  while (caller_server_is_busy (fixture->server) && clock_mono_ms () < end_ms)
    {
      if (sends)
        caller_send (fixture->caller, "x", 1);
      event_base_loop (fixture->base, EVLOOP_NONBLOCK);
      g_usleep (5000);
    }
  return clock_mono_ms () - begun_ms;
}

/** A caller that neither sends nor closes after its last answer keeps its
 * connection longer than the silence that is allowed. */
static void
test_linger_silence (void)
{
  fixture_t fixture;

  set_up (&fixture);
  caller_send (fixture.caller, get_small_and_close,
               strlen (get_small_and_close));
  run_for (&fixture, 20);
  g_assert_cmpuint (busy_ms (&fixture, false), <=,
                    LINGER_SILENCE_MS + LATENESS_MS);
  free_server (&fixture);
  clean_up (&fixture);
}

/** A caller that never stops sending after its last answer keeps its connection
 * for good. */
static void
test_linger_max (void)
{
  fixture_t fixture;

  set_up (&fixture);
  caller_send (fixture.caller, get_small_and_close,
               strlen (get_small_and_close));
  run_for (&fixture, 20);
  g_assert_cmpuint (busy_ms (&fixture, true), <=, LINGER_MAX_MS + LATENESS_MS);
  free_server (&fixture);
  clean_up (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8067-caller-server-close");
  logging_init (LOGGING_WARN);
  g_test_add_func ("/caller-server-close/idle-undelivered",
                   test_idle_undelivered);
  g_test_add_func ("/caller-server-close/drop-is-logged", test_drop_is_logged);
  g_test_add_func ("/caller-server-close/linger-silence", test_linger_silence);
  g_test_add_func ("/caller-server-close/linger-max", test_linger_max);
  return g_test_run ();
}
