#include "lib-keeper-model.h"

#include <glib.h>
#include <string.h>

#include "control-keeper.h"

#define MAX_REPLICAS (MODEL_MAX_SLOTS * MODEL_SLOT_MEMBERS)
/** The closure of a state takes at most a few changes of each replica. */
#define MAX_STEPS 64

G_STATIC_ASSERT (sizeof (model_slot_t) == sizeof (uint64_t));

typedef struct
{
  const model_t *model;
  const model_state_t *from;
  model_visit_t *visit;
  void *context;
} expansion_t;

static int
compare_slots (const void *a, const void *b)
{
  uint64_t first = ((const model_slot_t *)a)->bits;
  uint64_t second = ((const model_slot_t *)b)->bits;

  return (first > second) - (first < second);
}

static uint32_t
count_voters (const model_t *model, const model_state_t *state)
{
  uint32_t voters = 0;

  for (int i = 0; i < model->slot_count; i++)
    for (int j = 0; j < state->slots[i].count; j++)
      voters += state->slots[i].replicas[j].is_voter;
  return voters;
}

/** Counts the voters that are alive.
 * @param with_exposed whether those of exposed machines count */
static uint32_t
count_alive_voters (const model_t *model,
                    const model_state_t *state,
                    bool with_exposed)
{
  uint32_t voters = 0;

  for (int i = 0; i < model->slot_count; i++)
    for (int j = 0; j < state->slots[i].count; j++)
      voters += state->slots[i].replicas[j].is_voter
                && state->slots[i].replicas[j].is_alive
                && (with_exposed || !state->slots[i].replicas[j].is_exposed);
  return voters;
}

static uint32_t
count_exposed (const model_t *model, const model_state_t *state)
{
  uint32_t exposed = 0;

  for (int i = 0; i < model->slot_count; i++)
    exposed += state->slots[i].is_exposed;
  return exposed;
}

static bool
has_quorum (const model_t *model, const model_state_t *state)
{
  return 2 * count_alive_voters (model, state, true)
         > count_voters (model, state);
}

bool
model_is_safe (const model_t *model, const model_state_t *state)
{
  return 2 * count_alive_voters (model, state, false)
         > count_voters (model, state);
}

static void
describe_replica (const model_replica_t *replica, GString *text)
{
  g_string_append_printf (
      text, " %d:%s%s%s%s%s%s%s%s%s", replica->machine,
      replica->is_voter    ? "voter"
      : replica->is_member ? "learner"
                           : "joiner",
      replica->is_alive ? "" : ",dead", replica->is_exposed ? ",exposed" : "",
      replica->has_lost_disk ? ",empty" : "",
      replica->is_leaving ? ",leaving" : "", replica->is_heard ? ",heard" : "",
      replica->is_silent ? ",silent" : "",
      replica->is_caught_up ? ",caught-up" : "",
      replica->is_settled ? ",settled" : "");
}

char *
model_describe (const model_t *model, const model_state_t *state)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < model->slot_count; i++)
    {
      g_string_append (text, state->slots[i].is_exposed ? " ![" : " [");
      for (int j = 0; j < state->slots[i].count; j++)
        describe_replica (&state->slots[i].replicas[j], text);
      g_string_append (text, "]");
    }
  return g_string_free (text, FALSE);
}

static void
remove_replica (model_slot_t *slot, int index)
{
  for (int i = index; i + 1 < slot->count; i++)
    slot->replicas[i] = slot->replicas[i + 1];
  slot->count--;
  memset (&slot->replicas[slot->count], 0, sizeof (model_replica_t));
}

/** Clears what a replica can't be, so that equal states look the same. */
static void
normalize_replica (model_replica_t *replica)
{
  bool is_learner = replica->is_member && !replica->is_voter;

  replica->is_heard = replica->is_heard && !replica->is_member;
  replica->is_silent = replica->is_silent && replica->is_member;
  replica->is_caught_up
      = replica->is_caught_up && is_learner && replica->is_alive;
  replica->is_settled
      = replica->is_settled && replica->is_member && !replica->is_silent;
}

static void
normalize (const model_t *model, model_state_t *state)
{
  for (int i = 0; i < model->slot_count; i++)
    for (int j = state->slots[i].count - 1; j >= 0; j--)
      {
        model_replica_t *replica = &state->slots[i].replicas[j];

        normalize_replica (replica);
        if (!replica->is_member && !replica->is_alive)
          remove_replica (&state->slots[i], j);
      }
}

