#include <string.h>
#include <talloc.h>

#include "base.h"
#include "control-group-internal.h"
#include "members.h"
#include "settings.h"
#define LOG_PART "control"
#include "logging.h"

#define HELLO_INTERVAL_MS 300
/** Time for which a replica that was named by another one is asked. */
#define CONTACT_VALID_MS 10000
/** Longest time for which a replica that is about to end waits for another one
 * to take its vote. */
#define HAND_OVER_MS 2000
/** Time after which the process of a replica that announced its end is gone. */
#define STOP_MS                      3000
#define MEMBERSHIP_CHECK_INTERVAL_MS 200

control_group_t *
control_group_new (control_server_t *server)
{
  control_group_t *group = talloc_zero (server, control_group_t);
  control_presence_options_t options
      = { .self = server->incarnation,
          .absent_after_ms = server->options.election_timeout_ms,
          .stop_ms = STOP_MS,
          .report_ms = control_group_catch_up_ms (server) };

  group->server = server;
  group->joiners = control_joiners_new (group);
  group->presence = control_presence_new (group, &options);
  group->contacts = control_contacts_new (group, CONTACT_VALID_MS);
  return group;
}

uint64_t
control_group_id (const control_group_t *group)
{
  return raft_status (group->server->raft).group;
}

static void
send_hello (control_group_t *group, const char *address, bool answer)
{
  const Lwm__ControlMembership *members = raft_membership (group->server->raft);
  Lwm__ControlPeerMessage message = LWM__CONTROL_PEER_MESSAGE__INIT;
  Lwm__ControlHello hello = LWM__CONTROL_HELLO__INIT;

  hello.group = control_group_id (group);
  hello.join = group->server->options.join;
  hello.answer = answer;
  hello.members = members->members;
  hello.n_members = members->n_members;
  message.hello = &hello;
  control_server_send_peer (group->server, &message, address, 0);
}

static bool
is_known_member (const control_group_t *group, uint64_t incarnation)
{
  return membership_find (raft_membership (group->server->raft), incarnation)
         != NULL;
}

/** Forgets the hellos of replicas that are members now, so that an old hello
 * does not add a member again. */
static void
remove_joined (control_group_t *group)
{
  for (size_t i = control_joiners_count (group->joiners); i-- > 0;)
    if (is_known_member (group,
                         control_joiners_get (group->joiners, i)->incarnation))
      control_joiners_remove (group->joiners, i);
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
  control_joiner_t joiner = { .name = message->name,
                              .address = message->address,
                              .zone = message->zone,
                              .incarnation = message->incarnation,
                              .group = message->hello->group,
                              .join = message->hello->join,
                              .heard_ms = clock_mono_ms () };

  if (is_known_member (group, message->incarnation))
    return;
  /* An answer comes from a replica that was asked, mostly a member. */
  if (control_joiners_record (group->joiners, &joiner)
      && !message->hello->answer)
    log_info ("A replica asks to join. name=%s incarnation=%ju leader=%d",
              message->name, (uintmax_t)message->incarnation,
              raft_status (group->server->raft).role == RAFT_LEADER);
}

void
control_group_add_contact (control_group_t *group,
                           const char *name,
                           const char *address)
{
  const control_server_t *server = group->server;
  const char *given = control_peers_address (server->peers, name);
  char ip[64];
  uint16_t port;

  address = given != NULL ? given : address;
  if (strcmp (name, server->options.name) != 0
      && settings_split_address (address, ip, &port))
    control_contacts_add (group->contacts, address, clock_mono_ms ());
}

void
control_group_receive_hello (control_group_t *group,
                             const Lwm__ControlPeerMessage *message)
{
  record_joiner (group, message);
  /* A replica that is about to end asks nobody, so this one has returned. */
  if (!message->hello->answer)
    control_presence_returned (group->presence, message->incarnation,
                               clock_mono_ms ());
  /* A joiner may know only one member. Replicas learn the addresses of the
   * other members from each hello. */
  for (size_t i = 0; i < MIN (message->hello->n_members, CONTROL_MAX_MEMBERS);
       i++)
    {
      const Lwm__ControlMember *member = message->hello->members[i];

      control_peers_set_address (group->server->peers, member->incarnation,
                                 member->name, member->address);
      control_group_add_contact (group, member->name, member->address);
    }
  if (!message->hello->answer)
    send_hello (group, message->address, true);
}

static bool
is_ready_for_group (const control_group_t *group, const char *name)
{
  const control_joiner_t *joiner = control_joiners_find (group->joiners, name);

  return joiner != NULL && joiner->group == 0 && !joiner->join
         && joiner->heard_ms + CONTROL_HELLO_VALID_MS >= clock_mono_ms ();
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
      const control_joiner_t *joiner
          = i == 0 ? NULL
                   : control_joiners_find (group->joiners,
                                           initial_members[i].name);

      member.name = initial_members[i].name;
      member.address = initial_members[i].address;
      member.voter = true;
      member.incarnation
          = joiner == NULL ? server->incarnation : joiner->incarnation;
      member.zone = joiner == NULL ? (char *)control_server_zone (server)
                                   : joiner->zone;
      membership_add (membership, &member);
    }
  raft_found_group (server->raft, random_id (), membership, clock_mono_ms ());
  log_info ("Founded a control group. members=%zu", count);
  talloc_free (membership);
  control_server_schedule_flush (server);
}

