/* Orders to an engine: load weights, unload weights or change the role. */
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "http.h"
#include "standin-private.h"
#define LOG_PART "upstream"
#include "logging.h"

#define STATUS_FORBIDDEN 403
#define STATUS_CONFLICT  409
#define MAX_DIGEST_BYTES 64

/* An adapter is much smaller than the model's weights, so it loads faster. */
#define ADAPTER_LOAD_DIVISOR 10

typedef struct
{
  standin_t *standin;
  char *id;
  char *kind;
  uint64_t fencing;
  weights_t *weights;  /* weights being loaded, or NULL */
  struct event *timer; /* timer for the end of loading, or NULL */
} order_t;

void
standin_add_weights (standin_t *standin,
                     const char *model,
                     const char *adapter,
                     const char *version)
{
  weights_t *weights = talloc_zero (standin, weights_t);

  weights->model = talloc_strdup (weights, model);
  weights->adapter = talloc_strdup (weights, adapter);
  weights->version = talloc_strdup (weights, version);
  g_ptr_array_add (standin->weights, weights);
}

static bool
matches_if_given (const char *expected, const char *actual)
{
  return expected == NULL || expected[0] == '\0'
         || strcmp (expected, actual) == 0;
}

static weights_t *
find_weights (const standin_t *standin,
              const char *model,
              const char *adapter,
              const char *version)
{
  for (guint i = 0; i < standin->weights->len; i++)
    {
      weights_t *weights = g_ptr_array_index (standin->weights, i);

      if (matches_if_given (model, weights->model)
          && matches_if_given (version, weights->version)
          && strcmp (adapter, weights->adapter) == 0)
        return weights;
    }
  return NULL;
}

const weights_t *
standin_find_weights (const standin_t *standin,
                      const char *model,
                      const char *adapter,
                      const char *version)
{
  const weights_t *weights = find_weights (standin, model, adapter, version);

  return weights != NULL && !weights->loading ? weights : NULL;
}

static const char *
order_state (const order_t *order)
{
  return order->timer != NULL ? "loading" : "done";
}

static JsonObject *
order_object (const order_t *order)
{
  JsonObject *object = json_object_new ();

  json_object_set_string_member (object, "id", order->id);
  json_object_set_string_member (object, "kind", order->kind);
  json_object_set_int_member (object, "fencing", (gint64)order->fencing);
  json_object_set_string_member (object, "state", order_state (order));
  return object;
}

JsonArray *
standin_orders_array (const standin_t *standin)
{
  JsonArray *array = json_array_new ();

  for (guint i = 0; i < standin->orders->len; i++)
    json_array_add_object_element (
        array, order_object (g_ptr_array_index (standin->orders, i)));
  return array;
}

void
standin_free_orders (standin_t *standin)
{
  for (guint i = 0; i < standin->orders->len; i++)
    {
      order_t *order = g_ptr_array_index (standin->orders, i);

      if (order->timer != NULL)
        event_free (order->timer);
    }
  g_ptr_array_free (standin->orders, TRUE);
  g_ptr_array_free (standin->weights, TRUE);
}

static void
on_loaded (evutil_socket_t fd, short what, void *arg)
{
  order_t *order = arg;

  event_free (order->timer);
  order->timer = NULL;
  order->weights->loading = false;
  order->weights = NULL;
  log_info ("Loaded weights. order=%s", order->id);
  announce_now (order->standin->announce);
}

static void
start_load (order_t *order,
            const char *model,
            const char *adapter,
            const char *version)
{
  standin_t *standin = order->standin;
  uint32_t load_ms = standin->settings->load_ms;
  struct timeval time = standin_scaled (
      standin, adapter[0] != '\0' ? load_ms / ADAPTER_LOAD_DIVISOR : load_ms);

  standin_add_weights (standin, model, adapter, version);
  order->weights
      = g_ptr_array_index (standin->weights, standin->weights->len - 1);
  order->weights->loading = true;
  order->timer = event_new (standin->base, -1, 0, on_loaded, order);
  event_add (order->timer, &time);
}

/* Removes weights and ends an order that is loading them. Streams that already
 * use the weights run to their end. */
static void
unload_weights (standin_t *standin, weights_t *weights)
{
  for (guint i = 0; i < standin->orders->len; i++)
    {
      order_t *order = g_ptr_array_index (standin->orders, i);

      if (order->weights != weights)
        continue;
      order->weights = NULL;
      event_free (order->timer);
      order->timer = NULL;
    }
  g_ptr_array_remove (standin->weights, weights);
  talloc_free (weights);
}

