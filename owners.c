#include "owners.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "owner-records.h"

#define RECORDERS 2
/* Minimum interval of batches of opened objects; the first is sent at once. */
#define OPEN_BATCH_MS 30
/* Bound of the delay of closes. A late report costs only a needless release. */
#define CLOSE_BATCH_MS 500
#define HEARTBEAT_MS   5000 /* lets a recorder detect lost batches */
#define IDLE_TICK_MS   1000

/** An instance that stores this instance's records. */
typedef struct
{
  char *name;
  uint32_t batch;      /* sequence of the last batch sent to it */
  uint32_t names_sent; /* number of upstream names sent to it */
  bool resync;         /* the next batch must contain all objects */
  bool unconfirmed;    /* the last batch had changes; a heartbeat must follow */
} recorder_t;

struct owners
{
  owners_options_t options;
  char *instance;
  uint64_t last_sequence;
  GHashTable *objects; /* sequence to owned_object_t */
  GPtrArray *upstreams;
  GHashTable *upstream_numbers; /* name to number + 1 */
  GArray *opened;               /* sequences not yet sent */
  GArray *closed;
  uint64_t open_sent_at_ms;
  uint64_t close_since_ms;
  uint64_t heartbeat_at_ms;
  GPtrArray *recorders;
  owner_records_t *records; /* of other owners */
};

static void
free_recorder (void *data)
{
  recorder_t *recorder = data;

  g_free (recorder->name);
  g_free (recorder);
}

static int
free_owners (owners_t *owners)
{
  g_hash_table_destroy (owners->objects);
  g_ptr_array_free (owners->upstreams, TRUE);
  g_hash_table_destroy (owners->upstream_numbers);
  g_array_free (owners->opened, TRUE);
  g_array_free (owners->closed, TRUE);
  g_ptr_array_free (owners->recorders, TRUE);
  return 0;
}

static double
read_open_count (void *context)
{
  return owners_open_count (context);
}

static void
add_metrics (owners_t *owners)
{
  metrics_t *metrics = owners->options.metrics;

  if (metrics == NULL)
    return;
  metrics_gauge_read (metrics, "lwm_owned_open",
                      "Streams, reservations and KV this instance has open.",
                      NULL, read_open_count, owners);
}

static void
request_resend (const char *instance, void *context)
{
  owners_t *owners = context;
  Lwm__OwnedBatch batch = LWM__OWNED_BATCH__INIT;

  batch.resend = true;
  owners->options.send (instance, &batch, owners->options.context);
}

owners_t *
owners_new (void *parent, const owners_options_t *options)
{
  owners_t *owners = talloc_zero (parent, owners_t);
  owner_records_options_t records = { .metrics = options->metrics,
                                      .orphan = options->orphan,
                                      .orphan_context = options->orphan_context,
                                      .request_resend = request_resend };

  owners->options = *options;
  owners->instance = talloc_strdup (owners, options->instance);
  owners->objects = owned_objects_new ();
  owners->upstreams = g_ptr_array_new_with_free_func (g_free);
  owners->upstream_numbers = g_hash_table_new (g_str_hash, g_str_equal);
  owners->opened = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  owners->closed = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  owners->recorders = g_ptr_array_new_with_free_func (free_recorder);
  records.context = owners;
  owners->records = owner_records_new (owners, &records);
  talloc_set_destructor (owners, free_owners);
  add_metrics (owners);
  return owners;
}

void
owners_set_incarnation (owners_t *owners, uint64_t incarnation)
{
  owners->options.incarnation = incarnation;
}

uint64_t
owners_next_sequence (owners_t *owners)
{
  return ++owners->last_sequence;
}

uint32_t
owners_send_wait_ms (const owners_t *owners, uint64_t sequence, uint64_t now_ms)
{
  uint64_t due_ms = owners->open_sent_at_ms + OPEN_BATCH_MS;

  if (owners->recorders->len == 0)
    return 0;
  for (guint i = 0; i < owners->opened->len; i++)
    if (g_array_index (owners->opened, uint64_t, i) == sequence)
      return due_ms > now_ms ? (uint32_t)(due_ms - now_ms) : 1;
  return 0;
}

uint32_t
owners_open_count (const owners_t *owners)
{
  return g_hash_table_size (owners->objects);
}

static uint32_t
intern_upstream (owners_t *owners, const char *name)
{
  void *known = g_hash_table_lookup (owners->upstream_numbers, name);
  char *copy;

  if (known != NULL)
    return GPOINTER_TO_UINT (known) - 1;
  copy = g_strdup (name);
  g_ptr_array_add (owners->upstreams, copy);
  g_hash_table_insert (owners->upstream_numbers, copy,
                       GUINT_TO_POINTER (owners->upstreams->len));
  return owners->upstreams->len - 1;
}

