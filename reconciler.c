#include "reconciler.h"

#include <event2/event.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "reconcile.h"

#define LOG_PART "orders"
#include "logging.h"

#define TICK_MS 500
/* Duration of the zone's lease, interval of its renewal, and timeout of a
 * renewal call. */
#define LEASE_TTL_MS     9000
#define LEASE_RENEW_MS   3000
#define LEASE_TIMEOUT_MS 2500
/* Time after which an order is sent again if its effect is not announced. */
#define RESEND_ORDER_MS 10000
#define MINUTE_MS       60000

struct reconciler
{
  reconciler_options_t options;
  const Lwm__Config *config;
  struct event *tick;
  char *lease;             /* name of the zone's lease */
  uint64_t lease_until_ms; /* end of the lease, 0: not held */
  uint64_t renew_due_ms;
  uint64_t lease_asked_ms; /* start of the last call for the lease */
  bool is_asking;          /* the last call for the lease has no answer yet */
  uint64_t next_load_ms;   /* earliest time of the next load order */
  GHashTable *pending_orders; /* upstream -> pending_order_t; both owned */
};

/** An order whose effect is not announced yet. */
typedef struct
{
  uint64_t until_ms; /* time at which the order is sent again */
  /* Number of loaded weights announced when the order was sent. */
  size_t loaded_count;
  char *role; /* role announced when the order was sent */
} pending_order_t;

/** Context of an order that is being sent. */
typedef struct
{
  reconciler_t *reconciler;
  char *upstream;
} send_context_t;

/** The engines of the zone, as input of a plan. */
typedef struct
{
  reconciler_t *reconciler;
  GArray *upstreams; /* reconcile_upstream_t */
  uint64_t now_ms;
} engine_list_t;

static int
free_reconciler (reconciler_t *reconciler)
{
  event_free (reconciler->tick);
  g_hash_table_destroy (reconciler->pending_orders);
  return 0;
}

/** Returns the time between two loads in this zone: each zone may use an equal
 * share of the deployment's limit. */
static uint64_t
load_interval_ms (const Lwm__Config *config)
{
  uint64_t zones = config->n_zones > 0 ? config->n_zones : 1;

  return MINUTE_MS * zones / MAX (config->weight_loads_per_min, 1);
}

static void
on_lease (const Lwm__ControlAnswer *answer, void *context)
{
  reconciler_t *reconciler = context;
  bool was_held = reconciler->lease_until_ms != 0;

  reconciler->is_asking = false;
  if (answer->result != LWM__CONTROL_RESULT__RESULT_OK)
    return;
  /* Counted from the start of the call, so that this instance's time ends
   * before that of the control group. */
  reconciler->lease_until_ms = reconciler->lease_asked_ms + LEASE_TTL_MS;
  if (was_held)
    return;
  log_info ("This instance sends the orders of the zone now. zone=%s",
            reconciler->options.zone);
  /* The previous holder may just have started a load. */
  if (reconciler->config != NULL)
    reconciler->next_load_ms
        = clock_mono_ms () + load_interval_ms (reconciler->config);
}

static void
request_lease (reconciler_t *reconciler, uint64_t now_ms)
{
  Lwm__ControlLeaseTake take = LWM__CONTROL_LEASE_TAKE__INIT;

  reconciler->is_asking = true;
  reconciler->lease_asked_ms = now_ms;
  reconciler->renew_due_ms = now_ms + LEASE_RENEW_MS;
  take.upstream = reconciler->lease;
  take.holder = (char *)reconciler->options.holder;
  take.ttl_ms = LEASE_TTL_MS;
  control_client_take_lease (reconciler->options.control, &take,
                             LEASE_TIMEOUT_MS, on_lease, reconciler);
}

/** Returns whether this instance holds the zone's lease, and asks for it or
 * renews it when due. */
static bool
update_lease (reconciler_t *reconciler, uint64_t now_ms)
{
  if (now_ms >= reconciler->lease_until_ms)
    reconciler->lease_until_ms = 0;
  if (!reconciler->is_asking && now_ms >= reconciler->renew_due_ms)
    request_lease (reconciler, now_ms);
  return reconciler->lease_until_ms != 0;
}

static void
free_pending_order (gpointer data)
{
  pending_order_t *busy = data;

  g_free (busy->role);
  g_free (busy);
}

/** Returns whether an order to the upstream is neither announced nor due to be
 * sent again. */
static bool
has_pending_order (reconciler_t *reconciler,
                   const registry_upstream_t *upstream,
                   uint64_t now_ms)
{
  const pending_order_t *busy
      = g_hash_table_lookup (reconciler->pending_orders, upstream->name);

  return busy != NULL && now_ms < busy->until_ms
         && busy->loaded_count == upstream->loaded_count
         && strcmp (busy->role, upstream->role) == 0;
}

