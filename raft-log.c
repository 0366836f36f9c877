#include "raft-log.h"

#include <glib.h>
#include <talloc.h>

#include "base.h"

struct raft_log
{
  uint64_t base_index;
  uint64_t base_term;
  uint64_t size_bytes;
  GPtrArray *entries; /* entries after base_index, talloc children of log */
};

static int
free_log (raft_log_t *log)
{
  g_ptr_array_free (log->entries, TRUE);
  return 0;
}

raft_log_t *
raft_log_new (void *parent)
{
  raft_log_t *log = talloc_zero (parent, raft_log_t);

  log->entries = g_ptr_array_new ();
  talloc_set_destructor (log, free_log);
  return log;
}

uint64_t
raft_log_base_index (const raft_log_t *log)
{
  return log->base_index;
}

uint64_t
raft_log_last_index (const raft_log_t *log)
{
  return log->base_index + log->entries->len;
}

uint64_t
raft_log_last_term (const raft_log_t *log)
{
  uint64_t term = 0;

  raft_log_term (log, raft_log_last_index (log), &term);
  return term;
}

uint64_t
raft_log_size_bytes (const raft_log_t *log)
{
  return log->size_bytes;
}

Lwm__ControlEntry *
raft_log_get (const raft_log_t *log, uint64_t index)
{
  if (index <= log->base_index || index > raft_log_last_index (log))
    return NULL;
  return g_ptr_array_index (log->entries, index - log->base_index - 1);
}

bool
raft_log_term (const raft_log_t *log, uint64_t index, uint64_t *term)
{
  const Lwm__ControlEntry *entry = raft_log_get (log, index);

  if (index != log->base_index && entry == NULL)
    return false;
  *term = entry != NULL ? entry->term : log->base_term;
  return true;
}

void
raft_log_append (raft_log_t *log, const Lwm__ControlEntry *entry)
{
  Lwm__ControlEntry *copy = talloc (log, Lwm__ControlEntry);

  if (entry->index != raft_log_last_index (log) + 1)
    die ("log entry %ju does not follow %ju", (uintmax_t)entry->index,
         (uintmax_t)raft_log_last_index (log));
  *copy = *entry;
  copy->base.unknown_fields = NULL;
  copy->base.n_unknown_fields = 0;
  copy->data.data = talloc_memdup (copy, entry->data.data, entry->data.len);
  log->size_bytes += copy->data.len;
  g_ptr_array_add (log->entries, copy);
}

static void
remove_entries (raft_log_t *log, uint64_t index, uint64_t count)
{
  guint first = (guint)(index - log->base_index - 1);

  if (count == 0)
    return;
  for (guint i = first; i < first + count; i++)
    {
      Lwm__ControlEntry *entry = g_ptr_array_index (log->entries, i);

      log->size_bytes -= entry->data.len;
      talloc_free (entry);
    }
  g_ptr_array_remove_range (log->entries, first, (guint)count);
}

void
raft_log_truncate (raft_log_t *log, uint64_t index)
{
  if (index > log->base_index && index <= raft_log_last_index (log))
    remove_entries (log, index, raft_log_last_index (log) - index + 1);
}

void
raft_log_compact (raft_log_t *log, uint64_t index)
{
  uint64_t term;

  if (index <= log->base_index || !raft_log_term (log, index, &term))
    return;
  remove_entries (log, log->base_index + 1, index - log->base_index);
  log->base_index = index;
  log->base_term = term;
}

void
raft_log_reset (raft_log_t *log, uint64_t index, uint64_t term)
{
  remove_entries (log, log->base_index + 1, log->entries->len);
  log->base_index = index;
  log->base_term = term;
}

Lwm__ControlEntry **
raft_log_entries_from (const raft_log_t *log, uint64_t index, size_t *count)
{
  if (index <= log->base_index || index > raft_log_last_index (log))
    {
      *count = 0;
      return NULL;
    }
  *count = raft_log_last_index (log) - index + 1;
  return (Lwm__ControlEntry **)&log->entries
      ->pdata[index - log->base_index - 1];
}
