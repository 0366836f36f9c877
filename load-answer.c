#include "load-answer.h"

#include <event2/buffer.h>
#include <json-glib/json-glib.h>
#include <string.h>
#include <talloc.h>

#include "http.h"
#include "json-text.h"
#include "prompt.h"

#define STATUS_OK    200
#define EVENT_PREFIX "data: "
#define STREAM_END   "[DONE]"

struct load_answer
{
  const Lwm__Scenario *scenario;
  const load_prompt_t *prompt;
  const load_request_t *request;
  struct evbuffer *partial; /* an incomplete event line, or the body */
  char *request_id;
  uint32_t tokens;
  uint32_t cached_tokens;
  uint64_t *seeds; /* seeds of the expected tokens, one for each version
                      of the weights that matches all tokens so far */
  size_t seed_count;
  bool is_done;
  bool is_wrong;
  JsonObject *error; /* first error event, or NULL */
};

static int
answer_destroy (load_answer_t *answer)
{
  evbuffer_free (answer->partial);
  if (answer->error != NULL)
    json_object_unref (answer->error);
  return 0;
}

load_answer_t *
load_answer_new (void *parent,
                 const Lwm__Scenario *scenario,
                 const load_prompt_t *prompt,
                 const load_request_t *request)
{
  load_answer_t *answer = talloc_zero (parent, load_answer_t);

  answer->scenario = scenario;
  answer->prompt = prompt;
  answer->request = request;
  answer->partial = evbuffer_new ();
  talloc_set_destructor (answer, answer_destroy);
  return answer;
}

/* Computes one token seed for each version. Does nothing unless the scenario
 * names the model and its versions. */
static void
compute_seeds (load_answer_t *answer)
{
  const Lwm__Scenario *scenario = answer->scenario;
  size_t size_bytes;
  char *text;
  prompt_t *prompt;

  if (scenario->n_version == 0 || scenario->model[0] == '\0')
    return;
  text
      = load_prompt_text (answer->prompt, answer, answer->request, &size_bytes);
  prompt = prompt_new (answer, text, size_bytes);
  answer->seeds = talloc_array (answer, uint64_t, scenario->n_version);
  answer->seed_count = scenario->n_version;
  for (size_t i = 0; i < answer->seed_count; i++)
    answer->seeds[i]
        = token_seed (scenario->model, "", scenario->version[i], prompt->hash);
  talloc_free (prompt);
  talloc_free (text);
}

/* Checks a token against the versions that matched all earlier tokens: all
 * tokens of an answer must come from a single version. */
static bool
matches_expected (load_answer_t *answer, const char *token)
{
  size_t kept = 0;
  char expected[TOKEN_TEXT_BYTES];

  if (answer->tokens == 0)
    compute_seeds (answer);
  if (answer->seeds == NULL)
    return true;
  for (size_t i = 0; i < answer->seed_count; i++)
    {
      token_text (answer->seeds[i], answer->tokens, expected);
      if (strcmp (expected, token) == 0)
        answer->seeds[kept++] = answer->seeds[i];
    }
  answer->seed_count = kept;
  return kept > 0;
}

static JsonObject *
object_member (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  return node != NULL && JSON_NODE_HOLDS_OBJECT (node)
             ? json_node_get_object (node)
             : NULL;
}

static bool
matches_request (load_answer_t *answer, JsonObject *event)
{
  const char *id = http_json_text_member (event, "id", "");

  if (answer->request_id == NULL)
    answer->request_id = talloc_strdup (answer, id);
  return strcmp (answer->request_id, id) == 0
         && http_json_number_member (event, "offset", -1) == answer->tokens;
}

static void
read_usage (load_answer_t *answer, JsonObject *event)
{
  JsonObject *usage = object_member (event, "usage");

  if (usage != NULL)
    answer->cached_tokens
        = (uint32_t)http_json_number_member (usage, "cached_tokens", 0);
}

