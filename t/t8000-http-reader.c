#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "http-reader.h"

/** Records what a reader passes to its callbacks. */
typedef struct
{
  http_reader_t *reader;
  GString *body;
  uint32_t heads;
} fixture_t;

static void
on_head (void *context)
{
  ((fixture_t *)context)->heads++;
}

static void
on_body (const uint8_t *data, size_t size_bytes, void *context)
{
  g_string_append_len (((fixture_t *)context)->body, (const char *)data,
                       (gssize)size_bytes);
}

static fixture_t *
fixture_new (http_reader_kind_t kind)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  http_reader_options_t options = { .kind = kind,
                                    .max_head_bytes = 1000,
                                    .on_head = on_head,
                                    .on_body = on_body,
                                    .context = fixture };

  fixture->body = g_string_new (NULL);
  fixture->reader = http_reader_new (NULL, &options);
  return fixture;
}

static void
fixture_free (fixture_t *fixture)
{
  talloc_free (fixture->reader);
  g_string_free (fixture->body, TRUE);
  g_free (fixture);
}

static http_reader_result_t
feed (fixture_t *fixture, const char *text, size_t *used)
{
  return http_reader_feed (fixture->reader, (const uint8_t *)text,
                           strlen (text), used);
}

/** Feeds the text one byte at a time, as a slow network delivers it. */
static http_reader_result_t
feed_bytewise (fixture_t *fixture, const char *text)
{
  http_reader_result_t result = HTTP_READER_MORE;

  for (; *text != '\0' && result == HTTP_READER_MORE; text++)
    {
      size_t used;

      result
          = http_reader_feed (fixture->reader, (const uint8_t *)text, 1, &used);
    }
  return result;
}

static void
test_request (void)
{
  fixture_t *fixture = fixture_new (HTTP_READER_REQUEST);
  const http_fields_t *fields;

  g_assert_cmpint (feed_bytewise (fixture, "POST /a/b?c=d HTTP/1.1\r\n"
                                           "Host: h\r\nX-Long:  value \r\n"
                                           "Content-Length: 3\r\n\r\nabc"),
                   ==, HTTP_READER_END);
  fields = http_reader_fields (fixture->reader);
  g_assert_cmpstr (http_reader_method (fixture->reader), ==, "POST");
  g_assert_cmpstr (http_reader_target (fixture->reader), ==, "/a/b?c=d");
  g_assert_cmpstr (http_fields_find (fields, "host"), ==, "h");
  g_assert_cmpstr (fixture->body->str, ==, "abc");
  g_assert_true (http_reader_keeps_alive (fixture->reader));
  fixture_free (fixture);
}

/** The reader must not consume bytes that follow a complete message. */
static void
test_bytes_after_answer (void)
{
  fixture_t *fixture = fixture_new (HTTP_READER_RESPONSE);
  const char *answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  char *text = g_strconcat (answer, "HTTP/1.1 200 OK\r\n", NULL);
  size_t used;

  g_assert_cmpint (feed (fixture, text, &used), ==, HTTP_READER_END);
  g_assert_cmpuint (used, ==, strlen (answer));
  g_assert_cmpstr (fixture->body->str, ==, "ok");
  g_free (text);
  fixture_free (fixture);
}

static void
test_chunks (void)
{
  fixture_t *fixture = fixture_new (HTTP_READER_RESPONSE);

  g_assert_cmpint (feed_bytewise (fixture, "HTTP/1.1 200 OK\r\n"
                                           "Transfer-Encoding: chunked\r\n\r\n"
                                           "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"),
                   ==, HTTP_READER_END);
  g_assert_cmpstr (fixture->body->str, ==, "abcde");
  fixture_free (fixture);
}

