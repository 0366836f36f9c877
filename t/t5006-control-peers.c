/*
 * The sockets and addresses of control replicas, over many replacements.
 */
#include <event2/event.h>
#include <glib.h>
#include <talloc.h>

#include "control-peers.h"

/** Replacements of machines, each at a new address, that a process lives
 * through. */
#define REPLACEMENTS 400

/** Incarnation of a member that stays, and the first of those that do not. */
#define STAYING 1
#define LEAVING 100

static bool
send_to_replica (control_peers_t *peers, uint64_t incarnation)
{
  static const uint8_t data[] = { 0 };

  return control_peers_send (peers, incarnation, data, sizeof data);
}

/* Guards against: a process that reaches no new replica any more once it has
 * known as many as its tables hold (CONFIG). */
static void
test_many_replacements (void)
{
  struct event_base *base = event_base_new ();
  control_peers_options_t options = { .base = base };
  char *why = NULL;
  control_peers_t *peers = control_peers_new (NULL, &options, &why);

  g_assert_nonnull (peers);
  control_peers_set_address (peers, STAYING, "staying", "127.0.0.1:9");
  for (uint32_t i = 0; i < REPLACEMENTS; i++)
    {
      char *address = g_strdup_printf ("127.0.0.1:%u", 20000 + i);

      control_peers_set_address (peers, LEAVING + i, address, address);
      g_assert_true (send_to_replica (peers, LEAVING + i));
      /* Its queue fills up, as nobody takes the messages. */
      if (i < 32)
        g_assert_true (send_to_replica (peers, STAYING));
      else
        send_to_replica (peers, STAYING);
      g_free (address);
    }
  control_peers_mark_heard (peers, STAYING, 1);
  g_assert_true (control_peers_heard_within (peers, STAYING, 1, 1));
  g_assert_false (send_to_replica (peers, LEAVING));
  talloc_free (peers);
  event_base_free (base);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-peers/many-replacements", test_many_replacements);
  return g_test_run ();
}
