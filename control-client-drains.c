/* The drained zones as a client knows them from the reports of replicas. */
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "control-client-internal.h"

/** Adds the zones of orders that may not be committed. Returns whether there
 * are new ones. */
static bool
add_uncommitted (control_client_t *client,
                 const Lwm__ControlDrainReport *report)
{
  bool is_changed = false;

  for (size_t i = 0; i < report->n_uncommitted; i++)
    if (g_hash_table_size (client->uncommitted_drains) < ZONE_DRAINS_MAX)
      is_changed = g_hash_table_add (client->uncommitted_drains,
                                     g_strdup (report->uncommitted[i]))
                   || is_changed;
  return is_changed;
}

/** Returns whether the drained zones may be passed on. Until a replica that is
 * up to date answers, a client that has just started waits for one. */
static bool
are_usable (const control_client_t *client)
{
  return client->knows_drains || client->confirmed_drains
         || client->started_ms + CONTROL_CLIENT_REJECT_STALE_MS
                < clock_mono_ms ();
}

static bool
has_name (char *const *names, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return true;
  return false;
}

static void
pass_on (control_client_t *client)
{
  const Lwm__ControlDrains *state = zone_drains_state (client->drains);
  void *scratch = talloc_new (client);
  control_drains_t drains
      = { .version = state->version, .is_confirmed = client->confirmed_drains };
  char **zones = zone_drains_names (scratch, state, &drains.count);
  GHashTableIter iter;
  gpointer name;

  zones = talloc_realloc (scratch, zones, char *,
                          (unsigned)drains.count
                              + g_hash_table_size (client->uncommitted_drains)
                              + 1);
  g_hash_table_iter_init (&iter, client->uncommitted_drains);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!has_name (zones, drains.count, name))
      zones[drains.count++] = name;
  drains.zones = zones;
  client->knows_drains = true;
  client->options.on_drains (&drains, client->options.context);
  talloc_free (scratch);
}

/** Returns whether a report may be used: of a new group that was started after
 * the loss of the old one, a replica that is up to date must have told. */
static bool
is_of_group (const control_client_t *client,
             const Lwm__ControlDrainReport *report)
{
  return client->drains_group == 0 || client->drains_group == report->group
         || !report->behind;
}

/** Stores a state if it is later than the known one, or of a new group. Returns
 * whether it is. */
static bool
store_state (control_client_t *client, const Lwm__ControlDrainReport *report)
{
  bool is_later
      = report->drains->version > zone_drains_state (client->drains)->version;
  bool is_new_group
      = client->drains_group != 0 && client->drains_group != report->group;

  client->drains_group = report->group;
  if (is_later || is_new_group)
    zone_drains_restore (client->drains, report->drains);
  return is_later || is_new_group;
}

/** Records that a replica that is up to date has reported the known state.
 * Returns whether it is the first one. */
static bool
confirm_state (control_client_t *client)
{
  if (client->confirmed_drains)
    return false;
  client->confirmed_drains = true;
  g_hash_table_remove_all (client->uncommitted_drains);
  return true;
}

void
control_client_accept_drains (control_client_t *client,
                              const Lwm__ControlDrainReport *report)
{
  bool is_changed;

  if (client->options.on_drains == NULL || report->drains == NULL
      || !is_of_group (client, report))
    return;
  is_changed = store_state (client, report);
  if (!client->confirmed_drains && report->behind)
    is_changed = add_uncommitted (client, report) || is_changed;
  if (!report->behind
      && report->drains->version == zone_drains_state (client->drains)->version)
    is_changed = confirm_state (client) || is_changed;
  if ((is_changed || !client->knows_drains) && are_usable (client))
    pass_on (client);
}
