/*
 * Soak test: the real programs serve requests on loopback while link faults,
 * signals and restarts are injected by a schedule that is derived from a seed.
 * What callers and upstreams see is checked during the run and at its end.
 *
 * SOAK_SEED runs one seed for SOAK_SECONDS; without it each listed seed runs
 * for a few seconds. A failure prints its seed and the last lines of the entry
 * instance's log. See docs/operators/soak.md.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"
#include "lib-entry.h"

#define SHORT_SECONDS 6
#define TICK_MS       50
#define CALLS         8 /* requests in flight at a time */
#define TOKENS        40
#define STREAM                                                                 \
  PROMPT ("How is a flipper coil wound?", ",\"max_tokens\":40,\"stream\":"     \
                                          "true")
#define MIN_FAULT_MS 100
#define MAX_FAULT_MS 1500
#define MAX_PAUSE_MS 400
/* Upper bound of the time in which an instance reads a call. */
#define MAX_READ_DELAY_MS 500
#define ENGINES           2
#define UPSTREAMS         4

typedef enum
{
  ASK_STREAM,
  ASK_LEDGER, /* a call that must not run twice */
  ASK_LOOKUP,
  ASK_COUNT
} ask_t;

/** One request in flight. */
typedef struct
{
  call_t *call;
  ask_t ask;
  uint64_t begun_ms;
  bool may_be_lost; /* instance was killed, or ended before reading the call */
} slot_t;

typedef struct soak soak_t;

/** One kind of fault: of a link, as JSON for its proxy, or by a signal. */
typedef struct
{
  const char *name;
  const char *link;   /* or NULL */
  const char *healed; /* restores the link; NULL if not needed */
  void (*begin) (soak_t *soak, uint32_t at);
  void (*heal) (soak_t *soak, uint32_t at);
} fault_t;

/** One series of faults, and its current fault. */
typedef struct
{
  GRand *draws; /* used for its schedule only */
  const fault_t *fault;
  uint32_t at; /* index of the upstream */
  uint64_t until_ms;
} fault_series_t;

struct soak
{
  uint32_t seed;
  GRand *asks;
  deploy_t *deploy;
  upstream_process_t upstreams[UPSTREAMS];
  char *text; /* expected text of a complete stream */
  slot_t slots[CALLS];
  fault_series_t link;   /* faults of the links */
  fault_series_t signal; /* faults by signals to processes */
  GPtrArray *not_run;    /* ids of ledger calls reported as not run */
  uint32_t answered;
  uint32_t refused;
  uint32_t lost;
  uint32_t fault_count;
};

static uint64_t
now_ms (void)
{
  return (uint64_t)g_get_monotonic_time () / 1000;
}

static void
fail (const soak_t *soak, const char *what, const answer_t *answer)
{
  g_printerr ("soak failed: %s (SOAK_SEED=%u)\n", what, soak->seed);
  if (answer != NULL)
    g_printerr ("status %d, body: %s\n", answer->status, answer->body);
  if (soak->deploy->process != NULL)
    process_print_log (soak->deploy->process);
  process_print_log (soak->deploy->second);
  g_assert_not_reached ();
}

static void
pause_upstream (soak_t *soak, uint32_t at)
{
  process_signal (soak->upstreams[at].process, SIGSTOP);
}

static void
resume_upstream (soak_t *soak, uint32_t at)
{
  process_signal (soak->upstreams[at].process, SIGCONT);
}

static void
pause_entry (soak_t *soak, uint32_t at)
{
  process_signal (soak->deploy->process, SIGSTOP);
}

static void
resume_entry (soak_t *soak, uint32_t at)
{
  process_signal (soak->deploy->process, SIGCONT);
}

/** Allows calls that began at @a since_ms or later to get no answer. */
static void
allow_lost_answers (soak_t *soak, uint64_t since_ms)
{
  for (uint32_t i = 0; i < CALLS; i++)
    if (soak->slots[i].begun_ms >= since_ms)
      soak->slots[i].may_be_lost = true;
}

static void
kill_entry (soak_t *soak, uint32_t at)
{
  allow_lost_answers (soak, 0);
  process_signal (soak->deploy->process, SIGKILL);
  process_wait (soak->deploy->process);
}

/** Stops the entry instance, which answers every call it has read first. */
static void
stop_entry (soak_t *soak, uint32_t at)
{
  allow_lost_answers (soak, now_ms () - MAX_READ_DELAY_MS);
  process_signal (soak->deploy->process, SIGTERM);
  process_expect_success (soak->deploy->process);
}