static void
add_pending_order (reconciler_t *reconciler,
                   const char *upstream,
                   uint64_t until_ms)
{
  const registry_upstream_t *known
      = registry_find (reconciler->options.registry, upstream);
  pending_order_t *busy = g_new (pending_order_t, 1);

  busy->until_ms = until_ms;
  busy->loaded_count = known->loaded_count;
  busy->role = g_strdup (known->role);
  g_hash_table_insert (reconciler->pending_orders, g_strdup (upstream), busy);
}

/** Adds an upstream to the list if it is an engine of the zone. */
static void
add_engine (const registry_upstream_t *upstream, void *context)
{
  engine_list_t *list = context;
  reconciler_t *reconciler = list->reconciler;
  reconcile_upstream_t engine = {
    .upstream = upstream->name,
    .zone = upstream->zone,
    .role = upstream->role,
    .loaded = upstream->loaded,
    .loaded_count = upstream->loaded_count,
    .leaving = upstream->leaving,
  };

  if (!upstream->is_engine
      || strcmp (upstream->zone, reconciler->options.zone) != 0)
    return;
  engine.busy = has_pending_order (reconciler, upstream, list->now_ms);
  g_array_append_val (list->upstreams, engine);
}

static void
on_sent (orders_result_t result, uint64_t fencing, void *context)
{
  send_context_t *sent = context;

  /* An order that was certainly not accepted may be sent again on the next
   * tick. */
  if (result != ORDERS_DONE && result != ORDERS_NO_ANSWER)
    g_hash_table_remove (sent->reconciler->pending_orders, sent->upstream);
  talloc_free (sent);
}

static void
send_order (reconciler_t *reconciler,
            const reconcile_order_t *planned,
            uint64_t now_ms)
{
  static const char *const kinds[] = { "load", "unload", "role" };
  orders_order_t order = {
    .upstream = planned->upstream,
    .kind = kinds[planned->kind],
    .weights = planned->weights,
    .role = planned->role,
  };
  send_context_t *sent = talloc_zero (reconciler, send_context_t);

  sent->reconciler = reconciler;
  sent->upstream = talloc_strdup (sent, planned->upstream);
  add_pending_order (reconciler, planned->upstream, now_ms + RESEND_ORDER_MS);
  if (planned->kind == RECONCILE_LOAD)
    reconciler->next_load_ms = now_ms + load_interval_ms (reconciler->config);
  orders_send (reconciler->options.orders, &order, on_sent, sent);
}

/** Plans the next orders and sends them. */
static void
send_next_orders (reconciler_t *reconciler, uint64_t now_ms)
{
  engine_list_t list = { .reconciler = reconciler, .now_ms = now_ms };
  void *scratch = talloc_new (reconciler);
  reconcile_options_t options
      = { .config = reconciler->config, .zone = reconciler->options.zone };
  reconcile_order_t *planned;
  size_t count;

  list.upstreams = g_array_new (FALSE, FALSE, sizeof (reconcile_upstream_t));
  registry_each (reconciler->options.registry, add_engine, &list);
  options.upstreams
      = (const reconcile_upstream_t *)(const void *)list.upstreams->data;
  options.upstream_count = list.upstreams->len;
  options.loads_allowed = now_ms >= reconciler->next_load_ms ? 1 : 0;
  planned = reconcile_plan (scratch, &options, &count);
  for (size_t i = 0; i < count; i++)
    send_order (reconciler, &planned[i], now_ms);
  talloc_free (scratch);
  g_array_free (list.upstreams, TRUE);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  reconciler_t *reconciler = arg;
  uint64_t now_ms = clock_mono_ms ();

  if (reconciler->config == NULL || reconciler->config->n_wanted == 0
      || !reconciler->options.may (reconciler->options.context))
    return;
  if (update_lease (reconciler, now_ms))
    send_next_orders (reconciler, now_ms);
}

void
reconciler_set_config (reconciler_t *reconciler, const Lwm__Config *config)
{
  reconciler->config = config;
}

reconciler_t *
reconciler_new (void *parent, const reconciler_options_t *options)
{
  reconciler_t *reconciler = talloc_zero (parent, reconciler_t);
  struct timeval every = { .tv_usec = TICK_MS * 1000 };

  reconciler->options = *options;
  reconciler->lease = talloc_asprintf (reconciler, "zone/%s", options->zone);
  reconciler->pending_orders = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, free_pending_order);
  reconciler->tick
      = event_new (options->base, -1, EV_PERSIST, on_tick, reconciler);
  talloc_set_destructor (reconciler, free_reconciler);
  event_add (reconciler->tick, &every);
  return reconciler;
}
