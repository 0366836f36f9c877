#include "control-keeper.h"

#include <string.h>

static uint32_t
count_voters (const control_keeper_replica_t *replicas, size_t count)
{
  uint32_t voters = 0;

  for (size_t i = 0; i < count; i++)
    voters += replicas[i].is_voter;
  return voters;
}

/** Returns whether a later replica in the list, not a silent one, has the same
 * name as the replica at @a index. */
static bool
is_replaced (const control_keeper_replica_t *replicas,
             size_t count,
             size_t index)
{
  for (size_t i = index + 1; i < count; i++)
    if (!replicas[i].is_silent
        && strcmp (replicas[i].name, replicas[index].name) == 0)
      return true;
  return false;
}

/** Finds a member that a later incarnation has replaced. */
static bool
find_replaced_member (const control_keeper_replica_t *replicas,
                      size_t count,
                      size_t *which)
{
  for (size_t i = 0; i < count; i++)
    if (replicas[i].is_member && is_replaced (replicas, count, i))
      {
        *which = i;
        return true;
      }
  return false;
}

static bool
find_silent_member (const control_keeper_replica_t *replicas,
                    size_t count,
                    bool is_voter,
                    size_t *which)
{
  for (size_t i = 0; i < count; i++)
    if (replicas[i].is_member && replicas[i].is_voter == is_voter
        && replicas[i].is_silent)
      {
        *which = i;
        return true;
      }
  return false;
}

static bool
is_ready_learner (const control_keeper_replica_t *replica)
{
  return replica->is_member && !replica->is_voter && replica->is_caught_up
         && !replica->is_silent && !replica->is_leaving;
}

static uint32_t
count_voters_in_zone (const control_keeper_replica_t *replicas,
                      size_t count,
                      const char *zone)
{
  uint32_t voters = 0;

  for (size_t i = 0; i < count; i++)
    voters += replicas[i].is_voter && strcmp (replicas[i].zone, zone) == 0;
  return voters;
}

/** Finds a learner that can be promoted, in the zone with the fewest voters.
 * One that has been up for long is preferred. */
static bool
find_learner (const control_keeper_replica_t *replicas,
              size_t count,
              size_t *which)
{
  uint32_t least = UINT32_MAX;

  for (size_t i = 0; i < count; i++)
    {
      uint32_t voters
          = count_voters_in_zone (replicas, count, replicas[i].zone);
      bool is_better = voters < least
                       || (voters == least && replicas[i].is_settled
                           && !replicas[*which].is_settled);

      if (!is_ready_learner (&replicas[i]) || !is_better)
        continue;
      least = voters;
      *which = i;
    }
  return least != UINT32_MAX;
}

/** Returns whether there is a learner that can replace a voter of any zone. A
 * new one beside a voter of its zone may be the successor of that voter, which
 * is about to go. */
static bool
has_free_learner (const control_keeper_replica_t *replicas, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (is_ready_learner (&replicas[i])
        && (replicas[i].is_settled
            || count_voters_in_zone (replicas, count, replicas[i].zone) == 0))
      return true;
  return false;
}

static bool
has_learner_in_zone (const control_keeper_replica_t *replicas,
                     size_t count,
                     const char *zone)
{
  for (size_t i = 0; i < count; i++)
    if (is_ready_learner (&replicas[i]) && strcmp (replicas[i].zone, zone) == 0)
      return true;
  return false;
}

/** Finds a silent voter with a learner in its zone, which may be its successor.
 */
static bool
find_succeeded_voter (const control_keeper_replica_t *replicas,
                      size_t count,
                      size_t *which)
{
  for (size_t i = 0; i < count; i++)
    if (replicas[i].is_voter && replicas[i].is_silent
        && has_learner_in_zone (replicas, count, replicas[i].zone))
      {
        *which = i;
        return true;
      }
  return false;
}

/** Returns whether the learner at @a index can take the vote of a voter of
 * @a zone that is about to end, without leaving the voters less spread over the
 * zones. */
static bool
is_successor (const control_keeper_replica_t *replicas,
              size_t count,
              size_t index,
              const char *zone)
{
  const control_keeper_replica_t *learner = &replicas[index];

  return is_ready_learner (learner) && learner->is_settled
         && (strcmp (learner->zone, zone) == 0
             || count_voters_in_zone (replicas, count, learner->zone)
                    < count_voters_in_zone (replicas, count, zone));
}

/** Finds a voter which is about to end, and a learner that can take its vote.
 */
static bool
find_successor (const control_keeper_replica_t *replicas,
                size_t count,
                size_t *learner,
                size_t *voter)
{
  for (*voter = 0; *voter < count; ++*voter)
    for (*learner = 0; *learner < count; ++*learner)
      if (replicas[*voter].is_voter && replicas[*voter].is_leaving
          && is_successor (replicas, count, *learner, replicas[*voter].zone))
        return true;
  return false;
}

/** Returns how well a voter can be spared: one that is about to end best, then
 * one that may have failed, then one that has been up for a short time only. */
