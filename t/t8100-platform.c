/* Tests which announcements and header fields platform/ decodes, and which it
 * must refuse. */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "platform/announcement.h"
#include "platform/fields.h"

#define MANY_PARTS 1000

static bool
read_announcement (const char *text, directory_statement_t *statement)
{
  void *parent = talloc_new (NULL);
  bool good = platform_announcement_read (parent, "i", (const uint8_t *)text,
                                          strlen (text), statement);

  /* The strings are freed with their parent. */
  statement->address = statement->zone = statement->service = NULL;
  talloc_free (parent);
  return good;
}

#define ANNOUNCEMENT(members)                                                  \
  "{\"service\":\"s\",\"addr\":\"10.0.0.9:8080\",\"zone\":\"a\"," members "}"

static void
test_announcement (void)
{
  static const char *const refused[]
      = { "",
          "{",
          "[]",
          "7",
          ANNOUNCEMENT ("\"slots\":16,\"state\":\"ready\""),
          ANNOUNCEMENT ("\"slots\":16,\"state\":\"asleep\",\"seq\":4"),
          ANNOUNCEMENT ("\"slots\":\"16\",\"state\":\"ready\",\"seq\":4"),
          ANNOUNCEMENT ("\"slots\":16,\"state\":\"ready\",\"seq\":-4"),
          ANNOUNCEMENT ("\"slots\":16,\"state\":\"ready\",\"seq\":4,"
                        "\"born\":1.5"),
          ANNOUNCEMENT ("\"slots\":16,\"state\":5,\"seq\":4"),
          "{\"service\":\"s\",\"addr\":\"host:80\",\"zone\":\"a\","
          "\"slots\":1,\"state\":\"ready\",\"seq\":1}",
          "{\"service\":[],\"addr\":\"10.0.0.9:1\",\"zone\":\"a\","
          "\"slots\":1,\"state\":\"ready\",\"seq\":1}" };
  directory_statement_t said;

  g_assert_true (read_announcement (
      ANNOUNCEMENT ("\"slots\":16,\"state\":\"ready\",\"seq\":4,"
                    "\"born\":1700000000000,\"more\":{}"),
      &said));
  g_assert_cmpint (said.state, ==, DIRECTORY_READY);
  g_assert_cmpuint (said.sequence, ==, 4);
  g_assert_cmpuint (said.born_ms, ==, 1700000000000);
  g_assert_true (read_announcement (
      ANNOUNCEMENT ("\"slots\":16,\"state\":\"draining\",\"seq\":5"), &said));
  g_assert_cmpint (said.state, ==, DIRECTORY_LEAVING);
  for (size_t i = 0; i < G_N_ELEMENTS (refused); i++)
    {
      g_test_message ("%s", refused[i]);
      g_assert_false (read_announcement (refused[i], &said));
    }
}

static void
test_leave (void)
{
  const char *text = "{\"born\":12}";

  g_assert_cmpuint (
      platform_leave_born_ms ((const uint8_t *)text, strlen (text)), ==, 12);
  g_assert_cmpuint (platform_leave_born_ms ((const uint8_t *)"{", 1), ==, 0);
  g_assert_cmpuint (platform_leave_born_ms (NULL, 0), ==, 0);
}

static void
test_request_info (void)
{
  http_field_t items[] = { { "Request-Id", "9c41" },
                           { "Deadline-Ms", "1500" },
                           { "Token-Count", "1460,80" },
                           { "Key", "k" },
                           { "Last-Event-Id", "12" } };
  http_fields_t fields = { .items = items, .count = G_N_ELEMENTS (items) };
  gateway_request_info_t terms = { 0 };

  platform_protocol.read_request_info (&fields, &terms);
  g_assert_cmpstr (terms.id, ==, "9c41");
  g_assert_cmpuint (terms.deadline_ms, ==, 1500);
  g_assert_cmpuint (terms.prompt_tokens, ==, 1460);
  g_assert_cmpuint (terms.answer_tokens, ==, 80);
  g_assert_cmpuint (terms.last_event, ==, 12);
  items[1].value = "1499.7";
  items[2].value = "1460.2,80.5";
  platform_protocol.read_request_info (&fields, &terms);
  g_assert_cmpuint (terms.deadline_ms, ==, 1499);
  g_assert_cmpuint (terms.prompt_tokens, ==, 1461);
  g_assert_cmpuint (terms.answer_tokens, ==, 81);
  items[1].value = "soon";
  items[2].value = "99999999999999999999,x";
  terms = (gateway_request_info_t){ 0 };
  platform_protocol.read_request_info (&fields, &terms);
  g_assert_false (terms.has_deadline);
  g_assert_cmpuint (terms.prompt_tokens, ==, UINT32_MAX);
  g_assert_cmpuint (terms.answer_tokens, ==, 0);
}