static void
request_tick (const owners_t *owners)
{
  if (owners->options.wake != NULL)
    owners->options.wake (owners->options.context);
}

void
owners_open (owners_t *owners,
             uint64_t sequence,
             const char *upstream,
             Lwm__ObjectKind kind)
{
  owned_object_t object = { .sequence = sequence,
                            .upstream = intern_upstream (owners, upstream),
                            .kind = kind };

  owned_objects_put (owners->objects, &object);
  g_array_append_val (owners->opened, sequence);
  if (owners->opened->len == 1)
    request_tick (owners);
}

void
owners_close (owners_t *owners, uint64_t sequence)
{
  if (!g_hash_table_remove (owners->objects, &sequence))
    return;
  for (guint i = 0; i < owners->opened->len; i++)
    if (g_array_index (owners->opened, uint64_t, i) == sequence)
      {
        /* The object was not reported to any recorder yet. */
        g_array_remove_index_fast (owners->opened, i);
        return;
      }
  g_array_append_val (owners->closed, sequence);
}

static uint64_t
rendezvous_weight (const char *owner, const char *candidate)
{
  XXH64_hash_t seed = XXH64 (owner, strlen (owner), 0);

  return XXH64 (candidate, strlen (candidate), seed);
}

/** Rendezvous hashing: chooses the candidates of highest weight, in order.
 * Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
 * 1998. */
static size_t
choose_recorders (const owners_t *owners,
                  const char *const *instances,
                  size_t count,
                  const char *chosen[RECORDERS])
{
  uint64_t weights[RECORDERS] = { 0 };
  size_t found = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t weight = rendezvous_weight (owners->instance, instances[i]);
      size_t position = found;

      if (strcmp (instances[i], owners->instance) == 0)
        continue;
      while (position > 0 && weights[position - 1] < weight)
        position--;
      if (position == RECORDERS)
        continue;
      found = MIN (found + 1, (size_t)RECORDERS);
      for (size_t j = found - 1; j > position; j--)
        {
          weights[j] = weights[j - 1];
          chosen[j] = chosen[j - 1];
        }
      weights[position] = weight;
      chosen[position] = instances[i];
    }
  return found;
}

static recorder_t *
find_recorder (const owners_t *owners, const char *name)
{
  for (guint i = 0; i < owners->recorders->len; i++)
    {
      recorder_t *recorder = g_ptr_array_index (owners->recorders, i);

      if (strcmp (recorder->name, name) == 0)
        return recorder;
    }
  return NULL;
}

/** Tells a recorder to drop this instance's records. */
static void
dismiss_recorder (owners_t *owners, const recorder_t *recorder)
{
  Lwm__OwnedBatch batch = LWM__OWNED_BATCH__INIT;

  batch.complete = true;
  batch.sequence = recorder->batch + 1;
  owners->options.send (recorder->name, &batch, owners->options.context);
}

void
owners_set_live (owners_t *owners, const char *const *instances, size_t count)
{
  const char *chosen[RECORDERS];
  size_t found = choose_recorders (owners, instances, count, chosen);

  for (guint i = owners->recorders->len; i > 0; i--)
    {
      recorder_t *recorder = g_ptr_array_index (owners->recorders, i - 1);
      bool is_chosen = false;

      for (size_t j = 0; j < found; j++)
        is_chosen = is_chosen || strcmp (chosen[j], recorder->name) == 0;
      if (is_chosen)
        continue;
      dismiss_recorder (owners, recorder);
      g_ptr_array_remove_index (owners->recorders, i - 1);
    }
  for (size_t j = 0; j < found; j++)
    if (find_recorder (owners, chosen[j]) == NULL)
      {
        recorder_t *recorder = g_new0 (recorder_t, 1);

        recorder->name = g_strdup (chosen[j]);
        recorder->resync = g_hash_table_size (owners->objects) > 0;
        g_ptr_array_add (owners->recorders, recorder);
        request_tick (owners);
      }
}

static int
compare_sequences (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return (left > right) - (left < right);
}

/** Packs sequences as differences to the preceding one, to keep them short. */
static void
pack_opened (const owners_t *owners,
             void *scratch,
             GArray *sequences,
             Lwm__OwnedBatch *batch)
{
  uint64_t before = 0;

  g_array_sort (sequences, compare_sequences);
  batch->opened = talloc_array (scratch, uint64_t, sequences->len * 2 + 1);
  for (guint i = 0; i < sequences->len; i++)
    {
      uint64_t sequence = g_array_index (sequences, uint64_t, i);
      const owned_object_t *object
          = g_hash_table_lookup (owners->objects, &sequence);

      if (object == NULL)
        continue;
      batch->opened[batch->n_opened++] = sequence - before;
      batch->opened[batch->n_opened++]
          = ((uint64_t)object->upstream << OWNED_KIND_BITS) | object->kind;
      before = sequence;
    }
}

