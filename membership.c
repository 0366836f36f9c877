#include "membership.h"

#include <event2/event.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "membership-internal.h"
#define LOG_PART "gossip"
#include "logging.h"

#define TICK_MS    100
#define REFRESH_MS 10000 /* time between reports of upstreams from gossip */
/* Time after the start of the instance. From then on it serves with the
 * revision that it has, even if another instance has a higher one. */
#define READY_LIMIT_MS  10000
#define FETCH_JITTER_MS 600

/* --- changed records --- */

static void
update_recorders (membership_t *membership)
{
  const Lwm__InstanceRecord *self = gossip_self (membership->gossip);
  GPtrArray *others = zones_other_instances (membership->gossip, self->zone);

  for (guint i = 0; i < others->len; i++)
    others->pdata[i] = ((Lwm__InstanceRecord *)others->pdata[i])->instance;
  owners_set_live (membership->owners, (const char *const *)others->pdata,
                   others->len);
  g_ptr_array_free (others, TRUE);
}

static void
update_zone_member (membership_t *membership,
                    const Lwm__InstanceRecord *record,
                    bool is_new)
{
  if (record->state >= LWM__INSTANCE_STATE__DEAD)
    {
      failure_remove (membership->failure, record->instance);
      owners_report_dead_owner (membership->owners, record->instance,
                                record->incarnation);
    }
  else if (record->state == LWM__INSTANCE_STATE__ALIVE)
    {
      failure_put (membership->failure, record->instance, record->incarnation,
                   record->version);
      if (is_new)
        owners_report_dead_owner (membership->owners, record->instance,
                                  record->incarnation - 1);
    }
  update_recorders (membership);
}

static void
update_self (membership_t *membership, const Lwm__InstanceRecord *self)
{
  if (self->incarnation == membership->incarnation)
    return;
  membership->incarnation = self->incarnation;
  owners_set_incarnation (membership->owners, self->incarnation);
  if (membership->options.on_incarnation != NULL)
    membership->options.on_incarnation (self->incarnation,
                                        membership->options.context);
}

static void
on_instance (const gossip_instance_t *instance,
             Lwm__InstanceState before,
             bool is_new,
             void *context)
{
  membership_t *membership = context;
  const Lwm__InstanceRecord *record = instance->record;
  const Lwm__InstanceRecord *self = gossip_self (membership->gossip);
  bool is_up = record->state < LWM__INSTANCE_STATE__DEAD;
  bool was_up = before < LWM__INSTANCE_STATE__DEAD;

  if (record == self)
    {
      update_self (membership, record);
      return;
    }
  if (strcmp (record->zone, self->zone) == 0)
    update_zone_member (membership, record, is_new);
  if (is_up == was_up && !is_new)
    return;
  log_info ("Instance %s. instance=%s zone=%s", is_up ? "up" : "down",
            record->instance, record->zone);
  if (membership->options.on_instance != NULL)
    membership->options.on_instance (record, is_up,
                                     membership->options.context);
}

/** Sets the load: a recent direct one, or else the published one. */
static void
fill_upstream_load (membership_upstream_t *view,
                    const gossip_upstream_t *upstream,
                    uint64_t now_ms)
{
  bool is_direct = gossip_hears_directly (upstream, now_ms);
  const Lwm__Load *load = is_direct && upstream->direct_load != NULL
                              ? upstream->direct_load
                              : upstream->load;

  if (load == NULL)
    return;
  view->has_load = true;
  view->running = load->running;
  view->waiting_tokens = load->waiting_tokens;
  view->kv_used_tokens = load->kv_used_tokens;
  view->load_age_ms = now_ms
                      - (load == upstream->load ? upstream->load_at_ms
                                                : upstream->direct_load_ms);
}

