#include "share-link.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>
#include <zmq.h>

#include "base.h"
#include "mq.h"
#define LOG_PART "share-link"
#include "logging.h"

#define MAX_QUEUED_MESSAGES 500
#define MAX_ROUTE_BYTES     32
/** Time without a message after which a connection is closed. */
#define UNUSED_MS 20000

/** A connection to another instance. */
typedef struct
{
  share_link_t *link;
  char *address;
  mq_t *mq;
  uint64_t used_ms;
} connection_t;

/** The way back to an instance that sent a message. */
typedef struct
{
  uint64_t incarnation;
  uint8_t id[MAX_ROUTE_BYTES]; /* ZeroMQ routing id */
  size_t id_bytes;
  uint64_t heard_ms;
} route_t;

struct share_link
{
  share_link_options_t options;
  uint64_t incarnation;
  mq_t *router;
  GHashTable *connections; /* address -> connection_t, children of link */
  GHashTable *routes;      /* incarnation -> route_t */
};

static int
free_link (share_link_t *link)
{
  g_hash_table_destroy (link->connections);
  g_hash_table_destroy (link->routes);
  return 0;
}

static void
store_route (share_link_t *link, uint64_t incarnation, const mq_frame_t *id)
{
  route_t *route = g_hash_table_lookup (link->routes, &incarnation);

  if (id->size_bytes > MAX_ROUTE_BYTES)
    return;
  if (route == NULL)
    {
      route = g_new0 (route_t, 1);
      route->incarnation = incarnation;
      g_hash_table_insert (link->routes, &route->incarnation, route);
    }
  memcpy (route->id, id->data, id->size_bytes);
  route->id_bytes = id->size_bytes;
  route->heard_ms = clock_mono_ms ();
}

/** Parses a message. The result is freed by the caller; NULL when it is
 * malformed or from this instance itself. */
static Lwm__ShareMessage *
parse_message (const share_link_t *link, const mq_frame_t *frame)
{
  Lwm__ShareMessage *message
      = lwm__share_message__unpack (NULL, frame->size_bytes, frame->data);

  if (message == NULL)
    {
      log_warn ("Dropped a malformed message from an entry instance.");
      return NULL;
    }
  if (message->sender != link->incarnation)
    return message;
  lwm__share_message__free_unpacked (message, NULL);
  return NULL;
}

/** Handles a message that came over a connection of another instance. */
static void
on_routed_message (const mq_frame_t *frames, size_t count, void *context)
{
  share_link_t *link = context;
  Lwm__ShareMessage *message;

  if (count != 2)
    return;
  message = parse_message (link, &frames[1]);
  if (message == NULL)
    return;
  store_route (link, message->sender, &frames[0]);
  link->options.on_message (message, NULL, link->options.context);
  lwm__share_message__free_unpacked (message, NULL);
}

/** Handles an answer, which came over a connection of this instance. */
static void
on_answer (const mq_frame_t *frames, size_t count, void *context)
{
  connection_t *connection = context;
  share_link_t *link = connection->link;
  Lwm__ShareMessage *message;

  if (count != 1)
    return;
  message = parse_message (link, &frames[0]);
  if (message == NULL)
    return;
  link->options.on_message (message, connection->address,
                            link->options.context);
  lwm__share_message__free_unpacked (message, NULL);
}

share_link_t *
share_link_new (void *parent, const share_link_options_t *options)
{
  share_link_t *link = talloc_zero (parent, share_link_t);
  mq_options_t router = { .base = options->base,
                          .type = ZMQ_ROUTER,
                          .bind = options->listen,
                          .queue_messages = MAX_QUEUED_MESSAGES,
                          .on_message = on_routed_message,
                          .context = link };

  link->options = *options;
  link->incarnation = random_id ();
  link->connections = g_hash_table_new (g_str_hash, g_str_equal);
  link->routes
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  talloc_set_destructor (link, free_link);
  link->router = mq_new (link, &router);
  if (link->router != NULL)
    return link;
  print_error ("cannot listen on '%s': %s", options->listen,
               zmq_strerror (errno));
  talloc_free (link);
  return NULL;
}

uint64_t
share_link_incarnation (const share_link_t *link)
{
  return link->incarnation;
}

/** Returns the connection to an instance, opened if there is none; NULL when
 * that fails. */
static connection_t *
get_connection (share_link_t *link, const char *address)
{
  connection_t *connection = g_hash_table_lookup (link->connections, address);
  mq_options_t options = { .base = link->options.base,
                           .type = ZMQ_DEALER,
                           .connect = address,
                           .queue_messages = MAX_QUEUED_MESSAGES,
                           .on_message = on_answer };

  if (connection != NULL)
    return connection;
  connection = talloc_zero (link, connection_t);
  connection->link = link;
  connection->address = talloc_strdup (connection, address);
  options.context = connection;
  connection->mq = mq_new (connection, &options);
  if (connection->mq == NULL)
    {
      log_warn ("Cannot open a socket to an entry instance. address=%s",
                address);
      talloc_free (connection);
      return NULL;
    }
  g_hash_table_insert (link->connections, connection->address, connection);
  log_info ("Opened a connection to an entry instance. address=%s open=%u",
            address, g_hash_table_size (link->connections));
  return connection;
}

/** Packs a message; the caller frees the result with g_free(). */
static uint8_t *
pack (const share_link_t *link, Lwm__ShareMessage *message, size_t *size_bytes)
{
  uint8_t *data;

  message->sender = link->incarnation;
  *size_bytes = lwm__share_message__get_packed_size (message);
  data = g_malloc (*size_bytes + 1);
  lwm__share_message__pack (message, data);
  return data;
}

size_t
share_link_send (share_link_t *link,
                 const char *address,
                 Lwm__ShareMessage *message)
{
  connection_t *connection = get_connection (link, address);
  mq_frame_t frame = { 0 };
  uint8_t *data;
  bool is_sent;

  if (connection == NULL)
    return 0;
  frame.data = data = pack (link, message, &frame.size_bytes);
  connection->used_ms = clock_mono_ms ();
  is_sent = mq_send (connection->mq, &frame, 1);
  g_free (data);
  return is_sent ? frame.size_bytes : 0;
}

size_t
share_link_reply (share_link_t *link,
                  uint64_t incarnation,
                  Lwm__ShareMessage *message)
{
  const route_t *route = g_hash_table_lookup (link->routes, &incarnation);
  mq_frame_t frames[2] = { 0 };
  uint8_t *data;
  bool is_sent;

  if (route == NULL)
    return 0;
  frames[0].data = route->id;
  frames[0].size_bytes = route->id_bytes;
  frames[1].data = data = pack (link, message, &frames[1].size_bytes);
  is_sent = mq_send (link->router, frames, 2);
  g_free (data);
  return is_sent ? frames[1].size_bytes : 0;
}

static gboolean
is_connection_unused (gpointer key, gpointer value, gpointer context)
{
  connection_t *connection = value;

  if (connection->used_ms + UNUSED_MS > *(const uint64_t *)context)
    return FALSE;
  talloc_free (connection);
  return TRUE;
}

static gboolean
is_route_unused (gpointer key, gpointer value, gpointer context)
{
  const route_t *route = value;

  return route->heard_ms + UNUSED_MS <= *(const uint64_t *)context;
}

void
share_link_tick (share_link_t *link, uint64_t now_ms)
{
  g_hash_table_foreach_remove (link->connections, is_connection_unused,
                               &now_ms);
  g_hash_table_foreach_remove (link->routes, is_route_unused, &now_ms);
}
