/* Checks the revision in force: its number only increases, it survives
 * restarts, and it is fetched in parts. */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <talloc.h>

#include "lib-cluster.h"
#include "revision-fetch.h"
#include "revision.h"

typedef struct
{
  void *memory;
  cluster_t *cluster;
  const char *folder;
  metrics_t *metrics;
  revision_t *revision;
  uint64_t taken;
  /* The fetch of a revision from another instance. */
  revision_fetch_t *fetch;
  uint64_t now_ms;
  uint32_t asked;
  bool answering;
  uint64_t fetched;
} fixture_t;

static void
on_revision_applied (const Lwm__Config *config,
                     const char *digest,
                     void *context)
{
  ((fixture_t *)context)->taken = config->number;
}

static void
start (fixture_t *fixture)
{
  revision_options_t options = { .data_folder = fixture->folder,
                                 .metrics = fixture->metrics,
                                 .on_revision_applied = on_revision_applied,
                                 .context = fixture };

  TALLOC_FREE (fixture->revision);
  fixture->revision = revision_new (fixture->memory, &options);
}

static void
set_up (fixture_t *fixture, gconstpointer data)
{
  fixture->memory = talloc_new (NULL);
  fixture->cluster = cluster_new ();
  fixture->folder = cluster_subfolder (fixture->cluster, "data");
  fixture->metrics = metrics_new (fixture->memory);
  start (fixture);
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  talloc_free (fixture->memory);
  cluster_free (fixture->cluster);
}

static revision_result_t
offer_revision (fixture_t *fixture, uint64_t number, uint32_t max_queue)
{
  Lwm__Config config = LWM__CONFIG__INIT;

  config.number = number;
  config.max_queue = max_queue;
  return revision_offer (fixture->revision, &config, "test");
}

static void
test_revision_number_only_increases (fixture_t *fixture, gconstpointer data)
{
  g_assert_cmpint (offer_revision (fixture, 0, 1), ==, REVISION_INVALID);
  g_assert_cmpint (offer_revision (fixture, 5, 1), ==, REVISION_APPLIED);
  g_assert_cmpint (offer_revision (fixture, 5, 1), ==, REVISION_SAME);
  g_assert_cmpint (offer_revision (fixture, 5, 2), ==, REVISION_CONFLICT);
  g_assert_cmpint (offer_revision (fixture, 4, 1), ==, REVISION_STALE);
  g_assert_cmpuint (revision_config (fixture->revision)->max_queue, ==, 1);
  g_assert_cmpint (offer_revision (fixture, 6, 2), ==, REVISION_APPLIED);
  g_assert_cmpuint (fixture->taken, ==, 6);
}

static void
test_revision_survives_restart (fixture_t *fixture, gconstpointer data)
{
  char digest[CONFIG_DIGEST_SIZE];

  offer_revision (fixture, 5, 1);
  g_strlcpy (digest, revision_digest (fixture->revision), sizeof digest);
  start (fixture);
  g_assert_cmpuint (revision_number (fixture->revision), ==, 5);
  g_assert_cmpstr (revision_digest (fixture->revision), ==, digest);
  g_assert_cmpint (offer_revision (fixture, 4, 1), ==, REVISION_STALE);
}

static void
test_damaged_file_is_refused (fixture_t *fixture, gconstpointer data)
{
  char *path = g_build_filename (fixture->folder, "revision", NULL);
  char *text;
  gsize size;

  offer_revision (fixture, 5, 1);
  g_assert_true (g_file_get_contents (path, &text, &size, NULL));
  text[size - 1] ^= 1;
  g_assert_true (g_file_set_contents (path, text, (gssize)size, NULL));
  start (fixture);
  g_assert_null (fixture->revision);
  g_free (text);
  g_free (path);
}

static void
test_unsaved_revision_is_not_in_force (fixture_t *fixture, gconstpointer data)
{
  offer_revision (fixture, 5, 1);
  /* A folder with the name of the new file makes writing it fail. */
  g_assert_nonnull (cluster_subfolder (fixture->cluster, "data/revision.new"));
  g_assert_cmpint (offer_revision (fixture, 6, 1), ==, REVISION_SAVE_FAILED);
  g_assert_cmpuint (revision_number (fixture->revision), ==, 5);
}

