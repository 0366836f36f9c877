#include "proxy.h"

#include <errno.h>
#include <event2/event.h>
#include <event2/util.h>
#include <string.h>
#include <talloc.h>

#include "proxy-private.h"

#define LISTEN_BACKLOG   1024
#define LISTENER_OPTIONS (LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE)

static const char *const cut_names[] = { "none", "in", "out", "both" };

const char *
proxy_cut_name (proxy_cut_t cut)
{
  return cut_names[cut];
}

bool
proxy_cut_from_name (const char *name, proxy_cut_t *cut)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cut_names); i++)
    if (strcmp (name, cut_names[i]) == 0)
      {
        *cut = (proxy_cut_t)i;
        return true;
      }
  return false;
}

static int
free_route (proxy_route_t *route)
{
  GList *connections = g_hash_table_get_keys (route->connections);

  /* Free the connections before the table: each removes itself from it. */
  for (GList *node = connections; node != NULL; node = node->next)
    talloc_free (node->data);
  g_list_free (connections);
  g_hash_table_destroy (route->connections);
  if (route->listener != NULL)
    evconnlistener_free (route->listener);
  return 0;
}

static bool
start_listening (proxy_route_t *route)
{
  struct sockaddr_storage address;
  int size = sizeof address;

  if (evutil_parse_sockaddr_port (route->listen, (struct sockaddr *)&address,
                                  &size)
      != 0)
    {
      errno = EINVAL;
      return false;
    }
  route->listener = evconnlistener_new_bind (
      route->proxy->options.base, proxy_connection_accept, route,
      LISTENER_OPTIONS, LISTEN_BACKLOG, (struct sockaddr *)&address, size);
  return route->listener != NULL;
}

proxy_route_t *
proxy_add_route (proxy_t *proxy,
                 const char *name,
                 const char *listen,
                 const char *target)
{
  proxy_route_t *route;

  if (proxy_route (proxy, name) != NULL)
    {
      errno = EEXIST;
      return NULL;
    }
  route = talloc_zero (proxy, proxy_route_t);
  route->proxy = proxy;
  route->name = talloc_strdup (route, name);
  route->listen = talloc_strdup (route, listen);
  route->target = talloc_strdup (route, target);
  route->target_size = sizeof route->target_address;
  route->connections = g_hash_table_new (NULL, NULL);
  talloc_set_destructor (route, free_route);
  if (evutil_parse_sockaddr_port (target,
                                  (struct sockaddr *)&route->target_address,
                                  &route->target_size)
          != 0
      || !start_listening (route))
    {
      int reason = errno;

      talloc_free (route);
      errno = reason;
      return NULL;
    }
  g_ptr_array_add (proxy->routes, route);
  return route;
}

proxy_route_t *
proxy_route (proxy_t *proxy, const char *name)
{
  for (guint i = 0; i < proxy->routes->len; i++)
    {
      proxy_route_t *route = g_ptr_array_index (proxy->routes, i);

      if (strcmp (route->name, name) == 0)
        return route;
    }
  return NULL;
}

void
proxy_each_route (proxy_t *proxy,
                  void (*visit) (proxy_route_t *route, void *context),
                  void *context)
{
  for (guint i = 0; i < proxy->routes->len; i++)
    visit (g_ptr_array_index (proxy->routes, i), context);
}

const char *
proxy_route_name (const proxy_route_t *route)
{
  return route->name;
}

const char *
proxy_route_listen (const proxy_route_t *route)
{
  return route->listen;
}

const char *
proxy_route_target (const proxy_route_t *route)
{
  return route->target;
}

proxy_faults_t
proxy_route_faults (const proxy_route_t *route)
{
  return route->faults;
}

proxy_counts_t
proxy_route_counts (const proxy_route_t *route)
{
  proxy_counts_t counts = route->counts;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, route->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      uint64_t in_bytes;
      uint64_t out_bytes;

      proxy_connection_held_bytes (key, &in_bytes, &out_bytes);
      counts.held_in_bytes += in_bytes;
      counts.held_out_bytes += out_bytes;
      counts.connections++;
    }
  return counts;
}

void
proxy_route_set_faults (proxy_route_t *route, const proxy_faults_t *faults)
{
  GList *connections = g_hash_table_get_keys (route->connections);

  route->faults = *faults;
  for (GList *node = connections; node != NULL; node = node->next)
    proxy_connection_apply_faults (node->data);
  g_list_free (connections);
}

void
proxy_route_reset (proxy_route_t *route)
{
  GList *connections = g_hash_table_get_keys (route->connections);

  for (GList *node = connections; node != NULL; node = node->next)
    proxy_connection_reset (node->data);
  g_list_free (connections);
}

static int
free_proxy (proxy_t *proxy)
{
  g_rand_free (proxy->random);
  g_ptr_array_free (proxy->routes, TRUE);
  return 0;
}

proxy_t *
proxy_new (void *parent, const proxy_options_t *options)
{
  proxy_t *proxy = talloc_zero (parent, proxy_t);

  proxy->options = *options;
  proxy->random = g_rand_new_with_seed ((guint32)options->seed);
  proxy->routes = g_ptr_array_new ();
  talloc_set_destructor (proxy, free_proxy);
  return proxy;
}
