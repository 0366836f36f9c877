#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "gossip-internal.h"
#include "message.h"

#define DEFAULT_ANNOUNCE_MS 1000
/* Number of announcement intervals without an announcement after which an
 * upstream is no longer heard directly. */
#define MAX_MISSED_ANNOUNCES 3
/* When several instances receive an upstream's announcements, jitter lets one
 * of them publish first, so that the other instances need not send the record.
 * The jitter is shorter for a leaving upstream, which must be published
 * quickly. */
#define MAX_PUBLISH_JITTER_MS 300
#define MAX_LEAVING_JITTER_MS 50
/* Time for another instance to take over the records of a dead publisher. */
#define TAKEOVER_GRACE_MS 2000
/* Minimum time between two published loads of one upstream. */
#define MIN_LOAD_INTERVAL_MS 500
#define LOAD_SETTLE_MS       3000 /* minimum duration of a one-step change */
#define RUNNING_STEPS        8    /* resolution of the running requests */
#define KV_STEPS             16   /* resolution of the used KV memory */
#define MIN_WAITING_TOKENS   1024 /* fewer waiting tokens count as zero */
#define GONE_RETENTION_MS    600000

bool
gossip_hears_directly (const gossip_upstream_t *upstream, uint64_t now_ms)
{
  uint64_t limit_ms = (uint64_t)upstream->announce_ms * MAX_MISSED_ANNOUNCES;

  return upstream->direct != NULL
         && now_ms <= upstream->direct_at_ms + limit_ms;
}

const Lwm__Announcement *
gossip_effective_announcement (const gossip_upstream_t *upstream,
                               uint64_t now_ms)
{
  const Lwm__Announcement *published
      = upstream->record != NULL ? upstream->record->announcement : NULL;

  if (published == NULL)
    return upstream->direct;
  if (gossip_hears_directly (upstream, now_ms)
      && upstream->direct->incarnation >= published->incarnation
      && (upstream->direct->leaving || !published->leaving
          || upstream->direct->incarnation > published->incarnation))
    return upstream->direct;
  return published;
}

static bool
is_upstream_gone (const gossip_upstream_t *upstream, uint64_t now_ms)
{
  return !gossip_hears_directly (upstream, now_ms)
         && (upstream->record == NULL || upstream->record->gone);
}

static void
report_upstream (gossip_t *gossip,
                 gossip_upstream_t *upstream,
                 bool direct,
                 uint64_t now_ms)
{
  upstream->reported_gone = is_upstream_gone (upstream, now_ms);
  upstream->reported_direct = gossip_hears_directly (upstream, now_ms);
  if (gossip->options.on_upstream != NULL)
    gossip->options.on_upstream (upstream, upstream->reported_gone, direct,
                                 gossip->options.context);
}

static uint32_t
hash_message (const ProtobufCMessage *message)
{
  size_t size_bytes;
  uint8_t *data = message_pack (NULL, message, &size_bytes);
  uint32_t hash = XXH32 (data, size_bytes, 0);

  talloc_free (data);
  return hash;
}

static void
store_record (gossip_upstream_t *upstream,
              const Lwm__UpstreamRecord *record,
              uint64_t now_ms)
{
  Lwm__UpstreamRecord *before = upstream->record;

  upstream->record = message_copy (upstream, &record->base);
  upstream->content = hash_message (&record->base);
  upstream->changed_at_ms = now_ms;
  if (upstream->announce_ms == 0)
    upstream->announce_ms = record->announce_ms;
  talloc_free (before);
}

static gossip_upstream_t *
find_or_add_upstream (gossip_t *gossip, const char *name)
{
  gossip_upstream_t *upstream = g_hash_table_lookup (gossip->upstreams, name);

  if (upstream == NULL)
    {
      upstream = talloc_zero (gossip, gossip_upstream_t);
      upstream->reported_gone = true;
      g_hash_table_insert (gossip->upstreams, g_strdup (name), upstream);
    }
  return upstream;
}

/** Returns whether the published record differs from the direct one. */
static bool
record_differs (const gossip_upstream_t *upstream, uint64_t now_ms)
{
  const Lwm__UpstreamRecord *record = upstream->record;

  if (!gossip_hears_directly (upstream, now_ms))
    return false;
  if (record == NULL)
    return true;
  if (record->announcement->incarnation > upstream->direct->incarnation)
    return record->gone;
  return record->gone
         || hash_message (&record->announcement->base)
                != hash_message (&upstream->direct->base);
}

