#include "misbehave.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

typedef struct
{
  fault_t fault;
  uint32_t count; /* requests that are still to receive the fault */
} queued_fault_t;

struct misbehave
{
  GQueue entries;
};

static const char *const kind_names[]
    = { "none",    "stall", "die",  "reset", "truncate",
        "crossed", "late",  "busy", "error" };

bool
misbehave_kind_from_name (const char *name, misbehave_kind_t *kind)
{
  for (size_t i = 0; i < G_N_ELEMENTS (kind_names); i++)
    if (strcmp (name, kind_names[i]) == 0)
      {
        *kind = (misbehave_kind_t)i;
        return true;
      }
  return false;
}

static int
free_misbehave (misbehave_t *misbehave)
{
  g_queue_clear_full (&misbehave->entries, g_free);
  return 0;
}

misbehave_t *
misbehave_new (void *parent)
{
  misbehave_t *misbehave = talloc_zero (parent, misbehave_t);

  g_queue_init (&misbehave->entries);
  talloc_set_destructor (misbehave, free_misbehave);
  return misbehave;
}

void
misbehave_add (misbehave_t *misbehave, const fault_t *fault, uint32_t count)
{
  queued_fault_t *entry;

  if (count == 0)
    return;
  entry = g_new0 (queued_fault_t, 1);
  entry->fault = *fault;
  entry->count = count;
  g_queue_push_tail (&misbehave->entries, entry);
}

fault_t
misbehave_take (misbehave_t *misbehave)
{
  queued_fault_t *entry = g_queue_peek_head (&misbehave->entries);
  fault_t fault = { .kind = MISBEHAVE_NONE };

  if (entry == NULL)
    return fault;
  fault = entry->fault;
  if (--entry->count == 0)
    g_free (g_queue_pop_head (&misbehave->entries));
  return fault;
}
