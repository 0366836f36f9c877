/* Checks requests that crash the upstreams which run them: entry instances must
 * find them and stop sending them, and must serve all other requests. */
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "lib-crashing.h"
#include "lib-entry.h"

/* Bounds of docs/design/88-crashing-requests.md. */
#define CONTACT_MS     3000
#define MAX_LATER_RUNS 3
/* A crashing request is repeated for this time, at this interval. */
#define REPEAT_MS   8000
#define INTERVAL_MS 100
/* Sound requests must be served from this time on, when the crashing one has
 * been found and the upstreams are back. */
#define SETTLED_MS 5000
#define UPSTREAMS  4
/* Callers that send the same request at once. */
#define CALLERS 4
/* Interval at which an entry instance is killed. */
#define KILL_MS 1500
/* Upstreams that leave before requests to them end; more than would be needed
 * to block a request if each counted as a crash. */
#define MAX_LEAVES 5

#define PLAIN_PATH   "/v1/call/lookup/path"
#define CUSTOMER     "X-Customer: counter\r\n"
#define OTHER        "X-Customer: archive\r\n"
#define HARMFUL_BODY "{\"text\":\"" CRASHING_MARK "\"}"
#define SOUND_BODY   "{\"text\":\"sound\"}"
#define TIMEOUT_MS   10000

typedef struct
{
  deploy_t *deploy;
  const char *second; /* address of the second entry instance, or NULL */
  crashing_t *upstreams;
} rig_t;

static rig_t
rig_new (crashing_end_t end, bool is_engine, bool has_second)
{
  rig_t rig = { .deploy = deploy_new (NULL) };
  crashing_options_t options = { .service = is_engine ? "engines" : "lookup",
                                 .is_engine = is_engine,
                                 .upstreams = UPSTREAMS,
                                 .end = end };

  options.entries[0] = rig.deploy->address;
  if (has_second)
    {
      rig.second = deploy_second_entry (rig.deploy);
      options.entries[1] = rig.second;
    }
  rig.upstreams = crashing_new (&options);
  return rig;
}

static void
rig_free (rig_t *rig)
{
  crashing_free (rig->upstreams);
  deploy_free (rig->deploy);
}

static answer_t
call_lookup (const char *address, const char *customer, const char *body)
{
  return cluster_call_with (address, "POST", PLAIN_PATH, customer, body,
                            TIMEOUT_MS);
}

static answer_t
prompt (const char *address, const char *customer, const char *text)
{
  char *body = g_strdup_printf (
      "{\"prompt\":\"%s\",\"customer\":\"%s\",\"max_tokens\":5}", text,
      customer);
  answer_t answer = cluster_call (address, "POST", "/v1/completions", body);

  g_free (body);
  return answer;
}

static bool
is_quarantined (const answer_t *answer)
{
  return answer->status == 503 && strstr (answer->body, "quarantined") != NULL;
}

/** Sends a request and returns whether the answer has the status. */
static bool
call_gives (const char *address,
            const char *customer,
            const char *body,
            int status)
{
  answer_t answer = call_lookup (address, customer, body);
  bool is_expected = answer.status == status;

  if (!is_expected)
    g_test_message ("status %d instead of %d: %s", answer.status, status,
                    answer.body);
  cluster_answer_free (&answer);
  return is_expected;
}

/** Counts of sound requests that were sent once the state had settled. */
typedef struct
{
  uint32_t sent;
  uint32_t served;
} sound_t;

/** Repeats the harmful call at the entry instances in turn, with a sound one
 * beside each. */
static sound_t
repeat_harmful_call (const rig_t *rig)
{
  int64_t start_us = g_get_monotonic_time ();
  int64_t end_us = start_us + REPEAT_MS * 1000;
  sound_t sound = { 0 };

  for (uint32_t i = 0; g_get_monotonic_time () < end_us; i++)
    {
      const char *address = rig->second != NULL && i % 2 == 1
                                ? rig->second
                                : rig->deploy->address;
      answer_t answer = call_lookup (address, CUSTOMER, HARMFUL_BODY);

      cluster_answer_free (&answer);
      if (g_get_monotonic_time () > start_us + SETTLED_MS * 1000)
        {
          sound.sent++;
          sound.served += call_gives (address, CUSTOMER, SOUND_BODY, 200);
        }
      cluster_sleep_ms (INTERVAL_MS);
    }
  return sound;
}

