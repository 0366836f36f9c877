#include "control-directory.h"

#include <errno.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "control-internal.h"
#include "file.h"
#include "frame.h"
#define LOG_PART "directory"
#include "logging.h"

/** Missed announcements after which an upstream counts as silent. */
#define MAX_MISSED_ANNOUNCEMENTS 4
/** Time between announcements when the options do not set it. */
#define DEFAULT_ANNOUNCE_MS 1200

/** File in the data folder that keeps the directory across a restart. Ready
 * upstreams in it are only a hint: they are silent until they announce
 * themselves. Upstreams that have left stay gone. */
#define FILE_NAME            "directory"
#define MIN_SAVE_INTERVAL_MS 500

struct control_directory
{
  control_server_t *server;
  directory_t *directory;
  uint64_t epoch;
  uint64_t expire_due_ms;
  uint64_t save_due_ms;
  uint64_t saved_version;
};

static Lwm__ControlUpstream *copy_entry (const directory_entry_t *entry,
                                         void *parent);

/** Loads the directory that was saved before a restart. Its ready upstreams are
 * marked as silent until they announce themselves. */
static void
load_saved_directory (control_directory_t *directory)
{
  void *scratch = talloc_new (directory);
  char *path = talloc_asprintf (scratch, "%s/%s",
                                directory->server->options.folder, FILE_NAME);
  size_t size_bytes = 0;
  uint8_t *data = file_read (scratch, path, &size_bytes);
  Lwm__ControlDirectoryFile *file = NULL;
  frame_t frame;

  if (data != NULL && frame_decode (data, size_bytes, &frame) == FRAME_OK)
    file = lwm__control_directory_file__unpack (NULL, frame.payload_bytes,
                                                frame.payload);
  if (file != NULL)
    {
      for (size_t i = 0; i < file->n_upstreams; i++)
        {
          directory_statement_t statement
              = control_directory_statement (file->upstreams[i]);

          if (statement.state == DIRECTORY_READY)
            statement.state = DIRECTORY_SILENT;
          directory_put (directory->directory, &statement, clock_mono_ms ());
        }
      log_info ("Recovered the directory. upstreams=%zu", file->n_upstreams);
      lwm__control_directory_file__free_unpacked (file, NULL);
    }
  talloc_free (scratch);
}

/** Packs all entries as the content of the file; the result is a child of @a
 * scratch. */
static uint8_t *
pack_file (const control_directory_t *directory,
           void *scratch,
           size_t *size_bytes)
{
  Lwm__ControlDirectoryFile file = LWM__CONTROL_DIRECTORY_FILE__INIT;
  const directory_entry_t *const *entries;
  size_t count;
  uint8_t *data;

  entries = directory_entries (directory->directory, &count);
  file.upstreams
      = talloc_array (scratch, Lwm__ControlUpstream *, (unsigned)count + 1);
  for (size_t i = 0; i < count; i++)
    file.upstreams[file.n_upstreams++] = copy_entry (entries[i], scratch);
  *size_bytes = lwm__control_directory_file__get_packed_size (&file);
  data = talloc_size (scratch, *size_bytes + 1);
  lwm__control_directory_file__pack (&file, data);
  return frame_encode (scratch, directory_version (directory->directory), data,
                       *size_bytes, size_bytes);
}

/** Saves the directory. Returns false, after a log line, when that fails. */
static bool
save_directory_file (control_directory_t *directory)
{
  void *scratch = talloc_new (directory);
  size_t size_bytes;
  uint8_t *data = pack_file (directory, scratch, &size_bytes);
  bool is_saved = file_try_replace (directory->server->options.folder,
                                    FILE_NAME, data, size_bytes);

  if (is_saved)
    directory->saved_version = directory_version (directory->directory);
  else
    log_warn ("Cannot save the directory to disk. error=%s", strerror (errno));
  directory->save_due_ms = clock_mono_ms () + MIN_SAVE_INTERVAL_MS;
  talloc_free (scratch);
  return is_saved;
}

control_directory_t *
control_directory_new (control_server_t *server)
{
  control_directory_t *directory = talloc_zero (server, control_directory_t);

  directory->server = server;
  directory->directory = directory_new (directory);
  directory->epoch = random_id ();
  load_saved_directory (directory);
  return directory;
}

uint64_t
control_directory_epoch (const control_directory_t *directory)
{
  return directory->epoch;
}

uint64_t
control_directory_version (const control_directory_t *directory)
{
  return directory_version (directory->directory);
}

