/**
 * @file directory.h
 * Directory of upstreams. Control instances fill one from the announcements of
 * upstreams; entry instances merge the directories of several control instances
 * in one. No I/O; time is an argument.
 *
 * An entry stands for one incarnation of an upstream: its id and its start
 * time. Of two statements about one incarnation, the one with the higher
 * sequence number holds. An address belongs to the incarnation with the latest
 * start time among those that announced it. An incarnation that has left never
 * comes back, whatever the sequence numbers say: the instance that recorded its
 * departure may never have heard its announcements. Such an entry is a
 * tombstone without address, zone and service.
 *
 * Announcements may also come from writers that are no upstreams of this
 * deployment. The directory keeps what they say, as the service that they name
 * may be added later, but they replace nobody before.
 */
#ifndef DIRECTORY_H
#define DIRECTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** State of an upstream. */
typedef enum
{
  DIRECTORY_READY,
  DIRECTORY_LEAVING, /**< finishes its requests, accepts no new ones */
  DIRECTORY_GONE,    /**< announced that it shuts down */
  DIRECTORY_SILENT,  /**< missed several announcements */
} directory_state_t;

/** One statement about an upstream, as announced by itself or as passed on by a
 * control instance. The directory copies the strings that it stores. */
typedef struct
{
  const char *id;
  const char *address; /**< IP:PORT */
  const char *zone;
  const char *service;
  uint64_t born_ms;  /**< its wall clock at its start, 0 if not announced */
  uint64_t sequence; /**< rises with each statement of the incarnation */
  directory_state_t state;
  uint32_t slots;
  uint32_t cold_ms; /**< remaining time of slowness after its start */
} directory_statement_t;

/** One incarnation of an upstream. */
typedef struct
{
  directory_statement_t said; /**< last accepted statement */
  uint64_t key;               /**< hash of id and start time: the incarnation */
  uint64_t heard_ms;          /**< time of the last accepted statement */
  uint64_t version;  /**< directory version of the last change of this entry */
  size_t text_bytes; /**< of the texts in said */
} directory_entry_t;

/** The services that requests can be sent to. */
typedef struct
{
  /** Returns whether the service exists; NULL: all do. */
  bool (*is_known) (const char *service, void *context);
  void *context;
} directory_services_t;

/** Bounds of what is kept, whoever announces it: of each text, and of the texts
 * of all entries. */
#define DIRECTORY_MAX_TEXT_BYTES 1024u
#define DIRECTORY_MAX_BYTES      (8u * 1024 * 1024)

/** Interval at which directory_expire() must be called. */
#define DIRECTORY_EXPIRE_EVERY_MS 200

typedef struct directory directory_t;

/** Effect of a statement. */
typedef enum
{
  DIRECTORY_STALE,    /**< ignored: older than the entry or not of the same
                           upstream */
  DIRECTORY_SAME,     /**< accepted, changes nothing but the time heard */
  DIRECTORY_CHANGED,  /**< accepted, watchers must be informed */
  DIRECTORY_TOO_LONG, /**< ignored: a text exceeds its bound */
  DIRECTORY_FULL,     /**< ignored: there is no room for another entry */
} directory_result_t;

/** Creates an empty directory, freed with @a parent (talloc). */
directory_t *directory_new (void *parent);

/** Adds or updates the entry of an incarnation. */
directory_result_t directory_put (directory_t *directory,
                                  const directory_statement_t *statement,
                                  uint64_t now_ms);

/**
 * Records that the upstream @a id shuts down. An incarnation that never
 * announced itself here gets a tombstone.
 * @param born_ms start time of its incarnation, or 0 for the last one known
 * @return false when nothing was recorded: @a born_ms is 0 and the upstream is
 * not known, its id is too long, or the directory is full
 */
bool directory_leave (directory_t *directory,
                      const char *id,
                      uint64_t born_ms,
                      uint64_t now_ms);

/**
 * Marks the ready upstreams as silent from which no statement came for
 * @a silent_ms, not counting pauses of this process. Removes entries without a
 * statement for a much longer time. To be called every
 * DIRECTORY_EXPIRE_EVERY_MS.
 */
void
directory_expire (directory_t *directory, uint32_t silent_ms, uint64_t now_ms);

/** Returns the version of the directory, which rises with each change. */
uint64_t directory_version (const directory_t *directory);

/** Returns all entries in no order, including the entries of upstreams in the
 * state DIRECTORY_GONE. The list is valid until the next change. */
const directory_entry_t *const *directory_entries (const directory_t *directory,
                                                   size_t *count);

/** Returns the entry of the incarnation with this key, or NULL. */
const directory_entry_t *directory_find (const directory_t *directory,
                                         uint64_t key);

/**
 * Returns whether an incarnation that started later has taken over the id or
 * the address of @a entry. It has only if requests can be sent to its service.
 * One that has fallen silent takes nothing from an upstream that still
 * announces itself.
 */
bool directory_is_replaced (const directory_t *directory,
                            const directory_entry_t *entry,
                            const directory_services_t *services);

#endif
