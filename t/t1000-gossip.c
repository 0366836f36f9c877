/* Checks the gossip records: merging converges in any order, an instance
 * refutes its own death, one instance reports each upstream, loads are sent in
 * coarse steps, and anti-entropy finds every difference. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "gossip-sync.h"
#include "message.h"

typedef struct
{
  void *memory;
  gossip_t *a;
  gossip_t *b;
} fixture_t;

static gossip_t *
create_gossip (void *memory, const char *name, uint32_t seed)
{
  gossip_options_t options = { .instance = name,
                               .incarnation = 100,
                               .zone = "z",
                               .http = "h",
                               .gossip = "g",
                               .seed = seed };

  return gossip_new (memory, &options);
}

static void
add_live_instance (gossip_t *to, const gossip_t *whom)
{
  gossip_merge_instance (to, gossip_self (whom), 0);
}

static void
set_up (fixture_t *fixture, gconstpointer data)
{
  fixture->memory = talloc_new (NULL);
  fixture->a = create_gossip (fixture->memory, "a", 1);
  fixture->b = create_gossip (fixture->memory, "b", 2);
  add_live_instance (fixture->a, fixture->b);
  add_live_instance (fixture->b, fixture->a);
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  talloc_free (fixture->memory);
}

/** Merges the outbox of @a from into @a to; returns the number of records. */
static size_t
deliver (gossip_t *from, gossip_t *to, uint64_t now_ms)
{
  void *scratch = talloc_new (NULL);
  Lwm__Gossip message = LWM__GOSSIP__INIT;
  size_t records;

  gossip_take_outbox (from, scratch, &message);
  records = message.n_instances + message.n_upstreams + message.n_loads;
  for (size_t i = 0; i < message.n_instances; i++)
    gossip_merge_instance (to, message.instances[i], now_ms);
  for (size_t i = 0; i < message.n_upstreams; i++)
    gossip_merge_upstream (to, message.upstreams[i], now_ms);
  for (size_t i = 0; i < message.n_loads; i++)
    gossip_merge_load (to, message.loads[i], now_ms);
  talloc_free (scratch);
  return records;
}

static bool
announce (gossip_t *gossip,
          uint64_t incarnation,
          bool leaving,
          uint32_t running,
          uint64_t now_ms)
{
  Lwm__Announcement announcement = LWM__ANNOUNCEMENT__INIT;
  Lwm__Load load = LWM__LOAD__INIT;

  announcement.upstream = "u";
  announcement.incarnation = incarnation;
  announcement.address = "x";
  announcement.zone = "z";
  announcement.leaving = leaving;
  announcement.max_batch = 80;
  announcement.kv_tokens = 16000;
  load.running = running;
  return gossip_put_announcement (gossip, &announcement, &load, 0, 1000,
                                  now_ms);
}

static void
test_one_instance_sends_records (fixture_t *fixture, gconstpointer data)
{
  size_t records = 0;

  deliver (fixture->a, fixture->b, 0);
  deliver (fixture->b, fixture->a, 0);
  for (uint64_t now_ms = 1000; now_ms < 20000; now_ms += 100)
    {
      if (now_ms % 1000 == 0)
        {
          announce (fixture->a, 5, false, 0, now_ms);
          announce (fixture->b, 5, false, 0, now_ms);
        }
      gossip_tick (fixture->a, now_ms);
      records += deliver (fixture->a, fixture->b, now_ms);
      gossip_tick (fixture->b, now_ms);
      records += deliver (fixture->b, fixture->a, now_ms);
    }
  /* Only one of the two instances that receive the upstream's announcements
   * sent records: the upstream and its first load. */
  g_assert_cmpuint (records, ==, 2);
  g_assert_cmphex (gossip_state_hash (fixture->a, true), ==,
                   gossip_state_hash (fixture->b, true));
}

static void
test_other_instance_sends_after_death (fixture_t *fixture, gconstpointer data)
{
  const gossip_upstream_t *upstream;

  announce (fixture->a, 5, false, 0, 1000);
  gossip_tick (fixture->a, 1400);
  deliver (fixture->a, fixture->b, 1400);
  upstream = gossip_upstream (fixture->b, "u");
  g_assert_cmpstr (upstream->record->heard_by, ==, "a");
  g_assert_true (gossip_mark_instance (fixture->b, "a", 100, 1,
                                       LWM__INSTANCE_STATE__DEAD, 2000));
  for (uint64_t now_ms = 2000; now_ms < 20000; now_ms += 100)
    {
      announce (fixture->b, 5, false, 0, now_ms);
      gossip_tick (fixture->b, now_ms);
    }
  g_assert_cmpstr (upstream->record->heard_by, ==, "b");
  g_assert_false (upstream->record->gone);
  for (uint64_t now_ms = 20000; now_ms < 25000; now_ms += 100)
    gossip_tick (fixture->b, now_ms);
  g_assert_true (upstream->record->gone);
}

