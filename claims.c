#include "claims.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <talloc.h>

#define MAX_NAME_BYTES  63
#define MAX_KEY_BYTES   256
#define MAX_OWNER_BYTES 128

/* Approximate memory of a claim without its strings. */
#define CLAIM_OVERHEAD_BYTES 256

struct claims
{
  GHashTable *table;    /* key -> Lwm__ControlClaim, children of claims */
  uint64_t total_bytes; /* approximate memory of all claims */
};

static int
free_claims (claims_t *claims)
{
  g_hash_table_destroy (claims->table);
  return 0;
}

claims_t *
claims_new (void *parent)
{
  claims_t *claims = talloc_zero (parent, claims_t);

  claims->table = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (claims, free_claims);
  return claims;
}

static uint64_t
claim_bytes (const Lwm__ControlClaim *claim)
{
  return CLAIM_OVERHEAD_BYTES + strlen (claim->key) + strlen (claim->owner)
         + claim->outcome.len;
}

static void
remove_claim (claims_t *claims, Lwm__ControlClaim *claim)
{
  claims->total_bytes -= claim_bytes (claim);
  talloc_free (claim);
}

static void
insert_claim (claims_t *claims, Lwm__ControlClaim *claim)
{
  Lwm__ControlClaim *old = g_hash_table_lookup (claims->table, claim->key);

  /* The key in the table belongs to the old claim, so it is replaced too. */
  g_hash_table_replace (claims->table, claim->key, claim);
  if (old != NULL)
    remove_claim (claims, old);
  claims->total_bytes += claim_bytes (claim);
}

void
claims_restore (claims_t *claims, const Lwm__ControlClaim *claim)
{
  Lwm__ControlClaim *copy = talloc (claims, Lwm__ControlClaim);

  *copy = *claim;
  copy->base.unknown_fields = NULL;
  copy->base.n_unknown_fields = 0;
  copy->key = talloc_strdup (copy, claim->key);
  copy->owner = talloc_strdup (copy, claim->owner);
  copy->outcome.data
      = talloc_memdup (copy, claim->outcome.data, claim->outcome.len);
  insert_claim (claims, copy);
}

void
claims_expire (claims_t *claims, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, claims->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Lwm__ControlClaim *claim = value;

      if (claim->expires_ms > now_ms)
        continue;
      g_hash_table_iter_remove (&iter);
      remove_claim (claims, claim);
    }
}

static bool
is_table_full (claims_t *claims, uint64_t now_ms)
{
  if (g_hash_table_size (claims->table) < CLAIMS_MAX
      && claims->total_bytes < CLAIMS_MAX_TOTAL_BYTES)
    return false;
  claims_expire (claims, now_ms);
  return g_hash_table_size (claims->table) >= CLAIMS_MAX
         || claims->total_bytes >= CLAIMS_MAX_TOTAL_BYTES;
}

static bool
are_claim_fields_valid (const char *customer,
                        const char *service,
                        const char *key,
                        const char *owner)
{
  return strlen (customer) <= MAX_NAME_BYTES
         && strlen (service) <= MAX_NAME_BYTES && *key != '\0'
         && strlen (key) <= MAX_KEY_BYTES && *owner != '\0'
         && strlen (owner) <= MAX_OWNER_BYTES;
}

static Lwm__ControlClaim *
find_live_claim (const claims_t *claims,
                 const char *customer,
                 const char *service,
                 const char *key,
                 uint64_t now_ms)
{
  char *name = g_strdup_printf ("%s\x1f%s\x1f%s", customer, service, key);
  Lwm__ControlClaim *claim = g_hash_table_lookup (claims->table, name);

  g_free (name);
  return claim != NULL && claim->expires_ms > now_ms ? claim : NULL;
}

static Lwm__ControlClaim *
add_claim (claims_t *claims,
           const char *customer,
           const char *service,
           const char *key,
           const char *owner,
           uint64_t attempt)
{
  Lwm__ControlClaim *claim = talloc (claims, Lwm__ControlClaim);

  lwm__control_claim__init (claim);
  claim->key
      = talloc_asprintf (claim, "%s\x1f%s\x1f%s", customer, service, key);
  claim->owner = talloc_strdup (claim, owner);
  claim->attempt = attempt;
  insert_claim (claims, claim);
  return claim;
}

static Lwm__ControlResult
grant_claim (claims_t *claims,
             const Lwm__ControlClaimTake *take,
             uint64_t now_ms,
             Lwm__ControlClaim **current)
{
  Lwm__ControlClaim *claim;

  if (is_table_full (claims, now_ms))
    return LWM__CONTROL_RESULT__RESULT_LIMIT;
  claim = add_claim (claims, take->customer, take->service, take->key,
                     take->owner, take->attempt);
  claim->digest = take->digest;
  claim->state = LWM__CONTROL_CLAIM_STATE__CLAIM_RUNNING;
  claim->expires_ms = now_ms + take->keep_ms;
  *current = claim;
  return LWM__CONTROL_RESULT__RESULT_OK;
}

