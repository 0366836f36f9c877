/*
 * What replicas and clients know of drained zones: a replica that may lack
 * acknowledged orders says so, and a client that has just started does not take
 * its word.
 */
#include <event2/event.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>
#include <zmq.h>

#include "control-client.h"
#include "lib-address.h"
#include "lib-raft-net.h"
#include "lib-wait.h"
#include "mq.h"
#include "raft.h"

#define SEEDS 60
/** Time in which a leader that is cut off notices it, and for which a follower
 * of it counts as in contact after that. */
#define NOTICE_MS (4 * RAFT_NET_ELECTION_MS)

static uint64_t
acknowledged (void)
{
  uint64_t commit = 0;

  for (size_t i = 0; i < raft_net.count; i++)
    if (raft_net.replicas[i].raft != NULL)
      commit = MAX (commit, raft_status (raft_net.replicas[i].raft).commit);
  return commit;
}

/** Runs for a time; each replica that claims to know all that was acknowledged
 * has to know it up to an index. Returns how often one claimed that. */
static uint32_t
check_claims (uint64_t ms, uint64_t index)
{
  uint64_t end_ms = raft_net.now_ms + ms;
  uint32_t claims = 0;

  while (raft_net.now_ms < end_ms)
    {
      raft_net_step ();
      for (size_t i = 0; i < raft_net.count; i++)
        {
          const raft_t *raft = raft_net.replicas[i].raft;

          if (raft == NULL || !raft_has_recent_commit (raft, raft_net.now_ms))
            continue;
          g_assert_cmpuint (raft_status (raft).commit, >=, index);
          claims++;
        }
    }
  return claims;
}

/** Starts three replicas. The connections of a group keep messages in order, so
 * that none comes again much later. */
static void
set_up_net (uint32_t seed)
{
  raft_net_set_up (seed, 3);
  raft_net.repeat_percent = 0;
  raft_net_run_ms (1000);
}

static void
propose_some (void)
{
  for (int i = 0; i < 5; i++)
    {
      replica_t *leader = raft_net_leader ();

      if (leader != NULL)
        raft_propose (leader->raft, (const uint8_t *)"order", 5);
      raft_net_run_ms (50);
    }
}

/** Guards against replicas that report no drained zones after a restart of all,
 * before a leader has committed the entries of their logs again. */
static void
test_restart_of_all (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      uint64_t index;

      set_up_net (seed);
      propose_some ();
      index = acknowledged ();
      g_assert_cmpuint (index, >, 0);
      for (size_t i = 0; i < raft_net.count; i++)
        raft_net_crash (&raft_net.replicas[i]);
      /* The connections end with their processes. */
      g_ptr_array_set_size (raft_net.packets, 0);
      for (size_t i = 0; i < raft_net.count; i++)
        raft_net_start (&raft_net.replicas[i]);
      g_assert_cmpuint (check_claims (3000, index), >, 0);
      raft_net_tear_down ();
    }
}

/** Guards against a replica that was cut off for a while and reports what it
 * knew before, during the cut or while it catches up. */
static void
test_cut_off (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      size_t one = seed % 3;
      uint64_t index;

      set_up_net (seed);
      for (size_t i = 0; i < raft_net.count; i++)
        raft_net.cut[one][i] = raft_net.cut[i][one] = true;
      raft_net_run_ms (NOTICE_MS);
      propose_some ();
      index = acknowledged ();
      /* The other replicas learn of the commit within this time. */
      raft_net_run_ms (NOTICE_MS);
      check_claims (1000, index);
      memset (raft_net.cut, 0, sizeof raft_net.cut);
      g_assert_cmpuint (check_claims (3000, index), >, 0);
      raft_net_tear_down ();
    }
}

/** Guards against a process that stood still, and claims to be up to date
 * before it has heard anything. */
static void
test_pause (void)
{
  replica_t *leader;

  set_up_net (5);
  leader = raft_net_leader ();
  g_assert_true (raft_has_recent_commit (leader->raft, raft_net.now_ms));
  g_assert_false (raft_has_recent_commit (
      leader->raft, raft_net.now_ms + 2 * RAFT_NET_ELECTION_MS));
  raft_net_tear_down ();
}

/** A control instance that reports drained zones. */
typedef struct
{
  mq_t *router;
  char address[ADDRESS_BYTES];
  uint64_t group;
  uint64_t version;
  bool is_behind;
  const char *drained;     /* or NULL */
  const char *uncommitted; /* or NULL */
} instance_t;

typedef struct
{
  struct event_base *base;
  void *parent;
  instance_t instance;
  control_client_t *client;
  uint64_t begun_ms;
  uint32_t reports; /* passed on by the client */
  uint64_t version;
  size_t count;
  bool is_confirmed;
  uint64_t first_ms; /* when the first one was passed on */
} fixture_t;

