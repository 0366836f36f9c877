/* Checks that the reader of JSON accepts what the standard defines and nothing
 * else, and that no text makes it recurse. */
#include <glib.h>
#include <string.h>

#include "http.h"
#include "json-text.h"
#include "lib-corpus.h"

#define HOSTILE_BYTES (600u * 1024)

/* NOLINTNEXTLINE(readability-identifier-naming): libFuzzer defines the name */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static bool
is_accepted (const char *text, size_t size_bytes)
{
  char *why = NULL;
  JsonObject *object = json_text_read_object (text, size_bytes, &why);
  bool is_object = object != NULL;

  g_assert_true (is_object == (why == NULL));
  g_clear_pointer (&object, json_object_unref);
  g_free (why);
  return is_object;
}

static void
test_accepted (void)
{
  static const char *const texts[]
      = { "{}",
          " \t\r\n{ \"a\" : [ ] }\n",
          "{\"a\":[null,true,false,-0,0.5,1e3,1E-3,9223372036854775807]}",
          "{\"a\":\"\\\"\\\\\\/\\b\\f\\n\\r\\t\\u00e9\"}",
          "{\"a\":\"/*[[[*/ // ' \"}",
          "{\"\":{\"\":{}}}",
          "{\"a\":18446744073709551616}",
          "{\"a\":1e-400}",
          "{\"a\":-1e999}" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    if (!is_accepted (texts[i], strlen (texts[i])))
      g_error ("refused: %s", texts[i]);
}

static void
test_refused (void)
{
  static const char *const texts[] = { "",
                                       " ",
                                       "[]",
                                       "1",
                                       "\"a\"",
                                       "null",
                                       "{",
                                       "}",
                                       "{}}",
                                       "{}{}",
                                       "{} x",
                                       "{\"a\"}",
                                       "{\"a\":}",
                                       "{\"a\":1,}",
                                       "{,\"a\":1}",
                                       "{\"a\":[1,]}",
                                       "{\"a\":[,]}",
                                       "{\"a\":[1}",
                                       "{\"a\" 1}",
                                       "{\"a\"=1}",
                                       "{\"a\":1;\"b\":2}",
                                       "{\"a\":1 \"b\":2}",
                                       "{a:1}",
                                       "{1:1}",
                                       "{'a':1}",
                                       "{\"a\":'b'}",
                                       "{\"a\":b}",
                                       "{\"a\":True}",
                                       "{\"a\":nul}",
                                       "{\"a\":NaN}",
                                       "{\"a\":Infinity}",
                                       "{\"a\":-Infinity}",
                                       "{\"a\":01}",
                                       "{\"a\":-}",
                                       "{\"a\":+1}",
                                       "{\"a\":.5}",
                                       "{\"a\":1.}",
                                       "{\"a\":1e}",
                                       "{\"a\":0x10}",
                                       "{\"a\":\"b}",
                                       "{\"a\":\"\n\"}",
                                       "{\"a\":\"\\x41\"}",
                                       "{\"a\":\"\\u12\"}",
                                       "{\"a\":\"\\u0000\"}",
                                       "{\"a\\u0000b\":1}",
                                       "{\"a\":\"\\udc00\"}",
                                       "{\"a\":\"\xff\"}",
                                       "{\"a\":/* */1}",
                                       "{\"a\":1}//",
                                       "# \n{\"a\":1}",
                                       "{\"a\":\v1}",
                                       "{\"a\":\f1}",
                                       "\xef\xbb\xbf{}" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    if (is_accepted (texts[i], strlen (texts[i])))
      g_error ("accepted: %s", texts[i]);
  g_assert_false (is_accepted ("{\0}", 3));
  g_assert_false (is_accepted ("{}\0", 3));
}

static void
test_values (void)
{
  static const char text[]
      = "{\"whole\":9007199254740993,\"real\":2.0,\"text\":\"\\u00e9\","
        "\"flag\":true,\"twice\":1,\"twice\":2}";
  JsonObject *object = json_text_read_object (text, strlen (text), NULL);

  g_assert_nonnull (object);
  g_assert_cmpint (http_json_number_member (object, "whole", 0), ==,
                   9007199254740993);
  g_assert_cmpint (http_json_number_member (object, "real", -1), ==, -1);
  g_assert_cmpstr (http_json_text_member (object, "text", ""), ==, "\u00e9");
  g_assert_true (http_json_bool_member (object, "flag", false));
  g_assert_cmpint (http_json_number_member (object, "twice", 0), ==, 2);
  json_object_unref (object);
}

/** Returns @a start followed by opening brackets. */
static GString *
nest_after (const char *start)
{
  GString *text = g_string_new (start);

  while (text->len < HOSTILE_BYTES)
    g_string_append_c (text, '[');
  return text;
}

/** Guards against a stack overflow by brackets that a check of the nesting took
 * for a part of a comment or string. */
static void
test_hidden_depth (void)
{
  static const char *const starts[]
      = { "{\"service\":",         "{\"service\":/*\"*/", "{\"service\"://\"\n",
          "{\"service\":'\"',a:",  "{service\":",         "[",
          "{\"a\":\"\\\\\",\"b\":" };

  for (size_t i = 0; i < G_N_ELEMENTS (starts); i++)
    {
      GString *text = nest_after (starts[i]);

      g_assert_false (is_accepted (text->str, text->len));
      g_string_free (text, TRUE);
    }
}

/** Guards against texts of clients whose values take far more memory than the
 * text. */
static void
test_max_values (void)
{
  static const char text[] = "{\"a\":[{},[],1,\"b\",null,true]}";
  JsonObject *object
      = json_text_read_object_within (text, strlen (text), 8, NULL);

  g_assert_nonnull (object);
  json_object_unref (object);
  g_assert_null (json_text_read_object_within (text, strlen (text), 7, NULL));
}

static void
test_corpus (void)
{
  corpus_replay ("fuzz/corpus-json", 11, LLVMFuzzerTestOneInput);
}

/* Guards against: an object is accepted with the beginning of another value
 * behind it. */
static void
test_unfinished_after_object (void)
{
  static const char *const texts[]
      = { "{\"a\":1}\"", "{\"a\":1}\"x", "{\"a\":1}\":[922" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    if (is_accepted (texts[i], strlen (texts[i])))
      g_error ("accepted: %s", texts[i]);
}

/** Guards against bytes behind the object that are not refused: each beginning
 * of each kind of token, with and without a space before it and after it. */
static void
test_anything_after_object (void)
{
  static const char *const tokens[]
      = { "{}",   "[]",    "\"text\"", "\"\\u00e9\\n\"", "-12.5e+3",
          "true", "false", "null",     "/* comment */",  "// comment",
          ":",    ",",     "'a'",      "\xc3\xa9",       "\"\xf0\x9f\x98\x80" };
  static const char *const objects[]
      = { "{}", "{\"a\":1}", "{\"a\":{\"b\":[\"c\"]}}" };

  for (size_t i = 0; i < G_N_ELEMENTS (objects); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (tokens); j++)
      for (size_t length = 1; length <= strlen (tokens[j]); length++)
        for (unsigned spaces = 0; spaces < 4; spaces++)
          {
            char *text = g_strdup_printf (
                "%s%s%.*s%s", objects[i], (spaces & 1) != 0 ? " \n" : "",
                (int)length, tokens[j], (spaces & 2) != 0 ? "\t " : "");

            if (is_accepted (text, strlen (text)))
              g_error ("accepted: %s", text);
            g_free (text);
          }
}

/** Guards against escapes of half a surrogate pair that are read as other
 * characters, so that two different names become one. */
static void
test_lone_surrogates (void)
{
  static const char *const refused[]
      = { "\\ud800",        "\\ud800x",
          "\\ud800\\u0041", "\\udbff\\n",
          "\\ud800\\ud800", "\\ud800\\ud800\\udc00",
          "\\udc00\\ud800", "\\ud83d\\ude00\\udc00" };
  static const char *const accepted[]
      = { "\\ud83d\\ude00", "\\uD83D\\uDE00x\\ud83d\\ude00",
          "\\\\ud800",      "\\ud7ff\\ue000",
          "\\\\\\\\ud800",  "\\u005cud800" };

  for (size_t i = 0; i < G_N_ELEMENTS (refused); i++)
    {
      char *text = g_strdup_printf ("{\"a\":[\"%s\"]}", refused[i]);
      char *name = g_strdup_printf ("{\"%s\":1}", refused[i]);

      if (is_accepted (text, strlen (text))
          || is_accepted (name, strlen (name)))
        g_error ("accepted: %s", text);
      g_free (text);
      g_free (name);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (accepted); i++)
    {
      char *text = g_strdup_printf ("{\"a\":\"%s\"}", accepted[i]);

      if (!is_accepted (text, strlen (text)))
        g_error ("refused: %s", text);
      g_free (text);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/json-text/accepted", test_accepted);
  g_test_add_func ("/json-text/refused", test_refused);
  g_test_add_func ("/json-text/values", test_values);
  g_test_add_func ("/json-text/hidden-depth", test_hidden_depth);
  g_test_add_func ("/json-text/unfinished-after-object",
                   test_unfinished_after_object);
  g_test_add_func ("/json-text/anything-after-object",
                   test_anything_after_object);
  g_test_add_func ("/json-text/lone-surrogates", test_lone_surrogates);
  g_test_add_func ("/json-text/max-values", test_max_values);
  g_test_add_func ("/json-text/corpus", test_corpus);
  return g_test_run ();
}