/** Returns the parts of a prompt; their list is a child of @a parent. */
static prompt_parts_t
read_parts (void *parent, const char *text)
{
  http_field_t item = { "Prefix-Hash", (char *)text };
  http_fields_t caller = { .items = &item, .count = 1 };

  return platform_protocol.read_parts (parent, &caller);
}

static gateway_answer_info_t
read_answer (uint32_t status, const char *name, const char *value)
{
  http_field_t item = { (char *)name, (char *)value };
  http_fields_t fields = { .items = &item, .count = 1 };
  gateway_answer_info_t answer = { 0 };

  platform_protocol.read_answer_info (status, &fields, &answer);
  return answer;
}

/** What upstreams say of themselves; values of no sense have a bound. */
static void
test_upstream_states (void)
{
  g_assert_true (read_answer (200, "Server-Leaving", "1").is_leaving);
  g_assert_false (read_answer (200, "Server-Leaving", "0").is_leaving);
  g_assert_cmpuint (read_answer (503, "Retry-After", "2").pause_ms, ==, 2000);
  g_assert_cmpuint (read_answer (503, "Retry-After", "0.25").pause_ms, ==, 250);
  g_assert_cmpuint (read_answer (200, "Retry-After", "2").pause_ms, ==, 0);
  g_assert_cmpuint (read_answer (503, "Retry-After", "-2").pause_ms, ==, 0);
  g_assert_cmpuint (read_answer (503, "Retry-After", "soon").pause_ms, ==, 0);
  g_assert_cmpuint (read_answer (503, "Retry-After", "").pause_ms, ==, 0);
  g_assert_cmpuint (read_answer (503, "Retry-After", "9e99").pause_ms, ==,
                    3600 * 1000);
}

/** A rate limit holds for the answers that name it. Values of no sense are told
 * from none at all, which ends a limit. */
static void
test_upstream_limit (void)
{
  static const char *const invalid[]
      = { "0", "-1", "nan", "inf", "many", "", "1,2" };
  char *digits = g_strnfill (5000, '9');

  g_assert_cmpfloat (read_answer (200, "Server-Limit", "1.1").limit_s, ==, 1.1);
  g_assert_cmpfloat (read_answer (503, "Server-Limit", "20").limit_s, ==, 20);
  g_assert_cmpfloat (read_answer (200, "Other", "1").limit_s, ==, 0);
  g_assert_false (read_answer (200, "Other", "1").has_invalid_limit);
  g_assert_cmpfloat (read_answer (200, "Server-Limit", "1e18").limit_s, ==,
                     100000);
  g_assert_cmpfloat (read_answer (200, "Server-Limit", "1e-9").limit_s, ==,
                     0.01);
  for (guint i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      gateway_answer_info_t answer
          = read_answer (200, "Server-Limit", invalid[i]);

      g_assert_true (answer.has_invalid_limit);
      g_assert_cmpfloat (answer.limit_s, ==, 0);
    }
  g_assert_cmpfloat (read_answer (200, "Server-Limit", digits).limit_s, <=,
                     100000);
  g_free (digits);
}

