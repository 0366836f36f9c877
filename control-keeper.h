/**
 * @file control-keeper.h
 * Decides which member of a control group to add, promote or remove next, so
 * that the group keeps its number of voters by itself. No I/O.
 *
 * A replica that lost its disk comes back under a new incarnation and its old
 * name: it is added, and its old self removed. One that is gone for good is
 * removed only when another has taken its place, so that a group whose members
 * are merely down keeps waiting for them.
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
  uint64_t incarnation;
  bool is_member;
  bool is_voter;
  bool is_silent;    /**< not heard of for long */
  bool is_caught_up; /**< a learner has nearly all entries */
} control_keeper_replica_t;

typedef enum
{
  CONTROL_KEEPER_NOTHING,
  CONTROL_KEEPER_ADD,
  CONTROL_KEEPER_PROMOTE,
  CONTROL_KEEPER_REMOVE,
} control_keeper_step_t;

/**
 * The next change, one at a time. Of two replicas with one name the later in
 * the list is the present one: the other's disk is lost.
 * @param which set to the index of the replica to change
 */
control_keeper_step_t
control_keeper_next (const control_keeper_replica_t *replicas,
                     size_t count,
                     uint32_t keep_voters,
                     size_t *which);

#endif