static void
execute_order (order_t *order, JsonObject *body)
{
  standin_t *standin = order->standin;
  const char *model = http_json_text_member (body, "model", "");
  const char *adapter = http_json_text_member (body, "adapter", "");
  const char *version = http_json_text_member (body, "version", "");
  weights_t *weights = find_weights (standin, model, adapter, version);

  if (strcmp (order->kind, "role") == 0)
    {
      talloc_free (standin->role);
      standin->role = talloc_strdup (
          standin, http_json_text_member (body, "role", "both"));
    }
  else if (strcmp (order->kind, "load") == 0 && weights == NULL)
    start_load (order, model, adapter, version);
  else if (strcmp (order->kind, "unload") == 0 && weights != NULL)
    unload_weights (standin, weights);
}

/** Returns the mistake in an order, or NULL. */
static const char *
find_order_mistake (JsonObject *body)
{
  const char *kind = http_json_text_member (body, "kind", "");
  const char *role = http_json_text_member (body, "role", "");
  bool is_role = strcmp (kind, "role") == 0;

  if (http_json_text_member (body, "id", "")[0] == '\0')
    return "'id' is missing";
  if (!is_role && strcmp (kind, "load") != 0 && strcmp (kind, "unload") != 0)
    return "'kind' is not load, unload or role";
  if (is_role && strcmp (role, "both") != 0 && strcmp (role, "prefill") != 0
      && strcmp (role, "decode") != 0)
    return "'role' is not both, prefill or decode";
  if (!is_role && http_json_text_member (body, "model", "")[0] == '\0')
    return "'model' is missing";
  if (!is_role && http_json_text_member (body, "version", "")[0] == '\0')
    return "'version' is missing";
  if (http_json_number_member (body, "fencing", 0) < 0)
    return "'fencing' must not be negative";
  return NULL;
}

/** Computes the required signature of an order as hexadecimal digits. */
static void
sign_order (const char *key, JsonObject *body, char *text)
{
  unsigned char digest[MAX_DIGEST_BYTES];
  unsigned int size = 0;
  char *message
      = g_strdup_printf ("%s\n%s\n%s\n%s\n%s\n%s\n%" G_GINT64_FORMAT,
                         http_json_text_member (body, "id", ""),
                         http_json_text_member (body, "kind", ""),
                         http_json_text_member (body, "model", ""),
                         http_json_text_member (body, "adapter", ""),
                         http_json_text_member (body, "version", ""),
                         http_json_text_member (body, "role", ""),
                         http_json_number_member (body, "fencing", 0));

  HMAC (EVP_sha256 (), key, (int)strlen (key), (unsigned char *)message,
        strlen (message), digest, &size);
  for (unsigned int i = 0; i < size; i++)
    g_snprintf (text + (size_t)i * 2, 3, "%02x", digest[i]);
  g_free (message);
}

static bool
is_signed (const standin_t *standin, JsonObject *body)
{
  const char *key = standin->settings->order_key;
  char expected[2 * MAX_DIGEST_BYTES + 1] = "";

  if (key[0] == '\0')
    return true;
  sign_order (key, body, expected);
  return strcmp (http_json_text_member (body, "signature", ""), expected) == 0;
}

static order_t *
find_order (const standin_t *standin, const char *id)
{
  for (guint i = 0; i < standin->orders->len; i++)
    {
      order_t *order = g_ptr_array_index (standin->orders, i);

      if (strcmp (order->id, id) == 0)
        return order;
    }
  return NULL;
}

static order_t *
accept_order (standin_t *standin, JsonObject *body)
{
  order_t *order = talloc_zero (standin, order_t);

  order->standin = standin;
  order->id = talloc_strdup (order, http_json_text_member (body, "id", ""));
  order->kind = talloc_strdup (order, http_json_text_member (body, "kind", ""));
  order->fencing = (uint64_t)http_json_number_member (body, "fencing", 0);
  standin->last_fencing = MAX (standin->last_fencing, order->fencing);
  g_ptr_array_add (standin->orders, order);
  execute_order (order, body);
  log_info ("Took an order. id=%s kind=%s fencing=%" G_GUINT64_FORMAT,
            order->id, order->kind, order->fencing);
  announce_now (standin->announce);
  return order;
}

void
standin_order (standin_t *standin,
               struct evhttp_request *request,
               JsonObject *body)
{
  const char *mistake = find_order_mistake (body);
  bool checks_fencing = strcmp (standin->settings->fencing, "check") == 0;
  order_t *order;

  if (mistake != NULL)
    {
      standin_refuse_bad (request, mistake);
      return;
    }
  if (!is_signed (standin, body))
    {
      standin_refuse (request, STATUS_FORBIDDEN, "bad_signature", RAN_NO);
      return;
    }
  order = find_order (standin, http_json_text_member (body, "id", ""));
  if (order == NULL && checks_fencing
      && (uint64_t)http_json_number_member (body, "fencing", 0)
             < standin->last_fencing)
    {
      standin_refuse (request, STATUS_CONFLICT, "stale_fencing", RAN_NO);
      return;
    }
  if (order == NULL)
    order = accept_order (standin, body);
  standin_reply (request, order_object (order));
}
