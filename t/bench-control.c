/* Benchmarks the control group with real processes behind the fault proxy.
 * Prints one line per figure: "experiment=… policy=… metric=… value=…
 * target=…". */
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "lib-control.h"

#define ZONES           3
#define ZONE_DELAY_MS   5
#define LOSS_PERCENT    1
#define LOSS_STALL_MS   200 /* the shortest retransmission timeout of TCP */
#define COMMITS         400
#define READS           200
#define LEADER_LOSSES   20
#define MAX_OPEN_CLAIMS 256
#define CLAIMS_TOTAL    20000
#define IDLE_MS         10000
#define HEARTBEAT_MS    250
#define ELECTION_MS     750
#define SNAPSHOT_EVERY  1000

static cluster_t *cluster;
static group_t *group;
static control_client_t *client;
static uint64_t number;

static void
print_result (const char *experiment,
              const char *policy,
              const char *metric,
              double value,
              const char *target)
{
  printf ("experiment=%s policy=%s metric=%s value=%.3f target=%s\n",
          experiment, policy, metric, value, target);
  fflush (stdout);
}

static int
compare_ascending (const void *a, const void *b)
{
  double one = *(const double *)a;
  double other = *(const double *)b;

  return one < other ? -1 : one > other;
}

static double
percentile (double *values, size_t count, double share)
{
  size_t at = (size_t)((double)count * share);

  qsort (values, count, sizeof *values, compare_ascending);
  return values[at < count ? at : count - 1];
}

/** Starts a group of @a count replicas. If @a slow, they are spread over the
 * zones in turn, and the links between zones are slow. */
static void
set_up (size_t count, bool slow)
{
  cluster = cluster_new ();
  group = group_new (cluster, count, slow);
  group->heartbeat_ms = HEARTBEAT_MS;
  group->election_timeout_ms = ELECTION_MS;
  group->snapshot_entries = SNAPSHOT_EVERY;
  number = 0;
  for (size_t from = 0; slow && from < count; from++)
    for (size_t to = 0; to < count; to++)
      if (from % ZONES != to % ZONES)
        group_set_delay (group, from, to, ZONE_DELAY_MS, LOSS_PERCENT,
                         LOSS_STALL_MS);
  group_start_all (group);
  client = group_client (group, NULL);
}

static void
tear_down (void)
{
  talloc_free (client);
  group_free (group);
  cluster_free (cluster);
}

static double
measure_apply_ms (void)
{
  uint64_t begun_us = clock_mono_us ();
  reply_t reply = group_apply (group, client, ++number, "digest");

  g_assert_cmpint (reply.result, <=, LWM__CONTROL_RESULT__RESULT_SAME);
  return (double)(clock_mono_us () - begun_us) / 1000;
}

static void
bench_commit (uint64_t count)
{
  double values[COMMITS];
  char policy[32];

  set_up (count, true);
  measure_apply_ms ();
  for (size_t i = 0; i < COMMITS; i++)
    values[i] = measure_apply_ms ();
  g_snprintf (policy, sizeof policy, "replicas-%ju", (uintmax_t)count);
  print_result ("control-commit", policy, "p50_ms",
                percentile (values, COMMITS, 0.5), "none");
  print_result ("control-commit", policy, "p99_ms",
                percentile (values, COMMITS, 0.99), "none");
  tear_down ();
}

static double
measure_read_ms (bool local)
{
  Lwm__ControlRequest request = LWM__CONTROL_REQUEST__INIT;
  Lwm__ControlGet get = LWM__CONTROL_GET__INIT;
  uint64_t begun_us = clock_mono_us ();
  reply_t reply = { 0 };

  get.local = local;
  request.what_case = LWM__CONTROL_REQUEST__WHAT_GET;
  request.get = &get;
  control_client_call (client, &request, 20000, reply_store_answer, &reply);
  group_wait_reply (group, &reply);
  return (double)(clock_mono_us () - begun_us) / 1000;
}

static void
bench_read (uint64_t local)
{
  double values[READS];
  const char *policy = local ? "local-replica" : "leader-quorum-round";

  set_up (3, true);
  measure_apply_ms ();
  for (size_t i = 0; i < READS; i++)
    values[i] = measure_read_ms (local);
  print_result ("control-read", policy, "p50_ms",
                percentile (values, READS, 0.5), "none");
  print_result ("control-read", policy, "p99_ms",
                percentile (values, READS, 0.99), "none");
  tear_down ();
}

static void
bench_leader_loss (uint64_t count)
{
  double values[LEADER_LOSSES];

  set_up (count, true);
  measure_apply_ms ();
  for (size_t i = 0; i < LEADER_LOSSES; i++)
    {
      size_t leader = group_leader (group);

      group_wait_settled (group);
      group_kill (group, leader, false);
      values[i] = measure_apply_ms ();
      group_start (group, leader, NULL);
      group_wait_settled (group);
    }
  print_result ("control-leader-loss", "replicas-3", "unavailable_p50_ms",
                percentile (values, LEADER_LOSSES, 0.5), "none");
  print_result ("control-leader-loss", "replicas-3", "unavailable_p95_ms",
                percentile (values, LEADER_LOSSES, 0.95), "2000");
  print_result ("control-leader-loss", "replicas-3", "unavailable_max_ms",
                values[LEADER_LOSSES - 1], "none");
  tear_down ();
}

