/*
 * Walks through the states of a control group of three or five machines whose
 * members the keeper changes (lib-keeper-model.h). In every state the group
 * must not need a machine that may be lost. Once no machine may be lost, the
 * keeper must get the wanted number of voters, all of machines that are up.
 *
 * The states of three machines are walked through whole. Those of five with two
 * lost are too many (more than 50 million): all states of a limited number of
 * events are, and random series of many events, with fixed seeds.
 * LWM_KEEPER_SERIES gives the number of series.
 */
#include <glib.h>

#include "lib-keeper-model.h"

/** Events of one random series. */
#define SERIES_EVENTS 500
/** Events of a group of five, in any order, that are walked through whole. */
#define FIVE_MAX_EVENTS 20

typedef struct
{
  model_state_t state;
  uint32_t parent;
  const char *event; /* that led here */
  uint32_t depth;    /* least number of events that lead here */
} node_t;

/** States in the order in which they were found, in a hash table of indexes. */
typedef struct
{
  model_t model;
  GArray *nodes;  /* node_t */
  uint32_t *seen; /* index + 1 of a node, or 0 */
  uint32_t seen_size;
  uint32_t current; /* the node whose followers are found */
} walk_t;

static uint32_t
hash_state (const model_state_t *state)
{
  uint64_t hash = 0;

  for (int i = 0; i < MODEL_MAX_SLOTS; i++)
    {
      hash = (hash ^ state->slots[i].bits) * 0x9e3779b97f4a7c15;
      hash ^= hash >> 29;
    }
  return (uint32_t)(hash ^ (hash >> 32));
}

static bool
is_same_state (const model_state_t *a, const model_state_t *b)
{
  for (int i = 0; i < MODEL_MAX_SLOTS; i++)
    if (a->slots[i].bits != b->slots[i].bits)
      return false;
  return true;
}

static const node_t *
get_node (const walk_t *walk, uint32_t index)
{
  return &g_array_index (walk->nodes, node_t, index);
}

/** Finds the place of a state, which is 0 if the state is new. */
static uint32_t *
find_place (const walk_t *walk, const model_state_t *state)
{
  uint32_t place = hash_state (state) & (walk->seen_size - 1);

  while (
      walk->seen[place] != 0
      && !is_same_state (&get_node (walk, walk->seen[place] - 1)->state, state))
    place = (place + 1) & (walk->seen_size - 1);
  return &walk->seen[place];
}

static void
grow_table (walk_t *walk)
{
  g_free (walk->seen);
  walk->seen_size = walk->seen_size > 0 ? 2 * walk->seen_size : 1024;
  walk->seen = g_new0 (uint32_t, walk->seen_size);
  for (uint32_t i = 0; i < walk->nodes->len; i++)
    *find_place (walk, &get_node (walk, i)->state) = i + 1;
}

static void
add_state (void *context, const model_state_t *state, const char *event)
{
  walk_t *walk = context;
  node_t node = { .state = *state, .parent = walk->current, .event = event };
  uint32_t *place;

  if (2 * walk->nodes->len >= walk->seen_size)
    grow_table (walk);
  place = find_place (walk, state);
  if (*place != 0)
    return;
  if (walk->nodes->len > 0)
    node.depth = get_node (walk, walk->current)->depth + 1;
  g_array_append_val (walk->nodes, node);
  *place = walk->nodes->len;
}

static void
print_trace (const walk_t *walk, uint32_t index)
{
  const node_t *node = get_node (walk, index);
  char *text = model_describe (&walk->model, &node->state);

  if (index > 0)
    print_trace (walk, node->parent);
  g_test_message ("%s:%s", node->event, text);
  g_free (text);
}

/** Checks a state; prints what led to it unless it is right. */
static bool
check_state (const walk_t *walk, uint32_t index)
{
  const model_state_t state = get_node (walk, index)->state;
  bool is_safe = model_is_safe (&walk->model, &state);
  bool is_live = model_is_live (&walk->model, &state);

  if (is_safe && is_live)
    return true;
  print_trace (walk, index);
  g_test_message (is_safe ? "The keeper never gets the wanted voters."
                          : "The group needs an exposed machine.");
  return false;
}

static void
begin_walk (walk_t *walk)
{
  model_state_t first = model_first_state (&walk->model);

  walk->nodes = g_array_new (FALSE, FALSE, sizeof (node_t));
  add_state (walk, &first, "first");
}

