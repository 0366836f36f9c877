#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "directory.h"

static const directory_services_t all_services;

static directory_statement_t
make_statement (const char *id, uint64_t born_ms, uint64_t sequence)
{
  return (directory_statement_t){ .id = id,
                                  .address = "10.0.0.1:80",
                                  .zone = "a",
                                  .service = "s",
                                  .born_ms = born_ms,
                                  .sequence = sequence,
                                  .state = DIRECTORY_READY,
                                  .slots = 4 };
}

static const directory_entry_t *
find_entry (const directory_t *directory, const char *id, uint64_t born_ms)
{
  size_t count;
  const directory_entry_t *const *entries
      = directory_entries (directory, &count);

  for (size_t i = 0; i < count; i++)
    if (g_str_equal (entries[i]->said.id, id)
        && entries[i]->said.born_ms == born_ms)
      return entries[i];
  return NULL;
}

static void
test_statement_order (void)
{
  directory_t *directory = directory_new (NULL);
  directory_statement_t said = make_statement ("u", 100, 5);

  g_assert_cmpint (directory_put (directory, &said, 1), ==, DIRECTORY_CHANGED);
  said.sequence = 6;
  g_assert_cmpint (directory_put (directory, &said, 2), ==, DIRECTORY_SAME);
  said.sequence = 4;
  said.state = DIRECTORY_LEAVING;
  g_assert_cmpint (directory_put (directory, &said, 3), ==, DIRECTORY_STALE);
  g_assert_cmpint (find_entry (directory, "u", 100)->said.state, ==,
                   DIRECTORY_READY);
  talloc_free (directory);
}

/** A late statement does not revert an upstream that leaves or has left. */
static void
test_late_statement_keeps_leaving (void)
{
  directory_t *directory = directory_new (NULL);
  directory_statement_t said = make_statement ("u", 100, 5);

  said.state = DIRECTORY_LEAVING;
  directory_put (directory, &said, 1);
  said.sequence = 6;
  said.state = DIRECTORY_READY;
  g_assert_cmpint (directory_put (directory, &said, 2), ==, DIRECTORY_SAME);
  g_assert_cmpint (find_entry (directory, "u", 100)->said.state, ==,
                   DIRECTORY_LEAVING);
  g_assert_true (directory_leave (directory, "u", 0, 3));
  said.sequence = 9;
  directory_put (directory, &said, 4);
  g_assert_cmpint (find_entry (directory, "u", 100)->said.state, ==,
                   DIRECTORY_GONE);
  g_assert_false (directory_leave (directory, "nobody", 0, 5));
  talloc_free (directory);
}

/** A restarted upstream keeps its id and starts its sequence again, so only the
 * time of its start tells the two incarnations apart. */
static void
test_restart_replaces_incarnation (void)
{
  directory_t *directory = directory_new (NULL);
  directory_statement_t said = make_statement ("u", 100, 50);

  directory_put (directory, &said, 1);
  said = make_statement ("u", 200, 1);
  g_assert_cmpint (directory_put (directory, &said, 2), ==, DIRECTORY_CHANGED);
  g_assert_true (directory_is_replaced (
      directory, find_entry (directory, "u", 100), &all_services));
  g_assert_false (directory_is_replaced (
      directory, find_entry (directory, "u", 200), &all_services));
  g_assert_true (directory_leave (directory, "u", 100, 3));
  g_assert_cmpint (find_entry (directory, "u", 200)->said.state, ==,
                   DIRECTORY_READY);
  talloc_free (directory);
}

/** A late statement from an upstream does not replace the newer upstream that
 * has taken over its address. */
static void
test_address_used_again (void)
{
  directory_t *directory = directory_new (NULL);
  directory_statement_t later = make_statement ("new", 200, 1);
  directory_statement_t late = make_statement ("old", 100, 77);

  directory_put (directory, &later, 1);
  directory_put (directory, &late, 2);
  g_assert_true (directory_is_replaced (
      directory, find_entry (directory, "old", 100), &all_services));
  g_assert_false (directory_is_replaced (
      directory, find_entry (directory, "new", 200), &all_services));
  talloc_free (directory);
}

static void
test_missed_heartbeats (void)
{
  directory_t *directory = directory_new (NULL);
  directory_statement_t said = make_statement ("u", 100, 1);
  uint64_t version;

  directory_put (directory, &said, 1000);
  version = directory_version (directory);
  directory_expire (directory, 500, 1400);
  g_assert_cmpuint (directory_version (directory), ==, version);
  directory_expire (directory, 500, 1600);
  g_assert_cmpint (find_entry (directory, "u", 100)->said.state, ==,
                   DIRECTORY_SILENT);
  said.sequence = 2;
  g_assert_cmpint (directory_put (directory, &said, 1700), ==,
                   DIRECTORY_CHANGED);
  g_assert_cmpint (find_entry (directory, "u", 100)->said.state, ==,
                   DIRECTORY_READY);
  directory_expire (directory, 500, 1700 + 3600 * 1000);
  g_assert_null (find_entry (directory, "u", 100));
  talloc_free (directory);
}

