/* Tests which configurations platform/ decodes, whole or in steps, and which it
 * must refuse. */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "platform/announcement.h"
#include "platform/config-internal.h"
#include "platform/config.h"

static const char good_config[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"r\",\"host\":\"h\",\"path-prefix\":\"/a/\","
      "\"kind\":\"stream\",\"timeout-ms\":10000,\"goal-ms\":300,"
      "\"priority\":1,\"backends\":[{\"service\":\"s\",\"weight\":90},"
      "{\"service\":\"t\",\"weight\":10}],\"attempts\":2,\"public\":false,"
      "\"sticky\":true,\"resumable\":true,\"gap-target-ms\":250},"
      "{\"name\":\"q\",\"host\":\"h\",\"path-prefix\":\"/b/\","
      "\"kind\":\"unsafe\",\"timeout-ms\":1000,\"service\":\"t\"}],"
      "\"services\":[{\"name\":\"s\",\"health-path\":\"/health\","
      "\"cold-start-s\":3.0,\"cold-per-s\":18,"
      "\"max-conns\":9,\"engine\":{\"slots\":16,\"kv-capacity\":232000,"
      "\"stride\":43,\"step_ms\":1.02,\"per_seq_ms\":0.002,"
      "\"context_per_k\":0.004,\"read_per_s\":206000.0,\"pairs_per_m\":0.138,"
      "\"chunk\":2048,\"usual\":{\"prompt\":12328,\"answer\":1303}}},"
      "{\"name\":\"t\"}],"
      "\"limits\":{\"idle-timeout-ms\":15000},"
      "\"tenants\":[{\"name\":\"c\",\"api-keys\":[\"k1\",\"k2\"],"
      "\"priority\":0}]}";

/** Reads a configuration as one object, and by the function for all callers,
 * which must agree. */
static gateway_config_t *
read_config (void *parent, const char *text)
{
  const uint8_t *bytes = (const uint8_t *)text;
  char *why = NULL;
  gateway_config_t *whole
      = config_read_whole (parent, bytes, strlen (text), &why);
  gateway_config_t *config
      = platform_config_read (parent, bytes, strlen (text), &why);

  g_assert_true ((whole != NULL) == (config != NULL));
  return whole;
}

static void
test_config (void)
{
  void *parent = talloc_new (NULL);
  gateway_config_t *config = read_config (parent, good_config);
  const gateway_route_t *route;

  g_assert_nonnull (config);
  g_assert_cmpuint (config->number, ==, 7);
  route = gateway_config_route (config, "h", "/a/b");
  g_assert_cmpint (route->kind, ==, ROUTE_STREAM);
  g_assert_true (route->is_resumable);
  g_assert_cmpuint (route->target_ms, ==, 300);
  g_assert_cmpuint (route->gap_target_ms, ==, 250);
  /* Eight pauses, which is more than four targets. */
  g_assert_cmpuint (route->patience_ms, ==, 2000);
  g_assert_cmpuint (route->target_count, ==, 2);
  g_assert_cmpint (gateway_config_route (config, "h", "/b/")->kind, ==,
                   ROUTE_UNSAFE);
  g_assert_cmpuint (config->services[0].engine->kv_tokens, ==, 232000);
  g_assert_cmpuint (config->services[0].engine->read_step_tokens, ==, 2048);
  g_assert_null (config->services[1].engine);
  g_assert_cmpfloat (config->services[0].cold_start_s, ==, 3);
  g_assert_cmpfloat (config->services[0].cold_per_s, ==, 18);
  g_assert_cmpfloat (config->services[1].cold_start_s, ==, 0);
  g_assert_cmpfloat (config->services[1].cold_per_s, ==, 0);
  g_assert_cmpstr (gateway_config_customer (config, "k2")->name, ==, "c");
  g_assert_cmpuint (config->limits.idle_timeout_ms, ==, 15000);
  talloc_free (parent);
}

/** Returns the good configuration with one part replaced. */
static char *
replace_part (const char *part, const char *other)
{
  char **pieces = g_strsplit (good_config, part, 2);
  char *text;

  g_assert_nonnull (pieces[1]);
  text = g_strjoinv (other, pieces);
  g_strfreev (pieces);
  return text;
}

static void
test_config_refused (void)
{
  static const struct
  {
    const char *part;
    const char *other;
  } cases[] = {
    { "\"version\":7", "\"version\":\"7\"" },
    { "\"version\":7", "\"version\":7.5" },
    { "\"version\":7", "\"version\":0" },
    { "\"version\":7", "\"version\":1e300" },
    { "\"version\":7,", "" },
    { "\"kind\":\"stream\"", "\"kind\":\"river\"" },
    { "\"timeout-ms\":10000", "\"timeout-ms\":0" },
    { "\"timeout-ms\":10000", "\"timeout-ms\":-5" },
    { "\"service\":\"s\",\"weight\":90", "\"service\":\"x\",\"weight\":90" },
    { "\"weight\":90},{\"service\":\"t\",\"weight\":10", "\"weight\":0" },
    { "\"path-prefix\":\"/b/\"", "\"path-prefix\":\"/a/\"" },
    { "\"api-keys\":[\"k1\",\"k2\"]", "\"api-keys\":[1]" },
    { "\"priority\":0}]", "\"priority\":0},{\"name\":\"d\",\"api-keys\":"
                          "[\"k2\"]}]" },
    { "\"routes\":[", "\"routes\":[5," },
    { "\"tenants\":[", "\"tenants\":{\"a\":[" },
    { "\"public\":false", "\"public\":\"no\"" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      void *parent = talloc_new (NULL);
      char *text = replace_part (cases[i].part, cases[i].other);

      g_test_message ("%s -> %s", cases[i].part, cases[i].other);
      g_assert_null (read_config (parent, text));
      g_free (text);
      talloc_free (parent);
    }
}

/** Every number of a configuration but its version may arrive with a fraction.
 */
static void
test_config_fractions (void)
{
  void *parent = talloc_new (NULL);
  char **pieces = g_strsplit (good_config, "\"version\":7", 2);
  GRegex *whole = g_regex_new ("(\"[a-z-]+\":\\d+)(?=[,}])", 0, 0, NULL);
  char *rest = g_regex_replace (whole, pieces[1], -1, 0, "\\1.4", 0, NULL);
  char *text = g_strconcat (pieces[0], "\"version\":7", rest, NULL);
  gateway_config_t *config = read_config (parent, text);
  const gateway_route_t *route;

  g_assert_nonnull (strstr (text, "\"slots\":16.4"));
  g_assert_nonnull (config);
  route = gateway_config_route (config, "h", "/a/b");
  g_assert_cmpuint (route->timeout_ms, ==, 10001);
  g_assert_cmpuint (route->target_ms, ==, 300);
  g_assert_cmpuint (route->attempts, ==, 2);
  g_assert_cmpuint (route->targets[0].weight, ==, 90400);
  g_assert_cmpuint (route->targets[1].weight, ==, 10400);
  g_assert_cmpuint (config->services[0].max_connections, ==, 9);
  g_assert_cmpuint (config->services[0].engine->slots, ==, 16);
  g_assert_cmpuint (config->services[0].engine->steps_per_pass, ==, 44);
  g_assert_cmpuint (config->limits.idle_timeout_ms, ==, 15000);
  g_free (text);
  g_free (rest);
  g_regex_unref (whole);
  g_strfreev (pieces);
  talloc_free (parent);
}

/** Every truncated text is refused without a fault. */
static void
test_config_truncated (void)
{
  for (size_t length = 0; length < strlen (good_config); length++)
    {
      void *parent = talloc_new (NULL);
      char *text = g_strndup (good_config, length);

      g_assert_null (read_config (parent, text));
      g_free (text);
      talloc_free (parent);
    }
}

/** Reads as many routes as a large configuration has. */
static void
test_config_large (void)
{
  void *parent = talloc_new (NULL);
  GString *text
      = g_string_new ("{\"version\":1,\"services\":[{\"name\":\"t\"}],"
                      "\"routes\":[");
  gateway_config_t *config;

  for (int i = 0; i < 20000; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"r%d\",\"host\":\"h\","
                            "\"path-prefix\":\"/x%d/\",\"kind\":\"safe\","
                            "\"timeout-ms\":1000,\"service\":\"t\"}",
                            i > 0 ? "," : "", i, i);
  g_string_append (text, "]}");
  config = read_config (parent, text->str);
  g_assert_nonnull (config);
  g_assert_cmpstr (gateway_config_route (config, "h", "/x19999/y")->name, ==,
                   "r19999");
  g_string_free (text, TRUE);
  talloc_free (parent);
}

/** Returns a configuration with @a count routes; @a timeout is that of the
 * first. */
static GString *
make_many_routes (uint64_t number, int count, int timeout)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text,
                   "{ \"version\" : %" G_GUINT64_FORMAT
                   ", \"x\":{\"routes\":[1]}, \"routes\" : [ ",
                   number);
  for (int i = 0; i < count; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"r,%d]\\\"\",\"host\":\"h\",\"path-prefix\":\"/%d/\","
        "\"kind\":\"safe\",\"timeout-ms\":%d,\"service\":\"t\"}",
        i == 0 ? "" : " ,\n", i, i, i == 0 ? timeout : 1000);
  g_string_append (text, " ], \"services\":[{\"name\":\"t\"}]}");
  return text;
}

