/* What the error responses of upstream-http.h mean. */
#include <event2/buffer.h>
#include <event2/http.h>
#include <string.h>

#include "http.h"
#include "json-text.h"
#include "upstream-http-internal.h"

#define STATUS_CONFLICT    409
#define STATUS_GONE        410
#define STATUS_UNAVAILABLE 503

/** Maps the kind of an error in its body, and the status, to a result. */
static upstream_result_t
map_refusal (upstream_http_kind_t kind,
             int status,
             const char *error_kind,
             bool not_run)
{
  if (strcmp (error_kind, "duplicate") == 0)
    return UPSTREAM_DUPLICATE;
  if (kind == CALL_RESUME)
    return status == HTTP_NOTFOUND ? UPSTREAM_NO_STREAM : UPSTREAM_ERROR;
  if (kind == CALL_STREAM && status == STATUS_CONFLICT)
    return UPSTREAM_NOT_LOADED;
  if (kind == CALL_STREAM && status == STATUS_GONE)
    return UPSTREAM_LEAVING;
  if (not_run && strcmp (error_kind, "leaving") == 0)
    return UPSTREAM_LEAVING;
  if (not_run && status == STATUS_UNAVAILABLE)
    return UPSTREAM_BUSY;
  return not_run ? UPSTREAM_REFUSED : UPSTREAM_ERROR;
}

upstream_result_t
upstream_http_read_refusal (upstream_http_kind_t kind,
                            int status,
                            struct evbuffer *body)
{
  const char *text = (const char *)evbuffer_pullup (body, -1);
  JsonObject *object
      = json_text_read_object (text, evbuffer_get_length (body), NULL);
  JsonObject *error = object;
  upstream_result_t result;
  JsonNode *node;

  if (object == NULL)
    return map_refusal (kind, status, "", false);
  node = json_object_get_member (object, "error");
  if (node != NULL && JSON_NODE_HOLDS_OBJECT (node))
    error = json_node_get_object (node);
  result = map_refusal (kind, status, http_json_text_member (error, "kind", ""),
                        http_json_bool_member (error, "not_run", false));
  json_object_unref (object);
  return result;
}
