/* Orders that reserve and release memory at the upstreams of
 * lib-node-upstreams.h. */
#include <json-glib/json-glib.h>
#include <string.h>

#include "lib-node-upstreams-internal.h"

#define ORDER_TIMEOUT_MS 5000

static bool
send_done (const node_served_t *served)
{
  static const char text[]
      = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: 19\r\n\r\n{\"free-slots\":1000}";

  return http_socket_send (served->socket, text, strlen (text));
}

static void
reserve (node_upstreams_t *all, JsonObject *order)
{
  const char *id = json_object_get_string_member (order, "id");
  gint64 hold_ms = json_object_get_int_member (order, "hold-ms");
  gint64 *until_us = g_new (gint64, 1);

  *until_us = g_get_monotonic_time () + hold_ms * 1000;
  all->memory.reserve_orders++;
  g_hash_table_insert (all->tickets, g_strdup (id), until_us);
}

static void
release (node_upstreams_t *all, JsonObject *order)
{
  all->memory.release_orders++;
  g_hash_table_remove (all->tickets,
                       json_object_get_string_member (order, "id"));
}

static void
carry_out (node_upstreams_t *all, JsonObject *order)
{
  const char *what = json_object_get_string_member (order, "op");

  g_mutex_lock (&all->lock);
  if (g_strcmp0 (what, "reserve") == 0)
    reserve (all, order);
  else if (g_strcmp0 (what, "release") == 0)
    release (all, order);
  g_mutex_unlock (&all->lock);
}

bool
node_orders_serve (const node_served_t *served)
{
  node_upstreams_t *all = served->upstream->all;
  uint32_t unanswered = all->options.unanswered_orders;
  guint number = (guint)g_atomic_int_add (&all->orders, 1);
  JsonParser *parser = json_parser_new ();
  bool goes_on = true;

  if (json_parser_load_from_data (parser, served->request.body->str, -1, NULL))
    carry_out (all, json_node_get_object (json_parser_get_root (parser)));
  g_object_unref (parser);
  if (unanswered == 0 || number % unanswered != unanswered - 1)
    goes_on = send_done (served);
  else
    goes_on = !http_socket_wait (served->socket, ORDER_TIMEOUT_MS);
  return goes_on;
}

void
node_orders_count_use (const node_served_t *served)
{
  node_upstreams_t *all = served->upstream->all;
  char *helpers = http_message_field (&served->request, "Helpers");

  if (helpers != NULL && strchr (helpers, '/') != NULL)
    {
      g_mutex_lock (&all->lock);
      all->memory.used_ran++;
      g_mutex_unlock (&all->lock);
    }
  g_free (helpers);
}

node_memory_t
node_upstreams_memory (node_upstreams_t *all)
{
  gint64 now_us = g_get_monotonic_time ();
  GHashTableIter iterator;
  gpointer until_us;
  node_memory_t memory;

  g_mutex_lock (&all->lock);
  all->memory.held = 0;
  g_hash_table_iter_init (&iterator, all->tickets);
  while (g_hash_table_iter_next (&iterator, NULL, &until_us))
    all->memory.held += *(gint64 *)until_us > now_us;
  memory = all->memory;
  g_mutex_unlock (&all->lock);
  return memory;
}
