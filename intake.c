#include "intake.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "http.h"
#include "request-signature.h"

#define MAX_BODY_BYTES            (8 * 1024 * 1024)
#define MAX_NAME_BYTES            256
#define MAX_PATH_BYTES            1024
#define MAX_COMPLETION_TOKENS     1000000
#define DEFAULT_COMPLETION_TOKENS 256
#define MAX_PRIORITY              9
#define DEFAULT_DEADLINE_MS       60000
#define MAX_DEADLINE_MS           (24 * 3600 * 1000)
#define BYTES_PER_TOKEN           4

/** Records an error. Only the first one is kept. */
static void
set_intake_error (void *parent,
                  intake_t *intake,
                  error_kind_t kind,
                  const char *detail)
{
  if (intake->error != ERROR_NONE)
    return;
  intake->error = kind;
  intake->detail = detail != NULL ? talloc_strdup (parent, detail) : NULL;
}

static void
reject_member (void *parent,
               intake_t *intake,
               const char *name,
               const char *expected)
{
  char *detail = talloc_asprintf (parent, "'%s' is not %s", name, expected);

  set_intake_error (parent, intake, ERROR_BAD_REQUEST, detail);
  talloc_free (detail);
}

static bool
is_printable_text (const char *text, size_t max_bytes)
{
  size_t length = strlen (text);

  if (length == 0 || length > max_bytes)
    return false;
  for (size_t i = 0; i < length; i++)
    if ((unsigned char)text[i] < ' ' || text[i] == 0x7f)
      return false;
  return g_utf8_validate (text, (gssize)length, NULL);
}

/**
 * Returns a short text from a header or, without that header, from a member of
 * the body; NULL when neither is set or the text is invalid.
 * @param header may be NULL
 */
static const char *
read_text (void *parent,
           intake_t *intake,
           struct evhttp_request *http,
           const char *member,
           const char *header)
{
  const char *value = header != NULL ? http_header (http, header) : NULL;
  JsonNode *node = NULL;

  if (value == NULL && intake->spec.body != NULL)
    node = json_object_get_member (intake->spec.body, member);
  if (node != NULL && !JSON_NODE_HOLDS_NULL (node))
    {
      if (json_node_get_value_type (node) != G_TYPE_STRING)
        {
          reject_member (parent, intake, member, "a string");
          return NULL;
        }
      value = json_node_get_string (node);
    }
  if (value != NULL && !is_printable_text (value, MAX_NAME_BYTES))
    {
      reject_member (parent, intake, member,
                     "1 to 256 bytes of text without control characters");
      return NULL;
    }
  return value;
}

static bool
parse_number (const char *text, int64_t *value)
{
  char *end;

  errno = 0;
  *value = strtoll (text, &end, 10);
  return errno == 0 && end != text && *end == '\0';
}

/**
 * Returns an integer from a header or, without that header, from a member of
 * the body; @a fallback when neither is set or the value is invalid.
 * @param header may be NULL
 */
static int64_t
read_number (void *parent,
             intake_t *intake,
             struct evhttp_request *http,
             const char *member,
             const char *header,
             int64_t max,
             int64_t fallback)
{
  const char *text = header != NULL ? http_header (http, header) : NULL;
  JsonNode *node = NULL;
  int64_t value = fallback;
  char expected[64];
  bool is_number = true;

  if (text != NULL)
    is_number = parse_number (text, &value);
  else if (intake->spec.body != NULL)
    node = json_object_get_member (intake->spec.body, member);
  if (node != NULL && !JSON_NODE_HOLDS_NULL (node))
    {
      is_number = json_node_get_value_type (node) == G_TYPE_INT64;
      value = is_number ? json_node_get_int (node) : 0;
    }
  if (is_number && value >= 0 && value <= max)
    return value;
  g_snprintf (expected, sizeof expected,
              "a whole number from 0 to %" G_GINT64_FORMAT, max);
  reject_member (parent, intake, member, expected);
  return fallback;
}

static bool
read_bool (void *parent, intake_t *intake, const char *member, bool fallback)
{
  JsonNode *node = json_object_get_member (intake->spec.body, member);

  if (node == NULL || JSON_NODE_HOLDS_NULL (node))
    return fallback;
  if (json_node_get_value_type (node) == G_TYPE_BOOLEAN)
    return json_node_get_boolean (node);
  reject_member (parent, intake, member, "true or false");
  return fallback;
}

static bool
read_header_bool (void *parent,
                  intake_t *intake,
                  struct evhttp_request *http,
                  const char *header,
                  bool fallback)
{
  const char *value = http_header (http, header);

  if (value == NULL)
    return fallback;
  if (strcmp (value, "true") != 0 && strcmp (value, "false") != 0)
    reject_member (parent, intake, header, "true or false");
  return strcmp (value, "true") == 0;
}