static bool
is_publisher (const gossip_t *gossip, const gossip_upstream_t *upstream)
{
  return upstream->record != NULL
         && strcmp (upstream->record->heard_by, gossip->options.instance) == 0;
}

static void
publish_record (gossip_t *gossip, gossip_upstream_t *upstream, uint64_t now_ms)
{
  Lwm__UpstreamRecord record = LWM__UPSTREAM_RECORD__INIT;
  const Lwm__UpstreamRecord *current = upstream->record;

  record.announcement = upstream->direct;
  record.version = 1;
  if (current != NULL
      && current->announcement->incarnation == upstream->direct->incarnation)
    record.version = current->version + 1;
  record.heard_by = (char *)gossip->options.instance;
  record.announce_ms = upstream->announce_ms;
  store_record (upstream, &record, now_ms);
  gossip_forward_upstream (gossip, upstream->direct->upstream);
}

/**
 * Publishes the upstream immediately if this instance is its publisher.
 * Otherwise delays the record, so that the publisher can send it first.
 */
static void
schedule_publish (gossip_t *gossip,
                  gossip_upstream_t *upstream,
                  uint64_t now_ms)
{
  int32_t jitter_ms = upstream->direct->leaving ? MAX_LEAVING_JITTER_MS
                                                : MAX_PUBLISH_JITTER_MS;

  if (is_publisher (gossip, upstream))
    publish_record (gossip, upstream, now_ms);
  else if (upstream->publish_at_ms == 0)
    upstream->publish_at_ms
        = now_ms + (uint64_t)g_rand_int_range (gossip->rand, 1, jitter_ms);
}

static int
compare_upstreams (const Lwm__UpstreamRecord *record,
                   const gossip_upstream_t *current)
{
  const Lwm__UpstreamRecord *other = current->record;
  int order = gossip_compare (record->announcement->incarnation,
                              other->announcement->incarnation);

  if (order == 0)
    order = gossip_compare (record->version, other->version);
  if (order == 0)
    order = gossip_compare (record->gone, other->gone);
  /* Two instances published concurrently. Any order of their records works if
   * all instances use the same one. */
  if (order == 0)
    order = gossip_compare (hash_message (&record->base), current->content);
  return order;
}

gossip_merge_t
gossip_merge_upstream (gossip_t *gossip,
                       const Lwm__UpstreamRecord *record,
                       uint64_t now_ms)
{
  gossip_upstream_t *upstream;

  if (record->announcement == NULL || record->announcement->upstream[0] == '\0')
    return GOSSIP_SAME;
  upstream
      = g_hash_table_lookup (gossip->upstreams, record->announcement->upstream);
  if ((upstream == NULL || upstream->record == NULL) && record->gone)
    return GOSSIP_SAME;
  if (upstream != NULL && upstream->record != NULL)
    {
      int order = compare_upstreams (record, upstream);

      if (order <= 0)
        return order == 0 ? GOSSIP_SAME : GOSSIP_OLDER;
    }
  upstream = find_or_add_upstream (gossip, record->announcement->upstream);
  if (upstream->load != NULL
      && upstream->load->incarnation != record->announcement->incarnation)
    TALLOC_FREE (upstream->load);
  store_record (upstream, record, now_ms);
  upstream->publish_at_ms = 0;
  if (record_differs (upstream, now_ms))
    schedule_publish (gossip, upstream, now_ms);
  report_upstream (gossip, upstream, false, now_ms);
  return GOSSIP_NEWER;
}

static void
store_load (gossip_upstream_t *upstream, const Lwm__Load *load, uint64_t now_ms)
{
  talloc_free (upstream->load);
  upstream->load = message_copy (upstream, &load->base);
  upstream->load_at_ms = now_ms;
}

gossip_merge_t
gossip_merge_load (gossip_t *gossip, const Lwm__Load *load, uint64_t now_ms)
{
  gossip_upstream_t *upstream
      = g_hash_table_lookup (gossip->upstreams, load->upstream);

  if (upstream == NULL || upstream->record == NULL
      || load->incarnation != upstream->record->announcement->incarnation)
    return GOSSIP_SAME;
  if (upstream->load != NULL && load->version <= upstream->load->version)
    return load->version == upstream->load->version ? GOSSIP_SAME
                                                    : GOSSIP_OLDER;
  store_load (upstream, load, now_ms);
  report_upstream (gossip, upstream, false, now_ms);
  return GOSSIP_NEWER;
}

