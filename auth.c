#include "auth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <string.h>

#include "base.h"

#define TOKEN_BYTES 32
#define SALT_BYTES  16

static void
to_hex (const unsigned char *bytes, size_t count, char *text)
{
  for (size_t i = 0; i < count; i++)
    snprintf (text + 2 * i, 3, "%02x", bytes[i]);
}

static void
hash_token (const char *salt, const char *token, char hash[AUTH_HASH_SIZE])
{
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  EVP_MD_CTX *context = EVP_MD_CTX_new ();

  if (context == NULL || EVP_DigestInit_ex (context, EVP_sha256 (), NULL) != 1
      || EVP_DigestUpdate (context, salt, strlen (salt)) != 1
      || EVP_DigestUpdate (context, token, strlen (token)) != 1
      || EVP_DigestFinal_ex (context, digest, &size) != 1)
    die ("cannot hash a token");
  EVP_MD_CTX_free (context);
  to_hex (digest, size, hash);
}

void
auth_make_token (char token[AUTH_TOKEN_SIZE],
                 char salt[AUTH_SALT_SIZE],
                 char hash[AUTH_HASH_SIZE])
{
  unsigned char random[TOKEN_BYTES + SALT_BYTES];

  if (RAND_bytes (random, sizeof random) != 1)
    die ("cannot make a random token");
  to_hex (random, TOKEN_BYTES, token);
  to_hex (random + TOKEN_BYTES, SALT_BYTES, salt);
  hash_token (salt, token, hash);
}

const Lwm__Token *
auth_find (const Lwm__Config *config, const char *token)
{
  const Lwm__Token *found = NULL;
  char hash[AUTH_HASH_SIZE];

  /* Every entry is compared, so that the time does not reveal which one
   * matched. */
  for (size_t i = 0; i < config->n_tokens; i++)
    {
      hash_token (config->tokens[i]->salt, token, hash);
      if (strlen (config->tokens[i]->hash) == AUTH_HASH_SIZE - 1
          && CRYPTO_memcmp (hash, config->tokens[i]->hash, AUTH_HASH_SIZE - 1)
                 == 0)
        found = config->tokens[i];
    }
  return found;
}

static bool
is_name_in_list (char **names, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return true;
  return false;
}

bool
auth_may_read_customer (const Lwm__Token *holder, const char *name)
{
  return holder->role == LWM__ROLE__ADMINISTRATOR
         || is_name_in_list (holder->customer, holder->n_customer, name);
}

bool
auth_may_change_service (const Lwm__Token *holder, const char *name)
{
  if (holder->role == LWM__ROLE__ADMINISTRATOR)
    return true;
  return holder->role == LWM__ROLE__OPERATOR
         && is_name_in_list (holder->service, holder->n_service, name);
}

static bool
may_make_change (const Lwm__Token *holder, const configdiff_change_t *change)
{
  if (holder->role == LWM__ROLE__ADMINISTRATOR)
    return true;
  if (holder->role != LWM__ROLE__OPERATOR || change->name == NULL)
    return false;
  if (strcmp (change->section, "customers") == 0)
    return is_name_in_list (holder->customer, holder->n_customer, change->name);
  if (strcmp (change->section, "services") == 0)
    return is_name_in_list (holder->service, holder->n_service, change->name);
  return false;
}

bool
auth_may_apply (const Lwm__Token *holder,
                const configdiff_change_t *changes,
                size_t count,
                const configdiff_change_t **refused)
{
  for (size_t i = 0; i < count; i++)
    if (!may_make_change (holder, &changes[i]))
      {
        *refused = &changes[i];
        return false;
      }
  return true;
}
