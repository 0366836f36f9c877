#include "weights.h"

#include <string.h>
#include <talloc.h>

static const char *
text_or_empty (const char *text)
{
  return text != NULL ? text : "";
}

weights_t *
weights_copy (void *parent, const weights_t *list, size_t count)
{
  weights_t *copy = talloc_zero_array (parent, weights_t, count + 1);

  for (size_t i = 0; i < count; i++)
    {
      copy[i].model = talloc_strdup (copy, text_or_empty (list[i].model));
      copy[i].adapter = talloc_strdup (copy, text_or_empty (list[i].adapter));
      copy[i].version = talloc_strdup (copy, text_or_empty (list[i].version));
    }
  return copy;
}

static bool
is_any_or_equal (const char *actual, const char *wanted)
{
  return wanted == NULL || wanted[0] == '\0'
         || strcmp (text_or_empty (actual), wanted) == 0;
}

bool
weights_match (const weights_t *weights,
               const char *model,
               const char *adapter,
               const char *version)
{
  if (strcmp (text_or_empty (weights->adapter), text_or_empty (adapter)) != 0)
    return false;
  return is_any_or_equal (weights->model, model)
         && is_any_or_equal (weights->version, version);
}

const weights_t *
weights_find (const weights_t *list,
              size_t count,
              const char *model,
              const char *adapter,
              const char *version)
{
  for (size_t i = 0; i < count; i++)
    if (weights_match (&list[i], model, adapter, version))
      return &list[i];
  return NULL;
}