static uint64_t
round_down (uint64_t value, uint64_t step)
{
  return step > 1 ? value - value % step : value;
}

static uint64_t
waiting_bucket (uint64_t tokens)
{
  uint64_t bucket = MIN_WAITING_TOKENS;

  if (tokens < MIN_WAITING_TOKENS)
    return 0;
  while (bucket * 2 <= tokens)
    bucket *= 2;
  return bucket;
}

static Lwm__Load
coarse_load (const Lwm__Announcement *announcement, const Lwm__Load *load)
{
  Lwm__Load coarse = LWM__LOAD__INIT;

  coarse.upstream = announcement->upstream;
  coarse.incarnation = announcement->incarnation;
  coarse.running = (uint32_t)round_down (load->running, announcement->max_batch
                                                            / RUNNING_STEPS);
  coarse.kv_used_tokens
      = round_down (load->kv_used_tokens, announcement->kv_tokens / KV_STEPS);
  coarse.waiting_tokens = waiting_bucket (load->waiting_tokens);
  return coarse;
}

static uint64_t
steps_between (uint64_t a, uint64_t b, uint64_t step)
{
  uint64_t difference = a > b ? a - b : b - a;

  return step > 0 ? difference / step : difference;
}

static uint64_t
load_distance (const Lwm__Announcement *announcement,
               const Lwm__Load *a,
               const Lwm__Load *b)
{
  uint64_t distance = steps_between (a->running, b->running,
                                     announcement->max_batch / RUNNING_STEPS);
  uint64_t kv = steps_between (a->kv_used_tokens, b->kv_used_tokens,
                               announcement->kv_tokens / KV_STEPS);

  distance = MAX (distance, kv);
  if (a->waiting_tokens != b->waiting_tokens)
    distance
        = MAX (distance, a->waiting_tokens == b->waiting_tokens * 2
                                 || b->waiting_tokens == a->waiting_tokens * 2
                             ? 1
                             : 2);
  return distance;
}

/**
 * Publishes a load whose coarse value changed by two steps or more, or by one
 * step for LOAD_SETTLE_MS.
 */
static void
publish_load (gossip_t *gossip,
              gossip_upstream_t *upstream,
              const Lwm__Load *load,
              uint64_t now_ms)
{
  Lwm__Load coarse = coarse_load (upstream->direct, load);
  uint64_t distance = 2;

  if (upstream->load != NULL
      && upstream->load->incarnation == coarse.incarnation)
    distance = load_distance (upstream->direct, &coarse, upstream->load);
  if (distance == 0)
    {
      upstream->load_at_ms = now_ms;
      upstream->load_unchanged_at_ms = now_ms;
    }
  if (distance == 0
      || (distance == 1
          && now_ms < upstream->load_unchanged_at_ms + LOAD_SETTLE_MS)
      || now_ms < upstream->load_published_ms + MIN_LOAD_INTERVAL_MS)
    return;
  talloc_free (upstream->next_load);
  upstream->next_load = message_copy (upstream, &coarse.base);
  upstream->load_at_ms = now_ms;
  upstream->load_unchanged_at_ms = now_ms;
  upstream->load_published_ms = now_ms;
  gossip_add_name (gossip->out_loads, coarse.upstream);
}

void
gossip_commit_load (gossip_upstream_t *upstream)
{
  const Lwm__Load *before = upstream->load;

  if (upstream->next_load == NULL)
    return;
  upstream->next_load->version = 1;
  if (before != NULL && before->incarnation == upstream->next_load->incarnation)
    upstream->next_load->version = before->version + 1;
  talloc_free (upstream->load);
  upstream->load = upstream->next_load;
  upstream->next_load = NULL;
}

/** Stores a direct announcement; leaving is final within an incarnation. */
static void
store_direct_announcement (gossip_upstream_t *upstream,
                           const Lwm__Announcement *announcement,
                           const Lwm__Load *load,
                           uint64_t now_ms)
{
  const Lwm__UpstreamRecord *record = upstream->record;
  bool was_leaving
      = (upstream->direct != NULL && upstream->direct->leaving
         && upstream->direct->incarnation == announcement->incarnation)
        || (record != NULL && record->announcement->leaving
            && record->announcement->incarnation == announcement->incarnation);

  talloc_free (upstream->direct);
  upstream->direct = message_copy (upstream, &announcement->base);
  upstream->direct->leaving = announcement->leaving || was_leaving;
  upstream->direct_at_ms = now_ms;
  if (load != NULL)
    {
      talloc_free (upstream->direct_load);
      upstream->direct_load = message_copy (upstream, &load->base);
    }
}

