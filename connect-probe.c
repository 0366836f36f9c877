#include "connect-probe.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <talloc.h>

#include "base.h"

struct connect_probe
{
  connect_probe_options_t options;
  struct bufferevent *stream;
};

static int
free_probe (connect_probe_t *probe)
{
  bufferevent_free (probe->stream);
  return 0;
}

static void
on_event (struct bufferevent *stream, short what, void *context)
{
  connect_probe_t *probe = context;
  bool is_connected = (what & BEV_EVENT_CONNECTED) != 0;

  probe->options.done (probe->options.key, is_connected,
                       probe->options.context);
  talloc_free (probe);
}

connect_probe_t *
connect_probe_new (void *parent, const connect_probe_options_t *options)
{
  connect_probe_t *probe = talloc_zero (parent, connect_probe_t);
  struct timeval timeout = timeval_from_ms (options->timeout_ms);
  struct sockaddr_storage peer;
  int peer_bytes = sizeof peer;

  probe->options = *options;
  probe->stream = bufferevent_socket_new (
      options->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  talloc_set_destructor (probe, free_probe);
  bufferevent_setcb (probe->stream, NULL, NULL, on_event, probe);
  bufferevent_set_timeouts (probe->stream, &timeout, &timeout);
  bufferevent_enable (probe->stream, EV_READ | EV_WRITE);
  if (evutil_parse_sockaddr_port (options->address, (struct sockaddr *)&peer,
                                  &peer_bytes)
          != 0
      || bufferevent_socket_connect (probe->stream, (struct sockaddr *)&peer,
                                     peer_bytes)
             != 0)
    bufferevent_trigger_event (probe->stream, BEV_EVENT_ERROR,
                               BEV_TRIG_DEFER_CALLBACKS);
  return probe;
}
