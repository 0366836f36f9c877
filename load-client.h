/**
 * @file load-client.h
 * Sends requests to entry instances and receives their answers, any number
 * concurrently. Idle connections are reused.
 *
 * Each request goes to a randomly chosen entry instance, as the platform's load
 * balancer does. A request fails if its instance cannot be reached.
 */
#ifndef LOAD_CLIENT_H
#define LOAD_CLIENT_H

#include <stdint.h>

#include "generated/scenario.pb-c.h"
#include "load-plan.h"
#include "load-prompt.h"
#include "load-record.h"

struct event_base;

typedef struct load_client load_client_t;

/** Called when a request has ended. */
typedef void (*load_done_cb_t) (const load_record_t *record, void *context);
/** Called for each gap between two consecutive tokens, in scenario time. */
typedef void (*load_gap_cb_t) (const load_request_t *request,
                               uint64_t gap_us,
                               void *context);

typedef struct
{
  struct event_base *base;
  const Lwm__Scenario *scenario;
  const load_prompt_t *prompt;
  char **targets; /**< IP:PORT */
  size_t target_count;
  uint64_t seed;
  uint32_t time_scale_percent; /**< wall time as a share of scenario time */
  load_done_cb_t on_done;
  load_gap_cb_t on_gap;
  void *context;
} load_client_options_t;

/**
 * Returns a client, freed with @a parent (talloc). Freeing drops the requests
 * in progress without a callback.
 */
load_client_t *load_client_new (void *parent,
                                const load_client_options_t *options);

/**
 * Starts sending @a request; the outcome is always reported from the event
 * loop.
 * @param late_us delay after the intended send time, in scenario time
 */
void load_client_send (load_client_t *client,
                       const load_request_t *request,
                       uint64_t late_us);

/** Returns the number of requests in progress. */
uint32_t load_client_active (const load_client_t *client);

#endif
