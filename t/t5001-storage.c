/* Tests the log file and the data folder: a torn tail is truncated, damage
 * before it makes the start fail with the position, and an incomplete data
 * folder is not used. */
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <talloc.h>

#include "lib-cluster.h"
#include "store.h"
#include "wal.h"

#define BATCHES          4
#define ENTRY_BYTES      700
#define LONG_BATCH_BYTES 2048

static cluster_t *cluster;
static uint64_t seen;

static void
on_batch (const Lwm__ControlBatch *batch, void *context)
{
  seen += batch->n_entries;
}

static void
fill_entry (Lwm__ControlEntry *entry, uint64_t index, size_t size)
{
  static uint8_t data[LONG_BATCH_BYTES];

  memset (data, 'x', sizeof data);
  lwm__control_entry__init (entry);
  entry->index = index;
  entry->term = 1;
  entry->kind = LWM__CONTROL_ENTRY_KIND__ENTRY_COMMAND;
  entry->data.data = data;
  entry->data.len = size;
}

static void
append (wal_t *wal, uint64_t index, size_t size)
{
  Lwm__ControlBatch batch = LWM__CONTROL_BATCH__INIT;
  Lwm__ControlEntry entry;
  Lwm__ControlEntry *entries[] = { &entry };

  fill_entry (&entry, index, size);
  batch.term = 1;
  batch.group = 1;
  batch.entries = entries;
  batch.n_entries = 1;
  wal_append (wal, &batch);
}

static wal_t *
open_log (const char *folder, char **why)
{
  seen = 0;
  *why = NULL;
  return wal_open (NULL, folder, on_batch, NULL, why);
}

/** Creates a log of BATCHES entries and stores the offsets of its frames. */
static const char *
make_log (const char *name, size_t last_size, size_t *offsets)
{
  const char *folder = cluster_subfolder (cluster, name);
  char *path = g_strdup_printf ("%s/log", folder);
  Lwm__ControlBatch first = LWM__CONTROL_BATCH__INIT;
  GStatBuf status;
  char *why;
  wal_t *wal;

  wal_create (folder, &first);
  wal = open_log (folder, &why);
  for (uint64_t i = 1; i <= BATCHES; i++)
    {
      g_stat (path, &status);
      offsets[i] = (size_t)status.st_size;
      append (wal, i, i == BATCHES ? last_size : ENTRY_BYTES);
    }
  talloc_free (wal);
  g_free (path);
  return folder;
}

static void
write_log (const char *folder, const char *data, gsize size)
{
  char *path = g_strdup_printf ("%s/log", folder);

  g_assert_true (g_file_set_contents (path, data, (gssize)size, NULL));
  g_free (path);
}

static char *
read_log (const char *folder, gsize *size)
{
  char *path = g_strdup_printf ("%s/log", folder);
  char *data;

  g_assert_true (g_file_get_contents (path, &data, size, NULL));
  g_free (path);
  return data;
}

static void
test_torn_tail_is_cut (void)
{
  size_t offsets[BATCHES + 1];
  const char *folder = make_log ("torn", ENTRY_BYTES, offsets);
  gsize size;
  char *data = read_log (folder, &size);
  char *why;

  for (gsize end = offsets[BATCHES] + 1; end < size; end += 7)
    {
      wal_t *wal;

      write_log (folder, data, end);
      wal = open_log (folder, &why);
      g_assert_nonnull (wal);
      g_assert_cmpuint (seen, ==, BATCHES - 1);
      g_assert_cmpuint (wal_cut_bytes (wal), ==, end - offsets[BATCHES]);
      append (wal, BATCHES, 5);
      talloc_free (wal);
      wal = open_log (folder, &why);
      g_assert_nonnull (wal);
      g_assert_cmpuint (seen, ==, BATCHES);
      talloc_free (wal);
    }
  g_free (data);
}

