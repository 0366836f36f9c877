/*
 * What an entry instance keeps of finished answers.
 */
#include <glib.h>
#include <talloc.h>

#include "archive.h"

#define ANSWERS      8
#define ANSWER_BYTES 1000
#define MAX_BYTES    (3 * ANSWER_BYTES)
#define KEPT_MS      10000
#define NOW_MS       100000

static request_t *
add_answer (archive_t *archive, void *parent, int number)
{
  char *id = g_strdup_printf ("r-%d", number);
  char *text = g_strnfill (ANSWER_BYTES, 'x');
  request_spec_t spec = {
    .kind = REQUEST_COMPLETION, .service = "s", .customer = "c", .prompt = "p"
  };
  request_t *request
      = request_new (parent, &spec, id, (uint64_t)number, NOW_MS);

  request_add_token (request, text);
  request->ended_ms = NOW_MS;
  archive_add (archive, request);
  g_free (text);
  g_free (id);
  return request;
}

/* Guards against callers that fill the memory: while one reads the oldest
 * answer slowly, no newer one was freed. */
static void
test_slow_listener (void)
{
  void *parent = talloc_new (NULL);
  metrics_t *metrics = metrics_new (parent);
  archive_options_t options = { .answer_kept_ms = KEPT_MS,
                                .max_answer_bytes = MAX_BYTES,
                                .metrics = metrics };
  archive_t *archive = archive_new (parent, &options);
  request_t *requests[ANSWERS];
  int kept = 0;

  for (int i = 0; i < ANSWERS; i++)
    requests[i] = add_answer (archive, parent, i);
  requests[0]->listener.context = archive;
  archive_evict (archive, NOW_MS);
  for (int i = 0; i < ANSWERS; i++)
    kept += !requests[i]->text_dropped;
  g_assert_false (requests[0]->text_dropped);
  g_assert_false (requests[ANSWERS - 1]->text_dropped);
  g_assert_cmpint (kept * ANSWER_BYTES, <=, MAX_BYTES);
  archive_evict (archive, NOW_MS + KEPT_MS + 1);
  g_assert_true (requests[ANSWERS - 1]->text_dropped);
  requests[0]->listener.context = NULL;
  archive_evict (archive, NOW_MS + KEPT_MS + 1);
  g_assert_true (requests[0]->text_dropped);
  talloc_free (parent);
}

static void
test_share (void)
{
  g_assert_cmpuint (archive_share (0), ==, 0);
  g_assert_cmpuint (archive_share (96), ==, 16 * 1024 * 1024);
  g_assert_cmpuint (archive_share (100000), ==, 64 * 1024 * 1024);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/archive/slow-listener", test_slow_listener);
  g_test_add_func ("/archive/share", test_share);
  return g_test_run ();
}
