/**
 * @file auth.h
 * Authenticates and authorizes calls of the administration API.
 *
 * The configuration holds salted hashes of tokens, never a token. A token has
 * a role and, unless it is an administrator's, a scope: the names of the
 * services and customers that it may read and change. So one team can neither
 * read nor change the services and customers of another team.
 */
#ifndef AUTH_H
#define AUTH_H

#include <stdbool.h>
#include <stddef.h>

#include "config.pb-c.h"
#include "configdiff.h"

#define AUTH_TOKEN_SIZE 65 /**< 64 hexadecimal digits and the NUL */
#define AUTH_SALT_SIZE  33 /**< 32 hexadecimal digits and the NUL */
#define AUTH_HASH_SIZE  65 /**< SHA-256 in hexadecimal digits and the NUL */

/** Creates a random token, its salt and its hash as hexadecimal text. */
void auth_make_token (char token[AUTH_TOKEN_SIZE],
                      char salt[AUTH_SALT_SIZE],
                      char hash[AUTH_HASH_SIZE]);

/**
 * Returns the entry of the configuration that matches @a token, or NULL. It
 * takes the same time for every wrong token, so that response times reveal
 * nothing about the entries. The entry belongs to @a config.
 */
const Lwm__Token *auth_find (const Lwm__Config *config, const char *token);

/** Returns whether the holder may read data of the customer @a name. */
bool auth_may_read_customer (const Lwm__Token *holder, const char *name);

/** Returns whether the holder may drain upstreams of the service @a name and
 * send orders to them. */
bool auth_may_change_service (const Lwm__Token *holder, const char *name);

/**
 * Returns whether the holder may make all @a changes.
 * @param refused set to the first change that is outside the holder's scope;
 *        unchanged when true is returned
 */
bool auth_may_apply (const Lwm__Token *holder,
                     const configdiff_change_t *changes,
                     size_t count,
                     const configdiff_change_t **refused);

#endif
