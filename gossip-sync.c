#include "gossip-sync.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "gossip-internal.h"
#include "message.h"

#define INSTANCE_SEED 1
#define UPSTREAM_SEED 2

/** Input of a record's stamp; hashed as raw bytes, so it has no padding. */
typedef struct
{
  uint64_t incarnation;
  uint64_t detail;
  uint64_t revision;
  uint32_t version;
  uint32_t content;
} stamp_t;

/** Parameters of a walk over the live records. */
typedef struct
{
  const char *zone; /* NULL: all zones */
  bool detail;
  void *context;
} walk_t;

typedef void (*visit_t) (const walk_t *walk,
                         uint32_t key,
                         uint32_t stamp,
                         const gossip_instance_t *instance,
                         const gossip_upstream_t *upstream);

static uint32_t
instance_key (const char *name)
{
  return XXH32 (name, strlen (name), INSTANCE_SEED);
}

static uint32_t
upstream_key (const char *name)
{
  return XXH32 (name, strlen (name), UPSTREAM_SEED);
}

static uint32_t
instance_stamp (const gossip_instance_t *instance, bool detail)
{
  stamp_t stamp = { .incarnation = instance->record->incarnation,
                    .version = instance->record->version };

  if (detail)
    stamp.revision = instance->revision_number;
  return XXH32 (&stamp, sizeof stamp, INSTANCE_SEED);
}

static uint32_t
upstream_stamp (const gossip_upstream_t *upstream, bool detail)
{
  stamp_t stamp = { .incarnation = upstream->record->announcement->incarnation,
                    .version = upstream->record->version,
                    .content = upstream->content };

  if (detail && upstream->load != NULL)
    stamp.detail = upstream->load->version;
  return XXH32 (&stamp, sizeof stamp, UPSTREAM_SEED);
}

static bool
is_own_zone (const gossip_t *gossip, const char *zone)
{
  return strcmp (zone, gossip->options.zone) == 0;
}

/** Returns whether the walk includes the detail (loads and revisions) of
 * @a zone. A walk over all zones includes the detail of the own zone only. */
static bool
walk_includes_detail (const gossip_t *gossip,
                      const walk_t *walk,
                      const char *zone)
{
  return walk->detail && (walk->zone != NULL || is_own_zone (gossip, zone));
}

static bool
covers_zone (const walk_t *walk, const char *zone)
{
  return walk->zone == NULL || strcmp (walk->zone, zone) == 0;
}

/** Visits the hashed records of a zone: all but dead and gone ones. */
static void
walk_zone (const gossip_t *gossip, const walk_t *walk, visit_t visit)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, gossip->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gossip_instance_t *instance = value;
      const Lwm__InstanceRecord *record = instance->record;

      if (record->state < LWM__INSTANCE_STATE__DEAD
          && covers_zone (walk, record->zone))
        visit (walk, instance_key (record->instance),
               instance_stamp (
                   instance, walk_includes_detail (gossip, walk, record->zone)),
               instance, NULL);
    }
  g_hash_table_iter_init (&iter, gossip->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gossip_upstream_t *upstream = value;
      const Lwm__UpstreamRecord *record = upstream->record;

      if (record != NULL && !record->gone
          && covers_zone (walk, record->announcement->zone))
        visit (walk, upstream_key (record->announcement->upstream),
               upstream_stamp (
                   upstream, walk_includes_detail (gossip, walk,
                                                   record->announcement->zone)),
               NULL, upstream);
    }
}

static void
add_to_hash (const walk_t *walk,
             uint32_t key,
             uint32_t stamp,
             const gossip_instance_t *instance,
             const gossip_upstream_t *upstream)
{
  uint64_t *hash = walk->context;
  uint32_t pair[2] = { key, stamp };

  /* A sum does not depend on the iteration order of the hash tables. */
  *hash += XXH64 (pair, sizeof pair, 0);
}

