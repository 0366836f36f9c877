#include "control-internal.h"

#include <string.h>
#include <talloc.h>

#include "base.h"
#include "control-keeper.h"
#include "members.h"
#define LOG_PART "control"
#include "logging.h"

#define HELLO_INTERVAL_MS            300
#define HELLO_VALID_MS               3000 /* an older hello is ignored */
#define MAX_JOINERS                  32
#define MAX_MEMBERS                  16
#define MEMBERSHIP_CHECK_INTERVAL_MS 200
/** A member without messages for this long may have failed permanently. */
#define MEMBER_TIMEOUT_MS 5000

/** The last hello of a replica that is not a member. */
typedef struct
{
  char *name;
  char *address;
  uint64_t incarnation;
  uint64_t group;
  bool join;
  uint64_t heard_ms;
} joiner_t;

struct control_group
{
  control_server_t *server;
  GPtrArray *joiners; /* joiner_t, children of group */
  uint64_t hello_due_ms;
  uint64_t check_due_ms;
  uint64_t leader_since_ms; /* 0 while this replica is not the leader */
};

static int
free_group (control_group_t *group)
{
  g_ptr_array_free (group->joiners, TRUE);
  return 0;
}

control_group_t *
control_group_new (control_server_t *server)
{
  control_group_t *group = talloc_zero (server, control_group_t);

  group->server = server;
  group->joiners = g_ptr_array_new ();
  talloc_set_destructor (group, free_group);
  return group;
}

static uint64_t
own_group_id (const control_group_t *group)
{
  return raft_status (group->server->raft).group;
}

static void
send_hello (control_group_t *group, const char *address, bool answer)
{
  const Lwm__ControlMembership *members = raft_membership (group->server->raft);
  Lwm__ControlPeerMessage message = LWM__CONTROL_PEER_MESSAGE__INIT;
  Lwm__ControlHello hello = LWM__CONTROL_HELLO__INIT;

  hello.group = own_group_id (group);
  hello.join = group->server->options.join;
  hello.answer = answer;
  hello.members = members->members;
  hello.n_members = members->n_members;
  message.hello = &hello;
  control_server_send_peer (group->server, &message, address, 0);
}

static joiner_t *
find_joiner (const control_group_t *group, const char *name)
{
  for (guint i = 0; i < group->joiners->len; i++)
    {
      joiner_t *joiner = g_ptr_array_index (group->joiners, i);

      if (strcmp (joiner->name, name) == 0)
        return joiner;
    }
  return NULL;
}

static bool
is_known_member (const control_group_t *group, uint64_t incarnation)
{
  return membership_find (raft_membership (group->server->raft), incarnation)
         != NULL;
}

void
control_group_remove_joined (control_group_t *group)
{
  for (guint i = 0; i < group->joiners->len;)
    {
      joiner_t *joiner = g_ptr_array_index (group->joiners, i);

      if (!is_known_member (group, joiner->incarnation))
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index_fast (group->joiners, i);
      talloc_free (joiner);
    }
}

static bool
is_member (const control_group_t *group)
{
  return is_known_member (group, group->server->incarnation);
}

/** Records the sender of a hello as a joiner, unless it is a member. */
static void
record_joiner (control_group_t *group, const Lwm__ControlPeerMessage *message)
{
  joiner_t *joiner = find_joiner (group, message->name);

  if (is_known_member (group, message->incarnation))
    return;
  if (joiner == NULL && group->joiners->len < MAX_JOINERS)
    {
      joiner = talloc_zero (group, joiner_t);
      joiner->name = talloc_strdup (joiner, message->name);
      g_ptr_array_add (group->joiners, joiner);
    }
  if (joiner == NULL)
    return;
  talloc_free (joiner->address);
  joiner->address = talloc_strdup (joiner, message->address);
  joiner->incarnation = message->incarnation;
  joiner->group = message->hello->group;
  joiner->join = message->hello->join;
  joiner->heard_ms = clock_mono_ms ();
}

void
control_group_receive_hello (control_group_t *group,
                             const Lwm__ControlPeerMessage *message)
{
  record_joiner (group, message);
  /* A joiner may know only one member. Replicas learn the addresses of the
   * other members from each hello. */
  for (size_t i = 0; i < message->hello->n_members; i++)
    {
      const Lwm__ControlMember *member = message->hello->members[i];

      control_peers_set_address (group->server->peers, member->incarnation,
                                 member->name, member->address);
    }
  if (!message->hello->answer)
    send_hello (group, message->address, true);
}

static bool
is_ready_for_group (const control_group_t *group, const char *name)
{
  const joiner_t *joiner = find_joiner (group, name);

  return joiner != NULL && joiner->group == 0 && !joiner->join
         && joiner->heard_ms + HELLO_VALID_MS >= clock_mono_ms ();
}

/**
 * Tells whether this replica may start a new group. Of the initial members, the
 * first by name starts the group, once all other initial members have reported
 * that they belong to no group. A replica that lost its folder learns from the
 * other members that a group exists, and therefore never starts a second one.
 */
static bool
can_found_group (const control_group_t *group)
{
  const control_server_options_t *options = &group->server->options;
  size_t count;
  const control_initial_member_t *initial_members
      = control_peers_initial_members (group->server->peers, &count);

  if (options->join || count == 0
      || strcmp (initial_members[0].name, options->name) != 0)
    return false;
  for (size_t i = 1; i < count; i++)
    if (!is_ready_for_group (group, initial_members[i].name))
      return false;
  return true;
}

