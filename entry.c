#include "entry.h"

#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "cachepoll.h"
#include "config.h"
#include "control-client.h"
#include "daemon.h"
#include "dispatch.h"
#include "entry-admin.h"
#include "entry-config.h"
#include "entry-members.h"
#include "entry-orders.h"
#include "frontend.h"
#include "message.h"
#include "registry.h"
#include "sched.h"
#include "upstream-http.h"

#define LOG_PART "entry"
#include "logging.h"

/* evhttp refuses larger bodies, the routes refuse those over their limits. */
#define MAX_BODY_BYTES (16 * 1024 * 1024)
/* IP:PORT with the NUL. */
#define ADDRESS_SIZE 80
/* Delay before the process ends, in which other instances learn that it leaves,
 * and between checks whether administration calls are still open. */
#define EXIT_DELAY_MS 100
/* Time for the last answers before the end of the stop timeout. */
#define LAST_ANSWERS_MARGIN_MS 1000
/* Upper bound of the wait for confirmations of the last cancels. A dead
 * upstream never confirms. The other instances of the zone have a record of the
 * objects that this one held, so the process may end without the confirmation.
 */
#define CANCEL_CONFIRM_TIMEOUT_MS 3000

struct entry
{
  const Lwm__EntrySettings *settings;
  Lwm__Config *config;
  daemon_t *daemon;
  /* talloc parent of every module that owns events of the loop; freed before
   * the daemon. */
  void *parts;
  sched_t *sched;
  registry_t *registry;
  dispatch_t *dispatch;
  frontend_t *frontend;
  entry_admin_t *admin;
  entry_orders_t *orders;         /* NULL without a control group */
  control_client_t *control;      /* NULL without a control group */
  entry_config_t *control_config; /* NULL without a control group */
  entry_members_t *members;
  upstream_http_t *upstreams; /* context of upstream_http_ops */
  struct event *stop_timer;
  struct event *last_answers_timer;
  struct event *exit_timer;
  bool is_awaiting_cancels;
  bool stopping;
  bool draining; /* requested by an operator */
};

static int
free_entry (entry_t *entry)
{
  if (entry->stop_timer != NULL)
    event_free (entry->stop_timer);
  if (entry->last_answers_timer != NULL)
    event_free (entry->last_answers_timer);
  if (entry->exit_timer != NULL)
    event_free (entry->exit_timer);
  talloc_free (entry->parts);
  talloc_free (entry->daemon);
  return 0;
}

/** Reports the instance as healthy to load balancers while it accepts new
 * requests and has a configuration to answer them. */
static void
update_health (entry_t *entry)
{
  daemon_set_healthy (entry->daemon, entry->config != NULL && !entry->draining
                                         && !entry->stopping);
}

static void
update_customers (entry_t *entry)
{
  const Lwm__Config *config = entry->config;

  for (size_t i = 0; i < config->n_customers; i++)
    {
      const Lwm__Customer *customer = config->customers[i];

      sched_put_customer (
          entry->sched, customer->name, customer->weight,
          entry_members_limit_share (entry->members, config,
                                     customer->tokens_per_s),
          (uint32_t)entry_members_limit_share (entry->members, config,
                                               customer->requests_per_s));
    }
}

static void
update_services (entry_t *entry)
{
  const Lwm__Config *config = entry->config;

  for (size_t i = 0; i < config->n_services; i++)
    {
      const Lwm__Service *service = config->services[i];

      sched_set_version (entry->sched, service->name,
                         service->version != NULL && service->version[0] != '\0'
                             ? service->version
                             : NULL);
    }
}

static void
on_config (const Lwm__Config *config, void *context)
{
  entry_t *entry = context;
  Lwm__Config *previous = entry->config;

  entry->config = message_copy (entry, &config->base);
  dispatch_set_config (entry->dispatch, entry->config);
  frontend_set_config (entry->frontend, entry->config);
  entry_admin_set_config (entry->admin, entry->config);
  if (entry->orders != NULL)
    entry_orders_set_config (entry->orders, entry->config);
  if (config->max_queue > 0)
    sched_set_max_queue (entry->sched, config->max_queue);
  update_customers (entry);
  update_services (entry);
  talloc_free (previous);
  update_health (entry);
  log_info ("Configuration is in force. number=%" PRIu64, config->number);
}