/** Reports a state that follows, in the form that is the same for all states
 * that differ by the order of the slots only. */
static void
report (const expansion_t *expansion,
        const model_state_t *state,
        const char *event)
{
  model_state_t next = *state;

  normalize (expansion->model, &next);
  qsort (next.slots, expansion->model->slot_count, sizeof (model_slot_t),
         compare_slots);
  expansion->visit (expansion->context, &next, event);
}

/** Returns whether each slot is a zone of its own, so that the order of the
 * slots does not matter and a slot needs no number. */
static bool
has_own_zones (const model_t *model)
{
  return model->zone_count == model->slot_count;
}

/** Describes the replicas for the keeper. One that is about to end does not ask
 * to join. */
static size_t
describe (const model_t *model,
          model_state_t *state,
          control_keeper_replica_t *out,
          model_replica_t **replicas)
{
  static const char *const names[MODEL_MAX_SLOTS][2] = {
    { "a", "A" }, { "b", "B" }, { "c", "C" }, { "d", "D" }, { "e", "E" }
  };
  static const char *const zones[MODEL_MAX_SLOTS] = { "1", "2", "3", "4", "5" };
  size_t count = 0;

  for (int i = 0; i < model->slot_count; i++)
    for (int j = 0; j < state->slots[i].count; j++)
      {
        model_replica_t *replica = &state->slots[i].replicas[j];

        if (!replica->is_member && (replica->is_leaving || !replica->is_heard))
          continue;
        replicas[count] = replica;
        out[count] = (control_keeper_replica_t){
          .name = names[i][replica->machine],
          .zone = zones[has_own_zones (model) ? i : state->slots[i].zone],
          .incarnation = count + 1,
          .is_member = replica->is_member,
          .is_voter = replica->is_voter,
          .is_silent = replica->is_silent,
          .is_leaving = replica->is_leaving,
          .is_caught_up = replica->is_caught_up,
          .is_settled = replica->is_settled,
        };
        count++;
      }
  return count;
}

/** Makes the keeper's next change, if it has one and the group has a quorum.
 * The changed members are in force before they are committed, also if they have
 * no quorum. A replica that was removed while it was up asks to join again.
 * @return whether the state has changed */
static bool
make_step (const model_t *model, model_state_t *state)
{
  control_keeper_replica_t described[MAX_REPLICAS];
  model_replica_t *replicas[MAX_REPLICAS];
  size_t count = describe (model, state, described, replicas);
  size_t which = 0;
  control_keeper_step_t step
      = control_keeper_next_step (described, count, model->slot_count, &which);

  if (step == CONTROL_KEEPER_NOTHING || !has_quorum (model, state))
    return false;
  if (step == CONTROL_KEEPER_ADD)
    replicas[which]->is_member = true;
  else if (step == CONTROL_KEEPER_PROMOTE)
    replicas[which]->is_voter = true;
  else
    replicas[which]->is_member = replicas[which]->is_voter = false;
  normalize (model, state);
  return true;
}

static model_replica_t *
find_alive (model_slot_t *slot)
{
  for (int i = 0; i < slot->count; i++)
    if (slot->replicas[i].is_alive)
      return &slot->replicas[i];
  return NULL;
}

/** Reports the states in which one replica of an exposed machine has ended,
 * returned, lost its disk, or announced its end. */
static void
expose_replica (const expansion_t *expansion, int slot, int index)
{
  const model_replica_t *replica
      = &expansion->from->slots[slot].replicas[index];
  model_state_t next = *expansion->from;
  model_replica_t *changed = &next.slots[slot].replicas[index];

  if (!replica->is_exposed)
    return;
  if (replica->is_alive)
    {
      changed->is_alive = false;
      report (expansion, &next, "ended");
      next = *expansion->from;
      changed->is_leaving = replica->is_voter;
      report (expansion, &next, "announced its end");
      return;
    }
  if (replica->has_lost_disk)
    return;
  changed->has_lost_disk = true;
  report (expansion, &next, "lost its disk");
  next = *expansion->from;
  if (find_alive (&next.slots[slot]) != NULL)
    return;
  changed->is_alive = true;
  changed->is_silent = changed->is_leaving = false;
  report (expansion, &next, "returned");
}

static bool
is_address_used (const model_slot_t *slot, uint16_t machine)
{
  for (int i = 0; i < slot->count; i++)
    if (slot->replicas[i].machine == machine
        && (slot->replicas[i].is_alive || !slot->replicas[i].has_lost_disk))
      return true;
  return false;
}