static void
test_unwritten_sector_is_a_torn_tail (void)
{
  size_t offsets[BATCHES + 1];
  const char *folder = make_log ("sector", LONG_BATCH_BYTES, offsets);
  gsize size;
  char *data = read_log (folder, &size);
  size_t sector = (offsets[BATCHES] / 512 + 2) * 512;
  char *why;
  wal_t *wal;

  memset (data + sector, 0, 512);
  write_log (folder, data, size);
  wal = open_log (folder, &why);
  g_assert_nonnull (wal);
  g_assert_cmpuint (seen, ==, BATCHES - 1);
  talloc_free (wal);
  g_free (data);
}

static void
test_damage_refuses_and_says_where (void)
{
  size_t offsets[BATCHES + 1];
  const char *folder = make_log ("damage", ENTRY_BYTES, offsets);
  gsize size;
  char *data = read_log (folder, &size);

  offsets[0] = 0;
  for (gsize at = 0; at < size; at += 3)
    {
      size_t frame = BATCHES;
      char *why;
      char *where;

      while (offsets[frame] > at)
        frame--;
      data[at] ^= 0x40;
      write_log (folder, data, size);
      data[at] ^= 0x40;
      g_assert_null (open_log (folder, &why));
      where = g_strdup_printf ("/damage/log' is damaged at offset %zu",
                               frame == 0 ? 0 : offsets[frame]);
      g_assert_nonnull (strstr (why, where));
      g_free (where);
      talloc_free (why);
    }
  g_free (data);
}

static void
test_zeros_before_whole_frames_refuse (void)
{
  size_t offsets[BATCHES + 1];
  const char *folder = make_log ("zeros", ENTRY_BYTES, offsets);
  gsize size;
  char *data = read_log (folder, &size);
  char *why;

  /* Without later frames, the zeros would be taken for an unfinished last frame
   * whose header was not written yet. */
  memset (data + offsets[2], 0, 512 - offsets[2] % 512);
  write_log (folder, data, size);
  g_assert_null (open_log (folder, &why));
  g_assert_nonnull (strstr (why, "is damaged at offset"));
  talloc_free (why);
  g_free (data);
}

static store_t *
open_store (const char *folder, const char *name, char **why)
{
  store_options_t options = { .folder = folder, .name = name };

  *why = NULL;
  return store_open (NULL, &options, why);
}

static void
test_folder_is_used_once_and_by_its_owner (void)
{
  const char *folder = cluster_subfolder (cluster, "owner");
  char *why;
  store_t *store = open_store (folder, "a", &why);
  uint64_t incarnation = store_incarnation (store);

  g_assert_true (store_is_new (store));
  g_assert_null (open_store (folder, "a", &why));
  g_assert_nonnull (strstr (why, "cannot lock data folder"));
  talloc_free (why);
  talloc_free (store);
  g_assert_null (open_store (folder, "b", &why));
  g_assert_nonnull (strstr (why, "belongs to 'a'"));
  talloc_free (why);
  store = open_store (folder, "a", &why);
  g_assert_false (store_is_new (store));
  g_assert_cmpuint (store_incarnation (store), ==, incarnation);
  talloc_free (store);
}

static void
ignore_send (const Lwm__RaftMessage *message, bool after_sync, void *context)
{
}

static raft_t *
new_raft (void)
{
  raft_options_t options = {
    .id = 1, .heartbeat_ms = 50, .election_timeout_ms = 300, .send = ignore_send
  };

  return raft_new (NULL, &options);
}

/** Creates a group of one replica with ten entries in a new folder. */
static raft_t *
make_single (store_t *store)
{
  Lwm__ControlMember member = LWM__CONTROL_MEMBER__INIT;
  Lwm__ControlMember *members[] = { &member };
  Lwm__ControlMembership membership = LWM__CONTROL_MEMBERSHIP__INIT;
  raft_t *raft = new_raft ();
  Lwm__ControlSnapshot *snapshot;
  char *why;

  g_assert_true (store_recover (store, raft, &snapshot, &why));
  member.incarnation = 1;
  member.voter = true;
  membership.members = members;
  membership.n_members = 1;
  raft_found_group (raft, 5, &membership, 1);
  raft_tick (raft, 2);
  for (int i = 0; i < 10; i++)
    {
      raft_propose (raft, (const uint8_t *)"x", 1);
      store_save (store, raft);
    }
  return raft;
}