/** Restarts a group of one replica and prints the time until it is ready, and
 * until it has applied all entries. */
static void
bench_restart (uint64_t changes)
{
  char policy[32];
  uint64_t begun_us;
  int64_t last;

  set_up (1, false);
  while (number < changes)
    measure_apply_ms ();
  last = group_status (group, 0, "applied");
  group_kill (group, 0, false);
  begun_us = clock_mono_us ();
  group_start (group, 0, NULL);
  g_snprintf (policy, sizeof policy, "changes-%ju", (uintmax_t)changes);
  print_result ("control-restart", policy, "ready_ms",
                (double)(clock_mono_us () - begun_us) / 1000, "none");
  while (group_status (group, 0, "applied") < last)
    cluster_sleep_ms (1);
  print_result ("control-restart", policy, "applied_ms",
                (double)(clock_mono_us () - begun_us) / 1000, "none");
  tear_down ();
}

static size_t claims_begun;
static size_t claims_done;

static void begin_claim (void);

static void
on_claim (const Lwm__ControlAnswer *answer, void *context)
{
  g_assert_cmpint (answer->result, ==, LWM__CONTROL_RESULT__RESULT_OK);
  claims_done++;
  if (claims_begun < CLAIMS_TOTAL)
    begin_claim ();
}

static void
begin_claim (void)
{
  Lwm__ControlClaimTake claim = LWM__CONTROL_CLAIM_TAKE__INIT;
  char key[32];

  g_snprintf (key, sizeof key, "key-%zu", claims_begun++);
  claim.customer = (char *)"trust";
  claim.service = (char *)"rounds-ledger";
  claim.key = key;
  claim.owner = (char *)"bench/1";
  claim.attempt = claims_begun;
  claim.keep_ms = 600000;
  control_client_claim (client, &claim, 20000, on_claim, NULL);
}

static void
bench_claims (uint64_t slow)
{
  uint64_t begun_us;

  set_up (3, slow);
  measure_apply_ms ();
  claims_begun = claims_done = 0;
  begun_us = clock_mono_us ();
  while (claims_begun < MAX_OPEN_CLAIMS)
    begin_claim ();
  while (claims_done < CLAIMS_TOTAL)
    event_base_loop (group->base, EVLOOP_ONCE);
  print_result ("control-claims", slow ? "zones-3" : "one-machine", "claims_s",
                (double)CLAIMS_TOTAL * 1e6
                    / (double)(clock_mono_us () - begun_us),
                "none");
  tear_down ();
}

static void
print_rate (size_t at,
            const char *policy,
            const char *sample,
            double before,
            const char *metric,
            double scale,
            const char *target)
{
  double after = cluster_metric_sum (group->http[at], sample);

  print_result ("control-idle", policy, metric,
                (after - before) * scale * 1000 / IDLE_MS, target);
}

static void
bench_idle (uint64_t count)
{
  const char *bytes = "lwm_control_bytes_total{direction=\"out\"}";
  const char *cpu = "process_cpu_seconds_total";
  size_t leader;
  size_t follower;
  double before[4];
  char policy[2][32];

  set_up (count, false);
  measure_apply_ms ();
  leader = group_leader (group);
  follower = (leader + 1) % count;
  cluster_sleep_ms (3000);
  g_snprintf (policy[0], sizeof policy[0], "leader-of-%ju", (uintmax_t)count);
  g_snprintf (policy[1], sizeof policy[1], "follower-of-%ju", (uintmax_t)count);
  before[0] = cluster_metric_sum (group->http[leader], bytes);
  before[1] = cluster_metric_sum (group->http[follower], bytes);
  before[2] = cluster_metric_sum (group->http[leader], cpu);
  before[3] = cluster_metric_sum (group->http[follower], cpu);
  cluster_sleep_ms (IDLE_MS);
  print_rate (leader, policy[0], bytes, before[0], "bytes_out_s", 1, "2000");
  print_rate (follower, policy[1], bytes, before[1], "bytes_out_s", 1, "2000");
  print_rate (leader, policy[0], cpu, before[2], "cpu_percent", 100, "1.9");
  print_rate (follower, policy[1], cpu, before[3], "cpu_percent", 100, "1.9");
  tear_down ();
}

/** One experiment, which runs once for each of its parameters. */
typedef struct
{
  const char *name;
  void (*run) (uint64_t parameter);
  uint64_t parameters[2];
  size_t count;
} experiment_t;

static const experiment_t experiments[] = {
  { "commit", bench_commit, { 3, 5 }, 2 },
  { "read", bench_read, { false, true }, 2 },
  { "leader-loss", bench_leader_loss, { 3 }, 1 },
  { "restart", bench_restart, { 1000, 10000 }, 2 },
  { "claims", bench_claims, { false, true }, 2 },
  { "idle", bench_idle, { 3, 5 }, 2 },
};

/** Runs the experiments that are named on the command line, or all. */
int
main (int argc, char **argv)
{
  base_init ("bench-control");
  for (size_t i = 0; i < G_N_ELEMENTS (experiments); i++)
    {
      bool wanted = argc == 1;

      for (int given = 1; given < argc; given++)
        wanted = wanted || strcmp (argv[given], experiments[i].name) == 0;
      for (size_t at = 0; wanted && at < experiments[i].count; at++)
        experiments[i].run (experiments[i].parameters[at]);
    }
  return EXIT_CODE_OK;
}