static void
found_group (control_group_t *group)
{
  control_server_t *server = group->server;
  Lwm__ControlMembership *membership = membership_copy (group, NULL);
  size_t count;
  const control_initial_member_t *initial_members
      = control_peers_initial_members (server->peers, &count);

  for (size_t i = 0; i < count; i++)
    {
      Lwm__ControlMember member = LWM__CONTROL_MEMBER__INIT;

      member.name = initial_members[i].name;
      member.address = initial_members[i].address;
      member.voter = true;
      member.incarnation
          = i == 0 ? server->incarnation
                   : find_joiner (group, initial_members[i].name)->incarnation;
      membership_add (membership, &member);
    }
  raft_found_group (server->raft, random_id (), membership, clock_mono_ms ());
  log_info ("Founded a control group. members=%zu", count);
  talloc_free (membership);
  control_server_schedule_flush (server);
}

static control_keeper_replica_t
describe_member (const control_group_t *group,
                 const Lwm__ControlMember *member,
                 uint64_t now_ms)
{
  control_server_t *server = group->server;
  control_keeper_replica_t replica
      = { .name = member->name,
          .incarnation = member->incarnation,
          .is_member = true,
          .is_voter = member->voter,
          .is_caught_up
          = raft_is_caught_up (server->raft, member->incarnation, now_ms) };

  /* A new leader has not received messages of the other members yet. */
  replica.is_silent
      = member->incarnation != server->incarnation
        && now_ms >= group->leader_since_ms + MEMBER_TIMEOUT_MS
        && !control_peers_heard_within (server->peers, member->incarnation,
                                        now_ms, MEMBER_TIMEOUT_MS);
  return replica;
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
      log_info ("Changing the group's members. kind=%d name=%s incarnation=%ju",
                (int)kind, name, (uintmax_t)change.incarnation);
      control_server_schedule_flush (group->server);
    }
  talloc_free (name);
}

/** Makes the next membership change: adds or promotes a replica that asks to
 * join, or removes a member that has failed. Called on the leader. */
static void
maintain_members (control_group_t *group, uint64_t now_ms)
{
  control_server_t *server = group->server;
  const Lwm__ControlMembership *members = raft_membership (server->raft);
  control_keeper_replica_t replicas[MAX_MEMBERS + MAX_JOINERS];
  size_t count = 0;
  size_t joiner_count;
  size_t which = 0;
  void *scratch = talloc_new (group);
  Lwm__ControlMember **joiners
      = control_group_list_joiners (group, scratch, &joiner_count);

  for (size_t i = 0; i < members->n_members && i < MAX_MEMBERS; i++)
    replicas[count++] = describe_member (group, members->members[i], now_ms);
  for (size_t i = 0; i < joiner_count && i < MAX_JOINERS; i++)
    replicas[count++]
        = (control_keeper_replica_t){ .name = joiners[i]->name,
                                      .incarnation = joiners[i]->incarnation };
  switch (control_keeper_next_step (replicas, count,
                                    server->options.target_voters, &which))
    {
    case CONTROL_KEEPER_ADD:
      propose_change (group, &replicas[which],
                      LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_ADD);
      break;
    case CONTROL_KEEPER_PROMOTE:
      propose_change (group, &replicas[which],
                      LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_PROMOTE);
      break;
    case CONTROL_KEEPER_REMOVE:
      propose_change (group, &replicas[which],
                      LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_REMOVE);
      break;
    default:
      break;
    }
  talloc_free (scratch);
}

static void
tick_membership (control_group_t *group, uint64_t now_ms)
{
  control_server_t *server = group->server;

  if (server->options.target_voters == 0
      || raft_status (server->raft).role != RAFT_LEADER)
    {
      group->leader_since_ms = 0;
      return;
    }
  if (group->leader_since_ms == 0)
    group->leader_since_ms = now_ms;
  if (now_ms < group->check_due_ms)
    return;
  group->check_due_ms = now_ms + MEMBERSHIP_CHECK_INTERVAL_MS;
  if (raft_has_recent_contact (server->raft, now_ms))
    maintain_members (group, now_ms);
}

void
control_group_tick (control_group_t *group, uint64_t now_ms)
{
  size_t count;
  const control_initial_member_t *initial_members
      = control_peers_initial_members (group->server->peers, &count);

  tick_membership (group, now_ms);
  if (is_member (group) || now_ms < group->hello_due_ms)
    return;
  group->hello_due_ms = now_ms + HELLO_INTERVAL_MS;
  if (own_group_id (group) == 0 && can_found_group (group))
    {
      found_group (group);
      return;
    }
  for (size_t i = 0; i < count; i++)
    if (strcmp (initial_members[i].name, group->server->options.name) != 0)
      send_hello (group, initial_members[i].address, false);
}

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
  const joiner_t *joiner = find_joiner (group, change->name);
  Lwm__ControlMember member = LWM__CONTROL_MEMBER__INIT;

  if (joiner == NULL
      || (change->incarnation != 0
          && change->incarnation != joiner->incarnation)
      || joiner->heard_ms + HELLO_VALID_MS < clock_mono_ms ())
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
  if (members->n_members >= MAX_MEMBERS)
    return reject_change (answer, LWM__CONTROL_RESULT__RESULT_LIMIT,
                          "the group has no room for another member");
  member.name = joiner->name;
  member.address = joiner->address;
  member.incarnation = joiner->incarnation;
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

  for (guint i = 0; i < group->joiners->len; i++)
    {
      const joiner_t *joiner = g_ptr_array_index (group->joiners, i);
      Lwm__ControlMember member = LWM__CONTROL_MEMBER__INIT;

      if (membership_find (members, joiner->incarnation) != NULL
          || joiner->heard_ms + HELLO_VALID_MS < clock_mono_ms ())
        continue;
      member.name = joiner->name;
      member.address = joiner->address;
      member.incarnation = joiner->incarnation;
      membership_add (waiting, &member);
    }
  *count = waiting->n_members;
  return waiting->members;
}
