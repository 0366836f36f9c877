/**
 * @file lib-http-socket.h
 * Blocking HTTP/1.1 messages on a socket, for tests that play callers and
 * upstreams in threads of their own. Bytes after a message are kept for the
 * next one.
 */
#ifndef LIB_HTTP_SOCKET_H
#define LIB_HTTP_SOCKET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int fd;
  uint32_t read_bytes; /**< size of a read, 0 for the default */
  uint32_t pause_ms;   /**< pause after each read */
  GByteArray *bytes;   /**< what was received */
  size_t used;         /**< bytes of it that belong to earlier messages */
  bool has_ended;      /**< the peer has closed or reset the connection */
} http_socket_t;

/** A message that was received, perhaps only in part. */
typedef struct
{
  char *head;    /**< first line and fields, NULL when it is not complete */
  GString *body; /**< decoded */
  int status;    /**< of an answer, else 0 */
  bool is_whole;
} http_message_t;

/** Connects to IP:PORT. Returns NULL if the connection is refused. */
http_socket_t *http_socket_connect (const char *address);

/** Takes over an accepted connection. */
http_socket_t *http_socket_new (int fd);

/** Closes the connection. */
void http_socket_free (http_socket_t *socket);

/** Sends all bytes. Returns false if the connection ended before. */
bool http_socket_send (http_socket_t *socket, const char *data, size_t bytes);

/** Waits until something can be read or the connection has ended; returns
 * whether that is so. */
bool http_socket_wait (http_socket_t *socket, uint32_t timeout_ms);

/**
 * Receives one message until a time of the steady clock.
 * @return whether it is whole
 */
bool http_socket_receive (http_socket_t *socket,
                          int64_t until_us,
                          http_message_t *message);
void http_message_clear (http_message_t *message);

/** Returns the value of a field, NULL for none; free with g_free(). */
char *http_message_field (const http_message_t *message, const char *name);

#endif
