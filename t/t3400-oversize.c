/* Checks prompts larger than twice the memory of one engine: they are prefilled
 * in spans and answered completely, and no memory stays reserved whatever way
 * the request ends. */
#include <signal.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "lib-entry.h"
#include "oversize.h"

#define MEMORY_TOKENS       4000
#define MEMORY              "--kv-tokens=4000"
#define PROMPT_BYTES        (9000 * 4)
#define MAX_WAITING_PROMPTS 16
#define CALLS               3
#define SPANS               8
#define ANSWER_TOKENS       20
/* At the simulated upstreams' time scale, STEP takes 0.4 ms per token and 100
   ms per span. */
#define STEP      "--step-us=2000"
#define STEP_SLOW "--step-us=20000"
/* At the same time scale, STEP_SLOWEST takes 5 s per span. */
#define STEP_SLOWEST "--step-us=100000"
#define MAX_ENGINES  4

/** Returns a text of distinct lines with multi-byte characters. */
static char *
make_long_prompt (size_t length)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; text->len < length; i++)
    g_string_append_printf (text, "Rose Nr. %d: Blüten weiß, Stöcke €, 🌹. ", i);
  while (((unsigned char)text->str[length] & 0xc0) == 0x80)
    length--;
  return g_string_free (g_string_truncate (text, length), FALSE);
}

static char *
make_body (const char *more)
{
  char *prompt = make_long_prompt (PROMPT_BYTES);
  char *body = g_strdup_printf ("{\"prompt\":\"%s\",\"customer\":\"counter\","
                                "\"max_tokens\":20%s}",
                                prompt, more);

  g_free (prompt);
  return body;
}

/** A deployment of engines that are each too small for the prompt. */
typedef struct
{
  deploy_t *deploy;
  upstream_process_t engines[MAX_ENGINES];
  int count;
  char *body;
} fleet_t;

static fleet_t
fleet_new (int count, const char *step, const char *flag)
{
  fleet_t fleet = { .deploy = deploy_new (flag), .count = count };

  for (int i = 0; i < count; i++)
    fleet.engines[i] = deploy_engine (fleet.deploy, MEMORY, step);
  fleet.body = make_body (",\"stream\":true");
  return fleet;
}

static bool
all_memory_is_free (const fleet_t *fleet)
{
  for (int i = 0; i < fleet->count; i++)
    if (process_running (fleet->engines[i].process)
        && (inspect_count (&fleet->engines[i], "kv_used_tokens") > 0
            || inspect_count (&fleet->engines[i], "reservations") > 0))
      return false;
  return true;
}

static void
fleet_free (fleet_t *fleet)
{
  CLUSTER_WAIT (all_memory_is_free (fleet));
  g_free (fleet->body);
  deploy_free (fleet->deploy);
}

static double
sum_metric (const fleet_t *fleet, const char *name)
{
  return cluster_metric_sum (fleet->deploy->address, name);
}

static call_t *
start_call (const fleet_t *fleet)
{
  return call_start (fleet->deploy->address, "/v1/completions", NULL,
                     fleet->body);
}

static char *
get_complete_text (answer_t *answer)
{
  char *text = stream_text (answer);

  g_test_message ("answer %d %.300s", answer->status, answer->body);
  g_assert_cmpint (answer->status, ==, 200);
  g_assert_cmpuint (count_occurrences (answer, "\"offset\":"), ==,
                    ANSWER_TOKENS + 1);
  g_assert_cmpuint (count_occurrences (answer, "[DONE]"), ==, 1);
  g_assert_cmpuint (count_occurrences (answer, "\"error\""), ==, 0);
  cluster_answer_free (answer);
  return text;
}

/** Waits until an engine runs a span; returns the index of the engine. */
static int
wait_for_span (const fleet_t *fleet)
{
  int64_t end_us = g_get_monotonic_time () + CLUSTER_WAIT_TIMEOUT_MS * 1000;

  while (g_get_monotonic_time () < end_us)
    for (int i = 0; i < fleet->count; i++)
      if (inspect_count (&fleet->engines[i], "streams") > 0)
        return i;
  g_assert_not_reached ();
}

static void
assert_reservations_released (const fleet_t *fleet)
{
  const char *address = fleet->deploy->address;

  g_assert_cmpfloat (
      cluster_metric (address,
                      "lwm_oversize_reservations_total{result=\"taken\"}"),
      ==,
      cluster_metric (address,
                      "lwm_oversize_reservations_total{result=\"released\"}"));
}

