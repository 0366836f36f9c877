/* Exchange of evidence against requests that crash upstreams. */
#include <event2/event.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "membership-internal.h"

/* Times from the news, or from the message before, to each message to all
 * instances. Crashes in the first of them are sent together. */
static const uint32_t send_after_ms[] = { 20, 300, 1000, 3000 };

bool
membership_put_evidence (membership_t *membership,
                         void *scratch,
                         Lwm__Gossip *message)
{
  const membership_options_t *options = &membership->options;

  if (options->evidence != NULL)
    message->evidence = options->evidence (scratch, options->context);
  return message->evidence != NULL;
}

/** Sends a message to all live instances, also those of other zones. */
static void
send_to_all (membership_t *membership, const Lwm__Gossip *message)
{
  const Lwm__InstanceRecord *self = gossip_self (membership->gossip);
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, gossip_instances (membership->gossip));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Lwm__InstanceRecord *record = ((gossip_instance_t *)value)->record;

      if (record != self && record->state < LWM__INSTANCE_STATE__DEAD)
        membership_send (membership, record->instance, GOSSIP_NET_EVIDENCE,
                         message);
    }
}

static void
schedule_next (membership_t *membership)
{
  struct timeval wait;

  if (membership->evidence_sent >= G_N_ELEMENTS (send_after_ms))
    return;
  wait = timeval_from_ms (send_after_ms[membership->evidence_sent]);
  event_add (membership->evidence_event, &wait);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  membership_t *membership = arg;
  double since_s = membership_thread_cpu_s ();
  void *scratch = talloc_new (NULL);
  Lwm__Gossip message;

  membership_message (membership, &message);
  if (membership_put_evidence (membership, scratch, &message))
    send_to_all (membership, &message);
  talloc_free (scratch);
  membership->evidence_sent++;
  schedule_next (membership);
  membership_add_cpu (membership, since_s);
}

void
membership_add_evidence (membership_t *membership)
{
  membership->evidence_event
      = event_new (membership->options.base, -1, 0, on_timer, membership);
}

void
membership_spread_evidence (membership_t *membership)
{
  bool is_due = membership->evidence_sent == 0
                && event_pending (membership->evidence_event, EV_TIMEOUT, NULL);

  /* The first message about earlier news, if it is not sent yet, is not put off
   * by later ones. */
  if (is_due || membership->net == NULL)
    return;
  membership->evidence_sent = 0;
  schedule_next (membership);
}

void
membership_take_evidence (membership_t *membership, const Lwm__Gossip *message)
{
  const membership_options_t *options = &membership->options;
  void *scratch;
  Lwm__Gossip reply;

  if (options->on_evidence == NULL
      || !options->on_evidence (message->evidence, options->context))
    return;
  scratch = talloc_new (NULL);
  membership_message (membership, &reply);
  if (membership_put_evidence (membership, scratch, &reply))
    membership_send (membership, message->from, GOSSIP_NET_EVIDENCE, &reply);
  talloc_free (scratch);
}