Lwm__ControlResult
claims_take (claims_t *claims,
             const Lwm__ControlClaimTake *take,
             uint64_t now_ms,
             Lwm__ControlClaim **current)
{
  Lwm__ControlClaim *claim;
  bool same_attempt;

  *current = NULL;
  if (!are_claim_fields_valid (take->customer, take->service, take->key,
                               take->owner)
      || take->attempt == 0 || take->keep_ms == 0)
    return LWM__CONTROL_RESULT__RESULT_BAD_REQUEST;
  claim = find_live_claim (claims, take->customer, take->service, take->key,
                           now_ms);
  *current = claim;
  if (claim == NULL)
    return grant_claim (claims, take, now_ms, current);
  same_attempt = claim->attempt == take->attempt
                 && strcmp (claim->owner, take->owner) == 0;
  if (claim->state == LWM__CONTROL_CLAIM_STATE__CLAIM_RELEASED)
    return same_attempt ? LWM__CONTROL_RESULT__RESULT_NOT_OWNER
                        : grant_claim (claims, take, now_ms, current);
  if (claim->digest != take->digest)
    return LWM__CONTROL_RESULT__RESULT_CONFLICT;
  if (same_attempt && claim->state == LWM__CONTROL_CLAIM_STATE__CLAIM_RUNNING)
    return LWM__CONTROL_RESULT__RESULT_OK;
  return LWM__CONTROL_RESULT__RESULT_EXISTS;
}

static void
record_outcome (claims_t *claims,
                Lwm__ControlClaim *claim,
                const Lwm__ControlClaimFinish *finish)
{
  size_t size_bytes = finish->outcome.len;

  claim->outcome_cut
      = size_bytes > CLAIMS_MAX_OUTCOME_BYTES
        || claims->total_bytes + size_bytes > CLAIMS_MAX_TOTAL_BYTES;
  if (claim->outcome_cut || size_bytes == 0)
    return;
  claim->outcome.data = talloc_memdup (claim, finish->outcome.data, size_bytes);
  claim->outcome.len = size_bytes;
  claims->total_bytes += size_bytes;
}

static Lwm__ControlResult
add_released_claim (claims_t *claims,
                    const Lwm__ControlClaimFinish *finish,
                    uint64_t now_ms,
                    Lwm__ControlClaim **current)
{
  Lwm__ControlClaim *claim;

  if (is_table_full (claims, now_ms))
    return LWM__CONTROL_RESULT__RESULT_LIMIT;
  claim = add_claim (claims, finish->customer, finish->service, finish->key,
                     finish->owner, finish->attempt);
  claim->state = LWM__CONTROL_CLAIM_STATE__CLAIM_RELEASED;
  claim->expires_ms = now_ms + finish->keep_ms;
  *current = claim;
  return LWM__CONTROL_RESULT__RESULT_OK;
}

Lwm__ControlResult
claims_finish (claims_t *claims,
               const Lwm__ControlClaimFinish *finish,
               uint64_t now_ms,
               Lwm__ControlClaim **current)
{
  bool release = finish->state == LWM__CONTROL_CLAIM_STATE__CLAIM_RELEASED;
  Lwm__ControlClaim *claim;

  *current = NULL;
  if (!are_claim_fields_valid (finish->customer, finish->service, finish->key,
                               finish->owner)
      || finish->state == LWM__CONTROL_CLAIM_STATE__CLAIM_RUNNING)
    return LWM__CONTROL_RESULT__RESULT_BAD_REQUEST;
  claim = find_live_claim (claims, finish->customer, finish->service,
                           finish->key, now_ms);
  *current = claim;
  if (claim == NULL)
    return release ? add_released_claim (claims, finish, now_ms, current)
                   : LWM__CONTROL_RESULT__RESULT_NOT_FOUND;
  if (claim->attempt != finish->attempt
      || strcmp (claim->owner, finish->owner) != 0)
    return LWM__CONTROL_RESULT__RESULT_NOT_OWNER;
  if (claim->state == finish->state)
    return LWM__CONTROL_RESULT__RESULT_OK;
  if (claim->state != LWM__CONTROL_CLAIM_STATE__CLAIM_RUNNING)
    return LWM__CONTROL_RESULT__RESULT_NOT_OWNER;
  claim->state = finish->state;
  if (finish->keep_ms > 0)
    claim->expires_ms = now_ms + finish->keep_ms;
  if (!release)
    record_outcome (claims, claim, finish);
  return LWM__CONTROL_RESULT__RESULT_OK;
}

size_t
claims_count (const claims_t *claims)
{
  return g_hash_table_size (claims->table);
}

Lwm__ControlClaim **
claims_list (const claims_t *claims, void *parent, size_t *count)
{
  Lwm__ControlClaim **list = talloc_array (
      parent, Lwm__ControlClaim *, g_hash_table_size (claims->table) + 1);
  GHashTableIter iter;
  gpointer value;

  *count = 0;
  g_hash_table_iter_init (&iter, claims->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    list[(*count)++] = value;
  return list;
}
