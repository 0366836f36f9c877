#include "entry-members.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#define LOG_PART "members"
#include "logging.h"

/* Announcement interval given to the registry for upstreams known by gossip. It
 * may be long, because gossip reports that an upstream is gone, and the
 * registry does not have to detect it by missed announcements. */
#define REGISTRY_REFRESH_MS 10000
#define OWNER_SIZE          128 /* INSTANCE/INCARNATION with the NUL */

struct entry_members
{
  entry_members_options_t options;
  membership_t *membership;
  request_crashes_t *crashes;
  dispatch_t *dispatch;
};

static registry_announcement_t
to_registry_announcement (void *scratch, const membership_upstream_t *upstream)
{
  const Lwm__Announcement *from = upstream->announcement;
  weights_t *loaded = talloc_zero_array (scratch, weights_t, from->n_loaded);

  for (size_t i = 0; i < from->n_loaded; i++)
    loaded[i] = (weights_t){ .model = from->loaded[i]->model,
                             .adapter = from->loaded[i]->adapter,
                             .version = from->loaded[i]->version };
  return (registry_announcement_t){
    .name = from->upstream,
    .incarnation = from->incarnation,
    .address = from->address,
    .zone = from->zone,
    .service = from->service,
    .is_engine = from->engine,
    .leaving = from->leaving,
    .loaded = loaded,
    .loaded_count = from->n_loaded,
    .role = from->role,
    .kv_tokens = from->kv_tokens,
    .max_batch = from->max_batch,
    .prefill_tokens_s = from->prefill_tokens_s,
    .step_us = from->step_us,
    .fencing = from->fencing,
    .last_fencing = from->last_fencing,
    .announce_ms = REGISTRY_REFRESH_MS,
    .has_load = upstream->has_load,
    .load = { .running = upstream->running,
              .waiting_tokens = upstream->waiting_tokens,
              .kv_used_tokens = upstream->kv_used_tokens,
              .taken_ms_ago = (uint32_t)upstream->load_age_ms },
  };
}

static void
on_upstream (const membership_upstream_t *upstream, void *context)
{
  entry_members_t *members = context;
  void *scratch;
  registry_announcement_t announcement;

  /* A direct announcement is already in the registry, unless the upstream is
   * leaving. */
  if (upstream->direct && !upstream->announcement->leaving)
    return;
  scratch = talloc_new (NULL);
  announcement = to_registry_announcement (scratch, upstream);
  registry_put_announcement (members->options.registry, &announcement,
                             clock_mono_ms ());
  talloc_free (scratch);
  if (members->dispatch != NULL)
    dispatch_wake (members->dispatch);
}

static void
on_upstream_gone (const char *upstream, uint64_t incarnation, void *context)
{
  entry_members_t *members = context;

  registry_drop (members->options.registry, upstream, incarnation);
}

static void
on_instance (const Lwm__InstanceRecord *instance, bool is_up, void *context)
{
  entry_members_t *members = context;

  members->options.on_instance_count (members->options.context);
}

static void
on_config (const Lwm__Config *config, const char *digest, void *context)
{
  entry_members_t *members = context;

  members->options.on_config (config, members->options.context);
}

static void
on_folder (const Lwm__Config *config, void *context)
{
  entry_members_t *members = context;

  members->options.on_folder (config, members->options.context);
}

static void
on_incarnation (uint64_t incarnation, void *context)
{
  entry_members_t *members = context;

  if (members->dispatch != NULL)
    dispatch_set_incarnation (members->dispatch, incarnation);
}

