#include "queue.h"

#include <string.h>
#include <talloc.h>

/* The requests of one customer in a lane. */
typedef struct
{
  double virtual_finish; /* finish time of the last request added */
  uint64_t tokens;       /* prompt tokens waiting */
  double weight;
} flow_t;

/* Requests of one service, length class and priority, among which customers
 * share fairly. Long prompts have separate lanes, so that a customer's long
 * prompts do not delay its own short ones. */
typedef struct
{
  double virtual_now; /* highest start time of a request sent so far */
  GHashTable *flows;  /* customer to flow_t */
} lane_t;

struct queue
{
  GSequence *waiting;  /* job_t in the order of the queue */
  GHashTable *weights; /* customer to weight */
  GHashTable *lanes;   /* "CLASS PRIORITY SERVICE" to lane_t */
};

static int
queue_destroy (queue_t *queue)
{
  g_sequence_free (queue->waiting);
  g_hash_table_destroy (queue->weights);
  g_hash_table_destroy (queue->lanes);
  return 0;
}

static void
free_lane (gpointer value)
{
  lane_t *lane = value;

  g_hash_table_destroy (lane->flows);
  g_free (lane);
}

queue_t *
queue_new (void *parent)
{
  queue_t *queue = talloc_zero (parent, queue_t);

  queue->waiting = g_sequence_new (NULL);
  queue->weights
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  queue->lanes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_lane);
  talloc_set_destructor (queue, queue_destroy);
  return queue;
}

void
queue_set_weight (queue_t *queue, const char *customer, uint32_t weight)
{
  g_hash_table_insert (queue->weights, g_strdup (customer),
                       GUINT_TO_POINTER (MAX (weight, 1)));
}

static gint
compare_jobs (gconstpointer a, gconstpointer b, gpointer context)
{
  const job_t *one = a;
  const job_t *other = b;

  if (one->priority != other->priority)
    return one->priority > other->priority ? -1 : 1;
  if (one->fair_tag != other->fair_tag)
    return one->fair_tag < other->fair_tag ? -1 : 1;
  if (one->number == other->number)
    return 0;
  return one->number < other->number ? -1 : 1;
}

static lane_t *
find_lane (queue_t *queue, const job_t *job)
{
  char *key = g_strdup_printf ("%d %u %s", job_is_long (job), job->priority,
                               job->service);
  lane_t *lane = g_hash_table_lookup (queue->lanes, key);

  if (lane != NULL)
    {
      g_free (key);
      return lane;
    }
  lane = g_new0 (lane_t, 1);
  lane->flows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (queue->lanes, key, lane);
  return lane;
}

static flow_t *
find_flow (lane_t *lane, const job_t *job)
{
  flow_t *flow = g_hash_table_lookup (lane->flows, job->customer);

  if (flow != NULL)
    return flow;
  flow = g_new0 (flow_t, 1);
  g_hash_table_insert (lane->flows, g_strdup (job->customer), flow);
  return flow;
}

static double
customer_weight (const queue_t *queue, const char *customer)
{
  guint weight
      = GPOINTER_TO_UINT (g_hash_table_lookup (queue->weights, customer));

  return MAX (weight, 1);
}

void
queue_assign_tag (queue_t *queue, job_t *job)
{
  lane_t *lane = find_lane (queue, job);

  job->fair_tag
      = MAX (lane->virtual_now, find_flow (lane, job)->virtual_finish);
}

void
queue_add (queue_t *queue, job_t *job)
{
  flow_t *flow = find_flow (find_lane (queue, job), job);
  double cost = (double)job_max_kv_tokens (job) + 1;

  flow->weight = customer_weight (queue, job->customer);
  flow->virtual_finish = job->fair_tag + cost / flow->weight;
  queue_restore (queue, job);
}

void
queue_restore (queue_t *queue, job_t *job)
{
  find_flow (find_lane (queue, job), job)->tokens += job->prompt_tokens;
  job->place
      = g_sequence_insert_sorted (queue->waiting, job, compare_jobs, NULL);
}

void
queue_remove (queue_t *queue, job_t *job, bool served)
{
  lane_t *lane;

  if (job->place == NULL)
    return;
  lane = find_lane (queue, job);
  find_flow (lane, job)->tokens -= job->prompt_tokens;
  g_sequence_remove (job->place);
  job->place = NULL;
  if (served)
    lane->virtual_now = MAX (lane->virtual_now, job->fair_tag);
}

queue_share_t
queue_customer_share (queue_t *queue, const job_t *job)
{
  lane_t *lane = find_lane (queue, job);
  const flow_t *own = find_flow (lane, job);
  double weight = customer_weight (queue, job->customer);
  double total_weight = weight;
  GHashTableIter flows;
  gpointer flow;

  g_hash_table_iter_init (&flows, lane->flows);
  while (g_hash_table_iter_next (&flows, NULL, &flow))
    if (flow != own && ((flow_t *)flow)->tokens > 0)
      total_weight += ((flow_t *)flow)->weight;
  return (queue_share_t){ .tokens = own->tokens,
                          .share = weight / total_weight };
}

uint32_t
queue_length (const queue_t *queue)
{
  return (uint32_t)g_sequence_get_length (queue->waiting);
}

GSequenceIter *
queue_first (const queue_t *queue)
{
  return g_sequence_get_begin_iter (queue->waiting);
}

uint64_t
queue_tokens_before (const queue_t *queue, const job_t *job)
{
  uint64_t tokens = 0;

  for (GSequenceIter *position = queue_first (queue);
       !g_sequence_iter_is_end (position);
       position = g_sequence_iter_next (position))
    {
      const job_t *other = g_sequence_get (position);

      if (compare_jobs (other, job, NULL) >= 0)
        break;
      if (job_is_long (other) == job_is_long (job)
          && strcmp (other->service, job->service) == 0)
        tokens += other->prompt_tokens;
    }
  return tokens;
}
