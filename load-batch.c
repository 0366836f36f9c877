#include "load-batch.h"

#include <event2/event.h>
#include <talloc.h>

#include "base.h"
#include "placer-ranking.h"

struct load_batch
{
  load_batch_options_t options;
  GArray *begun;      /* upstream_job_t */
  void *begun_parts;  /* owns the lists of their parts */
  GArray *answering;  /* uint64_t */
  GArray *ended;      /* Lwm__ShareEnded */
  GArray *orphans;    /* Lwm__ShareOrphan */
  GArray *observed;   /* Lwm__ShareObservation */
  GPtrArray *targets; /* placer_peer_t */
  struct event *timer;
};

static int
free_batch (load_batch_t *batch)
{
  event_free (batch->timer);
  g_array_free (batch->begun, TRUE);
  g_array_free (batch->answering, TRUE);
  g_array_free (batch->ended, TRUE);
  g_array_free (batch->orphans, TRUE);
  g_array_free (batch->observed, TRUE);
  g_ptr_array_free (batch->targets, TRUE);
  return 0;
}

static void
fill_job (const upstream_job_t *job, uint64_t now_ms, Lwm__ShareJob *message)
{
  lwm__share_job__init (message);
  message->id = job->id;
  message->request = job->is_part ? job->request : 0;
  message->owner = job->owner;
  message->upstream = job->upstream;
  message->prompt_tokens = job->prompt_tokens;
  message->read_tokens = job->read_tokens;
  message->answer_tokens = job->answer_tokens;
  message->kv_tokens = job->kv_tokens;
  message->gap_target_ms = job->gap_target_ms;
  message->is_part = job->is_part;
  message->has_reservation = job->has_reservation;
  message->parts = (uint64_t *)job->parts.ids;
  message->n_parts = prompt_parts_first_count (&job->parts);
  if (message->n_parts < job->parts.count)
    {
      message->all_parts = (uint64_t *)job->parts.ids;
      message->n_all_parts = job->parts.count;
    }
  message->signature = job->parts.request;
  message->begun_ago_ms = (uint32_t)(now_ms - job->begun_ms);
  message->target_ms = (uint32_t)(job->due_ms - job->begun_ms);
  message->sent_ago_ms = (uint32_t)(now_ms - job->sent_ms);
  if (job->first_ms > 0)
    message->first_ago_ms = (uint32_t)(now_ms - job->first_ms) + 1;
}

/** Sends an update to the receivers of a batch. */
static void
send_to_targets (const load_batch_t *batch, Lwm__ShareUpdate *update)
{
  Lwm__ShareMessage message = LWM__SHARE_MESSAGE__INIT;

  message.what_case = LWM__SHARE_MESSAGE__WHAT_UPDATE;
  message.update = update;
  for (guint i = 0; i < batch->targets->len; i++)
    {
      const placer_peer_t *peer = g_ptr_array_index (batch->targets, i);
      size_t size_bytes
          = share_link_send (batch->options.link, peer->address, &message);

      if (batch->options.bytes == NULL || size_bytes == 0)
        continue;
      metric_add (batch->options.bytes, size_bytes);
      metric_add (batch->options.messages, 1);
    }
}

/** Returns pointers to the elements of an array of messages; freed with
 * g_free(). */
static void *
point_to_elements (const GArray *elements)
{
  gchar **pointers = g_new (gchar *, elements->len + 1);

  for (guint i = 0; i < elements->len; i++)
    pointers[i] = elements->data
                  + (gsize)i * g_array_get_element_size ((GArray *)elements);
  return pointers;
}

/**
 * Sends @a jobs together with the other changes of a batch, which becomes
 * empty.
 * @param whole @a jobs are all jobs
 * @param zone_age_ms with @a whole, see load_batch_send_whole()
 */
