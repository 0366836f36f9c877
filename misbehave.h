/**
 * @file misbehave.h
 * Queue of faults to inject into a stand-in upstream's next requests, one
 * fault per request. Tests fill it through the stand-in's HTTP interface.
 */
#ifndef MISBEHAVE_H
#define MISBEHAVE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct misbehave misbehave_t;

/** Kind of an injected fault. */
typedef enum
{
  MISBEHAVE_NONE,
  MISBEHAVE_STALL,    /**< the answer stops, the connection stays open */
  MISBEHAVE_DIE,      /**< the process exits */
  MISBEHAVE_RESET,    /**< the connection is reset */
  MISBEHAVE_TRUNCATE, /**< the answer ends early */
  MISBEHAVE_CROSSED,  /**< the answer has another request's id and tokens */
  MISBEHAVE_LATE,     /**< the answer is delayed */
  MISBEHAVE_BUSY,     /**< the request is refused as busy before running */
  MISBEHAVE_ERROR,    /**< the request fails with status 500 before running */
} misbehave_kind_t;

/** A fault to inject and its parameters. */
typedef struct
{
  misbehave_kind_t kind;
  uint32_t after_tokens; /**< tokens a stream sends before the fault */
  uint32_t ms;           /**< delay of a late answer */
} fault_t;

/** Creates an empty queue, freed with @a parent (talloc). */
misbehave_t *misbehave_new (void *parent);

/** Sets @a kind by its name; false when there is no such kind. */
bool misbehave_kind_from_name (const char *name, misbehave_kind_t *kind);

/** Adds @a fault for @a count requests, after the faults already queued. */
void
misbehave_add (misbehave_t *misbehave, const fault_t *fault, uint32_t count);

/** Removes the next fault from the queue and returns it, for a request that
 * just arrived; its kind is MISBEHAVE_NONE when the queue is empty. */
fault_t misbehave_take (misbehave_t *misbehave);

#endif
