#include "load-share.h"

#include <errno.h>
#include <event2/event.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>
#include <zmq.h>

#include "base.h"
#include "mq.h"
#include "pause-detector.h"
#include "share.pb-c.h"
#define LOG_PART "load-share"
#include "logging.h"

#define BATCH_DELAY_MS          1
#define FULL_UPDATE_INTERVAL_MS 1000
#define SENDER_TIMEOUT_MS       2500
#define MAX_PEERS               128 /* further instances are only counted */
#define MAX_QUEUED_MESSAGES     200

/** Another instance that sends updates, by its incarnation. */
typedef struct
{
  uint64_t sender;
  uint64_t heard_ms;
} sender_t;

struct load_share
{
  load_share_options_t options;
  char *listen;
  uint64_t sender; /* incarnation of this instance */
  uint64_t last_id;
  mq_t *router;
  GPtrArray *peers;    /* mq_t of peers that get updates, children of share */
  GHashTable *known;   /* addresses of all other instances, as strings */
  GHashTable *senders; /* sender -> sender_t */
  GArray *begun;       /* jobs begun since the last batch, upstream_job_t */
  GArray *answering;   /* ids of jobs with a first event since the last batch,
                          uint64_t */
  GArray *ended;       /* jobs ended since the last batch, Lwm__ShareEnded */
  pause_detector_t pauses; /* pauses of this process */
  struct event *batch;
  struct event *tick;
  metric_t *bytes_out;
};

static int
free_share (load_share_t *share)
{
  event_free (share->batch);
  event_free (share->tick);
  g_ptr_array_free (share->peers, TRUE);
  g_hash_table_destroy (share->known);
  g_hash_table_destroy (share->senders);
  g_array_free (share->begun, TRUE);
  g_array_free (share->answering, TRUE);
  g_array_free (share->ended, TRUE);
  return 0;
}

static void
fill_job_message (const upstream_job_t *job,
                  uint64_t now_ms,
                  Lwm__ShareJob *message)
{
  lwm__share_job__init (message);
  message->id = job->id;
  message->upstream = job->upstream;
  message->prompt_tokens = job->prompt_tokens;
  message->read_tokens = job->read_tokens;
  message->answer_tokens = job->answer_tokens;
  message->kv_tokens = job->kv_tokens;
  message->gap_target_ms = job->gap_target_ms;
  message->is_part = job->is_part;
  message->ticket = (char *)job->ticket;
  message->begun_ago_ms = (uint32_t)(now_ms - job->begun_ms);
  message->target_ms = (uint32_t)(job->due_ms - job->begun_ms);
  message->sent_ago_ms = (uint32_t)(now_ms - job->sent_ms);
  if (job->first_ms > 0)
    message->first_ago_ms = (uint32_t)(now_ms - job->first_ms) + 1;
}

static void
broadcast_update (load_share_t *share, const Lwm__ShareUpdate *update)
{
  size_t size_bytes = lwm__share_update__get_packed_size (update);
  uint8_t *data = g_malloc (size_bytes + 1);
  mq_frame_t frame = { .data = data, .size_bytes = size_bytes };

  lwm__share_update__pack (update, data);
  for (guint i = 0; i < share->peers->len; i++)
    if (mq_send (g_ptr_array_index (share->peers, i), &frame, 1)
        && share->bytes_out != NULL)
      metric_add (share->bytes_out, size_bytes);
  g_free (data);
}

/**
 * Sends @a jobs, together with the first events and ends since the last batch.
 * @param whole @a jobs are all jobs of this instance
 */
static void
send_update (load_share_t *share, const GArray *jobs, bool whole)
{
  Lwm__ShareUpdate update = LWM__SHARE_UPDATE__INIT;
  uint64_t now_ms = clock_mono_ms ();
  Lwm__ShareJob *messages = g_new0 (Lwm__ShareJob, jobs->len + 1);
  Lwm__ShareJob **pointers = g_new0 (Lwm__ShareJob *, jobs->len + 1);
  Lwm__ShareEnded **ended = g_new0 (Lwm__ShareEnded *, share->ended->len + 1);

  for (guint i = 0; i < jobs->len; i++)
    {
      fill_job_message (&g_array_index (jobs, upstream_job_t, i), now_ms,
                        &messages[i]);
      pointers[i] = &messages[i];
    }
  for (guint i = 0; i < share->ended->len; i++)
    ended[i] = &g_array_index (share->ended, Lwm__ShareEnded, i);
  update.sender = share->sender;
  update.whole = whole;
  update.begun = pointers;
  update.n_begun = jobs->len;
  update.answering = (uint64_t *)(void *)share->answering->data;
  update.n_answering = share->answering->len;
  update.ended = ended;
  update.n_ended = share->ended->len;
  broadcast_update (share, &update);
  g_array_set_size (share->answering, 0);
  g_array_set_size (share->ended, 0);
  g_free (messages);
  g_free (pointers);
  g_free (ended);
}