static void
check_later_runs (const rig_t *rig)
{
  g_test_message ("%u runs, %u of them later than %u ms after the third",
                  crashing_runs (rig->upstreams),
                  crashing_runs_after_third (rig->upstreams, CONTACT_MS),
                  CONTACT_MS);
  g_assert_cmpuint (crashing_runs (rig->upstreams), >=, 3);
  g_assert_cmpuint (crashing_runs_after_third (rig->upstreams, CONTACT_MS), <=,
                    MAX_LATER_RUNS);
}

/* Guards against a request that crashes one upstream after the other, and
 * against blocking more than this request. */
static void
check_repeated_call (crashing_end_t end, bool has_second)
{
  rig_t rig = rig_new (end, false, has_second);
  sound_t sound = repeat_harmful_call (&rig);
  const char *last = has_second ? rig.second : rig.deploy->address;
  answer_t answer;

  check_later_runs (&rig);
  g_assert_cmpuint (sound.sent, >, 0);
  g_assert_cmpuint (sound.served, ==, sound.sent);
  answer = call_lookup (last, CUSTOMER, HARMFUL_BODY);
  assert_error (&answer, 503, "quarantined", "true");
  cluster_answer_free (&answer);
  /* The same request of another customer is another one. */
  crashing_set_harmful (rig.upstreams, false);
  g_assert_true (call_gives (last, OTHER, HARMFUL_BODY, 200));
  answer = call_lookup (last, CUSTOMER, HARMFUL_BODY);
  assert_error (&answer, 503, "quarantined", "true");
  cluster_answer_free (&answer);
  rig_free (&rig);
}

static void
test_ends_at_once (void)
{
  check_repeated_call (CRASHING_AT_ONCE, false);
}

static void
test_ends_in_body (void)
{
  check_repeated_call (CRASHING_IN_BODY, false);
}

static void
test_ends_in_head_at_two_instances (void)
{
  check_repeated_call (CRASHING_IN_HEAD, true);
}

/** Repeats a harmful prompt. */
static void
check_repeated_prompt (crashing_end_t end)
{
  rig_t rig = rig_new (end, true, true);
  int64_t end_us = g_get_monotonic_time () + REPEAT_MS * 1000;
  answer_t answer;

  for (uint32_t i = 0; g_get_monotonic_time () < end_us; i++)
    {
      answer = prompt (i % 2 == 1 ? rig.second : rig.deploy->address, "counter",
                       CRASHING_MARK);
      cluster_answer_free (&answer);
      cluster_sleep_ms (INTERVAL_MS);
    }
  check_later_runs (&rig);
  answer = prompt (rig.deploy->address, "counter", CRASHING_MARK);
  assert_error (&answer, 503, "quarantined", "true");
  cluster_answer_free (&answer);
  answer = prompt (rig.second, "counter", "sound");
  g_assert_cmpint (answer.status, ==, 200);
  cluster_answer_free (&answer);
  rig_free (&rig);
}

/* A stream that breaks off is resumed at the same upstream first. That its
 * upstream crashed must be counted nevertheless. */
static void
test_ends_in_stream (void)
{
  check_repeated_prompt (CRASHING_IN_STREAM);
}

static void
test_ends_before_stream (void)
{
  check_repeated_prompt (CRASHING_AT_ONCE);
}

/* Guards against blocking a request that is answered now and then, as one that
 * is only sent often to upstreams that crash for other reasons. */
static void
test_answer_clears (void)
{
  rig_t rig = rig_new (CRASHING_AT_ONCE, false, true);

  for (uint32_t i = 0; i < 3; i++)
    {
      crashing_set_harmful (rig.upstreams, true);
      g_assert_true (
          call_gives (rig.deploy->address, CUSTOMER, HARMFUL_BODY, 502));
      crashing_set_harmful (rig.upstreams, false);
      cluster_sleep_ms (2 * CRASHING_DOWN_MS);
      g_assert_true (call_gives (rig.second, CUSTOMER, HARMFUL_BODY, 200));
      cluster_sleep_ms (2 * CRASHING_DOWN_MS);
    }
  /* Two crashes of each first call, which is retried once, and one answer. */
  g_assert_cmpuint (crashing_runs (rig.upstreams), ==, 9);
  rig_free (&rig);
}