uint64_t
gossip_zone_hash (const gossip_t *gossip, const char *zone, bool detail)
{
  uint64_t hash = 0;
  walk_t walk = { .zone = zone, .detail = detail, .context = &hash };

  walk_zone (gossip, &walk, add_to_hash);
  return hash;
}

GHashTable *
gossip_zones (const gossip_t *gossip)
{
  GHashTable *zones = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, gossip->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_hash_table_add (zones, ((gossip_instance_t *)value)->record->zone);
  g_hash_table_iter_init (&iter, gossip->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gossip_upstream_t *upstream = value;

      if (upstream->record != NULL)
        g_hash_table_add (zones, upstream->record->announcement->zone);
    }
  return zones;
}

uint64_t
gossip_state_hash (const gossip_t *gossip, bool detail)
{
  return gossip_zone_hash (gossip, NULL, detail);
}

void
gossip_put_hash (const gossip_t *gossip,
                 void *scratch,
                 const char *zone,
                 bool detail,
                 Lwm__Gossip *message)
{
  Lwm__ZoneHash *hash = talloc (scratch, Lwm__ZoneHash);

  lwm__zone_hash__init (hash);
  hash->zone = (char *)zone;
  hash->hash = gossip_zone_hash (gossip, zone, detail);
  message->hashes = talloc_realloc (scratch, message->hashes, Lwm__ZoneHash *,
                                    message->n_hashes + 1);
  message->hashes[message->n_hashes++] = hash;
}

void
gossip_put_hashes (const gossip_t *gossip,
                   void *scratch,
                   bool detail,
                   Lwm__Gossip *message)
{
  GHashTable *zones = gossip_zones (gossip);
  GHashTableIter iter;
  void *name;

  g_hash_table_iter_init (&iter, zones);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    gossip_put_hash (gossip, scratch, name,
                     detail && is_own_zone (gossip, name), message);
  g_hash_table_destroy (zones);
}

static void
add_to_summary (const walk_t *walk,
                uint32_t key,
                uint32_t stamp,
                const gossip_instance_t *instance,
                const gossip_upstream_t *upstream)
{
  Lwm__ZoneSummary *summary = walk->context;

  summary->keys[summary->n_keys++] = key;
  summary->stamps[summary->n_stamps++] = stamp;
}

Lwm__ZoneSummary *
gossip_summary (const gossip_t *gossip,
                void *scratch,
                const char *zone,
                bool detail)
{
  Lwm__ZoneSummary *summary = talloc (scratch, Lwm__ZoneSummary);
  size_t max_keys = g_hash_table_size (gossip->instances)
                    + g_hash_table_size (gossip->upstreams);
  walk_t walk = { .zone = zone, .detail = detail, .context = summary };

  lwm__zone_summary__init (summary);
  summary->zone = (char *)zone;
  summary->detail = detail;
  summary->keys = talloc_array (summary, uint32_t, max_keys);
  summary->stamps = talloc_array (summary, uint32_t, max_keys);
  walk_zone (gossip, &walk, add_to_summary);
  return summary;
}

static void
add_progress (void *scratch,
              Lwm__Gossip *message,
              const gossip_instance_t *instance)
{
  Lwm__Revision revision = LWM__REVISION__INIT;
  Lwm__Progress progress = LWM__PROGRESS__INIT;

  revision.number = instance->revision_number;
  revision.digest = instance->revision_digest;
  progress.instance = instance->record->instance;
  progress.incarnation = instance->record->incarnation;
  progress.revision = &revision;
  message->progress = talloc_realloc (scratch, message->progress,
                                      Lwm__Progress *, message->n_progress + 1);
  message->progress[message->n_progress++]
      = message_copy (scratch, &progress.base);
}

