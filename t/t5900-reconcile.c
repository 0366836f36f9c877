/* Tests the plan of orders: it loads missing copies, replaces versions safely
 * and never leaves a zone without a copy. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "reconcile.h"

#define MAX_WEIGHTS 4
#define ENGINES     3

/* Simulated engines that execute orders, so that plans can run to the end. */
typedef struct
{
  Lwm__WantedCopies wanted[2];
  Lwm__WantedCopies *list[2];
  Lwm__Config config;
  reconcile_upstream_t upstreams[ENGINES];
  weights_t weights[ENGINES][MAX_WEIGHTS];
  void *parent;
} fixture_t;

static const char *const names[ENGINES] = { "e1", "e2", "e3" };

static void
set_up (fixture_t *fixture, gconstpointer data)
{
  fixture->parent = talloc_new (NULL);
  lwm__config__init (&fixture->config);
  fixture->config.wanted = fixture->list;
  for (size_t i = 0; i < ENGINES; i++)
    fixture->upstreams[i]
        = (reconcile_upstream_t){ .upstream = names[i],
                                  .zone = "z",
                                  .role = "both",
                                  .loaded = fixture->weights[i] };
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  talloc_free (fixture->parent);
}

static void
add_wanted (fixture_t *fixture, const char *version, uint32_t copies)
{
  size_t i = fixture->config.n_wanted++;

  lwm__wanted_copies__init (&fixture->wanted[i]);
  fixture->wanted[i].zone = (char *)"z";
  fixture->wanted[i].model = (char *)"m";
  fixture->wanted[i].version = (char *)version;
  fixture->wanted[i].copies = copies;
  fixture->list[i] = &fixture->wanted[i];
}

static void
add_loaded (fixture_t *fixture, size_t engine, const char *version)
{
  fixture->weights[engine][fixture->upstreams[engine].loaded_count++]
      = (weights_t){ "m", "", version };
}

static reconcile_order_t *
make_plan (fixture_t *fixture, size_t loads, size_t *count)
{
  reconcile_options_t options
      = { &fixture->config, "z", fixture->upstreams, ENGINES, loads };

  return reconcile_plan (fixture->parent, &options, count);
}

static size_t
count_copies (const fixture_t *fixture, const char *version)
{
  size_t count = 0;

  for (size_t i = 0; i < ENGINES; i++)
    for (size_t k = 0; k < fixture->upstreams[i].loaded_count; k++)
      if (strcmp (fixture->weights[i][k].version, version) == 0)
        count++;
  return count;
}

static void
execute_order (fixture_t *fixture, const reconcile_order_t *order)
{
  for (size_t i = 0; i < ENGINES; i++)
    {
      reconcile_upstream_t *upstream = &fixture->upstreams[i];

      if (strcmp (upstream->upstream, order->upstream) != 0)
        continue;
      if (order->kind == RECONCILE_LOAD)
        add_loaded (fixture, i, order->weights.version);
      else if (order->kind == RECONCILE_ROLE)
        upstream->role = order->role;
      else
        for (size_t k = 0; k < upstream->loaded_count; k++)
          if (strcmp (fixture->weights[i][k].version, order->weights.version)
              == 0)
            {
              fixture->weights[i][k]
                  = fixture->weights[i][--upstream->loaded_count];
              break;
            }
    }
}

static void
test_loads_within_the_limit (fixture_t *fixture, gconstpointer data)
{
  size_t count;

  add_wanted (fixture, "v1", 3);
  make_plan (fixture, 2, &count);
  g_assert_cmpuint (count, ==, 2);
  make_plan (fixture, 0, &count);
  g_assert_cmpuint (count, ==, 0);
}