static void
on_instance_count (void *context)
{
  entry_t *entry = context;

  if (entry->config != NULL)
    update_customers (entry);
  if (entry->control_config != NULL)
    entry_config_update (entry->control_config);
}

static bool
load_folder (entry_t *entry)
{
  char *mistakes = NULL;
  bool loaded = membership_load_folder (
      entry_members_membership (entry->members), &mistakes);

  if (!loaded)
    print_error ("%s", mistakes);
  talloc_free (mistakes);
  return loaded;
}

static void
on_folder (const Lwm__Config *config, void *context)
{
  entry_t *entry = context;

  entry_config_propose (entry->control_config, config);
}

static void
on_reload (void *context)
{
  entry_t *entry = context;

  if (!load_folder (entry))
    log_error (
        "Configuration is refused; the current one stays in force. folder=%s",
        entry->settings->config_folder);
}

static void
on_request (struct evhttp_request *http, void *context)
{
  entry_t *entry = context;

  if (!entry_admin_serve (entry->admin, http))
    frontend_handle (http, entry->frontend);
}

static void
on_upstream_gone (const char *name,
                  uint64_t incarnation,
                  bool is_dead,
                  bool has_left,
                  void *context)
{
  entry_t *entry = context;

  dispatch_upstream_gone (entry->dispatch, name, incarnation, is_dead,
                          has_left);
}

static void
on_exit_timer (evutil_socket_t fd, short what, void *arg)
{
  entry_t *entry = arg;
  struct timeval delay = timeval_from_ms (EXIT_DELAY_MS);

  if (entry_admin_open_calls (entry->admin) > 0)
    event_add (entry->exit_timer, &delay);
  else
    daemon_exit (entry->daemon, EXIT_CODE_OK);
}

/* Ends a graceful shutdown once no request is live and every reply is written.
 * The process then leaves the gossip and exits after a delay, which is longer
 * while cancels are unconfirmed. */
static void
on_idle (void *context)
{
  entry_t *entry = context;
  bool has_open_cancels = dispatch_open_cancels (entry->dispatch) > 0;
  uint32_t wait_ms
      = has_open_cancels ? CANCEL_CONFIRM_TIMEOUT_MS : EXIT_DELAY_MS;
  struct timeval delay = timeval_from_ms (wait_ms);

  if (!entry->stopping || dispatch_live_count (entry->dispatch) > 0
      || frontend_open_replies (entry->frontend) > 0)
    return;
  if (entry->exit_timer == NULL)
    {
      membership_leave (entry_members_membership (entry->members));
      entry->exit_timer
          = evtimer_new (daemon_base (entry->daemon), on_exit_timer, entry);
    }
  else if (has_open_cancels || !entry->is_awaiting_cancels)
    return;
  entry->is_awaiting_cancels = has_open_cancels;
  event_add (entry->exit_timer, &delay);
}

static void
on_last_answers (evutil_socket_t fd, short what, void *arg)
{
  dispatch_end_live (((entry_t *)arg)->dispatch);
}

static void
on_stop_timeout (evutil_socket_t fd, short what, void *arg)
{
  entry_t *entry = arg;

  log_error ("Stopping took too long. live=%u cancels=%u replies=%u",
             dispatch_live_count (entry->dispatch),
             dispatch_open_cancels (entry->dispatch),
             frontend_open_replies (entry->frontend));
  daemon_exit_now (entry->daemon, EXIT_CODE_FAILED);
}

static void
on_stop (void *context)
{
  entry_t *entry = context;
  uint32_t timeout_ms = entry->settings->stop_timeout_ms;
  struct timeval timeout = timeval_from_ms (timeout_ms);
  struct timeval last_answers = timeval_from_ms (
      timeout_ms - MIN (LAST_ANSWERS_MARGIN_MS, timeout_ms / 2));

  if (entry->stopping)
    return;
  entry->stopping = true;
  update_health (entry);
  membership_set_draining (entry_members_membership (entry->members), true);
  frontend_set_stopping (entry->frontend, true);
  entry->stop_timer
      = evtimer_new (daemon_base (entry->daemon), on_stop_timeout, entry);
  entry->last_answers_timer
      = evtimer_new (daemon_base (entry->daemon), on_last_answers, entry);
  event_add (entry->stop_timer, &timeout);
  event_add (entry->last_answers_timer, &last_answers);
  dispatch_drain (entry->dispatch);
}

