#include <event2/event.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "membership-internal.h"
#define LOG_PART "gossip"
#include "logging.h"

#define URGENT_FLUSH_DELAY_MS 20
#define LOAD_FLUSH_DELAY_MS   250
#define CROSS_ZONE_BATCH_MS   200
#define ZONE_SYNC_INTERVAL_MS 5000
#define PING_INTERVAL_MS      2000 /* interval of discovery pings, once joined */
/* Time between rounds of discovery pings while joining. */
#define DISCOVERY_ROUND_MS  400
#define MAX_START_JITTER_MS 150
#define PINGS_PER_ROUND     3 /* number of pings per round while joining */
#define SYNC_TIMEOUT_MS     1500
/* Time without an answer to a discovery ping after which the instance completes
 * joining without the state of another instance. */
#define DISCOVERY_TIMEOUT_MS 1500
/* Time without an answer from the own zone after which an instance of another
 * zone is asked for its state. */
#define OTHER_ZONE_DELAY_MS 1000
/* Limit of records per message of a join answer. */
#define MAX_JOIN_RECORDS       200
#define MAX_JOIN_ANSWERS       4 /* per period; spreads simultaneous joins */
#define JOIN_ANSWERS_PERIOD_MS 1000

void
membership_message (const membership_t *membership, Lwm__Gossip *message)
{
  const Lwm__InstanceRecord *self = gossip_self (membership->gossip);

  lwm__gossip__init (message);
  message->from = self->instance;
  message->incarnation = self->incarnation;
}

void
membership_send (membership_t *membership,
                 const char *instance,
                 gossip_net_kind_t kind,
                 const Lwm__Gossip *message)
{
  const gossip_instance_t *to = gossip_instance (membership->gossip, instance);

  if (membership->net != NULL && to != NULL)
    gossip_net_send (membership->net,
                     zones_address (membership->gossip, to->record), kind,
                     message);
}

void
membership_send_zone (membership_t *membership,
                      gossip_net_kind_t kind,
                      const Lwm__Gossip *message)
{
  GPtrArray *others = zones_other_instances (
      membership->gossip, gossip_self (membership->gossip)->zone);
  GPtrArray *addresses = g_ptr_array_new ();

  for (guint i = 0; i < others->len; i++)
    g_ptr_array_add (addresses,
                     ((Lwm__InstanceRecord *)others->pdata[i])->gossip);
  if (membership->net != NULL)
    gossip_net_send_all (membership->net, (const char *const *)addresses->pdata,
                         addresses->len, kind, message);
  g_ptr_array_free (addresses, TRUE);
  g_ptr_array_free (others, TRUE);
}

void
membership_flush (membership_t *membership)
{
  void *scratch = talloc_new (NULL);
  Lwm__Gossip message;

  membership->flush_pending = FLUSH_NONE;
  membership_message (membership, &message);
  gossip_take_outbox (membership->gossip, scratch, &message);
  for (size_t i = 0; i < message.n_instances; i++)
    membership_announce_instance_to_other_zones (
        membership, message.instances[i]->instance);
  for (size_t i = 0; i < message.n_upstreams; i++)
    membership_announce_upstream_to_other_zones (
        membership, message.upstreams[i]->announcement->upstream);
  if (message.n_instances + message.n_upstreams + message.n_loads > 0)
    membership_send_zone (membership, GOSSIP_NET_DELTA, &message);
  talloc_free (scratch);
}

static bool
has_zone_peers (const membership_t *membership)
{
  GPtrArray *others = zones_other_instances (
      membership->gossip, gossip_self (membership->gossip)->zone);
  bool found = others->len > 0;

  g_ptr_array_free (others, TRUE);
  return found;
}

void
membership_schedule_flush (membership_t *membership)
{
  bool urgent = false;
  struct timeval wait = { 0 };

  if (!gossip_has_pending (membership->gossip, &urgent)
      || membership->flush_pending >= (urgent ? FLUSH_SOON : FLUSH_LATER))
    return;
  /* While joining without a peer in the zone, changes stay in the outbox. */
  if (membership->phase != JOIN_DONE && !has_zone_peers (membership))
    return;
  membership->flush_pending = urgent ? FLUSH_SOON : FLUSH_LATER;
  wait.tv_usec = (urgent ? URGENT_FLUSH_DELAY_MS : LOAD_FLUSH_DELAY_MS) * 1000;
  event_add (membership->flush, &wait);
}

