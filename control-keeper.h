/**
 * @file control-keeper.h
 * Decides which member of a control group to add, promote or remove next, so
 * that the group keeps its number of voters without an operator. No I/O.
 *
 * A replica that lost its disk restarts with a new incarnation and its old
 * name. The old incarnation never returns and is removed at once, before the
 * new one gets a vote: otherwise the new one, when it is lost in turn, would
 * leave two dead voters in the group.
 *
 * A voter that stopped for good is removed only if a learner is ready to
 * replace it, so a group whose members are only down keeps them. It is removed
 * first and the learner promoted next, for the same reason.
 *
 * A voter that announced its planned stop still votes until it ends. A learner
 * that has been up for long is promoted first, so that the group never has
 * fewer voters than intended; it is of the same availability zone, or of one
 * with fewer voters. A new learner may be lost again at any moment; it gets its
 * vote after the end of the old one. If the voter itself is new and of the same
 * zone, it is removed first: both may be lost at once.
 *
 * A learner that started beside its running predecessor can get a vote that
 * another zone has lost. As soon as a learner of that zone is ready, the vote
 * moves there: otherwise the loss of the machines of one place costs two votes.
 * A zone that has two voters more than a learner's zone gives one up.
 *
 * t/t8051-control-keeper-states.c walks through the states of small groups.
 */
#ifndef CONTROL_KEEPER_H
#define CONTROL_KEEPER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A member, or a replica that asks to join. */
typedef struct
{
  const char *name;
  const char *zone; /**< availability zone, "" when unknown */
  uint64_t incarnation;
  bool is_member;
  bool is_voter;
  bool is_silent;    /**< no message for a long time */
  bool is_leaving;   /**< it has announced that it is about to end */
  bool is_caught_up; /**< a learner that has nearly all log entries */
  bool is_settled;   /**< a member that has been up for long */
} control_keeper_replica_t;

/** The change of membership to make next. */
typedef enum
{
  CONTROL_KEEPER_NOTHING,
  CONTROL_KEEPER_ADD,
  CONTROL_KEEPER_PROMOTE,
  CONTROL_KEEPER_REMOVE,
} control_keeper_step_t;

/**
 * Returns the next change to make. Only one change may be in progress at a
 * time. Of two replicas with the same name, the later one in the list is the
 * present one: the earlier one has lost its disk.
 * @param target_voters number of voters that the group shall have
 * @param which set to the index of the replica to change, unless the result is
 * CONTROL_KEEPER_NOTHING
 */
control_keeper_step_t
control_keeper_next_step (const control_keeper_replica_t *replicas,
                          size_t count,
                          uint32_t target_voters,
                          size_t *which);

#endif
