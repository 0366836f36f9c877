#include <glib.h>
#include <stdarg.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "control-group-internal.h"
#include "control-keeper.h"
#include "members.h"
#define LOG_PART "control"
#include "logging.h"

/** Assumed when the options state no catch-up time. */
#define DEFAULT_CATCH_UP_MS 4000
/** Time for which a reason to wait holds before it is logged. */
#define PENDING_LOG_DELAY_MS 1000

/** Returns the member with the change's incarnation. Without one, returns the
 * first learner of the change's name or, so that a resent change finds the
 * promoted learner, the last voter of that name. */
static Lwm__ControlMember *
find_learner (const Lwm__ControlMembership *members,
              const Lwm__ControlMemberChange *change)
{
  Lwm__ControlMember *found = NULL;

  if (change->incarnation != 0)
    return membership_find (members, change->incarnation);
  for (size_t i = 0; i < members->n_members; i++)
    if (strcmp (members->members[i]->name, change->name) == 0
        && (found == NULL || found->voter))
      found = members->members[i];
  return found;
}

static bool
reject_change (Lwm__ControlAnswer *answer,
               Lwm__ControlResult result,
               char *detail)
{
  answer->result = result;
  answer->detail = detail;
  return false;
}

static bool
add_learner (const control_group_t *group,
             Lwm__ControlMembership *members,
             const Lwm__ControlMemberChange *change,
             Lwm__ControlAnswer *answer)
{
  const control_joiner_t *joiner
      = control_joiners_find (group->joiners, change->name);
  Lwm__ControlMember member = LWM__CONTROL_MEMBER__INIT;

  if (joiner == NULL
      || (change->incarnation != 0
          && change->incarnation != joiner->incarnation)
      || !control_joiner_may_join (joiner, control_group_id (group),
                                   clock_mono_ms ()))
    {
      /* A joiner sends no more hellos once it is a member. A resent change then
       * finds it among the members. */
      const Lwm__ControlMember *existing
          = membership_find_name (members, change->name);

      if (existing != NULL && !existing->voter)
        return reject_change (answer, LWM__CONTROL_RESULT__RESULT_SAME, "");
      return reject_change (answer, LWM__CONTROL_RESULT__RESULT_NOT_FOUND,
                            "no such replica has asked to join");
    }
  if (membership_find (members, joiner->incarnation) != NULL)
    return reject_change (answer, LWM__CONTROL_RESULT__RESULT_SAME, "");
  if (members->n_members >= CONTROL_MAX_MEMBERS)
    return reject_change (answer, LWM__CONTROL_RESULT__RESULT_LIMIT,
                          "the group has no room for another member");
  member.name = joiner->name;
  member.address = joiner->address;
  member.zone = joiner->zone;
  member.incarnation = joiner->incarnation;
  member.since_ms = control_server_clock_ms (group->server);
  membership_add (members, &member);
  return true;
}

static bool
promote_learner (const control_group_t *group,
                 Lwm__ControlMembership *members,
                 const Lwm__ControlMemberChange *change,
                 Lwm__ControlAnswer *answer)
{
  Lwm__ControlMember *member = find_learner (members, change);

  if (member == NULL)
    return reject_change (answer, LWM__CONTROL_RESULT__RESULT_NOT_FOUND,
                          "no such member");
  if (member->voter)
    return reject_change (answer, LWM__CONTROL_RESULT__RESULT_SAME, "");
  if (!raft_is_caught_up (group->server->raft, member->incarnation,
                          clock_mono_ms ()))
    return reject_change (answer, LWM__CONTROL_RESULT__RESULT_NOT_READY,
                          "the learner has not caught up");
  member->voter = true;
  return true;
}

static bool
remove_member (Lwm__ControlMembership *members,
               const Lwm__ControlMemberChange *change,
               Lwm__ControlAnswer *answer)
{
  const Lwm__ControlMember *member
      = membership_find (members, change->incarnation);

  /* A name is not sufficient: a resent removal could match the replacement of
   * the same name. */
  if (change->incarnation == 0)
    return reject_change (answer, LWM__CONTROL_RESULT__RESULT_BAD_REQUEST,
                          "a removal must name the incarnation");
  if (member == NULL)
    return reject_change (answer, LWM__CONTROL_RESULT__RESULT_SAME, "");
  if (member->voter && membership_voter_count (members) == 1)
    return reject_change (answer, LWM__CONTROL_RESULT__RESULT_BAD_REQUEST,
                          "the last voter cannot be removed");
  membership_remove (members, member->incarnation);
  return true;
}