/* Records are copied, as the table may change before the message is sent. */
void
gossip_add_instance (void *scratch,
                     Lwm__Gossip *message,
                     const gossip_instance_t *instance,
                     bool detail)
{
  Lwm__InstanceRecord *record = message_copy (scratch, &instance->record->base);

  /* Suspicions are sent separately, so forwarded records leave them out. */
  if (record->state == LWM__INSTANCE_STATE__SUSPECT)
    record->state = LWM__INSTANCE_STATE__ALIVE;
  message->instances
      = talloc_realloc (scratch, message->instances, Lwm__InstanceRecord *,
                        message->n_instances + 1);
  message->instances[message->n_instances++] = record;
  if (detail && instance->revision_number != 0)
    add_progress (scratch, message, instance);
}

static void
add_load (void *scratch, Lwm__Gossip *message, const Lwm__Load *load)
{
  message->loads = talloc_realloc (scratch, message->loads, Lwm__Load *,
                                   message->n_loads + 1);
  message->loads[message->n_loads++] = message_copy (scratch, &load->base);
}

void
gossip_add_upstream (void *scratch,
                     Lwm__Gossip *message,
                     const gossip_upstream_t *upstream,
                     bool detail)
{
  message->upstreams
      = talloc_realloc (scratch, message->upstreams, Lwm__UpstreamRecord *,
                        message->n_upstreams + 1);
  message->upstreams[message->n_upstreams++]
      = message_copy (scratch, &upstream->record->base);
  if (detail && upstream->load != NULL)
    add_load (scratch, message, upstream->load);
}

/** Comparison of the local records with a received summary. */
typedef struct
{
  GHashTable *stamps; /* key to stamp, from the summary */
  GHashTable *found;  /* keys of the summary that have a local record */
  void *scratch;
  Lwm__Gossip *message;
  size_t max_records; /* number of live records that may still be added */
} compare_t;

static void
compare_record (const walk_t *walk,
                uint32_t key,
                uint32_t stamp,
                const gossip_instance_t *instance,
                const gossip_upstream_t *upstream)
{
  compare_t *compare = walk->context;
  void *remote;

  g_hash_table_add (compare->found, GUINT_TO_POINTER (key));
  if (compare->max_records == 0
      || (g_hash_table_lookup_extended (compare->stamps, GUINT_TO_POINTER (key),
                                        NULL, &remote)
          && GPOINTER_TO_UINT (remote) == stamp))
    return;
  compare->max_records--;
  if (instance != NULL)
    gossip_add_instance (compare->scratch, compare->message, instance,
                         walk->detail);
  else
    gossip_add_upstream (compare->scratch, compare->message, upstream,
                         walk->detail);
}

/** Adds the dead and gone records whose keys the summary still contains. */
static void
add_dead_records (const gossip_t *gossip, compare_t *compare)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, gossip->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gossip_instance_t *instance = value;
      uint32_t key = instance_key (instance->record->instance);

      if (instance->record->state >= LWM__INSTANCE_STATE__DEAD
          && g_hash_table_contains (compare->stamps, GUINT_TO_POINTER (key)))
        {
          g_hash_table_add (compare->found, GUINT_TO_POINTER (key));
          gossip_add_instance (compare->scratch, compare->message, instance,
                               false);
        }
    }
  g_hash_table_iter_init (&iter, gossip->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gossip_upstream_t *upstream = value;
      uint32_t key;

      if (upstream->record == NULL || !upstream->record->gone)
        continue;
      key = upstream_key (upstream->record->announcement->upstream);
      if (g_hash_table_contains (compare->stamps, GUINT_TO_POINTER (key)))
        {
          g_hash_table_add (compare->found, GUINT_TO_POINTER (key));
          gossip_add_upstream (compare->scratch, compare->message, upstream,
                               false);
        }
    }
}

static void
request_unknown_records (const compare_t *compare,
                         const Lwm__ZoneSummary *summary)
{
  Lwm__Gossip *message = compare->message;

  message->wanted = talloc_array (compare->scratch, uint32_t, summary->n_keys);
  for (size_t i = 0; i < summary->n_keys; i++)
    if (!g_hash_table_contains (compare->found,
                                GUINT_TO_POINTER (summary->keys[i])))
      message->wanted[message->n_wanted++] = summary->keys[i];
}

