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

/** Returns whether the replica at @a index counts as dead: it is silent, or a
 * later incarnation has replaced it. */
static bool
is_dead (const control_keeper_replica_t *replicas, size_t count, size_t index)
{
  return replicas[index].is_silent || is_replaced (replicas, count, index);
}

static bool
has_dead_voter (const control_keeper_replica_t *replicas, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (replicas[i].is_voter && is_dead (replicas, count, i))
      return true;
  return false;
}

/** Finds the voter or learner to remove next. Members that were replaced by a
 * later incarnation are preferred. */
static bool
find_dead_member (const control_keeper_replica_t *replicas,
                  size_t count,
                  bool voter,
                  size_t *which)
{
  bool found = false;

  for (size_t i = 0; i < count; i++)
    {
      const control_keeper_replica_t *replica = &replicas[i];

      if (!replica->is_member || replica->is_voter != voter
          || !is_dead (replicas, count, i))
        continue;
      if (!found || is_replaced (replicas, count, i))
        *which = i;
      found = true;
    }
  return found;
}

/** Finds a learner that can be promoted. */
static bool
find_learner (const control_keeper_replica_t *replicas,
              size_t count,
              size_t *which)
{
  for (size_t i = 0; i < count; i++)
    if (replicas[i].is_member && !replicas[i].is_voter
        && replicas[i].is_caught_up && !replicas[i].is_silent)
      {
        *which = i;
        return true;
      }
  return false;
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

  if (voters > target_voters && find_dead_member (replicas, count, true, which))
    return CONTROL_KEEPER_REMOVE;
  if ((voters < target_voters
       || (voters == target_voters && has_dead_voter (replicas, count)))
      && find_learner (replicas, count, which))
    return CONTROL_KEEPER_PROMOTE;
  if (find_dead_member (replicas, count, false, which))
    return CONTROL_KEEPER_REMOVE;
  if (find_joiner (replicas, count, which))
    return CONTROL_KEEPER_ADD;
  return CONTROL_KEEPER_NOTHING;
}