static JsonObject *
first_choice (JsonObject *event)
{
  JsonNode *node = json_object_get_member (event, "choices");
  JsonArray *choices = node != NULL && JSON_NODE_HOLDS_ARRAY (node)
                           ? json_node_get_array (node)
                           : NULL;

  if (choices == NULL || json_array_get_length (choices) == 0)
    return NULL;
  node = json_array_get_element (choices, 0);
  return JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

static void
read_choice (load_answer_t *answer, JsonObject *event, JsonObject *choice)
{
  if (answer->is_done || !matches_request (answer, event))
    answer->is_wrong = true;
  if (http_json_text_member (choice, "finish_reason", NULL) != NULL)
    {
      answer->is_done = true;
      read_usage (answer, event);
      return;
    }
  if (!matches_expected (answer, http_json_text_member (choice, "text", "")))
    answer->is_wrong = true;
  answer->tokens++;
}

static void
read_event (load_answer_t *answer, JsonObject *event)
{
  JsonObject *error = object_member (event, "error");
  JsonObject *choice = first_choice (event);

  if (error != NULL && answer->error == NULL)
    answer->error = json_object_ref (error);
  else if (choice != NULL)
    read_choice (answer, event, choice);
  else
    answer->is_wrong = true;
}

static void
read_line (load_answer_t *answer, const char *data, size_t size_bytes)
{
  JsonObject *event;

  if (strcmp (data, STREAM_END) == 0)
    return;
  event = json_text_read_object (data, size_bytes, NULL);
  if (event == NULL)
    {
      answer->is_wrong = true;
      return;
    }
  read_event (answer, event);
  json_object_unref (event);
}

static void
read_events (load_answer_t *answer)
{
  size_t prefix_bytes = strlen (EVENT_PREFIX);
  size_t size_bytes;
  char *line;

  while (
      (line = evbuffer_readln (answer->partial, &size_bytes, EVBUFFER_EOL_CRLF))
      != NULL)
    {
      if (strncmp (line, EVENT_PREFIX, prefix_bytes) == 0)
        read_line (answer, line + prefix_bytes, size_bytes - prefix_bytes);
      free (line);
    }
}

void
load_answer_read (load_answer_t *answer, int status, struct evbuffer *input)
{
  evbuffer_add_buffer (answer->partial, input);
  if (status == STATUS_OK && answer->request->class_ != NULL)
    read_events (answer);
}

uint32_t
load_answer_tokens (const load_answer_t *answer)
{
  return answer->tokens;
}

char *
load_call_body (uint64_t number)
{
  return g_strdup_printf ("{\"entry\":%" G_GUINT64_FORMAT "}", number);
}

static void
set_reason (load_record_t *record, const char *reason)
{
  g_strlcpy (record->reason, reason, sizeof record->reason);
}

static void
set_not_run (JsonObject *error, load_record_t *record)
{
  JsonNode *node = json_object_get_member (error, "not_run");
  const char *not_run = "-";

  if (node != NULL && json_node_get_value_type (node) == G_TYPE_BOOLEAN)
    not_run = json_node_get_boolean (node) ? "true" : "false";
  else if (node != NULL && json_node_get_value_type (node) == G_TYPE_STRING)
    not_run = json_node_get_string (node);
  g_strlcpy (record->not_run, not_run, sizeof record->not_run);
}

static void
record_error (JsonObject *error, load_record_t *record)
{
  set_reason (record, http_json_text_member (error, "kind", "unnamed"));
  set_not_run (error, record);
  record->outcome
      = strcmp (record->not_run, "true") == 0 ? LOAD_REFUSED : LOAD_FAILED;
}

static void
record_stream_result (load_answer_t *answer, load_record_t *record)
{
  if (answer->error != NULL)
    {
      record_error (answer->error, record);
      return;
    }
  record->outcome = LOAD_OK;
  if (!answer->is_done)
    {
      record->outcome = LOAD_FAILED;
      set_reason (record, "truncated");
    }
  if (answer->is_wrong
      || (answer->is_done && answer->tokens != answer->request->output_tokens))
    {
      record->outcome = LOAD_WRONG;
      set_reason (record, "wrong_answer");
    }
}

/* The answer to a call must repeat the sent body as "echo" and report a first
 * run. */
static void
record_call_result (const load_answer_t *answer,
                    JsonObject *body,
                    load_record_t *record)
{
  const load_request_t *request = answer->request;
  uint64_t number
      = request->resend_of > 0 ? request->resend_of : request->number;
  char *sent = load_call_body (number);
  const char *echo
      = body != NULL ? http_json_text_member (body, "echo", "") : "";

  record->outcome = LOAD_OK;
  if (strcmp (echo, sent) != 0 || http_json_number_member (body, "run", 0) != 1)
    {
      record->outcome = LOAD_WRONG;
      set_reason (record, "wrong_answer");
    }
  g_free (sent);
}

static void
record_refusal (JsonObject *body, load_record_t *record)
{
  JsonObject *error = body != NULL ? object_member (body, "error") : NULL;

  record->outcome = LOAD_FAILED;
  if (error != NULL)
    record_error (error, record);
  else
    set_reason (record, "unnamed");
}

static void
record_body_result (const load_answer_t *answer,
                    int status,
                    load_record_t *record)
{
  size_t size_bytes = evbuffer_get_length (answer->partial);
  JsonObject *body = NULL;

  if (size_bytes > 0)
    body = json_text_read_object (
        (const char *)evbuffer_pullup (answer->partial, -1), size_bytes, NULL);
  if (status == STATUS_OK)
    record_call_result (answer, body, record);
  else
    record_refusal (body, record);
  if (body != NULL)
    json_object_unref (body);
}

void
load_answer_finish (load_answer_t *answer,
                    int status,
                    struct evbuffer *rest,
                    load_record_t *record)
{
  load_answer_read (answer, status, rest);
  if (status == STATUS_OK && answer->request->class_ != NULL)
    record_stream_result (answer, record);
  else
    record_body_result (answer, status, record);
  record->tokens = answer->tokens;
  record->cached_tokens = answer->cached_tokens;
}

void
load_answer_unreachable (const load_answer_t *answer, load_record_t *record)
{
  record->outcome = LOAD_FAILED;
  record->tokens = answer->tokens;
  set_reason (record,
              answer->tokens > 0 ? "connection_broken" : "no_connection");
}
