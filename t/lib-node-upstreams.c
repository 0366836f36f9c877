#include <event2/util.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib-node-upstreams-internal.h"
#include "lib-node-work.h"

#define LISTEN_BACKLOG  256
#define ANNOUNCE_MS     500
#define UPSTREAM_OFFSET 4 /* of its port */
#define ENGINE_OFFSET   5

/** The service of each upstream, and where it listens. */
static const struct
{
  const char *service;
  int machine; /* after the entry instances */
  int offset;  /* of its port */
} places[NODE_UPSTREAMS_MAX]
    = { { "s", 0, UPSTREAM_OFFSET }, { "s", 1, UPSTREAM_OFFSET },
        { "s", 2, UPSTREAM_OFFSET }, { "p", 3, UPSTREAM_OFFSET },
        { "e", 0, ENGINE_OFFSET },   { "e", 1, ENGINE_OFFSET },
        { "e", 2, ENGINE_OFFSET } };

#define WITHOUT_ENGINES 4

bool
node_upstreams_is_over (node_upstreams_t *all)
{
  return g_atomic_int_get (&all->is_over) != 0;
}

char *
node_upstreams_request_body (const char *id)
{
  return g_strdup_printf ("%s.", id);
}

GString *
node_upstreams_answer_body (const char *path, const char *id)
{
  node_work_t work = node_work_parse (path);
  GString *text = g_string_new (NULL);

  if (!work.is_stream)
    g_string_printf (text, "answer to %s", id);
  for (uint32_t i = 1; i <= work.events; i++)
    node_work_append_event (text, &work, i);
  return text;
}

node_run_t *
node_upstreams_record (node_upstreams_t *all, const char *id)
{
  node_run_t *run = g_hash_table_lookup (all->runs, id);

  if (run == NULL)
    {
      run = g_new0 (node_run_t, 1);
      g_hash_table_insert (all->runs, g_strdup (id), run);
    }
  return run;
}

node_run_t
node_upstreams_find_run (node_upstreams_t *all, const char *id)
{
  node_run_t run;

  g_mutex_lock (&all->lock);
  run = *node_upstreams_record (all, id);
  g_mutex_unlock (&all->lock);
  return run;
}

void
node_upstreams_set_leaving (node_upstreams_t *all, int index, bool is_leaving)
{
  g_atomic_int_set (&all->upstreams[index].is_leaving, is_leaving);
}

int
node_upstreams_runs (node_upstreams_t *all, int index)
{
  return g_atomic_int_get (&all->upstreams[index].runs);
}

static gpointer
accept_connections (gpointer context)
{
  node_upstream_t *upstream = context;
  http_socket_t *listener = http_socket_new (upstream->listener);

  while (!node_upstreams_is_over (upstream->all))
    {
      int fd;

      if (!http_socket_wait (listener, NODE_UPSTREAMS_LOOK_MS))
        continue;
      fd = accept4 (upstream->listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd >= 0)
        node_serve_connection (upstream, fd);
    }
  http_socket_free (listener);
  return NULL;
}

static int
open_listener (const char *address)
{
  struct sockaddr_in own;
  int size = sizeof own;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  evutil_parse_sockaddr_port (address, (struct sockaddr *)&own, &size);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&own, (socklen_t)size), ==, 0);
  g_assert_cmpint (listen (fd, LISTEN_BACKLOG), ==, 0);
  return fd;
}

static void
announce (node_upstream_t *upstream, int control)
{
  nodes_announcement_t announcement
      = { .id = upstream->id,
          .service = upstream->service,
          .address = upstream->address,
          .slots = upstream->slots,
          .sequence = ++upstream->sequence,
          .is_leaving = g_atomic_int_get (&upstream->is_leaving) != 0 };

  nodes_announce (upstream->all->options.nodes, control, &announcement);
}

static gpointer
announce_all (gpointer context)
{
  node_upstreams_t *all = context;

  while (!node_upstreams_is_over (all))
    {
      for (int i = 0; i < all->count; i++)
        announce (&all->upstreams[i], i % NODES_CONTROLS);
      cluster_sleep_ms (ANNOUNCE_MS);
    }
  return NULL;
}

static void
start_upstream (node_upstreams_t *all, int index)
{
  node_upstream_t *upstream = &all->upstreams[index];
  const nodes_t *nodes = all->options.nodes;
  int machine = NODES_ENTRY + nodes->entries + places[index].machine;

  upstream->all = all;
  upstream->service = places[index].service;
  upstream->slots = all->options.slots;
  snprintf (upstream->id, sizeof upstream->id, "i-%d", index);
  upstream->address = nodes_address (nodes, machine, places[index].offset);
  upstream->listener = open_listener (upstream->address);
  upstream->thread = g_thread_new ("accept", accept_connections, upstream);
}

node_upstreams_t *
node_upstreams_new_with (const node_upstreams_options_t *options)
{
  node_upstreams_t *all = g_new0 (node_upstreams_t, 1);

  all->options = *options;
  all->count = options->has_engines ? NODE_UPSTREAMS_MAX : WITHOUT_ENGINES;
  all->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  all->tickets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_mutex_init (&all->lock);
  for (int i = 0; i < all->count; i++)
    start_upstream (all, i);
  all->announcer = g_thread_new ("announce", announce_all, all);
  return all;
}

node_upstreams_t *
node_upstreams_new (const nodes_t *nodes, int slots)
{
  node_upstreams_options_t options = { .nodes = nodes, .slots = slots };

  return node_upstreams_new_with (&options);
}

void
node_upstreams_free (node_upstreams_t *all)
{
  g_atomic_int_set (&all->is_over, 1);
  g_thread_join (all->announcer);
  for (int i = 0; i < all->count; i++)
    {
      g_thread_join (all->upstreams[i].thread);
      g_free (all->upstreams[i].address);
    }
  while (g_atomic_int_get (&all->connections) > 0)
    cluster_sleep_ms (NODE_UPSTREAMS_LOOK_MS);
  g_hash_table_destroy (all->runs);
  g_hash_table_destroy (all->tickets);
  g_mutex_clear (&all->lock);
  g_free (all);
}