static void
end_walk (walk_t *walk)
{
  g_array_free (walk->nodes, TRUE);
  g_free (walk->seen);
}

/** Walks through all states that take at most @a max_events events. */
static void
walk_all (const model_t *model, uint32_t max_events)
{
  walk_t walk = { .model = *model };
  bool is_right = true;
  uint32_t depth = 0;

  begin_walk (&walk);
  for (; is_right && walk.current < walk.nodes->len; walk.current++)
    {
      model_state_t state = get_node (&walk, walk.current)->state;

      depth = get_node (&walk, walk.current)->depth;
      is_right = check_state (&walk, walk.current);
      if (depth < max_events)
        model_expand (&walk.model, &state, add_state, &walk);
    }
  g_test_message ("voters=%d exposed=%d states=%u events=%u", model->slot_count,
                  model->max_exposed, walk.nodes->len, depth);
  g_assert_true (is_right);
  g_assert_cmpuint (walk.nodes->len, >, 100);
  end_walk (&walk);
}

typedef struct
{
  GRand *random;
  uint32_t count; /* of states that can follow */
  node_t chosen;
} choice_t;

/** Chooses each of the states that can follow with the same probability. */
static void
choose_state (void *context, const model_state_t *state, const char *event)
{
  choice_t *choice = context;

  choice->count++;
  if (g_rand_int_range (choice->random, 0, (gint32)choice->count) > 0)
    return;
  choice->chosen.state = *state;
  choice->chosen.event = event;
}

/** Follows one series of random events, from a group whose machines are up. */
static bool
walk_series (const model_t *model, uint32_t seed, uint32_t events)
{
  walk_t walk = { .model = *model };
  choice_t choice = { .random = g_rand_new_with_seed (seed) };
  bool is_right = true;

  begin_walk (&walk);
  for (uint32_t i = 0; is_right && i < events; i++)
    {
      model_state_t state = get_node (&walk, i)->state;

      choice.count = 0;
      model_expand (model, &state, choose_state, &choice);
      choice.chosen.parent = i;
      g_array_append_val (walk.nodes, choice.chosen);
      is_right = check_state (&walk, i + 1);
    }
  if (!is_right)
    g_test_message ("voters=%d exposed=%d seed=%u", model->slot_count,
                    model->max_exposed, seed);
  g_rand_free (choice.random);
  end_walk (&walk);
  return is_right;
}

static void
walk_many_series (const model_t *model, uint32_t series)
{
  const char *given = g_getenv ("LWM_KEEPER_SERIES");

  if (given != NULL)
    series = (uint32_t)g_ascii_strtoull (given, NULL, 10);
  for (uint32_t seed = 1; seed <= series; seed++)
    g_assert_true (walk_series (model, seed, SERIES_EVENTS));
}

/* Guards against: a group that loses its quorum for good though no more
 * machines than promised are lost at once, and one that keeps a dead voter or
 * lacks a voter though all machines are up (CONFIG). */
static void
test_three (void)
{
  model_t model = { .slot_count = 3, .max_exposed = 1, .zone_count = 3 };

  walk_all (&model, UINT32_MAX);
}

/* Guards against the same where two machines may be lost at once. */
static void
test_five (void)
{
  model_t model = { .slot_count = 5, .max_exposed = 2, .zone_count = 5 };

  walk_all (&model, FIVE_MAX_EVENTS);
}

/* Guards against the same in long series: lost, replaced, another leader, lost
 * again. */
static void
test_five_series (void)
{
  model_t model = { .slot_count = 5, .max_exposed = 2, .zone_count = 5 };

  walk_many_series (&model, 10000);
}

/* Guards against the same where machines share a zone, so that the zone does
 * not tell whose successor a learner is. */
static void
test_five_in_three_zones (void)
{
  model_t model = { .slot_count = 5, .max_exposed = 2, .zone_count = 3 };

  walk_all (&model, FIVE_MAX_EVENTS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-keeper-states/three", test_three);
  g_test_add_func ("/control-keeper-states/five", test_five);
  g_test_add_func ("/control-keeper-states/five-series", test_five_series);
  g_test_add_func ("/control-keeper-states/five-in-three-zones",
                   test_five_in_three_zones);
  return g_test_run ();
}
