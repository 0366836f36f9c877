/*
 * What instances of this version and the one before it tell each other of
 * crashes and of the parts of prompts. The version before it states no times of
 * single crashes, reports a part as cleared once an answer on it has begun, and
 * knows eight parts of a prompt.
 */
#include <glib.h>
#include <talloc.h>

#include "prompt-parts.h"
#include "quarantine-message.h"

#define NOW_MS       (60u * 60 * 1000)
#define DEADLY_PART  7
#define SOUND_PART   8
#define REQUEST      9
#define MANY_PARTS   20
#define EARLIER_MAX  8
#define CRASH_GAP_MS 600

static void
crash (quarantine_t *quarantine, uint64_t part, uint64_t upstream, uint64_t ms)
{
  prompt_parts_t parts = { .ids = &part, .count = 1 };

  quarantine_add_crash (quarantine, &parts, upstream, ms);
}

static quarantine_level_t
level_of (const quarantine_t *quarantine, uint64_t part)
{
  prompt_parts_t parts = { .ids = &part, .count = 1 };

  return quarantine_level (quarantine, &parts);
}

/** Packs what a quarantine tells and returns it as it is received; freed with
 * lwm__share_ack__free_unpacked(). */
static Lwm__ShareAck *
tell (const quarantine_t *quarantine, uint64_t now_ms)
{
  Lwm__ShareAck ack = LWM__SHARE_ACK__INIT;
  void *scratch = talloc_new (NULL);
  uint8_t *data;
  size_t size;
  Lwm__ShareAck *received;

  quarantine_to_ack (quarantine, now_ms, scratch, &ack);
  size = lwm__share_ack__get_packed_size (&ack);
  data = talloc_size (scratch, size + 1);
  lwm__share_ack__pack (&ack, data);
  received = lwm__share_ack__unpack (NULL, size, data);
  g_assert_nonnull (received);
  talloc_free (scratch);
  return received;
}

/** Removes the fields that the version before this one does not state. */
static void
make_earlier (Lwm__ShareAck *ack)
{
  for (size_t i = 0; i < ack->n_suspects; i++)
    ack->suspects[i]->n_crash_ago_ms = 0;
  for (size_t i = 0; i < ack->n_cleared; i++)
    ack->cleared[i]->is_complete = false;
}

/** Crashes of three upstreams on a part are told. */
static void
check_suspect (bool is_earlier)
{
  quarantine_t *from = quarantine_new (NULL, NULL);
  quarantine_t *to = quarantine_new (NULL, NULL);
  Lwm__ShareAck *ack;

  for (uint64_t i = 0; i < 3; i++)
    crash (from, DEADLY_PART, 100 + i, NOW_MS + i * CRASH_GAP_MS);
  ack = tell (from, NOW_MS + 2000);
  g_assert_cmpuint (ack->n_suspects, ==, 1);
  /* What the version before this one reads. */
  g_assert_cmpuint (ack->suspects[0]->part, ==, DEADLY_PART);
  g_assert_cmpuint (ack->suspects[0]->n_crashes, ==, 3);
  g_assert_cmpuint (ack->suspects[0]->last_ago_ms, ==, 2000 - 2 * CRASH_GAP_MS);
  if (is_earlier)
    make_earlier (ack);
  quarantine_from_ack (to, ack, NOW_MS + 2000);
  g_assert_cmpint (level_of (to, DEADLY_PART), ==, QUARANTINE_BLOCKED);
  lwm__share_ack__free_unpacked (ack, NULL);
  talloc_free (from);
  talloc_free (to);
}

static void
test_suspects (void)
{
  check_suspect (false);
  check_suspect (true);
}

/** A part, or a request, that was cleared is told.
 * @param is_taken whether the receiver withdraws its evidence */
static void
check_cleared (bool is_earlier, bool is_request, bool is_taken)
{
  uint64_t id = is_request ? 0 : SOUND_PART;
  prompt_parts_t parts = { .ids = &id,
                           .count = is_request ? 0 : 1,
                           .request = is_request ? REQUEST : 0 };
  quarantine_t *from = quarantine_new (NULL, NULL);
  quarantine_t *to = quarantine_new (NULL, NULL);
  Lwm__ShareAck *ack;

  for (uint64_t i = 0; i < 3; i++)
    {
      quarantine_add_crash (from, &parts, 100 + i, NOW_MS);
      quarantine_add_crash (to, &parts, 100 + i, NOW_MS);
    }
  g_assert_cmpint (quarantine_level (to, &parts), ==, QUARANTINE_BLOCKED);
  quarantine_add_success (from, &parts, 200, NOW_MS + 1000);
  ack = tell (from, NOW_MS + 2000);
  g_assert_cmpuint (ack->n_cleared, ==, 1);
  g_assert_cmpuint (ack->cleared[0]->ago_ms, ==, 1000);
  g_assert_true (ack->cleared[0]->is_request == is_request);
  if (is_earlier)
    make_earlier (ack);
  quarantine_from_ack (to, ack, NOW_MS + 2000);
  g_assert_cmpint (quarantine_level (to, &parts), ==,
                   is_taken ? QUARANTINE_CLEAR : QUARANTINE_BLOCKED);
  lwm__share_ack__free_unpacked (ack, NULL);
  talloc_free (from);
  talloc_free (to);
}

/* Guards against: a deadly part that the version before this one reports as
 * cleared by the first event of each answer (BUDGET). */
static void
test_cleared (void)
{
  check_cleared (false, false, true);
  check_cleared (false, true, true);
  check_cleared (true, false, false);
  check_cleared (true, true, true);
}

/** Guards against lists of parts that one of the versions refuses or cuts. */
static void
test_parts (void)
{
  uint64_t ids[MANY_PARTS];
  prompt_parts_t parts = { .ids = ids, .count = 0 };
  prompt_parts_t read;

  for (uint32_t i = 0; i < MANY_PARTS; i++)
    ids[i] = 100 + i;
  for (; parts.count <= MANY_PARTS; parts.count++)
    {
      size_t first = prompt_parts_first_count (&parts);
      bool is_cut = first < parts.count;

      g_assert_cmpuint (first, ==, MIN (parts.count, EARLIER_MAX));
      read = prompt_parts_from_message (ids, first, is_cut ? ids : NULL,
                                        is_cut ? parts.count : 0);
      g_assert_cmpmem (read.ids, read.count * sizeof *ids, ids,
                       parts.count * sizeof *ids);
      read = prompt_parts_from_message (ids, first, NULL, 0);
      g_assert_cmpuint (read.count, ==, first);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/share-versions/suspects", test_suspects);
  g_test_add_func ("/share-versions/cleared", test_cleared);
  g_test_add_func ("/share-versions/parts", test_parts);
  return g_test_run ();
}