static void
count_indirect (const gossip_upstream_t *upstream,
                bool is_gone,
                bool direct,
                void *context)
{
  g_assert_false (is_gone);
  *(uint32_t *)context += !direct;
}

/**
 * When an instance no longer receives the announcements of an upstream itself,
 * it must report the upstream exactly once as known only indirectly.
 */
static void
test_lost_announcements_are_reported (fixture_t *fixture, gconstpointer data)
{
  uint32_t reports = 0;
  gossip_options_t options = { .instance = "c",
                               .incarnation = 100,
                               .zone = "z",
                               .http = "h",
                               .on_upstream = count_indirect,
                               .context = &reports };
  gossip_t *c = gossip_new (fixture->memory, &options);

  add_live_instance (c, fixture->a);
  announce (fixture->a, 5, false, 0, 1000);
  gossip_tick (fixture->a, 1400);
  announce (c, 5, false, 0, 1000);
  deliver (fixture->a, c, 1400);
  reports = 0;
  for (uint64_t now_ms = 1500; now_ms < 9000; now_ms += 100)
    gossip_tick (c, now_ms);
  g_assert_cmpuint (reports, ==, 1);
}

static void
test_leaving_upstream_stays_leaving (fixture_t *fixture, gconstpointer data)
{
  announce (fixture->a, 5, true, 0, 1000);
  g_assert_true (announce (fixture->a, 5, false, 0, 1100));
  g_assert_true (
      gossip_effective_announcement (gossip_upstream (fixture->a, "u"), 1100)
          ->leaving);
  g_assert_true (announce (fixture->a, 6, false, 0, 1200));
  g_assert_false (
      gossip_effective_announcement (gossip_upstream (fixture->a, "u"), 1200)
          ->leaving);
  /* A late announcement of the earlier process is ignored. */
  g_assert_false (announce (fixture->a, 5, false, 0, 1300));
}

static void
test_small_load_changes_are_not_sent (fixture_t *fixture, gconstpointer data)
{
  size_t records = 0;
  uint64_t hash;

  announce (fixture->a, 5, false, 0, 1000);
  gossip_tick (fixture->a, 1400);
  announce (fixture->a, 5, false, 0, 2000);
  deliver (fixture->a, fixture->b, 2000);
  for (uint64_t now_ms = 3000; now_ms < 13000; now_ms += 1000)
    {
      announce (fixture->a, 5, false, now_ms / 1000 % 2 * 6 + 6, now_ms);
      records += deliver (fixture->a, fixture->b, now_ms);
    }
  g_assert_cmpuint (records, ==, 0);
  /* A load change that has not been sent yet does not change the state hash. */
  hash = gossip_state_hash (fixture->a, true);
  announce (fixture->a, 5, false, 75, 14000);
  g_assert_cmphex (gossip_state_hash (fixture->a, true), ==, hash);
  g_assert_cmpuint (deliver (fixture->a, fixture->b, 14000), ==, 1);
  g_assert_cmpuint (gossip_upstream (fixture->b, "u")->load->running, ==, 70);
}

static void
test_instance_refutes_its_death (fixture_t *fixture, gconstpointer data)
{
  const gossip_instance_t *seen = gossip_instance (fixture->b, "a");

  gossip_mark_instance (fixture->b, "a", 100, 1, LWM__INSTANCE_STATE__DEAD, 1);
  g_assert_cmpint (gossip_merge_instance (fixture->a, seen->record, 2), ==,
                   GOSSIP_OLDER);
  deliver (fixture->a, fixture->b, 3);
  g_assert_cmpint (seen->record->state, ==, LWM__INSTANCE_STATE__ALIVE);
  g_assert_cmpuint (seen->record->version, ==, 2);
}

static void
test_clock_went_back (fixture_t *fixture, gconstpointer data)
{
  Lwm__InstanceRecord *earlier
      = message_copy (fixture->memory, &gossip_self (fixture->a)->base);

  earlier->incarnation = 500;
  gossip_merge_instance (fixture->a, earlier, 1);
  g_assert_cmpuint (gossip_self (fixture->a)->incarnation, ==, 501);
}

