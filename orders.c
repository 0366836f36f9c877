#include "orders.h"

#include <inttypes.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "config.h"

#define LOG_PART "orders"
#include "logging.h"

/* Duration of the lease, within which the order is sent. */
#define LEASE_TTL_MS 10000
/* Longest wait for the control group's answer to a lease request. */
#define LEASE_TIMEOUT_MS 5000
/* Longest time that an order sent at the lease's end takes to arrive. */
#define MAX_ORDER_DELAY_MS 5000
#define SIGNATURE_SIZE     (2 * EVP_MAX_MD_SIZE + 1)

struct orders
{
  orders_options_t options;
  const Lwm__Config *config; /* NULL until it is set */
  metric_t *results[ORDERS_RESULT_COUNT];
};

typedef struct
{
  orders_t *orders;
  char *upstream;
  char *kind;
  weights_t *weights;
  char *role;
  char *key;
  uint64_t fencing;
  orders_done_cb_t done;
  void *context;
} pending_order_t;

static const char *const result_names[ORDERS_RESULT_COUNT]
    = { "done", "no_quorum", "held", "no_upstream", "refused", "no_answer" };

const char *
orders_result_name (orders_result_t result)
{
  return result_names[result];
}

static void
finish_order (pending_order_t *pending, orders_result_t result)
{
  metric_add (pending->orders->results[result], 1);
  log_info ("Order ended. upstream=%s kind=%s version=%s fencing=%" PRIu64
            " result=%s",
            pending->upstream, pending->kind, pending->weights->version,
            pending->fencing, result_names[result]);
  pending->done (result, pending->fencing, pending->context);
  talloc_free (pending);
}

/** Releases the lease, so that the next order need not wait until it ends. */
static void
release_lease (const pending_order_t *pending)
{
  Lwm__ControlLeaseDrop drop = LWM__CONTROL_LEASE_DROP__INIT;

  drop.upstream = pending->upstream;
  drop.holder = (char *)pending->orders->options.holder;
  drop.fencing = pending->fencing;
  control_client_drop_lease (pending->orders->options.control, &drop,
                             LEASE_TIMEOUT_MS, NULL, NULL);
}

static void
on_answer (int status, void *context)
{
  pending_order_t *pending = context;
  orders_result_t result = ORDERS_REFUSED;

  if (status == 0)
    result = ORDERS_NO_ANSWER;
  else if (status >= 200 && status < 300)
    result = ORDERS_DONE;
  release_lease (pending);
  finish_order (pending, result);
}

/** Signs an order with the hexadecimal HMAC-SHA256 of its parts, as specified
 * in docs/UPSTREAM.md. */
static void
sign_order (const pending_order_t *pending,
            const char *id,
            char signature[SIGNATURE_SIZE])
{
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  const weights_t *weights = pending->weights;
  char *text
      = talloc_asprintf (NULL, "%s\n%s\n%s\n%s\n%s\n%s\n%" PRIu64, id,
                         pending->kind, weights->model, weights->adapter,
                         weights->version, pending->role, pending->fencing);

  HMAC (EVP_sha256 (), pending->key, (int)strlen (pending->key),
        (const unsigned char *)text, strlen (text), digest, &size);
  for (unsigned i = 0; i < size; i++)
    snprintf (signature + (size_t)2 * i, 3, "%02x", digest[i]);
  talloc_free (text);
}

static void
send_order (pending_order_t *pending, const registry_upstream_t *upstream)
{
  const orders_options_t *options = &pending->orders->options;
  upstream_target_t target
      = { upstream->name, upstream->address, upstream->incarnation };
  char signature[SIGNATURE_SIZE] = "";
  char id[160];
  upstream_order_t order = {
    .id = id,
    .kind = pending->kind,
    .model = pending->weights->model,
    .adapter = pending->weights->adapter,
    .version = pending->weights->version,
    .role = pending->role,
    .fencing = pending->fencing,
  };

  snprintf (id, sizeof id, "%s/%" PRIu64, upstream->name, pending->fencing);
  if (pending->key[0] != '\0')
    {
      sign_order (pending, id, signature);
      order.signature = signature;
    }
  options->ops->order (options->ops_context, &target, &order, on_answer,
                       pending);
}

static void
on_lease (const Lwm__ControlAnswer *answer, void *context)
{
  pending_order_t *pending = context;
  const registry_upstream_t *upstream
      = registry_find (pending->orders->options.registry, pending->upstream);

  if (answer->result == LWM__CONTROL_RESULT__RESULT_HELD)
    finish_order (pending, ORDERS_HELD);
  else if (answer->result != LWM__CONTROL_RESULT__RESULT_OK)
    finish_order (pending, ORDERS_NO_QUORUM);
  else if (upstream == NULL)
    finish_order (pending, ORDERS_NO_UPSTREAM);
  else
    {
      pending->fencing = answer->lease->fencing;
      send_order (pending, upstream);
    }
}

static char *
copy_text (pending_order_t *pending, const char *text)
{
  return talloc_strdup (pending, text != NULL ? text : "");
}

/** Returns the order key of an upstream's service, or NULL if there is none. */
static const char *
order_key (const orders_t *orders, const registry_upstream_t *upstream)
{
  const Lwm__Service *service = NULL;

  if (upstream != NULL && orders->config != NULL)
    service = config_service (orders->config, upstream->service);
  return service != NULL ? service->order_key : NULL;
}

void
orders_set_config (orders_t *orders, const Lwm__Config *config)
{
  orders->config = config;
}

void
orders_send (orders_t *orders,
             const orders_order_t *order,
             orders_done_cb_t done,
             void *context)
{
  const registry_upstream_t *upstream
      = registry_find (orders->options.registry, order->upstream);
  pending_order_t *pending = talloc_zero (orders, pending_order_t);
  Lwm__ControlLeaseTake take = LWM__CONTROL_LEASE_TAKE__INIT;

  pending->orders = orders;
  pending->upstream = copy_text (pending, order->upstream);
  pending->kind = copy_text (pending, order->kind);
  pending->weights = weights_copy (pending, &order->weights, 1);
  pending->role = copy_text (pending, order->role);
  pending->key = copy_text (pending, order_key (orders, upstream));
  pending->done = done;
  pending->context = context;
  take.upstream = pending->upstream;
  take.holder = (char *)orders->options.holder;
  take.ttl_ms = LEASE_TTL_MS;
  take.checks_fencing = upstream != NULL && upstream->fencing;
  take.max_delay_ms = MAX_ORDER_DELAY_MS;
  control_client_take_lease (orders->options.control, &take, LEASE_TIMEOUT_MS,
                             on_lease, pending);
}

orders_t *
orders_new (void *parent, const orders_options_t *options)
{
  orders_t *orders = talloc_zero (parent, orders_t);
  char labels[48];

  orders->options = *options;
  for (int i = 0; i < ORDERS_RESULT_COUNT; i++)
    {
      snprintf (labels, sizeof labels, "result=\"%s\"", result_names[i]);
      orders->results[i]
          = metrics_counter (options->metrics, "lwm_orders_total",
                             "orders to upstreams, by how they ended", labels);
    }
  return orders;
}
