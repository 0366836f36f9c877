/**
 * @file http.h
 * Small helpers over evhttp and json-glib, for servers and for one-shot calls.
 */
#ifndef HTTP_H
#define HTTP_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "error.h"

struct event_base;
struct evhttp_request;

/**
 * The request's body parsed as a JSON object.
 * @param why set to a short reason when NULL is returned; freed with g_free()
 * @return owned by the caller, or NULL
 */
JsonObject *http_body_object (struct evhttp_request *request, char **why);

/**
 * What makes a text unfit for the JSON parser, which reads nested values by
 * recursion, as deep as the text says; NULL when it may be parsed (static).
 */
const char *http_json_mistake (const char *text, size_t size_bytes);

/** Value of header @a name, or NULL; owned by the request. */
const char *http_header (struct evhttp_request *request, const char *name);

/** Sends @a node as the whole JSON answer; takes ownership of @a node. */
void
http_reply_json (struct evhttp_request *request, int status, JsonNode *node);

/**
 * Sends the answer that the table gives for @a kind.
 * @param ran what is known of the request having run
 * @param detail one sentence, or NULL for the table's
 * @param request_id may be NULL
 * @param retry_after_ms 0 for no Retry-After header
 */
void http_reply_error (struct evhttp_request *request,
                       error_kind_t kind,
                       ran_t ran,
                       const char *detail,
                       const char *request_id,
                       uint32_t retry_after_ms);

/** The JSON body http_reply_error() sends; the caller frees the node. */
JsonNode *http_error_node (error_kind_t kind,
                           ran_t ran,
                           const char *detail,
                           const char *request_id);

/**
 * Gives up a request whose connection closed before its reply was whole; call
 * from the connection's close callback. evhttp takes an unfinished request out
 * of a connection that fails and leaves it to the caller, but frees it with
 * one that ends otherwise.
 */
void http_abandon (struct evhttp_request *request);

/** Writes @a node in compact form; the caller frees with g_free(). */
char *http_json_text (JsonNode *node);

/** Adds a member to the object being built; a text that is NULL is left out. */
void
http_json_add_text (JsonBuilder *builder, const char *name, const char *text);
void
http_json_add_number (JsonBuilder *builder, const char *name, uint64_t number);
void http_json_add_flag (JsonBuilder *builder, const char *name, bool flag);

/** Typed members with a fallback when absent or of another type. */
const char *http_json_text_member (JsonObject *object,
                                   const char *name,
                                   const char *fallback);
int64_t http_json_number_member (JsonObject *object,
                                 const char *name,
                                 int64_t fallback);
bool
http_json_bool_member (JsonObject *object, const char *name, bool fallback);

/**
 * The end of a one-shot call. @a status is 0 when no answer came; @a body is
 * NULL when it is not a JSON object. Both are valid only in the callback.
 */
typedef void (*http_done_cb_t) (int status, JsonObject *body, void *context);

typedef struct
{
  void *owner; /**< the call ends unreported with it (talloc); may be NULL */
  struct event_base *base;
  const char *address; /**< IP:PORT */
  const char *method;  /**< GET, POST, DELETE or PUT */
  const char *path;
  JsonNode *body;    /**< taken over; NULL for none */
  const char *token; /**< sent as a bearer token; NULL or "" for none */
  struct tls *tls;   /**< NULL for plain HTTP */
  uint32_t timeout_ms;
  http_done_cb_t done; /**< may be NULL */
  void *context;
} http_call_options_t;

/**
 * One call on a connection of its own; done is called once, later, unless the
 * owner is freed before.
 */
void http_call (const http_call_options_t *options);

#endif
