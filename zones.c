#include "zones.h"

#include <string.h>
#include <xxhash.h>

static bool
is_instance_live (const Lwm__InstanceRecord *record)
{
  return record->state < LWM__INSTANCE_STATE__DEAD;
}

static uint64_t
rendezvous_weight (const Lwm__InstanceRecord *record)
{
  return XXH64 (record->instance, strlen (record->instance),
                XXH64 (record->zone, strlen (record->zone), 0));
}

size_t
zones_delegates (const gossip_t *gossip,
                 const char *zone,
                 const Lwm__InstanceRecord *delegates[ZONES_DELEGATES])
{
  size_t found = 0;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, gossip_instances (gossip));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Lwm__InstanceRecord *record = ((gossip_instance_t *)value)->record;
      size_t position = found;

      if (!is_instance_live (record) || strcmp (record->zone, zone) != 0)
        continue;
      while (position > 0
             && rendezvous_weight (delegates[position - 1])
                    < rendezvous_weight (record))
        position--;
      if (position == ZONES_DELEGATES)
        continue;
      found = MIN (found + 1, (size_t)ZONES_DELEGATES);
      for (size_t j = found - 1; j > position; j--)
        delegates[j] = delegates[j - 1];
      delegates[position] = record;
    }
  return found;
}

bool
zones_is_delegate (const gossip_t *gossip)
{
  const Lwm__InstanceRecord *delegates[ZONES_DELEGATES];
  const Lwm__InstanceRecord *self = gossip_self (gossip);
  size_t found = zones_delegates (gossip, self->zone, delegates);

  for (size_t i = 0; i < found; i++)
    if (delegates[i] == self)
      return true;
  return false;
}

const char *
zones_address (const gossip_t *gossip, const Lwm__InstanceRecord *record)
{
  bool same_zone = strcmp (record->zone, gossip_self (gossip)->zone) == 0;

  return same_zone || record->gossip_outside[0] == '\0'
             ? record->gossip
             : record->gossip_outside;
}

GPtrArray *
zones_other_instances (const gossip_t *gossip, const char *zone)
{
  GPtrArray *others = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, gossip_instances (gossip));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Lwm__InstanceRecord *record = ((gossip_instance_t *)value)->record;

      if (is_instance_live (record) && record != gossip_self (gossip)
          && (zone == NULL || strcmp (record->zone, zone) == 0))
        g_ptr_array_add (others, record);
    }
  return others;
}
