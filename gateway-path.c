#include <string.h>
#include <talloc.h>

#include "base.h"
#include "connect-probe.h"
#include "gateway-internal.h"
#include "settings.h"

/** Time that a probe waits: an upstream is at most a slow round trip away. */
#define PROBE_TIMEOUT_MS 400
#define MAX_TUNNELS      128u
#define MAX_IP_BYTES     64

static void
on_path_change (bool is_cut, void *context)
{
  gateway_t *gateway = context;

  /* The idle ones may be dead without a sign of it. */
  if (is_cut)
    exchange_pool_close_all_idle (gateway->pool);
}

upstream_path_t *
gateway_new_path (gateway_t *gateway)
{
  upstream_path_options_t options = { .seed = random_id (),
                                      .on_change = on_path_change,
                                      .context = gateway,
                                      .metrics = gateway->options.metrics };

  return upstream_path_new (gateway, &options);
}

static bool
may_relay (void *context)
{
  const gateway_t *gateway = context;

  return !gateway->is_draining && !upstream_path_is_cut (gateway->path);
}

/** Returns the key of the upstream at an address that may be used again, 0 if
 * there is none. */
static uint64_t
find_upstream (const char *address, void *context)
{
  const gateway_t *gateway = context;
  size_t count;
  const upstream_member_t *const *members
      = upstream_set_members (gateway->set, &count);
  uint64_t found = 0;

  for (size_t i = 0; i < count; i++)
    if (strcmp (members[i]->address, address) == 0
        && (found == 0 || members[i]->is_usable))
      found = members[i]->key;
  return found;
}

static void
on_connect (uint64_t upstream, bool is_connected, void *context)
{
  gateway_t *gateway = context;

  upstream_path_record (gateway->path, upstream, is_connected,
                        clock_mono_ms ());
}

/** Returns the address at which the instance with @a address accepts tunnels, a
 * child of @a parent; NULL if there is none. */
static char *
tunnel_address (const gateway_t *gateway, void *parent, const char *address)
{
  char ip[MAX_IP_BYTES];
  uint16_t port;

  if (gateway->options.tunnel_port == 0
      || !settings_split_address (address, ip, &port))
    return NULL;
  return talloc_asprintf (parent, "%s:%u", ip, gateway->options.tunnel_port);
}

bool
gateway_open_tunnels (gateway_t *gateway)
{
  tunnel_server_options_t options = { .base = gateway->options.base,
                                      .max_tunnels = MAX_TUNNELS,
                                      .may_relay = may_relay,
                                      .find_upstream = find_upstream,
                                      .on_connect = on_connect,
                                      .context = gateway,
                                      .metrics = gateway->options.metrics };

  if (gateway->options.tunnel_port == 0)
    return true;
  options.listen
      = tunnel_address (gateway, gateway, gateway->options.share_listen);
  gateway->tunnels = tunnel_server_new (gateway, &options);
  return gateway->tunnels != NULL;
}

void
gateway_add_instances (gateway_t *gateway,
                       char *const *addresses,
                       char *const *zones,
                       size_t count)
{
  zone_placement_add_instances (gateway->placement, addresses, zones, count);
  for (size_t i = 0; i < count; i++)
    {
      char *address = tunnel_address (gateway, NULL, addresses[i]);

      if (address != NULL
          && strcmp (addresses[i], gateway->options.share_listen) != 0)
        upstream_path_add_relay (gateway->path, address,
                                 strcmp (zones[i], gateway->options.zone) == 0);
      talloc_free (address);
    }
}

/** Returns whether a probe of an upstream would show something new. */
static bool
is_worth_probe (const gateway_t *gateway, const upstream_member_t *member)
{
  return member->is_usable
         && (upstream_path_is_cut (gateway->path)
             || upstream_path_has_failed (gateway->path, member->key)
                    != upstream_path_is_doubtful (gateway->path));
}

/** Returns an upstream to be probed, NULL if there is none. */
static const upstream_member_t *
choose_probed (const gateway_t *gateway)
{
  size_t count;
  const upstream_member_t *const *members
      = upstream_set_members (gateway->set, &count);
  uint64_t first = random_id ();

  for (size_t i = 0; i < count; i++)
    {
      const upstream_member_t *member = members[(first + i) % count];

      if (is_worth_probe (gateway, member))
        return member;
    }
  return NULL;
}

void
gateway_probe_path (gateway_t *gateway)
{
  connect_probe_options_t options = { .base = gateway->options.base,
                                      .timeout_ms = PROBE_TIMEOUT_MS,
                                      .done = on_connect,
                                      .context = gateway };
  const upstream_member_t *member;

  if (!upstream_path_takes_probe (gateway->path, clock_mono_ms ()))
    return;
  member = choose_probed (gateway);
  if (member == NULL)
    return;
  options.address = member->address;
  options.key = member->key;
  connect_probe_new (gateway->path, &options);
}
