/**
 * @file owners.h
 * Ownership records: which instance opened which object at which upstream.
 * They let another instance release the streams, reservations and exported KV
 * of an instance that died.
 *
 * When an owner sends the request that opens an object, it reports the object
 * to its recorders: two other live instances of its zone, chosen by rendezvous
 * hashing of its name. Closed objects are reported with the next batch. When
 * the owner is confirmed dead or returns with a higher incarnation, a recorder
 * reports every object still open through a callback. An object's id is
 * INSTANCE-INCARNATION-SEQUENCE, so batches carry only the sequence number.
 *
 * The module does no I/O: it sends batches through a callback and takes the
 * time as an argument.
 */
#ifndef OWNERS_H
#define OWNERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gossip.pb-c.h"
#include "metric.h"

typedef struct owners owners_t;

/** An object still open when its owner died or restarted. */
typedef struct
{
  const char *owner;    /**< instance that opened the object */
  uint64_t incarnation; /**< incarnation of the owner that opened it */
  uint64_t sequence;
  const char *upstream;
  Lwm__ObjectKind kind;
} owners_orphan_t;

/**
 * Called for each orphan. The callee releases it at its upstream and repeats
 * the release until the upstream confirms it.
 */
typedef void (*owners_orphan_cb_t) (const owners_orphan_t *orphan,
                                    void *context);

/** Sends a batch to an instance; the callee may drop it. */
typedef void (*owners_send_cb_t) (const char *instance,
                                  const Lwm__OwnedBatch *batch,
                                  void *context);

/** Called when records wait to be sent: owners_tick() should run soon. */
typedef void (*owners_wake_cb_t) (void *context);

typedef struct
{
  const char *instance;
  uint64_t incarnation;
  metrics_t *metrics; /**< may be NULL */
  owners_send_cb_t send;
  owners_wake_cb_t wake;     /**< may be NULL */
  owners_orphan_cb_t orphan; /**< may be NULL */
  void *orphan_context;
  void *context;
} owners_options_t;

/** Creates empty ownership records as a talloc child of @a parent. */
owners_t *owners_new (void *parent, const owners_options_t *options);

/** Returns a new sequence number, unique within this incarnation. */
uint64_t owners_next_sequence (owners_t *owners);

/** Records that @a upstream is asked to open object number @a sequence. */
void owners_open (owners_t *owners,
                  uint64_t sequence,
                  const char *upstream,
                  Lwm__ObjectKind kind);

/** Records that the upstream confirmed closing object @a sequence. */
void owners_close (owners_t *owners, uint64_t sequence);

/**
 * Returns the milliseconds until the record of an opened object is sent, for
 * callers that must not open the object before that. Returns 0 when the record
 * was sent or there is no recorder.
 */
uint32_t owners_send_wait_ms (const owners_t *owners,
                              uint64_t sequence,
                              uint64_t now_ms);

/** Returns the number of objects that this instance has open. */
uint32_t owners_open_count (const owners_t *owners);

/** Sets the live instances of the zone and chooses the recorders again. */
void
owners_set_live (owners_t *owners, const char *const *instances, size_t count);

/** Raises the own incarnation; call it before any object is opened. */
void owners_set_incarnation (owners_t *owners, uint64_t incarnation);

/**
 * Handles a batch of @a instance's own records, or a recorder's request to
 * resend all records.
 */
void owners_receive (owners_t *owners,
                     const char *instance,
                     uint64_t incarnation,
                     const Lwm__OwnedBatch *batch);

/**
 * Reports the orphans of an instance whose incarnations up to @a incarnation
 * have ended.
 */
void owners_report_dead_owner (owners_t *owners,
                               const char *instance,
                               uint64_t incarnation);

/**
 * Sends due batches and heartbeats.
 * @return milliseconds until the next call
 */
uint32_t owners_tick (owners_t *owners, uint64_t now_ms);

#endif