/** Reads a whole configuration in steps; returns NULL when it is invalid. */
static gateway_config_t *
read_stepwise (platform_config_reader_t *reader,
               void *parent,
               const GString *text,
               uint32_t *steps)
{
  gateway_config_t *config = NULL;
  char *why = NULL;

  platform_config_begin (reader, (const uint8_t *)text->str, text->len);
  for (*steps = 1;; (*steps)++)
    switch (platform_config_step (reader, parent, &config, &why))
      {
      case CONFIG_PARSING:
        break;
      case CONFIG_PARSED:
        return config;
      case CONFIG_INVALID:
        g_assert_nonnull (why);
        return NULL;
      }
}

/** A change of one route among thousands is read in few steps, and the previous
 * configuration stays valid while it is in use. */
static void
test_config_by_steps (void)
{
  void *parent = talloc_new (NULL);
  platform_config_reader_t *reader = platform_config_reader_new (parent);
  GString *text = make_many_routes (1, 2200, 500);
  GString *changed = make_many_routes (2, 2200, 700);
  gateway_config_t *first;
  gateway_config_t *second;
  uint32_t first_steps;
  uint32_t second_steps;

  first = read_stepwise (reader, parent, text, &first_steps);
  second = read_stepwise (reader, parent, changed, &second_steps);
  g_assert_cmpuint (first_steps, >, 20);
  g_assert_cmpuint (second_steps, <, 6);
  g_assert_cmpuint (first->route_count, ==, 2200);
  g_assert_cmpuint (second->route_count, ==, 2200);
  g_assert_cmpuint (gateway_config_route (first, "h", "/0/x")->timeout_ms, ==,
                    500);
  talloc_free (first);
  g_assert_cmpuint (gateway_config_route (second, "h", "/0/x")->timeout_ms, ==,
                    700);
  g_assert_cmpstr (gateway_config_route (second, "h", "/77/")->name, ==,
                   "r,77]\"");
  talloc_free (reader);
  g_assert_cmpstr (gateway_config_route (second, "h", "/78/")->name, ==,
                   "r,78]\"");
  g_string_free (text, TRUE);
  g_string_free (changed, TRUE);
  talloc_free (parent);
}

