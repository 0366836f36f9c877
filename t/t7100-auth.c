/* Tests tokens, roles and scopes, and the list of changes between two
 * configurations. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "auth.h"
#include "config.h"

#define BASE                                                                   \
  "zones: [{name: z}]\n"                                                       \
  "size_classes: [{name: s, up_to_tokens: 9, deadline_ms: 9}]\n"               \
  "services: [{name: ours, kind: engine}, {name: theirs, kind: plain}]\n"

static Lwm__Config *
load_config (void *parent, const char *more)
{
  char *text = talloc_asprintf (parent, BASE "%s", more);
  const char *names[] = { "a.yaml" };
  const char *texts[] = { text };
  char *mistakes = NULL;
  Lwm__Config *config = config_load_texts (parent, 1, names, texts, &mistakes);

  g_assert_cmpstr (mistakes, ==, NULL);
  return config;
}

static void
test_only_the_right_token (void)
{
  void *parent = talloc_new (NULL);
  char token[AUTH_TOKEN_SIZE];
  char other[AUTH_TOKEN_SIZE];
  char salt[AUTH_SALT_SIZE];
  char hash[AUTH_HASH_SIZE];
  char more[512];
  Lwm__Config *config;

  auth_make_token (other, salt, hash);
  auth_make_token (token, salt, hash);
  g_snprintf (more, sizeof more,
              "customers: [{name: c}]\ntokens: [{name: ada, role: operator, "
              "salt: %s, hash: %s}]\n",
              salt, hash);
  config = load_config (parent, more);
  g_assert_cmpstr (auth_find (config, token)->name, ==, "ada");
  g_assert_null (auth_find (config, other));
  g_assert_null (auth_find (config, ""));
  /* The hash itself must not work as a token. */
  g_assert_null (auth_find (config, hash));
  g_assert_null (strstr (more, token));
  talloc_free (parent);
}

static void
test_operator_scope (void)
{
  void *parent = talloc_new (NULL);
  Lwm__Config *from = load_config (
      parent,
      "customers: [{name: mine, weight: 1}, {name: other, weight: 1}]\n");
  Lwm__Config *mine = load_config (
      parent,
      "customers: [{name: mine, weight: 2}, {name: other, weight: 1}]\n");
  Lwm__Config *both = load_config (
      parent,
      "customers: [{name: mine, weight: 2}, {name: other, weight: 2}]\n");
  Lwm__Config *scalar = load_config (
      parent, "max_queue: 7\ncustomers: [{name: mine, weight: 1}, "
              "{name: other, weight: 1}]\n");
  char *customers[] = { (char *)"mine" };
  Lwm__Token holder = LWM__TOKEN__INIT;
  const configdiff_change_t *refused = NULL;
  configdiff_change_t *changes;
  size_t count;

  holder.role = LWM__ROLE__OPERATOR;
  holder.customer = customers;
  holder.n_customer = 1;
  changes = configdiff_list (parent, from, mine, &count);
  g_assert_cmpuint (count, ==, 1);
  g_assert_true (auth_may_apply (&holder, changes, count, &refused));
  changes = configdiff_list (parent, from, both, &count);
  g_assert_cmpuint (count, ==, 2);
  g_assert_false (auth_may_apply (&holder, changes, count, &refused));
  g_assert_cmpstr (refused->name, ==, "other");
  changes = configdiff_list (parent, from, scalar, &count);
  g_assert_false (auth_may_apply (&holder, changes, count, &refused));
  g_assert_cmpstr (refused->section, ==, "max_queue");
  g_assert_true (auth_may_read_customer (&holder, "mine"));
  g_assert_false (auth_may_read_customer (&holder, "other"));
  holder.role = LWM__ROLE__VIEWER;
  changes = configdiff_list (parent, from, mine, &count);
  g_assert_false (auth_may_apply (&holder, changes, count, &refused));
  talloc_free (parent);
}

static void
test_diff_names_every_change (void)
{
  void *parent = talloc_new (NULL);
  Lwm__Config *from
      = load_config (parent, "customers: [{name: a}, {name: b}]\n");
  Lwm__Config *to = load_config (
      parent, "number: 4\ncustomers: [{name: b, priority: 3}, {name: c}]\n");
  size_t count;
  configdiff_change_t *changes = configdiff_list (parent, from, to, &count);

  g_assert_cmpuint (count, ==, 3);
  g_assert_cmpint (changes[0].kind, ==, CONFIGDIFF_REMOVED);
  g_assert_cmpstr (changes[0].name, ==, "a");
  g_assert_cmpint (changes[1].kind, ==, CONFIGDIFF_CHANGED);
  g_assert_cmpstr (changes[1].name, ==, "b");
  g_assert_cmpint (changes[2].kind, ==, CONFIGDIFF_ADDED);
  g_assert_cmpstr (changes[2].name, ==, "c");
  configdiff_list (parent, from, from, &count);
  g_assert_cmpuint (count, ==, 0);
  talloc_free (parent);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/auth/only-the-right-token", test_only_the_right_token);
  g_test_add_func ("/auth/scope-of-an-operator", test_operator_scope);
  g_test_add_func ("/auth/diff-names-every-change",
                   test_diff_names_every_change);
  return g_test_run ();
}