/** Reports the states in which an exposed machine has started with an empty
 * disk, at the address of the last one or at another one. */
static void
start_replica (const expansion_t *expansion, int slot)
{
  const model_slot_t *from = &expansion->from->slots[slot];

  if (from->count == MODEL_SLOT_MEMBERS)
    return;
  for (uint16_t machine = 0; machine < 2; machine++)
    {
      model_state_t next = *expansion->from;
      model_slot_t *to = &next.slots[slot];

      if (is_address_used (from, machine))
        continue;
      to->replicas[to->count++] = (model_replica_t){ .machine = machine,
                                                     .is_alive = true,
                                                     .is_exposed = true };
      report (expansion, &next, "started");
    }
}

static void
learn_of_member (const expansion_t *expansion, int slot, int index)
{
  model_state_t next = *expansion->from;
  model_replica_t *replica = &next.slots[slot].replicas[index];

  if (!replica->is_alive)
    {
      replica->is_silent = !replica->is_silent;
      report (expansion, &next, replica->is_silent ? "silent" : "new leader");
      return;
    }
  if (!replica->is_voter && !replica->is_caught_up)
    {
      replica->is_caught_up = true;
      report (expansion, &next, "caught up");
      next = *expansion->from;
    }
  if (replica->is_exposed || replica->is_settled)
    return;
  replica->is_settled = true;
  report (expansion, &next, "settled");
}

/** Reports the states in which the leader has learned something of a replica,
 * or a new one has not. */
static void
learn_of_replica (const expansion_t *expansion, int slot, int index)
{
  model_state_t next = *expansion->from;
  model_replica_t *replica = &next.slots[slot].replicas[index];

  if (replica->is_member)
    {
      learn_of_member (expansion, slot, index);
      return;
    }
  if (replica->is_leaving)
    return;
  replica->is_heard = !replica->is_heard;
  report (expansion, &next, replica->is_heard ? "heard" : "new leader");
}

/** Returns whether a machine can stop being exposed: it, or its successor, is
 * up and does not go. */
static bool
is_back (const model_slot_t *slot)
{
  for (int i = 0; i < slot->count; i++)
    if (slot->replicas[i].is_alive && slot->replicas[i].is_exposed
        && !slot->replicas[i].is_leaving)
      return true;
  return false;
}

/** The leader knows of the replicas that have ended as planned: an ending one
 * waits for a learner that is about to have had the catch-up time, so its end
 * is longer ago than a leader takes to notice it. */
static void
learn_of_planned_ends (const model_t *model, model_state_t *state)
{
  for (int i = 0; i < model->slot_count; i++)
    for (int j = 0; j < state->slots[i].count; j++)
      {
        model_replica_t *replica = &state->slots[i].replicas[j];

        if (!replica->is_alive && !replica->is_exposed)
          replica->is_silent = true;
      }
}

static void
learn_of_slot (model_slot_t *slot)
{
  for (int i = 0; i < slot->count; i++)
    {
      slot->replicas[i].is_silent = !slot->replicas[i].is_alive;
      slot->replicas[i].is_caught_up = true;
      slot->replicas[i].is_heard = true;
    }
}

/** The catch-up time is over: the leader knows all of the slot, and the keeper
 * has made its changes. */
static void
end_exposure (const expansion_t *expansion, int index)
{
  model_state_t next = *expansion->from;
  model_slot_t *slot = &next.slots[index];

  for (int step = 0; step < MAX_STEPS; step++)
    {
      learn_of_slot (slot);
      learn_of_planned_ends (expansion->model, &next);
      normalize (expansion->model, &next);
      if (!make_step (expansion->model, &next))
        break;
    }
  for (int i = 0; i < slot->count; i++)
    {
      slot->replicas[i].is_settled = slot->replicas[i].is_alive;
      slot->replicas[i].is_exposed = false;
    }
  slot->is_exposed = false;
  report (expansion, &next, "caught-up time over");
}

/** Returns whether a replica that has had the catch-up time can take the vote
 * of the one at @a index. */
static bool
has_settled_successor (const model_slot_t *slot, int index)
{
  for (int i = 0; i < slot->count; i++)
    if (i != index && slot->replicas[i].is_alive
        && !slot->replicas[i].is_leaving
        && (slot->replicas[i].is_settled || slot->replicas[i].is_voter))
      return true;
  return false;
}

