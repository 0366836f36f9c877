#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "membership-internal.h"
#include "message.h"
#define LOG_PART "gossip"
#include "logging.h"

#define MAX_SYNC_RECORDS 500 /* limit of records in one answer to a summary */
/* Limit of members of the sender's zone in one answer. */
#define MAX_DISCOVERED_MEMBERS 5

/** A message being handled and the reply that its handlers add to. */
typedef struct
{
  membership_t *membership;
  const Lwm__Gossip *message;
  const Lwm__InstanceRecord *from;
  bool same_zone;
  uint64_t now_ms;
  void *scratch;
  Lwm__Gossip reply;
  bool has_reply;
} exchange_t;

static bool
is_own_zone (const membership_t *membership, const char *zone)
{
  return strcmp (zone, gossip_self (membership->gossip)->zone) == 0;
}

static void
reply_with_instance (exchange_t *exchange, const char *name)
{
  const gossip_instance_t *instance
      = gossip_instance (exchange->membership->gossip, name);

  if (instance == NULL)
    return;
  gossip_add_instance (exchange->scratch, &exchange->reply, instance, false);
  exchange->has_reply = true;
}

static void
take_instance (exchange_t *exchange, const Lwm__InstanceRecord *record)
{
  membership_t *membership = exchange->membership;

  switch (gossip_merge_instance (membership->gossip, record, exchange->now_ms))
    {
    case GOSSIP_NEWER:
      if (exchange->same_zone)
        membership_announce_instance_to_other_zones (membership,
                                                     record->instance);
      else
        gossip_forward_instance (membership->gossip, record->instance);
      break;
    case GOSSIP_OLDER:
      reply_with_instance (exchange, record->instance);
      break;
    case GOSSIP_SAME:
      break;
    }
}

static void
take_upstream (exchange_t *exchange, const Lwm__UpstreamRecord *record)
{
  membership_t *membership = exchange->membership;
  const char *name;

  if (record->announcement == NULL)
    return;
  name = record->announcement->upstream;
  switch (gossip_merge_upstream (membership->gossip, record, exchange->now_ms))
    {
    case GOSSIP_NEWER:
      if (exchange->same_zone)
        membership_announce_upstream_to_other_zones (membership, name);
      else
        gossip_forward_upstream (membership->gossip, name);
      break;
    case GOSSIP_OLDER:
      gossip_add_upstream (exchange->scratch, &exchange->reply,
                           gossip_upstream (membership->gossip, name), false);
      exchange->has_reply = true;
      break;
    case GOSSIP_SAME:
      break;
    }
}

static void
take_progress (exchange_t *exchange, const Lwm__Progress *progress)
{
  membership_t *membership = exchange->membership;
  const Lwm__Revision *revision = progress->revision;

  if (gossip_merge_progress (membership->gossip, progress) != GOSSIP_NEWER)
    return;
  if (revision->number == revision_number (membership->revision)
      && strcmp (revision->digest, revision_digest (membership->revision)) != 0)
    revision_report_conflict (membership->revision, revision->digest,
                              progress->instance);
  membership_learn_revision (membership, progress->instance, revision,
                             exchange->now_ms);
}

static void
take_records (exchange_t *exchange)
{
  const Lwm__Gossip *message = exchange->message;

  for (size_t i = 0; i < message->n_instances; i++)
    take_instance (exchange, message->instances[i]);
  for (size_t i = 0; i < message->n_upstreams; i++)
    take_upstream (exchange, message->upstreams[i]);
  for (size_t i = 0; i < message->n_loads; i++)
    gossip_merge_load (exchange->membership->gossip, message->loads[i],
                       exchange->now_ms);
  for (size_t i = 0; i < message->n_progress; i++)
    take_progress (exchange, message->progress[i]);
}

/**
 * Refutes a suspicion of this instance by merging it as a suspect record, which
 * raises the own version.
 */
static void
refute_suspicion (exchange_t *exchange, const Lwm__Suspicion *suspicion)
{
  gossip_t *gossip = exchange->membership->gossip;
  Lwm__InstanceRecord suspect = *gossip_self (gossip);

  suspect.incarnation = suspicion->incarnation;
  suspect.version = suspicion->version;
  suspect.state = LWM__INSTANCE_STATE__SUSPECT;
  gossip_merge_instance (gossip, &suspect, exchange->now_ms);
  reply_with_instance (exchange, suspect.instance);
}

