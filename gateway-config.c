#include "gateway-config.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

struct gateway_index
{
  GHashTable *routes;    /* "host prefix" -> route */
  GHashTable *services;  /* name -> service */
  GHashTable *customers; /* key -> customer */
};

#define DEFAULT_MAX_HEAD_BYTES  (16u * 1024)
#define DEFAULT_MAX_BODY_BYTES  (4u * 1024 * 1024)
#define DEFAULT_HEAD_TIMEOUT_MS 3000
#define DEFAULT_IDLE_TIMEOUT_MS 15000

static int
free_index (gateway_index_t *index)
{
  g_hash_table_destroy (index->routes);
  g_hash_table_destroy (index->services);
  g_hash_table_destroy (index->customers);
  return 0;
}

gateway_config_t *
gateway_config_new (void *parent)
{
  gateway_config_t *config = talloc_zero (parent, gateway_config_t);
  gateway_index_t *index = talloc_zero (config, gateway_index_t);

  config->limits
      = (caller_limits_t){ .max_head_bytes = DEFAULT_MAX_HEAD_BYTES,
                           .max_body_bytes = DEFAULT_MAX_BODY_BYTES,
                           .head_timeout_ms = DEFAULT_HEAD_TIMEOUT_MS,
                           .idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS };
  index->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  index->services = g_hash_table_new (g_str_hash, g_str_equal);
  index->customers = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (index, free_index);
  config->index = index;
  return config;
}

/** Returns the index key of a route: the host in lower case without a port, and
 * the path prefix. The result is freed with g_free(). */
static char *
route_key (const char *host, const char *prefix, size_t prefix_bytes)
{
  char *name = g_ascii_strdown (host, (gssize)strcspn (host, ":"));
  char *key = g_strdup_printf ("%s %.*s", name, (int)prefix_bytes, prefix);

  g_free (name);
  return key;
}

static const char *
describe_error (gateway_config_t *config, const char *what, const char *name)
{
  return talloc_asprintf (config, "%s '%s'", what, name);
}

/** Returns an error message, or NULL if the targets of the route are valid. */
static const char *
check_targets (gateway_config_t *config, const gateway_route_t *route)
{
  uint64_t weight = 0;

  for (size_t i = 0; i < route->target_count; i++)
    {
      weight += route->targets[i].weight;
      if (gateway_config_service (config, route->targets[i].service) == NULL)
        return describe_error (config, "no such service for route",
                               route->name);
    }
  return weight == 0
             ? describe_error (config, "no weight in route", route->name)
             : NULL;
}

/** Checks a route and adds it to the index. */
static const char *
add_route (gateway_config_t *config, gateway_route_t *route)
{
  size_t length = strlen (route->path_prefix);
  char *key;

  if (length == 0 || route->path_prefix[0] != '/'
      || route->path_prefix[length - 1] != '/')
    return describe_error (
        config, "path prefix does not begin and end with slashes in route",
        route->name);
  if (route->timeout_ms == 0)
    return describe_error (config, "timeout of 0 in route", route->name);
  key = route_key (route->host, route->path_prefix, length);
  if (!g_hash_table_insert (config->index->routes, key, route))
    return describe_error (config,
                           "second route for the host and path prefix of route",
                           route->name);
  return check_targets (config, route);
}

/** Checks a customer and adds its keys to the index. */
static const char *
add_customer (gateway_config_t *config, gateway_customer_t *customer)
{
  for (size_t i = 0; i < customer->key_count; i++)
    {
      const gateway_customer_t *holder
          = gateway_config_customer (config, customer->keys[i]);

      if (holder != NULL && holder != customer)
        return describe_error (config, "key of another customer in customer",
                               customer->name);
      g_hash_table_insert (config->index->customers,
                           (gpointer)customer->keys[i], customer);
    }
  return NULL;
}

/** Lowers the shortest gap of the route's services to its gap target. */
static void
update_shortest_gaps (gateway_config_t *config, const gateway_route_t *route)
{
  for (size_t i = 0; i < route->target_count && route->gap_target_ms > 0; i++)
    {
      gateway_service_t *service = g_hash_table_lookup (
          config->index->services, route->targets[i].service);

      if (route->targets[i].weight > 0
          && (service->shortest_gap_ms == 0
              || route->gap_target_ms < service->shortest_gap_ms))
        service->shortest_gap_ms = route->gap_target_ms;
    }
}

const char *
gateway_config_finalize (gateway_config_t *config)
{
  const char *error = NULL;

  for (size_t i = 0; i < config->service_count && error == NULL; i++)
    if (!g_hash_table_insert (config->index->services,
                              (gpointer)config->services[i].name,
                              &config->services[i]))
      error
          = describe_error (config, "second service", config->services[i].name);
  for (size_t i = 0; i < config->route_count && error == NULL; i++)
    error = add_route (config, &config->routes[i]);
  for (size_t i = 0; i < config->route_count && error == NULL; i++)
    update_shortest_gaps (config, &config->routes[i]);
  for (size_t i = 0; i < config->customer_count && error == NULL; i++)
    error = add_customer (config, &config->customers[i]);
  return error;
}

const gateway_route_t *
gateway_config_route (const gateway_config_t *config,
                      const char *host,
                      const char *target)
{
  size_t length = strcspn (target, "?#");

  while (length > 0)
    {
      const gateway_route_t *route;
      char *key;

      if (target[length - 1] != '/')
        {
          length--;
          continue;
        }
      key = route_key (host, target, length);
      route = g_hash_table_lookup (config->index->routes, key);
      g_free (key);
      if (route != NULL)
        return route;
      length--;
    }
  return NULL;
}

const gateway_customer_t *
gateway_config_customer (const gateway_config_t *config, const char *key)
{
  return g_hash_table_lookup (config->index->customers, key);
}

const gateway_service_t *
gateway_config_service (const gateway_config_t *config, const char *name)
{
  return g_hash_table_lookup (config->index->services, name);
}

const gateway_service_t *
gateway_config_pick_service (const gateway_config_t *config,
                             const gateway_route_t *route,
                             uint32_t random)
{
  uint64_t total = 0;
  uint64_t position;

  for (size_t i = 0; i < route->target_count; i++)
    total += route->targets[i].weight;
  if (total == 0)
    return NULL;
  position = random % total;
  for (size_t i = 0; i < route->target_count; i++)
    {
      if (position < route->targets[i].weight)
        return gateway_config_service (config, route->targets[i].service);
      position -= route->targets[i].weight;
    }
  return NULL;
}
