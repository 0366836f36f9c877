#include "announce.h"

#include <event2/event.h>
#include <talloc.h>

#include "base.h"
#include "http.h"

#define REQUEST_TIMEOUT_MS 1000
#define ANNOUNCE_PATH      "/v1/announce"

typedef struct
{
  announce_t *announce;
  const char *address;
  bool pending; /* a request to this target has not ended yet */
  bool resend;  /* the state changed during the request */
} target_t;

struct announce
{
  announce_options_t options;
  struct event *timer;
  target_t *targets;
};

static void post_announcement (target_t *target);

static void
on_answer (int status, JsonObject *body, void *context)
{
  target_t *target = context;

  target->pending = false;
  if (!target->resend)
    return;
  target->resend = false;
  post_announcement (target);
}

static void
post_announcement (target_t *target)
{
  const announce_options_t *options = &target->announce->options;
  http_call_options_t call = { .owner = target->announce,
                               .base = options->base,
                               .address = target->address,
                               .method = "POST",
                               .path = ANNOUNCE_PATH,
                               .body = options->body (options->context),
                               .timeout_ms = REQUEST_TIMEOUT_MS,
                               .done = on_answer,
                               .context = target };

  target->pending = true;
  http_call (&call);
}

static void
on_announce_interval (evutil_socket_t fd, short what, void *arg)
{
  announce_t *announce = arg;

  for (size_t i = 0; i < announce->options.target_count; i++)
    if (!announce->targets[i].pending)
      post_announcement (&announce->targets[i]);
}

void
announce_now (announce_t *announce)
{
  for (size_t i = 0; i < announce->options.target_count; i++)
    {
      target_t *target = &announce->targets[i];

      if (target->pending)
        target->resend = true;
      else
        post_announcement (target);
    }
}

bool
announce_is_settled (const announce_t *announce)
{
  for (size_t i = 0; i < announce->options.target_count; i++)
    if (announce->targets[i].pending)
      return false;
  return true;
}

static int
free_announce (announce_t *announce)
{
  event_free (announce->timer);
  return 0;
}

announce_t *
announce_new (void *parent, const announce_options_t *options)
{
  announce_t *announce = talloc_zero (parent, announce_t);
  struct timeval interval = timeval_from_ms (options->interval_ms);

  announce->options = *options;
  announce->targets
      = talloc_zero_array (announce, target_t, options->target_count);
  for (size_t i = 0; i < options->target_count; i++)
    announce->targets[i]
        = (target_t){ .announce = announce, .address = options->targets[i] };
  announce->timer = event_new (options->base, -1, EV_PERSIST,
                               on_announce_interval, announce);
  event_add (announce->timer, &interval);
  talloc_set_destructor (announce, free_announce);
  announce_now (announce);
  return announce;
}
