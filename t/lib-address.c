#include "lib-address.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

void
choose_free_address (char text[ADDRESS_BYTES])
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&address, size), ==, 0);
  getsockname (fd, (struct sockaddr *)&address, &size);
  snprintf (text, ADDRESS_BYTES, "127.0.0.1:%u", ntohs (address.sin_port));
  close (fd);
}