static void
on_upstream (const gossip_upstream_t *upstream,
             bool is_gone,
             bool direct,
             void *context)
{
  membership_t *membership = context;
  uint64_t now_ms = clock_mono_ms ();
  membership_upstream_t view
      = { .announcement = gossip_effective_announcement (upstream, now_ms),
          .direct = direct };

  if (view.announcement == NULL)
    return;
  if (is_gone)
    {
      if (membership->options.on_upstream_gone != NULL)
        membership->options.on_upstream_gone (view.announcement->upstream,
                                              view.announcement->incarnation,
                                              membership->options.context);
      return;
    }
  fill_upstream_load (&view, upstream, now_ms);
  if (membership->options.on_upstream != NULL)
    membership->options.on_upstream (&view, membership->options.context);
}

/** Reports upstreams known by gossip again, as the registry expires them. */
static void
refresh_upstreams (membership_t *membership, uint64_t now_ms)
{
  GHashTableIter iter;
  void *value;

  if (now_ms < membership->refresh_at_ms)
    return;
  membership->refresh_at_ms = now_ms + REFRESH_MS;
  g_hash_table_iter_init (&iter, gossip_upstreams (membership->gossip));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gossip_upstream_t *upstream = value;

      if (!upstream->reported_gone && !gossip_hears_directly (upstream, now_ms))
        on_upstream (upstream, false, false, membership);
    }
}

/* --- failure detection --- */

static void
send_probe (const char *to,
            Lwm__ProbeKind kind,
            uint32_t sequence,
            const char *target,
            void *context)
{
  membership_t *membership = context;
  Lwm__Gossip message;
  Lwm__Probe probe = LWM__PROBE__INIT;

  membership_message (membership, &message);
  probe.kind = kind;
  probe.sequence = sequence;
  if (target != NULL)
    probe.target = (char *)target;
  message.probe = &probe;
  if (kind == LWM__PROBE_KIND__PROBE_PING)
    message.state_hash = gossip_state_hash (membership->gossip, true);
  membership_send (membership, to, GOSSIP_NET_PROBE, &message);
}

static void
on_suspect (const char *instance,
            uint64_t incarnation,
            uint32_t version,
            void *context)
{
  membership_t *membership = context;
  Lwm__Suspicion suspicion = LWM__SUSPICION__INIT;
  Lwm__Suspicion *list[1] = { &suspicion };
  Lwm__Gossip message;

  log_info ("Instance suspected. instance=%s", instance);
  membership_message (membership, &message);
  suspicion.instance = (char *)instance;
  suspicion.incarnation = incarnation;
  suspicion.version = version;
  suspicion.by = message.from;
  message.suspicions = list;
  message.n_suspicions = 1;
  gossip_mark_instance (membership->gossip, instance, incarnation, version,
                        LWM__INSTANCE_STATE__SUSPECT, clock_mono_ms ());
  membership_send_zone (membership, GOSSIP_NET_PROBE, &message);
}

static void
on_dead (const char *instance,
         uint64_t incarnation,
         uint32_t version,
         void *context)
{
  membership_t *membership = context;

  gossip_mark_instance (membership->gossip, instance, incarnation, version,
                        LWM__INSTANCE_STATE__DEAD, clock_mono_ms ());
}

/* --- ownership --- */

static void
send_owned_batch (const char *instance,
                  const Lwm__OwnedBatch *batch,
                  void *context)
{
  membership_t *membership = context;
  Lwm__Gossip message;

  membership_message (membership, &message);
  message.owned = (Lwm__OwnedBatch *)batch;
  membership_send (membership, instance, GOSSIP_NET_OWNERS, &message);
}

static void
on_owners_wake (void *context)
{
  membership_t *membership = context;
  struct timeval soon = { 0 };

  if (membership->owners_event != NULL)
    event_add (membership->owners_event, &soon);
}

static void
on_owners_timer (evutil_socket_t fd, short what, void *arg)
{
  membership_t *membership = arg;
  double since_s = membership_thread_cpu_s ();
  uint32_t wait_ms = owners_tick (membership->owners, clock_mono_ms ());
  struct timeval wait = timeval_from_ms (wait_ms);

  event_add (membership->owners_event, &wait);
  membership_add_cpu (membership, since_s);
}

/* --- event loop --- */