static bool
may_use_service (const Lwm__Customer *customer, const char *service)
{
  for (size_t i = 0; i < customer->n_service; i++)
    if (strcmp (customer->service[i], service) == 0)
      return true;
  return customer->n_service == 0;
}

static void
check_service_and_customer (void *parent,
                            intake_t *intake,
                            const Lwm__Config *config,
                            Lwm__ServiceKind kind)
{
  const request_spec_t *spec = &intake->spec;
  const Lwm__Service *service = NULL;
  const Lwm__Customer *customer = NULL;

  if (spec->service != NULL)
    service = config_service (config, spec->service);
  if (spec->customer != NULL)
    customer = config_customer (config, spec->customer);
  if (service == NULL)
    set_intake_error (parent, intake, ERROR_UNKNOWN_SERVICE,
                      spec->service == NULL ? "no service is named" : NULL);
  else if (customer == NULL)
    set_intake_error (parent, intake, ERROR_UNKNOWN_CUSTOMER,
                      spec->customer == NULL ? "no customer is named" : NULL);
  else if (service->kind != kind)
    set_intake_error (parent, intake, ERROR_BAD_REQUEST,
                      kind == LWM__SERVICE_KIND__ENGINE
                          ? "the service takes calls, not prompts"
                          : "the service takes prompts, not calls");
  else if (!may_use_service (customer, spec->service))
    set_intake_error (parent, intake, ERROR_FORBIDDEN,
                      "the customer may not use the service");
}

/* The priority configured for a customer is its default and its upper limit:
 * a higher requested priority is lowered to it. */
static void
read_priority (void *parent,
               intake_t *intake,
               struct evhttp_request *http,
               const Lwm__Config *config)
{
  const Lwm__Customer *customer
      = config_customer (config, intake->spec.customer);
  int64_t requested
      = read_number (parent, intake, http, "priority", "X-Priority",
                     MAX_PRIORITY, customer->priority);

  intake->spec.priority = requested < customer->priority ? (uint32_t)requested
                                                         : customer->priority;
}

/* The deadline comes from the request, else the service, else the size class,
 * else the default. */
static void
read_deadline (void *parent,
               intake_t *intake,
               struct evhttp_request *http,
               const Lwm__Config *config,
               uint64_t prompt_tokens)
{
  const Lwm__Service *service = config_service (config, intake->spec.service);
  const Lwm__SizeClass *size = config_size_class (config, prompt_tokens);
  int64_t requested = read_number (parent, intake, http, "deadline_ms",
                                   "X-Deadline-Ms", MAX_DEADLINE_MS, 0);

  if (requested == 0)
    requested = service->deadline_ms;
  if (requested == 0 && size != NULL)
    requested = size->deadline_ms;
  intake->spec.deadline_ms
      = requested > 0 ? (uint64_t)requested : DEFAULT_DEADLINE_MS;
  if (size != NULL && service->kind == LWM__SERVICE_KIND__ENGINE)
    intake->spec.first_token_ms = size->first_token_ms;
}

static bool
check_body_size (void *parent, intake_t *intake, struct evhttp_request *http)
{
  size_t size = evbuffer_get_length (evhttp_request_get_input_buffer (http));

  if (size <= MAX_BODY_BYTES)
    return true;
  set_intake_error (parent, intake, ERROR_TOO_LARGE, "the body is over 8 MiB");
  return false;
}

/**
 * Returns the host that a caller named, NULL for an address. Services are found
 * by the path; a caller that has a list of entry instances names another
 * address in each repetition of a request.
 */
static const char *
read_host (struct evhttp_request *http)
{
  const char *host = evhttp_request_get_host (http);

  if (host == NULL || host[0] == '[' || g_hostname_is_ip_address (host))
    return NULL;
  return host;
}

/** Returns the signature of a request with its whole body. */
static uint64_t
compute_signature (struct evhttp_request *http, const char *customer)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (http);
  request_signature_t signature = {
    .method = "POST",
    .host = read_host (http),
    .target = evhttp_request_get_uri (http),
    .customer = customer,
    .body = evbuffer_pullup (body, -1),
    .body_bytes = evbuffer_get_length (body),
  };

  return request_signature_hash (&signature);
}

static void
read_prompt (void *parent, intake_t *intake)
{
  JsonNode *node = json_object_get_member (intake->spec.body, "prompt");

  if (node == NULL || json_node_get_value_type (node) != G_TYPE_STRING)
    reject_member (parent, intake, "prompt", "a string");
  else
    intake->spec.prompt = json_node_get_string (node);
  if (intake->spec.prompt != NULL && intake->spec.prompt[0] == '\0')
    reject_member (parent, intake, "prompt", "a non-empty string");
}

/**
 * Returns the name of the engine service if the configuration has exactly one,
 * else NULL. A completion request need not name such a service.
 */