static void
on_message (const mq_frame_t *frames, size_t count, void *context)
{
  instance_t *instance = context;
  Lwm__ControlMessage message = LWM__CONTROL_MESSAGE__INIT;
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
  Lwm__ControlDrainReport report = LWM__CONTROL_DRAIN_REPORT__INIT;
  Lwm__ControlDrains drains = LWM__CONTROL_DRAINS__INIT;
  Lwm__ControlZoneDrain zone = LWM__CONTROL_ZONE_DRAIN__INIT;
  Lwm__ControlZoneDrain *zones[] = { &zone };
  uint8_t data[300];
  mq_frame_t answer_frames[2] = { frames[0], { .data = data } };

  zone.zone = (char *)instance->drained;
  zone.drained = true;
  zone.index = drains.version = instance->version;
  drains.zones = zones;
  drains.n_zones = instance->drained != NULL;
  report.drains = &drains;
  report.behind = instance->is_behind;
  report.group = instance->group;
  report.uncommitted = (char **)&instance->uncommitted;
  report.n_uncommitted = instance->uncommitted != NULL;
  answer.name = instance->address;
  answer.stale = instance->is_behind;
  answer.drain_report = &report;
  message.what_case = LWM__CONTROL_MESSAGE__WHAT_ANSWER;
  message.answer = &answer;
  answer_frames[1].size_bytes = lwm__control_message__pack (&message, data);
  mq_send (instance->router, answer_frames, 2);
}

static void
on_revision (const Lwm__ControlRevision *revision, void *context)
{
}

static void
on_drains (const control_drains_t *drains, void *context)
{
  fixture_t *fixture = context;

  if (fixture->reports++ == 0)
    fixture->first_ms = clock_mono_ms ();
  fixture->version = drains->version;
  fixture->count = drains->count;
  fixture->is_confirmed = drains->is_confirmed;
}

static void
set_up (fixture_t *fixture, const instance_t *instance)
{
  char *addresses[] = { fixture->instance.address };
  mq_options_t router = { .type = ZMQ_ROUTER,
                          .bind = fixture->instance.address,
                          .on_message = on_message,
                          .context = &fixture->instance };
  control_client_options_t client = { .peers = addresses,
                                      .peer_count = 1,
                                      .on_revision = on_revision,
                                      .on_drains = on_drains,
                                      .context = fixture };

  *fixture = (fixture_t){ .instance = *instance };
  fixture->base = router.base = client.base = event_base_new ();
  fixture->parent = talloc_new (NULL);
  choose_free_address (fixture->instance.address);
  fixture->instance.router = mq_new (fixture->parent, &router);
  g_assert_nonnull (fixture->instance.router);
  fixture->begun_ms = clock_mono_ms ();
  fixture->client = control_client_new (fixture->parent, &client);
}

static void
clear (fixture_t *fixture)
{
  talloc_free (fixture->parent);
  event_base_free (fixture->base);
}

/** Guards against an instance that has just started and believes a replica
 * without the orders; later it does, with the orders of the replica's log, and
 * until another one is up to date. */
static void
test_replica_behind (void)
{
  fixture_t fixture;
  instance_t instance = { .is_behind = true, .uncommitted = "b" };
  struct event_base *base;

  set_up (&fixture, &instance);
  base = fixture.base;
  WAIT (fixture.reports > 0);
  g_assert_cmpuint (fixture.first_ms - fixture.begun_ms, >=, 2000);
  g_assert_cmpuint (fixture.count, ==, 1);
  g_assert_false (fixture.is_confirmed);
  fixture.instance.is_behind = false;
  fixture.instance.uncommitted = NULL;
  WAIT (fixture.is_confirmed);
  g_assert_cmpuint (fixture.count, ==, 0);
  clear (&fixture);
}

/** Guards against an older state that replaces a newer one, also when it comes
 * from a replica that counts as up to date. */
static void
test_older_version (void)
{
  fixture_t fixture;
  instance_t instance = { .version = 9, .drained = "a" };
  struct event_base *base;
  uint64_t quiet_until_ms;

  set_up (&fixture, &instance);
  base = fixture.base;
  WAIT (fixture.reports > 0);
  g_assert_cmpuint (fixture.count, ==, 1);
  fixture.instance.version = 8;
  fixture.instance.drained = NULL;
  quiet_until_ms = clock_mono_ms () + 2500;
  WAIT (clock_mono_ms () >= quiet_until_ms);
  g_assert_cmpuint (fixture.version, ==, 9);
  g_assert_cmpuint (fixture.count, ==, 1);
  fixture.instance.version = 10;
  WAIT (fixture.version == 10);
  g_assert_cmpuint (fixture.count, ==, 0);
  clear (&fixture);
}

/** Guards against an instance that keeps the drained zones of a lost group for
 * ever, as the log of the new one is shorter; and against one that believes a
 * replica of a new group that is not up to date. */
static void
test_new_group (void)
{
  fixture_t fixture;
  instance_t instance = { .group = 1, .version = 9, .drained = "a" };
  struct event_base *base;
  uint64_t quiet_until_ms;

  set_up (&fixture, &instance);
  base = fixture.base;
  WAIT (fixture.reports > 0);
  fixture.instance.group = 2;
  fixture.instance.version = 3;
  fixture.instance.drained = NULL;
  fixture.instance.is_behind = true;
  quiet_until_ms = clock_mono_ms () + 2500;
  WAIT (clock_mono_ms () >= quiet_until_ms);
  g_assert_cmpuint (fixture.version, ==, 9);
  fixture.instance.is_behind = false;
  WAIT (fixture.version == 3);
  g_assert_cmpuint (fixture.count, ==, 0);
  clear (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/zone-drain-reports/restart-of-all", test_restart_of_all);
  g_test_add_func ("/zone-drain-reports/cut-off", test_cut_off);
  g_test_add_func ("/zone-drain-reports/pause", test_pause);
  g_test_add_func ("/zone-drain-reports/replica-behind", test_replica_behind);
  g_test_add_func ("/zone-drain-reports/older-version", test_older_version);
  g_test_add_func ("/zone-drain-reports/new-group", test_new_group);
  return g_test_run ();
}
