/**
 * @file lib-http-crowd.h
 * Clients outside the limits, for tests of a real process: many connections
 * that send or read slowly, in part or without end. They run in a thread of
 * the test program.
 */
#ifndef LIB_HTTP_CROWD_H
#define LIB_HTTP_CROWD_H

#include <stdbool.h>
#include <stdint.h>

#include "lib-cluster.h"

typedef struct http_crowd http_crowd_t;

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
} http_crowd_options_t;

/** Connects the clients and starts to send. */
http_crowd_t *http_crowd_start (const http_crowd_options_t *options);

/** Waits until each client has sent all, or none has got on for a second. */
void http_crowd_wait (http_crowd_t *crowd);

/** Closes the connections that are still open. */
void http_crowd_free (http_crowd_t *crowd);

/** Lets this program open as many descriptors as the machine permits. */
void http_crowd_raise_limit (void);

/** Returns the peak resident memory of a process, in KiB. */
uint64_t http_crowd_peak_kb (const process_t *process);

/** Returns the number of descriptors that a process has open. */
uint32_t http_crowd_descriptors (const process_t *process);

/** Returns the highest number that http_crowd_wait() saw in the watched process
 * since http_crowd_watch(). */
void http_crowd_watch (const process_t *process);
uint32_t http_crowd_most_descriptors (void);

/** Sends one request, of which the body is @a unit repeatedly, all of it or
 * until the connection ends. Returns the status of the answer, 0 for none. */
int http_crowd_send_one (const http_crowd_options_t *options);

#endif