static void
start_entry (soak_t *soak, uint32_t at)
{
  deploy_restart (soak->deploy);
}

static void
reload_entry (soak_t *soak, uint32_t at)
{
  process_signal (soak->deploy->process, SIGHUP);
}

static const fault_t link_faults[] = {
  { .name = "reset", .link = "{\"reset\":true}" },
  { .name = "cut",
    .link = "{\"cut\":\"both\"}",
    .healed = "{\"cut\":\"none\"}" },
  { .name = "cut one way",
    .link = "{\"cut\":\"out\"}",
    .healed = "{\"cut\":\"none\"}" },
  { .name = "slow", .link = "{\"delay_ms\":80}", .healed = "{\"delay_ms\":0}" },
  { .name = "truncate",
    .link = "{\"truncate_bytes\":300}",
    .healed = "{\"truncate_bytes\":0}" },
};

static const fault_t signal_faults[] = {
  { .name = "pause an upstream",
    .begin = pause_upstream,
    .heal = resume_upstream },
  { .name = "pause the entry instance",
    .begin = pause_entry,
    .heal = resume_entry },
  { .name = "kill the entry instance",
    .begin = kill_entry,
    .heal = start_entry },
  { .name = "stop the entry instance",
    .begin = stop_entry,
    .heal = start_entry },
  { .name = "reload the entry instance", .begin = reload_entry },
};

static void
begin_fault (soak_t *soak,
             fault_series_t *series,
             const fault_t *faults,
             size_t count)
{
  gint32 for_ms
      = g_rand_int_range (series->draws, MIN_FAULT_MS, MAX_FAULT_MS + 1);

  series->fault = &faults[g_rand_int_range (series->draws, 0, (gint32)count)];
  series->at = (uint32_t)g_rand_int_range (series->draws, 0, UPSTREAMS);
  series->until_ms = now_ms () + (uint64_t)for_ms;
  soak->fault_count++;
  g_test_message ("%s, upstream %u, for %d ms", series->fault->name, series->at,
                  for_ms);
  if (series->fault->link != NULL)
    deploy_fault (soak->deploy, &soak->upstreams[series->at],
                  series->fault->link);
  else
    series->fault->begin (soak, series->at);
}

static void
heal (soak_t *soak, const fault_series_t *series)
{
  const fault_t *fault = series->fault;

  if (fault != NULL && fault->healed != NULL)
    deploy_fault (soak->deploy, &soak->upstreams[series->at], fault->healed);
  else if (fault != NULL && fault->heal != NULL)
    fault->heal (soak, series->at);
}

static void
end_fault (soak_t *soak, fault_series_t *series)
{
  heal (soak, series);
  series->fault = NULL;
  series->until_ms
      = now_ms () + (uint64_t)g_rand_int_range (series->draws, 0, MAX_PAUSE_MS);
}

/** Ends a fault whose time is over, or begins the next fault. */
static void
update_fault (soak_t *soak,
              fault_series_t *series,
              const fault_t *faults,
              size_t count)
{
  if (now_ms () < series->until_ms)
    return;
  if (series->fault != NULL)
    end_fault (soak, series);
  else
    begin_fault (soak, series, faults, count);
}

static const char *const ask_paths[] = { [ASK_STREAM] = "/v1/completions",
                                         [ASK_LEDGER] = "/v1/call/ledger/issue",
                                         [ASK_LOOKUP] = "/v1/call/lookup/job" };

static void
send_call (soak_t *soak, slot_t *slot)
{
  slot->ask = (ask_t)g_rand_int_range (soak->asks, 0, ASK_COUNT);
  slot->begun_ms = now_ms ();
  slot->may_be_lost = !process_running (soak->deploy->process);
  slot->call = call_start (soak->deploy->address, ask_paths[slot->ask],
                           "X-Customer: counter\r\n",
                           slot->ask == ASK_STREAM ? STREAM : "{}");
}

