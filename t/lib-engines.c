#include "lib-engines.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "lib-engines-internal.h"

#define STEP_MS          2
#define WAKE_INTERVAL_MS 20
#define DRAIN_MS         16000

static const char *const zone_names[] = { "a", "b", "c", "d", "e" };

directory_t *
engines_directory_new (void *parent,
                       uint32_t count,
                       const char *const *zones,
                       uint32_t zone_count,
                       uint32_t slots,
                       uint64_t now_ms)
{
  directory_t *directory = directory_new (parent);

  g_assert_cmpuint (zone_count, >, 0);
  for (uint32_t i = 0; i < count; i++)
    {
      char id[24];
      char address[32];
      directory_statement_t said = { .id = id,
                                     .address = address,
                                     .zone = zones[i % zone_count],
                                     .service = "engines",
                                     .born_ms = 1,
                                     .sequence = 1,
                                     .slots = slots };

      snprintf (id, sizeof id, "engine-%u", i);
      snprintf (address, sizeof address, "10.0.0.%u:80", i + 1);
      directory_put (directory, &said, now_ms);
    }
  return directory;
}

static void
create_engines (world_t *world)
{
  upstream_set_options_t options = { 0 };
  uint32_t count = world->load->engines;
  uint32_t zones = world->load->has_engine_zones ? world->load->zones : 1;
  size_t ignored;

  g_assert_cmpuint (zones, <=, G_N_ELEMENTS (zone_names));
  world->directory
      = engines_directory_new (NULL, count, zone_names, zones,
                               world->load->model->slots, ENGINES_START_MS);
  world->engines = g_new0 (engine_t, count);
  for (uint32_t i = 0; i < world->set_count; i++)
    {
      world->sets[i] = upstream_set_new (NULL, &options);
      upstream_set_sync (world->sets[i], world->directory, ENGINES_START_MS);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      world->engines[i].key
          = upstream_set_members (world->sets[0], &ignored)[i]->key;
      world->engines[i].decoding = g_ptr_array_new ();
      world->engines[i].prefills = g_ptr_array_new_with_free_func (g_free);
      world->engines[i].done_prefills = g_ptr_array_new ();
    }
}

static uint32_t
find_engine (const world_t *world, uint64_t key)
{
  for (uint32_t i = 0; i < world->load->engines; i++)
    if (world->engines[i].key == key)
      return i;
  g_assert_not_reached ();
}

static choice_request_t
make_choice_request (const world_t *world, const request_t *request)
{
  uint64_t waited_ms = world->now_ms - request->begun_ms;

  return (choice_request_t){
    .service = "engines",
    .model = world->load->model,
    .zone = zone_names[world->load->has_engine_zones ? request->zone : 0],
    .prompt_tokens = request->prompt_tokens,
    .answer_tokens = request->answer_tokens,
    .target_ms = request->kind->target_ms,
    .gap_target_ms = request->kind->gap_target_ms,
    .shortest_gap_ms = world->shortest_gap_ms,
    .waited_ms = (uint32_t)waited_ms,
    .left_ms = (uint32_t)(request->first_attempt_ms + request->kind->deadline_ms
                          - world->now_ms),
    .is_alone = world->load->zones == 0 && world->shared_count > 1,
    .spreads = world->now_ms < ENGINES_START_MS + world->load->spread_ms,
    .random = g_rand_int (world->placement_rand),
  };
}

static void
apply_notice (upstream_set_t *set, const notice_t *notice, uint64_t now_ms)
{
  if (notice->what == NOTICE_BEGIN)
    upstream_set_begin (set, &notice->job);
  else if (notice->what == NOTICE_PROGRESS)
    upstream_set_progress (set, notice->job.id, 0, now_ms);
  else
    upstream_set_end (set, notice->job.id, notice->how, now_ms);
}

/** Returns whether a message between views is lost. */
static bool
is_message_lost (world_t *world)
{
  return world->load->loss_percent > 0
         && (uint32_t)g_rand_int_range (world->placement_rand, 0, 100)
                < world->load->loss_percent;
}

/** Delivers the notices whose lag has passed to the other views. */
static void
deliver_notices (world_t *world)
{
  notice_t *notice;

  while ((notice = g_queue_peek_head (&world->notices)) != NULL
         && notice->due_ms <= world->now_ms)
    {
      for (uint32_t i = 0; i < world->shared_count; i++)
        if (i != notice->from && !is_message_lost (world))
          apply_notice (world->sets[i], notice, world->now_ms);
      g_free (g_queue_pop_head (&world->notices));
    }
}

/**
 * Shares a notice: the instance of the request applies it at once, the other
 * instances after the lag.
 */
