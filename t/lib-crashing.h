/**
 * @file lib-crashing.h
 * Runs upstreams that end when they begin to run certain requests and come back
 * as new incarnations. Each has a thread that serves one connection at a time.
 */
#ifndef LIB_CRASHING_H
#define LIB_CRASHING_H

#include <stdbool.h>
#include <stdint.h>

/** Requests that contain this text are harmful. */
#define CRASHING_MARK "harmful"
/** Time for which an upstream that has ended is away. */
#define CRASHING_DOWN_MS 300

/** How an upstream ends when it runs a harmful request. */
typedef enum
{
  CRASHING_AT_ONCE,   /**< closes the connection without an answer */
  CRASHING_IN_HEAD,   /**< after half of the answer's head */
  CRASHING_IN_BODY,   /**< after half of the answer's body */
  CRASHING_IN_STREAM, /**< after the first event of a stream */
  CRASHING_LEAVES,    /**< announces that it leaves, then closes */
} crashing_end_t;

typedef struct crashing crashing_t;

typedef struct
{
  const char *service;
  bool is_engine;
  uint32_t upstreams;
  crashing_end_t end;
  /** Addresses of the entry instances to which the upstreams announce
   * themselves, NULL-terminated. */
  const char *entries[4];
} crashing_options_t;

/** Starts the upstreams and waits until each has announced itself. */
crashing_t *crashing_new (const crashing_options_t *options);

/** Stops the upstreams. */
void crashing_free (crashing_t *crashing);

/** Sets whether harmful requests end their upstream, as at first, or are
 * answered. */
void crashing_set_harmful (crashing_t *crashing, bool is_harmful);

/** Returns how often a harmful request began to run. */
uint32_t crashing_runs (crashing_t *crashing);

/** Returns how many of these runs began later than @a after_ms after the third
 * one; 0 if there were fewer than three. */
uint32_t crashing_runs_after_third (crashing_t *crashing, uint32_t after_ms);

#endif
