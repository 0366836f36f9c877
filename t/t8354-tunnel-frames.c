/*
 * The bytes of an upstream in the frames of a relay, and the relay's answer to
 * the request for a tunnel, however the network cuts them.
 */
#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#include "tunnel-client.h"
#include "tunnel-frames.h"

#define SEEDS     200
#define MAX_BYTES 3000

/** Moves up to @a max_bytes bytes on, as a network does. */
static void
pass (struct evbuffer *from, struct evbuffer *to, int max_bytes)
{
  evbuffer_remove_buffer (from, to, (size_t)max_bytes);
}

/** Writes random bytes in frames of random sizes, and at times between them
 * that the relay is going to stop. Returns whether it wrote that. */
static bool
write_frames (GRand *random, struct evbuffer *sent, GString *expected)
{
  struct evbuffer *data = evbuffer_new ();
  bool is_stopping = false;

  for (int frames = g_rand_int_range (random, 0, 6); frames > 0; frames--)
    {
      int size = g_rand_int_range (random, 0, MAX_BYTES);

      for (int i = 0; i < size; i++)
        {
          char byte = (char)g_rand_int_range (random, 0, 256);

          evbuffer_add (data, &byte, 1);
          g_string_append_c (expected, byte);
        }
      tunnel_frames_write (sent, data);
      g_assert_cmpuint (evbuffer_get_length (data), ==, 0);
      if (g_rand_int_range (random, 0, 8) > 0)
        continue;
      tunnel_frames_write_stop (sent);
      is_stopping = true;
    }
  evbuffer_free (data);
  return is_stopping;
}

static void
run_frames (uint32_t seed, tunnel_frames_state_t end)
{
  GRand *random = g_rand_new_with_seed (seed);
  GString *expected = g_string_new (NULL);
  struct evbuffer *sent = evbuffer_new ();
  struct evbuffer *received = evbuffer_new ();
  struct evbuffer *data = evbuffer_new ();
  tunnel_frames_t frames = { 0 };
  tunnel_frames_state_t state = TUNNEL_FRAMES_MORE;
  bool is_stopping;
  size_t size;

  is_stopping = write_frames (random, sent, expected);
  if (end != TUNNEL_FRAMES_MORE)
    tunnel_frames_write_end (sent, end);
  while (evbuffer_get_length (sent) > 0)
    {
      g_assert_cmpint (state, ==, TUNNEL_FRAMES_MORE);
      pass (sent, received, g_rand_int_range (random, 1, MAX_BYTES));
      state = tunnel_frames_read (&frames, received, data);
    }
  g_assert_cmpint (state, ==, end);
  g_assert_true (frames.is_stopping == is_stopping);
  size = evbuffer_get_length (data);
  g_assert_cmpmem (evbuffer_pullup (data, -1), size, expected->str,
                   expected->len);
  evbuffer_free (sent);
  evbuffer_free (received);
  evbuffer_free (data);
  g_string_free (expected, TRUE);
  g_rand_free (random);
}

/** Guards against bytes that are lost, or an end that is seen without a word of
 * the relay, where the network cuts frames. */
static void
test_frames (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    for (int end = TUNNEL_FRAMES_MORE; end <= TUNNEL_FRAMES_BROKEN; end++)
      run_frames (seed, (tunnel_frames_state_t)end);
}

/** Returns what is read of an answer that comes byte by byte; what follows it
 * must be left. */
static tunnel_answer_t
read_bytewise (const char *text, bool *is_framed, const char *left)
{
  struct evbuffer *in = evbuffer_new ();
  tunnel_answer_t answer = TUNNEL_ANSWER_MORE;
  size_t at = 0;

  *is_framed = false;
  while (answer == TUNNEL_ANSWER_MORE && at < strlen (text))
    {
      evbuffer_add (in, text + at++, 1);
      answer = tunnel_client_read (in, is_framed);
    }
  if (answer == TUNNEL_ANSWER_OPEN)
    {
      g_assert_cmpuint (evbuffer_get_length (in), ==, 0);
      g_assert_cmpstr (text + at, ==, left);
    }
  evbuffer_free (in);
  return answer;
}

/** Guards against bytes that are taken for frames though the relay sends none:
 * also such as look like its field, but are the upstream's. */
static void
test_answers (void)
{
  bool is_framed;
  char *endless = g_strnfill (2000, 'x');

  g_assert_cmpint (read_bytewise ("HTTP/1.1 200 OK\r\n" TUNNEL_FRAMES_FIELD
                                  "\r\n\r\nmore",
                                  &is_framed, "more"),
                   ==, TUNNEL_ANSWER_OPEN);
  g_assert_true (is_framed);
  g_assert_cmpint (read_bytewise ("HTTP/1.1 200 OK\r\n\r\n" TUNNEL_FRAMES_FIELD,
                                  &is_framed, TUNNEL_FRAMES_FIELD),
                   ==, TUNNEL_ANSWER_OPEN);
  g_assert_false (is_framed);
  g_assert_cmpint (
      read_bytewise ("HTTP/1.1 502 Refused\r\n\r\n", &is_framed, NULL), ==,
      TUNNEL_ANSWER_NOT_CONNECTED);
  g_assert_cmpint (
      read_bytewise ("HTTP/1.1 503 Refused\r\n\r\n", &is_framed, NULL), ==,
      TUNNEL_ANSWER_UNUSABLE);
  g_assert_cmpint (read_bytewise (endless, &is_framed, NULL), ==,
                   TUNNEL_ANSWER_UNUSABLE);
  g_assert_cmpint (read_bytewise ("HTTP/1.1 200 OK\r\n", &is_framed, NULL), ==,
                   TUNNEL_ANSWER_MORE);
  g_free (endless);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/tunnel-frames/frames", test_frames);
  g_test_add_func ("/tunnel-frames/answers", test_answers);
  return g_test_run ();
}