/* Guards against counting upstreams that end as planned as crashes. */
static void
test_leaving_is_no_crash (void)
{
  rig_t rig = rig_new (CRASHING_LEAVES, false, false);
  int64_t end_us = g_get_monotonic_time () + REPEAT_MS * 1000;

  while (crashing_runs (rig.upstreams) < MAX_LEAVES
         && g_get_monotonic_time () < end_us)
    {
      answer_t answer
          = call_lookup (rig.deploy->address, CUSTOMER, HARMFUL_BODY);

      g_assert_false (is_quarantined (&answer));
      cluster_answer_free (&answer);
      cluster_sleep_ms (INTERVAL_MS);
    }
  g_assert_cmpuint (crashing_runs (rig.upstreams), >=, MAX_LEAVES);
  crashing_set_harmful (rig.upstreams, false);
  cluster_sleep_ms (2 * CRASHING_DOWN_MS);
  g_assert_true (call_gives (rig.deploy->address, CUSTOMER, HARMFUL_BODY, 200));
  rig_free (&rig);
}

/* Guards against an instance that starts without the evidence of the others and
 * sends the request again. */
static void
test_started_instance_knows (void)
{
  rig_t rig = rig_new (CRASHING_AT_ONCE, false, false);
  uint32_t runs;
  answer_t answer;

  CLUSTER_WAIT (call_gives (rig.deploy->address, CUSTOMER, HARMFUL_BODY, 503)
                && crashing_runs (rig.upstreams) >= 3);
  runs = crashing_runs (rig.upstreams);
  rig.second = deploy_second_entry (rig.deploy);
  CLUSTER_WAIT (call_gives (rig.second, CUSTOMER, SOUND_BODY, 200));
  answer = call_lookup (rig.second, CUSTOMER, HARMFUL_BODY);
  assert_error (&answer, 503, "quarantined", "true");
  cluster_answer_free (&answer);
  g_assert_cmpuint (crashing_runs (rig.upstreams), ==, runs);
  rig_free (&rig);
}

/** Sends the harmful and a sound call several times at once. Returns how many
 * of the sound ones were served. */
static uint32_t
send_calls_at_once (const rig_t *rig)
{
  call_t *calls[2 * CALLERS];
  uint32_t served = 0;

  for (uint32_t i = 0; i < 2 * CALLERS; i++)
    calls[i] = call_start (i % 4 < 2 ? rig->deploy->address : rig->second,
                           PLAIN_PATH, CUSTOMER,
                           i % 2 == 0 ? HARMFUL_BODY : SOUND_BODY);
  for (uint32_t i = 0; i < 2 * CALLERS; i++)
    {
      answer_t answer = call_finish (calls[i]);

      if (i % 2 == 1 && answer.status == 200)
        served++;
      cluster_answer_free (&answer);
    }
  return served;
}

/* Guards against counting only the crashes that one request sees after the
 * other, as several callers send the same one at once, and against blocking the
 * requests that were at an upstream when another one crashed it. */
static void
test_several_callers (void)
{
  rig_t rig = rig_new (CRASHING_AT_ONCE, false, true);
  int64_t start_us = g_get_monotonic_time ();
  sound_t sound = { 0 };

  while (g_get_monotonic_time () < start_us + REPEAT_MS * 1000)
    {
      bool is_settled = g_get_monotonic_time () > start_us + SETTLED_MS * 1000;
      uint32_t served = send_calls_at_once (&rig);

      sound.sent += is_settled ? CALLERS : 0;
      sound.served += is_settled ? served : 0;
      cluster_sleep_ms (INTERVAL_MS);
    }
  check_later_runs (&rig);
  g_assert_cmpuint (sound.sent, >, 0);
  g_assert_cmpuint (sound.served, ==, sound.sent);
  rig_free (&rig);
}

