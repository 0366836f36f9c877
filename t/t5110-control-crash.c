/* A replica is killed at every step of append, sync, snapshot and rename, or
 * its write or sync fails: it stops, recovers completely, and no accepted
 * revision is lost. On a full disk it keeps running and continues once there is
 * room. */
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "lib-control-fixture.h"

/** Byte of a log file that a test changes. */
#define DAMAGED_OFFSET 60

static control_fixture_t fixture;
/* Parts of the fixture. */
static group_t *group;
static history_t *history;

static void
set_up (void)
{
  control_fixture_options_t options
      = { .replicas = 3, .allow_self_kills = true, .snapshot_entries = 10 };

  control_fixture_start (&fixture, &options);
  group = fixture.group;
  history = fixture.history;
}

static void
tear_down (void)
{
  control_fixture_clear (&fixture);
}

static void
apply_one (void)
{
  control_fixture_apply_next (&fixture);
}

/** Restarts replica @a at with the fault and makes changes until it stops.
 * Returns its exit code. */
static int
run_until_stopped (size_t at, const char *fault)
{
  int64_t end_us = g_get_monotonic_time () + CLUSTER_WAIT_TIMEOUT_MS * 1000;
  int code;

  group_kill (group, at, false);
  group_start (group, at, fault);
  while (process_running (group->process[at])
         && g_get_monotonic_time () < end_us)
    apply_one ();
  g_assert_false (process_running (group->process[at]));
  code = process_wait (group->process[at]);
  group->process[at] = NULL;
  return code;
}

static bool
has_reported_full_disk (size_t at)
{
  char *log = process_log (group->process[at]);
  bool is_reported = strstr (log, "The disk is full") != NULL
                     || strstr (log, "Cannot take a snapshot") != NULL
                     || strstr (log, "malformed or disk full") != NULL
                     || strstr (log, "Cannot rewrite the log") != NULL;

  g_free (log);
  return is_reported;
}

/** Restarts replica @a at with the fault and makes changes until it reports a
 * full disk. */
static void
run_until_disk_full (size_t at, const char *fault)
{
  int64_t end_us = g_get_monotonic_time () + CLUSTER_WAIT_TIMEOUT_MS * 1000;

  group_kill (group, at, false);
  group_start (group, at, fault);
  while (!has_reported_full_disk (at) && g_get_monotonic_time () < end_us)
    apply_one ();
  if (!has_reported_full_disk (at))
    process_print_log (group->process[at]);
  g_assert_true (has_reported_full_disk (at));
}

static void
check_recovered (size_t at)
{
  group_start (group, at, NULL);
  g_assert_nonnull (group->process[at]);
  control_fixture_check_last (&fixture);
  CLUSTER_WAIT (group_status (group, at, "config_number")
                == (int64_t)history->accepted);
}

static void
test_killed_at_every_step (void)
{
  static const char *const faults[] = {
    "log-write:3",        "log-half:3",        "log-written:3",
    "log-synced:3",       "snapshot-write:1",  "snapshot-half:1",
    "snapshot-written:1", "snapshot-synced:1", "snapshot-renamed:1",
    "snapshot-folder:1",  "rewrite-write:1",   "rewrite-half:1",
    "rewrite-written:1",  "rewrite-synced:1",  "rewrite-renamed:1",
    "rewrite-folder:1",
  };

  set_up ();
  apply_one ();
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      /* The leader is killed in every other case. */
      size_t at = (group_leader (group) + i % 2) % 3;

      g_test_message ("%s at %zu", faults[i], at);
      g_assert_cmpint (run_until_stopped (at, faults[i]), ==, 128 + SIGKILL);
      check_recovered (at);
    }
  group_wait_observer (group, &fixture.observer);
  tear_down ();
}