static bool
start_daemon (entry_t *entry)
{
  daemon_options_t options = {
    .listen = entry->settings->listen,
    .tls_certificate = entry->settings->tls_certificate,
    .tls_key = entry->settings->tls_key,
    .log_level = entry->settings->log_level,
    .max_body_bytes = MAX_BODY_BYTES,
    .max_descriptors = entry->settings->max_descriptors,
    .memory_mb = entry->settings->memory_mb,
    .fallback = on_request,
    .on_stop = on_stop,
    .on_reload = on_reload,
    .context = entry,
  };

  entry->daemon = daemon_new (entry, &options);
  return entry->daemon != NULL;
}

static void
add_scheduling_parts (entry_t *entry)
{
  sched_options_t sched
      = { .zone = entry->settings->zone, .seed = random_id () };
  registry_options_t registry = { .metrics = daemon_metrics (entry->daemon),
                                  .gone = on_upstream_gone,
                                  .context = entry };

  sched_policy_from_name (entry->settings->policy, &sched.policy);
  entry->sched = sched_new (entry->parts, &sched);
  entry->upstreams
      = upstream_http_new (entry->parts, daemon_base (entry->daemon));
  registry.sched = entry->sched;
  entry->registry = registry_new (entry->parts, &registry);
}

static void
on_announced (const registry_announcement_t *announcement, void *context)
{
  entry_t *entry = context;

  entry_members_put_announcement (announcement, entry->members);
}

static bool
add_members (entry_t *entry)
{
  entry_members_options_t options = { .settings = entry->settings,
                                      .base = daemon_base (entry->daemon),
                                      .metrics = daemon_metrics (entry->daemon),
                                      .registry = entry->registry,
                                      .on_config = on_config,
                                      .on_instance_count = on_instance_count,
                                      .context = entry };

  if (entry->settings->n_control_peer > 0)
    options.on_folder = on_folder;
  entry->members = entry_members_new (entry->parts, &options);
  return entry->members != NULL;
}

typedef struct
{
  const char *instance;
  char address[ADDRESS_SIZE];
} address_search_t;

static void
match_instance (const Lwm__InstanceRecord *instance,
                uint64_t config_number,
                void *context)
{
  address_search_t *search = context;

  if (strcmp (instance->instance, search->instance) == 0
      && instance->state != LWM__INSTANCE_STATE__DEAD)
    g_strlcpy (search->address, instance->http, sizeof search->address);
}

/** Returns the address where another instance serves callers; NULL for this
 * instance, for an unknown instance, or when this instance uses TLS. It is a
 * frontend_address_cb_t. */
static const char *
find_instance_address (const char *instance, void *context)
{
  static address_search_t search;
  entry_t *entry = context;

  if (strcmp (instance, entry->settings->instance) == 0
      || entry->settings->tls_certificate[0] != '\0')
    return NULL;
  search = (address_search_t){ .instance = instance };
  membership_each_instance (entry_members_membership (entry->members),
                            match_instance, &search);
  search.instance = NULL;
  return search.address[0] != '\0' ? search.address : NULL;
}

static void
add_cachepoll (entry_t *entry, void *ops_context)
{
  cachepoll_options_t options = {
    .base = daemon_base (entry->daemon),
    .metrics = daemon_metrics (entry->daemon),
    .registry = entry->registry,
    .sched = entry->sched,
    .ops = &upstream_http_ops,
    .ops_context = ops_context,
    .zone = entry->settings->zone,
  };

  cachepoll_new (entry->parts, &options);
}

