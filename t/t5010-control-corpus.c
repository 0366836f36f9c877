/* The decoders of the control group take every file of the fixed corpus, and
 * every one cut short or with a byte changed, without harm. */
#include <glib.h>
#include <stdint.h>

#define CORPUS "t/corpus-control"

/* NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
replay (const char *path)
{
  char *data;
  gsize size;

  g_assert_true (g_file_get_contents (path, &data, &size, NULL));
  LLVMFuzzerTestOneInput ((const uint8_t *)data, size);
  for (gsize end = 0; end < size; end++)
    {
      /* A copy of the exact size lets the sanitizer see a read past it. */
      uint8_t *cut = g_memdup2 (data, end);

      LLVMFuzzerTestOneInput (cut, end);
      g_free (cut);
      data[end] ^= 0x81;
      LLVMFuzzerTestOneInput ((const uint8_t *)data, size);
      data[end] ^= 0x81;
    }
  g_free (data);
}

static void
test_corpus (void)
{
  GDir *folder = g_dir_open (CORPUS, 0, NULL);
  const char *name;
  int replayed = 0;

  g_assert_nonnull (folder);
  while ((name = g_dir_read_name (folder)) != NULL)
    {
      char *path = g_build_filename (CORPUS, name, NULL);

      replay (path);
      replayed++;
      g_free (path);
    }
  g_dir_close (folder);
  g_assert_cmpint (replayed, >=, 4);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-corpus/replay", test_corpus);
  return g_test_run ();
}
