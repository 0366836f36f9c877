/* Runs the load client against a fake entry instance on the same event loop,
 * which sends complete, crossed, short, refused or no answers. */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "load-client.h"
#include "prompt.h"

#define REQUESTS 40
#define TOKENS   3

typedef enum
{
  FAKE_WHOLE,
  FAKE_CROSSED,
  FAKE_GARBLED,
  FAKE_SHORT,
  FAKE_REFUSED,
  FAKE_SILENT,
  FAKE_BAD_NAME, /* a blank in the name of a field */
} fake_t;

typedef struct
{
  struct event_base *base;
  struct evhttp *http;
  char address[32];
  fake_t fake;
  guint served;
  guint done;
  size_t body_bytes;
  load_record_t last;
  Lwm__Scenario scenario;
  Lwm__LoadClass class;
  load_client_t *client;
  load_prompt_t *prompt;
  uint64_t seed; /* generates the tokens of the expected answer */
} bed_t;

static void
send_event (bed_t *bed,
            struct evhttp_request *request,
            const char *id,
            int offset)
{
  struct evbuffer *out = evbuffer_new ();
  char text[TOKEN_TEXT_BYTES];

  token_text (bed->seed, (uint32_t)offset, text);

  if (offset < TOKENS)
    evbuffer_add_printf (out,
                         "data: {\"id\":\"%s\",\"choices\":[{\"text\":\"%s\"}],"
                         "\"offset\":%d}\n\n",
                         id, bed->fake == FAKE_GARBLED ? " zazaza" : text,
                         offset);
  else
    evbuffer_add_printf (out,
                         "data: {\"id\":\"%s\",\"choices\":[{\"text\":\"\","
                         "\"finish_reason\":\"length\"}],\"offset\":%d,"
                         "\"usage\":{\"cached_tokens\":7}}\n\n"
                         "data: [DONE]\n\n",
                         id, offset);
  evhttp_send_reply_chunk (request, out);
  evbuffer_free (out);
}

static void
send_stream (bed_t *bed, struct evhttp_request *request)
{
  if (bed->fake == FAKE_BAD_NAME)
    evhttp_add_header (evhttp_request_get_output_headers (request), "Bad Name",
                       "x");
  evhttp_send_reply_start (request, 200, "OK");
  for (int offset = 0; offset <= TOKENS; offset++)
    {
      if (bed->fake == FAKE_SHORT && offset == 1)
        continue;
      send_event (bed, request,
                  bed->fake == FAKE_CROSSED && offset == 2 ? "other" : "own",
                  offset);
    }
  evhttp_send_reply_end (request);
}

static void
on_request (struct evhttp_request *request, void *context)
{
  bed_t *bed = context;
  struct evbuffer *out;

  bed->served++;
  bed->body_bytes
      = evbuffer_get_length (evhttp_request_get_input_buffer (request));
  if (bed->fake == FAKE_SILENT)
    return;
  if (bed->fake != FAKE_REFUSED)
    {
      send_stream (bed, request);
      return;
    }
  out = evbuffer_new ();
  evbuffer_add_printf (
      out, "{\"error\":{\"kind\":\"queue_full\",\"not_run\":true}}");
  evhttp_send_reply (request, 503, "busy", out);
  evbuffer_free (out);
}

static void
on_done (const load_record_t *record, void *context)
{
  bed_t *bed = context;

  bed->last = *record;
  bed->done++;
}

static void
on_gap (const load_request_t *request, uint64_t gap_us, void *context)
{
}

static char *versions[] = { (char *)"v1", (char *)"v2" };

static bed_t *
bed_new (fake_t fake)
{
  bed_t *bed = talloc_zero (NULL, bed_t);
  char *targets[1] = { bed->address };
  load_client_options_t options = { .targets = targets, .target_count = 1 };
  struct evhttp_bound_socket *socket;
  struct sockaddr_in address = { 0 };
  socklen_t length = sizeof address;

  bed->fake = fake;
  bed->base = event_base_new ();
  bed->http = evhttp_new (bed->base);
  socket = evhttp_bind_socket_with_handle (bed->http, "127.0.0.1", 0);
  getsockname (evhttp_bound_socket_get_fd (socket), (struct sockaddr *)&address,
               &length);
  g_snprintf (bed->address, sizeof bed->address, "127.0.0.1:%d",
              ntohs (address.sin_port));
  evhttp_set_gencb (bed->http, on_request, bed);
  lwm__scenario__init (&bed->scenario);
  lwm__load_class__init (&bed->class);
  bed->scenario.service = (char *)"lacewing";
  bed->class.name = (char *)"short";
  bed->class.deadline_ms = fake == FAKE_SILENT ? 100 : 20000;
  options.base = bed->base;
  options.scenario = &bed->scenario;
  bed->scenario.model = (char *)"rose";
  bed->scenario.version = versions;
  bed->scenario.n_version = G_N_ELEMENTS (versions);
  bed->prompt = load_prompt_new (bed, &bed->scenario);
  options.prompt = bed->prompt;
  options.time_scale_percent = 100;
  options.on_done = on_done;
  options.on_gap = on_gap;
  options.context = bed;
  bed->client = load_client_new (bed, &options);
  return bed;
}