/** A pause of the instance's own process does not count as missed heartbeats of
 * an upstream. */
static void
test_own_process_pause (void)
{
  directory_t *directory = directory_new (NULL);
  directory_statement_t said = make_statement ("u", 100, 1);

  directory_put (directory, &said, 1000);
  directory_expire (directory, 1500, 1200);
  directory_expire (directory, 1500, 7000);
  g_assert_cmpint (find_entry (directory, "u", 100)->said.state, ==,
                   DIRECTORY_READY);
  for (uint64_t now_ms = 7200; now_ms <= 8600; now_ms += 200)
    directory_expire (directory, 1500, now_ms);
  g_assert_cmpint (find_entry (directory, "u", 100)->said.state, ==,
                   DIRECTORY_SILENT);
  talloc_free (directory);
}

/** An upstream whose leave arrives before its first announcement stays gone,
 * even when an announcement follows. */
static void
test_leave_before_announcement (void)
{
  directory_t *directory = directory_new (NULL);
  directory_statement_t said = make_statement ("u", 100, 1);

  directory_leave (directory, "u", 100, 1000);
  directory_put (directory, &said, 1100);
  g_assert_cmpint (find_entry (directory, "u", 100)->said.state, ==,
                   DIRECTORY_GONE);
  talloc_free (directory);
}

/** An instance that never heard an upstream's announcements passes its
 * tombstone on with a low sequence number; it still ends the upstream
 * elsewhere, and only this incarnation of it. */
static void
test_tombstone_overrides_sequence (void)
{
  directory_t *watcher = directory_new (NULL);
  directory_t *origin = directory_new (NULL);
  directory_statement_t said = make_statement ("u", 100, 70);
  directory_statement_t successor = make_statement ("u", 200, 1);
  uint64_t version;

  directory_put (watcher, &said, 1000);
  directory_put (watcher, &successor, 1000);
  g_assert_true (directory_leave (origin, "u", 100, 1000));
  g_assert_cmpint (
      directory_put (watcher, &find_entry (origin, "u", 100)->said, 1100), ==,
      DIRECTORY_CHANGED);
  g_assert_cmpint (find_entry (watcher, "u", 100)->said.state, ==,
                   DIRECTORY_GONE);
  g_assert_cmpstr (find_entry (watcher, "u", 100)->said.address, ==,
                   "10.0.0.1:80");
  g_assert_cmpint (find_entry (watcher, "u", 200)->said.state, ==,
                   DIRECTORY_READY);
  version = directory_version (watcher);
  directory_put (watcher, &find_entry (origin, "u", 100)->said, 1200);
  g_assert_cmpuint (directory_version (watcher), ==, version);
  talloc_free (watcher);
  talloc_free (origin);
}

static bool
is_s (const char *service, void *context)
{
  return strcmp (service, "s") == 0;
}

/** Returns whether an upstream that announces itself is replaced by another
 * statement. */
static bool
is_replaced_by (const directory_statement_t *said,
                const directory_statement_t *other)
{
  static const directory_services_t services = { .is_known = is_s };
  directory_t *directory = directory_new (NULL);
  bool is_replaced;

  directory_put (directory, said, 1000);
  directory_put (directory, other, 1000);
  is_replaced = directory_is_replaced (
      directory, find_entry (directory, said->id, said->born_ms), &services);
  talloc_free (directory);
  return is_replaced;
}

/** Who takes over an address or an id: only an upstream of a known service that
 * is there. Guards against announcements of other writers that take upstreams
 * out of use. */
static void
test_successors (void)
{
  directory_statement_t said = make_statement ("u", 100, 1);
  directory_statement_t silent = said;
  directory_statement_t same_id = make_statement ("u", 200, 1);
  directory_statement_t same_address = make_statement ("v", 200, 1);
  directory_statement_t other = same_address;

  silent.state = DIRECTORY_SILENT;
  same_id.address = "10.0.0.2:80";
  g_assert_true (is_replaced_by (&said, &same_id));
  g_assert_true (is_replaced_by (&said, &same_address));
  other.state = DIRECTORY_LEAVING;
  g_assert_true (is_replaced_by (&said, &other));
  other.state = DIRECTORY_GONE;
  g_assert_true (is_replaced_by (&said, &other));
  other.state = DIRECTORY_SILENT;
  g_assert_false (is_replaced_by (&said, &other));
  g_assert_true (is_replaced_by (&silent, &other));
  other.born_ms = 50;
  g_assert_false (is_replaced_by (&said, &other));

  for (int state = DIRECTORY_READY; state <= DIRECTORY_SILENT; state++)
    {
      same_id.state = same_address.state = (directory_state_t)state;
      same_id.service = same_address.service = "stray";
      g_assert_false (is_replaced_by (&said, &same_id));
      g_assert_false (is_replaced_by (&said, &same_address));
      g_assert_false (is_replaced_by (&silent, &same_id));
      g_assert_false (is_replaced_by (&silent, &same_address));
    }
  /* The tombstone of an upstream that started again under its id. */
  other = (directory_statement_t){ .id = "u",
                                   .address = "",
                                   .zone = "",
                                   .service = "",
                                   .born_ms = 200,
                                   .state = DIRECTORY_GONE };
  g_assert_true (is_replaced_by (&said, &other));
}

