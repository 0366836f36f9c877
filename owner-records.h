/**
 * @file owner-records.h
 * The ownership records that an instance stores for other owners, its part as
 * their recorder (owners.h). No I/O.
 */
#ifndef OWNER_RECORDS_H
#define OWNER_RECORDS_H

#include <glib.h>
#include <stdint.h>

#include "gossip.pb-c.h"
#include "metric.h"
#include "owners.h"

/** A batch gives each object's upstream and kind as one number. */
#define OWNED_KIND_BITS 2
#define OWNED_KIND_MASK 3

/** One open object; @a upstream is an index into its owner's name table. */
typedef struct
{
  uint64_t sequence;
  uint32_t upstream;
  Lwm__ObjectKind kind;
} owned_object_t;

/** Returns an empty table of owned_object_t by sequence; the caller destroys
 * it. */
GHashTable *owned_objects_new (void);

/** Stores a copy of @a object, in place of one with the same sequence. */
void owned_objects_put (GHashTable *objects, const owned_object_t *object);

typedef struct owner_records owner_records_t;

typedef struct
{
  metrics_t *metrics;        /**< may be NULL */
  owners_orphan_cb_t orphan; /**< may be NULL */
  void *orphan_context;
  /** Asks an owner to send all its records again. */
  void (*request_resend) (const char *instance, void *context);
  void *context;
} owner_records_options_t;

/** Creates empty records; freed with @a parent (talloc). */
owner_records_t *owner_records_new (void *parent,
                                    const owner_records_options_t *options);

/**
 * Applies a batch of the records of @a instance. A batch of a later incarnation
 * reports the orphans of the earlier one.
 */
void owner_records_receive (owner_records_t *records,
                            const char *instance,
                            uint64_t incarnation,
                            const Lwm__OwnedBatch *batch);

/** Reports the orphans of an owner and forgets it; see
 * owners_report_dead_owner(). */
void owner_records_report_dead (owner_records_t *records,
                                const char *instance,
                                uint64_t incarnation);

#endif