static void
answer_fetch (fixture_t *fixture, const Lwm__RevisionPart *request)
{
  Lwm__RevisionPart part = *request;
  size_t size;
  const uint8_t *packed = revision_packed (fixture->revision, &size);

  part.total_bytes = (uint32_t)size;
  part.data.data = (uint8_t *)packed + request->offset_bytes;
  part.data.len = MIN (size - request->offset_bytes, 1000u);
  revision_fetch_receive (fixture->fetch, &part, fixture->now_ms);
}

static void
on_ask (const Lwm__RevisionPart *request, void *context)
{
  fixture_t *fixture = context;

  fixture->asked++;
  if (fixture->answering)
    answer_fetch (fixture, request);
}

static void
on_done (const Lwm__Config *config, void *context)
{
  ((fixture_t *)context)->fetched = config->number;
}

static void
start_fetch (fixture_t *fixture)
{
  revision_fetch_options_t options = { .seed = 1,
                                       .jitter_ms = 600,
                                       .ask = on_ask,
                                       .done = on_done,
                                       .context = fixture };
  Lwm__Config config = LWM__CONFIG__INIT;
  Lwm__Customer customer = LWM__CUSTOMER__INIT;
  Lwm__Customer *customers[500];

  /* Large enough to need several parts. */
  customer.name = "a-customer-with-a-name";
  for (size_t i = 0; i < G_N_ELEMENTS (customers); i++)
    customers[i] = &customer;
  config.number = 7;
  config.customers = customers;
  config.n_customers = G_N_ELEMENTS (customers);
  revision_offer (fixture->revision, &config, "test");
  fixture->fetch = revision_fetch_new (fixture->memory, &options);
}

static void
advance_time (fixture_t *fixture, uint64_t ms)
{
  for (uint64_t end_ms = fixture->now_ms + ms; fixture->now_ms < end_ms;
       fixture->now_ms += 100)
    revision_fetch_tick (fixture->fetch, fixture->now_ms);
}

static void
test_revision_is_fetched_in_parts (fixture_t *fixture, gconstpointer data)
{
  start_fetch (fixture);
  revision_fetch_start (fixture->fetch, 7, revision_digest (fixture->revision),
                        0);
  advance_time (fixture, 3000);
  g_assert_cmpuint (fixture->fetched, ==, 0);
  /* The source starts to answer. */
  fixture->answering = true;
  advance_time (fixture, 3000);
  g_assert_cmpuint (fixture->fetched, ==, 7);
  g_assert_cmpuint (fixture->asked, >, 10);
}

static void
test_fetch_is_restarted_after_timeout (fixture_t *fixture, gconstpointer data)
{
  start_fetch (fixture);
  revision_fetch_start (fixture->fetch, 7, revision_digest (fixture->revision),
                        0);
  advance_time (fixture, 20000);
  g_assert_cmpuint (revision_fetch_number (fixture->fetch), ==, 0);
  fixture->answering = true;
  revision_fetch_start (fixture->fetch, 7, revision_digest (fixture->revision),
                        fixture->now_ms);
  advance_time (fixture, 3000);
  g_assert_cmpuint (fixture->fetched, ==, 7);
}

static void
test_fetched_content_with_other_digest_is_refused (fixture_t *fixture,
                                                   gconstpointer data)
{
  start_fetch (fixture);
  fixture->answering = true;
  revision_fetch_start (fixture->fetch, 7, "0123456789abcdef0123456789abcdef",
                        0);
  advance_time (fixture, 20000);
  g_assert_cmpuint (fixture->fetched, ==, 0);
}

#define ADD(name, test)                                                        \
  g_test_add (name, fixture_t, NULL, set_up, test, tear_down)

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD ("/revision/goes-forward-only", test_revision_number_only_increases);
  ADD ("/revision/restart-keeps-it", test_revision_survives_restart);
  ADD ("/revision/damage-refuses", test_damaged_file_is_refused);
  ADD ("/revision/unsaved-is-not-in-force",
       test_unsaved_revision_is_not_in_force);
  ADD ("/revision/fetched-in-parts", test_revision_is_fetched_in_parts);
  ADD ("/revision/given-up-and-wanted-again",
       test_fetch_is_restarted_after_timeout);
  ADD ("/revision/other-content-is-refused",
       test_fetched_content_with_other_digest_is_refused);
  return g_test_run ();
}