uint64_t
control_group_change (control_group_t *group,
                      const Lwm__ControlMemberChange *change,
                      Lwm__ControlAnswer *answer)
{
  raft_t *raft = group->server->raft;
  Lwm__ControlMembership *members
      = membership_copy (group, raft_membership (raft));
  uint64_t index = 0;
  bool changed;

  if (change->kind == LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_ADD)
    changed = add_learner (group, members, change, answer);
  else if (change->kind == LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_PROMOTE)
    changed = promote_learner (group, members, change, answer);
  else
    changed = remove_member (members, change, answer);
  if (changed)
    {
      index = raft_propose_membership (raft, members);
      if (index == 0)
        reject_change (answer, LWM__CONTROL_RESULT__RESULT_NOT_READY,
                       "another change of members is under way");
    }
  talloc_free (members);
  return index;
}

Lwm__ControlMember **
control_group_list_joiners (const control_group_t *group,
                            void *parent,
                            size_t *count)
{
  const Lwm__ControlMembership *members = raft_membership (group->server->raft);
  Lwm__ControlMembership *waiting = membership_copy (parent, NULL);

  for (size_t i = 0; i < control_joiners_count (group->joiners); i++)
    {
      const control_joiner_t *joiner = control_joiners_get (group->joiners, i);
      Lwm__ControlMember member = LWM__CONTROL_MEMBER__INIT;

      if (membership_find (members, joiner->incarnation) != NULL
          || !control_joiner_may_join (joiner, control_group_id (group),
                                       clock_mono_ms ()))
        continue;
      member.name = joiner->name;
      member.address = joiner->address;
      member.zone = joiner->zone;
      member.incarnation = joiner->incarnation;
      membership_add (waiting, &member);
    }
  *count = waiting->n_members;
  return waiting->members;
}

uint32_t
control_group_catch_up_ms (const control_server_t *server)
{
  uint32_t given_ms = server->options.catch_up_ms;

  return given_ms > 0 ? given_ms : DEFAULT_CATCH_UP_MS;
}

/** Tells whether a member may have failed for good. Half of the catch-up time
 * is left to elect a leader and to replace the member; one that announced its
 * end is not waited for. A new leader first gives the members time to answer.
 */
static bool
is_silent (const control_group_t *group, uint64_t incarnation, uint64_t now_ms)
{
  uint32_t answer_ms = group->server->options.election_timeout_ms;
  uint32_t limit_ms
      = control_presence_is_leaving (group->presence, incarnation)
            ? answer_ms
            : MAX (answer_ms, control_group_catch_up_ms (group->server) / 2);

  return now_ms >= group->leader_since_ms + answer_ms
         && control_presence_silent_ms (group->presence, incarnation,
                                        group->leader_since_ms, now_ms)
                >= limit_ms;
}

bool
control_group_is_settled (const control_group_t *group,
                          const Lwm__ControlMember *member,
                          uint32_t ahead_ms,
                          uint64_t now_ms)
{
  uint64_t clock_ms = control_server_clock_ms (group->server);
  uint64_t age_ms = clock_ms - MIN (member->since_ms, clock_ms);
  uint64_t present_ms = control_presence_present_ms (
      group->presence, member->incarnation, now_ms);
  uint64_t needed_ms
      = control_group_catch_up_ms (group->server)
        - MIN (ahead_ms, control_group_catch_up_ms (group->server));

  return MIN (age_ms, present_ms) >= needed_ms;
}

static control_keeper_replica_t
describe_member (const control_group_t *group,
                 const Lwm__ControlMember *member,
                 uint64_t now_ms)
{
  uint64_t incarnation = member->incarnation;

  return (control_keeper_replica_t){
    .name = member->name,
    .zone = member->zone,
    .incarnation = incarnation,
    .is_member = true,
    .is_voter = member->voter,
    .is_silent = is_silent (group, incarnation, now_ms),
    .is_leaving = control_presence_is_leaving (group->presence, incarnation),
    .is_caught_up
    = raft_is_caught_up (group->server->raft, incarnation, now_ms),
    .is_settled = control_group_is_settled (group, member, 0, now_ms),
  };
}

/** Logs why the members are not changed, once the same reason has held for some
 * time. Each change waits for the last one to be committed, which is short. */
static void G_GNUC_PRINTF (2, 3)
    log_pending (control_group_t *group, const char *format, ...)
{
  uint64_t now_ms = clock_mono_ms ();
  va_list arguments;
  char *reason;

  va_start (arguments, format);
  reason = talloc_vasprintf (group, format, arguments);
  va_end (arguments);
  if (group->pending_reason == NULL
      || strcmp (reason, group->pending_reason) != 0)
    {
      talloc_free (group->pending_reason);
      group->pending_reason = reason;
      group->pending_due_ms = now_ms + PENDING_LOG_DELAY_MS;
      return;
    }
  talloc_free (reason);
  if (now_ms < group->pending_due_ms)
    return;
  log_info ("A change of the group's members is pending. %s",
            group->pending_reason);
  group->pending_due_ms = UINT64_MAX;
}