static void
take_snapshot (store_t *store, raft_t *raft, uint64_t index)
{
  Lwm__ControlSnapshot snapshot = LWM__CONTROL_SNAPSHOT__INIT;
  Lwm__ControlState state = LWM__CONTROL_STATE__INIT;
  size_t size;
  uint8_t *data;

  snapshot.index = index;
  raft_log_term (raft_log (raft), index, &snapshot.term);
  snapshot.group = 5;
  snapshot.membership = raft_membership_at (raft, index, raft);
  snapshot.state = &state;
  data = snapshot_encode (NULL, &snapshot, &size);
  store_snapshot (store, raft, index, 2, data, size);
  talloc_free (data);
}

static void
test_crash_between_snapshot_and_log (void)
{
  const char *folder = cluster_subfolder (cluster, "between");
  Lwm__ControlSnapshot *snapshot = NULL;
  char *why;
  store_t *store = open_store (folder, "a", &why);
  raft_t *raft = make_single (store);
  uint64_t last = raft_log_last_index (raft_log (raft));
  gsize size;
  char *old_log = read_log (folder, &size);

  take_snapshot (store, raft, 6);
  talloc_free (store);
  talloc_free (raft);
  write_log (folder, old_log, size);
  g_free (old_log);
  store = open_store (folder, "a", &why);
  raft = new_raft ();
  g_assert_true (store_recover (store, raft, &snapshot, &why));
  g_assert_cmpuint (snapshot->index, ==, 6);
  g_assert_cmpuint (raft_status (raft).commit, ==, 6);
  g_assert_cmpuint (raft_log_last_index (raft_log (raft)), ==, last);
  lwm__control_snapshot__free_unpacked (snapshot, NULL);
  talloc_free (store);
  talloc_free (raft);
}

/** Opens the folder again and returns the index of its last entry. */
static uint64_t
reopen (const char *folder, store_t **store, raft_t **raft)
{
  Lwm__ControlSnapshot *snapshot = NULL;
  char *why;

  talloc_free (*store);
  talloc_free (*raft);
  *store = open_store (folder, "a", &why);
  *raft = new_raft ();
  g_assert_true (store_recover (*store, *raft, &snapshot, &why));
  if (snapshot != NULL)
    lwm__control_snapshot__free_unpacked (snapshot, NULL);
  return raft_log_last_index (raft_log (*raft));
}

/* A crash after a leader's snapshot became durable and before the log was
 * started anew leaves a log that ends before the snapshot. Entries that are
 * saved after that must be recovered. */
static void
test_log_ends_before_snapshot (void)
{
  const char *folder = cluster_subfolder (cluster, "behind");
  char *why;
  store_t *store = open_store (folder, "a", &why);
  raft_t *raft = make_single (store);
  gsize size;
  char *old_log = read_log (folder, &size);
  uint64_t last;

  for (int i = 0; i < 5; i++)
    {
      raft_propose (raft, (const uint8_t *)"x", 1);
      store_save (store, raft);
    }
  last = raft_log_last_index (raft_log (raft));
  take_snapshot (store, raft, last);
  write_log (folder, old_log, size);
  g_free (old_log);
  g_assert_cmpuint (reopen (folder, &store, &raft), ==, last);
  for (uint64_t now_ms = 1000; now_ms < 3000; now_ms += 10)
    raft_tick (raft, now_ms);
  g_assert_cmpuint (raft_propose (raft, (const uint8_t *)"x", 1), >, last);
  last = raft_log_last_index (raft_log (raft));
  store_save (store, raft);
  g_assert_cmpuint (reopen (folder, &store, &raft), ==, last);
  talloc_free (store);
  talloc_free (raft);
}

