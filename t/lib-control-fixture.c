#include "lib-control-fixture.h"

#include <talloc.h>

void
control_fixture_init (control_fixture_t *fixture,
                      const control_fixture_options_t *options)
{
  *fixture = (control_fixture_t){ .cluster = cluster_new () };
  if (options->allow_self_kills)
    cluster_allow_self_kills (fixture->cluster);
  fixture->group
      = group_new (fixture->cluster, options->replicas, options->is_proxied);
  if (options->snapshot_entries > 0)
    fixture->group->snapshot_entries = options->snapshot_entries;
  fixture->history = history_new ();
  fixture->observer = (observer_t){ .history = fixture->history };
}

void
control_fixture_connect (control_fixture_t *fixture)
{
  fixture->client = group_client (fixture->group, &fixture->observer);
}

void
control_fixture_start (control_fixture_t *fixture,
                       const control_fixture_options_t *options)
{
  control_fixture_init (fixture, options);
  group_start_all (fixture->group);
  control_fixture_connect (fixture);
}

void
control_fixture_clear (control_fixture_t *fixture)
{
  talloc_free (fixture->client);
  group_free (fixture->group);
  cluster_free (fixture->cluster);
  history_free (fixture->history);
}

void
control_fixture_apply (control_fixture_t *fixture, uint64_t number)
{
  int64_t begun_us = g_get_monotonic_time ();
  char digest[32];
  reply_t reply;

  g_snprintf (digest, sizeof digest, "digest-%ju", (uintmax_t)number);
  reply = group_apply (fixture->group, fixture->client, number, digest);
  if (reply.result > LWM__CONTROL_RESULT__RESULT_SAME)
    {
      g_test_message (
          "proposal %ju: result %d, maybe_done %d, took %" G_GINT64_FORMAT
          " ms",
          (uintmax_t)number, (int)reply.result, reply.maybe_done,
          (g_get_monotonic_time () - begun_us) / 1000);
      group_print_state (fixture->group);
    }
  g_assert_cmpint (reply.result, <=, LWM__CONTROL_RESULT__RESULT_SAME);
  history_record_accepted (fixture->history, number, digest);
}

void
control_fixture_apply_next (control_fixture_t *fixture)
{
  control_fixture_apply (fixture, ++fixture->number);
}

void
control_fixture_check_last (control_fixture_t *fixture)
{
  reply_t reply = group_get (fixture->group, fixture->client);

  g_assert_cmpint (reply.result, ==, LWM__CONTROL_RESULT__RESULT_OK);
  g_assert_cmpuint (reply.number, ==, fixture->history->accepted);
  history_record_accepted (fixture->history, reply.number, reply.digest);
}
