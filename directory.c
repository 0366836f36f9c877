#include "directory.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "pause-detector.h"

/** Time without a statement after which an entry is removed. Until then, the
 * entry of a gone upstream overrides delayed statements about it. */
#define REMOVE_AFTER_MS 120000
#define MAX_ENTRIES     20000

struct directory
{
  GHashTable *by_key; /* key -> directory_entry_t, children of directory */
  GPtrArray *entries;
  uint64_t version;
  size_t text_bytes; /* of all entries */
  pause_detector_t pauses;
};

static int
free_directory (directory_t *directory)
{
  g_hash_table_destroy (directory->by_key);
  g_ptr_array_free (directory->entries, TRUE);
  return 0;
}

directory_t *
directory_new (void *parent)
{
  directory_t *directory = talloc_zero (parent, directory_t);

  directory->by_key = g_hash_table_new (g_int64_hash, g_int64_equal);
  directory->entries = g_ptr_array_new ();
  talloc_set_destructor (directory, free_directory);
  return directory;
}

/** Returns the hash of id and start time that identifies an incarnation. */
static uint64_t
incarnation_key (const directory_statement_t *statement)
{
  return XXH64 (statement->id, strlen (statement->id), statement->born_ms);
}

static directory_entry_t *
find_entry (const directory_t *directory, uint64_t key)
{
  return g_hash_table_lookup (directory->by_key, &key);
}

static size_t
count_text_bytes (const directory_statement_t *statement)
{
  return strlen (statement->id) + strlen (statement->address)
         + strlen (statement->zone) + strlen (statement->service);
}

static bool
is_too_long (const directory_statement_t *statement)
{
  return strlen (statement->id) > DIRECTORY_MAX_TEXT_BYTES
         || strlen (statement->address) > DIRECTORY_MAX_TEXT_BYTES
         || strlen (statement->zone) > DIRECTORY_MAX_TEXT_BYTES
         || strlen (statement->service) > DIRECTORY_MAX_TEXT_BYTES;
}

/** Returns whether the texts of a statement have room.
 * @param entry the one whose texts it replaces, or NULL */
static bool
has_room (const directory_t *directory,
          const directory_entry_t *entry,
          const directory_statement_t *statement)
{
  size_t others
      = directory->text_bytes - (entry != NULL ? entry->text_bytes : 0);

  return others + count_text_bytes (statement) <= DIRECTORY_MAX_BYTES;
}

static void
copy_statement (directory_t *directory,
                directory_entry_t *entry,
                const directory_statement_t *statement)
{
  directory_statement_t *said = &entry->said;

  talloc_free_children (entry);
  directory->text_bytes -= entry->text_bytes;
  entry->text_bytes = count_text_bytes (statement);
  directory->text_bytes += entry->text_bytes;
  *said = *statement;
  said->id = talloc_strdup (entry, statement->id);
  said->address = talloc_strdup (entry, statement->address);
  said->zone = talloc_strdup (entry, statement->zone);
  said->service = talloc_strdup (entry, statement->service);
}

static void
mark_changed (directory_t *directory, directory_entry_t *entry)
{
  entry->version = ++directory->version;
}

/** Adds an entry, unless the directory is full. */
static bool
add_entry (directory_t *directory,
           const directory_statement_t *statement,
           uint64_t now_ms)
{
  directory_entry_t *entry;

  if (directory->entries->len >= MAX_ENTRIES
      || !has_room (directory, NULL, statement))
    return false;
  entry = talloc_zero (directory, directory_entry_t);
  copy_statement (directory, entry, statement);
  entry->key = incarnation_key (statement);
  entry->heard_ms = now_ms;
  g_hash_table_insert (directory->by_key, &entry->key, entry);
  g_ptr_array_add (directory->entries, entry);
  mark_changed (directory, entry);
  return true;
}

/** Returns the state after a statement. A delayed statement must not undo
 * DIRECTORY_LEAVING or DIRECTORY_GONE. */
static directory_state_t
next_state (directory_state_t from, directory_state_t to)
{
  if (from == DIRECTORY_GONE)
    return DIRECTORY_GONE;
  if (from == DIRECTORY_LEAVING && to == DIRECTORY_READY)
    return DIRECTORY_LEAVING;
  return to;
}

/** Returns whether two statements differ in a field of which watchers must be
 * informed. Of cold_ms it compares only whether the time is 0, because the
 * remaining time changes with every announcement. */
static bool
is_visible_change (const directory_statement_t *a,
                   const directory_statement_t *b)
{
  return a->state != b->state || a->slots != b->slots
         || (a->cold_ms > 0) != (b->cold_ms > 0)
         || strcmp (a->address, b->address) != 0
         || strcmp (a->zone, b->zone) != 0
         || strcmp (a->service, b->service) != 0;
}

/** Returns whether a statement names another address or service than the
 * incarnation that announces itself. An upstream changes neither of them while
 * it runs, so the statement is from another writer. */
static bool
is_contradiction (const directory_statement_t *said,
                  const directory_statement_t *statement)
{
  return (said->state == DIRECTORY_READY || said->state == DIRECTORY_LEAVING)
         && (strcmp (said->address, statement->address) != 0
             || strcmp (said->service, statement->service) != 0);
}

/** Marks an entry as gone; its address and service remain as announced. */
static directory_result_t
put_gone (directory_t *directory,
          directory_entry_t *entry,
          uint64_t sequence,
          uint64_t now_ms)
{
  entry->heard_ms = now_ms;
  entry->said.sequence = MAX (entry->said.sequence, sequence);
  if (entry->said.state == DIRECTORY_GONE)
    return DIRECTORY_SAME;
  entry->said.state = DIRECTORY_GONE;
  mark_changed (directory, entry);
  return DIRECTORY_CHANGED;
}