static void
send_update (load_batch_t *batch,
             const GArray *jobs,
             bool whole,
             uint32_t zone_age_ms)
{
  Lwm__ShareUpdate update = LWM__SHARE_UPDATE__INIT;
  uint64_t now_ms = clock_mono_ms ();
  GArray *messages
      = g_array_sized_new (FALSE, FALSE, sizeof (Lwm__ShareJob), jobs->len);

  g_array_set_size (messages, jobs->len);
  for (guint i = 0; i < jobs->len; i++)
    fill_job (&g_array_index (jobs, upstream_job_t, i), now_ms,
              &g_array_index (messages, Lwm__ShareJob, i));
  update.whole = whole;
  update.is_zone = batch->options.is_zone;
  update.begun = point_to_elements (messages);
  update.n_begun = messages->len;
  update.answering = (uint64_t *)(void *)batch->answering->data;
  update.n_answering = batch->answering->len;
  update.ended = point_to_elements (batch->ended);
  update.n_ended = batch->ended->len;
  update.orphans = point_to_elements (batch->orphans);
  update.n_orphans = batch->orphans->len;
  update.observed = point_to_elements (batch->observed);
  update.n_observed = batch->observed->len;
  if (whole)
    {
      update.zone = (char *)batch->options.zone;
      update.address = (char *)batch->options.address;
      update.sent_ms = (uint32_t)now_ms;
      update.zone_age_ms = zone_age_ms;
    }
  send_to_targets (batch, &update);
  g_array_set_size (batch->begun, 0);
  talloc_free_children (batch->begun_parts);
  g_array_set_size (batch->answering, 0);
  g_array_set_size (batch->ended, 0);
  g_array_set_size (batch->orphans, 0);
  g_array_set_size (batch->observed, 0);
  g_free (update.begun);
  g_free (update.ended);
  g_free (update.orphans);
  g_free (update.observed);
  g_array_free (messages, TRUE);
}

static void
on_batch (evutil_socket_t fd, short what, void *context)
{
  load_batch_t *batch = context;

  send_update (batch, batch->begun, false, 0);
}

/** Schedules a batch, unless one is scheduled. */
static void
schedule_batch (load_batch_t *batch)
{
  struct timeval wait = { .tv_usec = batch->options.delay_ms * 1000 };

  if (!event_pending (batch->timer, EV_TIMEOUT, NULL))
    event_add (batch->timer, &wait);
}

void
load_batch_add_begun (load_batch_t *batch, const upstream_job_t *job)
{
  upstream_job_t begun;

  if (batch->targets->len == 0)
    return;
  begun = *job;
  /* The job may end before the batch is sent. */
  begun.parts = prompt_parts_copy (batch->begun_parts, &job->parts);
  g_array_append_val (batch->begun, begun);
  schedule_batch (batch);
}

void
load_batch_add_first_event (load_batch_t *batch, uint64_t job_id)
{
  if (batch->targets->len == 0)
    return;
  g_array_append_val (batch->answering, job_id);
  schedule_batch (batch);
}

void
load_batch_add_ended (load_batch_t *batch, uint64_t job_id, Lwm__ShareEnd how)
{
  Lwm__ShareEnded ended = LWM__SHARE_ENDED__INIT;

  if (batch->targets->len == 0)
    return;
  ended.id = job_id;
  ended.how = how;
  g_array_append_val (batch->ended, ended);
  schedule_batch (batch);
}

void
load_batch_add_orphan (load_batch_t *batch, uint64_t job_id, uint64_t upstream)
{
  Lwm__ShareOrphan orphan = LWM__SHARE_ORPHAN__INIT;

  if (batch->targets->len == 0)
    return;
  orphan.id = job_id;
  orphan.upstream = upstream;
  g_array_append_val (batch->orphans, orphan);
  schedule_batch (batch);
}

void
load_batch_add_observation (load_batch_t *batch,
                            const Lwm__ShareObservation *observation)
{
  if (batch->targets->len == 0)
    return;
  g_array_append_val (batch->observed, *observation);
  schedule_batch (batch);
}

void
load_batch_flush (load_batch_t *batch)
{
  if (!event_pending (batch->timer, EV_TIMEOUT, NULL))
    return;
  event_del (batch->timer);
  send_update (batch, batch->begun, false, 0);
}

void
load_batch_send_whole (load_batch_t *batch,
                       const GArray *jobs,
                       uint32_t zone_age_ms)
{
  send_update (batch, jobs, true, zone_age_ms);
}

GPtrArray *
load_batch_targets (load_batch_t *batch)
{
  return batch->targets;
}

load_batch_t *
load_batch_new (void *parent, const load_batch_options_t *options)
{
  load_batch_t *batch = talloc_zero (parent, load_batch_t);

  batch->options = *options;
  batch->begun = g_array_new (FALSE, FALSE, sizeof (upstream_job_t));
  batch->begun_parts = talloc_new (batch);
  batch->answering = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  batch->ended = g_array_new (FALSE, FALSE, sizeof (Lwm__ShareEnded));
  batch->orphans = g_array_new (FALSE, FALSE, sizeof (Lwm__ShareOrphan));
  batch->observed = g_array_new (FALSE, FALSE, sizeof (Lwm__ShareObservation));
  batch->targets = g_ptr_array_new ();
  batch->timer = event_new (options->base, -1, 0, on_batch, batch);
  talloc_set_destructor (batch, free_batch);
  return batch;
}