/* Guards against evidence that is lost with an instance that is killed. */
static void
test_killed_instances (void)
{
  rig_t rig = rig_new (CRASHING_AT_ONCE, false, true);
  int64_t end_us = g_get_monotonic_time () + REPEAT_MS * 1000;
  int64_t kill_us = g_get_monotonic_time () + KILL_MS * 1000;

  for (uint32_t i = 0; g_get_monotonic_time () < end_us; i++)
    {
      answer_t answer
          = call_lookup (i % 2 == 0 ? rig.deploy->address : rig.second,
                         CUSTOMER, HARMFUL_BODY);

      cluster_answer_free (&answer);
      if (g_get_monotonic_time () > kill_us)
        {
          process_signal (rig.deploy->process, SIGKILL);
          deploy_restart (rig.deploy);
          kill_us = g_get_monotonic_time () + KILL_MS * 1000;
        }
      cluster_sleep_ms (INTERVAL_MS);
    }
  check_later_runs (&rig);
  rig_free (&rig);
}

/** Sends a harmful prompt with this host; returns whether it is refused. */
static bool
is_refused_with_host (const rig_t *rig, const char *host)
{
  answer_t answer = read_until_close (
      call_without_reading (rig->deploy->address, host, "/v1/completions",
                            PROMPT (CRASHING_MARK, ",\"max_tokens\":5")));
  bool is_refused = strstr (answer.body, "\"quarantined\"") != NULL;

  g_free (answer.body);
  return is_refused;
}

/* Guards against a request that is not recognized at another instance, because
 * the caller names the address of that instance as the host. */
static void
test_host (void)
{
  rig_t rig = rig_new (CRASHING_AT_ONCE, true, false);

  for (uint32_t i = 0; i < REPEAT_MS / INTERVAL_MS
                       && !is_refused_with_host (&rig, "10.0.0.1:80");
       i++)
    cluster_sleep_ms (INTERVAL_MS);
  crashing_set_harmful (rig.upstreams, false);
  cluster_sleep_ms (2 * CRASHING_DOWN_MS);
  g_assert_true (is_refused_with_host (&rig, "10.0.0.1:80"));
  g_assert_true (is_refused_with_host (&rig, "10.0.0.2:80"));
  g_assert_true (is_refused_with_host (&rig, "[::1]:80"));
  g_assert_false (is_refused_with_host (&rig, "entry.example"));
  rig_free (&rig);
}

/* Guards against a refusal that does not tell when to try again. */
static void
test_retry_after (void)
{
  static const char body[] = PROMPT (CRASHING_MARK, ",\"max_tokens\":5");
  rig_t rig = rig_new (CRASHING_AT_ONCE, true, false);
  answer_t answer = { 0 };
  bool is_refused = false;

  for (uint32_t i = 0; i < REPEAT_MS / INTERVAL_MS && !is_refused; i++)
    {
      g_free (answer.body);
      cluster_sleep_ms (INTERVAL_MS);
      answer = read_until_close (prompt_without_reading (rig.deploy, body));
      is_refused = strstr (answer.body, "\"quarantined\"") != NULL;
    }
  g_assert_true (is_refused);
  g_assert_nonnull (strstr (answer.body, "HTTP/1.1 503 "));
  g_assert_nonnull (strstr (answer.body, "Retry-After: "));
  g_free (answer.body);
  rig_free (&rig);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/entry/crashing/ends-at-once", test_ends_at_once);
  g_test_add_func ("/entry/crashing/ends-in-body", test_ends_in_body);
  g_test_add_func ("/entry/crashing/two-instances",
                   test_ends_in_head_at_two_instances);
  g_test_add_func ("/entry/crashing/ends-before-stream",
                   test_ends_before_stream);
  g_test_add_func ("/entry/crashing/ends-in-stream", test_ends_in_stream);
  g_test_add_func ("/entry/crashing/answer-clears", test_answer_clears);
  g_test_add_func ("/entry/crashing/leaving", test_leaving_is_no_crash);
  g_test_add_func ("/entry/crashing/started-instance",
                   test_started_instance_knows);
  g_test_add_func ("/entry/crashing/several-callers", test_several_callers);
  g_test_add_func ("/entry/crashing/killed-instances", test_killed_instances);
  g_test_add_func ("/entry/crashing/host", test_host);
  g_test_add_func ("/entry/crashing/retry-after", test_retry_after);
  return g_test_run ();
}