static void
on_batch (evutil_socket_t fd, short what, void *context)
{
  load_share_t *share = context;

  send_update (share, share->begun, false);
  g_array_set_size (share->begun, 0);
}

/** Schedules a batch, unless one is scheduled. */
static void
schedule_batch (load_share_t *share)
{
  struct timeval wait = { .tv_usec = BATCH_DELAY_MS * 1000 };

  if (!event_pending (share->batch, EV_TIMEOUT, NULL))
    event_add (share->batch, &wait);
}

static void
collect_job (const upstream_job_t *job, void *context)
{
  g_array_append_val ((GArray *)context, *job);
}

static void
report_orphan (const upstream_job_t *job, void *context)
{
  load_share_t *share = context;

  if (job->ticket[0] != '\0' && share->options.on_orphan != NULL)
    share->options.on_orphan (job, share->options.context);
}

/**
 * Removes the instances that timed out, and their jobs. A pause of this process
 * does not count as their silence.
 */
static void
remove_silent_instances (load_share_t *share, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  pause_detector_update (&share->pauses, FULL_UPDATE_INTERVAL_MS, now_ms);
  g_hash_table_iter_init (&iter, share->senders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const sender_t *sender = value;
      uint64_t since_ms
          = pause_detector_silent_since_ms (&share->pauses, sender->heard_ms);

      if (since_ms + SENDER_TIMEOUT_MS > now_ms)
        continue;
      log_info ("Lost contact with an entry instance. incarnation=%ju",
                (uintmax_t)sender->sender);
      upstream_set_each_job (share->options.set, sender->sender, report_orphan,
                             share);
      upstream_set_drop_owner (share->options.set, sender->sender);
      g_hash_table_iter_remove (&iter);
    }
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  load_share_t *share = context;
  GArray *jobs = g_array_new (FALSE, FALSE, sizeof (upstream_job_t));

  upstream_set_each_job (share->options.set, 0, collect_job, jobs);
  g_array_set_size (share->begun, 0);
  send_update (share, jobs, true);
  g_array_free (jobs, TRUE);
  remove_silent_instances (share, clock_mono_ms ());
}

static void
import_job (load_share_t *share,
            uint64_t sender,
            const Lwm__ShareJob *message,
            uint64_t now_ms)
{
  upstream_job_t job = { .id = message->id,
                         .owner = sender,
                         .upstream = message->upstream,
                         .prompt_tokens = message->prompt_tokens,
                         .read_tokens = message->read_tokens,
                         .answer_tokens = message->answer_tokens,
                         .kv_tokens = message->kv_tokens,
                         .gap_target_ms = message->gap_target_ms,
                         .is_part = message->is_part };

  g_strlcpy (job.ticket, message->ticket, sizeof job.ticket);
  job.value = upstream_job_value (job.prompt_tokens, job.answer_tokens);
  job.sent_ms = now_ms - message->sent_ago_ms;
  job.begun_ms = now_ms - message->begun_ago_ms;
  job.due_ms = job.begun_ms + message->target_ms;
  if (message->first_ago_ms > 0)
    job.first_ms = job.last_ms = now_ms - message->first_ago_ms + 1;
  upstream_set_begin (share->options.set, &job);
}

static void
apply_update (load_share_t *share, const Lwm__ShareUpdate *update)
{
  uint64_t now_ms = clock_mono_ms ();
  sender_t *sender = g_hash_table_lookup (share->senders, &update->sender);

  if (sender == NULL)
    {
      sender = g_new0 (sender_t, 1);
      sender->sender = update->sender;
      g_hash_table_insert (share->senders, &sender->sender, sender);
      log_info ("First update from an entry instance. incarnation=%ju",
                (uintmax_t)update->sender);
    }
  sender->heard_ms = now_ms;
  for (size_t i = 0; i < update->n_ended; i++)
    upstream_set_end (share->options.set, update->ended[i]->id,
                      (upstream_job_end_t)update->ended[i]->how, now_ms);
  if (update->whole)
    upstream_set_drop_owner (share->options.set, update->sender);
  for (size_t i = 0; i < update->n_begun; i++)
    import_job (share, update->sender, update->begun[i], now_ms);
  for (size_t i = 0; i < update->n_answering; i++)
    upstream_set_progress (share->options.set, update->answering[i], now_ms);
  if (share->options.on_change != NULL
      && (update->n_ended > 0 || update->n_answering > 0))
    share->options.on_change (share->options.context);
}