static void
test_failed_write_or_sync_stops (void)
{
  static const char *const faults[]
      = { "log-write:4:EIO", "log-sync:4:EIO", "snapshot-write:1:EIO",
          "rewrite-sync:1:EIO" };

  set_up ();
  apply_one ();
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      size_t at = (group_leader (group) + i % 2) % 3;

      g_assert_cmpint (run_until_stopped (at, faults[i]), ==, EXIT_CODE_FATAL);
      check_recovered (at);
    }
  tear_down ();
}

/* A write to a full disk does not stop the replica: it continues once there is
 * room, and keeps everything it acknowledged. */
static void
test_full_disk_does_not_stop (void)
{
  static const char *const faults[]
      = { "log-write:4:ENOSPC", "snapshot-write:1:ENOSPC",
          "rewrite-write:1:ENOSPC" };

  set_up ();
  apply_one ();
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      size_t at = (group_leader (group) + i % 2) % 3;

      g_test_message ("%s at %zu", faults[i], at);
      run_until_disk_full (at, faults[i]);
      apply_one ();
      CLUSTER_WAIT (group_status (group, at, "config_number")
                    == (int64_t)history->accepted);
      g_assert_true (process_running (group->process[at]));
      /* The replica recovers completely from the files it wrote. */
      group_kill (group, at, false);
      check_recovered (at);
    }
  tear_down ();
}

static void
test_killed_while_creating_folder (void)
{
  static const char *const faults[]
      = { "rewrite-half:1", "rewrite-renamed:1", "rewrite-folder:1",
          "identity-half:1", "identity-renamed:1" };

  control_fixture_options_t options
      = { .replicas = 3, .allow_self_kills = true };

  control_fixture_init (&fixture, &options);
  group = fixture.group;
  group_start (group, 1, NULL);
  group_start (group, 2, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      group_start (group, 0, faults[i]);
      g_assert_null (group->process[0]);
    }
  group_start (group, 0, NULL);
  control_fixture_connect (&fixture);
  apply_one ();
  tear_down ();
}

/** Returns the size of the log file of a replica in bytes. */
static goffset
log_bytes (size_t replica)
{
  char *path = g_strdup_printf ("%s/log", group->folder[replica]);
  GStatBuf info = { 0 };

  g_stat (path, &info);
  g_free (path);
  return info.st_size;
}

static void
test_damage_refuses_to_start (void)
{
  char *path;
  char *data;
  char *log;
  gsize size;
  int code;

  set_up ();
  for (int i = 0; i < 5; i++)
    apply_one ();
  group_wait_settled (group);
  /* The log of a replica that has just received a snapshot has no entries. */
  while (log_bytes (1) <= DAMAGED_OFFSET)
    {
      apply_one ();
      group_wait_settled (group);
    }
  group_kill (group, 1, false);
  path = g_strdup_printf ("%s/log", group->folder[1]);
  g_assert_true (g_file_get_contents (path, &data, &size, NULL));
  g_assert_cmpuint (size, >, DAMAGED_OFFSET);
  data[DAMAGED_OFFSET] ^= 1;
  g_assert_true (g_file_set_contents (path, data, (gssize)size, NULL));
  code = cluster_run (fixture.cluster, &log, "lwm-controld", "--instance=b",
                      "--listen", group->http[1], "--control-listen",
                      group->control[1], "--data-folder", group->folder[1],
                      "--member=b=127.0.0.1:1", NULL);
  g_assert_cmpint (code, ==, EXIT_CODE_FAILED);
  g_assert_nonnull (strstr (log, "/b/log' is damaged at offset "));
  apply_one ();
  g_free (log);
  g_free (data);
  g_free (path);
  tear_down ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-crash/killed-at-every-step",
                   test_killed_at_every_step);
  g_test_add_func ("/control-crash/failed-write-or-sync-stops",
                   test_failed_write_or_sync_stops);
  g_test_add_func ("/control-crash/full-disk-is-waited-for",
                   test_full_disk_does_not_stop);
  g_test_add_func ("/control-crash/killed-while-the-folder-is-made",
                   test_killed_while_creating_folder);
  g_test_add_func ("/control-crash/damage-refuses-to-start",
                   test_damage_refuses_to_start);
  return g_test_run ();
}
