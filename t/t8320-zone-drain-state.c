/*
 * Orders to drain zones in the replicated state and in snapshots, and in those
 * that were written before there were such orders.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "snapshot.h"
#include "statemachine.h"
#include "zone-drains.h"

typedef struct
{
  void *parent;
  statemachine_t *machine;
  uint64_t index;
} fixture_t;

static void
set_up (fixture_t *fixture)
{
  fixture->parent = talloc_new (NULL);
  fixture->machine = statemachine_new (fixture->parent);
  fixture->index = 10;
}

static Lwm__ControlResult
order_with (fixture_t *fixture,
            const char *zone,
            bool is_drained,
            uint64_t known_index)
{
  Lwm__ControlCommand command = LWM__CONTROL_COMMAND__INIT;
  Lwm__ControlZoneOrder order = LWM__CONTROL_ZONE_ORDER__INIT;
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;

  order.zone = (char *)zone;
  order.drained = is_drained;
  order.who = (char *)"operator";
  order.known_index = known_index;
  command.what_case = LWM__CONTROL_COMMAND__WHAT_ZONE_ORDER;
  command.zone_order = &order;
  statemachine_apply (fixture->machine, ++fixture->index, &command, &answer);
  return answer.result;
}

/** Returns the index of the last order for a zone, 0 for none. */
static uint64_t
last_index (const fixture_t *fixture, const char *zone)
{
  const Lwm__ControlDrains *drains = statemachine_drains (fixture->machine);

  for (size_t i = 0; i < drains->n_zones; i++)
    if (strcmp (drains->zones[i]->zone, zone) == 0)
      return drains->zones[i]->index;
  return 0;
}

static Lwm__ControlResult
order (fixture_t *fixture, const char *zone, bool is_drained)
{
  return order_with (fixture, zone, is_drained, last_index (fixture, zone));
}

static void
expect_drained (const fixture_t *fixture, const char *expected)
{
  void *scratch = talloc_new (NULL);
  size_t count;
  char **names = zone_drains_names (
      scratch, statemachine_drains (fixture->machine), &count);

  g_assert_cmpstr (zone_drains_text (scratch, names, count), ==, expected);
  talloc_free (scratch);
}

/** Guards against orders for one zone that change another, and against a
 * repeated order that is not acknowledged. */
static void
test_orders (void)
{
  fixture_t fixture;

  set_up (&fixture);
  expect_drained (&fixture, "none");
  g_assert_cmpint (order (&fixture, "a", true), ==,
                   LWM__CONTROL_RESULT__RESULT_OK);
  g_assert_cmpint (order (&fixture, "b", true), ==,
                   LWM__CONTROL_RESULT__RESULT_OK);
  g_assert_cmpint (order (&fixture, "a", true), ==,
                   LWM__CONTROL_RESULT__RESULT_SAME);
  expect_drained (&fixture, "a,b");
  g_assert_cmpint (order (&fixture, "a", false), ==,
                   LWM__CONTROL_RESULT__RESULT_OK);
  expect_drained (&fixture, "b");
  g_assert_cmpint (order (&fixture, "c", false), ==,
                   LWM__CONTROL_RESULT__RESULT_SAME);
  expect_drained (&fixture, "b");
  g_assert_cmpuint (statemachine_drains (fixture.machine)->version, ==,
                    fixture.index);
  talloc_free (fixture.parent);
}

/** Guards against a copy of an old order that a cut link or a paused process
 * delays: it must not undo a later order. */
static void
test_late_copy (void)
{
  fixture_t fixture;
  uint64_t version;

  set_up (&fixture);
  order_with (&fixture, "a", true, 0);
  order (&fixture, "a", false);
  version = statemachine_drains (fixture.machine)->version;
  g_assert_cmpint (order_with (&fixture, "a", true, 0), ==,
                   LWM__CONTROL_RESULT__RESULT_CONFLICT);
  expect_drained (&fixture, "none");
  g_assert_cmpuint (statemachine_drains (fixture.machine)->version, ==,
                    version);
  talloc_free (fixture.parent);
}

/** Guards against an end that is acknowledged while no drain is known, and
 * against which an earlier start then takes effect. */
static void
test_end_before_start (void)
{
  fixture_t fixture;

  set_up (&fixture);
  g_assert_cmpint (order_with (&fixture, "a", false, 0), ==,
                   LWM__CONTROL_RESULT__RESULT_SAME);
  g_assert_cmpint (order_with (&fixture, "a", true, 0), ==,
                   LWM__CONTROL_RESULT__RESULT_CONFLICT);
  expect_drained (&fixture, "none");
  talloc_free (fixture.parent);
}