static void
share_notice (world_t *world, const request_t *request, notice_t notice)
{
  notice.from = request->instance;
  notice.due_ms = world->now_ms + world->load->lag_ms;
  apply_notice (world->sets[notice.from], &notice, world->now_ms);
  if (world->load->is_blind)
    return;
  /* Within a zone, the placer and its stand-by learn of it. */
  world->result.messages
      += world->shared_count - 1 + (world->load->zones > 0 ? 2 : 0);
  g_queue_push_tail (&world->notices, g_memdup2 (&notice, sizeof notice));
}

static void
share_progress (world_t *world, const request_t *request, uint64_t job_id)
{
  share_notice (world, request,
                (notice_t){ .what = NOTICE_PROGRESS, .job = { .id = job_id } });
}

static void
share_job_end (world_t *world,
               const request_t *request,
               uint64_t job_id,
               upstream_job_end_t how)
{
  share_notice (
      world, request,
      (notice_t){ .what = NOTICE_END, .job = { .id = job_id }, .how = how });
}

static void
start_job (world_t *world,
           request_t *request,
           const upstream_member_t *member,
           uint32_t parts,
           uint32_t kv_tokens,
           bool is_part)
{
  upstream_job_t job
      = { .id = ++world->last_job,
          .upstream = member->key,
          .prompt_tokens = request->prompt_tokens,
          .read_tokens = request->prompt_tokens / parts,
          .answer_tokens = is_part ? 0 : request->answer_tokens,
          .kv_tokens = kv_tokens,
          .gap_target_ms = request->kind->gap_target_ms,
          .value = upstream_job_value (request->prompt_tokens,
                                       is_part ? 0 : request->answer_tokens),
          .begun_ms = request->begun_ms,
          .due_ms = request->begun_ms + request->kind->target_ms,
          .sent_ms = world->now_ms,
          .is_part = is_part };
  uint32_t engine = find_engine (world, member->key);
  prefill_t *prefill = g_new0 (prefill_t, 1);
  uint32_t at = request->job_count++;

  job.request = at == 0 ? job.id : request->jobs[0];

  if (!is_part)
    {
      world->result.placed++;
      world->result.collisions += engines_taken_slots (&world->engines[engine])
                                  >= world->load->model->slots;
    }

  share_notice (world, request, (notice_t){ .what = NOTICE_BEGIN, .job = job });
  request->jobs[at] = job.id;
  request->engines[at] = engine;
  request->kv_tokens[at] = kv_tokens;
  prefill->request = request;
  prefill->is_part = parts > 1;
  prefill->is_helper = is_part;
  prefill->tokens = (double)request->prompt_tokens / parts;
  prefill->remaining_ms
      = engine_prefill_ms (world->load->model, request->prompt_tokens) / parts;
  g_ptr_array_add (world->engines[engine].prefills, prefill);
}

static void
send_to_choice (world_t *world, request_t *request, const choice_t *choice)
{
  uint32_t parts = choice->helper_count + 1;
  uint32_t kv_tokens = request->prompt_tokens + request->answer_tokens;

  request->is_sent = true;
  request->parts_left = parts;
  for (uint32_t i = 0; i < choice->memory_count; i++)
    kv_tokens -= MIN (kv_tokens, choice->memory_tokens[i]);
  start_job (world, request, choice->member, parts, kv_tokens, false);
  for (uint32_t i = 0; i < choice->helper_count; i++)
    start_job (world, request, choice->helpers[i], parts,
               i < choice->memory_count ? choice->memory_tokens[i] : 0, true);
}

/**
 * Returns the value of a request. It grows with the prompt relative to the mean
 * of its kind, since longer work has more value.
 */
static double
calculate_request_value (const request_t *request)
{
  double size = request->prompt_tokens / request->kind->prompt_tokens;

  return request->kind->worth * fmin (0.3 + 0.7 * size, 4);
}

static void
end_request (world_t *world, request_t *request, bool is_served)
{
  uint64_t second = (request->first_attempt_ms - ENGINES_START_MS) / 1000;
  engines_tally_t *tallies[]
      = { &world->result.all, &world->result.kinds[request->kind_index],
          &world->result.tenths[request->kind_index][request->tenth],
          &world->result.seconds[MIN (second, ENGINES_SECONDS)] };
  double worth = calculate_request_value (request);
  double late = worth * request->kind->late_worth / request->kind->worth;

  for (size_t i = 0; i < G_N_ELEMENTS (tallies); i++)
    {
      tallies[i]->asked++;
      tallies[i]->offered += worth;
      tallies[i]->refused += !is_served && !request->is_sent;
      tallies[i]->failed += !is_served && request->is_sent;
      tallies[i]->late += is_served && request->is_late;
      tallies[i]->in_time += is_served && !request->is_late;
      if (is_served)
        tallies[i]->earned += request->is_late ? late : worth;
    }
}

