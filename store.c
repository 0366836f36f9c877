#include "store.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/file.h>
#include <talloc.h>
#include <unistd.h>

#include "base.h"
#include "file.h"
#include "frame.h"
#include "wal.h"
#define LOG_PART "store"
#include "logging.h"

#define IDENTITY_NAME "identity"

struct store
{
  char *folder;
  int lock_fd;
  uint64_t incarnation;
  bool is_new;
  wal_t *wal;
  uint64_t rewrite_index; /* snapshot index of a pending log rewrite, or 0 */
  uint64_t syncs;
  uint64_t bytes;
};

/** Progress of reading the log. */
typedef struct
{
  raft_t *raft;
  uint64_t snapshot_index;
  uint64_t snapshot_term;
  /* The last log entry up to snapshot_index is not the snapshot's last entry.
   * Later entries are skipped. */
  bool log_diverged;
  uint64_t base_index; /* base of the log, from its first batch */
  uint64_t base_term;
  uint64_t group;
  uint64_t batches;
  bool gap; /* an entry does not follow the one before it */
} recovery_t;

static int
free_store (store_t *store)
{
  if (store->lock_fd >= 0)
    close (store->lock_fd);
  return 0;
}

static bool
lock_folder (store_t *store, char **why)
{
  store->lock_fd = open (store->folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (store->lock_fd >= 0 && flock (store->lock_fd, LOCK_EX | LOCK_NB) == 0)
    return true;
  *why = talloc_asprintf (talloc_parent (store),
                          "cannot lock data folder '%s': %s", store->folder,
                          strerror (errno));
  return false;
}

static bool
write_identity (store_t *store, const char *name)
{
  Lwm__ControlIdentity identity = LWM__CONTROL_IDENTITY__INIT;
  uint8_t payload[256];
  size_t size_bytes;
  uint8_t *data;
  bool is_written;

  identity.name = (char *)name;
  identity.incarnation = store->incarnation;
  if (lwm__control_identity__get_packed_size (&identity) > sizeof payload)
    die ("instance name '%s' is too long", name);
  size_bytes = lwm__control_identity__pack (&identity, payload);
  data = frame_encode (store, 0, payload, size_bytes, &size_bytes);
  is_written = file_replace (store->folder, IDENTITY_NAME, data, size_bytes,
                             "identity");
  talloc_free (data);
  return is_written;
}

static void
count_batch (const Lwm__ControlBatch *batch, void *context)
{
  recovery_t *found = context;

  found->batches++;
  found->group = batch->group;
}

/** Initializes a folder without identity file. Such a folder may hold files of
 * an interrupted initialization. Fails when it holds a snapshot, a damaged log
 * or the log of a group. */
static bool
init_folder (store_t *store, const char *name, char **why)
{
  Lwm__ControlBatch first = LWM__CONTROL_BATCH__INIT;
  recovery_t found = { 0 };
  size_t size_bytes;
  void *scratch = talloc_new (store);
  char *ignored_error;
  bool is_used = snapshot_read (scratch, store->folder, &size_bytes) != NULL;

  if (wal_exists (store->folder))
    is_used = is_used
              || wal_open (scratch, store->folder, count_batch, &found,
                           &ignored_error)
                     == NULL
              || found.group != 0;
  talloc_free (scratch);
  if (is_used)
    {
      *why = talloc_asprintf (talloc_parent (store),
                              "'%s/" IDENTITY_NAME
                              "' is missing, but the folder holds a log",
                              store->folder);
      return false;
    }
  store->incarnation = random_id ();
  store->is_new = true;
  if (wal_create (store->folder, &first) && write_identity (store, name))
    return true;
  *why = talloc_asprintf (talloc_parent (store),
                          "cannot initialize data folder '%s': disk full",
                          store->folder);
  return false;
}

static bool
read_identity (store_t *store, const char *name, char **why)
{
  void *parent = talloc_parent (store);
  char *path = talloc_asprintf (store, "%s/" IDENTITY_NAME, store->folder);
  size_t size_bytes = 0;
  uint8_t *data = file_read (store, path, &size_bytes);
  Lwm__ControlIdentity *identity = NULL;
  frame_t frame;

  if (data == NULL)
    return init_folder (store, name, why);
  if (frame_decode (data, size_bytes, &frame) == FRAME_OK)
    identity = lwm__control_identity__unpack (NULL, frame.payload_bytes,
                                              frame.payload);
  if (identity == NULL || identity->incarnation == 0)
    *why = talloc_asprintf (parent, "'%s' is damaged at offset 0", path);
  else if (strcmp (identity->name, name) != 0)
    *why = talloc_asprintf (parent, "data folder '%s' belongs to '%s'",
                            store->folder, identity->name);
  else
    store->incarnation = identity->incarnation;
  if (identity != NULL)
    lwm__control_identity__free_unpacked (identity, NULL);
  return store->incarnation != 0;
}

store_t *
store_open (void *parent, const store_options_t *options, char **why)
{
  store_t *store = talloc_zero (parent, store_t);

  store->lock_fd = -1;
  store->folder = talloc_strdup (store, options->folder);
  talloc_set_destructor (store, free_store);
  if (lock_folder (store, why) && read_identity (store, options->name, why))
    return store;
  talloc_free (store);
  return NULL;
}

uint64_t
store_incarnation (const store_t *store)
{
  return store->incarnation;
}

bool
store_is_new (const store_t *store)
{
  return store->is_new;
}

/** Restores an entry of the log. A crash between writing the snapshot and
 * rewriting the log leaves entries in the log that the snapshot covers. */
static void
restore_entry (recovery_t *recovery, const Lwm__ControlEntry *entry)
{
  uint64_t last = raft_log_last_index (raft_log (recovery->raft));

  if (entry->index <= recovery->snapshot_index)
    {
      raft_restore_truncate (recovery->raft, recovery->snapshot_index + 1);
      recovery->log_diverged = entry->index < recovery->snapshot_index
                               || entry->term != recovery->snapshot_term;
      return;
    }
  if (recovery->log_diverged)
    return;
  recovery->gap = entry->index > last + 1;
  if (!recovery->gap)
    raft_restore_entry (recovery->raft, entry);
}

static void
restore_batch (const Lwm__ControlBatch *batch, void *context)
{
  recovery_t *recovery = context;

  if (recovery->batches++ == 0)
    {
      recovery->base_index = batch->base_index;
      recovery->base_term = batch->base_term;
    }
  recovery->group = batch->group;
  raft_restore_vote (recovery->raft, batch->term, batch->vote, batch->group);
  for (size_t i = 0; i < batch->n_entries && !recovery->gap; i++)
    restore_entry (recovery, batch->entries[i]);
}

static bool
recover_snapshot (store_t *store,
                  raft_t *raft,
                  Lwm__ControlSnapshot **snapshot,
                  char **why)
{
  size_t size_bytes = 0;
  uint8_t *data = snapshot_read (store, store->folder, &size_bytes);

  if (data == NULL)
    return true;
  *snapshot = snapshot_decode (data, size_bytes);
  if (*snapshot == NULL)
    *why = talloc_asprintf (talloc_parent (store),
                            "'%s/snapshot' is damaged at offset 0",
                            store->folder);
  else
    raft_restore_snapshot (raft, (*snapshot)->index, (*snapshot)->term,
                           (*snapshot)->membership, data, size_bytes);
  talloc_free (data);
  return *snapshot != NULL;
}

bool
store_recover (store_t *store,
               raft_t *raft,
               Lwm__ControlSnapshot **snapshot,
               char **why)
{
  recovery_t recovery = { .raft = raft };

  *snapshot = NULL;
  if (!recover_snapshot (store, raft, snapshot, why))
    return false;
  if (*snapshot != NULL)
    {
      recovery.snapshot_index = (*snapshot)->index;
      recovery.snapshot_term = (*snapshot)->term;
    }
  store->wal = wal_open (store, store->folder, restore_batch, &recovery, why);
  if (store->wal == NULL)
    return false;
  if (recovery.log_diverged)
    store->rewrite_index = recovery.snapshot_index;
  if (!recovery.gap && recovery.base_index <= recovery.snapshot_index)
    return true;
  *why = talloc_asprintf (talloc_parent (store),
                          "snapshot '%s/snapshot' is missing or older than "
                          "the log, which begins after entry %ju",
                          store->folder, (uintmax_t)recovery.base_index);
  return false;
}

/**
 * Rewrites the log file so that it begins after the snapshot at @a index. When
 * the disk is full, the rewrite stays pending and precedes any other save:
 * entries appended to the old log would not be read after a restart.
 */
static bool
rewrite_log (store_t *store, raft_t *raft, uint64_t index)
{
  Lwm__ControlBatch batch = LWM__CONTROL_BATCH__INIT;
  raft_unsaved_t unsaved;

  raft_get_unsaved (raft, &unsaved);
  batch.term = unsaved.term;
  batch.vote = unsaved.vote;
  batch.group = unsaved.group;
  batch.base_index = index;
  raft_log_term (raft_log (raft), index, &batch.base_term);
  batch.entries
      = raft_log_entries_from (raft_log (raft), index + 1, &batch.n_entries);
  store->rewrite_index = index;
  if (!wal_rewrite (store->wal, &batch))
    {
      log_warn ("Cannot rewrite the log: disk full. index=%ju",
                (uintmax_t)index);
      return false;
    }
  store->rewrite_index = 0;
  raft_mark_saved (raft);
  return true;
}

store_save_t
store_save (store_t *store, raft_t *raft)
{
  Lwm__ControlBatch batch = LWM__CONTROL_BATCH__INIT;
  raft_unsaved_t unsaved;

  if (!raft_get_unsaved (raft, &unsaved))
    return STORE_UNCHANGED;
  if (store->rewrite_index > 0)
    return rewrite_log (store, raft, store->rewrite_index) ? STORE_SAVED
                                                           : STORE_DISK_FULL;
  batch.term = unsaved.term;
  batch.vote = unsaved.vote;
  batch.group = unsaved.group;
  batch.entries = unsaved.entries;
  batch.n_entries = unsaved.count;
  if (!wal_append (store->wal, &batch))
    return STORE_DISK_FULL;
  store->syncs++;
  store->bytes += lwm__control_batch__get_packed_size (&batch);
  raft_mark_saved (raft);
  return STORE_SAVED;
}

bool
store_snapshot (store_t *store,
                raft_t *raft,
                uint64_t index,
                uint64_t keep_entries,
                const uint8_t *data,
                size_t size_bytes)
{
  if (!snapshot_write (store->folder, data, size_bytes))
    return false;
  raft_compact (raft, index, keep_entries, data, size_bytes);
  rewrite_log (store, raft, index);
  return true;
}

Lwm__ControlSnapshot *
store_install (store_t *store,
               raft_t *raft,
               const raft_received_snapshot_t *received)
{
  Lwm__ControlSnapshot *snapshot
      = snapshot_decode (received->data, received->size_bytes);

  if (snapshot != NULL
      && (snapshot->index != received->index
          || snapshot->term != received->term))
    {
      lwm__control_snapshot__free_unpacked (snapshot, NULL);
      snapshot = NULL;
    }
  /* When the disk is full, the leader sends the snapshot again later. */
  if (snapshot != NULL
      && !snapshot_write (store->folder, received->data, received->size_bytes))
    {
      lwm__control_snapshot__free_unpacked (snapshot, NULL);
      snapshot = NULL;
    }
  if (snapshot == NULL)
    {
      raft_finish_install (raft, NULL, false);
      return NULL;
    }
  raft_finish_install (raft, snapshot->membership, true);
  rewrite_log (store, raft, snapshot->index);
  return snapshot;
}

uint64_t
store_syncs (const store_t *store)
{
  return store->syncs;
}

uint64_t
store_appended_bytes (const store_t *store)
{
  return store->bytes;
}

uint64_t
store_cut_bytes (const store_t *store)
{
  return wal_cut_bytes (store->wal);
}
