/* Tests which settings files of an instance are accepted, and as what. */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <talloc.h>

#include "node-settings.h"

/** Numbers of the file and the values that stand for them. */
typedef struct
{
  const char *announce_ms;
  const char *stop_timeout_s;
  const char *lost_machines;
  const char *lost_zones;
  const char *retry_share;
  const char *spare_retries;
  const char *first_port;
} numbers_t;

static const numbers_t whole = { "1200", "8", "1", "1", "0.2", "100", "7340" };

static char *
write_file (const char *folder, const numbers_t *numbers)
{
  char *path = g_build_filename (folder, "node.yaml", NULL);
  char *text = g_strdup_printf (
      "instance: i\nzone: z\naddress: 127.0.0.1\nfirst_port: %s\n"
      "last_port: 7355\ncallers: \"127.0.0.1:80\"\nannounce_ms: %s\n"
      "stop_timeout_s: %s\nlost_machines: %s\nlost_zones: %s\n"
      "retry_share: %s\nspare_retries: %s\n",
      numbers->first_port, numbers->announce_ms, numbers->stop_timeout_s,
      numbers->lost_machines, numbers->lost_zones, numbers->retry_share,
      numbers->spare_retries);

  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  g_free (text);
  return path;
}

/** Reads a file with @a numbers; returns NULL when it is refused. */
static node_settings_t *
read_numbers (void *parent, const numbers_t *numbers)
{
  char *folder = g_dir_make_tmp ("node-settings-XXXXXX", NULL);
  char *path = write_file (folder, numbers);
  node_settings_t *settings = node_settings_new (parent, path);

  g_remove (path);
  g_rmdir (folder);
  g_free (path);
  g_free (folder);
  return settings;
}

/** A limit is rounded down, and what must be tolerated is rounded up. */
static void
test_fractions (void)
{
  static const numbers_t fractions
      = { "1200.25", "7.5", "1.5", "0.25", "0.195", "34.7368", "7340.0" };
  void *parent = talloc_new (NULL);
  node_settings_t *settings = read_numbers (parent, &fractions);
  const Lwm__NodeSettings *content;

  g_assert_nonnull (settings);
  content = node_settings_get (settings);
  g_assert_cmpuint (content->announce_ms, ==, 1201);
  g_assert_cmpfloat (content->stop_timeout_s, ==, 7.5);
  g_assert_cmpuint (content->lost_machines, ==, 2);
  g_assert_cmpuint (content->lost_zones, ==, 1);
  g_assert_cmpfloat (content->retry_share, ==, 0.195);
  g_assert_cmpuint (content->spare_retries, ==, 34);
  g_assert_cmpuint (content->first_port, ==, 7340);
  talloc_free (parent);
}

/** Refuses a file in which one number is @a text. */
static void
expect_refused (const char *text, size_t field_offset)
{
  void *parent = talloc_new (NULL);
  numbers_t numbers = whole;

  *(const char **)(void *)((char *)&numbers + field_offset) = text;
  g_assert_null (read_numbers (parent, &numbers));
  talloc_free (parent);
}

static void
test_invalid_numbers (void)
{
  static const size_t fields[] = {
    offsetof (numbers_t, announce_ms),   offsetof (numbers_t, stop_timeout_s),
    offsetof (numbers_t, lost_machines), offsetof (numbers_t, lost_zones),
    offsetof (numbers_t, retry_share),   offsetof (numbers_t, spare_retries),
    offsetof (numbers_t, first_port)
  };
  static const char *const texts[] = { "many", "-1", "1,5", "nan", "'1 ms'" };

  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (texts); j++)
      expect_refused (texts[j], fields[i]);
  expect_refused ("7340.5", offsetof (numbers_t, first_port));
  expect_refused ("70000", offsetof (numbers_t, first_port));
  expect_refused ("3", offsetof (numbers_t, announce_ms));
}

/** The mistake is one line that names the file, the field and the value. */
static void
test_mistake_is_one_line (void)
{
  if (g_test_subprocess ())
    {
      expect_refused ("many", offsetof (numbers_t, spare_retries));
      return;
    }
  g_test_trap_subprocess (NULL, 0, 0);
  g_test_trap_assert_passed ();
  g_test_trap_assert_stderr (
      "*node.yaml:*: spare_retries: expected a number from 0 to * got 'many'*");
}

/** A process that is started without a stop timeout has one all the same. */
static void
test_default_stop_timeout (void)
{
  void *parent = talloc_new (NULL);
  numbers_t numbers = whole;
  node_settings_t *settings;

  numbers.stop_timeout_s = "0";
  settings = read_numbers (parent, &numbers);
  g_assert_nonnull (settings);
  g_assert_cmpfloat (node_settings_get (settings)->stop_timeout_s, >, 1);
  talloc_free (parent);
}

/** Guards against a stop that ends everything at once: a file that is half
 * written when it is read again may lack the stop timeout. */
static void
test_reload_without_stop_timeout (void)
{
  void *parent = talloc_new (NULL);
  char *folder = g_dir_make_tmp ("node-settings-XXXXXX", NULL);
  char *path = write_file (folder, &whole);
  node_settings_t *settings = node_settings_new (parent, path);
  numbers_t numbers = whole;

  numbers.stop_timeout_s = "0";
  numbers.announce_ms = "2400";
  g_free (path);
  path = write_file (folder, &numbers);
  node_settings_reload (settings);
  g_assert_cmpfloat (node_settings_get (settings)->stop_timeout_s, ==, 8);
  g_assert_cmpuint (node_settings_get (settings)->announce_ms, ==, 1200);
  g_remove (path);
  g_rmdir (folder);
  g_free (path);
  g_free (folder);
  talloc_free (parent);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node-settings/fractions", test_fractions);
  g_test_add_func ("/node-settings/invalid", test_invalid_numbers);
  g_test_add_func ("/node-settings/mistake", test_mistake_is_one_line);
  g_test_add_func ("/node-settings/default-stop-timeout",
                   test_default_stop_timeout);
  g_test_add_func ("/node-settings/reload-without-stop-timeout",
                   test_reload_without_stop_timeout);
  return g_test_run ();
}