static void
refuse_request (world_t *world, request_t *request, uint32_t retry_ms)
{
  uint32_t wait_ms
      = retry_ms
        + g_rand_int_range (world->placement_rand, 0, (gint)retry_ms / 2 + 1);
  uint64_t until_ms = request->first_attempt_ms + request->kind->deadline_ms;

  if (request->has_retried || world->now_ms + 3 * wait_ms > until_ms)
    {
      end_request (world, request, false);
      return;
    }
  request->has_retried = true;
  request->retry_at_ms = world->now_ms + wait_ms;
}

/** Sends or refuses a request; returns false if the request has to wait. */
static bool
place_request (world_t *world, request_t *request)
{
  choice_request_t ask = make_choice_request (world, request);
  choice_t choice = world->load->policy (world->sets[request->instance], &ask,
                                         world->now_ms);

  if (choice.kind == CHOICE_WAIT)
    return false;
  if (choice.kind == CHOICE_SEND)
    send_to_choice (world, request, &choice);
  else
    refuse_request (world, request, choice.retry_ms);
  return true;
}

static void
place_or_enqueue (world_t *world, request_t *request)
{
  double took_ms = (double)(world->now_ms - request->begun_ms);

  request->place_at_ms = 0;
  g_array_append_val (world->result.decide_ms, took_ms);
  if (!place_request (world, request))
    g_ptr_array_add (world->waiting, request);
}

/** Returns the time that a lost placer costs a request that asks now. */
static uint32_t
lost_placer_delay_ms (const world_t *world)
{
  const engines_load_t *load = world->load;
  uint64_t since_ms = world->now_ms - ENGINES_START_MS;

  return load->placers_lost_ms > 0 && since_ms >= load->placers_lost_ms
                 && since_ms < load->placers_lost_ms + load->ask_timeout_ms
             ? load->ask_timeout_ms
             : 0;
}

/** Returns whether no zone has a placer yet. */
static bool
is_placerless (const world_t *world)
{
  return world->now_ms < ENGINES_START_MS + world->load->placerless_ms;
}

/** Holds a request for the placer that its zone does not have yet, or has it
 * decided on by the view of its own instance. */
static void
ask_without_placer (world_t *world, request_t *request)
{
  const engines_load_t *load = world->load;
  uint64_t placer_ms = ENGINES_START_MS + load->placerless_ms;

  if (placer_ms <= world->now_ms + load->hold_ms)
    {
      double *free_ms = &world->placer_free_ms[request->zone];

      *free_ms = fmax (*free_ms, (double)placer_ms) + load->decide_ms;
      request->place_at_ms = (uint64_t)*free_ms + load->ask_ms;
      return;
    }
  request->instance
      = load->zones
        + g_rand_int_range (world->placement_rand, 0, (gint32)load->instances);
  request->place_at_ms = world->now_ms + load->hold_ms + 1;
}

/** Asks for a decision on a request that arrived or came back. */
static void
ask_for_decision (world_t *world, request_t *request)
{
  const engines_load_t *load = world->load;
  double *free_ms = &world->placer_free_ms[request->zone];

  request->begun_ms = world->now_ms;
  request->retry_at_ms = 0;
  if (load->zones == 0)
    {
      place_or_enqueue (world, request);
      return;
    }
  request->instance = request->zone;
  if (is_placerless (world))
    {
      ask_without_placer (world, request);
      return;
    }
  world->result.messages += 2;
  *free_ms
      = fmax (*free_ms, (double)world->now_ms + lost_placer_delay_ms (world))
        + load->decide_ms;
  request->place_at_ms = (uint64_t)*free_ms + load->ask_ms;
}

static void
decide_due_requests (world_t *world)
{
  for (guint i = 0; i < world->requests->len; i++)
    {
      request_t *request = g_ptr_array_index (world->requests, i);

      if (request->place_at_ms > 0 && request->place_at_ms <= world->now_ms)
        place_or_enqueue (world, request);
    }
}

static gint
compare_waiting_requests (gconstpointer a, gconstpointer b)
{
  const request_t *one = *(const request_t *const *)a;
  const request_t *other = *(const request_t *const *)b;

  if (one->kind->target_ms != other->kind->target_ms)
    return one->kind->target_ms < other->kind->target_ms ? -1 : 1;
  return (one->begun_ms < other->begun_ms) - (one->begun_ms > other->begun_ms);
}

static void
place_waiting_requests (world_t *world)
{
  g_ptr_array_sort (world->waiting, compare_waiting_requests);
  for (guint i = 0; i < world->waiting->len;)
    {
      request_t *request = g_ptr_array_index (world->waiting, i);
      bool is_late = world->now_ms
                     >= request->first_attempt_ms + request->kind->deadline_ms;

      if (!is_placerless (world))
        request->instance = request->zone;
      if (is_late)
        end_request (world, request, false);
      if (is_late || place_request (world, request))
        g_ptr_array_remove_index (world->waiting, i);
      else
        i++;
    }
}

