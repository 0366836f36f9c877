/* Tests the replicated state: configuration numbers, claims, order leases. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "statemachine.h"

static statemachine_t *machine;
static uint64_t now_ms;
static uint64_t applied;

static Lwm__ControlAnswer
run (Lwm__ControlCommand *command)
{
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;

  command->clock_ms = now_ms;
  statemachine_apply (machine, ++applied, command, &answer);
  return answer;
}

static Lwm__ControlAnswer
apply (uint64_t number, const char *digest, const char *who)
{
  Lwm__ControlCommand command = LWM__CONTROL_COMMAND__INIT;
  Lwm__ControlApply request = LWM__CONTROL_APPLY__INIT;

  request.number = number;
  request.digest = (char *)digest;
  request.who = (char *)who;
  command.what_case = LWM__CONTROL_COMMAND__WHAT_APPLY;
  command.apply = &request;
  return run (&command);
}

static Lwm__ControlAnswer
claim (uint64_t digest, const char *owner, uint64_t attempt)
{
  Lwm__ControlCommand command = LWM__CONTROL_COMMAND__INIT;
  Lwm__ControlClaimTake request = LWM__CONTROL_CLAIM_TAKE__INIT;

  request.customer = (char *)"trust";
  request.service = (char *)"rounds-ledger";
  request.key = (char *)"part-7";
  request.digest = digest;
  request.owner = (char *)owner;
  request.attempt = attempt;
  request.keep_ms = 1000;
  command.what_case = LWM__CONTROL_COMMAND__WHAT_CLAIM;
  command.claim = &request;
  return run (&command);
}

static Lwm__ControlAnswer
finish (const char *owner,
        uint64_t attempt,
        Lwm__ControlClaimState state,
        size_t outcome_bytes)
{
  static uint8_t outcome[8192];
  Lwm__ControlCommand command = LWM__CONTROL_COMMAND__INIT;
  Lwm__ControlClaimFinish request = LWM__CONTROL_CLAIM_FINISH__INIT;

  request.customer = (char *)"trust";
  request.service = (char *)"rounds-ledger";
  request.key = (char *)"part-7";
  request.owner = (char *)owner;
  request.attempt = attempt;
  request.state = state;
  request.outcome.data = outcome;
  request.outcome.len = outcome_bytes;
  request.keep_ms = 1000;
  command.what_case = LWM__CONTROL_COMMAND__WHAT_FINISH;
  command.finish = &request;
  return run (&command);
}

static Lwm__ControlAnswer
lease (const char *holder, bool checks_fencing)
{
  Lwm__ControlCommand command = LWM__CONTROL_COMMAND__INIT;
  Lwm__ControlLeaseTake request = LWM__CONTROL_LEASE_TAKE__INIT;

  request.upstream = (char *)"engine-1";
  request.holder = (char *)holder;
  request.ttl_ms = 1000;
  request.max_delay_ms = 500;
  request.checks_fencing = checks_fencing;
  command.what_case = LWM__CONTROL_COMMAND__WHAT_LEASE;
  command.lease = &request;
  return run (&command);
}

static void
set_up (void)
{
  now_ms = 100;
  applied = 0;
  machine = statemachine_new (NULL);
}

static void
test_revision_numbers (void)
{
  Lwm__ControlAnswer answer;
  size_t audited;

  set_up ();
  g_assert_cmpint (apply (5, "d", "ada").result, ==, 0);
  answer = apply (5, "d", "ben");
  g_assert_cmpint (answer.result, ==, LWM__CONTROL_RESULT__RESULT_SAME);
  g_assert_cmpuint (answer.revision->index, ==, 1);
  answer = apply (5, "e", "ben");
  g_assert_cmpint (answer.result, ==, LWM__CONTROL_RESULT__RESULT_CONFLICT);
  g_assert_cmpstr (answer.revision->who, ==, "ada");
  g_assert_cmpstr (answer.revision->digest, ==, "d");
  g_assert_cmpint (apply (4, "d", "ben").result, ==,
                   LWM__CONTROL_RESULT__RESULT_STALE);
  g_assert_cmpint (apply (0, "d", "ben").result, ==,
                   LWM__CONTROL_RESULT__RESULT_BAD_REQUEST);
  statemachine_audit (machine, &audited);
  g_assert_cmpuint (audited, ==, 3);
  for (uint64_t i = 6; i < 200; i++)
    apply (i, "d", "ada");
  statemachine_audit (machine, &audited);
  g_assert_cmpuint (audited, ==, STATEMACHINE_MAX_AUDIT);
  talloc_free (machine);
}

static void
test_claim_is_granted_to_one_attempt (void)
{
  Lwm__ControlAnswer answer;

  set_up ();
  g_assert_cmpint (claim (1, "a/1", 11).result, ==, 0);
  g_assert_cmpint (claim (1, "a/1", 11).result, ==, 0); /* a resend */
  g_assert_cmpint (claim (1, "a/1", 12).result, ==,
                   LWM__CONTROL_RESULT__RESULT_EXISTS);
  answer = claim (1, "b/1", 12);
  g_assert_cmpint (answer.result, ==, LWM__CONTROL_RESULT__RESULT_EXISTS);
  g_assert_cmpstr (answer.claim->owner, ==, "a/1");
  g_assert_cmpint (claim (2, "b/1", 13).result, ==,
                   LWM__CONTROL_RESULT__RESULT_CONFLICT);
  g_assert_cmpint (
      finish ("b/1", 12, LWM__CONTROL_CLAIM_STATE__CLAIM_DONE, 3).result, ==,
      LWM__CONTROL_RESULT__RESULT_NOT_OWNER);
  finish ("a/1", 11, LWM__CONTROL_CLAIM_STATE__CLAIM_DONE, 3);
  answer = claim (1, "a/1", 11);
  g_assert_cmpint (answer.result, ==, LWM__CONTROL_RESULT__RESULT_EXISTS);
  g_assert_cmpint (answer.claim->state, ==,
                   LWM__CONTROL_CLAIM_STATE__CLAIM_DONE);
  g_assert_cmpuint (answer.claim->outcome.len, ==, 3);
  now_ms += 1001;
  g_assert_cmpint (claim (1, "b/1", 14).result, ==, 0);
  answer = finish ("b/1", 14, LWM__CONTROL_CLAIM_STATE__CLAIM_DONE, 5000);
  g_assert_true (answer.claim->outcome_cut);
  talloc_free (machine);
}

