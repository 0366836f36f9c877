#include "socket-watch.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define LOG_PART "socket"
#include "logging.h"

static void
set_socket_option (evutil_socket_t fd, int level, int name, uint32_t value)
{
  int number = (int)value;

  if (setsockopt (fd, level, name, &number, sizeof number) != 0)
    log_warn ("Cannot set a socket option. option=%d error=%s", name,
              strerror (errno));
}

void
socket_watch (evutil_socket_t fd, const socket_watch_t *watch)
{
  set_socket_option (fd, IPPROTO_TCP, TCP_NODELAY, 1);
  set_socket_option (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_socket_option (fd, IPPROTO_TCP, TCP_KEEPIDLE, watch->idle_s);
  set_socket_option (fd, IPPROTO_TCP, TCP_KEEPINTVL, watch->interval_s);
  set_socket_option (fd, IPPROTO_TCP, TCP_KEEPCNT, watch->probes);
  set_socket_option (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, watch->user_timeout_ms);
}
