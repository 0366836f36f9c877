/*
 * Upstreams that send an answer a second time, late, when the next request
 * comes on the same connection: nobody may take it for the answer to that
 * request.
 */
#include <event2/event.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "exchange.h"
#include "lib-gateway.h"

#define PAUSE_MS 700

#define PAUSE_ANSWER                                                           \
  "HTTP/1.1 503 Busy\r\nX-Id: r1\r\nX-Not-Run: 1\r\nX-Pause-Ms: 700\r\n"       \
  "Content-Length: 0\r\n\r\n"
#define ANSWER_WITHOUT_ID                                                      \
  "HTTP/1.1 400 Bad\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
#define ANSWER_WITH_ID                                                         \
  "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok"

static void
let_both (gateway_fixture_t *fixture, act_t act, const char *text)
{
  for (int i = 0; i < GATEWAY_UPSTREAMS; i++)
    {
      fixture->upstreams[i].act = act;
      fixture->upstreams[i].text = text;
    }
}

static void
call (gateway_fixture_t *fixture, const char *request, const char *expected)
{
  gateway_fixture_send (fixture, request);
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, expected));
  GATEWAY_WAIT (gateway_open_requests (fixture->gateway) == 0);
}

static void
wait_ms (gateway_fixture_t *fixture, uint32_t ms)
{
  uint64_t until_ms = clock_mono_ms () + ms;

  GATEWAY_WAIT (clock_mono_ms () >= until_ms);
}

/** Sends a request that both upstreams refuse at first. Each sends its refusal
 * once more when it gets the request again, and runs it. Returns how often it
 * was run. */
static uint32_t
count_runs_after_refusal (const char *request)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  uint32_t runs;

  for (int i = 0; i < 15; i++)
    call (fixture, GET ("/safe/"), "body");
  let_both (fixture, ACT_TEXT, PAUSE_ANSWER);
  gateway_fixture_send (fixture, request);
  wait_ms (fixture, PAUSE_MS / 2);
  let_both (fixture, ACT_COPY, PAUSE_ANSWER);
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "data: body"));
  /* Time for the request to reach another upstream as well. */
  wait_ms (fixture, PAUSE_MS);
  runs = fixture->upstreams[0].runs + fixture->upstreams[1].runs;
  gateway_fixture_free (fixture);
  return runs;
}

/* Guards against: a request that may run once is run at two upstreams, because
 * a second copy of the first one's refusal was taken for the answer to the
 * request when it was sent there again (TWICE). */
static void
test_refused_requests_run_once (void)
{
  g_assert_cmpuint (count_runs_after_refusal (POST ("/once/")), ==, 1);
  g_assert_cmpuint (count_runs_after_refusal (POST ("/unsafe/")), ==, 1);
  g_assert_cmpuint (count_runs_after_refusal (POST ("/stream/")), ==, 1);
  g_assert_cmpuint (count_runs_after_refusal (GET ("/safe/")), ==, 1);
}

/* Guards against: a caller gets the second copy of an answer without an id,
 * which belongs to the request before it on the connection (MIXED). */
static void
test_answer_without_id (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_TEXT, ACT_TEXT);

  let_both (fixture, ACT_TEXT, ANSWER_WITHOUT_ID);
  call (fixture, GET ("/safe/"), "HTTP/1.1 ");
  let_both (fixture, ACT_COPY, ANSWER_WITHOUT_ID);
  call (fixture, GET ("/safe/"), "body");
  g_assert_true (gateway_fixture_has_text (fixture, "200 OK"));
  g_assert_cmpuint (fixture->upstreams[0].runs + fixture->upstreams[1].runs, ==,
                    1);
  gateway_fixture_free (fixture);
}

/* Guards against: requests that follow each other on a connection all get new
 * connections, though their answers bear ids. */
static void
test_connection_is_kept (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_TEXT, ACT_TEXT);

  let_both (fixture, ACT_TEXT, ANSWER_WITH_ID);
  for (int i = 0; i < 10; i++)
    call (fixture, GET ("/safe/"), "ok");
  g_assert_cmpuint (fixture->upstreams[0].connections, ==, 1);
  gateway_fixture_free (fixture);
}

typedef struct
{
  uint32_t heads;
  uint32_t ends;
} exchange_count_t;

