/*
 * Tests that bytes with several owners stay valid until the last one is gone,
 * and that the array has little spare room.
 */
#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#include "shared-bytes.h"

#define PIECE_BYTES     1000
#define MAX_SPARE_BYTES (128u * 1024)

static void
test_growth (void)
{
  shared_bytes_t *bytes = shared_bytes_new ();
  char piece[PIECE_BYTES];

  for (uint32_t i = 0; i < 4000; i++)
    {
      memset (piece, (int)('a' + i % 26), sizeof piece);
      shared_bytes_append (bytes, piece, sizeof piece);
      g_assert_cmpuint (bytes->room_bytes - bytes->size_bytes, <=,
                        MIN (MAX_SPARE_BYTES, MAX (bytes->size_bytes, 512)));
    }
  for (uint32_t i = 0; i < 4000; i++)
    g_assert_cmpint (bytes->data[i * PIECE_BYTES], ==, 'a' + (int)(i % 26));
  shared_bytes_unref (bytes);
}

/** A buffer keeps the bytes that are replaced before they are sent. */
static void
test_owners (void)
{
  shared_bytes_t *bytes = shared_bytes_new ();
  struct evbuffer *out = evbuffer_new ();
  char text[8] = { 0 };

  shared_bytes_append (bytes, "first", 5);
  shared_bytes_add_to (bytes, out);
  g_assert_cmpuint (bytes->owners, ==, 2);
  shared_bytes_clear (&bytes);
  g_assert_cmpuint (bytes->size_bytes, ==, 0);
  shared_bytes_append (bytes, "other", 5);
  g_assert_cmpint (evbuffer_remove (out, text, sizeof text), ==, 5);
  g_assert_cmpstr (text, ==, "first");
  shared_bytes_add_to (bytes, out);
  evbuffer_free (out);
  g_assert_cmpuint (bytes->owners, ==, 1);
  shared_bytes_unref (bytes);
}

static void
test_empty (void)
{
  shared_bytes_t *bytes = shared_bytes_new ();
  struct evbuffer *out = evbuffer_new ();

  shared_bytes_append (bytes, NULL, 0);
  shared_bytes_add_to (bytes, out);
  g_assert_cmpuint (evbuffer_get_length (out), ==, 0);
  g_assert_cmpuint (bytes->owners, ==, 1);
  evbuffer_free (out);
  shared_bytes_unref (bytes);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/shared-bytes/growth", test_growth);
  g_test_add_func ("/shared-bytes/owners", test_owners);
  g_test_add_func ("/shared-bytes/empty", test_empty);
  return g_test_run ();
}
