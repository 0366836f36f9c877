/**
 * @file directory.h
 * Upstreams as they announce themselves at control instances, and as entry
 * instances merge what several of those tell. No I/O; time is an argument.
 *
 * An upstream is an incarnation: its id and the time it was born. Of two
 * statements about one incarnation the one with the higher sequence number
 * holds. An address belongs to the incarnation born last of those that claim
 * it; one that has left never comes back.
 */
#ifndef DIRECTORY_H
#define DIRECTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  DIRECTORY_READY,
  DIRECTORY_LEAVING, /**< finishes what it has, takes nothing new */
  DIRECTORY_GONE,    /**< said that it ends */
  DIRECTORY_SILENT,  /**< not heard of for several announcements */
} directory_state_t;

/** One statement about an upstream. Strings are copied when kept. */
typedef struct
{
  const char *id;
  const char *address; /**< IP:PORT */
  const char *zone;
  const char *service;
  uint64_t born_ms; /**< its own wall clock at its start, 0 for not said */
  uint64_t sequence;
  directory_state_t state;
  uint32_t slots;
  uint32_t cold_ms; /**< for which it is still slow after its start */
} directory_statement_t;

typedef struct
{
  directory_statement_t said;
  uint64_t key; /**< hash of id and birth: the incarnation */
  uint64_t heard_ms;
  uint64_t version; /**< of the directory, when this entry last changed */
} directory_entry_t;

#define DIRECTORY_EXPIRE_EVERY_MS 200

typedef struct directory directory_t;

typedef enum
{
  DIRECTORY_STALE,   /**< older than what is known */
  DIRECTORY_SAME,    /**< heard of, nothing new */
  DIRECTORY_CHANGED, /**< users must be told */
} directory_result_t;

/** Freed with @a parent (talloc). */
directory_t *directory_new (void *parent);

directory_result_t directory_put (directory_t *directory,
                                  const directory_statement_t *statement,
                                  uint64_t now_ms);

/**
 * The upstream @a id says that it ends.
 * @param born_ms its birth, or 0 for the last one heard of
 * @return false when it is not known
 */
bool directory_leave (directory_t *directory,
                      const char *id,
                      uint64_t born_ms,
                      uint64_t now_ms);

/**
 * Marks those silent that were not heard of for @a silent_ms in which this
 * process ran, and forgets those that are gone for good. To be called every
 * DIRECTORY_EXPIRE_EVERY_MS.
 */
void
directory_expire (directory_t *directory, uint32_t silent_ms, uint64_t now_ms);

/** Rises with each change. */
uint64_t directory_version (const directory_t *directory);

/** Live entries, in no order; valid until the next change. */
const directory_entry_t *const *directory_entries (const directory_t *directory,
                                                   size_t *count);

/** The entry of an incarnation, or NULL. */
const directory_entry_t *directory_find (const directory_t *directory,
                                         uint64_t key);

/** Whether another incarnation, born later, has its id or its address. */
bool directory_is_replaced (const directory_t *directory,
                            const directory_entry_t *entry);

#endif