directory_result_t
directory_put (directory_t *directory,
               const directory_statement_t *statement,
               uint64_t now_ms)
{
  directory_entry_t *entry
      = find_entry (directory, incarnation_key (statement));
  directory_statement_t next = *statement;
  bool is_changed;

  if (is_too_long (statement))
    return DIRECTORY_TOO_LONG;
  if (entry == NULL)
    return add_entry (directory, statement, now_ms) ? DIRECTORY_CHANGED
                                                    : DIRECTORY_FULL;
  if (statement->state == DIRECTORY_GONE)
    return put_gone (directory, entry, statement->sequence, now_ms);
  if (statement->sequence < entry->said.sequence
      || is_contradiction (&entry->said, statement))
    return DIRECTORY_STALE;
  if (!has_room (directory, entry, statement))
    return DIRECTORY_FULL;
  next.state = next_state (entry->said.state, statement->state);
  is_changed = is_visible_change (&entry->said, &next);
  copy_statement (directory, entry, &next);
  entry->heard_ms = now_ms;
  if (!is_changed)
    return DIRECTORY_SAME;
  mark_changed (directory, entry);
  return DIRECTORY_CHANGED;
}

/** Returns the entry of the incarnation, of the last one for @a born_ms 0, or
 * NULL. */
static directory_entry_t *
find_incarnation (const directory_t *directory,
                  const char *id,
                  uint64_t born_ms)
{
  directory_entry_t *latest = NULL;

  for (guint i = 0; i < directory->entries->len; i++)
    {
      directory_entry_t *entry = g_ptr_array_index (directory->entries, i);

      if (strcmp (entry->said.id, id) == 0
          && (born_ms == 0 || entry->said.born_ms == born_ms)
          && (latest == NULL || entry->said.born_ms > latest->said.born_ms))
        latest = entry;
    }
  return latest;
}

bool
directory_leave (directory_t *directory,
                 const char *id,
                 uint64_t born_ms,
                 uint64_t now_ms)
{
  directory_entry_t *entry = find_incarnation (directory, id, born_ms);
  directory_statement_t tombstone = { .id = id,
                                      .address = "",
                                      .zone = "",
                                      .service = "",
                                      .born_ms = born_ms,
                                      .state = DIRECTORY_GONE };

  if (entry != NULL)
    put_gone (directory, entry, entry->said.sequence, now_ms);
  else if (born_ms == 0 || is_too_long (&tombstone)
           || !add_entry (directory, &tombstone, now_ms))
    return false;
  return true;
}

static void
remove_entry (directory_t *directory, guint index)
{
  directory_entry_t *entry = g_ptr_array_index (directory->entries, index);

  directory->text_bytes -= entry->text_bytes;
  g_hash_table_remove (directory->by_key, &entry->key);
  g_ptr_array_remove_index_fast (directory->entries, index);
  talloc_free (entry);
}

void
directory_expire (directory_t *directory, uint32_t silent_ms, uint64_t now_ms)
{
  pause_detector_update (&directory->pauses, DIRECTORY_EXPIRE_EVERY_MS, now_ms);
  for (guint i = directory->entries->len; i-- > 0;)
    {
      directory_entry_t *entry = g_ptr_array_index (directory->entries, i);
      uint64_t since_ms = pause_detector_silent_since_ms (&directory->pauses,
                                                          entry->heard_ms);

      if (entry->heard_ms + REMOVE_AFTER_MS < now_ms)
        remove_entry (directory, i);
      else if (since_ms + silent_ms < now_ms
               && entry->said.state == DIRECTORY_READY)
        {
          entry->said.state = DIRECTORY_SILENT;
          mark_changed (directory, entry);
        }
    }
}

uint64_t
directory_version (const directory_t *directory)
{
  return directory->version;
}

const directory_entry_t *const *
directory_entries (const directory_t *directory, size_t *count)
{
  *count = directory->entries->len;
  return (const directory_entry_t *const *)directory->entries->pdata;
}

const directory_entry_t *
directory_find (const directory_t *directory, uint64_t key)
{
  return find_entry (directory, key);
}

static bool
is_known_service (const directory_services_t *services, const char *service)
{
  return services->is_known == NULL
         || services->is_known (service, services->context);
}

/** A tombstone names its incarnation by its id. It has no service. */
static bool
is_tombstone (const directory_statement_t *said)
{
  return said->state == DIRECTORY_GONE && *said->service == '\0';
}

static bool
has_same_place (const directory_statement_t *one,
                const directory_statement_t *other)
{
  return strcmp (one->address, other->address) == 0
         || strcmp (one->id, other->id) == 0;
}

/** Returns whether @a other takes the place of @a said. */
static bool
is_successor (const directory_statement_t *other,
              const directory_statement_t *said,
              const directory_services_t *services)
{
  if (other->born_ms <= said->born_ms || !has_same_place (other, said))
    return false;
  if (other->state == DIRECTORY_SILENT && said->state == DIRECTORY_READY)
    return false;
  return is_tombstone (other) || is_known_service (services, other->service);
}

bool
directory_is_replaced (const directory_t *directory,
                       const directory_entry_t *entry,
                       const directory_services_t *services)
{
  for (guint i = 0; i < directory->entries->len; i++)
    {
      const directory_entry_t *other
          = g_ptr_array_index (directory->entries, i);

      if (is_successor (&other->said, &entry->said, services))
        return true;
    }
  return false;
}