static void
take_suspicions (exchange_t *exchange)
{
  const Lwm__Gossip *message = exchange->message;
  membership_t *membership = exchange->membership;

  for (size_t i = 0; i < message->n_suspicions; i++)
    {
      const Lwm__Suspicion *suspicion = message->suspicions[i];

      if (strcmp (suspicion->instance,
                  gossip_self (membership->gossip)->instance)
          == 0)
        refute_suspicion (exchange, suspicion);
      else if (failure_add_suspicion (membership->failure, suspicion->instance,
                                      suspicion->incarnation,
                                      suspicion->version, suspicion->by,
                                      exchange->now_ms))
        gossip_mark_instance (membership->gossip, suspicion->instance,
                              suspicion->incarnation, suspicion->version,
                              LWM__INSTANCE_STATE__SUSPECT, exchange->now_ms);
    }
}

/** Tells the sender that it is suspected or dead here, so it can refute it. */
static void
send_sender_its_state (exchange_t *exchange)
{
  Lwm__Suspicion *suspicion;

  if (exchange->from->state == LWM__INSTANCE_STATE__DEAD)
    reply_with_instance (exchange, exchange->from->instance);
  if (exchange->from->state != LWM__INSTANCE_STATE__SUSPECT)
    return;
  suspicion = talloc (exchange->scratch, Lwm__Suspicion);
  lwm__suspicion__init (suspicion);
  suspicion->instance = exchange->from->instance;
  suspicion->incarnation = exchange->from->incarnation;
  suspicion->version = exchange->from->version;
  suspicion->by = exchange->reply.from;
  exchange->reply.suspicions
      = talloc_array (exchange->scratch, Lwm__Suspicion *, 1);
  exchange->reply.suspicions[0] = suspicion;
  exchange->reply.n_suspicions = 1;
  exchange->has_reply = true;
}

static Lwm__Probe *
reply_with_probe (exchange_t *exchange, Lwm__ProbeKind kind, uint32_t sequence)
{
  Lwm__Probe *probe = talloc (exchange->scratch, Lwm__Probe);

  lwm__probe__init (probe);
  probe->kind = kind;
  probe->sequence = sequence;
  exchange->reply.probe = probe;
  exchange->has_reply = true;
  return probe;
}

static void
reply_with_revision (exchange_t *exchange)
{
  const revision_t *held = exchange->membership->revision;
  Lwm__Revision *revision;

  if (revision_number (held) == 0)
    return;
  revision = talloc (exchange->scratch, Lwm__Revision);
  lwm__revision__init (revision);
  revision->number = revision_number (held);
  revision->digest = (char *)revision_digest (held);
  exchange->reply.revision = revision;
}

/**
 * Answers a discovery ping with the own record, the revision in force and some
 * instances of the sender's zone.
 */
static void
answer_discovery (exchange_t *exchange)
{
  membership_t *membership = exchange->membership;
  GPtrArray *others;

  reply_with_instance (exchange, gossip_self (membership->gossip)->instance);
  reply_with_revision (exchange);
  if (exchange->same_zone)
    return;
  others = zones_other_instances (membership->gossip, exchange->from->zone);
  for (guint i = 0; i < others->len && i < MAX_DISCOVERED_MEMBERS; i++)
    reply_with_instance (exchange,
                         ((Lwm__InstanceRecord *)others->pdata[i])->instance);
  g_ptr_array_free (others, TRUE);
}

static void
answer_ping (exchange_t *exchange)
{
  uint32_t sequence = exchange->message->probe->sequence;

  reply_with_probe (exchange, LWM__PROBE_KIND__PROBE_ACK, sequence);
  if (sequence == 0)
    answer_discovery (exchange);
}

/** Replies with the hash of every zone when the state hashes differ. */
static void
compare_state (exchange_t *exchange)
{
  gossip_t *gossip = exchange->membership->gossip;
  uint64_t theirs = exchange->message->state_hash;

  if (theirs == 0 || theirs == gossip_state_hash (gossip, exchange->same_zone))
    return;
  gossip_put_hashes (gossip, exchange->scratch, exchange->same_zone,
                     &exchange->reply);
  exchange->has_reply = true;
}

