#include "quarantine-proofs.h"

#include <glib.h>
#include <talloc.h>

/** Time for which a complete answer speaks for the parts of its prompt. */
#define PROVEN_MS  (30u * 60 * 1000)
#define MAX_PROVEN 8192
/** Time for which other instances are told what was cleared. */
#define CLEARED_MS           5000
#define MAX_CLEARED_PARTS    256
#define MAX_CLEARED_REQUESTS 256

/** A part that proved sound. */
typedef struct
{
  uint64_t part;
  uint64_t answered_ms; /* the last answer */
  GList link;           /* in the order of the answers */
} proven_t;

/** A part or a request against which the evidence was withdrawn. */
typedef struct
{
  uint64_t id;
  uint64_t answered_ms;
  bool is_told; /* other instances may hold evidence against it */
} cleared_t;

struct quarantine_proofs
{
  GHashTable *proven; /* part -> proven_t */
  GQueue order;       /* proven_t, the one answered first at the head */
  GArray *parts;      /* cleared_t */
  GArray *requests;   /* cleared_t */
};

static int
free_proofs (quarantine_proofs_t *proofs)
{
  g_hash_table_destroy (proofs->proven);
  g_array_free (proofs->parts, TRUE);
  g_array_free (proofs->requests, TRUE);
  return 0;
}

quarantine_proofs_t *
quarantine_proofs_new (void *parent)
{
  quarantine_proofs_t *proofs = talloc_zero (parent, quarantine_proofs_t);

  proofs->proven
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&proofs->order);
  proofs->parts = g_array_new (FALSE, FALSE, sizeof (cleared_t));
  proofs->requests = g_array_new (FALSE, FALSE, sizeof (cleared_t));
  talloc_set_destructor (proofs, free_proofs);
  return proofs;
}

static void
remove_oldest (quarantine_proofs_t *proofs)
{
  const proven_t *oldest = g_queue_pop_head_link (&proofs->order)->data;

  g_hash_table_remove (proofs->proven, &oldest->part);
}

static proven_t *
add_proven (quarantine_proofs_t *proofs, uint64_t part)
{
  proven_t *proven;

  if (g_hash_table_size (proofs->proven) >= MAX_PROVEN)
    remove_oldest (proofs);
  proven = g_new0 (proven_t, 1);
  proven->part = part;
  proven->link.data = proven;
  g_hash_table_insert (proofs->proven, &proven->part, proven);
  return proven;
}

void
quarantine_proofs_add_part (quarantine_proofs_t *proofs,
                            uint64_t part,
                            uint64_t answered_ms)
{
  proven_t *proven = g_hash_table_lookup (proofs->proven, &part);

  if (proven != NULL)
    g_queue_unlink (&proofs->order, &proven->link);
  else
    proven = add_proven (proofs, part);
  proven->answered_ms = MAX (proven->answered_ms, answered_ms);
  g_queue_push_tail_link (&proofs->order, &proven->link);
}

uint64_t
quarantine_proofs_part_ms (const quarantine_proofs_t *proofs, uint64_t part)
{
  const proven_t *proven = g_hash_table_lookup (proofs->proven, &part);

  return proven != NULL ? proven->answered_ms : 0;
}

bool
quarantine_proofs_has_part (const quarantine_proofs_t *proofs,
                            uint64_t part,
                            uint64_t now_ms)
{
  uint64_t answered_ms = quarantine_proofs_part_ms (proofs, part);

  return answered_ms > 0 && answered_ms + PROVEN_MS > now_ms;
}

static void
add_cleared (GArray *cleared, guint max_count, const cleared_t *added)
{
  if (cleared->len >= max_count)
    g_array_remove_index (cleared, 0);
  g_array_append_vals (cleared, added, 1);
}

void
quarantine_proofs_clear_part (quarantine_proofs_t *proofs,
                              uint64_t part,
                              uint64_t answered_ms)
{
  cleared_t cleared
      = { .id = part, .answered_ms = answered_ms, .is_told = true };

  add_cleared (proofs->parts, MAX_CLEARED_PARTS, &cleared);
}

/** Returns the latest answer to a request, or NULL. */
static cleared_t *
find_request (const quarantine_proofs_t *proofs, uint64_t request)
{
  for (guint i = proofs->requests->len; i-- > 0;)
    if (g_array_index (proofs->requests, cleared_t, i).id == request)
      return &g_array_index (proofs->requests, cleared_t, i);
  return NULL;
}

uint64_t
quarantine_proofs_request_ms (const quarantine_proofs_t *proofs,
                              uint64_t request)
{
  const cleared_t *known = find_request (proofs, request);

  return known != NULL ? known->answered_ms : 0;
}

void
quarantine_proofs_clear_request (quarantine_proofs_t *proofs,
                                 uint64_t request,
                                 uint64_t answered_ms,
                                 bool is_told)
{
  cleared_t *known = find_request (proofs, request);
  cleared_t cleared
      = { .id = request, .answered_ms = answered_ms, .is_told = is_told };

  if (known == NULL)
    {
      add_cleared (proofs->requests, MAX_CLEARED_REQUESTS, &cleared);
      return;
    }
  known->is_told = known->is_told || is_told;
  known->answered_ms = MAX (known->answered_ms, answered_ms);
}

static void
each_cleared (const GArray *cleared,
              uint64_t now_ms,
              void (*each) (uint64_t id, uint64_t answered_ms, void *context),
              void *context)
{
  for (guint i = cleared->len; i-- > 0;)
    {
      const cleared_t *one = &g_array_index (cleared, cleared_t, i);

      if (one->is_told && one->answered_ms + CLEARED_MS > now_ms)
        each (one->id, one->answered_ms, context);
    }
}

void
quarantine_proofs_each_part (const quarantine_proofs_t *proofs,
                             uint64_t now_ms,
                             void (*each) (uint64_t part,
                                           uint64_t answered_ms,
                                           void *context),
                             void *context)
{
  each_cleared (proofs->parts, now_ms, each, context);
}

void
quarantine_proofs_each_request (const quarantine_proofs_t *proofs,
                                uint64_t now_ms,
                                void (*each) (uint64_t request,
                                              uint64_t answered_ms,
                                              void *context),
                                void *context)
{
  each_cleared (proofs->requests, now_ms, each, context);
}