static void
count_head (exchange_t *exchange, void *context)
{
  ((exchange_count_t *)context)->heads++;
}

static void
ignore_body (exchange_t *exchange,
             const uint8_t *data,
             size_t size_bytes,
             void *context)
{
}

static void
count_end (exchange_t *exchange, void *context)
{
  ((exchange_count_t *)context)->ends++;
}

static void
fail_test (exchange_t *exchange, exchange_failure_t how, void *context)
{
  g_assert_not_reached ();
}

static const exchange_callbacks_t counting = { .on_head = count_head,
                                               .on_body = ignore_body,
                                               .on_end = count_end,
                                               .on_failed = fail_test };

/* Guards against: bytes that arrive on an idle connection just before a request
 * goes out on it are taken for its answer. */
static void
test_bytes_before_request (void)
{
  gateway_fixture_t *fixture = gateway_fixture_new ();
  scripted_t *upstream = &fixture->upstreams[0];
  exchange_pool_options_t pool_options = { .base = fixture->base,
                                           .connect_timeout_ms = 500,
                                           .idle_timeout_ms = 5000 };
  exchange_pool_t *pool = exchange_pool_new (NULL, &pool_options);
  exchange_count_t count = { 0 };
  http_fields_t fields = { 0 };
  exchange_options_t options = { .address = upstream->address,
                                 .owner = 1,
                                 .method = "GET",
                                 .target = "/",
                                 .fields = &fields,
                                 .callbacks = &counting,
                                 .context = &count };

  let_both (fixture, ACT_TEXT, ANSWER_WITH_ID);
  exchange_send (pool, &options);
  GATEWAY_WAIT (count.ends == 1);
  scripted_send_latest (upstream, ANSWER_WITHOUT_ID);
  exchange_send (pool, &options);
  GATEWAY_WAIT (count.ends == 2);
  g_assert_cmpuint (upstream->requests, ==, 2);
  g_assert_cmpuint (upstream->connections, ==, 2);
  talloc_free (pool);
  gateway_fixture_free (fixture);
}

/** Sends several requests at once, each on a connection of its own, and waits
 * for their answers. */
static void
send_at_once (gateway_fixture_t *fixture,
              exchange_pool_t *pool,
              const exchange_options_t *options,
              uint32_t requests)
{
  exchange_count_t *count = options->context;

  count->ends = 0;
  for (uint32_t i = 0; i < requests; i++)
    exchange_send (pool, options);
  GATEWAY_WAIT (count->ends == requests);
}

/* Guards against: the connection that was used last is closed and an older one
 * kept when there are as many idle ones as allowed. */
static void
test_newest_connection_is_kept (void)
{
  gateway_fixture_t *fixture = gateway_fixture_new ();
  scripted_t *upstream = &fixture->upstreams[0];
  exchange_pool_options_t pool_options = { .base = fixture->base,
                                           .connect_timeout_ms = 500,
                                           .idle_timeout_ms = 5000 };
  exchange_pool_t *pool = exchange_pool_new (NULL, &pool_options);
  exchange_count_t count = { 0 };
  http_fields_t fields = { 0 };
  exchange_options_t options = { .address = upstream->address,
                                 .owner = 1,
                                 .method = "GET",
                                 .target = "/",
                                 .fields = &fields,
                                 .use_new_connection = true,
                                 .callbacks = &counting,
                                 .context = &count };
  struct bufferevent *newest;

  let_both (fixture, ACT_TEXT, ANSWER_WITH_ID);
  send_at_once (fixture, pool, &options, 12);
  send_at_once (fixture, pool, &options, 1);
  newest = upstream->latest;
  options.use_new_connection = false;
  send_at_once (fixture, pool, &options, 1);
  g_assert_true (upstream->latest == newest);
  g_assert_cmpuint (upstream->connections, ==, 13);
  talloc_free (pool);
  gateway_fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/late-answers/refused-requests-run-once",
                   test_refused_requests_run_once);
  g_test_add_func ("/late-answers/without-id", test_answer_without_id);
  g_test_add_func ("/late-answers/connection-is-kept", test_connection_is_kept);
  g_test_add_func ("/late-answers/bytes-before-request",
                   test_bytes_before_request);
  g_test_add_func ("/late-answers/newest-connection-is-kept",
                   test_newest_connection_is_kept);
  return g_test_run ();
}
