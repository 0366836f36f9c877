/* Checks the failure detector on a scripted network of three or more members:
 * indirect probes, suspicion, its confirmations and refutation, and a process
 * pause of the detector itself. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "failure.h"

typedef struct
{
  void *memory;
  failure_t *failure;
  uint64_t now_ms;
  uint64_t suspected_at_ms;
  uint64_t dead_at_ms;
  const char *mute;   /* member that answers no direct probe */
  bool relays_answer; /* indirect probes reach the mute member */
  uint32_t indirect;  /* number of indirect probes sent */
} fixture_t;

static void
on_probe (const char *to,
          Lwm__ProbeKind kind,
          uint32_t sequence,
          const char *target,
          void *context)
{
  fixture_t *fixture = context;

  if (kind == LWM__PROBE_KIND__PROBE_INDIRECT)
    {
      fixture->indirect++;
      g_assert_cmpstr (to, !=, target);
      if (fixture->relays_answer)
        failure_ack (fixture->failure, target, sequence);
    }
  else if (g_strcmp0 (to, fixture->mute) != 0)
    failure_ack (fixture->failure, to, sequence);
}

static void
on_suspect (const char *instance,
            uint64_t incarnation,
            uint32_t version,
            void *context)
{
  fixture_t *fixture = context;

  g_assert_cmpstr (instance, ==, fixture->mute);
  fixture->suspected_at_ms = fixture->now_ms;
}

static void
on_dead (const char *instance,
         uint64_t incarnation,
         uint32_t version,
         void *context)
{
  fixture_t *fixture = context;

  g_assert_cmpstr (instance, ==, fixture->mute);
  fixture->dead_at_ms = fixture->now_ms;
}

static void
set_up (fixture_t *fixture, gconstpointer data)
{
  failure_options_t options = { .seed = 3,
                                .probe = on_probe,
                                .suspect = on_suspect,
                                .dead = on_dead,
                                .context = fixture };

  memset (fixture, 0, sizeof *fixture);
  fixture->memory = talloc_new (NULL);
  fixture->now_ms = 1000;
  fixture->failure = failure_new (fixture->memory, &options);
  failure_put (fixture->failure, "a", 1, 1);
  failure_put (fixture->failure, "b", 1, 1);
  failure_put (fixture->failure, "c", 1, 1);
  failure_put (fixture->failure, "d", 1, 1);
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  talloc_free (fixture->memory);
}

static void
advance_time (fixture_t *fixture, uint64_t ms)
{
  for (uint64_t end_ms = fixture->now_ms + ms; fixture->now_ms < end_ms;
       fixture->now_ms += 100)
    failure_tick (fixture->failure, fixture->now_ms);
}

static void
test_answering_members_stay_alive (fixture_t *fixture, gconstpointer data)
{
  advance_time (fixture, 60000);
  g_assert_cmpuint (fixture->indirect, ==, 0);
  g_assert_cmpuint (fixture->suspected_at_ms, ==, 0);
}

static void
test_indirect_answer_prevents_suspicion (fixture_t *fixture, gconstpointer data)
{
  fixture->mute = "b";
  fixture->relays_answer = true;
  advance_time (fixture, 60000);
  g_assert_cmpuint (fixture->indirect, >, 0);
  g_assert_cmpuint (fixture->suspected_at_ms, ==, 0);
}

static void
test_mute_member_is_declared_dead (fixture_t *fixture, gconstpointer data)
{
  fixture->mute = "b";
  advance_time (fixture, 60000);
  /* Without confirmations the suspicion lasts for its maximum time. */
  g_assert_cmpuint (fixture->dead_at_ms, >=, fixture->suspected_at_ms + 5000);
  g_assert_cmpuint (fixture->dead_at_ms, <=, fixture->suspected_at_ms + 5100);
}

static void
test_confirmations_shorten_suspicion (fixture_t *fixture, gconstpointer data)
{
  fixture->mute = "b";
  while (fixture->suspected_at_ms == 0)
    advance_time (fixture, 100);
  g_assert_true (failure_add_suspicion (fixture->failure, "b", 1, 1, "a",
                                        fixture->now_ms));
  g_assert_false (failure_add_suspicion (fixture->failure, "b", 1, 1, "a",
                                         fixture->now_ms));
  failure_add_suspicion (fixture->failure, "b", 1, 1, "c", fixture->now_ms);
  failure_add_suspicion (fixture->failure, "b", 1, 1, "d", fixture->now_ms);
  advance_time (fixture, 10000);
  g_assert_cmpuint (fixture->dead_at_ms, <=, fixture->suspected_at_ms + 2200);
}

static void
test_refutation_prevents_death (fixture_t *fixture, gconstpointer data)
{
  fixture->mute = "b";
  while (fixture->suspected_at_ms == 0)
    advance_time (fixture, 100);
  failure_put (fixture->failure, "b", 1, 2);
  fixture->mute = NULL;
  advance_time (fixture, 60000);
  g_assert_cmpuint (fixture->dead_at_ms, ==, 0);
  /* A late suspicion of the refuted version is ignored. */
  g_assert_false (failure_add_suspicion (fixture->failure, "b", 1, 1, "a",
                                         fixture->now_ms));
}

static void
test_own_pause_causes_no_suspicion (fixture_t *fixture, gconstpointer data)
{
  fixture->mute = "b";
  while (fixture->suspected_at_ms == 0)
    advance_time (fixture, 100);
  fixture->now_ms += 60000;
  advance_time (fixture, 100);
  g_assert_cmpuint (fixture->dead_at_ms, ==, 0);
}

#define ADD(name, test)                                                        \
  g_test_add (name, fixture_t, NULL, set_up, test, tear_down)

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD ("/failure/all-answer", test_answering_members_stay_alive);
  ADD ("/failure/relays-vouch", test_indirect_answer_prevents_suspicion);
  ADD ("/failure/mute-one-dies", test_mute_member_is_declared_dead);
  ADD ("/failure/confirmations-shorten", test_confirmations_shorten_suspicion);
  ADD ("/failure/refutation-saves", test_refutation_prevents_death);
  ADD ("/failure/own-pause-blames-nobody", test_own_pause_causes_no_suspicion);
  return g_test_run ();
}
