#include "control-joiners.h"

#include <string.h>
#include <talloc.h>

struct control_joiners
{
  size_t count;
  control_joiner_t *joiners[CONTROL_JOINERS_MAX];
};

control_joiners_t *
control_joiners_new (void *parent)
{
  return talloc_zero (parent, control_joiners_t);
}

size_t
control_joiners_count (const control_joiners_t *joiners)
{
  return joiners->count;
}

const control_joiner_t *
control_joiners_get (const control_joiners_t *joiners, size_t index)
{
  return joiners->joiners[index];
}

static bool
find_index (const control_joiners_t *joiners, const char *name, size_t *index)
{
  for (*index = 0; *index < joiners->count; (*index)++)
    if (strcmp (joiners->joiners[*index]->name, name) == 0)
      return true;
  return false;
}

const control_joiner_t *
control_joiners_find (const control_joiners_t *joiners, const char *name)
{
  size_t index;

  return find_index (joiners, name, &index) ? joiners->joiners[index] : NULL;
}

void
control_joiners_remove (control_joiners_t *joiners, size_t index)
{
  talloc_free (joiners->joiners[index]);
  joiners->joiners[index] = joiners->joiners[--joiners->count];
}

static void
remove_oldest (control_joiners_t *joiners)
{
  size_t oldest = 0;

  for (size_t i = 1; i < joiners->count; i++)
    if (joiners->joiners[i]->heard_ms < joiners->joiners[oldest]->heard_ms)
      oldest = i;
  control_joiners_remove (joiners, oldest);
}

bool
control_joiners_record (control_joiners_t *joiners,
                        const control_joiner_t *hello)
{
  control_joiner_t *joiner = talloc (joiners, control_joiner_t);
  bool is_new = true;
  size_t index;

  *joiner = *hello;
  joiner->name = talloc_strdup (joiner, hello->name);
  joiner->address = talloc_strdup (joiner, hello->address);
  joiner->zone = talloc_strdup (joiner, hello->zone);
  if (find_index (joiners, hello->name, &index))
    {
      is_new = joiners->joiners[index]->incarnation != hello->incarnation;
      control_joiners_remove (joiners, index);
    }
  if (joiners->count == CONTROL_JOINERS_MAX)
    remove_oldest (joiners);
  joiners->joiners[joiners->count++] = joiner;
  return is_new;
}
