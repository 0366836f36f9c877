#include <talloc.h>

#include "base.h"
#include "control-internal.h"
#define LOG_PART "control"
#include "logging.h"

/* Time until the next attempt after a snapshot failed on a full disk. */
#define SNAPSHOT_RETRY_MS 1000
/* Size above which the log is compacted. */
#define MAX_LOG_BYTES (16u * 1024 * 1024)
/* Log entries before the snapshot that compaction keeps. */
#define KEEP_ENTRIES 64
/* Log entries before the snapshot that compaction keeps in a log larger than
 * MAX_LOG_BYTES. */
#define KEEP_ENTRIES_LARGE 4

static void
install_snapshot (control_server_t *server)
{
  raft_received_snapshot_t received;
  Lwm__ControlSnapshot *snapshot;

  if (!raft_get_received (server->raft, &received))
    return;
  snapshot = store_install (server->store, server->raft, &received);
  if (snapshot == NULL)
    {
      log_warn ("Dropped a received snapshot: malformed or disk full. "
                "index=%ju",
                (uintmax_t)received.index);
      return;
    }
  statemachine_restore (server->machine, snapshot->state);
  server->applied = server->snapshot_index = snapshot->index;
  control_server_advance_clock (server,
                                statemachine_clock_ms (server->machine));
  metric_add (server->counters.snapshots_received, 1);
  log_info ("Installed a snapshot of the leader. index=%ju",
            (uintmax_t)snapshot->index);
  lwm__control_snapshot__free_unpacked (snapshot, NULL);
  control_watch_push (server->watch);
  control_watch_push_drains (server->watch);
}

/** Records whether the disk is full. If so, discards the messages that wait for
 * a sync, as they must not be sent, and redirects the waiting clients. */
static void
set_disk_full (control_server_t *server, bool is_full)
{
  if (server->disk_is_full == is_full)
    return;
  server->disk_is_full = is_full;
  if (is_full)
    {
      metric_add (server->counters.no_room, 1);
      log_error ("The disk is full: the replica stops taking part in the "
                 "group. applied=%ju",
                 (uintmax_t)server->applied);
      g_ptr_array_set_size (server->held, 0);
      control_requests_redirect_all (server->requests);
    }
  else
    log_info ("The disk has room again. applied=%ju",
              (uintmax_t)server->applied);
}

bool
control_disk_save (control_server_t *server)
{
  uint64_t bytes = store_appended_bytes (server->store);
  store_save_t saved;

  install_snapshot (server);
  while ((saved = store_save (server->store, server->raft)) == STORE_SAVED)
    metric_add (server->counters.syncs, 1);
  metric_add (server->counters.log_bytes,
              store_appended_bytes (server->store) - bytes);
  set_disk_full (server, saved == STORE_DISK_FULL);
  return !server->disk_is_full;
}

static void
take_snapshot (control_server_t *server)
{
  void *scratch = talloc_new (server);
  Lwm__ControlSnapshot snapshot = LWM__CONTROL_SNAPSHOT__INIT;
  const raft_log_t *log = raft_log (server->raft);
  uint64_t keep = raft_log_size_bytes (log) > MAX_LOG_BYTES ? KEEP_ENTRIES_LARGE
                                                            : KEEP_ENTRIES;
  size_t size_bytes;
  uint8_t *data;

  snapshot.index = server->applied;
  raft_log_term (log, server->applied, &snapshot.term);
  snapshot.group = raft_status (server->raft).group;
  snapshot.membership
      = raft_membership_at (server->raft, server->applied, scratch);
  snapshot.state = statemachine_export (server->machine, scratch);
  data = snapshot_encode (scratch, &snapshot, &size_bytes);
  if (store_snapshot (server->store, server->raft, server->applied, keep, data,
                      size_bytes))
    {
      server->snapshot_index = server->applied;
      metric_add (server->counters.snapshots, 1);
      log_info ("Took a snapshot. index=%ju bytes=%zu",
                (uintmax_t)server->applied, size_bytes);
    }
  else
    {
      server->snapshot_due_ms = clock_mono_ms () + SNAPSHOT_RETRY_MS;
      log_warn ("Cannot take a snapshot: disk full. index=%ju bytes=%zu",
                (uintmax_t)server->applied, size_bytes);
    }
  talloc_free (scratch);
}

static bool
is_snapshot_due (const control_server_t *server, uint64_t now_ms)
{
  uint64_t log_bytes = raft_log_size_bytes (raft_log (server->raft));

  if (now_ms < server->snapshot_due_ms)
    return false;
  return server->applied
             >= server->snapshot_index + server->options.snapshot_entries
         || (log_bytes > MAX_LOG_BYTES
             && server->applied > server->snapshot_index);
}

void
control_disk_snapshot (control_server_t *server, uint64_t now_ms)
{
  if (is_snapshot_due (server, now_ms))
    take_snapshot (server);
}
