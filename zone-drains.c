#include "zone-drains.h"

#include <stdbool.h>
#include <string.h>
#include <talloc.h>

struct zone_drains
{
  Lwm__ControlDrains state;
  Lwm__ControlZoneDrain *zones[ZONE_DRAINS_MAX]; /* children of drains */
};

zone_drains_t *
zone_drains_new (void *parent)
{
  zone_drains_t *drains = talloc_zero (parent, zone_drains_t);

  lwm__control_drains__init (&drains->state);
  drains->state.zones = drains->zones;
  return drains;
}

static Lwm__ControlZoneDrain *
find_zone (const zone_drains_t *drains, const char *zone)
{
  for (size_t i = 0; i < drains->state.n_zones; i++)
    if (strcmp (drains->zones[i]->zone, zone) == 0)
      return drains->zones[i];
  return NULL;
}

/** Adds a zone that is not drained; returns NULL when the table is full. */
static Lwm__ControlZoneDrain *
add_zone (zone_drains_t *drains, const char *zone)
{
  Lwm__ControlZoneDrain *drain;

  if (drains->state.n_zones == ZONE_DRAINS_MAX)
    return NULL;
  drain = talloc (drains, Lwm__ControlZoneDrain);
  lwm__control_zone_drain__init (drain);
  drain->zone = talloc_strdup (drain, zone);
  drains->zones[drains->state.n_zones++] = drain;
  return drain;
}

Lwm__ControlResult
zone_drains_apply (zone_drains_t *drains,
                   uint64_t index,
                   const Lwm__ControlZoneOrder *order,
                   Lwm__ControlZoneDrain **current)
{
  Lwm__ControlZoneDrain *drain = find_zone (drains, order->zone);
  bool was_drained = drain != NULL && drain->drained;

  *current = drain;
  if (*order->zone == '\0' || strlen (order->zone) > ZONE_DRAINS_MAX_NAME_BYTES)
    return LWM__CONTROL_RESULT__RESULT_BAD_REQUEST;
  if (order->known_index != (drain != NULL ? drain->index : 0))
    return LWM__CONTROL_RESULT__RESULT_CONFLICT;
  if (drain == NULL)
    drain = add_zone (drains, order->zone);
  if (drain == NULL)
    return LWM__CONTROL_RESULT__RESULT_LIMIT;
  drain->drained = order->drained;
  drain->index = drains->state.version = index;
  *current = drain;
  return was_drained == drain->drained ? LWM__CONTROL_RESULT__RESULT_SAME
                                       : LWM__CONTROL_RESULT__RESULT_OK;
}

Lwm__ControlDrains *
zone_drains_state (zone_drains_t *drains)
{
  return &drains->state;
}

void
zone_drains_restore (zone_drains_t *drains, const Lwm__ControlDrains *state)
{
  for (size_t i = 0; i < drains->state.n_zones; i++)
    talloc_free (drains->zones[i]);
  drains->state.n_zones = 0;
  drains->state.version = state != NULL ? state->version : 0;
  for (size_t i = 0; state != NULL && i < state->n_zones; i++)
    {
      Lwm__ControlZoneDrain *drain = add_zone (drains, state->zones[i]->zone);

      if (drain == NULL)
        return;
      drain->drained = state->zones[i]->drained;
      drain->index = state->zones[i]->index;
    }
}

char **
zone_drains_names (void *parent, const Lwm__ControlDrains *state, size_t *count)
{
  char **names = talloc_array (parent, char *, (unsigned)state->n_zones + 1);

  *count = 0;
  for (size_t i = 0; i < state->n_zones; i++)
    if (state->zones[i]->drained)
      names[(*count)++] = talloc_strdup (names, state->zones[i]->zone);
  return names;
}

char *
zone_drains_text (void *parent, char *const *names, size_t count)
{
  char *text = talloc_strdup (parent, count == 0 ? "none" : names[0]);

  for (size_t i = 1; i < count; i++)
    text = talloc_asprintf_append_buffer (text, ",%s", names[i]);
  return text;
}
