#include "fault.h"

#ifdef LWM_FAULTS

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Counts a pass through a fault point. Returns the error's name, or "" for
 * none, when LWM_FAULT names this point and pass; NULL otherwise. */
static const char *
match_fault (const char *prefix, const char *step, unsigned long *passes)
{
  const char *wanted = getenv ("LWM_FAULT");
  char name[64];
  char *rest;
  size_t length;

  snprintf (name, sizeof name, "%s-%s:", prefix, step);
  length = strlen (name);
  if (wanted == NULL || strncmp (wanted, name, length) != 0)
    return NULL;
  if (strtoul (wanted + length, &rest, 10) != ++*passes)
    return NULL;
  return *rest == ':' ? rest + 1 : "";
}

void
fault_point (const char *prefix, const char *step)
{
  static unsigned long passes;
  const char *error = match_fault (prefix, step, &passes);

  if (error != NULL && *error == '\0')
    raise (SIGKILL);
}

int
fault_error (const char *prefix, const char *step)
{
  static unsigned long passes;
  const char *error = match_fault (prefix, step, &passes);

  if (error == NULL || *error == '\0')
    return 0;
  return strcmp (error, "ENOSPC") == 0 ? ENOSPC : EIO;
}

#endif