/** Returns whether any learner can take a vote that is given away. */
static bool
has_settled_learner (const model_t *model, const model_state_t *state)
{
  for (int i = 0; i < model->slot_count; i++)
    for (int j = 0; j < state->slots[i].count; j++)
      if (state->slots[i].replicas[j].is_settled
          && !state->slots[i].replicas[j].is_voter
          && !state->slots[i].replicas[j].is_leaving)
        return true;
  return false;
}

/** Reports the states in which a machine that is not exposed is stopped as
 * planned, and in which it has ended. */
static void
stop_as_planned (const expansion_t *expansion, int slot, int index)
{
  const model_slot_t *from = &expansion->from->slots[slot];
  model_state_t next = *expansion->from;
  model_replica_t *replica = &next.slots[slot].replicas[index];

  if (!replica->is_alive || replica->is_exposed)
    return;
  if (!replica->is_leaving)
    {
      if (!replica->is_voter || from->is_exposed
          || !has_settled_successor (from, index))
        return;
      replica->is_leaving = true;
    }
  else if (!replica->is_voter)
    replica->is_alive = replica->is_member = false;
  else if (count_voters (expansion->model, expansion->from)
               <= expansion->model->slot_count
           && !has_settled_learner (expansion->model, expansion->from))
    /* It does not wait if nobody can take its vote. */
    replica->is_alive = false;
  report (expansion, &next, "planned stop");
}

/** Reports the state in which a machine is exposed, as it may be lost now. */
static void
expose_machine (const expansion_t *expansion, int slot, int index)
{
  model_state_t next = *expansion->from;
  model_replica_t *replica = &next.slots[slot].replicas[index];

  if (!replica->is_alive || replica->is_leaving)
    return;
  replica->is_exposed = next.slots[slot].is_exposed = true;
  if (count_exposed (expansion->model, &next) <= expansion->model->max_exposed)
    report (expansion, &next, "exposed");
}

static void
expand_slot (const expansion_t *expansion, int index)
{
  const model_slot_t *slot = &expansion->from->slots[index];

  for (int i = 0; i < slot->count; i++)
    {
      learn_of_replica (expansion, index, i);
      stop_as_planned (expansion, index, i);
      if (slot->is_exposed)
        expose_replica (expansion, index, i);
      else
        expose_machine (expansion, index, i);
    }
  if (!slot->is_exposed)
    return;
  start_replica (expansion, index);
  if (is_back (slot))
    end_exposure (expansion, index);
}

void
model_expand (const model_t *model,
              const model_state_t *state,
              model_visit_t *visit,
              void *context)
{
  expansion_t expansion
      = { .model = model, .from = state, .visit = visit, .context = context };
  model_state_t next = *state;

  if (make_step (model, &next))
    report (&expansion, &next, "step");
  for (int i = 0; i < model->slot_count; i++)
    expand_slot (&expansion, i);
}

model_state_t
model_first_state (const model_t *model)
{
  model_state_t first;

  memset (&first, 0, sizeof first);
  for (int i = 0; i < model->slot_count; i++)
    {
      first.slots[i].count = 1;
      if (!has_own_zones (model))
        first.slots[i].zone = i % model->zone_count;
      first.slots[i].replicas[0] = (model_replica_t){ .is_member = true,
                                                      .is_voter = true,
                                                      .is_alive = true,
                                                      .is_settled = true };
    }
  return first;
}

/** Makes all changes that the keeper makes once the leader knows all.
 * @return false if they never end */
static bool
make_all_steps (const model_t *model, model_state_t *state)
{
  for (int step = 0; step < MAX_STEPS; step++)
    {
      for (int i = 0; i < model->slot_count; i++)
        {
          learn_of_slot (&state->slots[i]);
          for (int j = 0; j < state->slots[i].count; j++)
            state->slots[i].replicas[j].is_settled = true;
        }
      normalize (model, state);
      if (!make_step (model, state))
        return true;
    }
  return false;
}

/** Ends the replicas that have announced their end. */
static void
end_leaving (const model_t *model, model_state_t *state)
{
  for (int i = 0; i < model->slot_count; i++)
    for (int j = 0; j < state->slots[i].count; j++)
      if (state->slots[i].replicas[j].is_leaving)
        state->slots[i].replicas[j].is_alive = false;
  normalize (model, state);
}

bool
model_is_live (const model_t *model, const model_state_t *state)
{
  model_state_t next = *state;

  if (count_exposed (model, state) > 0)
    return true;
  if (!make_all_steps (model, &next))
    return false;
  end_leaving (model, &next);
  return make_all_steps (model, &next)
         && count_voters (model, &next) == model->slot_count
         && count_alive_voters (model, &next, true) == model->slot_count;
}