/** Checks that a stream is complete, or a prefix followed by an error. */
static void
check_stream (soak_t *soak, const answer_t *answer, bool may_be_lost)
{
  char *text = stream_text (answer);
  uint32_t ends = count_occurrences (answer, "[DONE]");
  bool has_error = count_occurrences (answer, "\"error\"") > 0;

  if (!g_str_has_prefix (soak->text, text))
    fail (soak, "a stream has unexpected text", answer);
  if (ends > 1 || (ends == 1 && strcmp (text, soak->text) != 0))
    fail (soak, "a stream ends as complete but is not", answer);
  if (ends == 0 && !has_error && !may_be_lost)
    fail (soak, "a stream ends without an error", answer);
  g_free (text);
}

/** Records the id of a call that is reported as not run, if it has one. */
static void
record_refusal (soak_t *soak, const answer_t *answer)
{
  JsonObject *error;
  const char *id;
  bool has_not_run;

  if (answer->json == NULL || !json_object_has_member (answer->json, "error"))
    fail (soak, "an error has no description", answer);
  error = json_object_get_object_member (answer->json, "error");
  id = http_json_text_member (error, "request_id", "");
  has_not_run = http_json_bool_member (error, "not_run", false);
  soak->refused++;
  if (has_not_run && *id != '\0')
    g_ptr_array_add (soak->not_run, g_strdup (id));
}

static void
take_answer (soak_t *soak, slot_t *slot)
{
  bool may_be_lost = slot->may_be_lost;
  answer_t answer = call_finish (slot->call);

  slot->call = NULL;
  if (answer.status == 0 && !may_be_lost)
    fail (soak, "a call has no answer", NULL);
  if (answer.status == 0)
    soak->lost++;
  else if (answer.status != 200)
    record_refusal (soak, &answer);
  else if (slot->ask == ASK_STREAM)
    check_stream (soak, &answer, may_be_lost);
  soak->answered += answer.status == 200;
  cluster_answer_free (&answer);
}

static void
update_calls (soak_t *soak, bool goes_on)
{
  for (uint32_t i = 0; i < CALLS; i++)
    {
      slot_t *slot = &soak->slots[i];

      if (slot->call != NULL && call_is_done (slot->call))
        take_answer (soak, slot);
      if (slot->call == NULL && goes_on)
        send_call (soak, slot);
    }
}

static void
check_processes (soak_t *soak)
{
  bool is_away
      = soak->signal.fault != NULL && soak->signal.fault->heal == start_entry;

  if (!is_away && !process_running (soak->deploy->process))
    fail (soak, "the entry instance ended by itself", NULL);
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    if (!process_running (soak->upstreams[i].process))
      fail (soak, "an upstream ended by itself", NULL);
}

static void
check_runs (soak_t *soak)
{
  const upstream_process_t *ledger = &soak->upstreams[ENGINES];
  answer_t answer = cluster_call (ledger->address, "GET", "/v1/inspect", NULL);
  JsonObject *runs = json_object_get_object_member (answer.json, "runs");

  if (json_object_get_int_member (answer.json, "double_runs") != 0)
    fail (soak, "a call ran twice", &answer);
  for (guint i = 0; i < soak->not_run->len; i++)
    if (json_object_has_member (runs, g_ptr_array_index (soak->not_run, i)))
      fail (soak, g_ptr_array_index (soak->not_run, i), &answer);
  cluster_answer_free (&answer);
}

/** Checks that unused memory of an engine is released in time. */
static void
check_memory (soak_t *soak, const upstream_process_t *engine)
{
  uint64_t end_ms = now_ms () + CLUSTER_WAIT_TIMEOUT_MS;
  answer_t answer;

  while (inspect_count (engine, "kv_used_tokens") != 0 && now_ms () < end_ms)
    cluster_sleep_ms (TICK_MS);
  if (inspect_count (engine, "kv_used_tokens") == 0)
    return;
  answer = cluster_call (engine->address, "GET", "/v1/inspect", NULL);
  fail (soak, "an engine's memory is not released", &answer);
}

/** Checks that each kind of request is served again once all faults ended. */
static void
check_service (soak_t *soak)
{
  for (uint32_t kind = 0; kind < ASK_COUNT; kind++)
    {
      uint64_t end_ms = now_ms () + CLUSTER_WAIT_TIMEOUT_MS;
      uint32_t before = soak->answered;

      while (soak->answered == before && now_ms () < end_ms)
        {
          slot_t slot = { .ask = (ask_t)kind, .begun_ms = now_ms () };

          slot.call = call_start (soak->deploy->address, ask_paths[kind],
                                  "X-Customer: counter\r\n",
                                  kind == ASK_STREAM ? STREAM : "{}");
          take_answer (soak, &slot);
        }
      if (soak->answered == before)
        fail (soak, ask_paths[kind], NULL);
    }
}