static void
limit_file_size (rlim_t size_bytes)
{
  struct rlimit limit;

  g_assert_cmpint (getrlimit (RLIMIT_FSIZE, &limit), ==, 0);
  limit.rlim_cur = size_bytes;
  g_assert_cmpint (setrlimit (RLIMIT_FSIZE, &limit), ==, 0);
}

/* On a full disk nothing is saved, and the file stays unchanged. */
static void
test_full_disk (void)
{
  const char *folder = cluster_subfolder (cluster, "full");
  char *why;
  store_t *store = open_store (folder, "a", &why);
  raft_t *raft = make_single (store);
  uint64_t last;
  gsize size;

  signal (SIGXFSZ, SIG_IGN);
  g_free (read_log (folder, &size));
  raft_propose (raft, (const uint8_t *)"a longer entry than there is room", 33);
  last = raft_log_last_index (raft_log (raft));
  limit_file_size (size + 10);
  g_assert_cmpint (store_save (store, raft), ==, STORE_DISK_FULL);
  g_assert_cmpint (store_save (store, raft), ==, STORE_DISK_FULL);
  limit_file_size (RLIM_INFINITY);
  g_free (read_log (folder, &size));
  g_assert_cmpint (store_save (store, raft), ==, STORE_SAVED);
  g_assert_cmpint (store_save (store, raft), ==, STORE_UNCHANGED);
  g_assert_cmpuint (reopen (folder, &store, &raft), ==, last);
  talloc_free (store);
  talloc_free (raft);
}

static void
test_missing_files_refuse (void)
{
  const char *folder = cluster_subfolder (cluster, "missing");
  char *snapshot_path = g_strdup_printf ("%s/snapshot", folder);
  char *identity_path = g_strdup_printf ("%s/identity", folder);
  Lwm__ControlSnapshot *snapshot;
  char *why;
  store_t *store = open_store (folder, "a", &why);
  raft_t *raft = make_single (store);

  take_snapshot (store, raft, 6);
  talloc_free (store);
  talloc_free (raft);
  g_assert_cmpint (g_remove (snapshot_path), ==, 0);
  store = open_store (folder, "a", &why);
  raft = new_raft ();
  g_assert_false (store_recover (store, raft, &snapshot, &why));
  g_assert_nonnull (strstr (why, "snapshot' is missing"));
  talloc_free (why);
  talloc_free (store);
  talloc_free (raft);
  g_assert_cmpint (g_remove (identity_path), ==, 0);
  g_assert_null (open_store (folder, "a", &why));
  g_assert_nonnull (strstr (why, "identity' is missing"));
  talloc_free (why);
  g_free (snapshot_path);
  g_free (identity_path);
}

int
main (int argc, char **argv)
{
  int failures;

  g_test_init (&argc, &argv, NULL);
  cluster = cluster_new ();
  g_test_add_func ("/storage/torn-tail-is-cut", test_torn_tail_is_cut);
  g_test_add_func ("/storage/unwritten-sector-is-a-torn-tail",
                   test_unwritten_sector_is_a_torn_tail);
  g_test_add_func ("/storage/damage-refuses-and-says-where",
                   test_damage_refuses_and_says_where);
  g_test_add_func ("/storage/zeros-before-whole-frames-refuse",
                   test_zeros_before_whole_frames_refuse);
  g_test_add_func ("/storage/folder-is-used-once-and-by-its-owner",
                   test_folder_is_used_once_and_by_its_owner);
  g_test_add_func ("/storage/crash-between-snapshot-and-log",
                   test_crash_between_snapshot_and_log);
  g_test_add_func ("/storage/log-ends-before-snapshot",
                   test_log_ends_before_snapshot);
  g_test_add_func ("/storage/no-room", test_full_disk);
  g_test_add_func ("/storage/missing-files-refuse", test_missing_files_refuse);
  failures = g_test_run ();
  cluster_free (cluster);
  return failures;
}
