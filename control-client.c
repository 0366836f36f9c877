#include <event2/event.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>
#include <zmq.h>

#include "base.h"
#include "control-client-internal.h"
#define LOG_PART "control-client"
#include "logging.h"

#define QUEUE_MESSAGES     4096
#define TICK_MS            50
#define RESEND_AFTER_MS    400  /* unanswered call: try another replica */
#define NO_LEADER_RETRY_MS 100  /* retry delay while no leader is known */
#define SKIP_AFTER_MS      150  /* no answer: other peers are preferred */
#define SKIPPED_RETRY_MS   1000 /* last send to a skipped peer until a retry */
#define KEEP_PEER_MS       1000 /* named or heard: no other takes its place */
#define MAX_REDIRECTS      4    /* followed by a call without a delay */
#define NO_PEER            SIZE_MAX

/** A call that has not ended yet. */
typedef struct
{
  uint64_t id;
  uint8_t *data; /* packed message */
  size_t size_bytes;
  uint64_t deadline_ms;
  uint64_t resend_ms;
  size_t target;       /* peer to which the call was sent last */
  uint32_t unanswered; /* number of sends without any answer so far */
  uint32_t redirects;  /* number of redirects followed without a delay */
  bool maybe_done;
  bool any_peer; /* any replica may answer the call */
  control_answer_cb_t done;
  void *context;
} call_t;

static void
count_metric (metric_t *metric, uint64_t amount)
{
  if (metric != NULL)
    metric_add (metric, amount);
}

bool
control_client_send (control_client_t *client,
                     size_t index,
                     const uint8_t *data,
                     size_t size_bytes)
{
  mq_frame_t frame = { .data = data, .size_bytes = size_bytes };
  control_peer_t *peer = client->peers[index];

  peer->sent_ms = clock_mono_ms ();
  if (peer->unanswered_since_ms == 0)
    peer->unanswered_since_ms = peer->sent_ms;
  if (!mq_send (peer->mq, &frame, 1))
    return false;
  count_metric (client->counters.messages_out, 1);
  count_metric (client->counters.bytes_out, size_bytes);
  return true;
}

/** Returns whether other peers are preferred to an unresponsive @a peer. */
static bool
is_peer_skipped (const control_peer_t *peer, uint64_t now_ms)
{
  return peer->unanswered_since_ms != 0
         && peer->unanswered_since_ms + SKIP_AFTER_MS < now_ms
         && peer->sent_ms + SKIPPED_RETRY_MS > now_ms;
}

/** Returns the next peer in turn, or a skipped peer if all are skipped. */
static size_t
next_peer (control_client_t *client)
{
  uint64_t now_ms = clock_mono_ms ();

  for (size_t i = 0; i < client->peer_count; i++)
    {
      client->round_robin = (client->round_robin + 1) % client->peer_count;
      if (!is_peer_skipped (client->peers[client->round_robin], now_ms))
        break;
    }
  return client->round_robin;
}

static void
send_call (control_client_t *client, call_t *call)
{
  call->target = !call->any_peer && client->leader != NO_PEER
                     ? client->leader
                     : next_peer (client);
  call->resend_ms = clock_mono_ms () + RESEND_AFTER_MS;
  if (control_client_send (client, call->target, call->data, call->size_bytes))
    call->unanswered++;
}

static void
end_call (control_client_t *client,
          call_t *call,
          const Lwm__ControlAnswer *answer)
{
  /* The callback may start calls, so the ended call is removed first. */
  g_hash_table_remove (client->calls, &call->id);
  if (call->done != NULL)
    call->done (answer, call->context);
  talloc_free (call);
}

/** Finds a peer by name or, if no peer has that name, by address. */
static size_t
find_peer (const control_client_t *client,
           const char *name,
           const char *address)
{
  for (size_t i = 0; i < client->peer_count; i++)
    if (client->peers[i]->name != NULL && *name != '\0'
        && strcmp (client->peers[i]->name, name) == 0)
      return i;
  for (size_t i = 0; i < client->peer_count; i++)
    if (strcmp (client->peers[i]->address, address) == 0)
      return i;
  return NO_PEER;
}

static size_t add_peer (control_client_t *client, const char *address);

/** Follows a redirect at once, or later if it names no other replica. */
static void
on_redirect (control_client_t *client,
             call_t *call,
             const control_peer_t *from,
             const Lwm__ControlAnswer *answer)
{
  size_t leader = NO_PEER;

  if (call->unanswered > 0)
    call->unanswered--;
  call->maybe_done = call->maybe_done || answer->maybe_done;
  if (*answer->leader_address != '\0')
    {
      leader = find_peer (client, answer->leader, answer->leader_address);
      if (leader == NO_PEER)
        leader = add_peer (client, answer->leader_address);
    }
  client->leader = leader == from->index ? NO_PEER : leader;
  if (client->leader != NO_PEER && call->redirects++ < MAX_REDIRECTS)
    {
      send_call (client, call);
      return;
    }
  call->redirects = 0;
  call->resend_ms = clock_mono_ms () + NO_LEADER_RETRY_MS;
}