bool
gossip_put_announcement (gossip_t *gossip,
                         const Lwm__Announcement *announcement,
                         const Lwm__Load *load,
                         uint64_t load_age_ms,
                         uint32_t announce_ms,
                         uint64_t now_ms)
{
  gossip_upstream_t *upstream
      = find_or_add_upstream (gossip, announcement->upstream);
  const Lwm__Announcement *known
      = gossip_effective_announcement (upstream, now_ms);

  if (known != NULL && known->incarnation > announcement->incarnation
      && !is_upstream_gone (upstream, now_ms))
    return false;
  upstream->announce_ms = announce_ms > 0 ? announce_ms : DEFAULT_ANNOUNCE_MS;
  store_direct_announcement (upstream, announcement, load, now_ms);
  upstream->direct_load_ms = now_ms - MIN (load_age_ms, now_ms);
  if (record_differs (upstream, now_ms))
    schedule_publish (gossip, upstream, now_ms);
  if (load != NULL && is_publisher (gossip, upstream))
    publish_load (gossip, upstream, load, now_ms);
  report_upstream (gossip, upstream, true, now_ms);
  return true;
}

static bool
publisher_is_live (const gossip_t *gossip, const Lwm__UpstreamRecord *record)
{
  const gossip_instance_t *publisher
      = g_hash_table_lookup (gossip->instances, record->heard_by);

  return publisher != NULL
         && publisher->record->state < LWM__INSTANCE_STATE__DEAD;
}

static void
publish_upstream_gone (gossip_t *gossip,
                       gossip_upstream_t *upstream,
                       uint64_t now_ms)
{
  Lwm__UpstreamRecord record = *upstream->record;

  record.gone = true;
  record.version++;
  store_record (upstream, &record, now_ms);
  gossip_forward_upstream (gossip, upstream->record->announcement->upstream);
}

/**
 * Takes over an upstream whose publisher died, or marks it as gone when no
 * other instance has taken it over in time.
 */
static void
check_publisher (gossip_t *gossip, gossip_upstream_t *upstream, uint64_t now_ms)
{
  const Lwm__UpstreamRecord *record = upstream->record;
  const gossip_instance_t *publisher
      = g_hash_table_lookup (gossip->instances, record->heard_by);
  uint64_t since_ms = upstream->changed_at_ms;

  if (publisher != NULL)
    since_ms = MAX (since_ms, publisher->changed_at_ms);
  if (gossip_hears_directly (upstream, now_ms))
    schedule_publish (gossip, upstream, now_ms);
  else if (strcmp (record->announcement->zone, gossip->options.zone) == 0
           && now_ms
                  > since_ms + TAKEOVER_GRACE_MS
                        + (uint64_t)record->announce_ms * MAX_MISSED_ANNOUNCES)
    publish_upstream_gone (gossip, upstream, now_ms);
}

bool
gossip_tick_upstream (gossip_t *gossip,
                      gossip_upstream_t *upstream,
                      uint64_t now_ms)
{
  bool is_direct = gossip_hears_directly (upstream, now_ms);

  if (upstream->publish_at_ms != 0 && now_ms >= upstream->publish_at_ms)
    {
      upstream->publish_at_ms = 0;
      if (record_differs (upstream, now_ms)
          || (is_direct && !publisher_is_live (gossip, upstream->record)))
        publish_record (gossip, upstream, now_ms);
    }
  else if (upstream->record != NULL && !upstream->record->gone)
    {
      if (is_publisher (gossip, upstream) && !is_direct)
        publish_upstream_gone (gossip, upstream, now_ms);
      else if (!publisher_is_live (gossip, upstream->record))
        check_publisher (gossip, upstream, now_ms);
    }
  if (is_upstream_gone (upstream, now_ms) != upstream->reported_gone
      || is_direct != upstream->reported_direct)
    report_upstream (gossip, upstream, false, now_ms);
  if (upstream->record == NULL)
    return !is_direct && upstream->publish_at_ms == 0;
  return upstream->reported_gone
         && now_ms > upstream->changed_at_ms + GONE_RETENTION_MS;
}