static void
on_message (const Lwm__Gossip *message, void *context)
{
  double since_s = membership_thread_cpu_s ();

  membership_on_message (message, context);
  membership_add_cpu (context, since_s);
}

static void
on_flush_timer (evutil_socket_t fd, short what, void *arg)
{
  double since_s = membership_thread_cpu_s ();

  membership_flush (arg);
  membership_add_cpu (arg, since_s);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  membership_t *membership = arg;
  double since_s = membership_thread_cpu_s ();
  uint64_t now_ms = clock_mono_ms ();

  membership_tick_join (membership, now_ms);
  gossip_tick (membership->gossip, now_ms);
  if (membership->phase == JOIN_DONE)
    failure_tick (membership->failure, now_ms);
  membership_tick_config (membership, now_ms);
  membership_tick_zones (membership, now_ms);
  refresh_upstreams (membership, now_ms);
  membership_schedule_flush (membership);
  if (membership->net != NULL)
    gossip_net_tick (membership->net, now_ms);
  membership_deliver_config (membership);
  membership_add_cpu (membership, since_s);
}

static int
free_membership (membership_t *membership)
{
  if (membership->timer != NULL)
    event_free (membership->timer);
  if (membership->flush != NULL)
    event_free (membership->flush);
  if (membership->owners_event != NULL)
    event_free (membership->owners_event);
  if (membership->evidence_event != NULL)
    event_free (membership->evidence_event);
  g_hash_table_destroy (membership->cross_zone_instances);
  g_hash_table_destroy (membership->cross_zone_upstreams);
  g_rand_free (membership->rand);
  return 0;
}

static void
copy_seeds (membership_t *membership)
{
  size_t count = membership->options.seed_count;

  membership->seeds = talloc_array (membership, char *, count);
  for (size_t i = 0; i < count; i++)
    membership->seeds[i]
        = talloc_strdup (membership->seeds, membership->options.seeds[i]);
}

static void
add_records (membership_t *membership, uint64_t seed)
{
  const membership_options_t *options = &membership->options;
  gossip_options_t gossip = { .instance = options->instance,
                              .incarnation = clock_wall_ms (),
                              .zone = options->zone,
                              .region = options->region,
                              .http = options->http,
                              .gossip = options->gossip_listen,
                              .gossip_outside = options->gossip_outside,
                              .seed = seed,
                              .on_instance = on_instance,
                              .on_upstream = on_upstream,
                              .context = membership };
  failure_options_t failure = { .seed = seed + 1,
                                .probe = send_probe,
                                .suspect = on_suspect,
                                .dead = on_dead,
                                .context = membership };
  owners_options_t owners = { .instance = options->instance,
                              .incarnation = gossip.incarnation,
                              .metrics = options->metrics,
                              .send = send_owned_batch,
                              .wake = on_owners_wake,
                              .orphan = options->on_orphan,
                              .orphan_context = options->context,
                              .context = membership };

  membership->incarnation = gossip.incarnation;
  membership->gossip = gossip_new (membership, &gossip);
  membership->failure = failure_new (membership, &failure);
  membership->owners = owners_new (membership, &owners);
}

static bool
add_net (membership_t *membership)
{
  const membership_options_t *options = &membership->options;
  gossip_net_options_t net = { .base = options->base,
                               .metrics = options->metrics,
                               .listen = options->gossip_listen,
                               .on_message = on_message,
                               .context = membership };

  if (options->gossip_listen == NULL || options->gossip_listen[0] == '\0')
    return true;
  membership->net = gossip_net_new (membership, &net);
  if (membership->net == NULL)
    print_error ("cannot listen for gossip on '%s'", options->gossip_listen);
  return membership->net != NULL;
}

static void
add_events (membership_t *membership)
{
  struct event_base *base = membership->options.base;
  struct timeval tick = { .tv_usec = TICK_MS * 1000 };
  struct timeval soon = { 0 };

  membership->timer = event_new (base, -1, EV_PERSIST, on_tick, membership);
  membership->flush = event_new (base, -1, 0, on_flush_timer, membership);
  membership->owners_event
      = event_new (base, -1, 0, on_owners_timer, membership);
  membership_add_evidence (membership);
  event_add (membership->timer, &tick);
  event_add (membership->owners_event, &soon);
  event_active (membership->timer, EV_TIMEOUT, 0);
}

