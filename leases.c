#include "leases.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#define MAX_NAME_BYTES 128

struct leases
{
  GHashTable *table; /* upstream -> Lwm__ControlLease, children of leases */
  uint64_t last_fencing;
};

static int
free_leases (leases_t *leases)
{
  g_hash_table_destroy (leases->table);
  return 0;
}

leases_t *
leases_new (void *parent)
{
  leases_t *leases = talloc_zero (parent, leases_t);

  leases->table = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (leases, free_leases);
  return leases;
}

void
leases_restore_fencing (leases_t *leases, uint64_t last_fencing)
{
  leases->last_fencing = last_fencing;
}

void
leases_restore (leases_t *leases, const Lwm__ControlLease *lease)
{
  Lwm__ControlLease *copy = talloc (leases, Lwm__ControlLease);
  Lwm__ControlLease *old = g_hash_table_lookup (leases->table, lease->upstream);

  lwm__control_lease__init (copy);
  copy->upstream = talloc_strdup (copy, lease->upstream);
  copy->holder = talloc_strdup (copy, lease->holder);
  copy->fencing = lease->fencing;
  copy->expires_ms = lease->expires_ms;
  g_hash_table_replace (leases->table, copy->upstream, copy);
  talloc_free (old);
}

void
leases_expire (leases_t *leases, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leases->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Lwm__ControlLease *lease = value;

      if (lease->expires_ms + LEASES_MAX_IN_FLIGHT_MS > now_ms)
        continue;
      g_hash_table_iter_remove (&iter);
      talloc_free (lease);
    }
}

/** Returns the time from which another holder may get the lease. */
static uint64_t
available_at_ms (const Lwm__ControlLease *lease,
                 const Lwm__ControlLeaseTake *take)
{
  return take->checks_fencing ? 0 : lease->expires_ms + take->max_delay_ms;
}

static Lwm__ControlResult
grant_lease (leases_t *leases,
             const Lwm__ControlLeaseTake *take,
             uint64_t now_ms,
             Lwm__ControlLease **current)
{
  Lwm__ControlLease lease = LWM__CONTROL_LEASE__INIT;

  if (*current == NULL && leases_count (leases) >= LEASES_MAX)
    leases_expire (leases, now_ms);
  if (*current == NULL && leases_count (leases) >= LEASES_MAX)
    return LWM__CONTROL_RESULT__RESULT_LIMIT;
  lease.upstream = take->upstream;
  lease.holder = take->holder;
  lease.fencing = ++leases->last_fencing;
  lease.expires_ms = now_ms + take->ttl_ms;
  leases_restore (leases, &lease);
  *current = g_hash_table_lookup (leases->table, take->upstream);
  return LWM__CONTROL_RESULT__RESULT_OK;
}

static Lwm__ControlResult
renew_lease (Lwm__ControlLease *lease,
             const Lwm__ControlLeaseTake *take,
             uint64_t now_ms)
{
  lease->expires_ms = MAX (lease->expires_ms, now_ms + take->ttl_ms);
  return LWM__CONTROL_RESULT__RESULT_OK;
}

Lwm__ControlResult
leases_take (leases_t *leases,
             const Lwm__ControlLeaseTake *take,
             uint64_t now_ms,
             Lwm__ControlLease **current,
             uint32_t *wait_ms)
{
  Lwm__ControlLease *lease
      = g_hash_table_lookup (leases->table, take->upstream);

  *current = lease;
  *wait_ms = 0;
  if (*take->upstream == '\0' || strlen (take->upstream) > MAX_NAME_BYTES
      || *take->holder == '\0' || strlen (take->holder) > MAX_NAME_BYTES
      || take->ttl_ms == 0 || take->ttl_ms > LEASES_MAX_TTL_MS
      || take->max_delay_ms > LEASES_MAX_IN_FLIGHT_MS)
    return LWM__CONTROL_RESULT__RESULT_BAD_REQUEST;
  if (lease == NULL)
    return grant_lease (leases, take, now_ms, current);
  /* A holder whose lease has ended gets a new one with a new fencing number. */
  if (strcmp (lease->holder, take->holder) == 0)
    return lease->expires_ms > now_ms
               ? renew_lease (lease, take, now_ms)
               : grant_lease (leases, take, now_ms, current);
  if (available_at_ms (lease, take) <= now_ms)
    return grant_lease (leases, take, now_ms, current);
  *wait_ms = (uint32_t)(available_at_ms (lease, take) - now_ms);
  return LWM__CONTROL_RESULT__RESULT_HELD;
}

Lwm__ControlResult
leases_drop (leases_t *leases,
             const Lwm__ControlLeaseDrop *drop,
             uint64_t now_ms)
{
  Lwm__ControlLease *lease
      = g_hash_table_lookup (leases->table, drop->upstream);

  if (lease == NULL)
    return LWM__CONTROL_RESULT__RESULT_OK;
  if (strcmp (lease->holder, drop->holder) != 0
      || lease->fencing != drop->fencing)
    return LWM__CONTROL_RESULT__RESULT_NOT_OWNER;
  lease->expires_ms = MIN (lease->expires_ms, now_ms);
  return LWM__CONTROL_RESULT__RESULT_OK;
}

size_t
leases_count (const leases_t *leases)
{
  return g_hash_table_size (leases->table);
}

uint64_t
leases_last_fencing (const leases_t *leases)
{
  return leases->last_fencing;
}

Lwm__ControlLease **
leases_list (const leases_t *leases, void *parent, size_t *count)
{
  Lwm__ControlLease **list = talloc_array (
      parent, Lwm__ControlLease *, g_hash_table_size (leases->table) + 1);
  GHashTableIter iter;
  gpointer value;

  *count = 0;
  g_hash_table_iter_init (&iter, leases->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    list[(*count)++] = value;
  return list;
}
