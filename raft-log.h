/**
 * @file raft-log.h
 * The in-memory entries of the replicated log since the last compaction.
 *
 * Indexes start at 1. The base is the last entry that compaction removed; the
 * log still knows its index and term.
 */
#ifndef RAFT_LOG_H
#define RAFT_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"

typedef struct raft_log raft_log_t;

/** Returns an empty log with base 0, freed with @a parent (talloc). */
raft_log_t *raft_log_new (void *parent);

/** Returns the index of the base. */
uint64_t raft_log_base_index (const raft_log_t *log);

/** Returns the index of the last entry, or of the base when there is none. */
uint64_t raft_log_last_index (const raft_log_t *log);

/** Returns the term of the last entry, or of the base when there is none. */
uint64_t raft_log_last_term (const raft_log_t *log);

/** Returns the total size of the entries' data. */
uint64_t raft_log_size_bytes (const raft_log_t *log);

/** Sets @a term to that of the entry or base at @a index; returns false when
 * the log does not have it. */
bool raft_log_term (const raft_log_t *log, uint64_t index, uint64_t *term);

/** Returns the entry at @a index, owned by the log, or NULL. */
Lwm__ControlEntry *raft_log_get (const raft_log_t *log, uint64_t index);

/** Appends a copy of @a entry, which must have the index after the last. */
void raft_log_append (raft_log_t *log, const Lwm__ControlEntry *entry);

/** Removes every entry from @a index on. */
void raft_log_truncate (raft_log_t *log, uint64_t index);

/** Removes every entry up to @a index, which the log must contain, and makes it
 * the base. */
void raft_log_compact (raft_log_t *log, uint64_t index);

/** Removes all entries and sets the base. */
void raft_log_reset (raft_log_t *log, uint64_t index, uint64_t term);

/** Returns pointers to the entries from @a index on, in order; valid until the
 * log changes. */
Lwm__ControlEntry **
raft_log_entries_from (const raft_log_t *log, uint64_t index, size_t *count);

#endif