static void
test_released_claim_is_not_granted_late (void)
{
  set_up ();
  finish ("a/1", 11, LWM__CONTROL_CLAIM_STATE__CLAIM_RELEASED, 0);
  g_assert_cmpint (claim (1, "a/1", 11).result, ==,
                   LWM__CONTROL_RESULT__RESULT_NOT_OWNER);
  g_assert_cmpint (claim (1, "b/1", 12).result, ==, 0);
  g_assert_cmpint (
      finish ("a/1", 11, LWM__CONTROL_CLAIM_STATE__CLAIM_RELEASED, 0).result,
      ==, LWM__CONTROL_RESULT__RESULT_NOT_OWNER);
  talloc_free (machine);
}

static void
test_lease_waits_for_orders_in_flight (void)
{
  Lwm__ControlAnswer answer;
  uint64_t first;

  set_up ();
  first = lease ("a/1", false).lease->fencing;
  now_ms += 900;
  g_assert_cmpuint (lease ("a/1", false).lease->fencing, ==, first);
  answer = lease ("b/1", false);
  g_assert_cmpint (answer.result, ==, LWM__CONTROL_RESULT__RESULT_HELD);
  g_assert_cmpuint (answer.retry_after_ms, ==, 1500);
  now_ms += 1499;
  g_assert_cmpint (lease ("b/1", false).result, ==,
                   LWM__CONTROL_RESULT__RESULT_HELD);
  now_ms += 1;
  g_assert_cmpuint (lease ("b/1", false).lease->fencing, ==, first + 1);
  /* If the engines check the fencing number, the next holder need not wait. */
  g_assert_cmpuint (lease ("c/1", true).lease->fencing, ==, first + 2);
  talloc_free (machine);
}

static void
test_snapshot_holds_everything (void)
{
  void *parent = talloc_new (NULL);
  Lwm__ControlState *state;
  statemachine_t *other;
  size_t size;
  uint8_t *one;
  uint8_t *two;

  set_up ();
  apply (5, "d", "ada");
  claim (1, "a/1", 11);
  finish ("a/1", 11, LWM__CONTROL_CLAIM_STATE__CLAIM_DONE, 100);
  lease ("a/1", false);
  state = statemachine_export (machine, parent);
  size = lwm__control_state__get_packed_size (state);
  one = talloc_size (parent, size);
  two = talloc_size (parent, size);
  lwm__control_state__pack (state, one);
  other = statemachine_new (parent);
  statemachine_restore (other, state);
  state = statemachine_export (other, parent);
  g_assert_cmpuint (lwm__control_state__get_packed_size (state), ==, size);
  lwm__control_state__pack (state, two);
  g_assert_cmpmem (one, size, two, size);
  talloc_free (parent);
  talloc_free (machine);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/state/numbers", test_revision_numbers);
  g_test_add_func ("/state/claim-is-granted-to-one-attempt",
                   test_claim_is_granted_to_one_attempt);
  g_test_add_func ("/state/released-claim-is-not-granted-late",
                   test_released_claim_is_not_granted_late);
  g_test_add_func ("/state/lease-waits-for-orders-in-flight",
                   test_lease_waits_for_orders_in_flight);
  g_test_add_func ("/state/snapshot-holds-everything",
                   test_snapshot_holds_everything);
  return g_test_run ();
}
