/*
 * The replicas that have asked to join a control group.
 */
#include <glib.h>
#include <talloc.h>

#include "control-joiners.h"

static bool
record (control_joiners_t *joiners,
        const char *name,
        uint64_t incarnation,
        uint64_t heard_ms)
{
  control_joiner_t hello = { .name = (char *)name,
                             .address = (char *)"10.0.0.1:1",
                             .zone = (char *)"z",
                             .incarnation = incarnation,
                             .join = true,
                             .heard_ms = heard_ms };

  return control_joiners_record (joiners, &hello);
}

/** A replica that lost its disk asks with a new incarnation. */
static void
test_newest_hello_holds (void)
{
  control_joiners_t *joiners = control_joiners_new (NULL);

  g_assert_true (record (joiners, "a", 1, 10));
  g_assert_false (record (joiners, "a", 1, 20));
  g_assert_true (record (joiners, "a", 2, 30));
  g_assert_cmpuint (control_joiners_count (joiners), ==, 1);
  g_assert_cmpuint (control_joiners_find (joiners, "a")->incarnation, ==, 2);
  g_assert_null (control_joiners_find (joiners, "b"));
  control_joiners_remove (joiners, 0);
  g_assert_cmpuint (control_joiners_count (joiners), ==, 0);
  talloc_free (joiners);
}

/* Guards against: a group that adds no replica any more once as many others
 * have asked in vain as the table holds (CONFIG). */
static void
test_full_table_takes_the_newest (void)
{
  control_joiners_t *joiners = control_joiners_new (NULL);

  for (uint32_t i = 0; i < 3 * CONTROL_JOINERS_MAX; i++)
    {
      char *name = g_strdup_printf ("replica-%u", i);

      record (joiners, name, i + 1, i);
      g_assert_nonnull (control_joiners_find (joiners, name));
      g_free (name);
    }
  g_assert_cmpuint (control_joiners_count (joiners), ==, CONTROL_JOINERS_MAX);
  g_assert_null (control_joiners_find (joiners, "replica-0"));
  talloc_free (joiners);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-joiners/newest", test_newest_hello_holds);
  g_test_add_func ("/control-joiners/full", test_full_table_takes_the_newest);
  return g_test_run ();
}
