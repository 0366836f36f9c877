#include "lib-caller-server.h"

#include <event2/event.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "lib-address.h"

/** Answers at once, with a large body except for one target. */
static void
on_request (caller_request_t *request, void *context)
{
  http_fields_t fields = { 0 };
  size_t length = strcmp (caller_request_target (request), "/small") == 0
                      ? 1
                      : SERVED_BODY_BYTES;
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

void
served_set_up (served_t *served, uint32_t idle_timeout_ms)
{
  caller_server_options_t options
      = { .listen = served->listen,
          .limits = { .max_head_bytes = 4096,
                      .max_body_bytes = 4096,
                      .head_timeout_ms = 1000,
                      .idle_timeout_ms = idle_timeout_ms },
          .on_request = on_request,
          .on_gone = on_nothing,
          .on_drained = on_nothing };

  *served = (served_t){ .base = event_base_new () };
  options.base = served->base;
  served->metrics = options.metrics = metrics_new (NULL);
  choose_free_address (served->listen);
  served->server = caller_server_new (NULL, &options);
  g_assert_nonnull (served->server);
  served->caller = caller_new (served->listen);
}

void
served_free_server (served_t *served)
{
  talloc_free (served->server);
}

void
served_clean_up (served_t *served)
{
  caller_free (served->caller);
  talloc_free (served->metrics);
  event_base_free (served->base);
}

void
served_run_for (served_t *served, uint32_t time_ms)
{
  uint64_t end_ms = clock_mono_ms () + time_ms;

  while (clock_mono_ms () < end_ms)
    {
      event_base_loop (served->base, EVLOOP_NONBLOCK);
      g_usleep (500);
    }
}

void
served_read_all (served_t *served)
{
  uint64_t end_ms = clock_mono_ms () + SERVED_WAIT_TIMEOUT_MS;

  while (!caller_read (served->caller) && clock_mono_ms () < end_ms)
    event_base_loop (served->base, EVLOOP_NONBLOCK);
}
