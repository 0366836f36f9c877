/*
 * Tests that the bytes that clients make a process hold stay within the limit,
 * and that the holder without progress yields before one that makes progress.
 */
#include <glib.h>
#include <talloc.h>

#include "memory-account.h"

#define LIMIT_BYTES 1000
#define START_MS    5000
#define HOLDERS     5

typedef struct
{
  memory_account_t *account;
  metrics_t *metrics;
  struct client
  {
    memory_holder_t *holder;
    uint32_t asked;
    bool frees; /* else it keeps its bytes for a while */
    bool clears;
  } clients[HOLDERS];
} fixture_t;

static void
on_reclaim (void *context)
{
  struct client *client = context;

  client->asked++;
  if (client->frees)
    TALLOC_FREE (client->holder);
  else if (client->clears)
    memory_holder_set (client->holder, 0, START_MS);
}

static fixture_t *
fixture_new (uint64_t limit_bytes)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);
  memory_account_options_t options = { .limit_bytes = limit_bytes };

  fixture->metrics = metrics_new (fixture);
  options.metrics = fixture->metrics;
  fixture->account = memory_account_new (fixture, &options);
  for (uint32_t i = 0; i < HOLDERS; i++)
    {
      memory_holder_options_t holder_options
          = { .on_reclaim = on_reclaim, .context = &fixture->clients[i] };

      fixture->clients[i].frees = true;
      fixture->clients[i].holder = memory_holder_new (
          fixture->account, fixture->account, &holder_options);
    }
  return fixture;
}

static double
counter (const fixture_t *fixture, const char *name)
{
  return metric_value (metrics_counter (fixture->metrics, name, "", NULL));
}

/** The sum follows what holders state, and what freed holders held. */
static void
test_sum (void)
{
  fixture_t *fixture = fixture_new (LIMIT_BYTES);
  struct client *clients = fixture->clients;

  g_assert_true (memory_holder_set (clients[0].holder, 300, START_MS));
  g_assert_true (memory_holder_set (clients[1].holder, 500, START_MS));
  g_assert_true (memory_holder_set (clients[0].holder, 200, START_MS));
  g_assert_cmpuint (memory_account_held (fixture->account), ==, 700);
  g_assert_true (memory_account_has_room (fixture->account, 300));
  g_assert_false (memory_account_has_room (fixture->account, 301));
  TALLOC_FREE (clients[1].holder);
  g_assert_cmpuint (memory_account_held (fixture->account), ==, 200);
  g_assert_true (memory_holder_set (clients[4].holder, 800, START_MS));
  g_assert_cmpuint (memory_account_held (fixture->account), ==, LIMIT_BYTES);
  for (uint32_t i = 0; i < HOLDERS; i++)
    g_assert_cmpuint (clients[i].asked, ==, 0);
  talloc_free (fixture);
}

/** Of holders of the same size, the one without progress yields, and only as
 * many as needed. */
static void
test_stalled_yields_first (void)
{
  fixture_t *fixture = fixture_new (LIMIT_BYTES);
  struct client *clients = fixture->clients;

  for (uint32_t i = 0; i < 3; i++)
    g_assert_true (memory_holder_set (clients[i].holder, 300, START_MS));
  memory_holder_progress (clients[0].holder, START_MS + 1000);
  memory_holder_progress (clients[2].holder, START_MS + 1000);
  g_assert_true (memory_holder_set (clients[3].holder, 300, START_MS + 1000));
  g_assert_cmpuint (clients[1].asked, ==, 1);
  g_assert_cmpuint (clients[0].asked + clients[2].asked + clients[3].asked, ==,
                    0);
  g_assert_cmpuint (memory_account_held (fixture->account), ==, 900);
  g_assert_cmpfloat (counter (fixture, "lwm_memory_yielded_total"), ==, 1);
  talloc_free (fixture);
}

/** Without a difference in progress the largest yields, also if that is the
 * holder that states its bytes: the caller is told. */
