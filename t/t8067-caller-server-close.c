/*
 * The end of connections of the server for callers: what the kernel still
 * holds, what the log says of it, and how long a connection is read on.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base.h"
#include "lib-caller-server.h"
#include "logging.h"

#define IDLE_TIMEOUT_MS 30000
/** As in the server: time without a byte, and longest time of all, for which a
 * connection is read on; and what a busy machine may add. */
#define LINGER_SILENCE_MS 1000
#define LINGER_MAX_MS     5000
#define LATENESS_MS       1500

static const char get[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
static const char get_small_and_close[]
    = "GET /small HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

static bool
is_written (const served_t *served)
{
  struct evbuffer *out = evbuffer_new ();
  bool is_written;

  metrics_write (served->metrics, out);
  evbuffer_add (out, "", 1);
  is_written = strstr ((char *)evbuffer_pullup (out, -1),
                       "lwm_callers_answers_written_total 1\n")
               != NULL;
  evbuffer_free (out);
  return is_written;
}

/** Reads until the server has written its answer; the kernel holds the rest. */
static void
read_until_written (served_t *served)
{
  uint64_t end_ms = clock_mono_ms () + SERVED_WAIT_TIMEOUT_MS;

  served_run_for (served, 20);
  while (!is_written (served) && clock_mono_ms () < end_ms)
    {
      caller_read (served->caller);
      event_base_loop (served->base, EVLOOP_NONBLOCK);
    }
  g_assert_cmpuint (served->caller->answer->len, <, SERVED_BODY_BYTES);
}

/** A stop closes a connection as idle while the kernel still delivers its last
 * answer; the caller's next request crosses the close, and the reset takes the
 * rest of the answer. */
static void
test_idle_undelivered (void)
{
  served_t served;
  const char *body;

  served_set_up (&served, IDLE_TIMEOUT_MS);
  caller_send (served.caller, get, strlen (get));
  read_until_written (&served);
  caller_server_close_idle (served.server);
  served_run_for (&served, 20);
  caller_send (served.caller, get, strlen (get));
  served_run_for (&served, 20);
  served_read_all (&served);
  body = strstr (served.caller->answer->str, "\r\n\r\n");
  g_assert_nonnull (body);
  g_assert_cmpuint (strlen (body + 4), >=, SERVED_BODY_BYTES);
  served_free_server (&served);
  served_clean_up (&served);
}

/** Returns what the process writes to stderr while the server is freed. */
static char *
log_of_free (served_t *served)
{
  char path[] = "/tmp/t8067-XXXXXX";
  int file = mkstemp (path);
  int saved = dup (STDERR_FILENO);
  char *text = NULL;

  dup2 (file, STDERR_FILENO);
  served_free_server (served);
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
  served_t served;
  char *text;

  served_set_up (&served, IDLE_TIMEOUT_MS);
  caller_send (served.caller, get, strlen (get));
  read_until_written (&served);
  /* The loop does not run again, so these bytes stay unread. */
  caller_send (served.caller, "GET", 3);
  g_usleep (20000);
  text = log_of_free (&served);
  served_read_all (&served);
  /* The answer was cut, so a line has to say so. */
  g_assert_true (served.caller->was_reset);
  g_assert_cmpuint (served.caller->answer->len, <, SERVED_BODY_BYTES);
  g_assert_nonnull (strstr (text, "before its answer was delivered"));
  g_free (text);
  served_clean_up (&served);
}

/** Sends without an end while the server is busy; returns how long it was. */
static uint64_t
busy_ms (served_t *served, bool sends)
{
  uint64_t begun_ms = clock_mono_ms ();
  uint64_t end_ms = begun_ms + SERVED_WAIT_TIMEOUT_MS;

  while (caller_server_is_busy (served->server) && clock_mono_ms () < end_ms)
    {
      if (sends)
        caller_send (served->caller, "x", 1);
      event_base_loop (served->base, EVLOOP_NONBLOCK);
      g_usleep (5000);
    }
  return clock_mono_ms () - begun_ms;
}

/** A caller that neither sends nor closes after its last answer keeps its
 * connection longer than the silence that is allowed. */
static void
test_linger_silence (void)
{
  served_t served;

  served_set_up (&served, IDLE_TIMEOUT_MS);
  caller_send (served.caller, get_small_and_close,
               strlen (get_small_and_close));
  served_run_for (&served, 20);
  g_assert_cmpuint (busy_ms (&served, false), <=,
                    LINGER_SILENCE_MS + LATENESS_MS);
  served_free_server (&served);
  served_clean_up (&served);
}

/** A caller that never stops sending after its last answer keeps its connection
 * for good. */
static void
test_linger_max (void)
{
  served_t served;

  served_set_up (&served, IDLE_TIMEOUT_MS);
  caller_send (served.caller, get_small_and_close,
               strlen (get_small_and_close));
  served_run_for (&served, 20);
  g_assert_cmpuint (busy_ms (&served, true), <=, LINGER_MAX_MS + LATENESS_MS);
  served_free_server (&served);
  served_clean_up (&served);
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
