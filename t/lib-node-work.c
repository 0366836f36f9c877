#include "lib-node-work.h"

#include <stdio.h>
#include <string.h>

#define PAUSED_EVENTS 3
#define PAUSED_BYTES  20

/** Reads what follows the numbers of a path. */
static void
parse_manner (const char *path, node_work_t *work)
{
  const char *at = strstr (path, "/break/");

  work->has_no_length = g_str_has_suffix (path, "/close");
  work->is_alone = g_str_has_suffix (path, "/alone");
  if (at != NULL)
    sscanf (at, "/break/%u", &work->break_after);
  at = strstr (path, "/silent/");
  if (at != NULL)
    sscanf (at, "/silent/%u/%u", &work->silence_after, &work->silence_ms);
}

node_work_t
node_work_parse (const char *path)
{
  node_work_t work = { 0 };
  long long until_ms;

  parse_manner (path, &work);
  if (sscanf (path, "/safe/%u", &work.delay_ms) == 1
      || sscanf (path, "/unsafe/%u", &work.delay_ms) == 1)
    return work;
  work.is_stream = true;
  if (sscanf (path, "/%*[a-z]/%u/%u/%u", &work.events, &work.event_bytes,
              &work.delay_ms)
      == 3)
    return work;
  work.events = PAUSED_EVENTS;
  work.event_bytes = PAUSED_BYTES;
  if (sscanf (path, "/paused/%lld", &until_ms) == 1)
    work.busy_until_ms = until_ms;
  return work;
}

bool
node_work_is_repeatable (const char *path)
{
  return g_str_has_prefix (path, "/safe/")
         || g_str_has_prefix (path, "/resumed/")
         || g_str_has_prefix (path, "/prompt/");
}

void
node_work_append_event (GString *text, const node_work_t *work, uint32_t number)
{
  g_string_append_printf (text, "id: %u\ndata: ", number);
  for (uint32_t i = 0; i < work->event_bytes; i++)
    g_string_append_c (text, (char)('a' + (number + i) % 26));
  g_string_append (text, "\n\n");
}
