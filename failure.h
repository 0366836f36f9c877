/**
 * @file failure.h
 * Failure detector for the instances of one zone.
 *
 * The detector probes one member per period, in shuffled rounds. When the
 * member does not answer, three other members are asked to probe it. When the
 * indirect probes fail too, the member is suspected; it is declared dead unless
 * it refutes the suspicion in time. This follows Das, Gupta and Motivala,
 * "SWIM: Scalable weakly-consistent infection-style process group membership
 * protocol", DSN 2002. The suspicion timeout is long while a single member
 * holds the suspicion and shrinks with each confirmation. A process pause of
 * the detector itself extends its deadlines, so that it suspects no member
 * because of its own delay. Both follow Dadgar, Phillips and Currey,
 * "Lifeguard: local health awareness for more accurate failure detection",
 * DSN-W 2018.
 *
 * The module does no I/O and reads no clock: it sends probes through callbacks
 * and takes the time as an argument.
 */
#ifndef FAILURE_H
#define FAILURE_H

#include <stdbool.h>
#include <stdint.h>

#include "gossip.pb-c.h"

typedef struct failure failure_t;

/**
 * Sends a probe to @a to. For an indirect probe, @a target is the member that
 * @a to has to probe; it is NULL otherwise.
 */
typedef void (*failure_probe_cb_t) (const char *to,
                                    Lwm__ProbeKind kind,
                                    uint32_t sequence,
                                    const char *target,
                                    void *context);

/**
 * Called when the detector suspects a member or declares it dead, with the
 * incarnation and version of the member that the verdict applies to.
 */
typedef void (*failure_verdict_cb_t) (const char *instance,
                                      uint64_t incarnation,
                                      uint32_t version,
                                      void *context);

typedef struct
{
  uint64_t seed;
  uint32_t period_ms;        /**< time between two probes; 0 for 1000 */
  uint32_t timeout_ms;       /**< time for an answer, before indirect probes
                                  are sent; 0 for 400 */
  uint32_t suspicion_min_ms; /**< duration of a fully confirmed suspicion, until
                                the member is declared dead; 0 for 2000 */
  /** Duration of an unconfirmed suspicion; 0 for 5000. */
  uint32_t suspicion_max_ms;
  failure_probe_cb_t probe;
  failure_verdict_cb_t suspect;
  failure_verdict_cb_t dead;
  void *context;
} failure_options_t;

/** Creates a detector without members, as a talloc child of @a parent. */
failure_t *failure_new (void *parent, const failure_options_t *options);

/**
 * Adds a member or updates its incarnation and version. A changed incarnation
 * or version proves the member alive and clears any suspicion of it.
 */
void failure_put (failure_t *failure,
                  const char *instance,
                  uint64_t incarnation,
                  uint32_t version);

/** Removes a member that died or left. */
void failure_remove (failure_t *failure, const char *instance);

/** Records that @a instance answered probe @a sequence, directly or relayed. */
void failure_ack (failure_t *failure, const char *instance, uint32_t sequence);

/**
 * Records that member @a by suspects @a instance.
 * @return true when this starts a suspicion here or confirms an existing one;
 *         false when it is already known or applies to another incarnation or
 *         version
 */
bool failure_add_suspicion (failure_t *failure,
                            const char *instance,
                            uint64_t incarnation,
                            uint32_t version,
                            const char *by,
                            uint64_t now_ms);

/** Sends due probes and reports verdicts; call it about every 100 ms. */
void failure_tick (failure_t *failure, uint64_t now_ms);

#endif
