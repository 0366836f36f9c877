/*
 * The planned stop of a control instance while calls wait for the group.
 */
#include <glib.h>
#include <signal.h>

#include "lib-nodes.h"

/** Time in which a call reaches the group. */
#define CALL_SETTLED_MS 150

static void
signal_others (const nodes_t *nodes, int signal_number)
{
  for (int i = 1; i < NODES_CONTROLS; i++)
    process_signal (nodes->process[i], signal_number);
}

/* Guards against ending the process before the answer to a configuration whose
 * commit is under way (issue 45): its operator saw the connection close. */
static void
test_call_under_way (void)
{
  nodes_t *nodes = nodes_new (5);
  call_t *call;
  answer_t answer;

  signal_others (nodes, SIGSTOP);
  call = nodes_start_put_config (nodes, 0, 9);
  cluster_sleep_ms (CALL_SETTLED_MS);
  process_signal (nodes->process[0], SIGTERM);
  answer = call_finish (call);
  signal_others (nodes, SIGCONT);
  g_assert_cmpint (answer.status, ==, 503);
  cluster_answer_free (&answer);
  process_expect_success (nodes->process[0]);
  nodes_free (nodes);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node-control-stop/call-under-way", test_call_under_way);
  return g_test_run ();
}
