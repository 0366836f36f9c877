/*
 * Tests that an upstream that names a rate limit gets no more requests than
 * that, summed over the placers of all zones.
 */
#include <glib.h>
#include <talloc.h>

#include "lib-engines.h"
#include "upstream-choice.h"

#define UPSTREAMS 4
#define PLACERS   3
#define START_MS  100000
#define STEP_MS   10
#define LENGTH_MS 12000
#define WINDOW_MS 4000
#define WINDOW_S  4.0
/** What may reach an upstream in the window: so much of what its limit allows,
 * and some requests more. */
#define ALLOWED_FACTOR   1.5
#define ALLOWED_REQUESTS 5

/** Placers, each with a view of its own, and what they sent. */
typedef struct
{
  directory_t *directory;
  upstream_set_t *sets[PLACERS];
  const char *zones[PLACERS];
  uint64_t limited; /* key of the upstream in zone "a" that names a limit */
  GArray *sent_ms;  /* uint64_t: when requests were sent there */
  uint64_t last_job;
  uint32_t others; /* requests sent to others */
} fixture_t;

static fixture_t *
fixture_new (const char *const zones[PLACERS])
{
  static const char *const upstream_zones[] = { "a", "b" };
  upstream_set_options_t options = { 0 };
  fixture_t *fixture = g_new0 (fixture_t, 1);
  size_t count;

  fixture->directory = engines_directory_new (NULL, UPSTREAMS, upstream_zones,
                                              2, 16, START_MS);
  for (uint32_t i = 0; i < PLACERS; i++)
    {
      fixture->zones[i] = zones[i];
      fixture->sets[i] = upstream_set_new (NULL, &options);
      upstream_set_sync (fixture->sets[i], fixture->directory, START_MS);
    }
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      const upstream_member_t *member
          = upstream_set_members (fixture->sets[0], &count)[i];

      if (g_str_equal (member->zone, "a"))
        fixture->limited = member->key;
    }
  fixture->sent_ms = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  return fixture;
}

static void
fixture_free (fixture_t *fixture)
{
  for (uint32_t i = 0; i < PLACERS; i++)
    talloc_free (fixture->sets[i]);
  talloc_free (fixture->directory);
  g_array_free (fixture->sent_ms, TRUE);
  g_free (fixture);
}

static choice_t
choose (const fixture_t *fixture,
        uint32_t placer,
        bool is_alone,
        uint64_t now_ms)
{
  choice_request_t request = { .service = "engines",
                               .zone = fixture->zones[placer],
                               .target_ms = 300,
                               .left_ms = 10000,
                               .is_alone = is_alone,
                               .random = (uint32_t)g_test_rand_int () };

  return upstream_choose (fixture->sets[placer], &request, now_ms);
}

/** Sends a request that ends at once; the other placers learn of it. */
static void
send (fixture_t *fixture, uint64_t upstream, uint64_t now_ms)
{
  upstream_job_t job
      = { .id = ++fixture->last_job, .upstream = upstream, .sent_ms = now_ms };

  for (uint32_t i = 0; i < PLACERS; i++)
    {
      upstream_set_begin (fixture->sets[i], &job);
      upstream_set_end (fixture->sets[i], job.id, UPSTREAM_JOB_GOOD, now_ms);
    }
  if (upstream == fixture->limited)
    g_array_append_val (fixture->sent_ms, now_ms);
  else
    fixture->others++;
}

static void
set_limit (fixture_t *fixture, uint64_t key, double rate_s, uint64_t now_ms)
{
  for (uint32_t i = 0; i < PLACERS; i++)
    upstream_set_limit (fixture->sets[i], key, rate_s, now_ms, now_ms);
}

/** Each placer places a request in each step. */
static void
run_load (fixture_t *fixture)
{
  for (uint64_t now_ms = START_MS; now_ms < START_MS + LENGTH_MS;
       now_ms += STEP_MS)
    for (uint32_t i = 0; i < PLACERS; i++)
      {
        choice_t choice = choose (fixture, i, false, now_ms);

        if (choice.kind == CHOICE_SEND)
          send (fixture, choice.member->key, now_ms);
      }
}

/** Returns the most requests sent within a window. */
static uint32_t
most_in_window (const fixture_t *fixture)
{
  uint32_t most = 0;
  guint first = 0;

  for (guint i = 0; i < fixture->sent_ms->len; i++)
    {
      uint64_t at_ms = g_array_index (fixture->sent_ms, uint64_t, i);

      while (g_array_index (fixture->sent_ms, uint64_t, first) + WINDOW_MS
             <= at_ms)
        first++;
      most = MAX (most, i + 1 - first);
    }
  return most;
}

/** Checks that the limit holds and that it is used. */
static void
check_rate (const char *const zones[PLACERS], double rate_s)
{
  fixture_t *fixture = fixture_new (zones);
  uint32_t most;

  set_limit (fixture, fixture->limited, rate_s, START_MS);
  run_load (fixture);
  most = most_in_window (fixture);
  g_test_message ("limit %.2f a second: at most %u in %.0f s, %u in all",
                  rate_s, most, WINDOW_S, fixture->sent_ms->len);
  g_assert_cmpfloat (most, <=,
                     ALLOWED_FACTOR * WINDOW_S * rate_s + ALLOWED_REQUESTS);
  g_assert_cmpfloat (fixture->sent_ms->len, >=,
                     0.7 * rate_s * LENGTH_MS / 1000.0);
  g_assert_cmpuint (fixture->others, >, 0);
  fixture_free (fixture);
}

