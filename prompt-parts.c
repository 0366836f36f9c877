#include "prompt-parts.h"

#include <sys/param.h>
#include <talloc.h>

/** Parts that earlier versions read. */
#define MAX_FIRST_PARTS 8

size_t
prompt_parts_first_count (const prompt_parts_t *parts)
{
  return MIN (parts->count, MAX_FIRST_PARTS);
}

prompt_parts_t
prompt_parts_from_message (const uint64_t *first,
                           size_t first_count,
                           const uint64_t *all,
                           size_t all_count)
{
  prompt_parts_t parts
      = { .ids = all_count > 0 ? all : first,
          .count = (uint32_t)(all_count > 0 ? all_count : first_count) };

  return parts;
}

prompt_parts_t
prompt_parts_copy (void *parent, const prompt_parts_t *parts)
{
  prompt_parts_t copy = *parts;

  copy.ids = parts->count > 0 ? talloc_memdup (
                 parent, parts->ids, parts->count * sizeof *parts->ids)
                              : NULL;
  return copy;
}
