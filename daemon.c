#include "daemon.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "framing.h"
#include "http-backlog.h"
#include "http-connections.h"
#include "http.h"
#include "logging.h"
#include "settings.h"
#include "tls.h"

#define DEFAULT_MAX_BODY_BYTES  (1024 * 1024)
#define MAX_HEADERS_BYTES       (32 * 1024)
#define DEFAULT_IDLE_TIMEOUT_MS 60000
/** Longest time from a stop signal, or from daemon_exit() without one, until
 * the process ends although answers or log lines are still being written. */
#define LAST_ANSWERS_TIMEOUT_MS 3000
/** Time for the last answers when the work itself took longer than that. */
#define LAST_ANSWERS_MIN_MS   200
#define LAST_ANSWERS_CHECK_MS 10
/** Time between two tries to write log lines that their reader did not take. */
#define LOG_FLUSH_INTERVAL_MS 50

struct daemon
{
  struct event_base *base;
  struct evhttp *http;
  tls_t *tls; /* NULL for plain HTTP */
  http_backlog_t *backlog;
  memory_account_t *memory;
  http_connections_t *connections;
  metrics_t *metrics;
  struct event *signals[3];
  struct event *exit_check;
  struct event *log_flush;
  uint64_t stop_signal_ms; /* when the first stop signal came, or 0 */
  uint64_t exit_latest_ms; /* 0 until daemon_exit() is called */
  daemon_options_t options;
  char *listen;
  bool healthy;
  int exit_code;
};

static int
free_daemon (daemon_t *daemon)
{
  for (size_t i = 0; i < sizeof daemon->signals / sizeof *daemon->signals; i++)
    if (daemon->signals[i] != NULL)
      event_free (daemon->signals[i]);
  event_free (daemon->exit_check);
  logging_on_unwritten (NULL, NULL);
  event_free (daemon->log_flush);
  if (daemon->http != NULL)
    evhttp_free (daemon->http);
  TALLOC_FREE (daemon->connections);
  /* A connection with a deferred callback is released in the next turn. */
  event_base_loop (daemon->base, EVLOOP_NONBLOCK);
  event_base_free (daemon->base);
  return 0;
}

/** Tries again later to write log lines that wait for their reader. */
static void
flush_log_later (void *context)
{
  daemon_t *daemon = context;
  struct timeval interval = timeval_from_ms (LOG_FLUSH_INTERVAL_MS);

  if (!event_pending (daemon->log_flush, EV_TIMEOUT, NULL))
    event_add (daemon->log_flush, &interval);
}

static void
on_log_flush (evutil_socket_t fd, short what, void *arg)
{
  if (!logging_flush ())
    flush_log_later (arg);
}

/** Ends the loop once the last answers and log lines are written. */
static void
on_exit_check (evutil_socket_t fd, short what, void *arg)
{
  daemon_t *daemon = arg;
  struct timeval interval = timeval_from_ms (LAST_ANSWERS_CHECK_MS);
  bool has_unsent = http_backlog_has_unsent (daemon->backlog);
  bool has_lines = !logging_flush ();

  if ((has_unsent || has_lines) && clock_mono_ms () < daemon->exit_latest_ms)
    {
      event_add (daemon->exit_check, &interval);
      return;
    }
  if (has_unsent)
    log_warn ("The process ends before its last answers are written.");
  event_base_loopbreak (daemon->base);
}

static void
on_stop_signal (evutil_socket_t signal_number, short what, void *arg)
{
  daemon_t *daemon = arg;

  log_info ("Stopping on signal %d.", (int)signal_number);
  if (daemon->stop_signal_ms == 0)
    daemon->stop_signal_ms = clock_mono_ms ();
  if (daemon->options.on_stop != NULL)
    daemon->options.on_stop (daemon->options.context);
  else
    daemon_exit (daemon, EXIT_CODE_OK);
}

static void
on_reload_signal (evutil_socket_t signal_number, short what, void *arg)
{
  daemon_t *daemon = arg;

  if (daemon->tls != NULL && tls_server_reload (daemon->tls))
    log_info ("Certificates were read again.");
  if (daemon->options.on_reload != NULL)
    daemon->options.on_reload (daemon->options.context);
}