/* Guards against: each instance, or each zone, spends the limit of an upstream
 * for itself, so that it gets several times that (LIMIT). */
static void
test_sum_over_zones (void)
{
  static const char *const zones[PLACERS] = { "a", "b", "c" };
  static const double rates_s[] = { 0.5, 1, 1.1, 1.4, 8, 30 };

  for (guint i = 0; i < G_N_ELEMENTS (rates_s); i++)
    check_rate (zones, rates_s[i]);
}

/** Only the upstream's own zone grants requests to it, and an instance that
 * decides alone grants none. */
static void
test_who_grants (void)
{
  static const char *const zones[PLACERS] = { "a", "b", "a" };
  fixture_t *fixture = fixture_new (zones);
  size_t count;

  for (uint32_t i = 0; i < UPSTREAMS; i++)
    set_limit (fixture, upstream_set_members (fixture->sets[0], &count)[i]->key,
               1, START_MS);
  g_assert_null (choose (fixture, 0, false, START_MS + 900).member);
  g_assert_null (choose (fixture, 0, true, START_MS + 1100).member);
  g_assert_cmpstr (choose (fixture, 0, false, START_MS + 1100).member->zone, ==,
                   "a");
  g_assert_cmpstr (choose (fixture, 1, false, START_MS + 1100).member->zone, ==,
                   "b");
  fixture_free (fixture);
}

/** The newest answer says what holds: an older one that arrives late has no
 * effect, another rate replaces the limit, and none ends it. */
static void
test_newest_answer (void)
{
  upstream_limit_t limit = { 0 };

  g_assert_cmpuint (upstream_limit_wait_ms (&limit, START_MS), ==, 0);
  g_assert_true (upstream_limit_set (&limit, 1, START_MS, START_MS));
  g_assert_cmpuint (upstream_limit_wait_ms (&limit, START_MS), ==, 1000);
  g_assert_false (upstream_limit_set (&limit, 0, START_MS - 1, START_MS + 50));
  g_assert_true (upstream_limit_holds (&limit));
  g_assert_false (upstream_limit_set (&limit, 1, START_MS + 60, START_MS + 60));
  g_assert_true (
      upstream_limit_set (&limit, 2, START_MS + 100, START_MS + 100));
  g_assert_cmpuint (upstream_limit_wait_ms (&limit, START_MS + 100), ==, 450);
  g_assert_true (
      upstream_limit_set (&limit, 0, START_MS + 200, START_MS + 200));
  g_assert_false (upstream_limit_holds (&limit));
  g_assert_cmpuint (upstream_limit_wait_ms (&limit, START_MS + 200), ==, 0);
}

/** When all upstreams are at their limit, a request waits if it gets a place in
 * its time, and is refused at once if others wait before it. */
static void
test_all_limited (void)
{
  static const char *const zones[PLACERS] = { "a", "b", "c" };
  fixture_t *fixture = fixture_new (zones);
  choice_request_t request = {
    .service = "engines", .zone = "a", .target_ms = 300, .left_ms = 3000
  };
  choice_t choice;
  uint64_t keys[UPSTREAMS];
  size_t count;

  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      keys[i] = upstream_set_members (fixture->sets[0], &count)[i]->key;
      set_limit (fixture, keys[i], 1, START_MS);
    }
  g_assert_cmpint (upstream_choose (fixture->sets[0], &request, START_MS).kind,
                   ==, CHOICE_WAIT);
  request.queued = 10;
  choice = upstream_choose (fixture->sets[0], &request, START_MS);
  g_assert_cmpint (choice.kind, ==, CHOICE_NONE);
  g_assert_cmpuint (choice.retry_ms, >=, request.left_ms);
  /* Nor does it wait for upstreams that it has tried. */
  request.queued = 0;
  request.avoid = keys;
  request.avoid_count = UPSTREAMS;
  g_assert_cmpint (upstream_choose (fixture->sets[0], &request, START_MS).kind,
                   ==, CHOICE_NONE);
  fixture_free (fixture);
}

/* Guards against: around a hand-over two placers of the upstream's zone each
 * spend its limit, without a word of each other (LIMIT). */
static void
test_two_placers_of_a_zone (void)
{
  upstream_limit_t limits[2] = { 0 };
  uint32_t sent = 0;

  for (int i = 0; i < 2; i++)
    upstream_limit_set (&limits[i], 1, START_MS, START_MS);
  for (uint64_t now_ms = START_MS; now_ms < START_MS + WINDOW_MS; now_ms++)
    for (int i = 0; i < 2; i++)
      if (upstream_limit_wait_ms (&limits[i], now_ms) == 0)
        {
          upstream_limit_spend (&limits[i], now_ms);
          sent++;
        }
  g_assert_cmpuint (sent, <=, ALLOWED_FACTOR * WINDOW_S + ALLOWED_REQUESTS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/upstream-limit/sum-over-zones", test_sum_over_zones);
  g_test_add_func ("/upstream-limit/who-grants", test_who_grants);
  g_test_add_func ("/upstream-limit/newest-answer", test_newest_answer);
  g_test_add_func ("/upstream-limit/all-limited", test_all_limited);
  g_test_add_func ("/upstream-limit/two-placers-of-a-zone",
                   test_two_placers_of_a_zone);
  return g_test_run ();
}
