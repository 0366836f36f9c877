#include "lib-corpus.h"

#include <glib.h>

static void
replay_file (const char *path, corpus_target_t target)
{
  char *data;
  gsize size;

  g_assert_true (g_file_get_contents (path, &data, &size, NULL));
  target ((const uint8_t *)data, size);
  for (gsize end = 0; end < size; end++)
    {
      /* A copy of the exact size lets the sanitizer detect a read past its
       * end. */
      uint8_t *prefix = g_memdup2 (data, end);

      target (prefix, end);
      g_free (prefix);
      data[end] ^= 0x81;
      target ((const uint8_t *)data, size);
      data[end] ^= 0x81;
    }
  g_free (data);
}

void
corpus_replay (const char *folder, int least, corpus_target_t target)
{
  GDir *dir = g_dir_open (folder, 0, NULL);
  const char *name;
  int replayed = 0;

  g_assert_nonnull (dir);
  while ((name = g_dir_read_name (dir)) != NULL)
    {
      char *path = g_build_filename (folder, name, NULL);

      replay_file (path, target);
      replayed++;
      g_free (path);
    }
  g_dir_close (dir);
  g_assert_cmpint (replayed, >=, least);
}