void
membership_schedule_cross_zone (membership_t *membership)
{
  if (membership->net != NULL && membership->cross_zone_since_ms == 0
      && zones_is_delegate (membership->gossip))
    membership->cross_zone_since_ms = clock_mono_ms ();
}

static void
add_cross_zone_name (membership_t *membership,
                     GHashTable *set,
                     const char *name)
{
  if (membership->net == NULL || !zones_is_delegate (membership->gossip))
    return;
  g_hash_table_add (set, g_strdup (name));
  membership_schedule_cross_zone (membership);
}

void
membership_announce_instance_to_other_zones (membership_t *membership,
                                             const char *name)
{
  const gossip_instance_t *instance
      = gossip_instance (membership->gossip, name);

  if (instance != NULL
      && strcmp (instance->record->zone, gossip_self (membership->gossip)->zone)
             == 0)
    add_cross_zone_name (membership, membership->cross_zone_instances, name);
}

void
membership_announce_upstream_to_other_zones (membership_t *membership,
                                             const char *name)
{
  const gossip_upstream_t *upstream
      = gossip_upstream (membership->gossip, name);

  if (upstream != NULL && upstream->record != NULL
      && strcmp (upstream->record->announcement->zone,
                 gossip_self (membership->gossip)->zone)
             == 0)
    add_cross_zone_name (membership, membership->cross_zone_upstreams, name);
}

/** Sends a message to one random delegate of every other zone. */
static void
send_to_other_zones (membership_t *membership, const Lwm__Gossip *message)
{
  GHashTable *zones = gossip_zones (membership->gossip);
  const Lwm__InstanceRecord *self = gossip_self (membership->gossip);
  GHashTableIter iter;
  void *zone;

  g_hash_table_iter_init (&iter, zones);
  while (g_hash_table_iter_next (&iter, &zone, NULL))
    {
      const Lwm__InstanceRecord *delegates[ZONES_DELEGATES];
      size_t found = zones_delegates (membership->gossip, zone, delegates);
      gint32 pick;

      if (found == 0 || strcmp (zone, self->zone) == 0)
        continue;
      pick = g_rand_int_range (membership->rand, 0, (gint32)found);
      membership_send (membership, delegates[pick]->instance, GOSSIP_NET_ZONES,
                       message);
    }
  g_hash_table_destroy (zones);
}

/** Adds the own zone's hash and the revision to a message to other zones. */
static void
add_zone_state (membership_t *membership,
                void *scratch,
                Lwm__Gossip *message,
                Lwm__Revision *revision)
{
  const Lwm__InstanceRecord *self = gossip_self (membership->gossip);

  gossip_put_hash (membership->gossip, scratch, self->zone, false, message);
  /* The hash over all zones reveals zones unknown to the receiver. */
  message->state_hash = gossip_state_hash (membership->gossip, false);
  lwm__revision__init (revision);
  revision->number = revision_number (membership->revision);
  revision->digest = (char *)revision_digest (membership->revision);
  message->revision = revision;
}

static void
send_cross_zone_changes (membership_t *membership)
{
  void *scratch = talloc_new (NULL);
  Lwm__Gossip message;
  Lwm__Revision revision;
  GHashTableIter iter;
  void *name;

  membership_message (membership, &message);
  g_hash_table_iter_init (&iter, membership->cross_zone_instances);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      const gossip_instance_t *instance
          = gossip_instance (membership->gossip, name);

      if (instance != NULL)
        gossip_add_instance (scratch, &message, instance, false);
    }
  g_hash_table_iter_init (&iter, membership->cross_zone_upstreams);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      const gossip_upstream_t *upstream
          = gossip_upstream (membership->gossip, name);

      if (upstream != NULL && upstream->record != NULL)
        gossip_add_upstream (scratch, &message, upstream, false);
    }
  add_zone_state (membership, scratch, &message, &revision);
  send_to_other_zones (membership, &message);
  g_hash_table_remove_all (membership->cross_zone_instances);
  g_hash_table_remove_all (membership->cross_zone_upstreams);
  membership->cross_zone_since_ms = 0;
  talloc_free (scratch);
}