static void
pack_closed (void *scratch, GArray *sequences, Lwm__OwnedBatch *batch)
{
  uint64_t before = 0;

  g_array_sort (sequences, compare_sequences);
  batch->closed = talloc_array (scratch, uint64_t, sequences->len + 1);
  for (guint i = 0; i < sequences->len; i++)
    {
      uint64_t sequence = g_array_index (sequences, uint64_t, i);

      batch->closed[batch->n_closed++] = sequence - before;
      before = sequence;
    }
}

static GArray *
list_open (const owners_t *owners)
{
  GArray *sequences = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, owners->objects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_val (sequences, ((owned_object_t *)value)->sequence);
  return sequences;
}

static void
send_batch (owners_t *owners, recorder_t *recorder)
{
  void *scratch = talloc_new (NULL);
  Lwm__OwnedBatch batch = LWM__OWNED_BATCH__INIT;

  batch.complete = recorder->resync;
  if (batch.complete)
    {
      GArray *sequences = list_open (owners);

      recorder->names_sent = 0;
      pack_opened (owners, scratch, sequences, &batch);
      g_array_free (sequences, TRUE);
    }
  else
    {
      pack_opened (owners, scratch, owners->opened, &batch);
      pack_closed (scratch, owners->closed, &batch);
    }
  batch.sequence = ++recorder->batch;
  batch.first_upstream = recorder->names_sent;
  batch.n_upstreams = owners->upstreams->len - recorder->names_sent;
  batch.upstreams = (char **)owners->upstreams->pdata + recorder->names_sent;
  recorder->names_sent = owners->upstreams->len;
  recorder->unconfirmed = batch.n_opened > 0 || batch.n_closed > 0;
  recorder->resync = false;
  owners->options.send (recorder->name, &batch, owners->options.context);
  talloc_free (scratch);
}

static void
send_batches (owners_t *owners)
{
  for (guint i = 0; i < owners->recorders->len; i++)
    send_batch (owners, g_ptr_array_index (owners->recorders, i));
  g_array_set_size (owners->opened, 0);
  g_array_set_size (owners->closed, 0);
}

static void
send_complete_and_heartbeats (owners_t *owners, uint64_t now_ms)
{
  bool is_due = now_ms >= owners->heartbeat_at_ms + HEARTBEAT_MS;
  bool has_open = owners_open_count (owners) > 0;

  for (guint i = 0; i < owners->recorders->len; i++)
    {
      recorder_t *recorder = g_ptr_array_index (owners->recorders, i);

      if (recorder->resync || (is_due && (recorder->unconfirmed || has_open)))
        send_batch (owners, recorder);
    }
  if (is_due)
    owners->heartbeat_at_ms = now_ms;
}

uint32_t
owners_tick (owners_t *owners, uint64_t now_ms)
{
  uint64_t open_due_ms = owners->open_sent_at_ms + OPEN_BATCH_MS;

  if (owners->closed->len == 0)
    owners->close_since_ms = now_ms;
  if ((owners->opened->len > 0 && now_ms >= open_due_ms)
      || now_ms >= owners->close_since_ms + CLOSE_BATCH_MS)
    {
      send_batches (owners);
      owners->open_sent_at_ms = now_ms;
    }
  else
    send_complete_and_heartbeats (owners, now_ms);
  if (owners->opened->len > 0)
    return (uint32_t)(open_due_ms - now_ms);
  return owners->closed->len > 0 ? CLOSE_BATCH_MS : IDLE_TICK_MS;
}

void
owners_report_dead_owner (owners_t *owners,
                          const char *instance,
                          uint64_t incarnation)
{
  owner_records_report_dead (owners->records, instance, incarnation);
}

static void
schedule_resend (owners_t *owners, const char *instance)
{
  recorder_t *recorder = find_recorder (owners, instance);

  if (recorder == NULL)
    return;
  recorder->resync = true;
  request_tick (owners);
}

void
owners_receive (owners_t *owners,
                const char *instance,
                uint64_t incarnation,
                const Lwm__OwnedBatch *batch)
{
  if (batch->resend)
    schedule_resend (owners, instance);
  else
    owner_records_receive (owners->records, instance, incarnation, batch);
}
