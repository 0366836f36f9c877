/**
 * @file gateway.h
 * HTTP gateway: forwards callers' requests to upstreams unchanged.
 *
 * For each request the gateway finds the route and the customer, chooses an
 * upstream, sends the request, retries it where the route allows that, and
 * streams the answer back to the caller.
 *
 * The gateway itself knows no product-specific header fields. The callbacks of
 * gateway_protocol_t read and write the fields of requests and answers.
 */
#ifndef GATEWAY_H
#define GATEWAY_H

#include <stdbool.h>
#include <stdint.h>

#include "directory.h"
#include "gateway-config.h"
#include "memory-account.h"
#include "metric.h"
#include "zone-placement.h"

struct event_base;

/** Values read from a request's fields. The request owns the strings. */
typedef struct
{
  const char *id;  /**< id of this attempt of the caller; "" if there is none */
  const char *key; /**< API key of the customer, or NULL */
  bool has_deadline;
  uint32_t deadline_ms; /**< time that the caller waits for the answer */
  uint32_t prompt_tokens;
  uint32_t answer_tokens; /**< upper bound; 0 if the request states none */
  bool has_last_event;
  uint64_t last_event; /**< id of the event after which the stream resumes */
} gateway_request_info_t;

/** Values sent to an upstream in addition to the caller's own fields. */
typedef struct
{
  uint32_t left_ms;        /**< time until the request's deadline */
  const char *upstream_id; /**< id of the upstream the request is meant for */
  const char *customer;    /**< customer that holds the key, or NULL */
  bool has_last_event;
  uint64_t last_event; /**< id of the event after which the stream resumes */
  uint32_t priority;   /**< 0 (highest) to 9 */
  const char *helpers; /**< engines that read parts of the prompt, or NULL */
} gateway_upstream_info_t;

/** Values read from an answer's status and fields. */
typedef struct
{
  bool is_signed;            /**< the answer carries an upstream's mark */
  bool has_not_run;          /**< the upstream did not run the request */
  bool is_misdirected;       /**< the request was meant for another upstream */
  const char *request_id;    /**< id of the request it answers, or NULL */
  const char *failed_helper; /**< id or address of a failed helper, or NULL */
  bool is_leaving;           /**< the upstream will stop */
  uint32_t pause_ms; /**< the upstream wants no requests for this time, or 0 */
  double limit_s;    /**< requests per second that it takes from all instances;
                          0: it names no limit */
  uint32_t cold_ms;  /**< the upstream is cold for this time, or 0 */
  bool has_invalid_limit; /**< it names one that cannot be read */
} gateway_answer_info_t;

/** Reads and writes the fields that callers and upstreams use. */
typedef struct
{
  /** Reads a request's fields into @a terms. */
  void (*read_request_info) (const http_fields_t *fields,
                             gateway_request_info_t *terms);
  /** Returns the parts of the request's prompt; the list is a child of
   * @a parent (talloc). */
  prompt_parts_t (*read_parts) (void *parent, const http_fields_t *fields);
  /** Adds the fields for the upstream to @a out, owned by @a parent. */
  void (*write_upstream_fields) (void *parent,
                                 const http_fields_t *caller,
                                 const gateway_upstream_info_t *send,
                                 http_fields_t *out);
  /** Reads an answer's status and fields into @a answer. */
  void (*read_answer_info) (uint32_t status,
                            const http_fields_t *fields,
                            gateway_answer_info_t *answer);
  /**
   * Returns the body of an order that reserves memory for @a tokens at an
   * engine for @a hold_ms. The result is freed with g_free().
   */
  char *(*write_reserve_order) (const char *ticket,
                                uint32_t tokens,
                                uint32_t hold_ms);
  /** Returns the body of an order that releases the memory reserved as @a
   * ticket; freed with g_free(). */
  char *(*write_release_order) (const char *ticket);
  const char *order_target; /**< path to which orders are sent */
  /** Upstreams repeat the id of a request in each answer to it. */
  bool answers_have_id;
} gateway_protocol_t;