bool
gossip_answer_summary (const gossip_t *gossip,
                       void *scratch,
                       const Lwm__ZoneSummary *summary,
                       size_t max_records,
                       Lwm__Gossip *message)
{
  compare_t compare = { .stamps = g_hash_table_new (NULL, NULL),
                        .found = g_hash_table_new (NULL, NULL),
                        .scratch = scratch,
                        .message = message,
                        .max_records = max_records };
  walk_t walk = { .zone = summary->zone,
                  .detail = summary->detail,
                  .context = &compare };

  for (size_t i = 0; i < summary->n_keys && i < summary->n_stamps; i++)
    g_hash_table_insert (compare.stamps, GUINT_TO_POINTER (summary->keys[i]),
                         GUINT_TO_POINTER (summary->stamps[i]));
  walk_zone (gossip, &walk, compare_record);
  add_dead_records (gossip, &compare);
  request_unknown_records (&compare, summary);
  g_hash_table_destroy (compare.stamps);
  g_hash_table_destroy (compare.found);
  return message->n_instances > 0 || message->n_upstreams > 0
         || message->n_wanted > 0;
}

void
gossip_answer_wanted (const gossip_t *gossip,
                      void *scratch,
                      const uint32_t *keys,
                      size_t key_count,
                      Lwm__Gossip *message)
{
  GHashTable *wanted = g_hash_table_new (NULL, NULL);
  GHashTableIter iter;
  void *value;

  for (size_t i = 0; i < key_count; i++)
    g_hash_table_add (wanted, GUINT_TO_POINTER (keys[i]));
  g_hash_table_iter_init (&iter, gossip->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gossip_instance_t *instance = value;
      uint32_t key = instance_key (instance->record->instance);

      if (g_hash_table_contains (wanted, GUINT_TO_POINTER (key)))
        gossip_add_instance (scratch, message, instance, true);
    }
  g_hash_table_iter_init (&iter, gossip->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gossip_upstream_t *upstream = value;
      const Lwm__UpstreamRecord *record = upstream->record;

      if (record != NULL
          && g_hash_table_contains (
              wanted,
              GUINT_TO_POINTER (upstream_key (record->announcement->upstream))))
        gossip_add_upstream (scratch, message, upstream, true);
    }
  g_hash_table_destroy (wanted);
}

static void
move_names_to_array (GHashTable *set, GPtrArray *names)
{
  GHashTableIter iter;
  void *name;

  g_hash_table_iter_init (&iter, set);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      g_ptr_array_add (names, name);
      g_hash_table_iter_steal (&iter);
    }
}

static void
move_instances_to_message (gossip_t *gossip,
                           void *scratch,
                           Lwm__Gossip *message)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);

  move_names_to_array (gossip->out_instances, names);
  for (guint i = 0; i < names->len; i++)
    {
      const gossip_instance_t *instance
          = gossip_instance (gossip, g_ptr_array_index (names, i));

      if (instance != NULL)
        gossip_add_instance (scratch, message, instance, true);
    }
  g_ptr_array_free (names, TRUE);
}

void
gossip_take_outbox (gossip_t *gossip, void *scratch, Lwm__Gossip *message)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  guint records;

  move_instances_to_message (gossip, scratch, message);
  move_names_to_array (gossip->out_upstreams, names);
  records = names->len;
  move_names_to_array (gossip->out_loads, names);
  for (guint i = 0; i < names->len; i++)
    {
      gossip_upstream_t *upstream = g_hash_table_lookup (
          gossip->upstreams, g_ptr_array_index (names, i));

      if (upstream == NULL || upstream->record == NULL)
        continue;
      if (i >= records)
        gossip_commit_load (upstream);
      if (i < records)
        gossip_add_upstream (scratch, message, upstream, false);
      else if (upstream->load != NULL)
        add_load (scratch, message, upstream->load);
    }
  g_ptr_array_free (names, TRUE);
}
