#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "membership-internal.h"
#define LOG_PART "config"
#include "logging.h"

#define FETCH_JITTER_MS 600
/* Delay before an abandoned fetch is restarted. */
#define FETCH_INTERVAL_MS 1000

void
membership_deliver_config (membership_t *membership)
{
  uint64_t number = revision_number (membership->revision);

  if (number == membership->delivered || !membership_is_ready (membership))
    return;
  membership->delivered = number;
  /* From now on, new ids contain this incarnation. */
  gossip_freeze_incarnation (membership->gossip);
  if (membership->options.on_config != NULL)
    membership->options.on_config (revision_config (membership->revision),
                                   revision_digest (membership->revision),
                                   membership->options.context);
}

static void
on_revision_taken (const Lwm__Config *config, const char *digest, void *context)
{
  membership_t *membership = context;

  gossip_set_revision (membership->gossip, config->number, digest);
  membership_schedule_flush (membership);
  membership_schedule_cross_zone (membership);
  membership_deliver_config (membership);
}

static void
on_folder_loaded (const Lwm__Config *config, void *context)
{
  membership_t *membership = context;
  Lwm__Config numbered = *config;
  revision_result_t result;

  if (membership->options.on_folder != NULL)
    {
      membership->options.on_folder (config, membership->options.context);
      return;
    }
  /* A folder without a revision number is accepted as the first revision
   * only. */
  if (numbered.number == 0 && membership->highest_known == 0
      && revision_number (membership->revision) == 0)
    numbered.number = 1;
  result = revision_offer (membership->revision, &numbered, "folder");
  if (result == REVISION_INVALID)
    log_error ("Configuration folder has no revision number. folder=%s",
               membership->options.config_folder);
  if (result == REVISION_STALE)
    log_warn ("Configuration folder is older than the revision in force."
              " number=%" PRIu64 " in_force=%" PRIu64,
              config->number, revision_number (membership->revision));
}

bool
membership_load_folder (membership_t *membership, char **mistakes)
{
  return membership->watch == NULL
         || config_watch_load (membership->watch, mistakes);
}

static void
on_revision_fetched (const Lwm__Config *config, void *context)
{
  membership_t *membership = context;

  revision_offer (membership->revision, config, "gossip");
}

/** Returns the other instances of the zone that have the revision. */
static GPtrArray *
find_holders (const membership_t *membership, const Lwm__Revision *revision)
{
  GPtrArray *others = zones_other_instances (
      membership->gossip, gossip_self (membership->gossip)->zone);

  for (guint i = others->len; i > 0; i--)
    {
      const Lwm__InstanceRecord *record = others->pdata[i - 1];
      const gossip_instance_t *instance
          = gossip_instance (membership->gossip, record->instance);

      if (instance->revision_number != revision->number
          || strcmp (instance->revision_digest, revision->digest) != 0)
        g_ptr_array_remove_index_fast (others, i - 1);
    }
  return others;
}

static void
request_revision_part (const Lwm__RevisionPart *request, void *context)
{
  membership_t *membership = context;
  GPtrArray *sources = find_holders (membership, request->revision);
  const char *source = membership->fetch_source;
  Lwm__Gossip message;

  if (sources->len > 0)
    {
      gint32 pick
          = g_rand_int_range (membership->rand, 0, (gint32)sources->len);

      source = ((Lwm__InstanceRecord *)sources->pdata[pick])->instance;
    }
  membership_message (membership, &message);
  message.part = (Lwm__RevisionPart *)request;
  if (source != NULL)
    membership_send (membership, source, GOSSIP_NET_CONFIG, &message);
  g_ptr_array_free (sources, TRUE);
}

void
membership_learn_revision (membership_t *membership,
                           const char *instance,
                           const Lwm__Revision *revision,
                           uint64_t now_ms)
{
  if (revision->number > membership->highest_known)
    membership->highest_known = revision->number;
  if (revision->number <= revision_number (membership->revision)
      || revision->digest[0] == '\0'
      || revision->number < revision_fetch_number (membership->fetch))
    return;
  talloc_free (membership->fetch_source);
  membership->fetch_source = talloc_strdup (membership, instance);
  revision_fetch_start (membership->fetch, revision->number, revision->digest,
                        now_ms);
}

/** Returns the zone peer with the highest revision, or NULL. */
static const gossip_instance_t *
find_highest_revision (const membership_t *membership)
{
  GPtrArray *others = zones_other_instances (
      membership->gossip, gossip_self (membership->gossip)->zone);
  const gossip_instance_t *best = NULL;

  for (guint i = 0; i < others->len; i++)
    {
      const Lwm__InstanceRecord *record = others->pdata[i];
      const gossip_instance_t *instance
          = gossip_instance (membership->gossip, record->instance);

      if (best == NULL || instance->revision_number > best->revision_number)
        best = instance;
    }
  g_ptr_array_free (others, TRUE);
  return best;
}

void
membership_tick_config (membership_t *membership, uint64_t now_ms)
{
  const gossip_instance_t *best;
  Lwm__Revision revision = LWM__REVISION__INIT;

  revision_fetch_tick (membership->fetch, now_ms);
  if (now_ms < membership->fetch_check_at_ms
      || revision_fetch_number (membership->fetch) != 0)
    return;
  membership->fetch_check_at_ms = now_ms + FETCH_INTERVAL_MS;
  best = find_highest_revision (membership);
  if (best == NULL)
    return;
  revision.number = best->revision_number;
  revision.digest = best->revision_digest;
  membership_learn_revision (membership, best->record->instance, &revision,
                             now_ms);
}

bool
membership_add_revision (membership_t *membership, uint64_t seed)
{
  const membership_options_t *options = &membership->options;
  revision_options_t revision = { .data_folder = options->data_folder,
                                  .metrics = options->metrics,
                                  .on_revision_applied = on_revision_taken,
                                  .context = membership };
  revision_fetch_options_t fetch = { .seed = seed,
                                     .jitter_ms = FETCH_JITTER_MS,
                                     .ask = request_revision_part,
                                     .done = on_revision_fetched,
                                     .context = membership };
  config_watch_options_t watch = { .base = options->base,
                                   .folder = options->config_folder,
                                   .on_loaded = on_folder_loaded,
                                   .context = membership };

  membership->fetch = revision_fetch_new (membership, &fetch);
  membership->revision = revision_new (membership, &revision);
  if (membership->revision == NULL)
    return false;
  if (revision_number (membership->revision) > 0)
    gossip_set_revision (membership->gossip,
                         revision_number (membership->revision),
                         revision_digest (membership->revision));
  if (options->config_folder != NULL && options->config_folder[0] != '\0')
    membership->watch = config_watch_new (membership, &watch);
  return true;
}
