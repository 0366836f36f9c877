/**
 * @file caller-connection.h
 * A connection of the server for callers: what it still owes its caller, and
 * how it ends. Shared by caller-connection.c, caller-memory.c,
 * caller-reply.c and caller-server.c; no other file includes this header.
 */
#ifndef CALLER_CONNECTION_H
#define CALLER_CONNECTION_H

#include <glib.h>

#include "caller-server.h"
#include "memory-account.h"
#include "shared-bytes.h"

struct bufferevent;
struct evbuffer_cb_entry;
struct event;
struct evconnlistener;

typedef struct caller_connection caller_connection_t;

/** Why a connection ends. */
typedef enum
{
  END_BY_SERVER, /**< the server is freed */
  END_ANSWERED,  /**< its last answer is written */
  END_IDLE,      /**< it is closed as idle */
  END_ABORTED,   /**< the answer was abandoned */
  END_NO_MEMORY, /**< it holds too much for too long */
  END_NO_ROOM,   /**< another connection takes its place */
  END_TIMEOUT,
  END_BY_CALLER,
  END_FAILED,
} caller_end_t;

struct caller_request
{
  caller_connection_t *connection;
  uint64_t arrived_ms;
  bool chunked;
  bool no_body; /* HEAD, 204 and 304: the answer has no body */
  void *data;
};

struct caller_connection
{
  caller_server_t *server;
  struct bufferevent *stream;
  http_reader_t *reader;
  shared_bytes_t *body;
  caller_request_t request;
  bool is_open;              /* a request is being answered */
  char *last_id;             /* of the last request, or NULL */
  bool has_unwritten_answer; /* a complete one */
  caller_end_t end;
  bool is_too_large;
  bool close_after_reply; /* close the connection after the current answer */
  bool is_read_paused;    /* the caller has sent too much ahead */
  bool is_lingering; /* the sending side is shut; what comes is discarded */
  uint64_t linger_until_ms;
  uint32_t unacked_bytes;  /* while lingering, when last looked */
  memory_holder_t *holder; /* or NULL */
  struct evbuffer_cb_entry *output_watch;
  size_t kept_bytes;    /* that the user of the server keeps for the request */
  size_t moved_bytes;   /* of bodies and answers since progress_ms */
  uint64_t progress_ms; /* of the caller */
  uint64_t window_ms;   /* start of the window for the body's rate, or 0 */
  size_t window_bytes;  /* size of the body then */
  bool must_yield;      /* it is in the server's array of those */
};

struct caller_server
{
  caller_server_options_t options;
  struct evconnlistener *listener;
  GHashTable *connections; /* caller_connection_t, as a set */
  uint32_t open_requests;
  bool is_draining;
  GPtrArray *yielding; /* caller_connection_t that release their memory next */
  struct event *yield_event;
  struct event *sweep;
  uint64_t swept_ms;
  uint64_t refusal_logged_ms;
  uint32_t refusals_unlogged;
  metric_t *answers_written;
  metric_t *answers_cut;
  metric_t *connections_refused;
};

/** Rejects a request that is malformed, too large or comes too late, and closes
 * the connection once the error is sent. */
void caller_connection_reject (caller_connection_t *connection,
                               const char *status);

/** Ends a connection, with a line if its last answer is not delivered. */
void caller_connection_end (caller_connection_t *connection, caller_end_t end);

/** Destructor of a connection (talloc). */
int caller_connection_free (caller_connection_t *connection);

/** Sets the longest silence of the caller while it is read; 0: any. */
void caller_connection_set_read_timeout (caller_connection_t *connection,
                                         uint32_t timeout_ms);

/** Returns the number of bytes that are not written to the socket yet. */
size_t caller_connection_unsent_bytes (const caller_connection_t *connection);

/** Returns whether bytes of the caller wait to be read, here or in the kernel.
 */
bool caller_connection_has_input (const caller_connection_t *connection);

/** Returns whether a part of a request has arrived that is not refused yet. */
bool caller_connection_is_receiving (const caller_connection_t *connection);

/** Returns the id of the request that is being received, for log lines; "-"
 * while its head is not read. */
const char *caller_connection_read_id (const caller_connection_t *connection);

/** Returns whether the connection still owes its caller an answer or a part of
 * one, which may be on its way in the kernel. */
bool caller_connection_is_busy (const caller_connection_t *connection);

/** Makes a new connection a holder of the server's account, if there is one. */
void caller_memory_add (caller_connection_t *connection);

/** Stops the connection's part in the account before it is freed. */
void caller_memory_remove (caller_connection_t *connection);

/** States what the connection holds now. */
void caller_memory_update (caller_connection_t *connection);

/** States that bytes of a body were received. */
void caller_memory_received (caller_connection_t *connection,
                             size_t size_bytes);

/** Starts and stops what the server does for its memory. */
void caller_memory_start (caller_server_t *server);
void caller_memory_stop (caller_server_t *server);

/** Makes room for another connection, if need be by closing the one that has
 * been idle for longest. Returns false if there is none. */
bool caller_memory_make_room (caller_server_t *server);

/** Shuts the sending side after the last answer and reads on until the caller
 * closes, so that nothing of the answer is lost. */
void caller_connection_begin_lingering (caller_connection_t *connection);

/** Gives a lingering connection more time if its caller has received more of
 * the answer since the last look, else ends it. */
void caller_connection_check_lingering (caller_connection_t *connection);

/** Discards what the caller of a lingering connection has sent. */
void caller_connection_discard_input (caller_connection_t *connection);

#endif