static void
test_largest_yields (void)
{
  fixture_t *fixture = fixture_new (LIMIT_BYTES);
  struct client *clients = fixture->clients;

  g_assert_true (memory_holder_set (clients[0].holder, 400, START_MS));
  g_assert_false (memory_holder_set (clients[1].holder, 700, START_MS));
  g_assert_null (clients[1].holder);
  g_assert_cmpuint (clients[0].asked, ==, 0);
  g_assert_cmpuint (memory_account_held (fixture->account), ==, 400);
  talloc_free (fixture);
}

/** A holder that releases its bytes later is asked once, and no other one in
 * its place. */
static void
test_releases_later (void)
{
  fixture_t *fixture = fixture_new (LIMIT_BYTES);
  struct client *clients = fixture->clients;

  clients[0].frees = false;
  g_assert_true (memory_holder_set (clients[0].holder, 900, START_MS));
  g_assert_true (memory_holder_set (clients[1].holder, 200, START_MS + 10));
  g_assert_true (memory_holder_set (clients[2].holder, 800, START_MS + 20));
  g_assert_cmpuint (clients[0].asked, ==, 1);
  g_assert_cmpuint (clients[1].asked + clients[2].asked, ==, 0);
  g_assert_false (memory_account_has_room (fixture->account, 1));
  TALLOC_FREE (clients[0].holder);
  g_assert_cmpuint (memory_account_held (fixture->account), ==, LIMIT_BYTES);
  g_assert_false (memory_holder_set (clients[2].holder, 801, START_MS + 20));
  g_assert_cmpuint (memory_account_held (fixture->account), ==, 200);
  talloc_free (fixture);
}

/** A holder for which work goes on stays while there are others of its size,
 * but not against those that hold far less. */
static void
test_working_stays (void)
{
  fixture_t *fixture = fixture_new (LIMIT_BYTES);
  struct client *clients = fixture->clients;

  g_assert_true (memory_holder_set (clients[0].holder, 600, START_MS));
  memory_holder_set_working (clients[0].holder, true);
  g_assert_true (memory_holder_set (clients[1].holder, 200, START_MS));
  g_assert_false (memory_holder_set (clients[2].holder, 201, START_MS));
  g_assert_cmpuint (clients[2].asked, ==, 1);
  g_assert_true (memory_holder_set (clients[1].holder, 20, START_MS));
  g_assert_true (memory_holder_set (clients[3].holder, 370, START_MS));
  g_assert_false (memory_holder_set (clients[3].holder, 381, START_MS));
  g_assert_false (memory_holder_set (clients[0].holder, 990, START_MS));
  g_assert_cmpuint (clients[0].asked, ==, 1);
  g_assert_cmpuint (clients[1].asked, ==, 0);
  talloc_free (fixture);
}

/** A holder that cleared its bytes can be asked again. */
static void
test_used_again (void)
{
  fixture_t *fixture = fixture_new (LIMIT_BYTES);
  struct client *client = &fixture->clients[0];

  client->frees = false;
  client->clears = true;
  g_assert_false (memory_holder_set (client->holder, 1001, START_MS));
  g_assert_cmpuint (memory_account_held (fixture->account), ==, 0);
  g_assert_false (memory_holder_set (client->holder, 1001, START_MS));
  g_assert_cmpuint (client->asked, ==, 2);
  talloc_free (fixture);
}

/** Without a limit no holder is asked. */
static void
test_no_limit (void)
{
  fixture_t *fixture = fixture_new (0);

  g_assert_true (
      memory_holder_set (fixture->clients[0].holder, UINT32_MAX, START_MS));
  g_assert_true (memory_account_has_room (fixture->account, UINT64_MAX / 2));
  g_assert_cmpuint (fixture->clients[0].asked, ==, 0);
  memory_account_count_slow (fixture->account);
  g_assert_cmpfloat (counter (fixture, "lwm_memory_closed_slow_total"), ==, 1);
  talloc_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/memory-account/sum", test_sum);
  g_test_add_func ("/memory-account/stalled-yields-first",
                   test_stalled_yields_first);
  g_test_add_func ("/memory-account/largest-yields", test_largest_yields);
  g_test_add_func ("/memory-account/releases-later", test_releases_later);
  g_test_add_func ("/memory-account/working-stays", test_working_stays);
  g_test_add_func ("/memory-account/used-again", test_used_again);
  g_test_add_func ("/memory-account/no-limit", test_no_limit);
  return g_test_run ();
}