void
membership_tick_zones (membership_t *membership, uint64_t now_ms)
{
  if (membership->phase != JOIN_DONE || membership->net == NULL)
    return;
  if (membership->cross_zone_since_ms != 0
      && now_ms >= membership->cross_zone_since_ms + CROSS_ZONE_BATCH_MS)
    send_cross_zone_changes (membership);
  if (now_ms < membership->zone_sync_at_ms)
    return;
  membership->zone_sync_at_ms
      = now_ms
        + (uint64_t)g_rand_int_range (membership->rand,
                                      ZONE_SYNC_INTERVAL_MS * 3 / 4,
                                      ZONE_SYNC_INTERVAL_MS * 5 / 4);
  if (zones_is_delegate (membership->gossip))
    send_cross_zone_changes (membership);
}

/** Sends a discovery ping with the own record to an address. */
static void
send_discovery_ping (membership_t *membership, const char *address)
{
  void *scratch = talloc_new (NULL);
  Lwm__Gossip message;
  Lwm__Probe probe = LWM__PROBE__INIT;

  membership_message (membership, &message);
  probe.kind = LWM__PROBE_KIND__PROBE_PING;
  message.probe = &probe;
  gossip_add_instance (scratch, &message,
                       gossip_instance (membership->gossip, message.from),
                       false);
  gossip_net_send (membership->net, address, GOSSIP_NET_JOIN, &message);
  talloc_free (scratch);
}

static bool
is_live_address (const membership_t *membership, const char *address)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, gossip_instances (membership->gossip));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Lwm__InstanceRecord *record = ((gossip_instance_t *)value)->record;

      if (record->state < LWM__INSTANCE_STATE__DEAD
          && (strcmp (record->gossip, address) == 0
              || strcmp (record->gossip_outside, address) == 0))
        return true;
    }
  return false;
}

/** Returns addresses of possible unknown instances: seeds and dead members. */
static GPtrArray *
discovery_addresses (const membership_t *membership)
{
  GPtrArray *addresses = g_ptr_array_new ();
  const Lwm__InstanceRecord *self = gossip_self (membership->gossip);
  GHashTableIter iter;
  void *value;

  for (size_t i = 0; i < membership->options.seed_count; i++)
    if (!is_live_address (membership, membership->seeds[i]))
      g_ptr_array_add (addresses, membership->seeds[i]);
  g_hash_table_iter_init (&iter, gossip_instances (membership->gossip));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Lwm__InstanceRecord *record = ((gossip_instance_t *)value)->record;

      if (record->state == LWM__INSTANCE_STATE__DEAD
          && strcmp (record->zone, self->zone) == 0)
        g_ptr_array_add (addresses, record->gossip);
    }
  return addresses;
}

static void
send_discovery_pings (membership_t *membership, guint max_pings)
{
  GPtrArray *addresses = discovery_addresses (membership);

  while (addresses->len > 0 && max_pings-- > 0)
    {
      guint pick = (guint)g_rand_int_range (membership->rand, 0,
                                            (gint32)addresses->len);

      send_discovery_ping (membership, g_ptr_array_index (addresses, pick));
      g_ptr_array_remove_index_fast (addresses, pick);
    }
  g_ptr_array_free (addresses, TRUE);
}

static void
request_state (membership_t *membership, const char *instance, uint64_t now_ms)
{
  void *scratch = talloc_new (NULL);
  Lwm__Gossip message;

  membership_message (membership, &message);
  message.join = true;
  gossip_add_instance (scratch, &message,
                       gossip_instance (membership->gossip, message.from),
                       false);
  membership_send (membership, instance, GOSSIP_NET_JOIN, &message);
  membership->phase = JOIN_SYNCING;
  membership->phase_until_ms = now_ms + SYNC_TIMEOUT_MS;
  talloc_free (scratch);
}

void
membership_on_discovered (membership_t *membership,
                          const Lwm__InstanceRecord *by,
                          uint64_t now_ms)
{
  if (membership->phase != JOIN_DISCOVERING)
    return;
  if (strcmp (by->zone, gossip_self (membership->gossip)->zone) == 0)
    {
      request_state (membership, by->instance, now_ms);
      return;
    }
  talloc_free (membership->other_zone_instance);
  membership->other_zone_instance = talloc_strdup (membership, by->instance);
}