static void
serve_health (struct evhttp_request *request, const daemon_t *daemon)
{
  struct evbuffer *out = evbuffer_new ();

  evbuffer_add_printf (out, daemon->healthy ? "ok\n" : "not ready\n");
  http_send (request, daemon->healthy ? 200 : 503, NULL, out);
  evbuffer_free (out);
}

static void
serve_metrics (struct evhttp_request *request, const daemon_t *daemon)
{
  struct evbuffer *out = evbuffer_new ();

  metrics_write (daemon->metrics, out);
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "text/plain; version=0.0.4");
  http_send (request, 200, NULL, out);
  evbuffer_free (out);
}

/**
 * Refuses a request with doubtful framing and closes its connection, because it
 * is not certain where the next request begins.
 */
static void
refuse_framing (struct evhttp_request *request, const char *mistake)
{
  evhttp_add_header (evhttp_request_get_output_headers (request), "Connection",
                     "close");
  http_reply_error (request, ERROR_BAD_REQUEST, RAN_NO, mistake, NULL, 0);
}

static void
serve (struct evhttp_request *request, void *arg)
{
  daemon_t *daemon = arg;
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  const char *mistake = framing_error (request);

  http_connections_handle (daemon->connections, request);
  http_backlog_watch (daemon->backlog, request);
  if (mistake != NULL)
    refuse_framing (request, mistake);
  else if (path != NULL && strcmp (path, "/healthz") == 0)
    serve_health (request, daemon);
  else if (path != NULL && strcmp (path, "/metrics") == 0)
    serve_metrics (request, daemon);
  else if (daemon->options.fallback != NULL)
    daemon->options.fallback (request, daemon->options.context);
  else
    http_reply_error (request, ERROR_NOT_FOUND, RAN_NO, NULL, NULL, 0);
}

static void
set_up_signals (daemon_t *daemon)
{
  daemon->signals[0]
      = evsignal_new (daemon->base, SIGTERM, on_stop_signal, daemon);
  daemon->signals[1]
      = evsignal_new (daemon->base, SIGINT, on_stop_signal, daemon);
  daemon->signals[2]
      = evsignal_new (daemon->base, SIGHUP, on_reload_signal, daemon);
  for (size_t i = 0; i < sizeof daemon->signals / sizeof *daemon->signals; i++)
    event_add (daemon->signals[i], NULL);
  signal (SIGPIPE, SIG_IGN);
}

/** Creates the account of the HTTP clients. The account of the main listener
 * has the metrics. */
static void
set_up_memory (daemon_t *daemon)
{
  const daemon_options_t *options = &daemon->options;
  memory_account_options_t memory = { 0 };

  if (options->is_secondary)
    memory.limit_bytes
        = http_connections_small_memory_limit (options->memory_mb);
  else
    {
      memory.limit_bytes = http_connections_memory_limit (options->memory_mb);
      memory.metrics = daemon->metrics;
    }
  daemon->memory = memory_account_new (daemon, &memory);
}

static bool
set_up_tls (daemon_t *daemon)
{
  const daemon_options_t *options = &daemon->options;

  if (options->tls_certificate == NULL || options->tls_certificate[0] == '\0')
    return true;
  daemon->tls
      = tls_server_new (daemon, options->tls_certificate, options->tls_key);
  return daemon->tls != NULL;
}

static void
set_up_connections (daemon_t *daemon)
{
  const daemon_options_t *options = &daemon->options;
  http_connections_options_t connections
      = { .base = daemon->base,
          .http = daemon->http,
          .account = daemon->memory,
          .metrics = daemon->metrics,
          .tls = daemon->tls,
          .max_connections
          = options->is_secondary
                ? http_connections_small_share (options->max_descriptors)
                : http_connections_share (options->max_descriptors),
          .max_head_bytes = MAX_HEADERS_BYTES,
          .max_body_bytes = options->max_body_bytes > 0
                                ? options->max_body_bytes
                                : DEFAULT_MAX_BODY_BYTES };

  daemon->connections = http_connections_new (daemon, &connections);
}