static void
on_not_ready (call_t *call, const Lwm__ControlAnswer *answer)
{
  if (call->unanswered > 0)
    call->unanswered--;
  call->resend_ms = clock_mono_ms () + answer->retry_after_ms;
}

void
control_client_accept_revision (control_client_t *client,
                                const Lwm__ControlRevision *revision)
{
  if (revision->number <= client->known || revision->config.len == 0)
    return;
  client->known = revision->number;
  if (client->options.on_revision != NULL)
    client->options.on_revision (revision, client->options.context);
}

static void
handle_answer (control_client_t *client,
               const control_peer_t *peer,
               const Lwm__ControlAnswer *answer)
{
  call_t *call = g_hash_table_lookup (client->calls, &answer->id);

  if (call == NULL)
    return;
  if (answer->result == LWM__CONTROL_RESULT__RESULT_NOT_LEADER)
    on_redirect (client, call, peer, answer);
  else if (answer->result == LWM__CONTROL_RESULT__RESULT_NOT_READY
           && answer->retry_after_ms > 0)
    on_not_ready (call, answer);
  else
    {
      if (!call->any_peer)
        client->leader = peer->index;
      end_call (client, call, answer);
    }
}

static void
store_peer_name (control_peer_t *peer, const char *name)
{
  if (*name == '\0' || (peer->name != NULL && strcmp (peer->name, name) == 0))
    return;
  talloc_free (peer->name);
  peer->name = talloc_strdup (peer, name);
}

static void
on_message (const mq_frame_t *frames, size_t frame_count, void *context)
{
  control_peer_t *peer = context;
  control_client_t *client = peer->client;
  Lwm__ControlMessage *message;

  if (frame_count != 1)
    return;
  peer->unanswered_since_ms = 0;
  peer->known_ms = clock_mono_ms ();
  count_metric (client->counters.messages_in, 1);
  count_metric (client->counters.bytes_in, frames[0].size_bytes);
  message = lwm__control_message__unpack (NULL, frames[0].size_bytes,
                                          frames[0].data);
  if (message == NULL)
    return;
  if (message->what_case == LWM__CONTROL_MESSAGE__WHAT_ANSWER)
    {
      store_peer_name (peer, message->answer->name);
      if (message->answer->id == 0)
        control_client_watch_answered (client, peer, message->answer);
      else
        handle_answer (client, peer, message->answer);
    }
  lwm__control_message__free_unpacked (message, NULL);
}

/** Returns the peer that was named, or has answered, longest ago. Peers of the
 * last moments keep their places. */
static size_t
find_replaceable_peer (const control_client_t *client)
{
  uint64_t oldest_ms = clock_mono_ms () - KEEP_PEER_MS;
  size_t found = NO_PEER;

  for (size_t i = 0; i < client->peer_count; i++)
    if (client->peers[i]->known_ms < oldest_ms)
      {
        oldest_ms = client->peers[i]->known_ms;
        found = i;
      }
  return found;
}

/** Adds a peer. It takes the place of another one when there are too many. */
static size_t
add_peer (control_client_t *client, const char *address)
{
  size_t index = client->peer_count < CONTROL_CLIENT_MAX_PEERS
                     ? client->peer_count
                     : find_replaceable_peer (client);
  control_peer_t *peer;
  mq_options_t options = { .base = client->options.base,
                           .type = ZMQ_DEALER,
                           .connect = address,
                           .queue_messages = QUEUE_MESSAGES,
                           .on_message = on_message };

  if (index == NO_PEER)
    return NO_PEER;
  peer = talloc_zero (client, control_peer_t);
  peer->client = client;
  peer->index = index;
  peer->known_ms = clock_mono_ms ();
  peer->address = talloc_strdup (peer, address);
  options.context = peer;
  peer->mq = mq_new (peer, &options);
  if (peer->mq == NULL)
    {
      talloc_free (peer);
      return NO_PEER;
    }
  if (index == client->peer_count)
    client->peer_count++;
  else
    talloc_free (client->peers[index]);
  if (client->leader == index)
    client->leader = NO_PEER;
  client->peers[index] = peer;
  return index;
}

uint8_t *
control_client_pack (void *parent,
                     const Lwm__ControlRequest *request,
                     size_t *size_bytes)
{
  Lwm__ControlMessage message = LWM__CONTROL_MESSAGE__INIT;
  uint8_t *data;

  message.what_case = LWM__CONTROL_MESSAGE__WHAT_REQUEST;
  message.request = (Lwm__ControlRequest *)request;
  *size_bytes = lwm__control_message__get_packed_size (&message);
  data = talloc_size (parent, *size_bytes);
  lwm__control_message__pack (&message, data);
  return data;
}

