/**
 * @file lib-crowd.h
 * Clients outside the limits, for tests of a real process: many connections
 * that send or read slowly, in part or without end. They run in a thread of
 * the test program.
 */
#ifndef LIB_CROWD_H
#define LIB_CROWD_H

#include <stdbool.h>
#include <stdint.h>

#include "lib-cluster.h"

typedef struct crowd crowd_t;

/** What each client of a crowd sends and reads. */
typedef struct
{
  const char *address; /**< IP:PORT */
  uint32_t connections;
  const char *head;        /**< sent first */
  const char *unit;        /**< sent repeatedly after the head */
  uint32_t unit_bytes;     /**< 0: nothing after the head */
  uint64_t repeated_bytes; /**< total of the units, cut off inside one */
  /** Bytes of an answer that a client reads in a second; 0: all at once. */
  uint32_t read_bytes_s;
} crowd_options_t;

/** Connects the clients and starts to send. */
crowd_t *crowd_start (const crowd_options_t *options);

/** Waits until each client has sent all, or none has got on for a second. */
void crowd_wait (crowd_t *crowd);

/** Closes the connections that are still open. */
void crowd_free (crowd_t *crowd);

/** Lets this program open as many descriptors as the machine permits. */
void crowd_raise_limit (void);

/** Returns the peak resident memory of a process, in KiB. */
uint64_t crowd_peak_kb (const process_t *process);

/** Returns the number of descriptors that a process has open. */
uint32_t crowd_descriptors (const process_t *process);

/** Returns the highest number that crowd_wait() saw in the watched process
 * since crowd_watch(). */
void crowd_watch (const process_t *process);
uint32_t crowd_most_descriptors (void);

/** Sends one request, of which the body is @a unit repeatedly, all of it or
 * until the connection ends. Returns the status of the answer, 0 for none. */
int crowd_send_one (const crowd_options_t *options);

#endif