static bool
set_up_http (daemon_t *daemon)
{
  const daemon_options_t *options = &daemon->options;
  uint32_t idle_ms = options->idle_timeout_ms > 0 ? options->idle_timeout_ms
                                                  : DEFAULT_IDLE_TIMEOUT_MS;
  struct timeval idle = timeval_from_ms (idle_ms);
  struct evhttp_bound_socket *socket = NULL;
  char ip[64];
  uint16_t port;

  if (!set_up_tls (daemon))
    return false;
  daemon->http = evhttp_new (daemon->base);
  evhttp_set_timeout_tv (daemon->http, &idle);
  evhttp_set_allowed_methods (daemon->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                                | EVHTTP_REQ_PUT
                                                | EVHTTP_REQ_DELETE);
  evhttp_set_gencb (daemon->http, serve, daemon);
  set_up_connections (daemon);
  if (settings_split_address (daemon->listen, ip, &port))
    socket = evhttp_bind_socket_with_handle (daemon->http, ip, port);
  if (socket == NULL)
    {
      print_error ("cannot listen on '%s': %s", daemon->listen,
                   strerror (errno));
      return false;
    }
  http_connections_listen (daemon->connections, socket);
  return true;
}

static double
read_dropped_lines (void *context)
{
  return (double)logging_dropped_lines ();
}

daemon_t *
daemon_new (void *parent, const daemon_options_t *options)
{
  daemon_t *daemon = talloc_zero (parent, daemon_t);
  logging_level_t level = LOGGING_INFO;

  logging_level_from_name (options->log_level, &level);
  logging_init (level);
  daemon->options = *options;
  daemon->listen = talloc_strdup (daemon, options->listen);
  daemon->healthy = true;
  daemon->base = event_base_new ();
  if (daemon->base == NULL)
    die ("cannot create an event loop");
  daemon->metrics = metrics_new (daemon);
  metrics_add_process (daemon->metrics);
  metrics_gauge_read (daemon->metrics, "lwm_log_lines_dropped_total",
                      "Log lines left out because their reader was too slow.",
                      NULL, read_dropped_lines, NULL);
  set_up_memory (daemon);
  daemon->backlog = http_backlog_new (daemon);
  daemon->exit_check = event_new (daemon->base, -1, 0, on_exit_check, daemon);
  daemon->log_flush = event_new (daemon->base, -1, 0, on_log_flush, daemon);
  logging_on_unwritten (flush_log_later, daemon);
  talloc_set_destructor (daemon, free_daemon);
  set_up_signals (daemon);
  if (!set_up_http (daemon))
    {
      talloc_free (daemon);
      return NULL;
    }
  return daemon;
}

struct event_base *
daemon_base (daemon_t *daemon)
{
  return daemon->base;
}

struct evhttp *
daemon_http (daemon_t *daemon)
{
  return daemon->http;
}

metrics_t *
daemon_metrics (daemon_t *daemon)
{
  return daemon->metrics;
}

void
daemon_set_healthy (daemon_t *daemon, bool healthy)
{
  daemon->healthy = healthy;
}

int
daemon_run (daemon_t *daemon)
{
  printf ("ready %s\n", daemon->listen);
  fflush (stdout);
  log_info ("Ready. listen=%s", daemon->listen);
  event_base_dispatch (daemon->base);
  return daemon->exit_code;
}

void
daemon_exit (daemon_t *daemon, int exit_code)
{
  struct timeval next_turn = { 0 };
  uint64_t now_ms = clock_mono_ms ();
  uint64_t started_ms
      = daemon->stop_signal_ms > 0 ? daemon->stop_signal_ms : now_ms;

  daemon->exit_code = exit_code;
  if (daemon->exit_latest_ms > 0)
    return;
  daemon->exit_latest_ms = MAX (started_ms + LAST_ANSWERS_TIMEOUT_MS,
                                now_ms + LAST_ANSWERS_MIN_MS);
  event_add (daemon->exit_check, &next_turn);
}

void
daemon_exit_now (daemon_t *daemon, int exit_code)
{
  daemon->exit_code = exit_code;
  event_base_loopbreak (daemon->base);
}