static void
fail_call (control_client_t *client, call_t *call)
{
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;

  answer.result = LWM__CONTROL_RESULT__RESULT_NO_QUORUM;
  answer.detail = "no answer from a quorum of the control group in time";
  answer.maybe_done = call->maybe_done || call->unanswered > 0;
  count_metric (client->counters.no_quorum, 1);
  end_call (client, call, &answer);
}

static void
check_call (control_client_t *client, call_t *call, uint64_t now_ms)
{
  if (call->deadline_ms <= now_ms)
    {
      fail_call (client, call);
      return;
    }
  if (call->resend_ms > now_ms)
    return;
  /* No answer: the presumed leader may be down. */
  if (client->leader == call->target)
    client->leader = NO_PEER;
  count_metric (client->counters.resends, 1);
  send_call (client, call);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  control_client_t *client = arg;
  uint64_t now_ms = clock_mono_ms ();
  guint length;
  gpointer *ids;

  control_client_update_watches (client, now_ms);
  /* Callbacks may add calls, so iterate over a copy of the ids. */
  ids = g_hash_table_get_keys_as_array (client->calls, &length);
  for (guint i = 0; i < length; i++)
    check_call (client, g_hash_table_lookup (client->calls, ids[i]), now_ms);
  g_free (ids);
}

static void
add_counters (control_client_t *client)
{
  metrics_t *metrics = client->options.metrics;
  control_client_counters_t *counters = &client->counters;
  const char *messages = "lwm_control_client_messages_total";
  const char *bytes = "lwm_control_client_bytes_total";

  if (metrics == NULL)
    return;
  counters->messages_in
      = metrics_counter (metrics, messages, "Messages with control instances.",
                         "direction=\"in\"");
  counters->messages_out
      = metrics_counter (metrics, messages, "Messages with control instances.",
                         "direction=\"out\"");
  counters->bytes_in = metrics_counter (
      metrics, bytes, "Bytes with control instances.", "direction=\"in\"");
  counters->bytes_out = metrics_counter (
      metrics, bytes, "Bytes with control instances.", "direction=\"out\"");
  counters->resends
      = metrics_counter (metrics, "lwm_control_client_resends_total",
                         "Calls sent again for want of an answer.", NULL);
  counters->no_quorum
      = metrics_counter (metrics, "lwm_control_client_no_quorum_total",
                         "Calls that ended without a quorum.", NULL);
}

static int
free_client (control_client_t *client)
{
  if (client->tick != NULL)
    event_free (client->tick);
  g_hash_table_destroy (client->calls);
  g_hash_table_destroy (client->uncommitted_drains);
  return 0;
}

control_client_t *
control_client_new (void *parent, const control_client_options_t *options)
{
  control_client_t *client = talloc_zero (parent, control_client_t);
  struct timeval every = { .tv_usec = TICK_MS * 1000 };

  client->options = *options;
  client->leader = NO_PEER;
  client->known = options->known_number;
  client->last_id = random_id ();
  client->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  client->drains = zone_drains_new (client);
  client->uncommitted_drains
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  talloc_set_destructor (client, free_client);
  for (size_t i = 0; i < options->peer_count; i++)
    add_peer (client, options->peers[i]);
  if (client->peer_count > 0)
    client->round_robin = client->source = random_id () % client->peer_count;
  client->source_heard_ms = client->started_ms = clock_mono_ms ();
  add_counters (client);
  client->tick = event_new (options->base, -1, EV_PERSIST, on_tick, client);
  event_add (client->tick, &every);
  if (client->peer_count > 0)
    control_client_update_watches (client, clock_mono_ms ());
  else
    client->options.on_revision = NULL;
  return client;
}

void
control_client_add_peer (control_client_t *client, const char *address)
{
  size_t index = find_peer (client, "", address);

  if (index != NO_PEER)
    client->peers[index]->known_ms = clock_mono_ms ();
  else
    add_peer (client, address);
}

void
control_client_call (control_client_t *client,
                     const Lwm__ControlRequest *request,
                     uint32_t timeout_ms,
                     control_answer_cb_t done,
                     void *context)
{
  Lwm__ControlRequest with_id = *request;
  call_t *call = talloc_zero (client, call_t);

  if (++client->last_id == 0)
    client->last_id = 1;
  with_id.id = call->id = client->last_id;
  call->data = control_client_pack (call, &with_id, &call->size_bytes);
  call->deadline_ms = clock_mono_ms () + timeout_ms;
  call->any_peer = request->what_case == LWM__CONTROL_REQUEST__WHAT_STATUS
                   || (request->what_case == LWM__CONTROL_REQUEST__WHAT_GET
                       && request->get->local);
  call->done = done;
  call->context = context;
  g_hash_table_insert (client->calls, &call->id, call);
  if (client->peer_count > 0)
    send_call (client, call);
  else
    call->resend_ms = UINT64_MAX;
}