static void
test_plan_of_prefill_spans (void)
{
  char *prompt = make_long_prompt (PROMPT_BYTES);
  oversize_t *plan = oversize_plan (NULL, prompt, ANSWER_TOKENS, MEMORY_TOKENS);
  GString *joined = g_string_new (NULL);

  g_assert_cmpuint (plan->span_count, ==, SPANS);
  for (uint32_t i = 0; i < plan->span_count; i++)
    {
      const oversize_span_t *span = &plan->spans[i];
      char *text = oversize_span_prompt (plan, plan, prompt, i);

      g_string_append_len (joined, prompt + span->start_bytes,
                           (gssize)(span->end_bytes - span->start_bytes));
      g_assert_true (g_utf8_validate (text, -1, NULL));
      g_assert_cmpuint ((strlen (text) + 3) / 4 + plan->max_extract_tokens, <=,
                        MEMORY_TOKENS / 2);
      oversize_mark_read (plan, i, prompt);
    }
  g_assert_cmpstr (joined->str, ==, prompt);
  g_assert_cmpuint (strlen (oversize_last_prompt (plan, plan, prompt)) / 4
                        + ANSWER_TOKENS,
                    <=, MEMORY_TOKENS);
  g_assert_null (oversize_plan (plan, prompt, MEMORY_TOKENS, MEMORY_TOKENS));
  g_string_free (joined, TRUE);
  talloc_free (plan);
  g_free (prompt);
}

static void
assert_explained (const fleet_t *fleet, const answer_t *answer)
{
  char *path = g_strdup_printf (
      "/v1/explain/%s", json_object_get_string_member (answer->json, "id"));
  answer_t why = cluster_call (fleet->deploy->address, "GET", path, NULL);
  JsonArray *spans = json_object_get_array_member (why.json, "spans");

  g_assert_cmpuint (json_array_get_length (spans), ==, SPANS);
  for (guint i = 0; i < SPANS; i++)
    g_assert_cmpstr (json_object_get_string_member (
                         json_array_get_object_element (spans, i), "state"),
                     ==, "read");
  cluster_answer_free (&why);
  g_free (path);
}

static void
test_oversize_prompt_is_served (void)
{
  fleet_t fleet = fleet_new (2, STEP, NULL);
  char *body = make_body ("");
  answer_t answer = deploy_prompt (fleet.deploy, body);
  JsonObject *usage;

  g_test_message ("answer %d %s", answer.status, answer.body);
  g_assert_cmpint (answer.status, ==, 200);
  usage = json_object_get_object_member (answer.json, "usage");
  g_assert_cmpint (json_object_get_int_member (usage, "completion_tokens"), ==,
                   ANSWER_TOKENS);
  g_assert_cmpint (json_object_get_int_member (usage, "prompt_tokens"), ==,
                   PROMPT_BYTES / 4);
  assert_explained (&fleet, &answer);
  g_assert_cmpfloat (sum_metric (&fleet, "lwm_oversize_spans_total"), ==,
                     SPANS);
  g_assert_cmpint (inspect_runs (&fleet.engines[0])
                       + inspect_runs (&fleet.engines[1]),
                   ==, SPANS + 1);
  assert_reservations_released (&fleet);
  cluster_answer_free (&answer);
  g_free (body);
  fleet_free (&fleet);
}

static void
test_engine_dies (void)
{
  fleet_t fleet = fleet_new (4, STEP, NULL);
  answer_t answer = call_finish (start_call (&fleet));
  char *expected = get_complete_text (&answer);
  call_t *call = start_call (&fleet);
  char *actual;

  process_signal (fleet.engines[wait_for_span (&fleet)].process, SIGKILL);
  answer = call_finish (call);
  actual = get_complete_text (&answer);
  g_assert_cmpstr (actual, ==, expected);
  g_assert_cmpfloat (sum_metric (&fleet, "lwm_oversize_rereads_total"), >=, 1);
  g_free (actual);
  g_free (expected);
  fleet_free (&fleet);
}

static void
test_caller_hangs_up (void)
{
  fleet_t fleet = fleet_new (4, STEP_SLOW, "--reconnect-timeout-ms=0");
  int fd = prompt_without_reading (fleet.deploy, fleet.body);

  wait_for_span (&fleet);
  close (fd);
  CLUSTER_WAIT (sum_metric (&fleet, "lwm_requests_live") == 0);
  CLUSTER_WAIT (all_memory_is_free (&fleet));
  /* The span in progress was cancelled too and did not complete. */
  g_assert_cmpfloat (sum_metric (&fleet, "lwm_requests_done_total"), ==, 0);
  assert_reservations_released (&fleet);
  fleet_free (&fleet);
}

static void
test_deadline_ends_request (void)
{
  fleet_t fleet = fleet_new (2, STEP_SLOW, NULL);
  char *body = make_body (",\"deadline_ms\":1500");
  answer_t answer = deploy_prompt (fleet.deploy, body);

  assert_error (&answer, 504, "deadline_passed", "false");
  CLUSTER_WAIT (all_memory_is_free (&fleet));
  cluster_answer_free (&answer);
  g_free (body);
  fleet_free (&fleet);
}

