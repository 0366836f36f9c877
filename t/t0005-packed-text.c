/* Checks that a packed text is unpacked unchanged, and that damaged data is
 * rejected. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "packed-text.h"

#define MAX_BYTES (4u * 1024 * 1024)

/** Returns the text of a configuration with @a count routes. */
static GString *
make_routes_text (int count)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < count; i++)
    g_string_append_printf (text,
                            "{\"name\":\"r-%06x\",\"host\":\"h%d.example\","
                            "\"timeout\":2000,\"public\":true}",
                            i * 7919 % 1000003, i % 50);
  return text;
}

static void
check_round_trip (const uint8_t *text, size_t text_bytes)
{
  void *parent = talloc_new (NULL);
  size_t packed_bytes = 0;
  size_t back_bytes = 0;
  uint8_t *packed = packed_text_pack (parent, text, text_bytes, &packed_bytes);
  uint8_t *back;

  g_assert_nonnull (packed);
  back = packed_text_unpack (parent, packed, packed_bytes, MAX_BYTES,
                             &back_bytes);
  g_assert_nonnull (back);
  g_assert_cmpmem (back, back_bytes, text, text_bytes);
  talloc_free (parent);
}

static void
test_unpacked_text_is_unchanged (void)
{
  GString *text = make_routes_text (2000);

  check_round_trip ((const uint8_t *)"", 0);
  check_round_trip ((const uint8_t *)"{}", 2);
  check_round_trip ((const uint8_t *)text->str, text->len);
  g_string_free (text, TRUE);
}

static void
test_many_routes_are_small (void)
{
  GString *text = make_routes_text (2000);
  size_t packed_bytes = 0;
  uint8_t *packed = packed_text_pack (NULL, (const uint8_t *)text->str,
                                      text->len, &packed_bytes);

  g_assert_cmpuint (packed_bytes * 4, <, text->len);
  talloc_free (packed);
  g_string_free (text, TRUE);
}

static void
test_damaged_text_is_rejected (void)
{
  void *parent = talloc_new (NULL);
  GString *text = make_routes_text (20);
  size_t packed_bytes = 0;
  size_t got = 0;
  uint8_t *packed = packed_text_pack (parent, (const uint8_t *)text->str,
                                      text->len, &packed_bytes);

  for (size_t cut = 0; cut < packed_bytes; cut++)
    g_assert_null (packed_text_unpack (parent, packed, cut, MAX_BYTES, &got));
  g_assert_null (
      packed_text_unpack (parent, packed, packed_bytes, text->len - 1, &got));
  for (size_t i = 0; i < packed_bytes; i++)
    {
      packed[i] ^= 0x55;
      g_assert_null (
          packed_text_unpack (parent, packed, packed_bytes, MAX_BYTES, &got));
      packed[i] ^= 0x55;
    }
  g_string_free (text, TRUE);
  talloc_free (parent);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/packed-text/round", test_unpacked_text_is_unchanged);
  g_test_add_func ("/packed-text/many-routes-are-small",
                   test_many_routes_are_small);
  g_test_add_func ("/packed-text/damage-is-found",
                   test_damaged_text_is_rejected);
  return g_test_run ();
}
