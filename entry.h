/**
 * @file entry.h
 * Assembles an entry instance from its modules and runs it.
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "settings.pb-c.h"

typedef struct entry entry_t;

typedef struct
{
  const Lwm__EntrySettings *settings; /**< must outlive the entry */
} entry_options_t;

/**
 * Creates an entry instance and loads its configuration.
 * @return freed with @a parent (talloc); NULL, after a line on stderr for each
 *         mistake, when the settings or the configuration cannot be used or the
 *         address cannot be bound
 */
entry_t *entry_new (void *parent, const entry_options_t *options);

/** Serves requests until a graceful shutdown. Returns the exit code. */
int entry_run (entry_t *entry);

#endif
