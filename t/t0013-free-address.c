/**
 * @file t0013-free-address.c
 * The addresses that tests choose before they listen there.
 */
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib-address.h"

#define ADDRESSES      500
#define OTHER_SOCKETS  20000
#define LISTEN_BACKLOG 16

static struct sockaddr_storage
parse_address (const char *text, int *size)
{
  struct sockaddr_storage address = { 0 };

  *size = sizeof address;
  g_assert_cmpint (
      evutil_parse_sockaddr_port (text, (struct sockaddr *)&address, size), ==,
      0);
  return address;
}

/** Returns a set of addresses that choose_free_address() gave. */
static GHashTable *
choose_addresses (void)
{
  GHashTable *chosen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (uint32_t i = 0; i < ADDRESSES; i++)
    {
      char *text = g_malloc (ADDRESS_BYTES);

      choose_free_address (text);
      g_assert_true (g_hash_table_add (chosen, text));
    }
  return chosen;
}

/** No address is given twice, though nobody listens there yet. */
static void
test_distinct (void)
{
  g_hash_table_unref (choose_addresses ());
}

/** Binds a socket to any free port of loopback; returns the address as text. */
static char *
bind_to_any_port (bool is_reusable)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int on = is_reusable;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&address, size), ==, 0);
  getsockname (fd, (struct sockaddr *)&address, &size);
  close (fd);
  return g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
}

/** A socket that asks for any free port does not get one that a test has chosen
 * and does not listen on yet. */
static void
test_not_taken_by_others (void)
{
  GHashTable *chosen = choose_addresses ();

  for (uint32_t i = 0; i < OTHER_SOCKETS; i++)
    {
      char *other = bind_to_any_port (i % 2 == 0);

      g_assert_false (g_hash_table_contains (chosen, other));
      g_free (other);
    }
  g_hash_table_unref (chosen);
}

/** A server of a test can listen at the address, and again after it has
 * closed; a connection in between is refused. */
static void
test_listen_again (void)
{
  struct event_base *base = event_base_new ();
  char text[ADDRESS_BYTES];
  struct sockaddr_storage address;
  int size;

  choose_free_address (text);
  address = parse_address (text, &size);
  for (uint32_t i = 0; i < 3; i++)
    {
      struct evconnlistener *listener = evconnlistener_new_bind (
          base, NULL, NULL, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
          LISTEN_BACKLOG, (struct sockaddr *)&address, size);
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

      g_assert_nonnull (listener);
      evconnlistener_free (listener);
      g_assert_cmpint (connect (fd, (struct sockaddr *)&address, size), ==, -1);
      close (fd);
    }
  event_base_free (base);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/free-address/distinct", test_distinct);
  g_test_add_func ("/free-address/not-taken-by-others",
                   test_not_taken_by_others);
  g_test_add_func ("/free-address/listen-again", test_listen_again);
  return g_test_run ();
}