/** Pings the target on behalf of the sender, under a separate sequence. */
static void
probe_on_behalf (exchange_t *exchange)
{
  membership_t *membership = exchange->membership;
  const Lwm__Probe *request = exchange->message->probe;
  relayed_probe_t *relay
      = &membership->relays[membership->relay_sequence % MAX_RELAYED_PROBES];
  Lwm__Gossip message;
  Lwm__Probe probe = LWM__PROBE__INIT;

  /* The top bit separates these sequences from the failure detector's. */
  relay->sequence = (membership->relay_sequence++) | 0x80000000u;
  g_strlcpy (relay->origin, exchange->from->instance, sizeof relay->origin);
  relay->origin_sequence = request->sequence;
  g_strlcpy (relay->target, request->target, sizeof relay->target);
  membership_message (membership, &message);
  probe.kind = LWM__PROBE_KIND__PROBE_PING;
  probe.sequence = relay->sequence;
  message.probe = &probe;
  membership_send (membership, request->target, GOSSIP_NET_PROBE, &message);
}

static void
relay_ack (membership_t *membership, uint32_t sequence)
{
  for (size_t i = 0; i < MAX_RELAYED_PROBES; i++)
    {
      relayed_probe_t *relay = &membership->relays[i];
      Lwm__Gossip message;
      Lwm__Probe probe = LWM__PROBE__INIT;

      if (relay->sequence != sequence || relay->origin[0] == '\0')
        continue;
      membership_message (membership, &message);
      probe.kind = LWM__PROBE_KIND__PROBE_RELAYED_ACK;
      probe.sequence = relay->origin_sequence;
      probe.target = relay->target;
      message.probe = &probe;
      membership_send (membership, relay->origin, GOSSIP_NET_PROBE, &message);
      relay->origin[0] = '\0';
    }
}

static void
take_ack (exchange_t *exchange)
{
  membership_t *membership = exchange->membership;
  uint32_t sequence = exchange->message->probe->sequence;

  failure_ack (membership->failure, exchange->from->instance, sequence);
  relay_ack (membership, sequence);
  if (sequence == 0)
    membership_on_discovered (membership, exchange->from, exchange->now_ms);
}

static void
take_probe (exchange_t *exchange)
{
  const Lwm__Probe *probe = exchange->message->probe;

  switch (probe->kind)
    {
    case LWM__PROBE_KIND__PROBE_PING:
      answer_ping (exchange);
      break;
    case LWM__PROBE_KIND__PROBE_ACK:
      take_ack (exchange);
      break;
    case LWM__PROBE_KIND__PROBE_INDIRECT:
      probe_on_behalf (exchange);
      break;
    case LWM__PROBE_KIND__PROBE_RELAYED_ACK:
      failure_ack (exchange->membership->failure, probe->target,
                   probe->sequence);
      break;
    default:
      break;
    }
}

/** Sends a summary of each zone whose hash differs from the sender's. */
static void
compare_hashes (exchange_t *exchange)
{
  membership_t *membership = exchange->membership;
  const Lwm__Gossip *message = exchange->message;

  for (size_t i = 0; i < message->n_hashes; i++)
    {
      const Lwm__ZoneHash *theirs = message->hashes[i];
      bool detail
          = exchange->same_zone && is_own_zone (membership, theirs->zone);
      Lwm__Gossip summary;

      if (theirs->hash
          == gossip_zone_hash (membership->gossip, theirs->zone, detail))
        continue;
      membership_message (membership, &summary);
      summary.summary = gossip_summary (membership->gossip, exchange->scratch,
                                        theirs->zone, detail);
      membership_send (membership, exchange->from->instance, GOSSIP_NET_SYNC,
                       &summary);
    }
}

static void
handle_sync (exchange_t *exchange)
{
  const gossip_t *gossip = exchange->membership->gossip;
  const Lwm__Gossip *message = exchange->message;

  if (message->summary != NULL)
    exchange->has_reply
        |= gossip_answer_summary (gossip, exchange->scratch, message->summary,
                                  MAX_SYNC_RECORDS, &exchange->reply);
  if (message->n_wanted > 0)
    {
      gossip_answer_wanted (gossip, exchange->scratch, message->wanted,
                            message->n_wanted, &exchange->reply);
      exchange->has_reply = true;
    }
}

