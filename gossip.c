#include "gossip-internal.h"

#include <string.h>
#include <talloc.h>

#include "message.h"

#define MAX_NAME_BYTES    63
#define LEFT_RETENTION_MS 600000
#define DEAD_RETENTION_MS 7200000

static int
free_gossip (gossip_t *gossip)
{
  g_hash_table_destroy (gossip->instances);
  g_hash_table_destroy (gossip->upstreams);
  g_hash_table_destroy (gossip->out_instances);
  g_hash_table_destroy (gossip->out_upstreams);
  g_hash_table_destroy (gossip->out_loads);
  g_rand_free (gossip->rand);
  return 0;
}

static GHashTable *
new_name_set (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
gossip_add_name (GHashTable *set, const char *name)
{
  g_hash_table_add (set, g_strdup (name));
}

static gossip_instance_t *
add_instance (gossip_t *gossip, const char *name)
{
  gossip_instance_t *instance = talloc_zero (gossip, gossip_instance_t);

  instance->revision_digest = talloc_strdup (instance, "");
  g_hash_table_insert (gossip->instances, g_strdup (name), instance);
  return instance;
}

gossip_t *
gossip_new (void *parent, const gossip_options_t *options)
{
  gossip_t *gossip = talloc_zero (parent, gossip_t);
  Lwm__InstanceRecord record = LWM__INSTANCE_RECORD__INIT;

  gossip->options = *options;
  gossip->rand = g_rand_new_with_seed ((guint32)options->seed);
  gossip->instances
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gossip->upstreams
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gossip->out_instances = new_name_set ();
  gossip->out_upstreams = new_name_set ();
  gossip->out_loads = new_name_set ();
  talloc_set_destructor (gossip, free_gossip);
  record.instance = (char *)options->instance;
  record.incarnation = options->incarnation;
  record.version = 1;
  record.zone = (char *)options->zone;
  record.region = (char *)(options->region != NULL ? options->region : "");
  record.http = (char *)options->http;
  record.gossip = (char *)(options->gossip != NULL ? options->gossip : "");
  record.gossip_outside
      = (char *)(options->gossip_outside != NULL ? options->gossip_outside
                                                 : "");
  gossip->self = add_instance (gossip, options->instance);
  gossip->self->record = message_copy (gossip->self, &record.base);
  gossip->options.instance = gossip->self->record->instance;
  gossip->options.zone = gossip->self->record->zone;
  gossip_forward_instance (gossip, options->instance);
  return gossip;
}

const Lwm__InstanceRecord *
gossip_self (const gossip_t *gossip)
{
  return gossip->self->record;
}

void
gossip_freeze_incarnation (gossip_t *gossip)
{
  gossip->incarnation_fixed = true;
}

const gossip_instance_t *
gossip_instance (const gossip_t *gossip, const char *name)
{
  return g_hash_table_lookup (gossip->instances, name);
}

const gossip_upstream_t *
gossip_upstream (const gossip_t *gossip, const char *name)
{
  return g_hash_table_lookup (gossip->upstreams, name);
}

GHashTable *
gossip_instances (const gossip_t *gossip)
{
  return gossip->instances;
}

GHashTable *
gossip_upstreams (const gossip_t *gossip)
{
  return gossip->upstreams;
}

void
gossip_forward_instance (gossip_t *gossip, const char *name)
{
  gossip_add_name (gossip->out_instances, name);
}

void
gossip_forward_upstream (gossip_t *gossip, const char *name)
{
  gossip_add_name (gossip->out_upstreams, name);
}

static void
report_instance (gossip_t *gossip,
                 const gossip_instance_t *instance,
                 Lwm__InstanceState before,
                 bool is_new)
{
  if (gossip->options.on_instance != NULL)
    gossip->options.on_instance (instance, before, is_new,
                                 gossip->options.context);
}

void
gossip_set_self (gossip_t *gossip,
                 Lwm__InstanceState state,
                 bool draining,
                 uint64_t now_ms)
{
  Lwm__InstanceRecord *record = gossip->self->record;
  Lwm__InstanceState before = record->state;

  record->state = state;
  record->draining = draining;
  record->version++;
  gossip->self->changed_at_ms = now_ms;
  gossip_forward_instance (gossip, record->instance);
  report_instance (gossip, gossip->self, before, false);
}

static void
store_revision (gossip_instance_t *instance,
                uint64_t number,
                const char *digest)
{
  instance->revision_number = number;
  talloc_free (instance->revision_digest);
  instance->revision_digest = talloc_strdup (instance, digest);
}

void
gossip_set_revision (gossip_t *gossip, uint64_t number, const char *digest)
{
  store_revision (gossip->self, number, digest);
  gossip_forward_instance (gossip, gossip->options.instance);
}

bool
gossip_mark_instance (gossip_t *gossip,
                      const char *name,
                      uint64_t incarnation,
                      uint32_t version,
                      Lwm__InstanceState state,
                      uint64_t now_ms)
{
  gossip_instance_t *instance = g_hash_table_lookup (gossip->instances, name);
  Lwm__InstanceState before;

  if (instance == NULL || instance == gossip->self
      || instance->record->incarnation != incarnation
      || instance->record->version != version
      || instance->record->state >= state)
    return false;
  before = instance->record->state;
  instance->record->state = state;
  instance->changed_at_ms = now_ms;
  if (state >= LWM__INSTANCE_STATE__DEAD)
    gossip_forward_instance (gossip, name);
  report_instance (gossip, instance, before, false);
  return true;
}

int
gossip_compare (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}

static int
compare_instances (const Lwm__InstanceRecord *a, const Lwm__InstanceRecord *b)
{
  int order = gossip_compare (a->incarnation, b->incarnation);

  if (order == 0)
    order = gossip_compare (a->version, b->version);
  if (order == 0)
    order = gossip_compare (a->state, b->state);
  return order;
}

/** Returns whether a received record is valid and can be stored. */
static bool
is_valid_record (const Lwm__InstanceRecord *record)
{
  size_t length = strlen (record->instance);

  return length > 0 && length <= MAX_NAME_BYTES
         && record->state >= LWM__INSTANCE_STATE__ALIVE
         && record->state <= LWM__INSTANCE_STATE__LEFT;
}

/** Merges a received record of this instance; refutes it when it is wrong. */
static gossip_merge_t
merge_own_record (gossip_t *gossip, const Lwm__InstanceRecord *record)
{
  Lwm__InstanceRecord *self = gossip->self->record;
  int order = compare_instances (record, self);

  if (order == 0)
    return GOSSIP_SAME;
  if (order < 0 || self->state == LWM__INSTANCE_STATE__LEFT)
    return GOSSIP_OLDER;
  if (record->incarnation > self->incarnation)
    {
      if (gossip->incarnation_fixed)
        return GOSSIP_NEWER;
      /* The clock went back since the last start: use a later incarnation. */
      self->incarnation = record->incarnation + 1;
      self->version = 1;
      report_instance (gossip, gossip->self, self->state, false);
    }
  else
    self->version = record->version + 1;
  gossip_forward_instance (gossip, self->instance);
  return GOSSIP_OLDER;
}

gossip_merge_t
gossip_merge_instance (gossip_t *gossip,
                       const Lwm__InstanceRecord *record,
                       uint64_t now_ms)
{
  gossip_instance_t *instance
      = g_hash_table_lookup (gossip->instances, record->instance);
  Lwm__InstanceState before = LWM__INSTANCE_STATE__DEAD;
  bool is_new = instance == NULL;

  if (!is_valid_record (record))
    return GOSSIP_SAME;
  if (!is_new && instance == gossip->self)
    return merge_own_record (gossip, record);
  /* An instance that died or left before it was known here needs no record. */
  if (is_new && record->state >= LWM__INSTANCE_STATE__DEAD)
    return GOSSIP_SAME;
  if (is_new)
    instance = add_instance (gossip, record->instance);
  else
    {
      int order = compare_instances (record, instance->record);

      if (order <= 0)
        return order == 0 ? GOSSIP_SAME : GOSSIP_OLDER;
      before = instance->record->state;
      is_new = record->incarnation != instance->record->incarnation;
      if (is_new)
        store_revision (instance, 0, "");
      talloc_free (instance->record);
    }
  instance->record = message_copy (instance, &record->base);
  instance->changed_at_ms = now_ms;
  report_instance (gossip, instance, before, is_new);
  return GOSSIP_NEWER;
}

gossip_merge_t
gossip_merge_progress (gossip_t *gossip, const Lwm__Progress *progress)
{
  gossip_instance_t *instance
      = g_hash_table_lookup (gossip->instances, progress->instance);

  if (instance == NULL || instance == gossip->self || progress->revision == NULL
      || progress->incarnation != instance->record->incarnation
      || progress->revision->number <= instance->revision_number)
    return GOSSIP_SAME;
  store_revision (instance, progress->revision->number,
                  progress->revision->digest);
  return GOSSIP_NEWER;
}

static bool
can_remove_instance (const gossip_t *gossip,
                     const gossip_instance_t *instance,
                     uint64_t now_ms)
{
  uint64_t retention_ms = instance->record->state == LWM__INSTANCE_STATE__LEFT
                              ? LEFT_RETENTION_MS
                              : DEAD_RETENTION_MS;

  return instance != gossip->self
         && instance->record->state >= LWM__INSTANCE_STATE__DEAD
         && now_ms > instance->changed_at_ms + retention_ms;
}

void
gossip_tick (gossip_t *gossip, uint64_t now_ms)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, gossip->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (gossip_tick_upstream (gossip, value, now_ms))
      {
        g_hash_table_iter_remove (&iter);
        talloc_free (value);
      }
  g_hash_table_iter_init (&iter, gossip->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (can_remove_instance (gossip, value, now_ms))
      {
        g_hash_table_iter_remove (&iter);
        talloc_free (value);
      }
}

bool
gossip_has_pending (const gossip_t *gossip, bool *urgent)
{
  *urgent = g_hash_table_size (gossip->out_instances) > 0
            || g_hash_table_size (gossip->out_upstreams) > 0;
  return *urgent || g_hash_table_size (gossip->out_loads) > 0;
}