static void
on_message (const mq_frame_t *frames, size_t count, void *context)
{
  load_share_t *share = context;
  Lwm__ShareUpdate *update;

  if (count != 2)
    return;
  update
      = lwm__share_update__unpack (NULL, frames[1].size_bytes, frames[1].data);
  if (update == NULL)
    {
      log_warn ("Dropped a malformed message from an entry instance.");
      return;
    }
  if (update->sender != share->sender)
    apply_update (share, update);
  lwm__share_update__free_unpacked (update, NULL);
}

load_share_t *
load_share_new (void *parent, const load_share_options_t *options)
{
  load_share_t *share = talloc_zero (parent, load_share_t);
  struct timeval every = { .tv_sec = FULL_UPDATE_INTERVAL_MS / 1000 };
  mq_options_t router = { .base = options->base,
                          .type = ZMQ_ROUTER,
                          .bind = options->listen,
                          .queue_messages = MAX_QUEUED_MESSAGES,
                          .on_message = on_message,
                          .context = share };

  share->options = *options;
  share->listen = talloc_strdup (share, options->listen);
  pause_detector_update (&share->pauses, FULL_UPDATE_INTERVAL_MS,
                         clock_mono_ms ());
  share->sender = random_id ();
  share->last_id = random_id ();
  share->peers = g_ptr_array_new ();
  share->known = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  share->senders
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  share->begun = g_array_new (FALSE, FALSE, sizeof (upstream_job_t));
  share->answering = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  share->ended = g_array_new (FALSE, FALSE, sizeof (Lwm__ShareEnded));
  share->batch = event_new (options->base, -1, 0, on_batch, share);
  share->tick = event_new (options->base, -1, EV_PERSIST, on_tick, share);
  talloc_set_destructor (share, free_share);
  event_add (share->tick, &every);
  if (options->metrics != NULL)
    share->bytes_out
        = metrics_counter (options->metrics, "lwm_load_share_bytes_total",
                           "Bytes of jobs told to other instances.", NULL);
  share->router = mq_new (share, &router);
  if (share->router != NULL)
    return share;
  print_error ("cannot listen on '%s': %s", options->listen,
               zmq_strerror (errno));
  talloc_free (share);
  return NULL;
}

/** Opens a socket to another instance. Returns false when that fails. */
static bool
add_peer (load_share_t *share, const char *address)
{
  mq_options_t options = { .base = share->options.base,
                           .type = ZMQ_DEALER,
                           .connect = address,
                           .queue_messages = MAX_QUEUED_MESSAGES };
  mq_t *mq = mq_new (share, &options);

  if (mq == NULL)
    {
      log_warn ("Cannot open a socket to an entry instance. address=%s",
                address);
      return false;
    }
  g_ptr_array_add (share->peers, mq);
  log_info ("Added an entry instance as a peer. address=%s", address);
  return true;
}

void
load_share_add_peers (load_share_t *share, char *const *addresses, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (strcmp (share->listen, addresses[i]) == 0
          || g_hash_table_contains (share->known, addresses[i]))
        continue;
      if (share->peers->len >= MAX_PEERS || add_peer (share, addresses[i]))
        g_hash_table_add (share->known, g_strdup (addresses[i]));
    }
}

uint32_t
load_share_instances (const load_share_t *share)
{
  uint32_t others = MAX (g_hash_table_size (share->known),
                         g_hash_table_size (share->senders));

  return others > 0 ? others + 1 : 0;
}

void
load_share_begin (load_share_t *share, const upstream_job_t *job)
{
  g_array_append_val (share->begun, *job);
  schedule_batch (share);
}

void
load_share_first_event (load_share_t *share, uint64_t job_id)
{
  g_array_append_val (share->answering, job_id);
  schedule_batch (share);
}

void
load_share_end (load_share_t *share, uint64_t job_id, upstream_job_end_t how)
{
  Lwm__ShareEnded ended = LWM__SHARE_ENDED__INIT;

  ended.id = job_id;
  ended.how = (Lwm__ShareEnd)how;
  g_array_append_val (share->ended, ended);
  schedule_batch (share);
}

uint64_t
load_share_next_id (load_share_t *share)
{
  return ++share->last_id;
}