static void
on_orphan (const owners_orphan_t *orphan, void *context)
{
  static const cancel_kind_t kinds[]
      = { CANCEL_STREAM, CANCEL_RESERVATION, CANCEL_KV };
  entry_members_t *members = context;
  const registry_upstream_t *upstream
      = registry_find (members->options.registry, orphan->upstream);
  upstream_target_t target;
  char *id;

  /* A removed upstream holds no stream and no reservation. */
  if (upstream == NULL || members->dispatch == NULL
      || orphan->kind >= sizeof kinds / sizeof *kinds)
    return;
  target = (upstream_target_t){ .name = upstream->name,
                                .address = upstream->address,
                                .incarnation = upstream->incarnation };
  id = talloc_asprintf (members, "%s-%" PRIu64 "-%" PRIu64, orphan->owner,
                        orphan->incarnation, orphan->sequence);
  log_info ("Releasing an object of a dead owner. id=%s upstream=%s", id,
            upstream->name);
  dispatch_cancel_orphan (members->dispatch, kinds[orphan->kind], &target, id);
  talloc_free (id);
}

static void
on_crash_news (void *context)
{
  entry_members_t *members = context;

  membership_spread_evidence (members->membership);
}

static Lwm__CrashEvidence *
get_evidence (void *parent, void *context)
{
  const entry_members_t *members = context;

  return request_crashes_to_message (members->crashes, clock_mono_ms (),
                                     parent);
}

static bool
on_evidence (const Lwm__CrashEvidence *evidence, void *context)
{
  entry_members_t *members = context;

  return request_crashes_merge (members->crashes, evidence, clock_mono_ms ());
}

entry_members_t *
entry_members_new (void *parent, const entry_members_options_t *options)
{
  entry_members_t *members = talloc_zero (parent, entry_members_t);
  const Lwm__EntrySettings *settings = options->settings;
  request_crashes_options_t crashes = { .metrics = options->metrics,
                                        .news = on_crash_news,
                                        .context = members };
  membership_options_t membership = {
    .base = options->base,
    .metrics = options->metrics,
    .instance = settings->instance,
    .zone = settings->zone,
    .region = settings->region,
    .http = settings->listen,
    .gossip_listen = settings->gossip_listen,
    .gossip_outside = settings->gossip_outside,
    .seeds = (const char *const *)settings->gossip_peer,
    .seed_count = settings->n_gossip_peer,
    .data_folder = settings->data_folder,
    .config_folder = settings->config_folder,
    .on_upstream = on_upstream,
    .on_upstream_gone = on_upstream_gone,
    .on_instance = on_instance,
    .on_incarnation = on_incarnation,
    .on_config = on_config,
    .on_orphan = on_orphan,
    .evidence = get_evidence,
    .on_evidence = on_evidence,
    .context = members,
  };

  members->options = *options;
  members->crashes = request_crashes_new (members, &crashes);
  if (options->on_folder != NULL)
    membership.on_folder = on_folder;
  members->membership = membership_new (members, &membership);
  if (members->membership == NULL)
    TALLOC_FREE (members);
  return members;
}

void
entry_members_set_dispatch (entry_members_t *members, dispatch_t *dispatch)
{
  members->dispatch = dispatch;
}

static uint64_t
next_sequence (void *context)
{
  entry_members_t *members = context;

  return owners_next_sequence (membership_owners (members->membership));
}

static void
on_stream_opened (uint64_t sequence, const char *upstream, void *context)
{
  entry_members_t *members = context;

  owners_open (membership_owners (members->membership), sequence, upstream,
               LWM__OBJECT_KIND__STREAM);
}

static void
on_reservation_opened (uint64_t sequence, const char *upstream, void *context)
{
  entry_members_t *members = context;

  owners_open (membership_owners (members->membership), sequence, upstream,
               LWM__OBJECT_KIND__RESERVATION);
}

static uint32_t
get_unsent_ms (uint64_t sequence, void *context)
{
  entry_members_t *members = context;

  return owners_send_wait_ms (membership_owners (members->membership), sequence,
                              clock_mono_ms ());
}

static void
on_object_closed (uint64_t sequence, void *context)
{
  entry_members_t *members = context;

  owners_close (membership_owners (members->membership), sequence);
}

