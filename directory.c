#include "directory.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "pause-detector.h"

/** How long one that is gone is remembered, so that late words of it are
 * known to be late. */
#define REMEMBER_MS 120000
#define MAX_ENTRIES 20000

struct directory
{
  GHashTable *by_key; /* key -> directory_entry_t, children of directory */
  GPtrArray *entries;
  uint64_t version;
  pause_detector_t still;
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

static uint64_t
key_of (const directory_statement_t *statement)
{
  return XXH64 (statement->id, strlen (statement->id), statement->born_ms);
}

static directory_entry_t *
find (const directory_t *directory, uint64_t key)
{
  return g_hash_table_lookup (directory->by_key, &key);
}

static void
take_over (directory_entry_t *entry, const directory_statement_t *statement)
{
  directory_statement_t *said = &entry->said;

  talloc_free_children (entry);
  *said = *statement;
  said->id = talloc_strdup (entry, statement->id);
  said->address = talloc_strdup (entry, statement->address);
  said->zone = talloc_strdup (entry, statement->zone);
  said->service = talloc_strdup (entry, statement->service);
}

static void
change (directory_t *directory, directory_entry_t *entry)
{
  entry->version = ++directory->version;
}

static void
add (directory_t *directory,
     const directory_statement_t *statement,
     uint64_t now_ms)
{
  directory_entry_t *entry = talloc_zero (directory, directory_entry_t);

  take_over (entry, statement);
  entry->key = key_of (statement);
  entry->heard_ms = now_ms;
  g_hash_table_insert (directory->by_key, &entry->key, entry);
  g_ptr_array_add (directory->entries, entry);
  change (directory, entry);
}

/** One that leaves or is gone stays so, whatever a late word says. */
static directory_state_t
next_state (directory_state_t from, directory_state_t to)
{
  if (from == DIRECTORY_GONE)
    return DIRECTORY_GONE;
  if (from == DIRECTORY_LEAVING && to == DIRECTORY_READY)
    return DIRECTORY_LEAVING;
  return to;
}

static bool
differs (const directory_statement_t *a, const directory_statement_t *b)
{
  return a->state != b->state || a->slots != b->slots
         || (a->cold_ms > 0) != (b->cold_ms > 0)
         || strcmp (a->address, b->address) != 0
         || strcmp (a->zone, b->zone) != 0
         || strcmp (a->service, b->service) != 0;
}

directory_result_t
directory_put (directory_t *directory,
               const directory_statement_t *statement,
               uint64_t now_ms)
{
  directory_entry_t *entry = find (directory, key_of (statement));
  directory_statement_t next = *statement;
  bool is_change;

  if (entry == NULL)
    {
      if (directory->entries->len >= MAX_ENTRIES)
        return DIRECTORY_STALE;
      add (directory, statement, now_ms);
      return DIRECTORY_CHANGED;
    }
  if (statement->sequence < entry->said.sequence)
    return DIRECTORY_STALE;
  next.state = next_state (entry->said.state, statement->state);
  is_change = differs (&entry->said, &next);
  take_over (entry, &next);
  entry->heard_ms = now_ms;
  if (!is_change)
    return DIRECTORY_SAME;
  change (directory, entry);
  return DIRECTORY_CHANGED;
}

bool
directory_leave (directory_t *directory,
                 const char *id,
                 uint64_t born_ms,
                 uint64_t now_ms)
{
  directory_entry_t *last = NULL;

  for (guint i = 0; i < directory->entries->len; i++)
    {
      directory_entry_t *entry = g_ptr_array_index (directory->entries, i);

      if (strcmp (entry->said.id, id) == 0
          && (born_ms == 0 || entry->said.born_ms == born_ms)
          && (last == NULL || entry->said.born_ms > last->said.born_ms))
        last = entry;
    }
  if (last == NULL)
    return false;
  last->heard_ms = now_ms;
  if (last->said.state == DIRECTORY_GONE)
    return true;
  last->said.state = DIRECTORY_GONE;
  last->said.sequence++;
  change (directory, last);
  return true;
}

static void
forget (directory_t *directory, guint index)
{
  directory_entry_t *entry = g_ptr_array_index (directory->entries, index);

  g_hash_table_remove (directory->by_key, &entry->key);
  g_ptr_array_remove_index_fast (directory->entries, index);
  talloc_free (entry);
}

void
directory_expire (directory_t *directory, uint32_t silent_ms, uint64_t now_ms)
{
  pause_detector_update (&directory->still, DIRECTORY_EXPIRE_EVERY_MS, now_ms);
  for (guint i = directory->entries->len; i-- > 0;)
    {
      directory_entry_t *entry = g_ptr_array_index (directory->entries, i);
      uint64_t since_ms
          = pause_detector_silent_since_ms (&directory->still, entry->heard_ms);

      if (entry->heard_ms + REMEMBER_MS < now_ms)
        forget (directory, i);
      else if (since_ms + silent_ms < now_ms
               && entry->said.state == DIRECTORY_READY)
        {
          entry->said.state = DIRECTORY_SILENT;
          change (directory, entry);
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
  return find (directory, key);
}

bool
directory_is_replaced (const directory_t *directory,
                       const directory_entry_t *entry)
{
  for (guint i = 0; i < directory->entries->len; i++)
    {
      const directory_entry_t *other
          = g_ptr_array_index (directory->entries, i);

      if (other->said.born_ms > entry->said.born_ms
          && (strcmp (other->said.address, entry->said.address) == 0
              || strcmp (other->said.id, entry->said.id) == 0))
        return true;
    }
  return false;
}
