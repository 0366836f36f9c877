/**
 * @file lib-keeper-model.h
 * A model of a control group whose members the keeper changes, and of what may
 * happen to its machines within the promise of a deployment.
 *
 * A slot is the place of one machine and its successors. A machine is exposed
 * from its loss, or from its own start, until it has been up for the catch-up
 * time. So is a successor that starts meanwhile. At most the promised number of
 * slots is exposed at once. An exposed machine may end, return, lose its disk,
 * be replaced by a machine at another address and announce its end, in any
 * order. A machine that is not exposed is up. It may be stopped as planned
 * while a successor is up that has had the catch-up time, and ends once its
 * vote is given away or cannot be given away.
 *
 * The leader may change at any moment. What a new leader may not know is
 * forgotten at any moment, each thing by itself: a silence, and a replica that
 * asks to join. It is learned early or late; at the end of a slot's exposure
 * the leader has learned all of that slot, and the keeper has made its changes.
 * Which members have been up for long is not forgotten: each leader reports
 * absences that ended (control-presence.h). One that ends before a leader has
 * noticed it leaves the member settled.
 *
 * The keeper sees the slots in the order in which they are sorted, so of
 * several equal choices only one is walked through. A replica that asks to join
 * and ends is forgotten at once.
 */
#ifndef LIB_KEEPER_MODEL_H
#define LIB_KEEPER_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#define MODEL_MAX_SLOTS    5
#define MODEL_SLOT_MEMBERS 3

typedef struct
{
  uint16_t machine : 1; /* differs between successive machines */
  uint16_t is_member : 1;
  uint16_t is_voter : 1;
  uint16_t is_alive : 1;
  uint16_t is_exposed : 1;
  uint16_t has_lost_disk : 1; /* it never returns */
  uint16_t is_leaving : 1;
  /* What the leader knows. */
  uint16_t is_heard : 1; /* its request to join */
  uint16_t is_silent : 1;
  uint16_t is_caught_up : 1;
  uint16_t is_settled : 1;
  uint16_t unused : 5; /* 0 */
} model_replica_t;

typedef union
{
  struct
  {
    uint8_t count : 2;
    uint8_t is_exposed : 1; /* one of its machines is */
    uint8_t zone : 3;
    uint8_t unused : 2; /* 0 */
    model_replica_t replicas[MODEL_SLOT_MEMBERS];
  };
  uint64_t bits; /* all of the above, for comparisons */
} model_slot_t;

/** The slots are sorted: states that differ only by their order are the same.
 */
typedef struct
{
  model_slot_t slots[MODEL_MAX_SLOTS];
} model_state_t;

typedef struct
{
  uint8_t slot_count; /**< also the wanted number of voters */
  uint8_t max_exposed;
  uint8_t zone_count; /**< over which the slots are spread evenly */
} model_t;

/** Receives a state that can follow another one.
 * @param event name of what has happened */
typedef void
model_visit_t (void *context, const model_state_t *state, const char *event);

/** Returns a group whose machines are all up. */
model_state_t model_first_state (const model_t *model);

/** Calls @a visit for each state that can follow @a state. */
void model_expand (const model_t *model,
                   const model_state_t *state,
                   model_visit_t *visit,
                   void *context);

/** Returns whether the voters of machines that are not exposed are a majority:
 * all exposed ones may end at the same moment. */
bool model_is_safe (const model_t *model, const model_state_t *state);

/** Returns whether the keeper gets as many voters as wanted, all of machines
 * that are up, once the leader knows all. True while a machine is exposed. */
bool model_is_live (const model_t *model, const model_state_t *state);

/** Returns a text that describes a state; freed with g_free(). */
char *model_describe (const model_t *model, const model_state_t *state);

#endif
