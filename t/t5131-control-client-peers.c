/*
 * The control instances that a client knows, over many replacements.
 */
#include <event2/event.h>
#include <glib.h>
#include <talloc.h>
#include <zmq.h>

#include "base.h"
#include "control-client.h"
#include "control.pb-c.h"
#include "lib-address.h"
#include "mq.h"

/** Control instances that were replaced one after the other, each at a new
 * address. */
#define REPLACED 40
/** Time from one replacement to the next. */
#define REPLACE_MS 150
/** A call tries another instance each 400 ms, of 16 that a client knows. */
#define CALL_MS 8000

typedef struct
{
  struct event_base *base;
  mq_t *router;
  control_client_t *client;
  bool is_answered;
  Lwm__ControlResult result;
} fixture_t;

static void
on_request (const mq_frame_t *frames, size_t count, void *context)
{
  fixture_t *fixture = context;
  Lwm__ControlMessage *request = lwm__control_message__unpack (
      NULL, frames[1].size_bytes, frames[1].data);
  Lwm__ControlMessage message = LWM__CONTROL_MESSAGE__INIT;
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
  uint8_t data[200];
  mq_frame_t reply[2] = { frames[0], { .data = data } };

  answer.id = request->request->id;
  answer.name = (char *)"live";
  message.what_case = LWM__CONTROL_MESSAGE__WHAT_ANSWER;
  message.answer = &answer;
  reply[1].size_bytes = lwm__control_message__pack (&message, data);
  mq_send (fixture->router, reply, 2);
  lwm__control_message__free_unpacked (request, NULL);
}

static void
on_answer (const Lwm__ControlAnswer *answer, void *context)
{
  fixture_t *fixture = context;

  fixture->is_answered = true;
  fixture->result = answer->result;
}

static void
run_for (fixture_t *fixture, uint64_t ms)
{
  uint64_t end_ms = clock_mono_ms () + ms;

  while (!fixture->is_answered && clock_mono_ms () < end_ms)
    event_base_loop (fixture->base, EVLOOP_ONCE);
}

/* Guards against: an instance that reaches no control instance any more once as
 * many have been replaced as its client remembers (CONFIG). */
static void
test_many_replacements (void)
{
  fixture_t fixture = { .base = event_base_new () };
  char *seeds[] = { (char *)"127.0.0.1:9", NULL };
  char live[ADDRESS_BYTES];
  control_client_options_t options
      = { .base = fixture.base, .peers = seeds, .peer_count = 1 };
  mq_options_t listening = { .base = fixture.base,
                             .type = ZMQ_ROUTER,
                             .bind = live,
                             .on_message = on_request,
                             .context = &fixture };

  choose_free_address (live);
  fixture.router = mq_new (NULL, &listening);
  fixture.client = control_client_new (NULL, &options);
  for (int i = 0; i < REPLACED; i++)
    {
      char *address = g_strdup_printf ("127.0.0.1:%d", 10 + i);

      control_client_add_peer (fixture.client, address);
      control_client_get (fixture.client, 0, REPLACE_MS * 4, NULL, NULL);
      run_for (&fixture, REPLACE_MS);
      g_free (address);
    }
  control_client_add_peer (fixture.client, live);
  control_client_get (fixture.client, 0, CALL_MS, on_answer, &fixture);
  run_for (&fixture, CALL_MS + 1000);
  g_assert_true (fixture.is_answered);
  g_assert_cmpint (fixture.result, ==, LWM__CONTROL_RESULT__RESULT_OK);
  talloc_free (fixture.client);
  talloc_free (fixture.router);
  event_base_free (fixture.base);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t5131-control-client-peers");
  g_test_add_func ("/control-client-peers/many-replacements",
                   test_many_replacements);
  return g_test_run ();
}