void
engines_finish_request (world_t *world, request_t *request)
{
  for (uint32_t i = 0; i < request->job_count; i++)
    share_job_end (world, request, request->jobs[i], UPSTREAM_JOB_GOOD);
  end_request (world, request, true);
}

void
engines_emit_event (world_t *world, request_t *request)
{
  uint64_t gap_ms
      = request->first_ms > 0 ? world->now_ms - request->last_ms : 0;

  if (request->first_ms == 0)
    {
      request->first_ms = world->now_ms;
      request->is_late = world->now_ms
                         > request->first_attempt_ms + request->kind->target_ms;
      /* Releases the helpers that only ran a prefill. Helpers that hold memory
       * for the request keep it until the request ends. */
      for (uint32_t i = 1; i < request->job_count; i++)
        if (request->kv_tokens[i] == 0)
          share_job_end (world, request, request->jobs[i],
                         UPSTREAM_JOB_NEUTRAL);
        else
          share_progress (world, request, request->jobs[i]);
      share_progress (world, request, request->jobs[0]);
    }
  else if (gap_ms > request->kind->gap_target_ms)
    request->is_late = true;
  request->last_ms = world->now_ms;
  upstream_set_progress (world->sets[request->instance], request->jobs[0],
                         gap_ms, world->now_ms);
  request->events_left--;
}

static void
draw_arrivals (world_t *world)
{
  for (uint32_t i = 0; i < world->load->kind_count; i++)
    if (g_rand_double (world->rand)
        < engines_rate_s (world, i) * STEP_MS / 1000.0)
      ask_for_decision (world, engines_request_new (world, i));
}

static void
retry_due_requests (world_t *world)
{
  for (guint i = 0; i < world->requests->len; i++)
    {
      request_t *request = g_ptr_array_index (world->requests, i);

      if (request->retry_at_ms > 0 && request->retry_at_ms <= world->now_ms)
        ask_for_decision (world, request);
    }
}

static void
free_world (world_t *world)
{
  for (uint32_t i = 0; i < world->load->engines; i++)
    {
      g_ptr_array_free (world->engines[i].decoding, TRUE);
      g_ptr_array_free (world->engines[i].prefills, TRUE);
      g_ptr_array_free (world->engines[i].done_prefills, TRUE);
    }
  g_free (world->engines);
  for (guint i = 0; i < world->requests->len; i++)
    g_free (g_ptr_array_index (world->requests, i));
  g_ptr_array_free (world->requests, TRUE);
  g_ptr_array_free (world->waiting, TRUE);
  for (uint32_t i = 0; i < world->set_count; i++)
    talloc_free (world->sets[i]);
  g_queue_clear_full (&world->notices, g_free);
  talloc_free (world->directory);
  g_rand_free (world->rand);
  g_rand_free (world->placement_rand);
}

engines_result_t
engines_simulate (const engines_load_t *load)
{
  world_t world
      = { .load = load,
          .rand = g_rand_new_with_seed (load->seed),
          .placement_rand = g_rand_new_with_seed (load->seed + 1),
          .requests = g_ptr_array_new (),
          .waiting = g_ptr_array_new (),
          .shared_count
          = load->zones > 0 ? load->zones : MAX (load->instances, 1) };
  uint64_t end_ms = ENGINES_START_MS + load->length_ms;

  world.set_count = world.shared_count;
  if (load->placerless_ms > 0)
    world.set_count += load->instances;
  g_assert_cmpuint (load->kind_count, <=, ENGINES_MAX_KINDS);
  g_assert_cmpuint (world.set_count, <=, ENGINES_MAX_VIEWS);
  world.result.decide_ms = g_array_new (FALSE, FALSE, sizeof (double));
  create_engines (&world);
  world.shortest_gap_ms = load->kinds[0].gap_target_ms;
  for (uint32_t i = 1; i < load->kind_count; i++)
    world.shortest_gap_ms
        = MIN (world.shortest_gap_ms, load->kinds[i].gap_target_ms);
  for (world.now_ms = ENGINES_START_MS; world.now_ms < end_ms + DRAIN_MS;
       world.now_ms += STEP_MS)
    {
      if (world.now_ms < end_ms)
        draw_arrivals (&world);
      if (load->zones > 0)
        decide_due_requests (&world);
      deliver_notices (&world);
      engines_run_passes (&world);
      if (world.now_ms % WAKE_INTERVAL_MS != 0)
        continue;
      retry_due_requests (&world);
      place_waiting_requests (&world);
      for (uint32_t i = 0; i < world.set_count; i++)
        upstream_set_tick (world.sets[i], world.now_ms);
    }
  free_world (&world);
  return world.result;
}