/** Logs what the leader waits for while a replica is silent, about to end, or
 * without a vote though the group lacks voters. */
static void
log_waiting (control_group_t *group,
             const control_keeper_replica_t *replicas,
             size_t count)
{
  uint32_t voters = 0, silent = 0, leaving = 0;
  uint32_t learners = 0, caught_up = 0, settled = 0;

  for (size_t i = 0; i < count; i++)
    {
      bool is_learner = replicas[i].is_member && !replicas[i].is_voter;

      voters += replicas[i].is_voter;
      silent += replicas[i].is_silent;
      leaving += replicas[i].is_leaving;
      learners += is_learner;
      caught_up += is_learner && replicas[i].is_caught_up;
      settled += is_learner && replicas[i].is_settled;
    }
  if (silent == 0 && leaving == 0
      && voters == group->server->options.target_voters)
    TALLOC_FREE (group->pending_reason);
  else
    log_pending (group,
                 "voters=%u wanted=%u silent=%u leaving=%u learners=%u "
                 "caught_up=%u settled=%u",
                 voters, group->server->options.target_voters, silent, leaving,
                 learners, caught_up, settled);
}

static void
propose_change (control_group_t *group,
                const control_keeper_replica_t *replica,
                Lwm__ControlMemberChangeKind kind)
{
  Lwm__ControlMemberChange change = LWM__CONTROL_MEMBER_CHANGE__INIT;
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
  /* The change frees the members and thereby the replica's name. */
  char *name = talloc_strdup (group, replica->name);

  change.kind = kind;
  change.name = name;
  change.incarnation = replica->incarnation;
  if (control_group_change (group, &change, &answer) > 0)
    {
      log_info ("Changing the group's members. kind=%d name=%s incarnation=%ju "
                "silent=%d leaving=%d settled=%d",
                (int)kind, name, (uintmax_t)change.incarnation,
                replica->is_silent, replica->is_leaving, replica->is_settled);
      control_server_schedule_flush (group->server);
    }
  else
    log_pending (group, "refused=%d name=%s result=%d detail='%s'", (int)kind,
                 name, (int)answer.result,
                 answer.detail != NULL ? answer.detail : "");
  talloc_free (name);
}

/** Lists the members and the replicas that ask to join; returns their number.
 * @param scratch owns the texts (talloc) */
static size_t
describe_replicas (const control_group_t *group,
                   uint64_t now_ms,
                   void *scratch,
                   control_keeper_replica_t *replicas)
{
  const Lwm__ControlMembership *members = raft_membership (group->server->raft);
  size_t joiner_count;
  Lwm__ControlMember **joiners
      = control_group_list_joiners (group, scratch, &joiner_count);
  size_t count = 0;

  for (size_t i = 0; i < members->n_members && i < CONTROL_MAX_MEMBERS; i++)
    replicas[count++] = describe_member (group, members->members[i], now_ms);
  for (size_t i = 0; i < joiner_count && i < CONTROL_JOINERS_MAX; i++)
    replicas[count++]
        = (control_keeper_replica_t){ .name = joiners[i]->name,
                                      .zone = joiners[i]->zone,
                                      .incarnation = joiners[i]->incarnation };
  return count;
}

bool
control_group_maintain_members (control_group_t *group, uint64_t now_ms)
{
  static const Lwm__ControlMemberChangeKind kinds[] = {
    [CONTROL_KEEPER_ADD] = LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_ADD,
    [CONTROL_KEEPER_PROMOTE] = LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_PROMOTE,
    [CONTROL_KEEPER_REMOVE] = LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_REMOVE
  };
  control_keeper_replica_t replicas[CONTROL_MAX_MEMBERS + CONTROL_JOINERS_MAX];
  void *scratch = talloc_new (group);
  size_t count = describe_replicas (group, now_ms, scratch, replicas);
  size_t which = 0;
  control_keeper_step_t step = control_keeper_next_step (
      replicas, count, group->server->options.target_voters, &which);

  if (step != CONTROL_KEEPER_NOTHING)
    propose_change (group, &replicas[which], kinds[step]);
  else
    log_waiting (group, replicas, count);
  talloc_free (scratch);
  return step != CONTROL_KEEPER_NOTHING;
}
