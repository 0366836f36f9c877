#include "entry-orders.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "orders.h"
#include "reconciler.h"

struct entry_orders
{
  entry_orders_options_t options;
  orders_t *orders;
  reconciler_t *reconciler;
};

/** An operator's order that has no result yet. */
typedef struct
{
  admin_done_cb_t done;
  void *done_context;
} pending_order_t;

static bool
may_reconcile (void *context)
{
  entry_orders_t *orders = context;

  return membership_is_delegate (orders->options.membership);
}

static JsonNode *
fencing_node (uint64_t fencing)
{
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  JsonObject *object = json_object_new ();

  json_object_set_int_member (object, "fencing", (gint64)fencing);
  json_node_take_object (node, object);
  return node;
}

static void
on_sent (orders_result_t result, uint64_t fencing, void *context)
{
  pending_order_t *pending = context;
  admin_done_cb_t done = pending->done;
  void *done_context = pending->done_context;

  talloc_free (pending);
  switch (result)
    {
    case ORDERS_DONE:
      done (ERROR_NONE, NULL, fencing_node (fencing), done_context);
      break;
    case ORDERS_NO_QUORUM:
      done (ERROR_NO_QUORUM, NULL, NULL, done_context);
      break;
    case ORDERS_HELD:
      done (ERROR_NO_UPSTREAM,
            "another order to this upstream is in progress; "
            "try again",
            NULL, done_context);
      break;
    case ORDERS_NO_UPSTREAM:
      done (ERROR_NOT_FOUND, "no such upstream is known here", NULL,
            done_context);
      break;
    case ORDERS_REFUSED:
      done (ERROR_BAD_REQUEST, "the upstream refused the order", NULL,
            done_context);
      break;
    default:
      done (ERROR_OUTCOME_UNKNOWN, "the upstream did not answer", NULL,
            done_context);
      break;
    }
}

void
entry_orders_send (entry_orders_t *orders,
                   const admin_order_t *order,
                   admin_done_cb_t done,
                   void *done_context)
{
  pending_order_t *pending = talloc_zero (orders, pending_order_t);
  orders_order_t spec = {
    .upstream = order->upstream,
    .kind = order->kind,
    .weights = { order->model, order->adapter, order->version },
    .role = order->role,
  };

  pending->done = done;
  pending->done_context = done_context;
  orders_send (orders->orders, &spec, on_sent, pending);
}

void
entry_orders_set_config (entry_orders_t *orders, const Lwm__Config *config)
{
  orders_set_config (orders->orders, config);
  reconciler_set_config (orders->reconciler, config);
}

entry_orders_t *
entry_orders_new (void *parent, const entry_orders_options_t *options)
{
  entry_orders_t *orders = talloc_zero (parent, entry_orders_t);
  char *holder = talloc_asprintf (orders, "%s/%" PRIu64, options->instance,
                                  membership_incarnation (options->membership));
  orders_options_t sender = {
    .control = options->control,
    .registry = options->registry,
    .ops = options->ops,
    .ops_context = options->ops_context,
    .metrics = options->metrics,
    .holder = holder,
  };
  reconciler_options_t reconciler = {
    .base = options->base,
    .control = options->control,
    .registry = options->registry,
    .zone = options->zone,
    .holder = holder,
    .may = may_reconcile,
    .context = orders,
  };

  orders->options = *options;
  orders->orders = orders_new (orders, &sender);
  reconciler.orders = orders->orders;
  orders->reconciler = reconciler_new (orders, &reconciler);
  return orders;
}
