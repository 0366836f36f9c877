#include "lib-address.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>

void
choose_free_address (char text[ADDRESS_BYTES])
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int on = 1;
  int holder = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (holder, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  g_assert_cmpint (bind (holder, (struct sockaddr *)&address, size), ==, 0);
  getsockname (holder, (struct sockaddr *)&address, &size);
  snprintf (text, ADDRESS_BYTES, "127.0.0.1:%u", ntohs (address.sin_port));
}
