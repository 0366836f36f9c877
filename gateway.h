/**
 * @file gateway.h
 * Passes callers' requests to upstreams as they are: finds the route and the
 * customer, chooses an upstream, sends, sends again where that is allowed, and
 * hands the answer back in pieces.
 *
 * The gateway knows no header of its own: what it needs of a request and of an
 * answer comes from the callbacks of gateway_protocol_t.
 */
#ifndef GATEWAY_H
#define GATEWAY_H

#include <stdbool.h>
#include <stdint.h>

#include "directory.h"
#include "gateway-config.h"
#include "load-share.h"
#include "metric.h"
#include "upstream-set.h"

struct event_base;

/** What a request says of itself. Texts are the request's. */
typedef struct
{
  const char *id;  /**< of this attempt of its caller; "" for none */
  const char *key; /**< of its customer, or NULL */
  bool has_deadline;
  uint32_t deadline_ms; /**< how long its caller waits */
  uint32_t prompt_tokens;
  uint32_t answer_tokens; /**< at most; 0 for not said */
  bool has_last_event;
  uint64_t last_event; /**< its stream goes on after this one */
} gateway_terms_t;

/** What an upstream is told beside the caller's own fields. */
typedef struct
{
  uint32_t left_ms;        /**< of the request's time */
  const char *upstream_id; /**< that it is meant for */
  const char *customer;    /**< that holds the key, or NULL */
  bool has_last_event;
  uint64_t last_event;
  uint32_t priority;   /**< 0 first to 9 */
  const char *helpers; /**< who reads the prompt with it, or NULL */
} gateway_send_t;

/** What an answer says. */
typedef struct
{
  bool is_signed;         /**< bears the mark of an upstream */
  bool has_not_run;       /**< the upstream did not run the request */
  bool is_misdirected;    /**< it was meant for another upstream */
  const char *request_id; /**< that it answers, or NULL */
  const char *at_fault;   /**< id or address of who made it fail, or NULL */
} gateway_answer_t;

/** Reads and writes the fields that callers and upstreams use. */
typedef struct
{
  void (*read_terms) (const http_fields_t *fields, gateway_terms_t *terms);
  /** Adds the fields for the upstream to @a out, owned by @a parent. */
  void (*write_fields) (void *parent,
                        const http_fields_t *caller,
                        const gateway_send_t *send,
                        http_fields_t *out);
  void (*read_answer) (uint32_t status,
                       const http_fields_t *fields,
                       gateway_answer_t *answer);
  /** Body of an order that reserves memory at an engine; freed by g_free(). */
  char *(*write_reserve) (const char *ticket,
                          uint32_t tokens,
                          uint32_t hold_ms);
  char *(*write_release) (const char *ticket);
  const char *order_target; /**< path that orders are sent to */
} gateway_protocol_t;

typedef struct gateway gateway_t;

typedef struct
{
  struct event_base *base;
  const char *listen; /**< callers */
  const char *zone;
  const char *share_listen; /**< other entry instances */
  const gateway_protocol_t *protocol;
  uint32_t retry_percent; /**< of recent requests that may be sent again */
  /** Beyond that, in ten seconds, by all instances together. */
  uint32_t spare_retries;
  uint32_t zone_cost_ms; /**< of a round trip to another zone */
  metrics_t *metrics;
} gateway_options_t;

/**
 * Listens; freed with @a parent (talloc).
 * @return NULL, after one line on stderr, when an address cannot be bound
 */
gateway_t *gateway_new (void *parent, const gateway_options_t *options);

/** Puts a configuration in force, if its number is higher; takes it over. */
void gateway_set_config (gateway_t *gateway, gateway_config_t *config);

/** Number of the configuration in force, 0 for none. */
uint64_t gateway_config_number (const gateway_t *gateway);

/** The directory has changed. */
void gateway_follow (gateway_t *gateway, const directory_t *directory);

load_share_t *gateway_share (gateway_t *gateway);

/** Begins to stop: answers say that their connection ends. */
void gateway_drain (gateway_t *gateway);

/** Takes no new connection, and closes those on which nothing is asked. */
void gateway_close (gateway_t *gateway);

/** Requests that are open. */
uint32_t gateway_open_requests (const gateway_t *gateway);

#endif