/** Sends a message to all other members. */
static void
send_to_members (control_group_t *group, Lwm__ControlPeerMessage *message)
{
  control_server_t *server = group->server;
  const Lwm__ControlMembership *members = raft_membership (server->raft);

  for (size_t i = 0; i < members->n_members; i++)
    if (members->members[i]->incarnation != server->incarnation)
      control_server_send_peer (server, message, NULL,
                                members->members[i]->incarnation);
}

/** Tells the other members, as their leader, which members are absent or were
 * so lately. */
static void
report_absences (control_group_t *group, uint64_t now_ms)
{
  Lwm__ControlPeerMessage message = LWM__CONTROL_PEER_MESSAGE__INIT;

  message.absences = control_presence_absences (group->presence, group,
                                                group->leader_since_ms, now_ms,
                                                &message.n_absences);
  if (message.n_absences > 0)
    send_to_members (group, &message);
  talloc_free (message.absences);
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
  if (!raft_has_recent_contact (server->raft, now_ms))
    return;
  if (now_ms >= group->check_due_ms)
    {
      group->check_due_ms = now_ms + MEMBERSHIP_CHECK_INTERVAL_MS;
      group->is_change_due = true;
      report_absences (group, now_ms);
    }
  /* The next change of a series is made as soon as the last is committed. */
  if (group->is_change_due)
    group->is_change_due = control_group_maintain_members (group, now_ms);
}

static void
log_asked (control_group_t *group, size_t asked)
{
  if (group->asked != asked)
    log_info ("Asking other replicas for the group. addresses=%zu group=%ju",
              asked, (uintmax_t)control_group_id (group));
  group->asked = asked;
}

/** Sends a hello to the initial members, to the present ones as far as this
 * replica knows them, as it may have been removed while it was cut off, and to
 * all replicas that others have named lately: the leader must hear it. */
static void
send_hellos (control_group_t *group, uint64_t now_ms)
{
  control_server_t *server = group->server;
  const Lwm__ControlMembership *members = raft_membership (server->raft);
  size_t count;
  const control_initial_member_t *initial_members
      = control_peers_initial_members (server->peers, &count);

  for (size_t i = 0; i < count; i++)
    control_group_add_contact (group, initial_members[i].name,
                               initial_members[i].address);
  for (size_t i = 0; i < members->n_members; i++)
    control_group_add_contact (group, members->members[i]->name,
                               members->members[i]->address);
  count = control_contacts_expire (group->contacts, now_ms);
  for (size_t i = 0; i < count; i++)
    send_hello (group, control_contacts_get (group->contacts, i), false);
  log_asked (group, count);
}

void
control_group_tick (control_group_t *group, uint64_t now_ms)
{
  bool is_connected = is_member (group)
                      && raft_has_recent_contact (group->server->raft, now_ms);

  tick_membership (group, now_ms);
  if (is_connected)
    group->asked = 0;
  if (is_connected || group->stopped_ms > 0 || now_ms < group->hello_due_ms)
    return;
  group->hello_due_ms = now_ms + HELLO_INTERVAL_MS;
  if (control_group_id (group) == 0 && can_found_group (group))
    found_group (group);
  else
    send_hellos (group, now_ms);
}

void
control_group_set_members (control_group_t *group)
{
  const Lwm__ControlMembership *members = raft_membership (group->server->raft);

  control_presence_set_members (group->presence, members, clock_mono_ms ());
  for (size_t i = 0; i < members->n_members; i++)
    control_server_advance_clock (group->server, members->members[i]->since_ms);
  remove_joined (group);
}

void
control_group_receive_presence (control_group_t *group,
                                const Lwm__ControlPeerMessage *message)
{
  uint64_t now_ms = clock_mono_ms ();

  control_presence_heard (group->presence, message->incarnation, now_ms);
  for (size_t i = 0; i < message->n_absences; i++)
    control_presence_report (group->presence, message->absences[i], now_ms);
  if (!message->leaving)
    return;
  log_info ("Another replica is about to end. incarnation=%ju",
            (uintmax_t)message->incarnation);
  control_presence_leaving (group->presence, message->incarnation, now_ms);
  raft_expect_election (group->server->raft, message->incarnation, now_ms);
}

void
control_group_stop (control_group_t *group)
{
  raft_t *raft = group->server->raft;
  Lwm__ControlPeerMessage message = LWM__CONTROL_PEER_MESSAGE__INIT;

  log_info ("This replica is about to end. leader=%d",
            raft_status (raft).role == RAFT_LEADER);
  group->stopped_ms = clock_mono_ms ();
  raft_resign (raft, group->stopped_ms);
  message.leaving = true;
  send_to_members (group, &message);
}

/** Tells whether a learner can take this replica's vote before its end. */
static bool
has_successor (const control_group_t *group, uint64_t now_ms)
{
  const control_server_t *server = group->server;
  const Lwm__ControlMembership *members = raft_membership (server->raft);
  const Lwm__ControlMember *self
      = membership_find (members, server->incarnation);

  if (self == NULL || !self->voter)
    return false;
  for (size_t i = 0; i < members->n_members; i++)
    if (!members->members[i]->voter
        && !control_presence_is_leaving (group->presence,
                                         members->members[i]->incarnation)
        && control_group_is_settled (group, members->members[i], HAND_OVER_MS,
                                     now_ms))
      return true;
  return false;
}

bool
control_group_has_stopped (const control_group_t *group)
{
  uint64_t now_ms = clock_mono_ms ();

  return now_ms >= group->stopped_ms + HAND_OVER_MS
         || group->server->options.target_voters == 0
         || !has_successor (group, now_ms);
}