static void
test_short_deadline_is_refused (void)
{
  fleet_t fleet = fleet_new (2, "--prefill-tokens-s=300", NULL);
  char *body = make_body (",\"deadline_ms\":1000");
  answer_t answer = deploy_prompt (fleet.deploy, body);

  assert_error (&answer, 503, "deadline_unmeetable", "true");
  for (int i = 0; i < fleet.count; i++)
    g_assert_cmpint (inspect_runs (&fleet.engines[i]), ==, 0);
  cluster_answer_free (&answer);
  g_free (body);
  fleet_free (&fleet);
}

static void
test_stop_lets_request_finish (void)
{
  fleet_t fleet = fleet_new (2, STEP, NULL);
  call_t *call = start_call (&fleet);
  answer_t answer;

  wait_for_span (&fleet);
  process_signal (fleet.deploy->process, SIGTERM);
  answer = call_finish (call);
  g_free (get_complete_text (&answer));
  fleet_free (&fleet);
}

/**
 * Starts another entry instance with the same configuration and a gossip peer;
 * returns its address.
 */
static const char *
start_entry (deploy_t *deploy,
             const char *name,
             const char *gossip,
             const char *peer,
             process_t **process)
{
  const char *address = cluster_address (deploy->cluster);
  char *folder
      = g_strdup_printf ("%s/config", cluster_folder (deploy->cluster));

  *process = cluster_start (deploy->cluster, "lwm-entryd", "--instance", name,
                            "--zone", "here", "--listen", address,
                            "--gossip-listen", gossip, "--gossip-peer", peer,
                            "--config-folder", folder, NULL);
  g_assert_nonnull (*process);
  g_free (folder);
  return address;
}

static bool
is_healthy (const char *address)
{
  answer_t answer = cluster_call (address, "GET", "/healthz", NULL);
  bool healthy = answer.status == 200;

  cluster_answer_free (&answer);
  return healthy;
}

/* The surviving instance must have received the ownership record of the stream,
 * which is sent in a batch, before the owner is killed. */
static void
test_entry_killed (void)
{
  fleet_t fleet = { .deploy = deploy_new (NULL), .count = 2 };
  deploy_t *deploy = fleet.deploy;
  const char *gossip[2] = { cluster_address (deploy->cluster),
                            cluster_address (deploy->cluster) };
  process_t *processes[2];
  const char *first
      = start_entry (deploy, "e2", gossip[0], gossip[1], &processes[0]);
  const char *second
      = start_entry (deploy, "e3", gossip[1], gossip[0], &processes[1]);
  call_t *call;
  answer_t answer;

  deploy->address = second;
  for (int i = 0; i < fleet.count; i++)
    fleet.engines[i] = deploy_engine (deploy, MEMORY, STEP_SLOWEST);
  CLUSTER_WAIT (cluster_metric (first, "lwm_upstreams") == fleet.count);
  CLUSTER_WAIT (cluster_metric (first, "lwm_instances{scope=\"zone\"}") == 2);
  CLUSTER_WAIT (is_healthy (first));
  fleet.body = make_body (",\"deadline_ms\":60000");
  call = call_start (first, "/v1/completions", NULL, fleet.body);
  wait_for_span (&fleet);
  /* One message carries the record of the reservation, another that of the
   * stream. */
  CLUSTER_WAIT (
      cluster_metric (first, "lwm_gossip_sent_messages_total{kind=\"owners\"}")
      >= 2);
  process_signal (processes[0], SIGKILL);
  answer = call_finish (call);
  g_assert_cmpint (answer.status, ==, 0);
  CLUSTER_WAIT (all_memory_is_free (&fleet));
  g_assert_cmpfloat (cluster_metric_sum (second, "lwm_orphans_total"), >=, 2);
  cluster_answer_free (&answer);
  fleet_free (&fleet);
}

static void
test_competing_requests (void)
{
  fleet_t fleet = fleet_new (4, STEP, NULL);
  call_t *calls[CALLS];
  char *texts[CALLS];

  for (int i = 0; i < CALLS; i++)
    calls[i] = start_call (&fleet);
  for (int i = 0; i < CALLS; i++)
    {
      answer_t answer = call_finish (calls[i]);

      texts[i] = get_complete_text (&answer);
    }
  for (int i = 1; i < CALLS; i++)
    g_assert_cmpstr (texts[i], ==, texts[0]);
  for (int i = 0; i < CALLS; i++)
    g_free (texts[i]);
  assert_reservations_released (&fleet);
  fleet_free (&fleet);
}

