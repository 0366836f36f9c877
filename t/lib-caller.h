/**
 * @file lib-caller.h
 * A caller with a socket of its own, which reads only when it is told to, for
 * tests of slow callers. All calls return at once.
 */
#ifndef LIB_CALLER_H
#define LIB_CALLER_H

#include <glib.h>
#include <stdbool.h>

typedef struct
{
  int fd;
  GString *answer; /**< what was read so far */
  bool has_end;    /**< the peer has shut its sending side */
  bool was_reset;  /**< the connection ended in another way */
} caller_t;

/** Connects to IP:PORT, with a small buffer for what is received. */
caller_t *caller_new (const char *address);
void caller_free (caller_t *caller);

/** Sends what the socket takes; returns the number of bytes. */
size_t caller_send (caller_t *caller, const char *text, size_t size_bytes);

/** Shuts the sending side. */
void caller_shut (caller_t *caller);

/** Reads once, if anything is there. Returns whether the answer is over. */
bool caller_read (caller_t *caller);

/** Reads once. Returns whether the answer so far contains a text. */
bool caller_has_text (caller_t *caller, const char *text);

#endif