directory_result_t
control_directory_put (control_directory_t *directory,
                       const directory_statement_t *statement)
{
  directory_result_t result
      = directory_put (directory->directory, statement, clock_mono_ms ());

  if (result == DIRECTORY_STALE)
    log_info ("Ignored a late announcement. upstream=%s sequence=%ju",
              statement->id, (uintmax_t)statement->sequence);
  if (result == DIRECTORY_TOO_LONG || result == DIRECTORY_FULL)
    metric_add (directory->server->counters.refused_announcements, 1);
  if (result != DIRECTORY_CHANGED)
    return result;
  log_info ("An upstream announced a change. upstream=%s service=%s "
            "address=%s state=%d sequence=%ju",
            statement->id, statement->service, statement->address,
            (int)statement->state, (uintmax_t)statement->sequence);
  /* The upstream stops soon after the acknowledgement, and this instance may
   * stop before that. */
  control_watch_push_directory (directory->server->watch,
                                statement->state != DIRECTORY_READY);
  return result;
}

error_kind_t
control_directory_leave (control_directory_t *directory,
                         const char *id,
                         uint64_t born_ms)
{
  uint64_t version = control_directory_version (directory);
  bool is_recorded
      = directory_leave (directory->directory, id, born_ms, clock_mono_ms ());

  log_info ("An upstream announced its shutdown. upstream=%s born_ms=%ju "
            "recorded=%d",
            id, (uintmax_t)born_ms, is_recorded);
  if (!is_recorded)
    return ERROR_NOT_FOUND;
  if (control_directory_version (directory) != version)
    control_watch_push_directory (directory->server->watch, true);
  if (directory->saved_version == control_directory_version (directory)
      || save_directory_file (directory))
    return ERROR_NONE;
  return ERROR_INTERNAL;
}

/** Converts an entry to a message, whose strings point into the entry. */
static Lwm__ControlUpstream *
copy_entry (const directory_entry_t *entry, void *parent)
{
  Lwm__ControlUpstream *upstream = talloc (parent, Lwm__ControlUpstream);

  lwm__control_upstream__init (upstream);
  upstream->id = (char *)entry->said.id;
  upstream->address = (char *)entry->said.address;
  upstream->zone = (char *)entry->said.zone;
  upstream->service = (char *)entry->said.service;
  upstream->born_ms = entry->said.born_ms;
  upstream->sequence = entry->said.sequence;
  upstream->state = (Lwm__ControlUpstreamState)entry->said.state;
  upstream->slots = entry->said.slots;
  upstream->cold_ms = entry->said.cold_ms;
  return upstream;
}

/** Adds the addresses of the control group's members. */
static void
add_replicas (const control_directory_t *directory, Lwm__ControlDirectory *part)
{
  const Lwm__ControlMembership *members
      = raft_membership (directory->server->raft);

  part->replicas = talloc_array (part, char *, members->n_members + 1);
  part->n_replicas = members->n_members;
  for (size_t i = 0; i < members->n_members; i++)
    part->replicas[i]
        = talloc_strdup (part->replicas, members->members[i]->address);
}

Lwm__ControlDirectory *
control_directory_since (const control_directory_t *directory,
                         uint64_t version,
                         void *parent)
{
  Lwm__ControlDirectory *part = talloc (parent, Lwm__ControlDirectory);
  size_t count;
  const directory_entry_t *const *entries
      = directory_entries (directory->directory, &count);

  lwm__control_directory__init (part);
  part->epoch = directory->epoch;
  part->since = version;
  part->version = control_directory_version (directory);
  part->upstreams
      = talloc_array (part, Lwm__ControlUpstream *, (unsigned)count + 1);
  for (size_t i = 0; i < count; i++)
    if (entries[i]->version > version)
      part->upstreams[part->n_upstreams++]
          = copy_entry (entries[i], part->upstreams);
  add_replicas (directory, part);
  return part;
}

void
control_directory_tick (control_directory_t *directory, uint64_t now_ms)
{
  uint64_t version = control_directory_version (directory);
  uint32_t announce_ms = directory->server->options.announce_ms;

  if (version != directory->saved_version && now_ms >= directory->save_due_ms)
    save_directory_file (directory);
  if (now_ms < directory->expire_due_ms)
    return;
  directory->expire_due_ms = now_ms + DIRECTORY_EXPIRE_EVERY_MS;
  if (announce_ms == 0)
    announce_ms = DEFAULT_ANNOUNCE_MS;
  directory_expire (directory->directory,
                    MAX_MISSED_ANNOUNCEMENTS * announce_ms, now_ms);
  if (control_directory_version (directory) == version)
    return;
  log_info ("An upstream missed its announcements. version=%ju",
            (uintmax_t)control_directory_version (directory));
  control_watch_push_directory (directory->server->watch, false);
}

directory_statement_t
control_directory_statement (const Lwm__ControlUpstream *upstream)
{
  directory_statement_t statement
      = { .id = upstream->id,
          .address = upstream->address,
          .zone = upstream->zone,
          .service = upstream->service,
          .born_ms = upstream->born_ms,
          .sequence = upstream->sequence,
          .state = (directory_state_t)upstream->state,
          .slots = upstream->slots,
          .cold_ms = upstream->cold_ms };

  return statement;
}