/** Reserves most of an engine's memory for another owner, or releases it. */
static void
set_engine_full (const upstream_process_t *engine, bool full)
{
  answer_t answer
      = full ? cluster_call (engine->address, "POST", "/v1/reservations",
                             "{\"id\":\"other\",\"owner\":\"x/1\","
                             "\"tokens\":3000,\"lease_ms\":60000}")
             : cluster_call (engine->address, "DELETE",
                             "/v1/reservations/other", NULL);

  g_assert_cmpint (answer.status, ==, 200);
  cluster_answer_free (&answer);
}

static void
test_no_free_memory (void)
{
  fleet_t fleet = fleet_new (2, STEP, NULL);
  char *body = make_body (",\"deadline_ms\":2000");
  answer_t answer;

  for (int i = 0; i < fleet.count; i++)
    set_engine_full (&fleet.engines[i], true);
  answer = deploy_prompt (fleet.deploy, body);
  assert_error (&answer, 503, "engine_memory", "true");
  cluster_answer_free (&answer);
  for (int i = 0; i < fleet.count; i++)
    {
      g_assert_cmpint (inspect_runs (&fleet.engines[i]), ==, 0);
      g_assert_cmpint (inspect_count (&fleet.engines[i], "reservations"), ==,
                       1);
      set_engine_full (&fleet.engines[i], false);
    }
  g_assert_cmpfloat (sum_metric (&fleet, "lwm_oversize_spans_total"), ==, 0);
  g_free (body);
  fleet_free (&fleet);
}

/* At most MAX_WAITING_PROMPTS requests wait for memory; a further one is
 * refused. */
static void
test_too_many_waiting_prompts (void)
{
  fleet_t fleet = fleet_new (1, STEP, NULL);
  char *body = make_body (",\"deadline_ms\":3000");
  call_t *calls[MAX_WAITING_PROMPTS];
  answer_t answer;

  set_engine_full (&fleet.engines[0], true);
  for (int i = 0; i < MAX_WAITING_PROMPTS; i++)
    calls[i]
        = call_start (fleet.deploy->address, "/v1/completions", NULL, body);
  CLUSTER_WAIT (sum_metric (&fleet, "lwm_requests_live")
                == MAX_WAITING_PROMPTS);
  answer = deploy_prompt (fleet.deploy, body);
  assert_error (&answer, 503, "engine_memory", "true");
  cluster_answer_free (&answer);
  g_assert_cmpfloat (
      sum_metric (&fleet, "lwm_refusals_total{reason=\"engine_memory\"}"), ==,
      1);
  for (int i = 0; i < MAX_WAITING_PROMPTS; i++)
    {
      answer = call_finish (calls[i]);
      assert_error (&answer, 503, "engine_memory", "true");
      cluster_answer_free (&answer);
    }
  set_engine_full (&fleet.engines[0], false);
  g_free (body);
  fleet_free (&fleet);
}

/* Two engines are requested and only one has room: the reservation already made
 * must be released, and the request must then be served by one engine. */
static void
test_free_memory_at_one_engine (void)
{
  fleet_t fleet = fleet_new (4, STEP, NULL);
  answer_t answer;

  for (int i = 1; i < fleet.count; i++)
    set_engine_full (&fleet.engines[i], true);
  answer = call_finish (start_call (&fleet));
  g_free (get_complete_text (&answer));
  g_assert_cmpfloat (
      sum_metric (&fleet,
                  "lwm_oversize_reservations_total{result=\"refused\"}"),
      >=, 1);
  assert_reservations_released (&fleet);
  for (int i = 1; i < fleet.count; i++)
    set_engine_full (&fleet.engines[i], false);
  fleet_free (&fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/oversize/plan", test_plan_of_prefill_spans);
  g_test_add_func ("/oversize/served", test_oversize_prompt_is_served);
  g_test_add_func ("/oversize/engine-dies", test_engine_dies);
  g_test_add_func ("/oversize/caller-hangs-up", test_caller_hangs_up);
  g_test_add_func ("/oversize/deadline", test_deadline_ends_request);
  g_test_add_func ("/oversize/no-time", test_short_deadline_is_refused);
  g_test_add_func ("/oversize/stop-finishes", test_stop_lets_request_finish);
  g_test_add_func ("/oversize/entry-killed", test_entry_killed);
  g_test_add_func ("/oversize/compete", test_competing_requests);
  g_test_add_func ("/oversize/no-room", test_no_free_memory);
  g_test_add_func ("/oversize/too-many", test_too_many_waiting_prompts);
  g_test_add_func ("/oversize/room-at-one", test_free_memory_at_one_engine);
  return g_test_run ();
}
