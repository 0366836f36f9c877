/**
 * @file quarantine-internal.h
 * Shared by quarantine.c (evidence that is added, withdrawn and exchanged) and
 * quarantine-evidence.c (the tables of suspects, and what the evidence means).
 * No other file includes this header.
 */
#ifndef QUARANTINE_INTERNAL_H
#define QUARANTINE_INTERNAL_H

#include <glib.h>

#include "quarantine-proofs.h"
#include "quarantine.h"

/** Crashes without a complete answer in between after which a part or a request
 * is suspect, and blocked. */
#define SUSPECT_CRASHES 2
#define BLOCKED_CRASHES 3
/** Factor on these numbers for a part that proved sound before. */
#define PROVEN_FACTOR 2

/** What suspects are, and the index of their table. */
typedef enum
{
  SUSPECT_PART,
  SUSPECT_REQUEST,
  SUSPECT_KIND_COUNT,
} suspect_kind_t;

/** A crash of an upstream. */
typedef struct
{
  uint64_t upstream;
  uint64_t crashed_ms;
} quarantine_crash_t;

struct quarantine
{
  GPtrArray *suspects[SUSPECT_KIND_COUNT]; /* quarantine_suspect_t */
  GHashTable *index[SUSPECT_KIND_COUNT];   /* part -> quarantine_suspect_t */
  GArray *crashed; /* quarantine_crash_t, the latest ones */
  quarantine_proofs_t *proofs;
  uint64_t now_ms; /* latest time that a caller has stated */
  metric_t *crashes;
  metric_t *blocked;
  metric_t *blocked_requests;
  metric_t *cleared_total;
};

/** Returns the evidence against a part or a request, or NULL. */
quarantine_suspect_t *quarantine_find (const quarantine_t *quarantine,
                                       suspect_kind_t kind,
                                       uint64_t id);

/** Returns the evidence against a part or a request. A new entry, without a
 * crash, takes the place of the one with the least evidence in a full table. */
quarantine_suspect_t *quarantine_find_or_add (quarantine_t *quarantine,
                                              suspect_kind_t kind,
                                              uint64_t id);

/** Compares what speaks against two suspects: negative if it is less against
 * @a one. A crash speaks less against a part that proved sound before; of two
 * with the same evidence the older one has less. */
int quarantine_compare_evidence (const quarantine_suspect_t *one,
                                 const quarantine_suspect_t *other);

/** Returns whether a table is full of entries with more crashes than this. */
bool quarantine_is_full_of_worse (const quarantine_t *quarantine,
                                  suspect_kind_t kind,
                                  uint32_t crash_count);

void quarantine_remove (quarantine_t *quarantine,
                        quarantine_suspect_t *suspect);

/** Keeps that an upstream crashed, whatever it worked on. */
void quarantine_keep_crash (quarantine_t *quarantine,
                            uint64_t upstream,
                            uint64_t crashed_ms);

/** Forgets all but the first @a count crashes of a suspect, as if those
 * upstreams had not crashed. */
void quarantine_shorten (quarantine_t *quarantine,
                         quarantine_suspect_t *suspect,
                         uint32_t count);

/** Adds a crash to the evidence. Returns whether it is new. */
bool quarantine_record (quarantine_suspect_t *suspect,
                        uint64_t upstream,
                        uint64_t crashed_ms);

/** Removes the crash at @a index from the evidence. */
void quarantine_forget_crash (quarantine_suspect_t *suspect, uint32_t index);

/** Removes a crash that an answer of the same incarnation has disproved. */
void quarantine_disprove (quarantine_suspect_t *suspect,
                          uint64_t upstream,
                          uint64_t now_ms);

/** Returns the level of one suspect at quarantine->now_ms. */
quarantine_level_t
quarantine_suspect_level (const quarantine_t *quarantine,
                          const quarantine_suspect_t *suspect);

/** Returns when a blocked suspect may be tried again. */
uint64_t quarantine_blocked_until (const quarantine_suspect_t *suspect);

#endif
