#include "lib-node-calls.h"

#include <string.h>

#include "lib-http-socket.h"
#include "lib-node-callers-internal.h"

#define PIECES      4
#define PATIENCE_MS 500

/** A request, used by its thread only. */
typedef struct
{
  node_callers_t *all;
  node_call_t call;
  char *path;
  char *fields;
  http_socket_t *socket;
  caller_record_t *record;
} planned_t;

static gint next_id = 0;

static caller_record_t *
new_record (planned_t *planned)
{
  caller_record_t *record = g_new0 (caller_record_t, 1);

  record->caller = CALLER_KINDS;
  record->entry = planned->call.entry;
  record->deadline_ms = CALLERS_DEADLINE_MS;
  record->id = g_strdup_printf ("p%06d", g_atomic_int_add (&next_id, 1));
  record->path = g_strdup (planned->path);
  g_mutex_lock (&planned->all->lock);
  g_ptr_array_add (planned->all->records, record);
  g_mutex_unlock (&planned->all->lock);
  return record;
}

static void
append_head (GString *text, const planned_t *planned)
{
  g_string_append_printf (text,
                          "POST %s HTTP/1.1\r\nHost: %s\r\n" NODES_FIELD_ID
                          ": %s\r\n" NODES_FIELD_DEADLINE ": %d\r\n%s",
                          planned->path, planned->all->host,
                          planned->record->id, CALLERS_DEADLINE_MS,
                          planned->fields != NULL ? planned->fields : "");
}

static bool
send_at_once (planned_t *planned)
{
  char *body = node_upstreams_request_body (planned->record->id);
  GString *text = g_string_new (NULL);
  bool is_sent;

  append_head (text, planned);
  g_string_append_printf (text, "Content-Length: %zu\r\n\r\n%s", strlen (body),
                          body);
  is_sent = http_socket_send (planned->socket, text->str, text->len);
  g_string_free (text, TRUE);
  g_free (body);
  return is_sent;
}

/** Sends the body in pieces, and stops early if an answer comes first. */
static bool
send_in_pieces (planned_t *planned)
{
  char *body = node_upstreams_request_body (planned->record->id);
  size_t size = strlen (body) / PIECES + 1;
  GString *text = g_string_new (NULL);
  bool is_sent;

  append_head (text, planned);
  g_string_append (text, "Transfer-Encoding: chunked\r\n\r\n");
  is_sent = http_socket_send (planned->socket, text->str, text->len);
  for (const char *rest = body; *rest != '\0' && is_sent;
       rest += MIN (strlen (rest), size))
    {
      g_string_printf (text, "%zx\r\n%.*s\r\n", MIN (strlen (rest), size),
                       (int)size, rest);
      is_sent
          = !http_socket_wait (planned->socket, planned->call.body_ms / PIECES)
            && http_socket_send (planned->socket, text->str, text->len);
    }
  is_sent = is_sent && http_socket_send (planned->socket, "0\r\n\r\n", 5);
  g_string_free (text, TRUE);
  g_free (body);
  return is_sent;
}

static bool
is_right (const caller_record_t *record, const http_message_t *message)
{
  GString *body = node_upstreams_answer_body (record->path, record->id);
  char *id = http_message_field (message, NODES_FIELD_ID);
  bool is_equal
      = g_strcmp0 (id, record->id) == 0 && g_string_equal (body, message->body);

  g_string_free (body, TRUE);
  g_free (id);
  return is_equal;
}

static void
receive (planned_t *planned)
{
  caller_record_t *record = planned->record;
  int64_t until_us
      = record->begun_us + (int64_t)(CALLERS_DEADLINE_MS + PATIENCE_MS) * 1000;
  http_message_t message;

  http_socket_receive (planned->socket, until_us, &message);
  record->ended_us = g_get_monotonic_time ();
  record->status = message.status;
  record->is_whole = message.is_whole;
  record->got_bytes = message.body->len;
  if (message.is_whole)
    record->is_right = message.status != 200 || is_right (record, &message);
  http_message_clear (&message);
}

static gpointer
run (gpointer context)
{
  planned_t *planned = context;
  bool is_sent;

  cluster_sleep_ms (planned->call.begin_ms);
  planned->record = new_record (planned);
  planned->record->begun_us = g_get_monotonic_time ();
  is_sent = planned->call.body_ms > 0 ? send_in_pieces (planned)
                                      : send_at_once (planned);
  if (is_sent)
    planned->record->sent_us = g_get_monotonic_time ();
  receive (planned);
  http_socket_free (planned->socket);
  g_free (planned->path);
  g_free (planned->fields);
  g_free (planned);
  return NULL;
}

static http_socket_t *
connect_to_entry (const node_callers_t *all, int entry)
{
  char *address = nodes_address (all->options.nodes, NODES_ENTRY + entry, 3);
  http_socket_t *socket = http_socket_connect (address);

  g_free (address);
  return socket;
}

void
node_calls_add (node_callers_t *all,
                const node_call_t *call,
                uint32_t count,
                uint32_t apart_ms)
{
  for (uint32_t i = 0; i < count; i++)
    {
      planned_t *planned = g_new0 (planned_t, 1);

      planned->all = all;
      planned->call = *call;
      planned->call.begin_ms += i * apart_ms;
      planned->path = g_strdup (call->path);
      planned->fields = g_strdup (call->fields);
      planned->socket = connect_to_entry (all, call->entry);
      g_assert_nonnull (planned->socket);
      g_ptr_array_add (all->threads, g_thread_new ("call", run, planned));
    }
}

node_calls_count_t
node_calls_count (const node_callers_t *all, const char *path)
{
  node_calls_count_t count = { 0 };

  for (guint i = 0; i < all->records->len; i++)
    {
      const caller_record_t *record = g_ptr_array_index (all->records, i);

      if (!g_str_has_prefix (record->path, path))
        continue;
      count.requests++;
      count.served
          += record->is_whole && record->is_right && record->status == 200;
    }
  return count;
}
