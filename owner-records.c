#include "owner-records.h"

#include <glib.h>
#include <talloc.h>

/** The open objects of one owner. */
typedef struct
{
  uint64_t incarnation;
  uint32_t batch;       /* sequence of the last batch received */
  bool missed;          /* a batch was lost; cleared by a complete batch */
  GPtrArray *upstreams; /* names by number */
  GHashTable *objects;  /* sequence to owned_object_t */
} record_t;

struct owner_records
{
  owner_records_options_t options;
  GHashTable *by_owner; /* name to record_t */
  metric_t *orphans;
};

GHashTable *
owned_objects_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
owned_objects_put (GHashTable *objects, const owned_object_t *object)
{
  owned_object_t *copy = g_new (owned_object_t, 1);

  *copy = *object;
  g_hash_table_replace (objects, &copy->sequence, copy);
}

static void
free_record (void *data)
{
  record_t *record = data;

  g_ptr_array_free (record->upstreams, TRUE);
  g_hash_table_destroy (record->objects);
  g_free (record);
}

static int
free_records (owner_records_t *records)
{
  g_hash_table_destroy (records->by_owner);
  return 0;
}

owner_records_t *
owner_records_new (void *parent, const owner_records_options_t *options)
{
  owner_records_t *records = talloc_zero (parent, owner_records_t);

  records->options = *options;
  records->by_owner
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_record);
  talloc_set_destructor (records, free_records);
  if (options->metrics != NULL)
    records->orphans = metrics_counter (
        options->metrics, "lwm_orphans_total",
        "Things of owners that are no more, to be released.", NULL);
  return records;
}

static void
report_orphans (owner_records_t *records,
                const char *owner,
                const record_t *record)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, record->objects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const owned_object_t *object = value;
      owners_orphan_t orphan = { .owner = owner,
                                 .incarnation = record->incarnation,
                                 .sequence = object->sequence,
                                 .upstream = g_ptr_array_index (
                                     record->upstreams, object->upstream),
                                 .kind = object->kind };

      if (records->orphans != NULL)
        metric_add (records->orphans, 1);
      if (records->options.orphan != NULL)
        records->options.orphan (&orphan, records->options.orphan_context);
    }
}

void
owner_records_report_dead (owner_records_t *records,
                           const char *instance,
                           uint64_t incarnation)
{
  record_t *record = g_hash_table_lookup (records->by_owner, instance);

  if (record == NULL || record->incarnation > incarnation)
    return;
  report_orphans (records, instance, record);
  g_hash_table_remove (records->by_owner, instance);
}

static record_t *
add_record (owner_records_t *records, const char *owner, uint64_t incarnation)
{
  record_t *record = g_new0 (record_t, 1);

  record->incarnation = incarnation;
  record->upstreams = g_ptr_array_new_with_free_func (g_free);
  record->objects = owned_objects_new ();
  g_hash_table_insert (records->by_owner, g_strdup (owner), record);
  return record;
}

static void
add_upstream_names (record_t *record, const Lwm__OwnedBatch *batch)
{
  /* A gap in the numbers means a lost batch; all names will be sent again. */
  for (size_t i = 0; i < batch->n_upstreams; i++)
    if (batch->first_upstream + i == record->upstreams->len)
      g_ptr_array_add (record->upstreams, g_strdup (batch->upstreams[i]));
}

static void
apply_batch (record_t *record, const Lwm__OwnedBatch *batch)
{
  uint64_t sequence = 0;

  add_upstream_names (record, batch);
  for (size_t i = 0; i + 1 < batch->n_opened; i += 2)
    {
      owned_object_t object
          = { .upstream = (uint32_t)(batch->opened[i + 1] >> OWNED_KIND_BITS),
              .kind = batch->opened[i + 1] & OWNED_KIND_MASK };

      sequence += batch->opened[i];
      object.sequence = sequence;
      if (object.upstream < record->upstreams->len)
        owned_objects_put (record->objects, &object);
    }
  sequence = 0;
  for (size_t i = 0; i < batch->n_closed; i++)
    {
      sequence += batch->closed[i];
      g_hash_table_remove (record->objects, &sequence);
    }
}

void
owner_records_receive (owner_records_t *records,
                       const char *instance,
                       uint64_t incarnation,
                       const Lwm__OwnedBatch *batch)
{
  record_t *record = g_hash_table_lookup (records->by_owner, instance);

  if (record != NULL && record->incarnation > incarnation)
    return;
  if (record != NULL && record->incarnation < incarnation)
    owner_records_report_dead (records, instance, record->incarnation);
  record = g_hash_table_lookup (records->by_owner, instance);
  if (batch->complete && record != NULL)
    {
      g_hash_table_remove (records->by_owner, instance);
      record = NULL;
    }
  if (batch->complete && batch->n_opened == 0 && batch->n_upstreams == 0)
    return;
  if (record == NULL)
    record = add_record (records, instance, incarnation);
  record->missed = !batch->complete
                   && (record->missed || batch->sequence != record->batch + 1);
  record->batch = batch->sequence;
  apply_batch (record, batch);
  if (record->missed)
    records->options.request_resend (instance, records->options.context);
}
