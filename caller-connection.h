/**
 * @file caller-connection.h
 * A connection of the server for callers: what it still owes its caller, and
 * how it ends. Shared by caller-connection.c, caller-reply.c and
 * caller-server.c; no other file includes this header.
 */
#ifndef CALLER_CONNECTION_H
#define CALLER_CONNECTION_H

#include <glib.h>

#include "caller-server.h"

struct bufferevent;
struct evconnlistener;

typedef struct caller_connection caller_connection_t;

/** Why a connection ends. */
typedef enum
{
  END_BY_SERVER, /**< the server is freed */
  END_ANSWERED,  /**< its last answer is written */
  END_IDLE,      /**< it is closed as idle */
  END_ABORTED,   /**< the answer was abandoned */
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
  GByteArray *body;
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
  uint32_t unacked_bytes; /* while lingering, when last looked */
};

struct caller_server
{
  caller_server_options_t options;
  struct evconnlistener *listener;
  GHashTable *connections; /* caller_connection_t, as a set */
  uint32_t open_requests;
  bool is_draining;
  metric_t *answers_written;
  metric_t *answers_cut;
};

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

/** Shuts the sending side after the last answer and reads on until the caller
 * closes, so that nothing of the answer is lost. */
void caller_connection_begin_lingering (caller_connection_t *connection);

/** Gives a lingering connection more time if its caller has received more of
 * the answer since the last look, else ends it. */
void caller_connection_check_lingering (caller_connection_t *connection);

/** Discards what the caller of a lingering connection has sent. */
void caller_connection_discard_input (caller_connection_t *connection);

#endif