membership_t *
membership_new (void *parent, const membership_options_t *options)
{
  membership_t *membership = talloc_zero (parent, membership_t);
  uint64_t seed = random_id ();

  membership->options = *options;
  membership->started_ms = clock_mono_ms ();
  membership->rand = g_rand_new_with_seed ((guint32)seed);
  membership->cross_zone_instances
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  membership->cross_zone_upstreams
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  talloc_set_destructor (membership, free_membership);
  copy_seeds (membership);
  add_records (membership, seed);
  if (!membership_add_revision (membership, seed) || !add_net (membership))
    {
      talloc_free (membership);
      return NULL;
    }
  membership_add_metrics (membership);
  add_events (membership);
  if (membership->net == NULL || options->seed_count == 0)
    membership_joined (membership, "no instance to ask");
  return membership;
}

/* --- public functions --- */

uint64_t
membership_incarnation (const membership_t *membership)
{
  return gossip_self (membership->gossip)->incarnation;
}

bool
membership_is_ready (const membership_t *membership)
{
  uint64_t number = revision_number (membership->revision);

  if (membership->phase != JOIN_DONE || number == 0)
    return false;
  return membership->delivered != 0 || number >= membership->highest_known
         || clock_mono_ms () > membership->started_ms + READY_LIMIT_MS;
}

bool
membership_put_announcement (membership_t *membership,
                             const Lwm__Announcement *announcement,
                             const Lwm__Load *load,
                             uint64_t load_age_ms,
                             uint32_t announce_ms)
{
  double since_s = membership_thread_cpu_s ();
  bool taken
      = gossip_put_announcement (membership->gossip, announcement, load,
                                 load_age_ms, announce_ms, clock_mono_ms ());

  membership_schedule_flush (membership);
  membership_add_cpu (membership, since_s);
  return taken;
}

membership_counts_t
membership_counts (const membership_t *membership)
{
  const char *own_zone = gossip_self (membership->gossip)->zone;
  GHashTable *zones = g_hash_table_new (g_str_hash, g_str_equal);
  membership_counts_t counts = { 0 };
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, gossip_instances (membership->gossip));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Lwm__InstanceRecord *record = ((gossip_instance_t *)value)->record;

      if (record->state >= LWM__INSTANCE_STATE__DEAD)
        continue;
      counts.all_live++;
      counts.zone_live += strcmp (record->zone, own_zone) == 0;
      g_hash_table_add (zones, record->zone);
    }
  counts.zones = g_hash_table_size (zones);
  g_hash_table_destroy (zones);
  return counts;
}

void
membership_set_draining (membership_t *membership, bool draining)
{
  gossip_set_self (membership->gossip, LWM__INSTANCE_STATE__ALIVE, draining,
                   clock_mono_ms ());
  membership_schedule_flush (membership);
}

void
membership_leave (membership_t *membership)
{
  owners_tick (membership->owners, clock_mono_ms ());
  gossip_set_self (membership->gossip, LWM__INSTANCE_STATE__LEFT, true,
                   clock_mono_ms ());
  membership_flush (membership);
  membership_tick_zones (membership, UINT64_MAX);
}

bool
membership_offer_config (membership_t *membership, const Lwm__Config *config)
{
  return revision_offer (membership->revision, config, "control")
         == REVISION_APPLIED;
}

uint64_t
membership_revision_number (const membership_t *membership)
{
  return revision_number (membership->revision);
}

bool
membership_is_delegate (const membership_t *membership)
{
  return zones_is_delegate (membership->gossip);
}

owners_t *
membership_owners (membership_t *membership)
{
  return membership->owners;
}

void
membership_each_instance (const membership_t *membership,
                          membership_each_instance_cb_t each,
                          void *context)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, gossip_instances (membership->gossip));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gossip_instance_t *instance = value;

      each (instance->record, instance->revision_number, context);
    }
}