static void
test_invalid_record_is_ignored (fixture_t *fixture, gconstpointer data)
{
  Lwm__InstanceRecord record = *gossip_self (fixture->b);

  record.incarnation++;
  record.state = (Lwm__InstanceState)9;
  g_assert_cmpint (gossip_merge_instance (fixture->a, &record, 1), ==,
                   GOSSIP_SAME);
  record.state = LWM__INSTANCE_STATE__ALIVE;
  record.instance = "";
  g_assert_cmpint (gossip_merge_instance (fixture->a, &record, 1), ==,
                   GOSSIP_SAME);
}

/**
 * Sends @a to the records that its summary shows as missing or older; none if
 * both sides agree.
 */
static void
send_missing_records (gossip_t *from, gossip_t *to)
{
  void *scratch = talloc_new (NULL);
  Lwm__Gossip answer = LWM__GOSSIP__INIT;

  gossip_answer_summary (from, scratch, gossip_summary (to, scratch, "z", true),
                         1000, &answer);
  for (size_t i = 0; i < answer.n_instances; i++)
    gossip_merge_instance (to, answer.instances[i], 0);
  for (size_t i = 0; i < answer.n_upstreams; i++)
    gossip_merge_upstream (to, answer.upstreams[i], 0);
  for (size_t i = 0; i < answer.n_loads; i++)
    gossip_merge_load (to, answer.loads[i], 0);
  for (size_t i = 0; i < answer.n_progress; i++)
    gossip_merge_progress (to, answer.progress[i]);
  talloc_free (scratch);
}

static void
put_random_record (gossip_t *gossip, GRand *rand)
{
  Lwm__Announcement announcement = LWM__ANNOUNCEMENT__INIT;
  Lwm__UpstreamRecord record = LWM__UPSTREAM_RECORD__INIT;
  char name[16];

  g_snprintf (name, sizeof name, "u%d", g_rand_int_range (rand, 0, 20));
  announcement.upstream = name;
  announcement.zone = "z";
  announcement.incarnation = (uint64_t)g_rand_int_range (rand, 1, 3);
  announcement.kv_tokens = (uint64_t)g_rand_int_range (rand, 1, 3);
  record.announcement = &announcement;
  record.version = (uint32_t)g_rand_int_range (rand, 1, 4);
  record.gone = g_rand_int_range (rand, 0, 4) == 0;
  record.heard_by = "a";
  gossip_merge_upstream (gossip, &record, 0);
}

static void
test_replicas_converge (fixture_t *fixture, gconstpointer data)
{
  for (guint32 seed = 1; seed <= 200; seed++)
    {
      void *memory = talloc_new (NULL);
      gossip_t *a = create_gossip (memory, "a", 1);
      gossip_t *b = create_gossip (memory, "b", 2);
      GRand *rand = g_rand_new_with_seed (seed);

      add_live_instance (a, b);
      add_live_instance (b, a);
      for (int i = 0; i < 60; i++)
        put_random_record (g_rand_boolean (rand) ? a : b, rand);
      gossip_set_revision (a, seed, "d");
      send_missing_records (a, b);
      send_missing_records (b, a);
      send_missing_records (a, b);
      g_assert_cmphex (gossip_state_hash (a, true), ==,
                       gossip_state_hash (b, true));
      g_rand_free (rand);
      talloc_free (memory);
    }
}

#define ADD(name, test)                                                        \
  g_test_add (name, fixture_t, NULL, set_up, test, tear_down)

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD ("/gossip/one-speaker", test_one_instance_sends_records);
  ADD ("/gossip/speaker-dies", test_other_instance_sends_after_death);
  ADD ("/gossip/hearing-lost-is-shown", test_lost_announcements_are_reported);
  ADD ("/gossip/leaving-is-for-good", test_leaving_upstream_stays_leaving);
  ADD ("/gossip/load-goes-coarsely", test_small_load_changes_are_not_sent);
  ADD ("/gossip/refutes-its-death", test_instance_refutes_its_death);
  ADD ("/gossip/clock-went-back", test_clock_went_back);
  ADD ("/gossip/unsound-record-is-ignored", test_invalid_record_is_ignored);
  ADD ("/gossip/replicas-converge", test_replicas_converge);
  return g_test_run ();
}