typedef struct gateway gateway_t;

typedef struct
{
  struct event_base *base;
  const char *listen;       /**< IP:PORT for callers */
  const char *zone;         /**< availability zone of this instance */
  const char *share_listen; /**< IP:PORT for other entry instances */
  /** Port at which instances accept tunnels of each other (tunnel-server.h), at
   * the IP addresses for other entry instances; 0: none. */
  uint16_t tunnel_port;
  const gateway_protocol_t *protocol;
  uint32_t retry_percent; /**< share of recent requests that may be retried */
  /** Retries allowed in ten seconds on top of that share, by all instances
   * together. */
  uint32_t spare_retries;
  uint32_t zone_cost_ms; /**< cost of a round trip to another zone */
  /** Requests that a cold upstream tolerates in any second: this multiple of
   * the configured rate, 0 for no bound, and cold_slack more. */
  double cold_excess;
  double cold_slack;
  metrics_t *metrics;
  memory_account_t *memory; /**< of what callers make it hold; NULL: no limit */
  uint32_t max_connections; /**< of callers; 0: no limit */
} gateway_options_t;

/**
 * Creates a gateway and opens its listening sockets. The gateway is freed with
 * @a parent (talloc).
 * @return NULL, after one line on stderr, when an address cannot be bound
 */
gateway_t *gateway_new (void *parent, const gateway_options_t *options);

/**
 * Activates a configuration if its number is higher than the active one's.
 * The function takes ownership of @a config and frees it if it is not used.
 */
void gateway_set_config (gateway_t *gateway, gateway_config_t *config);

/** Returns the number of the active configuration, 0 if there is none. */
uint64_t gateway_config_number (const gateway_t *gateway);

/** Updates the set of upstreams after a change of the directory, which is kept
 * by reference and must outlive the gateway. */
void gateway_set_directory (gateway_t *gateway, const directory_t *directory);

/** Returns whether an upstream of a configured service is known. */
bool gateway_has_upstreams (const gateway_t *gateway);

/** Sets the drained zones, see upstream_set_drain_zones(). */
void gateway_drain_zones (gateway_t *gateway, char *const *zones, size_t count);

/** Adds other entry instances: their addresses for entry instances, and their
 * availability zones. Known ones are ignored. */
void gateway_add_instances (gateway_t *gateway,
                            char *const *addresses,
                            char *const *zones,
                            size_t count);

/** Returns the placement of the gateway, which owns it. */
zone_placement_t *gateway_placement (gateway_t *gateway);

/**
 * Starts the shutdown: each answer from now on closes its connection, and long
 * prompts do not wait for engines any more.
 * @param end_ms when gateway_end_open() will be called, on the steady clock
 */
void gateway_drain (gateway_t *gateway, uint64_t end_ms);

/** Tells when gateway_close() is due, on the steady clock. Requests that are
 * read later are judged as after it, though the call may come late. */
void gateway_close_at (gateway_t *gateway, uint64_t close_ms);

/** Stops accepting connections and closes those without an open request. From
 * now on a request is admitted only if its deadline is before the end. Called
 * again, it closes the connections that are idle by then. */
void gateway_close (gateway_t *gateway);

/** Refuses the requests that wait for an upstream or memory, or are still being
 * received: too little time is left to serve them. From now on none waits,
 * except a stream that has begun. Called again, it refuses those received by
 * then. */
void gateway_refuse_waiting (gateway_t *gateway);

/** Ends each open request now, before the process has to: with an error where
 * no answer has begun, which says that the request has not run only if that is
 * certain. */
void gateway_end_open (gateway_t *gateway);

/** Returns the number of open requests. */
uint32_t gateway_open_requests (const gateway_t *gateway);

/** Returns whether the gateway, after gateway_close(), owes nothing more to its
 * callers and to instances that use it as a relay: the process may end. */
bool gateway_has_ended (const gateway_t *gateway);

#endif