/** Values of no sense are no cold time. */
static void
test_upstream_cold (void)
{
  static const char *const invalid[] = { "-1", "nan", "many", "", "1,2" };

  g_assert_cmpuint (read_answer (200, "Cold-Ms", "1200").cold_ms, ==, 1200);
  g_assert_cmpuint (read_answer (200, "Cold-Ms", "0").cold_ms, ==, 0);
  g_assert_cmpuint (read_answer (200, "Cold-Ms", "1e18").cold_ms, ==, 60000);
  g_assert_cmpuint (read_answer (200, "Other", "1").cold_ms, ==, 0);
  for (guint i = 0; i < G_N_ELEMENTS (invalid); i++)
    g_assert_cmpuint (read_answer (200, "Cold-Ms", invalid[i]).cold_ms, ==, 0);
}

/** The parts of a prompt are recognized by their names; the last one belongs to
 * the request alone. */
static void
test_parts (void)
{
  void *parent = talloc_new (NULL);
  prompt_parts_t three = read_parts (parent, "5c:800,91:410,e4:250");
  prompt_parts_t spaced = read_parts (parent, "5c:1, 91:2, aa:3");

  g_assert_cmpuint (three.count, ==, 2);
  g_assert_cmpuint (three.ids[0], !=, three.ids[1]);
  g_assert_cmpuint (spaced.count, ==, 2);
  g_assert_cmpuint (spaced.ids[0], ==, three.ids[0]);
  g_assert_cmpuint (spaced.ids[1], ==, three.ids[1]);
  g_assert_cmpuint (read_parts (parent, "5c:800").count, ==, 0);
  g_assert_cmpuint (read_parts (parent, "").count, ==, 0);
  g_assert_cmpuint (read_parts (parent, ",,,").count, ==, 0);
  talloc_free (parent);
}

/** Guards against parts that are left out, as they stand behind many others. */
static void
test_many_parts (void)
{
  void *parent = talloc_new (NULL);
  GString *text = g_string_new (NULL);
  prompt_parts_t parts;

  for (int i = 0; i < MANY_PARTS; i++)
    g_string_append_printf (text, "%x:10,", i);
  g_string_append (text, "own:500");
  parts = read_parts (parent, text->str);
  g_assert_cmpuint (parts.count, ==, MANY_PARTS);
  for (uint32_t i = 1; i < parts.count; i++)
    g_assert_cmpuint (parts.ids[i], !=, parts.ids[i - 1]);
  g_string_free (text, TRUE);
  talloc_free (parent);
}

/** Fields that a caller must not set itself are replaced. */
static void
test_fields (void)
{
  http_field_t items[]
      = { { "Host", "h" },           { "Request-Id", "9c41" },
          { "Key", "secret" },       { "Tenant", "forged" },
          { "Connection", "close" }, { "Prefix-Hash", "5c:800" } };
  http_fields_t caller = { .items = items, .count = G_N_ELEMENTS (items) };
  http_fields_t out = { 0 };
  gateway_upstream_info_t send = {
    .left_ms = 900, .upstream_id = "i-1", .customer = "c", .priority = 3
  };
  void *parent = talloc_new (NULL);

  platform_protocol.write_upstream_fields (parent, &caller, &send, &out);
  g_assert_cmpstr (http_fields_find (&out, "Host"), ==, "h");
  g_assert_cmpstr (http_fields_find (&out, "Prefix-Hash"), ==, "5c:800");
  g_assert_cmpstr (http_fields_find (&out, "Tenant"), ==, "c");
  g_assert_cmpstr (http_fields_find (&out, "Deadline-Ms"), ==, "900");
  g_assert_cmpstr (http_fields_find (&out, "Expect-Instance"), ==, "i-1");
  g_assert_null (http_fields_find (&out, "Key"));
  g_assert_null (http_fields_find (&out, "Connection"));
  talloc_free (parent);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform/announcement", test_announcement);
  g_test_add_func ("/platform/leave", test_leave);
  g_test_add_func ("/platform/terms", test_request_info);
  g_test_add_func ("/platform/fields", test_fields);
  g_test_add_func ("/platform/prompt-parts", test_parts);
  g_test_add_func ("/platform/many-parts", test_many_parts);
  g_test_add_func ("/platform/upstream-states", test_upstream_states);
  g_test_add_func ("/platform/upstream-limit", test_upstream_limit);
  g_test_add_func ("/platform/upstream-cold", test_upstream_cold);
  return g_test_run ();
}
