#include <string.h>
#include <sys/param.h>
#include <talloc.h>

#include "base.h"
#include "control-client-internal.h"

#define WATCH_INTERVAL_MS 1000
/** Time until a watch is repeated that had no usable answer; it doubles with
 * each repetition. All clients of a fleet may wait at the same time, so the
 * slower the instances are, the less often they are asked. */
#define FIRST_REPEAT_MS  250
#define MAX_REPEAT_MS    2000
#define WATCH_TIMEOUT_MS 2500 /* source timeout: next peer becomes source */
#define MAX_BEHIND_MS    100  /* tolerated lag: the source may push later */
#define KEEP_SOURCE_MS   5000 /* a new source is kept at least this long */

/** Returns a time that differs by up to an eighth, so that clients that started
 * together do not ask at the same moment. */
static uint64_t
add_jitter (uint64_t wait_ms)
{
  return wait_ms - wait_ms / 8 + random_id () % (wait_ms / 4 + 1);
}

/** Returns how long a watch to a peer is not repeated. */
static uint64_t
repeat_delay_ms (const control_peer_t *peer)
{
  uint32_t doublings = MIN (peer->fruitless_watches, 4);

  return MIN ((uint64_t)FIRST_REPEAT_MS << doublings, MAX_REPEAT_MS);
}

/** Schedules a watch as early as its peer may be asked again. */
static void
watch_soon (control_peer_t *peer)
{
  uint64_t earliest_ms
      = peer->watch_sent_ms > 0
            ? peer->watch_sent_ms + add_jitter (repeat_delay_ms (peer))
            : 0;

  peer->watch_due_ms = MIN (peer->watch_due_ms, earliest_ms);
}

/** Makes a peer the revision source, and schedules a watch request to it. */
static void
set_revision_source (control_client_t *client, size_t index)
{
  client->source = index;
  client->source_heard_ms = client->source_since_ms = clock_mono_ms ();
  client->behind_since_ms = 0;
  watch_soon (client->peers[index]);
}

/** Makes the next peer the revision source. */
static void
switch_revision_source (control_client_t *client)
{
  set_revision_source (client, (client->source + 1) % client->peer_count);
}

/** Makes @a peer the source if the source has been behind for too long. */
static void
check_source_lag (control_client_t *client,
                  const control_peer_t *peer,
                  uint64_t number)
{
  uint64_t now_ms = clock_mono_ms ();

  if (number <= client->known)
    return;
  if (client->behind_since_ms == 0)
    client->behind_since_ms = now_ms;
  else if (client->behind_since_ms + MAX_BEHIND_MS < now_ms
           && peer->index != client->source)
    set_revision_source (client, peer->index);
}

static void
handle_directory (control_client_t *client,
                  control_peer_t *peer,
                  const Lwm__ControlDirectory *part)
{
  bool is_next
      = part->since == 0
        || (part->epoch == peer->epoch && part->since <= peer->version);

  if (part->epoch != peer->epoch)
    peer->watchers_version = 0;
  if (is_next)
    {
      peer->epoch = part->epoch;
      peer->version = part->version;
    }
  else
    /* An earlier message was lost. */
    watch_soon (peer);
  if (part->watchers_version > 0)
    peer->watchers_version = part->watchers_version;
  if (client->options.zone != NULL && *part->zone != '\0')
    peer->is_own_zone = strcmp (part->zone, client->options.zone) == 0;
  for (size_t i = 0; i < part->n_replicas; i++)
    control_client_add_peer (client, part->replicas[i]);
  check_source_lag (client, peer, part->config_number);
  if (client->options.on_directory != NULL)
    client->options.on_directory (part, client->options.context);
}

/** Makes a peer in the own zone the source, which saves traffic between zones,
 * unless it is behind or the source was changed just now. */
static void
prefer_own_zone (control_client_t *client,
                 const control_peer_t *peer,
                 const Lwm__ControlAnswer *answer)
{
  uint64_t now_ms = clock_mono_ms ();

  if (!peer->is_own_zone || client->peers[client->source]->is_own_zone
      || answer->stale || answer->directory->config_number < client->known
      || client->source_since_ms + KEEP_SOURCE_MS > now_ms)
    return;
  set_revision_source (client, peer->index);
}

/** Returns whether a revision may be used. The first one must not come from a
 * replica that may be behind, until CONTROL_CLIENT_REJECT_STALE_MS after the
 * start. */
static bool
is_watch_answer_usable (const control_client_t *client,
                        const Lwm__ControlAnswer *answer)
{
  return !answer->stale || client->known > 0
         || client->started_ms + CONTROL_CLIENT_REJECT_STALE_MS
                < clock_mono_ms ();
}

void
control_client_watch_answered (control_client_t *client,
                               control_peer_t *peer,
                               const Lwm__ControlAnswer *answer)
{
  if (!answer->stale)
    peer->fruitless_watches = 0;
  if (answer->drain_report != NULL)
    control_client_accept_drains (client, answer->drain_report);
  if (answer->revision != NULL && is_watch_answer_usable (client, answer))
    {
      control_client_accept_revision (client, answer->revision);
      client->behind_since_ms = 0;
    }
  if (answer->directory != NULL)
    {
      handle_directory (client, peer, answer->directory);
      prefer_own_zone (client, peer, answer);
    }
  if (peer->index != client->source)
    return;
  if (!answer->stale)
    {
      client->source_heard_ms = clock_mono_ms ();
      return;
    }
  /* The replica may be partitioned from a group that continues without it. */
  switch_revision_source (client);
}

static void
send_watch (control_client_t *client, control_peer_t *peer, uint64_t now_ms)
{
  Lwm__ControlRequest request = LWM__CONTROL_REQUEST__INIT;
  Lwm__ControlWatch what = LWM__CONTROL_WATCH__INIT;
  bool is_source = peer->index == client->source;
  size_t size_bytes;
  uint8_t *data;

  peer->watch_sent_ms = now_ms;
  peer->watch_due_ms
      = now_ms + add_jitter (MAX (repeat_delay_ms (peer), WATCH_INTERVAL_MS));
  peer->fruitless_watches++;
  what.known = client->known;
  what.no_config = !is_source || client->options.on_revision == NULL;
  what.directory = client->options.on_directory != NULL;
  what.epoch = peer->epoch;
  what.version = peer->version;
  what.drains = client->options.on_drains != NULL;
  what.drains_version = zone_drains_state (client->drains)->version;
  if (client->options.address != NULL)
    what.address = (char *)client->options.address;
  if (client->options.zone != NULL)
    what.zone = (char *)client->options.zone;
  what.watchers_version = peer->watchers_version;
  request.what_case = LWM__CONTROL_REQUEST__WHAT_WATCH;
  request.watch = &what;
  data = control_client_pack (client, &request, &size_bytes);
  control_client_send (client, peer->index, data, size_bytes);
  talloc_free (data);
}

void
control_client_update_watches (control_client_t *client, uint64_t now_ms)
{
  if (client->options.on_revision == NULL)
    return;
  if (client->source_heard_ms + WATCH_TIMEOUT_MS < now_ms)
    switch_revision_source (client);
  for (size_t i = 0; i < client->peer_count; i++)
    {
      control_peer_t *peer = client->peers[i];

      if (now_ms >= peer->watch_due_ms
          && (i == client->source || client->options.on_directory != NULL))
        send_watch (client, peer, now_ms);
    }
}