dispatch_owner_hooks_t
entry_members_owner_hooks (entry_members_t *members)
{
  return (dispatch_owner_hooks_t){ .next_sequence = next_sequence,
                                   .opened = on_stream_opened,
                                   .unsent_ms = get_unsent_ms,
                                   .reserved = on_reservation_opened,
                                   .closed = on_object_closed,
                                   .context = members };
}

void
entry_members_put_announcement (const registry_announcement_t *from,
                                void *context)
{
  entry_members_t *members = context;
  Lwm__Announcement announcement = LWM__ANNOUNCEMENT__INIT;
  Lwm__Load load = LWM__LOAD__INIT;
  Lwm__Loaded *loaded = talloc_array (members, Lwm__Loaded, from->loaded_count);
  Lwm__Loaded **loaded_list
      = talloc_array (loaded, Lwm__Loaded *, from->loaded_count);

  for (size_t i = 0; i < from->loaded_count; i++)
    {
      lwm__loaded__init (&loaded[i]);
      loaded[i].model = (char *)from->loaded[i].model;
      loaded[i].adapter = (char *)from->loaded[i].adapter;
      loaded[i].version = (char *)from->loaded[i].version;
      loaded_list[i] = &loaded[i];
    }
  announcement.upstream = (char *)from->name;
  announcement.incarnation = from->incarnation;
  announcement.address = (char *)from->address;
  announcement.zone = (char *)from->zone;
  announcement.service = (char *)from->service;
  announcement.engine = from->is_engine;
  announcement.leaving = from->leaving;
  announcement.loaded = loaded_list;
  announcement.n_loaded = from->loaded_count;
  announcement.role = (char *)from->role;
  announcement.kv_tokens = from->kv_tokens;
  announcement.max_batch = from->max_batch;
  announcement.prefill_tokens_s = from->prefill_tokens_s;
  announcement.step_us = from->step_us;
  announcement.fencing = from->fencing;
  announcement.last_fencing = from->last_fencing;
  load.running = from->load.running;
  load.waiting_tokens = from->load.waiting_tokens;
  load.kv_used_tokens = from->load.kv_used_tokens;
  membership_put_announcement (members->membership, &announcement,
                               from->has_load ? &load : NULL,
                               from->load.taken_ms_ago, from->announce_ms);
  talloc_free (loaded);
}

uint64_t
entry_members_limit_share (const entry_members_t *members,
                           const Lwm__Config *config,
                           uint64_t limit)
{
  membership_counts_t counts = membership_counts (members->membership);
  /* The configured zones are counted, not the reachable ones. A zone that is
   * cut off by a network partition continues to use its share, so no other zone
   * may take it. */
  uint64_t zones = config->n_zones > 0 ? config->n_zones : 1;
  /* An instance that has left the gossip no longer counts itself. */
  uint64_t live_instances = counts.zone_live > 0 ? counts.zone_live : 1;
  uint64_t share = limit / (zones * live_instances);

  return limit > 0 && share == 0 ? 1 : share;
}

typedef struct
{
  const char *owner; /* INSTANCE/INCARNATION */
  bool is_running;
} owner_search_t;

static void
match_owner (const Lwm__InstanceRecord *instance,
             uint64_t config_number,
             void *context)
{
  owner_search_t *search = context;
  char owner[OWNER_SIZE];

  snprintf (owner, sizeof owner, "%s/%" PRIu64, instance->instance,
            instance->incarnation);
  if (strcmp (owner, search->owner) == 0
      && (instance->state == LWM__INSTANCE_STATE__ALIVE
          || instance->state == LWM__INSTANCE_STATE__SUSPECT))
    search->is_running = true;
}

bool
entry_members_is_owner_live (const char *owner, void *context)
{
  entry_members_t *members = context;
  owner_search_t search = { .owner = owner };

  membership_each_instance (members->membership, match_owner, &search);
  return search.is_running;
}

request_crashes_t *
entry_members_crashes (entry_members_t *members)
{
  return members->crashes;
}

membership_t *
entry_members_membership (entry_members_t *members)
{
  return members->membership;
}