/** Guards against a statement of another writer that takes over the entry of an
 * upstream, as neither of them says when it started. */
static void
test_contradiction (void)
{
  directory_t *directory = directory_new (NULL);
  directory_statement_t said = make_statement ("u", 0, 5);
  directory_statement_t stray = make_statement ("u", 0, 1000);

  directory_put (directory, &said, 1000);
  stray.service = "stray";
  g_assert_cmpint (directory_put (directory, &stray, 1100), ==,
                   DIRECTORY_STALE);
  stray = said;
  stray.address = "10.0.0.9:80";
  stray.sequence = 1000;
  g_assert_cmpint (directory_put (directory, &stray, 1200), ==,
                   DIRECTORY_STALE);
  said.sequence = 6;
  g_assert_cmpint (directory_put (directory, &said, 1300), ==, DIRECTORY_SAME);
  g_assert_cmpstr (find_entry (directory, "u", 0)->said.address, ==,
                   "10.0.0.1:80");
  /* It may have moved while it was not heard. */
  directory_expire (directory, 500, 2000);
  g_assert_cmpint (directory_put (directory, &stray, 2100), ==,
                   DIRECTORY_CHANGED);
  talloc_free (directory);
}

/** Returns an id that no other entry has, of the longest allowed size. */
static char *
make_long_id (uint32_t number)
{
  return g_strdup_printf ("%0*u", (int)DIRECTORY_MAX_TEXT_BYTES, number);
}

/** Guards against announcements of other writers that fill the memory of all
 * instances: of long texts, and of many. */
static void
test_bounds (void)
{
  directory_t *directory = directory_new (NULL);
  directory_statement_t said = make_statement ("u", 100, 1);
  char *too_long = g_strnfill (DIRECTORY_MAX_TEXT_BYTES + 1, 'z');
  const char **texts[] = { &said.id, &said.address, &said.zone, &said.service };
  uint32_t count = 0;
  directory_result_t result;

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      const char *text = *texts[i];

      *texts[i] = too_long;
      g_assert_cmpint (directory_put (directory, &said, 1), ==,
                       DIRECTORY_TOO_LONG);
      *texts[i] = text;
    }
  g_assert_false (directory_leave (directory, too_long, 100, 1));
  g_assert_cmpint (directory_put (directory, &said, 1), ==, DIRECTORY_CHANGED);
  do
    {
      char *id = make_long_id (++count);
      directory_statement_t stray = make_statement (id, 100, 1);

      result = directory_put (directory, &stray, 1);
      g_free (id);
    }
  while (result == DIRECTORY_CHANGED);
  g_assert_cmpint (result, ==, DIRECTORY_FULL);
  g_assert_cmpuint (count, <=, DIRECTORY_MAX_BYTES / DIRECTORY_MAX_TEXT_BYTES);
  /* Who is known goes on, and there is room again once the others are silent.
   */
  said.sequence = 2;
  g_assert_cmpint (directory_put (directory, &said, 2), ==, DIRECTORY_SAME);
  directory_expire (directory, 500, 3600 * 1000);
  g_assert_cmpint (directory_put (directory, &said, 3600 * 1000), ==,
                   DIRECTORY_CHANGED);
  g_free (too_long);
  talloc_free (directory);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/directory/order", test_statement_order);
  g_test_add_func ("/directory/leaving-stays",
                   test_late_statement_keeps_leaving);
  g_test_add_func ("/directory/restart", test_restart_replaces_incarnation);
  g_test_add_func ("/directory/address-used-again", test_address_used_again);
  g_test_add_func ("/directory/silence", test_missed_heartbeats);
  g_test_add_func ("/directory/own-standstill", test_own_process_pause);
  g_test_add_func ("/directory/leave-first", test_leave_before_announcement);
  g_test_add_func ("/directory/tombstone", test_tombstone_overrides_sequence);
  g_test_add_func ("/directory/successors", test_successors);
  g_test_add_func ("/directory/contradiction", test_contradiction);
  g_test_add_func ("/directory/bounds", test_bounds);
  return g_test_run ();
}