/** Guards against a table without bounds. */
static void
test_bounds (void)
{
  fixture_t fixture;
  char name[ZONE_DRAINS_MAX_NAME_BYTES + 2];

  set_up (&fixture);
  memset (name, 'x', sizeof name - 1);
  name[sizeof name - 1] = '\0';
  g_assert_cmpint (order (&fixture, "", true), ==,
                   LWM__CONTROL_RESULT__RESULT_BAD_REQUEST);
  g_assert_cmpint (order (&fixture, name, true), ==,
                   LWM__CONTROL_RESULT__RESULT_BAD_REQUEST);
  for (int i = 0; i < ZONE_DRAINS_MAX; i++)
    {
      g_snprintf (name, sizeof name, "zone-%d", i);
      g_assert_cmpint (order (&fixture, name, true), ==,
                       LWM__CONTROL_RESULT__RESULT_OK);
    }
  g_assert_cmpint (order (&fixture, "one-more", true), ==,
                   LWM__CONTROL_RESULT__RESULT_LIMIT);
  g_assert_cmpint (order (&fixture, "zone-0", false), ==,
                   LWM__CONTROL_RESULT__RESULT_OK);
  talloc_free (fixture.parent);
}

/** Guards against an order without a trace of who gave it. */
static void
test_audit (void)
{
  fixture_t fixture;
  Lwm__ControlAudit **audit;
  size_t count;

  set_up (&fixture);
  order (&fixture, "a", true);
  order (&fixture, "a", true);
  order (&fixture, "a", false);
  audit = statemachine_audit (fixture.machine, &count);
  g_assert_cmpuint (count, ==, 2);
  g_assert_cmpstr (audit[0]->zone, ==, "a");
  g_assert_cmpstr (audit[0]->who, ==, "operator");
  g_assert_true (audit[0]->drained);
  g_assert_false (audit[1]->drained);
  talloc_free (fixture.parent);
}

/** Writes the state to a snapshot and reads it into a new state. */
static void
restore_from_snapshot (fixture_t *fixture)
{
  Lwm__ControlSnapshot snapshot = LWM__CONTROL_SNAPSHOT__INIT;
  Lwm__ControlMembership membership = LWM__CONTROL_MEMBERSHIP__INIT;
  Lwm__ControlSnapshot *read;
  size_t size_bytes;
  uint8_t *data;

  snapshot.index = fixture->index;
  snapshot.membership = &membership;
  snapshot.state = statemachine_export (fixture->machine, fixture->parent);
  data = snapshot_encode (fixture->parent, &snapshot, &size_bytes);
  read = snapshot_decode (data, size_bytes);
  g_assert_nonnull (read);
  fixture->machine = statemachine_new (fixture->parent);
  order (fixture, "lost", true);
  statemachine_restore (fixture->machine, read->state);
  lwm__control_snapshot__free_unpacked (read, NULL);
}

/** Guards against a drain, or the index of its end, that a snapshot loses. */
static void
test_snapshot (void)
{
  fixture_t fixture;
  uint64_t version;

  set_up (&fixture);
  order (&fixture, "a", true);
  order (&fixture, "b", true);
  order (&fixture, "a", false);
  version = statemachine_drains (fixture.machine)->version;
  restore_from_snapshot (&fixture);
  expect_drained (&fixture, "b");
  g_assert_cmpuint (statemachine_drains (fixture.machine)->version, ==,
                    version);
  g_assert_cmpint (order_with (&fixture, "a", true, 0), ==,
                   LWM__CONTROL_RESULT__RESULT_CONFLICT);
  talloc_free (fixture.parent);
}

/** Guards against a snapshot without drained zones, from an earlier release,
 * that is not read or leaves old zones in force. */
static void
test_old_snapshot (void)
{
  fixture_t source;
  fixture_t fixture;
  Lwm__ControlState *state;

  set_up (&source);
  order (&source, "a", true);
  state = statemachine_export (source.machine, source.parent);
  state->drains = NULL;
  set_up (&fixture);
  order (&fixture, "a", true);
  statemachine_restore (fixture.machine, state);
  expect_drained (&fixture, "none");
  g_assert_cmpuint (statemachine_drains (fixture.machine)->version, ==, 0);
  g_assert_cmpint (order (&fixture, "a", true), ==,
                   LWM__CONTROL_RESULT__RESULT_OK);
  talloc_free (fixture.parent);
  talloc_free (source.parent);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/zone-drain-state/orders", test_orders);
  g_test_add_func ("/zone-drain-state/late-copy", test_late_copy);
  g_test_add_func ("/zone-drain-state/end-before-start", test_end_before_start);
  g_test_add_func ("/zone-drain-state/bounds", test_bounds);
  g_test_add_func ("/zone-drain-state/audit", test_audit);
  g_test_add_func ("/zone-drain-state/snapshot", test_snapshot);
  g_test_add_func ("/zone-drain-state/old-snapshot", test_old_snapshot);
  return g_test_run ();
}
