/*
 * Processes on the way of an answer that are killed or stopped within it: the
 * upstream and the entry instance, and the kernel ends their connections in
 * order. Relays have t8352.
 */
#include <arpa/inet.h>
#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lib-address.h"
#include "lib-caller.h"
#include "lib-nodes.h"
#include "lib-wait.h"

#define HEAD                                                                   \
  "HTTP/1.1 200 OK\r\n" NODES_FIELD_ID ": r\r\n" NODES_FIELD_SIGNATURE         \
  ": s.1\r\n"
/** Begins of answers: an event of a stream, and a part of a body. */
#define STREAM                                                                 \
  HEAD "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n"
#define SIZED          HEAD "Content-Length: 1000\r\n\r\npart"
#define RETRY_MS       100
#define SETTLE_MS      300
#define STOP_TIMEOUT_S 3

/** An upstream that is a process, and an entry instance. */
typedef struct
{
  struct event_base *base;
  pid_t upstream;
  int requests; /* pipe with a byte for each request */
  bool has_request;
  char address[32];
  nodes_t *nodes;
  caller_t *caller;
} fixture_t;

/** Sends the begin of an answer to each request, and nothing more. */
static void
run_upstream (int listener, int requests, const char *text)
{
  char request[4096];

  for (;;)
    {
      int fd = accept (listener, NULL, NULL);

      /* A connection without a request is a probe. */
      if (recv (fd, request, sizeof request, 0) <= 0)
        {
          close (fd);
          continue;
        }
      send (fd, text, strlen (text), MSG_NOSIGNAL);
      if (write (requests, "r", 1) != 1)
        _exit (1);
    }
}

static int
listen_at (const char *address)
{
  struct sockaddr_in own = { .sin_family = AF_INET };
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  own.sin_port = htons ((uint16_t)atoi (strchr (address, ':') + 1));
  own.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  g_assert_cmpint (bind (listener, (struct sockaddr *)&own, sizeof own), ==, 0);
  g_assert_cmpint (listen (listener, 16), ==, 0);
  return listener;
}

static void
start_upstream (fixture_t *fixture, const char *text)
{
  int ends[2];
  int listener;

  choose_free_address (fixture->address);
  listener = listen_at (fixture->address);
  g_assert_cmpint (pipe (ends), ==, 0);
  fixture->upstream = fork ();
  g_assert_cmpint (fixture->upstream, >=, 0);
  if (fixture->upstream == 0)
    run_upstream (listener, ends[1], text);
  fixture->requests = ends[0];
  evutil_make_socket_nonblocking (fixture->requests);
  close (ends[1]);
  close (listener);
}

static fixture_t *
set_up (const char *text)
{
  nodes_options_t options = { .version = 5,
                              .has_all_kinds = true,
                              .stop_timeout_s = STOP_TIMEOUT_S };
  fixture_t *fixture = g_new0 (fixture_t, 1);
  nodes_announcement_t announcement
      = { .id = "i-1", .service = "s", .slots = 4, .sequence = 1 };

  fixture->base = event_base_new ();
  start_upstream (fixture, text);
  fixture->nodes = nodes_new_with (&options);
  announcement.address = fixture->address;
  g_assert_cmpint (nodes_announce (fixture->nodes, 0, &announcement), ==, 200);
  return fixture;
}

static void
tear_down (fixture_t *fixture)
{
  caller_free (fixture->caller);
  nodes_free (fixture->nodes);
  kill (fixture->upstream, SIGKILL);
  waitpid (fixture->upstream, NULL, 0);
  close (fixture->requests);
  event_base_free (fixture->base);
  g_free (fixture);
}

static bool
has_ended (caller_t *caller)
{
  caller_read (caller);
  return caller->has_end || caller->was_reset;
}

/** Returns whether a request has reached the upstream. */
static bool
has_request (fixture_t *fixture)
{
  char byte;

  if (read (fixture->requests, &byte, 1) == 1)
    fixture->has_request = true;
  return fixture->has_request;
}

/** Sends a request until one has reached the upstream; the entry instance may
 * not know it at first. */
static void
send_request (fixture_t *fixture, const char *route)
{
  struct event_base *base = fixture->base;
  char *address = nodes_address (fixture->nodes, NODES_ENTRY, 3);
  char *request = g_strdup_printf (
      "POST /%s/a HTTP/1.1\r\nHost: %s\r\n" NODES_FIELD_ID
      ": r\r\n" NODES_FIELD_DEADLINE ": 15000\r\nContent-Length: 2\r\n\r\nab",
      route, fixture->nodes->ip[NODES_ENTRY]);

  while (!fixture->has_request)
    {
      if (fixture->caller != NULL)
        caller_free (fixture->caller);
      g_usleep (RETRY_MS * 1000);
      fixture->caller = caller_new (address);
      caller_send (fixture->caller, request, strlen (request));
      WAIT (has_request (fixture) || has_ended (fixture->caller)
            || caller_has_text (fixture->caller, "HTTP/1.1 "));
    }
  g_free (address);
  g_free (request);
}

/** Returns whether an answer looks whole to a caller. */
static bool
is_whole (const char *answer, bool has_end)
{
  const char *body = strstr (answer, "\r\n\r\n");
  const char *length = strstr (answer, "Content-Length: ");

  if (body == NULL || !g_str_has_prefix (answer, "HTTP/1.1 200"))
    return false;
  if (length != NULL && length < body)
    return strlen (body + 4)
           >= strtoul (length + strlen ("Content-Length: "), NULL, 10);
  if (strstr (answer, "Transfer-Encoding: chunked") != NULL)
    return g_str_has_suffix (answer, "\r\n0\r\n\r\n");
  return has_end;
}

/** Ends the upstream, or the entry instance, within an answer. */
static void
expect_broken (const char *route,
               const char *text,
               bool ends_upstream,
               int signal_number)
{
  fixture_t *fixture = set_up (text);
  struct event_base *base = fixture->base;

  send_request (fixture, route);
  g_usleep (SETTLE_MS * 1000);
  if (ends_upstream)
    kill (fixture->upstream, signal_number);
  else
    process_signal (fixture->nodes->process[NODES_ENTRY], signal_number);
  WAIT (has_ended (fixture->caller)
        || caller_has_text (fixture->caller, "HTTP/1.1 5"));
  if (is_whole (fixture->caller->answer->str, fixture->caller->has_end))
    g_error ("looks whole: %s", fixture->caller->answer->str);
  tear_down (fixture);
}

/* Guards against: an answer in chunks, or with a length, that looks whole after
 * its upstream was killed or stopped (MIXED, ORDER). */
static void
test_upstream (void)
{
  expect_broken ("stream", STREAM, true, SIGKILL);
  expect_broken ("stream", STREAM, true, SIGTERM);
  expect_broken ("unsafe", SIZED, true, SIGKILL);
  expect_broken ("unsafe", SIZED, true, SIGTERM);
}

/* The same after the entry instance was. */
static void
test_instance (void)
{
  expect_broken ("stream", STREAM, false, SIGKILL);
  expect_broken ("stream", STREAM, false, SIGTERM);
  expect_broken ("unsafe", SIZED, false, SIGKILL);
  expect_broken ("unsafe", SIZED, false, SIGTERM);
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/process-ends/upstream", test_upstream);
  g_test_add_func ("/process-ends/instance", test_instance);
  return g_test_run ();
}