/** Unusual notations of the list of routes give the same result when read in
 * steps. */
static void
test_config_by_steps_unusual (void)
{
  static const char *const lists[] = {
    "\"routes\":[%s],\"routes\":[]",
    "\"routes\":[],\"routes\":[%s]",
    "\"rout\\u0065s\":[%s]",
  };
  static const size_t counts[] = { 0, 1, 1 };
  const char *route = "{\"name\":\"r\",\"host\":\"h\",\"path-prefix\":\"/\","
                      "\"kind\":\"safe\",\"timeout-ms\":1,\"service\":\"t\"}";
  void *parent = talloc_new (NULL);
  platform_config_reader_t *reader = platform_config_reader_new (parent);

  for (size_t i = 0; i < G_N_ELEMENTS (lists); i++)
    {
      char **parts = g_strsplit (lists[i], "%s", 2);
      char *list = g_strjoinv (route, parts);
      GString *text = g_string_new (NULL);
      gateway_config_t *whole;
      gateway_config_t *stepwise;
      uint32_t steps;

      g_string_printf (
          text, "{\"version\":1,%s,\"services\":[{\"name\":\"t\"}]}", list);
      whole = read_config (parent, text->str);
      stepwise = read_stepwise (reader, parent, text, &steps);
      g_assert_nonnull (whole);
      g_assert_nonnull (stepwise);
      g_assert_cmpuint (whole->route_count, ==, counts[i]);
      g_assert_cmpuint (stepwise->route_count, ==, counts[i]);
      g_string_free (text, TRUE);
      g_free (list);
      g_strfreev (parts);
    }
  talloc_free (parent);
}