/** Only an answer without a length may end when its connection closes. */
static void
test_connection_close_ends_answer (void)
{
  static const struct
  {
    const char *text;
    http_reader_result_t result;
  } cases[] = {
    { "HTTP/1.1 200 OK\r\n\r\nabc", HTTP_READER_END },
    { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", HTTP_READER_ERROR },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      HTTP_READER_ERROR },
    { "HTTP/1.1 200 OK\r\nContent-Le", HTTP_READER_ERROR },
    { "", HTTP_READER_ERROR },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t *fixture = fixture_new (HTTP_READER_RESPONSE);
      size_t used;

      g_assert_cmpint (feed (fixture, cases[i].text, &used), ==,
                       HTTP_READER_MORE);
      g_assert_cmpint (http_reader_end_input (fixture->reader), ==,
                       cases[i].result);
      fixture_free (fixture);
    }
}

static void
test_interim_answer_is_skipped (void)
{
  fixture_t *fixture = fixture_new (HTTP_READER_RESPONSE);
  size_t used;

  g_assert_cmpint (feed (fixture,
                         "HTTP/1.1 100 Continue\r\n\r\n"
                         "HTTP/1.1 204 No Content\r\n\r\n",
                         &used),
                   ==, HTTP_READER_END);
  g_assert_cmpuint (http_reader_status (fixture->reader), ==, 204);
  g_assert_cmpuint (fixture->heads, ==, 1);
  fixture_free (fixture);
}

/** Feeds an answer that begins with @a status_line, in one piece and byte by
 * byte, and expects a result; the answer ends with its connection. */
static void
expect_status_line (const char *status_line, http_reader_result_t result)
{
  char *text
      = g_strconcat (status_line, "\r\nContent-Length: 2\r\n\r\nok", NULL);
  fixture_t *whole = fixture_new (HTTP_READER_RESPONSE);
  fixture_t *bytewise = fixture_new (HTTP_READER_RESPONSE);
  size_t used;

  g_test_message ("%s", status_line);
  g_assert_cmpint (feed (whole, text, &used), ==, result);
  g_assert_cmpint (feed_bytewise (bytewise, text), ==, result);
  g_assert_cmpuint (whole->heads, ==, result == HTTP_READER_END);
  g_assert_cmpuint (bytewise->heads, ==, result == HTTP_READER_END);
  fixture_free (whole);
  fixture_free (bytewise);
  g_free (text);
}

/** Guards against answers whose status does not exist being passed on. */
static void
test_status (void)
{
  static const char *const valid[] = {
    "HTTP/1.1 200 OK",        "HTTP/1.1 200",        "HTTP/1.1 200 ",
    "HTTP/1.0 404 Not Found", "HTTP/1.1 599 x 1 22", "\r\nHTTP/1.1 299 x"
  };
  static const char *const invalid[]
      = { "HTTP/1.1 000 None", "HTTP/1.1 0 x",    "HTTP/1.1 00 x",
          "HTTP/1.1 001 x",    "HTTP/1.1 099 x",  "HTTP/1.1 20 x",
          "HTTP/1.1 0200 OK",  "HTTP/1.1 00200",  "HTTP/1.1 2000 OK",
          "HTTP/1.1 600 x",    "HTTP/1.1 999 x",  "HTTP/1.1 -200 OK",
          "HTTP/1.1 +200 OK",  "HTTP/1.1 20x OK", "HTTP/1.1 200x OK",
          "HTTP/1.1 101 x",    "HTTP/1.1 OK",     "HTTP/1.1",
          "ICY 200 OK" };

  for (size_t i = 0; i < G_N_ELEMENTS (valid); i++)
    expect_status_line (valid[i], HTTP_READER_END);
  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    expect_status_line (invalid[i], HTTP_READER_ERROR);
}

/** Guards against an answer without a status that ends with its connection. */
static void
test_status_and_close (void)
{
  fixture_t *fixture = fixture_new (HTTP_READER_RESPONSE);
  size_t used;

  g_assert_cmpint (feed (fixture, "HTTP/1.1 000 None\r\n\r\nbody", &used), ==,
                   HTTP_READER_ERROR);
  g_assert_cmpint (http_reader_end_input (fixture->reader), ==,
                   HTTP_READER_ERROR);
  g_assert_false (http_reader_has_head (fixture->reader));
  fixture_free (fixture);
}

/** Each answer on a connection has a status of its own, an interim one too. */
static void
test_status_after_interim (void)
{
  fixture_t *fixture = fixture_new (HTTP_READER_RESPONSE);

  g_assert_cmpint (feed_bytewise (fixture, "HTTP/1.1 103 Early Hints\r\n"
                                           "Link: a\r\n\r\n"
                                           "HTTP/1.1 0204 No Content\r\n\r\n"),
                   ==, HTTP_READER_ERROR);
  http_reader_reset (fixture->reader);
  g_assert_cmpint (feed_bytewise (fixture, "HTTP/1.1 103 Early Hints\r\n\r\n"
                                           "HTTP/1.1 100 Continue\r\n\r\n"
                                           "HTTP/1.1 204 No Content\r\n\r\n"),
                   ==, HTTP_READER_END);
  g_assert_cmpuint (http_reader_status (fixture->reader), ==, 204);
  g_assert_cmpuint (fixture->heads, ==, 1);
  fixture_free (fixture);
}

/** Feeds a head with @a line, in one piece and byte by byte, and expects a
 * result. */
static void
expect_line (http_reader_kind_t kind,
             const char *line,
             http_reader_result_t result)
{
  const char *start = kind == HTTP_READER_REQUEST ? "POST / HTTP/1.1\r\n"
                                                  : "HTTP/1.1 200 OK\r\n";
  char *text
      = g_strconcat (start, line, "\r\nContent-Length: 2\r\n\r\nok", NULL);
  fixture_t *whole = fixture_new (kind);
  fixture_t *bytewise = fixture_new (kind);
  size_t used;

  g_test_message ("%s", line);
  g_assert_cmpint (feed (whole, text, &used), ==, result);
  g_assert_cmpint (feed_bytewise (bytewise, text), ==, result);
  g_assert_cmpuint (whole->heads, ==, result == HTTP_READER_END);
  fixture_free (whole);
  fixture_free (bytewise);
  g_free (text);
}

/** Guards against names with blanks or control bytes, which are passed on, and
 * against those that are taken for the name before the blank. */
static void
test_field_names (void)
{
  static const http_reader_kind_t kinds[]
      = { HTTP_READER_REQUEST, HTTP_READER_RESPONSE };
  static const char *const valid[] = { "X-A: b", "x!#$%&'*+-.^_`|~9: b",
                                       "X-A:b", "X-A:", "X-A: b\r\n c: d" };
  static const char *const invalid[] = { "Bad Name: x",
                                         "Name : x",
                                         "Name\t: x",
                                         "Na\001me: x",
                                         "Na\177me: x",
                                         "Na\200me: x",
                                         "Na\rme: x",
                                         "Na(me: x",
                                         ": x",
                                         "no colon",
                                         " Name: x",
                                         "\tName: x",
                                         "Transfer-Encoding : chunked",
                                         "Content-Length : 4",
                                         "Content Length: 4",
                                         "X-A: b\r\nBad Name: x" };

  for (size_t kind = 0; kind < G_N_ELEMENTS (kinds); kind++)
    {
      for (size_t i = 0; i < G_N_ELEMENTS (valid); i++)
        expect_line (kinds[kind], valid[i], HTTP_READER_END);
      for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
        expect_line (kinds[kind], invalid[i], HTTP_READER_ERROR);
    }
}

/** The fields of a trailer are no part of the head. */
static void
test_trailer (void)
{
  fixture_t *fixture = fixture_new (HTTP_READER_RESPONSE);

  g_assert_cmpint (feed_bytewise (fixture,
                                  "HTTP/1.1 200 OK\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"
                                  "2\r\nok\r\n0\r\nBad Name: x\r\n\r\n"),
                   ==, HTTP_READER_END);
  g_assert_cmpstr (fixture->body->str, ==, "ok");
  fixture_free (fixture);
}

static void
test_body_not_expected (void)
{
  fixture_t *fixture = fixture_new (HTTP_READER_RESPONSE);
  size_t used;

  http_reader_expect_no_body (fixture->reader);
  g_assert_cmpint (
      feed (fixture, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", &used), ==,
      HTTP_READER_END);
  fixture_free (fixture);
}

static void
test_malformed (void)
{
  char *long_head = g_strnfill (2000, 'a');
  char *too_long
      = g_strdup_printf ("GET / HTTP/1.1\r\nX: %s\r\n\r\n", long_head);
  const char *texts[] = { "not http at all\r\n\r\n",
                          "GET / HTTP/1.1\r\nContent-Length: 1\r\n"
                          "Content-Length: 2\r\n\r\nab",
                          "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                          "GET / HTTP/1.1\r\nContent-Length: 3\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                          too_long };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      fixture_t *fixture = fixture_new (HTTP_READER_REQUEST);
      size_t used;

      g_assert_cmpint (feed (fixture, texts[i], &used), ==, HTTP_READER_ERROR);
      fixture_free (fixture);
    }
  g_free (too_long);
  g_free (long_head);
}

static void
test_hop_fields (void)
{
  http_field_t items[] = { { "Connection", "close, X-Mine" },
                           { "X-Mine", "1" },
                           { "X-Other", "2" } };
  http_fields_t fields = { .items = items, .count = G_N_ELEMENTS (items) };

  g_assert_true (http_field_is_hop_by_hop (&fields, "connection"));
  g_assert_true (http_field_is_hop_by_hop (&fields, "x-mine"));
  g_assert_true (http_field_is_hop_by_hop (&fields, "Transfer-Encoding"));
  g_assert_false (http_field_is_hop_by_hop (&fields, "X-Other"));
  g_assert_false (http_field_is_hop_by_hop (&fields, "X-Min"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http-reader/request", test_request);
  g_test_add_func ("/http-reader/bytes-after-answer", test_bytes_after_answer);
  g_test_add_func ("/http-reader/chunks", test_chunks);
  g_test_add_func ("/http-reader/close", test_connection_close_ends_answer);
  g_test_add_func ("/http-reader/interim", test_interim_answer_is_skipped);
  g_test_add_func ("/http-reader/status", test_status);
  g_test_add_func ("/http-reader/status-and-close", test_status_and_close);
  g_test_add_func ("/http-reader/status-after-interim",
                   test_status_after_interim);
  g_test_add_func ("/http-reader/field-names", test_field_names);
  g_test_add_func ("/http-reader/trailer", test_trailer);
  g_test_add_func ("/http-reader/no-body", test_body_not_expected);
  g_test_add_func ("/http-reader/malformed", test_malformed);
  g_test_add_func ("/http-reader/hop-fields", test_hop_fields);
  return g_test_run ();
}