static void
bed_run (bed_t *bed, guint requests)
{
  load_request_t request = { .customer = "nursery",
                             .class_ = &bed->class,
                             .prompt_tokens = 1000,
                             .output_tokens = TOKENS,
                             .prefix = -1 };

  size_t size_bytes;
  char *text = load_prompt_text (bed->prompt, bed, &request, &size_bytes);

  bed->seed
      = token_seed ("rose", "", "v2", prompt_new (bed, text, size_bytes)->hash);
  for (guint i = 0; i < requests; i++)
    {
      request.number = i + 1;
      load_client_send (bed->client, &request, 0);
    }
  /* The caller may change its request as soon as it is sent. */
  memset (&request, 0, sizeof request);
  while (bed->done < requests)
    event_base_loop (bed->base, EVLOOP_ONCE);
  g_assert_cmpuint (load_client_active (bed->client), ==, 0);
}

static void
bed_free (bed_t *bed)
{
  talloc_free (bed->client);
  evhttp_free (bed->http);
  event_base_free (bed->base);
  talloc_free (bed);
}

static void
test_whole_answers (void)
{
  bed_t *bed = bed_new (FAKE_WHOLE);

  bed_run (bed, REQUESTS);
  g_assert_cmpuint (bed->served, ==, REQUESTS);
  g_assert_cmpuint (bed->body_bytes, >, 4000);
  g_assert_cmpint (bed->last.outcome, ==, LOAD_OK);
  g_assert_cmpuint (bed->last.tokens, ==, TOKENS);
  g_assert_cmpuint (bed->last.cached_tokens, ==, 7);
  g_assert_cmpuint (bed->last.first_token_us, >, 0);
  bed->done = 0;
  bed_run (bed, REQUESTS);
  g_assert_cmpint (bed->last.outcome, ==, LOAD_OK);
  bed_free (bed);
}

static void
expect_outcome (fake_t fake, load_outcome_t outcome, const char *reason)
{
  bed_t *bed = bed_new (fake);

  bed_run (bed, 1);
  g_assert_cmpint (bed->last.outcome, ==, outcome);
  g_assert_cmpstr (bed->last.reason, ==, reason);
  bed_free (bed);
}

static void
test_wrong_answers (void)
{
  expect_outcome (FAKE_CROSSED, LOAD_WRONG, "wrong_answer");
  expect_outcome (FAKE_GARBLED, LOAD_WRONG, "wrong_answer");
  expect_outcome (FAKE_SHORT, LOAD_WRONG, "wrong_answer");
}

static void
test_refused_request (void)
{
  expect_outcome (FAKE_REFUSED, LOAD_REFUSED, "queue_full");
}

/* Guards against an answer that is not valid counting as answered. */
static void
test_invalid_answer (void)
{
  expect_outcome (FAKE_BAD_NAME, LOAD_FAILED, "connection_broken");
}

static void
test_silent_server_loses_request (void)
{
  expect_outcome (FAKE_SILENT, LOAD_LOST, "no_answer");
}

static void
test_unreachable (void)
{
  bed_t *bed = bed_new (FAKE_WHOLE);

  evhttp_free (bed->http);
  bed->http = evhttp_new (bed->base);
  bed_run (bed, 1);
  g_assert_cmpint (bed->last.outcome, ==, LOAD_FAILED);
  g_assert_cmpstr (bed->last.reason, ==, "no_connection");
  bed_free (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/load-client/whole-answers", test_whole_answers);
  g_test_add_func ("/load-client/wrong-answers", test_wrong_answers);
  g_test_add_func ("/load-client/refused", test_refused_request);
  g_test_add_func ("/load-client/invalid", test_invalid_answer);
  g_test_add_func ("/load-client/lost", test_silent_server_loses_request);
  g_test_add_func ("/load-client/unreachable", test_unreachable);
  return g_test_run ();
}