static void
add_serving_parts (entry_t *entry)
{
  struct event_base *base = daemon_base (entry->daemon);
  dispatch_options_t dispatch = {
    .base = base,
    .memory_mb = entry->settings->memory_mb,
    .metrics = daemon_metrics (entry->daemon),
    .sched = entry->sched,
    .registry = entry->registry,
    .ops = &upstream_http_ops,
    .ops_context = entry->upstreams,
    .instance = entry->settings->instance,
    .incarnation
    = membership_incarnation (entry_members_membership (entry->members)),
    .crashes = entry_members_crashes (entry->members),
    .owner_hooks = entry_members_owner_hooks (entry->members),
    .control = entry->control,
    .is_live = entry_members_is_owner_live,
    .is_live_context = entry->members,
    .reconnect_timeout_ms = entry->settings->reconnect_timeout_ms,
    .idle = on_idle,
    .context = entry,
  };
  frontend_options_t frontend
      = { .registry = entry->registry,
          .announce_secret = entry->settings->announce_secret,
          .announced = on_announced,
          .base = base,
          .address_of = find_instance_address,
          .idle = on_idle,
          .context = entry };

  entry->dispatch = dispatch_new (entry->parts, &dispatch);
  add_cachepoll (entry, dispatch.ops_context);
  entry_members_set_dispatch (entry->members, entry->dispatch);
  frontend.dispatch = entry->dispatch;
  entry->frontend = frontend_new (entry->parts, &frontend);
}

static void
add_control (entry_t *entry)
{
  control_client_options_t client = {
    .base = daemon_base (entry->daemon),
    .peers = entry->settings->control_peer,
    .peer_count = entry->settings->n_control_peer,
    .metrics = daemon_metrics (entry->daemon),
  };
  entry_config_options_t config = {
    .base = client.base,
    .metrics = client.metrics,
    .peers = client.peers,
    .peer_count = client.peer_count,
    .membership = entry_members_membership (entry->members),
    .instance = entry->settings->instance,
  };

  if (client.peer_count == 0)
    return;
  entry->control = control_client_new (entry->parts, &client);
  config.client = entry->control;
  entry->control_config = entry_config_new (entry->parts, &config);
}

static void
on_drain (bool draining, void *context)
{
  entry_t *entry = context;

  entry->draining = draining;
  frontend_set_stopping (entry->frontend, draining || entry->stopping);
  update_health (entry);
  membership_set_draining (entry_members_membership (entry->members),
                           draining || entry->stopping);
  log_info ("Draining state changed. draining=%d", draining);
}

static bool
is_draining (void *context)
{
  const entry_t *entry = context;

  return entry->draining || entry->stopping;
}

static void
add_orders (entry_t *entry)
{
  entry_orders_options_t options = {
    .base = daemon_base (entry->daemon),
    .control = entry->control,
    .registry = entry->registry,
    .membership = entry_members_membership (entry->members),
    .ops = &upstream_http_ops,
    .ops_context = entry->upstreams,
    .metrics = daemon_metrics (entry->daemon),
    .instance = entry->settings->instance,
    .zone = entry->settings->zone,
  };

  if (entry->control != NULL)
    entry->orders = entry_orders_new (entry->parts, &options);
}

static void
add_admin (entry_t *entry)
{
  entry_admin_options_t options = {
    .instance = entry->settings->instance,
    .zone = entry->settings->zone,
    .dispatch = entry->dispatch,
    .registry = entry->registry,
    .metrics = daemon_metrics (entry->daemon),
    .membership = entry_members_membership (entry->members),
    .control = entry->control,
    .orders = entry->orders,
    .drain = on_drain,
    .is_draining = is_draining,
    .context = entry,
  };

  entry->admin = entry_admin_new (entry->parts, &options);
}

entry_t *
entry_new (void *parent, const entry_options_t *options)
{
  entry_t *entry = talloc_zero (parent, entry_t);

  entry->settings = options->settings;
  talloc_set_destructor (entry, free_entry);
  if (!start_daemon (entry))
    goto fail;
  entry->parts = talloc_new (entry);
  add_scheduling_parts (entry);
  if (!add_members (entry))
    goto fail;
  add_control (entry);
  add_serving_parts (entry);
  add_orders (entry);
  add_admin (entry);
  update_health (entry);
  if (!load_folder (entry))
    goto fail;
  return entry;

fail:
  talloc_free (entry);
  return NULL;
}

int
entry_run (entry_t *entry)
{
  return daemon_run (entry->daemon);
}