void
membership_joined (membership_t *membership, const char *how)
{
  if (membership->phase == JOIN_DONE)
    return;
  membership->phase = JOIN_DONE;
  /* Instances that do not know of this start yet learn of it now. */
  gossip_forward_instance (membership->gossip,
                           gossip_self (membership->gossip)->instance);
  membership_schedule_flush (membership);
  log_info ("Joined the cluster. how=\"%s\" instances=%u upstreams=%u", how,
            g_hash_table_size (gossip_instances (membership->gossip)),
            g_hash_table_size (gossip_upstreams (membership->gossip)));
}

static void
tick_discovery (membership_t *membership, uint64_t now_ms)
{
  uint64_t waited_ms = now_ms - membership->started_ms;

  if (membership->other_zone_instance != NULL
      && waited_ms >= OTHER_ZONE_DELAY_MS)
    {
      request_state (membership, membership->other_zone_instance, now_ms);
      TALLOC_FREE (membership->other_zone_instance);
      return;
    }
  if (waited_ms >= DISCOVERY_TIMEOUT_MS || membership->options.seed_count == 0)
    {
      membership_joined (membership, "no instance answered");
      return;
    }
  if (now_ms < membership->ping_at_ms)
    return;
  send_discovery_pings (membership, PINGS_PER_ROUND);
  membership->ping_at_ms = now_ms + DISCOVERY_ROUND_MS;
}

void
membership_tick_join (membership_t *membership, uint64_t now_ms)
{
  if (membership->net == NULL)
    {
      membership_joined (membership, "no gossip address");
      return;
    }
  if (membership->phase == JOIN_SYNCING && now_ms >= membership->phase_until_ms)
    {
      membership->phase = JOIN_DISCOVERING;
      membership->ping_at_ms = 0;
    }
  if (membership->phase == JOIN_DISCOVERING)
    {
      if (membership->ping_at_ms == 0)
        membership->ping_at_ms = now_ms
                                 + (uint64_t)g_rand_int_range (
                                     membership->rand, 1, MAX_START_JITTER_MS);
      tick_discovery (membership, now_ms);
      return;
    }
  if (membership->phase == JOIN_DONE && now_ms >= membership->ping_at_ms)
    {
      send_discovery_pings (membership, 1);
      membership->ping_at_ms = now_ms + PING_INTERVAL_MS;
    }
}

static void
flush_join_answer (membership_t *membership,
                   const char *to,
                   void **scratch,
                   Lwm__Gossip *message,
                   bool last)
{
  size_t records = message->n_instances + message->n_upstreams;

  if (!last && records < MAX_JOIN_RECORDS)
    return;
  message->joined = last;
  membership_send (membership, to, GOSSIP_NET_JOIN, message);
  talloc_free (*scratch);
  *scratch = talloc_new (NULL);
  membership_message (membership, message);
}

void
membership_answer_join (membership_t *membership,
                        const Lwm__InstanceRecord *to,
                        uint64_t now_ms)
{
  void *scratch;
  Lwm__Gossip message;
  GHashTableIter iter;
  void *value;

  if (now_ms >= membership->join_answers_since_ms + JOIN_ANSWERS_PERIOD_MS)
    {
      membership->join_answers_since_ms = now_ms;
      membership->join_answers = MAX_JOIN_ANSWERS;
    }
  if (membership->phase != JOIN_DONE || membership->join_answers == 0)
    return;
  membership->join_answers--;
  scratch = talloc_new (NULL);
  membership_message (membership, &message);
  g_hash_table_iter_init (&iter, gossip_instances (membership->gossip));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gossip_add_instance (scratch, &message, value, true);
      flush_join_answer (membership, to->instance, &scratch, &message, false);
    }
  g_hash_table_iter_init (&iter, gossip_upstreams (membership->gossip));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gossip_upstream_t *upstream = value;

      if (upstream->record != NULL && !upstream->record->gone)
        gossip_add_upstream (scratch, &message, upstream, true);
      flush_join_answer (membership, to->instance, &scratch, &message, false);
    }
  membership_put_evidence (membership, scratch, &message);
  flush_join_answer (membership, to->instance, &scratch, &message, true);
  talloc_free (scratch);
}