static const char *
find_only_engine_service (const Lwm__Config *config)
{
  const char *found = NULL;

  for (size_t i = 0; i < config->n_services; i++)
    if (config->services[i]->kind == LWM__SERVICE_KIND__ENGINE)
      {
        if (found != NULL)
          return NULL;
        found = config->services[i]->name;
      }
  return found;
}

static void
read_completion_names (void *parent,
                       intake_t *intake,
                       struct evhttp_request *http,
                       const Lwm__Config *config)
{
  request_spec_t *spec = &intake->spec;

  spec->service = read_text (parent, intake, http, "service", "X-Service");
  spec->customer = read_text (parent, intake, http, "customer", "X-Customer");
  spec->model = read_text (parent, intake, http, "model", NULL);
  spec->adapter = read_text (parent, intake, http, "adapter", NULL);
  spec->version = read_text (parent, intake, http, "version", NULL);
  spec->key
      = read_text (parent, intake, http, "idempotency_key", "Idempotency-Key");
  if (spec->service == NULL)
    spec->service = find_only_engine_service (config);
}

static void
read_completion_numbers (void *parent,
                         intake_t *intake,
                         struct evhttp_request *http,
                         const Lwm__Config *config)
{
  request_spec_t *spec = &intake->spec;
  uint64_t prompt_tokens
      = (strlen (spec->prompt) + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
  int64_t max_tokens
      = read_number (parent, intake, http, "max_tokens", NULL,
                     MAX_COMPLETION_TOKENS, DEFAULT_COMPLETION_TOKENS);

  spec->max_tokens
      = max_tokens > 0 ? (uint64_t)max_tokens : DEFAULT_COMPLETION_TOKENS;
  spec->idempotent = read_bool (parent, intake, "idempotent", true);
  intake->is_stream = read_bool (parent, intake, "stream", false);
  read_priority (parent, intake, http, config);
  read_deadline (parent, intake, http, config, prompt_tokens);
  if (config->max_prompt_tokens > 0
      && prompt_tokens > config->max_prompt_tokens)
    set_intake_error (parent, intake, ERROR_TOO_LARGE,
                      "the prompt is too long");
}

intake_t
intake_parse_completion (void *parent,
                         struct evhttp_request *http,
                         const Lwm__Config *config)
{
  intake_t intake = { .spec = { .kind = REQUEST_COMPLETION } };
  char *parse_error = NULL;

  if (!check_body_size (parent, &intake, http))
    return intake;
  intake.spec.body = http_body_object (http, &parse_error);
  if (intake.spec.body == NULL)
    {
      set_intake_error (parent, &intake, ERROR_BAD_REQUEST, parse_error);
      g_free (parse_error);
      return intake;
    }
  read_prompt (parent, &intake);
  read_completion_names (parent, &intake, http, config);
  if (intake.error == ERROR_NONE)
    check_service_and_customer (parent, &intake, config,
                                LWM__SERVICE_KIND__ENGINE);
  if (intake.error == ERROR_NONE)
    read_completion_numbers (parent, &intake, http, config);
  if (intake.error == ERROR_NONE)
    intake.spec.signature = compute_signature (http, intake.spec.customer);
  return intake;
}

intake_t
intake_parse_call (void *parent,
                   struct evhttp_request *http,
                   const char *rest,
                   const Lwm__Config *config)
{
  intake_t intake = { .spec = { .kind = REQUEST_CALL } };
  request_spec_t *spec = &intake.spec;
  const char *slash = strchr (rest, '/');

  if (!check_body_size (parent, &intake, http))
    return intake;
  spec->service = slash != NULL
                      ? talloc_strndup (parent, rest, (size_t)(slash - rest))
                      : rest;
  spec->path = slash != NULL ? slash + 1 : "";
  if (spec->path[0] != '\0' && !is_printable_text (spec->path, MAX_PATH_BYTES))
    reject_member (parent, &intake, "path", "at most 1024 bytes of text");
  spec->customer = read_text (parent, &intake, http, "customer", "X-Customer");
  spec->key
      = read_text (parent, &intake, http, "idempotency_key", "Idempotency-Key");
  spec->content_type = http_header (http, "Content-Type");
  spec->raw = evhttp_request_get_input_buffer (http);
  if (intake.error == ERROR_NONE)
    check_service_and_customer (parent, &intake, config,
                                LWM__SERVICE_KIND__PLAIN);
  if (intake.error != ERROR_NONE)
    return intake;
  spec->idempotent
      = read_header_bool (parent, &intake, http, "X-Idempotent",
                          config_service (config, spec->service)->idempotent);
  read_priority (parent, &intake, http, config);
  read_deadline (parent, &intake, http, config, 0);
  spec->signature = compute_signature (http, spec->customer);
  return intake;
}