static void
test_new_version_keeps_capacity (fixture_t *fixture, gconstpointer data)
{
  size_t count = 1;

  for (size_t i = 0; i < ENGINES; i++)
    add_loaded (fixture, i, "v1");
  add_wanted (fixture, "v2", 3);
  for (int rounds = 0; count > 0; rounds++)
    {
      reconcile_order_t *orders = make_plan (fixture, 1, &count);

      g_assert_cmpint (rounds, <, 20);
      for (size_t i = 0; i < count; i++)
        execute_order (fixture, &orders[i]);
      /* The old copies stay until all new ones are loaded. */
      g_assert_true (count_copies (fixture, "v1") == ENGINES
                     || count_copies (fixture, "v2") == ENGINES);
    }
  g_assert_cmpuint (count_copies (fixture, "v1"), ==, 0);
  g_assert_cmpuint (count_copies (fixture, "v2"), ==, ENGINES);
}

static void
test_surplus_goes_and_the_wanted_stays (fixture_t *fixture, gconstpointer data)
{
  reconcile_order_t *orders;
  size_t count;

  for (size_t i = 0; i < ENGINES; i++)
    add_loaded (fixture, i, "v1");
  add_wanted (fixture, "v1", 1);
  orders = make_plan (fixture, 1, &count);
  g_assert_cmpuint (count, ==, 2);
  for (size_t i = 0; i < count; i++)
    execute_order (fixture, &orders[i]);
  g_assert_cmpuint (count_copies (fixture, "v1"), ==, 1);
  make_plan (fixture, 1, &count);
  g_assert_cmpuint (count, ==, 0);
}

static void
test_last_copy_stays_while_the_new_is_missing (fixture_t *fixture,
                                               gconstpointer data)
{
  size_t count;

  add_loaded (fixture, 0, "v1");
  add_wanted (fixture, "v2", 1);
  for (size_t i = 1; i < ENGINES; i++)
    fixture->upstreams[i].leaving = true;
  /* The only remaining engine loads the new version beside the old one. */
  g_assert_cmpint (make_plan (fixture, 1, &count)[0].kind, ==, RECONCILE_LOAD);
  g_assert_cmpuint (count, ==, 1);
  fixture->upstreams[0].busy = true;
  make_plan (fixture, 1, &count);
  g_assert_cmpuint (count, ==, 0);
}

static void
test_role_change_needs_no_load (fixture_t *fixture, gconstpointer data)
{
  reconcile_order_t *orders;
  size_t count;

  add_loaded (fixture, 0, "v1");
  add_wanted (fixture, "v1", 1);
  fixture->wanted[0].role = (char *)"prefill";
  orders = make_plan (fixture, 1, &count);
  g_assert_cmpuint (count, ==, 1);
  g_assert_cmpint (orders[0].kind, ==, RECONCILE_ROLE);
  g_assert_cmpstr (orders[0].upstream, ==, "e1");
  g_assert_cmpstr (orders[0].role, ==, "prefill");
}

static void
test_unmanaged_model_is_left_alone (fixture_t *fixture, gconstpointer data)
{
  size_t count;

  add_loaded (fixture, 0, "v1");
  add_wanted (fixture, "v1", 1);
  fixture->weights[1][0] = (weights_t){ "other", "", "v9" };
  fixture->upstreams[1].loaded_count = 1;
  make_plan (fixture, 1, &count);
  g_assert_cmpuint (count, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add ("/reconcile/loads-within-the-limit", fixture_t, NULL, set_up,
              test_loads_within_the_limit, tear_down);
  g_test_add ("/reconcile/new-version-keeps-capacity", fixture_t, NULL, set_up,
              test_new_version_keeps_capacity, tear_down);
  g_test_add ("/reconcile/surplus-goes-and-the-wanted-stays", fixture_t, NULL,
              set_up, test_surplus_goes_and_the_wanted_stays, tear_down);
  g_test_add ("/reconcile/last-copy-stays-while-the-new-is-missing", fixture_t,
              NULL, set_up, test_last_copy_stays_while_the_new_is_missing,
              tear_down);
  g_test_add ("/reconcile/role-change-needs-no-load", fixture_t, NULL, set_up,
              test_role_change_needs_no_load, tear_down);
  g_test_add ("/reconcile/unmanaged-model-is-left-alone", fixture_t, NULL,
              set_up, test_unmanaged_model_is_left_alone, tear_down);
  return g_test_run ();
}
