/* Runs the decoder of messages between entry instances on every file of the
 * fixed corpus, also truncated or with a changed byte; none may cause a fault.
 */
#include <glib.h>

#include "lib-corpus.h"

/* NOLINTNEXTLINE(readability-identifier-naming): libFuzzer defines the name */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
test_corpus (void)
{
  corpus_replay ("t/corpus-share", 5, LLVMFuzzerTestOneInput);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/share-corpus/replay", test_corpus);
  return g_test_run ();
}
