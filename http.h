/**
 * @file http.h
 * Helpers over evhttp and json-glib for HTTP servers and for single calls with
 * a JSON body.
 */
#ifndef HTTP_H
#define HTTP_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "error.h"

struct evbuffer;
struct event_base;
struct evhttp_request;

/**
 * Parses the request's body as a JSON object of at most 32,768 values.
 * @param why set to a short reason when NULL is returned; the caller frees it
 * with g_free()
 * @return a reference that the caller owns, or NULL
 */
JsonObject *http_body_object (struct evhttp_request *request, char **why);

/** Returns the value of header @a name, owned by the request, or NULL. */
const char *http_header (struct evhttp_request *request, const char *name);

/**
 * Each of these functions sends a whole answer, or the end of one that was sent
 * in pieces. Nothing is read until it is written, so that a caller that shuts
 * its sending side, or is silent for long, still receives all of it.
 */
void http_send (struct evhttp_request *request,
                int status,
                const char *reason,
                struct evbuffer *body);
void http_send_end (struct evhttp_request *request);

/** Sends @a node as the complete JSON answer and takes ownership of it. */
void
http_reply_json (struct evhttp_request *request, int status, JsonNode *node);

/**
 * Sends the error answer for @a kind, with the HTTP status of error.h.
 * @param ran whether the request ran at an upstream
 * @param detail one sentence, or NULL for the default message of @a kind
 * @param request_id may be NULL
 * @param retry_after_ms 0 for no Retry-After header
 */
void http_reply_error (struct evhttp_request *request,
                       error_kind_t kind,
                       ran_t ran,
                       const char *detail,
                       const char *request_id,
                       uint32_t retry_after_ms);

/** Creates the JSON body of an error answer; the caller frees the node. */
JsonNode *http_error_node (error_kind_t kind,
                           ran_t ran,
                           const char *detail,
                           const char *request_id);

/**
 * Frees a request whose connection closed before its reply was complete, unless
 * evhttp frees it. Must be called from the connection's close callback. evhttp
 * detaches an unfinished request from a connection that fails and leaves it to
 * the caller, but frees the request with a connection that ends otherwise.
 */
void http_abandon (struct evhttp_request *request);

/** Returns @a node as compact JSON text; the caller frees it with g_free(). */
char *http_json_text (JsonNode *node);

/**
 * Each of these functions adds a member @a name to the JSON object that
 * @a builder is building. http_json_add_text() adds nothing if @a text is NULL.
 */
void
http_json_add_text (JsonBuilder *builder, const char *name, const char *text);
void
http_json_add_number (JsonBuilder *builder, const char *name, uint64_t number);
void http_json_add_flag (JsonBuilder *builder, const char *name, bool flag);

/**
 * Each of these functions returns the value of a member of @a object, or
 * @a fallback when the member is missing or of another type. The object owns a
 * returned text.
 */
const char *http_json_text_member (JsonObject *object,
                                   const char *name,
                                   const char *fallback);
int64_t http_json_number_member (JsonObject *object,
                                 const char *name,
                                 int64_t fallback);
bool
http_json_bool_member (JsonObject *object, const char *name, bool fallback);

/**
 * Called when a call has ended.
 * @param status HTTP status, or 0 when no answer was received
 * @param body valid only in the callback; NULL when it is not a JSON object
 */
typedef void (*http_done_cb_t) (int status, JsonObject *body, void *context);

/** Parameters of http_call(). */
typedef struct
{
  void *owner; /**< freeing it cancels the call (talloc); may be NULL */
  struct event_base *base;
  const char *address; /**< IP:PORT */
  const char *method;  /**< GET, POST, DELETE or PUT */
  const char *path;
  JsonNode *body;    /**< http_call() takes ownership; NULL for none */
  const char *token; /**< sent as a bearer token; NULL or "" for none */
  struct tls *tls;   /**< NULL for plain HTTP */
  uint32_t timeout_ms;
  http_done_cb_t done; /**< may be NULL */
  void *context;
} http_call_options_t;

/**
 * Starts one call on a new connection. Calls @c done once from the event loop,
 * unless the owner is freed before.
 */
void http_call (const http_call_options_t *options);

#endif