/** Sends the requested part if the revision in force is the requested one. */
static void
send_revision_part (exchange_t *exchange, const Lwm__RevisionPart *request)
{
  membership_t *membership = exchange->membership;
  Lwm__RevisionPart part = *request;
  Lwm__Gossip message;
  size_t size_bytes;
  const uint8_t *packed = revision_packed (membership->revision, &size_bytes);

  if (request->revision->number != revision_number (membership->revision)
      || strcmp (request->revision->digest,
                 revision_digest (membership->revision))
             != 0
      || request->offset_bytes >= size_bytes)
    return;
  part.total_bytes = (uint32_t)size_bytes;
  part.data.data = (uint8_t *)packed + request->offset_bytes;
  part.data.len
      = MIN (size_bytes - request->offset_bytes, (size_t)REVISION_PART_BYTES);
  membership_message (membership, &message);
  message.part = &part;
  membership_send (membership, exchange->from->instance, GOSSIP_NET_CONFIG,
                   &message);
}

static void
take_revision (exchange_t *exchange)
{
  membership_t *membership = exchange->membership;
  const Lwm__Gossip *message = exchange->message;

  if (message->revision != NULL)
    membership_learn_revision (membership, exchange->from->instance,
                               message->revision, exchange->now_ms);
  if (message->part == NULL || message->part->revision == NULL)
    return;
  if (message->part->data.len == 0)
    send_revision_part (exchange, message->part);
  else
    revision_fetch_receive (membership->fetch, message->part, exchange->now_ms);
}

static void
handle_message (exchange_t *exchange)
{
  membership_t *membership = exchange->membership;
  const Lwm__Gossip *message = exchange->message;

  send_sender_its_state (exchange);
  take_records (exchange);
  take_suspicions (exchange);
  if (message->probe != NULL)
    take_probe (exchange);
  compare_state (exchange);
  compare_hashes (exchange);
  handle_sync (exchange);
  take_revision (exchange);
  if (message->owned != NULL && exchange->same_zone)
    owners_receive (membership->owners, exchange->from->instance,
                    message->incarnation, message->owned);
  if (message->evidence != NULL)
    membership_take_evidence (membership, message);
  if (message->join)
    membership_answer_join (membership, exchange->from, exchange->now_ms);
  if (message->joined)
    membership_joined (membership, "state received");
}

/** Returns the sender's record; a discovery ping includes it. */
static const Lwm__InstanceRecord *
find_sender (membership_t *membership,
             const Lwm__Gossip *message,
             uint64_t now_ms)
{
  const gossip_instance_t *instance
      = gossip_instance (membership->gossip, message->from);

  if (instance == NULL)
    for (size_t i = 0; i < message->n_instances; i++)
      if (strcmp (message->instances[i]->instance, message->from) == 0)
        {
          if (gossip_merge_instance (membership->gossip, message->instances[i],
                                     now_ms)
                  == GOSSIP_NEWER
              && !is_own_zone (membership, message->instances[i]->zone))
            gossip_forward_instance (membership->gossip, message->from);
          instance = gossip_instance (membership->gossip, message->from);
        }
  return instance != NULL ? instance->record : NULL;
}

static gossip_net_kind_t
reply_kind (const Lwm__Gossip *reply)
{
  if (reply->probe != NULL)
    return GOSSIP_NET_PROBE;
  return GOSSIP_NET_SYNC;
}

void
membership_on_message (const Lwm__Gossip *message, void *context)
{
  membership_t *membership = context;
  exchange_t exchange = { .membership = membership,
                          .message = message,
                          .now_ms = clock_mono_ms () };
  const Lwm__InstanceRecord *self = gossip_self (membership->gossip);

  if (strcmp (message->from, self->instance) == 0)
    {
      log_warn ("Received a message with this instance's own name."
                " incarnation=%" PRIu64,
                message->incarnation);
      return;
    }
  exchange.from = find_sender (membership, message, exchange.now_ms);
  /* Messages of an earlier incarnation of the sender are outdated. */
  if (exchange.from == NULL
      || message->incarnation < exchange.from->incarnation)
    return;
  exchange.same_zone = is_own_zone (membership, exchange.from->zone);
  exchange.scratch = talloc_new (NULL);
  exchange.from = message_copy (exchange.scratch, &exchange.from->base);
  membership_message (membership, &exchange.reply);
  handle_message (&exchange);
  if (exchange.has_reply)
    membership_send (membership, exchange.from->instance,
                     reply_kind (&exchange.reply), &exchange.reply);
  membership_schedule_flush (membership);
  talloc_free (exchange.scratch);
}