static void
set_up (soak_t *soak)
{
  answer_t answer;

  soak->link.draws = g_rand_new_with_seed (soak->seed);
  soak->signal.draws = g_rand_new_with_seed (~soak->seed);
  soak->asks = g_rand_new_with_seed (soak->seed + 1);
  soak->not_run = g_ptr_array_new_with_free_func (g_free);
  soak->deploy = deploy_new (NULL);
  cluster_allow_self_kills (soak->deploy->cluster);
  /* The second instance releases the engine memory that a killed instance had
   * reserved. */
  deploy_second_entry (soak->deploy);
  deploy_proxy (soak->deploy);
  for (uint32_t i = 0; i < ENGINES; i++)
    soak->upstreams[i] = deploy_engine (soak->deploy, "--step-us=10000", NULL);
  soak->upstreams[ENGINES]
      = deploy_service (soak->deploy, "ledger", "--service-ms=60");
  soak->upstreams[ENGINES + 1]
      = deploy_service (soak->deploy, "lookup", "--service-ms=60");
  answer = deploy_prompt (soak->deploy, STREAM);
  soak->text = stream_text (&answer);
  g_assert_cmpuint (count_occurrences (&answer, "[DONE]"), ==, 1);
  cluster_answer_free (&answer);
}

static bool
has_open_calls (const soak_t *soak)
{
  for (uint32_t i = 0; i < CALLS; i++)
    if (soak->slots[i].call != NULL)
      return true;
  return false;
}

/** Ends all faults, waits for the last answers, and checks the final state. */
static void
end_faults_and_check (soak_t *soak)
{
  end_fault (soak, &soak->link);
  end_fault (soak, &soak->signal);
  while (has_open_calls (soak))
    {
      update_calls (soak, false);
      cluster_sleep_ms (TICK_MS);
    }
  check_processes (soak);
  check_service (soak);
  check_runs (soak);
  for (uint32_t i = 0; i < ENGINES; i++)
    check_memory (soak, &soak->upstreams[i]);
}

static void
tear_down (soak_t *soak)
{
  g_test_message ("seed %u: %u answered, %u refused, %u lost with their "
                  "instance, %u faults",
                  soak->seed, soak->answered, soak->refused, soak->lost,
                  soak->fault_count);
  g_assert_cmpuint (soak->answered, >, 0);
  g_ptr_array_free (soak->not_run, TRUE);
  g_rand_free (soak->link.draws);
  g_rand_free (soak->signal.draws);
  g_rand_free (soak->asks);
  g_free (soak->text);
  deploy_free (soak->deploy);
}

static void
run_seed (uint32_t seed, uint32_t seconds)
{
  soak_t soak = { .seed = seed };
  uint64_t end_ms;

  set_up (&soak);
  end_ms = now_ms () + seconds * 1000;
  while (now_ms () < end_ms)
    {
      update_fault (&soak, &soak.link, link_faults, G_N_ELEMENTS (link_faults));
      update_fault (&soak, &soak.signal, signal_faults,
                    G_N_ELEMENTS (signal_faults));
      update_calls (&soak, true);
      check_processes (&soak);
      cluster_sleep_ms (TICK_MS);
    }
  end_faults_and_check (&soak);
  tear_down (&soak);
}

static void
test_seeds (void)
{
  /* Faults that these seeds have shown. 1 and 12: engine memory stayed
   * reserved, because the restarted instance did not know another instance yet
   * to which it could send its reservations. 12 in a slow build: the instance
   * was stopped ten times in six seconds, never ran long enough to be
   * configured, and served no caller; therefore service is checked after all
   * faults have ended. 121: a release overtook the requests it belonged to,
   * which a cut link had delayed. */
  static const uint32_t seeds[] = { 1, 2, 12, 121 };
  const char *seed = getenv ("SOAK_SEED");
  const char *seconds = getenv ("SOAK_SECONDS");

  if (seed != NULL)
    {
      run_seed ((uint32_t)strtoul (seed, NULL, 10),
                seconds != NULL ? (uint32_t)strtoul (seconds, NULL, 10)
                                : SHORT_SECONDS);
      return;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (seeds); i++)
    run_seed (seeds[i], SHORT_SECONDS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/soak/seeds", test_seeds);
  return g_test_run ();
}