static int
rank_spare_voter (const control_keeper_replica_t *voter)
{
  return 4 * voter->is_leaving + 2 * voter->is_silent + !voter->is_settled;
}

/** Finds the voter that can best be spared in the zone with most voters.
 * @return the number of voters of that zone */
static uint32_t
find_crowded_voter (const control_keeper_replica_t *replicas,
                    size_t count,
                    size_t *which)
{
  uint32_t most = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint32_t voters;

      if (!replicas[i].is_voter)
        continue;
      voters = count_voters_in_zone (replicas, count, replicas[i].zone);
      if (voters < most
          || (voters == most
              && rank_spare_voter (&replicas[i])
                     <= rank_spare_voter (&replicas[*which])))
        continue;
      most = voters;
      *which = i;
    }
  return most;
}

/** Returns whether the voter at @a index can better be spared than the one at
 * @a other: it is about to end, may have failed, or is in a zone with more
 * voters, where its successor may vote already. */
static bool
is_better_spare (const control_keeper_replica_t *replicas,
                 size_t count,
                 size_t index,
                 size_t other)
{
  const control_keeper_replica_t *one = &replicas[index];
  const control_keeper_replica_t *two = &replicas[other];
  uint32_t voters = count_voters_in_zone (replicas, count, one->zone);
  uint32_t other_voters = count_voters_in_zone (replicas, count, two->zone);

  if (one->is_leaving != two->is_leaving)
    return one->is_leaving;
  if (one->is_silent != two->is_silent)
    return one->is_silent;
  if (voters != other_voters)
    return voters > other_voters;
  return !one->is_settled && two->is_settled;
}

/** Finds the voter that a group with more voters than intended can best
 * spare. */
static void
find_surplus_voter (const control_keeper_replica_t *replicas,
                    size_t count,
                    size_t *which)
{
  bool has_found = false;

  for (size_t i = 0; i < count; i++)
    if (replicas[i].is_voter
        && (!has_found || is_better_spare (replicas, count, i, *which)))
      {
        *which = i;
        has_found = true;
      }
}

/** Finds a learner whose vote would spread the voters better over the zones
 * than one of the voters does. Such a learner is left without a vote if
 * another one got it while it started. */
static bool
find_better_spread (const control_keeper_replica_t *replicas,
                    size_t count,
                    size_t *learner,
                    size_t *voter)
{
  uint32_t most = find_crowded_voter (replicas, count, voter);

  return find_learner (replicas, count, learner)
         && count_voters_in_zone (replicas, count, replicas[*learner].zone) + 2
                <= most;
}

/** Exchanges the votes of two replicas. A learner that has been up for long is
 * promoted before the voter is removed. If one of them is new and they may
 * stand for the same machine, both may be lost at once, so they never vote at
 * the same time. */
static control_keeper_step_t
exchange_votes (const control_keeper_replica_t *replicas,
                size_t learner,
                size_t voter,
                size_t *which)
{
  bool is_promoted_first
      = replicas[learner].is_settled
        && (replicas[voter].is_settled
            || strcmp (replicas[learner].zone, replicas[voter].zone) != 0);

  *which = is_promoted_first ? learner : voter;
  return is_promoted_first ? CONTROL_KEEPER_PROMOTE : CONTROL_KEEPER_REMOVE;
}

/** Finds a replica that asks to join. */
static bool
find_joiner (const control_keeper_replica_t *replicas,
             size_t count,
             size_t *which)
{
  for (size_t i = 0; i < count; i++)
    if (!replicas[i].is_member && !replicas[i].is_silent)
      {
        *which = i;
        return true;
      }
  return false;
}

control_keeper_step_t
control_keeper_next_step (const control_keeper_replica_t *replicas,
                          size_t count,
                          uint32_t target_voters,
                          size_t *which)
{
  uint32_t voters = count_voters (replicas, count);
  size_t learner = 0;
  size_t voter = 0;

  if (find_replaced_member (replicas, count, which)
      && (voters > 1 || !replicas[*which].is_voter))
    return CONTROL_KEEPER_REMOVE;
  if (voters > target_voters)
    {
      find_surplus_voter (replicas, count, which);
      return CONTROL_KEEPER_REMOVE;
    }
  if (voters > 1 && find_succeeded_voter (replicas, count, which))
    return CONTROL_KEEPER_REMOVE;
  if (voters < target_voters && find_learner (replicas, count, which))
    return CONTROL_KEEPER_PROMOTE;
  if (voters == target_voters && has_free_learner (replicas, count)
      && find_silent_member (replicas, count, true, which))
    return CONTROL_KEEPER_REMOVE;
  if (voters == target_voters
      && (find_successor (replicas, count, &learner, &voter)
          || find_better_spread (replicas, count, &learner, &voter)))
    return exchange_votes (replicas, learner, voter, which);
  if (find_silent_member (replicas, count, false, which))
    return CONTROL_KEEPER_REMOVE;
  if (find_joiner (replicas, count, which))
    return CONTROL_KEEPER_ADD;
  return CONTROL_KEEPER_NOTHING;
}