/** A text that cannot be read as a whole cannot be read in steps either,
 * wherever it is truncated. */
static void
test_config_by_steps_truncated (void)
{
  void *parent = talloc_new (NULL);
  platform_config_reader_t *reader = platform_config_reader_new (parent);
  GString *text = make_many_routes (1, 3, 500);
  GString *whole = g_string_new (text->str);
  uint32_t steps;

  for (gsize size = 0; size < whole->len; size++)
    {
      g_string_truncate (text, 0);
      g_string_append_len (text, whole->str, (gssize)size);
      g_assert_null (read_stepwise (reader, parent, text, &steps));
    }
  g_assert_nonnull (read_stepwise (reader, parent, whole, &steps));
  g_string_assign (text, good_config);
  g_assert_nonnull (read_stepwise (reader, parent, text, &steps));
  g_string_free (text, TRUE);
  g_string_free (whole, TRUE);
  talloc_free (parent);
}

/** Returns a message that is no JSON: a quotation mark in a comment hides its
 * opening brackets from a check that does not know comments. */
static GString *
new_hidden_nesting (void)
{
  GString *text = g_string_new ("{\"service\":/*\"*/");

  while (text->len < 600u * 1024)
    g_string_append_c (text, '[');
  return text;
}

/** Guards against the end of a process by a heartbeat, leave call or
 * configuration whose nesting overflows the parser's stack. */
static void
test_hidden_nesting (void)
{
  void *parent = talloc_new (NULL);
  GString *text = new_hidden_nesting ();
  const uint8_t *bytes = (const uint8_t *)text->str;
  directory_statement_t statement;

  g_assert_false (
      platform_announcement_read (parent, "u", bytes, text->len, &statement));
  g_assert_cmpuint (platform_leave_born_ms (bytes, text->len), ==, 0);
  g_assert_null (read_config (parent, text->str));
  g_string_free (text, TRUE);
  talloc_free (parent);
}

static GString *
join_parts (const char *separator, char **parts)
{
  char *joined = g_strjoinv (separator, parts);
  GString *text = g_string_new (joined);

  g_free (joined);
  return text;
}

/** Guards against the acknowledgement of a configuration that is no JSON. */
static void
test_config_loose (void)
{
  static const struct
  {
    const char *from;
    const char *to;
  } cases[] = { { "{\"version\"", "{/**/\"version\"" },
                { "\"version\"", "version" },
                { "\"kind\":\"unsafe\"", "\"kind\":'unsafe'" },
                { "},{\"name\":\"q\"", "},,{\"name\":\"q\"" },
                { "\"t\"}],\"services\"", "\"t\"},],\"services\"" },
                { "\"t\"}],\"services\"", "\"t\"}},\"services\"" },
                { "\"priority\":0", "\"priority\":00" } };
  void *parent = talloc_new (NULL);
  platform_config_reader_t *reader = platform_config_reader_new (parent);

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char **parts = g_strsplit (good_config, cases[i].from, 2);
      GString *text = join_parts (cases[i].to, parts);
      uint32_t steps;

      g_assert_cmpuint (g_strv_length (parts), ==, 2);
      if (read_config (parent, text->str) != NULL)
        g_error ("accepted as a whole: %s", text->str);
      if (read_stepwise (reader, parent, text, &steps) != NULL)
        g_error ("accepted in steps: %s", text->str);
      g_string_free (text, TRUE);
      g_strfreev (parts);
    }
  talloc_free (parent);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform/config", test_config);
  g_test_add_func ("/platform/config-refused", test_config_refused);
  g_test_add_func ("/platform/hidden-nesting", test_hidden_nesting);
  g_test_add_func ("/platform/config-loose", test_config_loose);
  g_test_add_func ("/platform/config-fractions", test_config_fractions);
  g_test_add_func ("/platform/config-torn", test_config_truncated);
  g_test_add_func ("/platform/config-large", test_config_large);
  g_test_add_func ("/platform/config-by-steps", test_config_by_steps);
  g_test_add_func ("/platform/config-by-steps-unusual",
                   test_config_by_steps_unusual);
  g_test_add_func ("/platform/config-by-steps-torn",
                   test_config_by_steps_truncated);
  return g_test_run ();
}
