#include "node-control.h"

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "config.h"
#include "control-client.h"
#include "control-server.h"
#include "daemon.h"
#include "packed-text.h"
#include "settings.h"
#include "statemachine.h"
#define LOG_PART "operator"
#include "logging.h"

#define HEARTBEAT_INTERVAL_MS 150
#define ELECTION_TIMEOUT_MS   600
#define SNAPSHOT_ENTRIES      200
#define MAX_BODY_BYTES        (4u * 1024 * 1024 + 65536)
/** Callers try another instance after a second without an answer, so the answer
 * must be sent before that. */
#define CALL_TIMEOUT_MS 900
#define MS_PER_S        1000.0
#define EXIT_DELAY_MS   300
#define EXIT_CHECK_MS   50
/** Longest wait of a stopping instance for the answers to open calls. */
#define OPEN_CALLS_TIMEOUT_MS (2 * CALL_TIMEOUT_MS)

/** Calls that may wait for the group. Each one to apply a configuration holds
 * its text, packed. */
#define MAX_WAITING_APPLIES 8
#define MAX_WAITING_READS   64
#define MAX_WAITING_ORDERS  64

struct node_control
{
  node_control_options_t options;
  daemon_t *daemon;
  control_server_t *server;
  control_client_t *client;
  struct event *exit_timer;
  uint32_t open_calls;
  uint32_t waiting_applies;
  uint32_t waiting_reads;
  uint32_t waiting_orders;
  uint64_t stopped_ms;
  GBytes *text; /* that was unpacked last, or NULL */
  uint64_t text_number;
  char *text_digest;
};

/** A call to the control group that has no answer yet. */
typedef struct
{
  node_control_t *control;
  node_control_done_cb_t done;
  void *context;
  uint32_t *waiting; /* the counter of such calls */
  uint64_t number;   /* proposed configuration, 0 for a read */
  char *zone;        /* of an order to drain it, or NULL */
  bool is_drained;   /* what the order asks for */
  uint64_t started_ms;
} pending_call_t;

static error_kind_t
to_error_kind (const Lwm__ControlAnswer *answer)
{
  switch (answer->result)
    {
    case LWM__CONTROL_RESULT__RESULT_OK:
    case LWM__CONTROL_RESULT__RESULT_SAME:
    case LWM__CONTROL_RESULT__RESULT_STALE:
      return ERROR_NONE;
    case LWM__CONTROL_RESULT__RESULT_CONFLICT:
      return ERROR_NUMBER_CONFLICT;
    case LWM__CONTROL_RESULT__RESULT_NOT_FOUND:
      return ERROR_NO_CONFIGURATION;
    case LWM__CONTROL_RESULT__RESULT_BAD_REQUEST:
      return ERROR_BAD_CONFIGURATION;
    default:
      return ERROR_NO_QUORUM;
    }
}

static void
free_text (void *text)
{
  talloc_free (text);
}

/** Unpacks the configuration of a revision, unless that was done last. All
 * answers that are being written then hold one text together.
 * @return owned by @a control, NULL when the revision is damaged */
static GBytes *
unpack_text (node_control_t *control, const Lwm__ControlRevision *revision)
{
  size_t text_bytes;
  uint8_t *text;

  if (control->text != NULL && control->text_number == revision->number
      && strcmp (control->text_digest, revision->digest) == 0)
    return control->text;
  text = packed_text_unpack (NULL, revision->config.data, revision->config.len,
                             STATEMACHINE_MAX_CONFIG_BYTES, &text_bytes);
  if (text == NULL)
    return NULL;
  g_clear_pointer (&control->text, g_bytes_unref);
  talloc_free (control->text_digest);
  control->text
      = g_bytes_new_with_free_func (text, text_bytes, free_text, text);
  control->text_number = revision->number;
  control->text_digest = talloc_strdup (control, revision->digest);
  return control->text;
}

/** Copies the number of the revision into @a answer, and its unpacked
 * configuration when the revision carries one. */
static void
read_revision (pending_call_t *call,
               const Lwm__ControlRevision *revision,
               node_control_answer_t *answer)
{
  if (revision == NULL)
    return;
  answer->number = revision->number;
  if (revision->config.len == 0)
    return;
  answer->text = unpack_text (call->control, revision);
  if (answer->text != NULL)
    return;
  log_error ("A revision is damaged. number=%ju bytes=%zu",
             (uintmax_t)revision->number, revision->config.len);
  answer->kind = ERROR_NO_CONFIGURATION;
}

static void
on_answer (const Lwm__ControlAnswer *control_answer, void *context)
{
  pending_call_t *call = context;
  node_control_answer_t answer = { .kind = to_error_kind (control_answer) };

  read_revision (call, control_answer->revision, &answer);
  log_info ("A call ended. proposed=%ju result=%d held=%ju took_ms=%ju "
            "detail='%s'",
            (uintmax_t)call->number, (int)control_answer->result,
            (uintmax_t)answer.number,
            (uintmax_t)(clock_mono_ms () - call->started_ms),
            control_answer->detail);
  call->done (&answer, call->context);
  talloc_free (call);
}

static int
free_call (pending_call_t *call)
{
  call->control->open_calls--;
  (*call->waiting)--;
  return 0;
}

static pending_call_t *
call_new (node_control_t *control,
          uint32_t *waiting,
          uint64_t number,
          node_control_done_cb_t done,
          void *context)
{
  pending_call_t *call = talloc_zero (control, pending_call_t);

  call->control = control;
  call->waiting = waiting;
  call->done = done;
  call->context = context;
  call->number = number;
  call->started_ms = clock_mono_ms ();
  control->open_calls++;
  (*waiting)++;
  talloc_set_destructor (call, free_call);
  return call;
}

/** Refuses a call when too many wait for the group, as their answers may not
 * come. */
static bool
refuse_as_too_many (uint32_t waiting,
                    uint32_t max_waiting,
                    node_control_done_cb_t done,
                    void *context)
{
  node_control_answer_t answer = { .kind = ERROR_QUEUE_FULL };

  if (waiting < max_waiting)
    return false;
  log_info ("Refused a call, as too many wait. waiting=%u", waiting);
  done (&answer, context);
  return true;
}

static void
refuse_as_too_large (pending_call_t *call, size_t text_bytes)
{
  node_control_answer_t answer = { .kind = ERROR_BAD_CONFIGURATION };

  log_info ("Refused a configuration as too large. proposed=%ju bytes=%zu",
            (uintmax_t)call->number, text_bytes);
  call->done (&answer, call->context);
  talloc_free (call);
}

void
node_control_apply (node_control_t *control,
                    uint64_t number,
                    const uint8_t *text,
                    size_t text_bytes,
                    node_control_done_cb_t done,
                    void *context)
{
  Lwm__ControlApply apply = LWM__CONTROL_APPLY__INIT;
  pending_call_t *call;
  char digest[CONFIG_DIGEST_SIZE];

  if (refuse_as_too_many (control->waiting_applies, MAX_WAITING_APPLIES, done,
                          context))
    return;
  call = call_new (control, &control->waiting_applies, number, done, context);
  if (text_bytes > STATEMACHINE_MAX_CONFIG_BYTES)
    {
      refuse_as_too_large (call, text_bytes);
      return;
    }
  config_digest_bytes (text, text_bytes, digest);
  apply.number = number;
  apply.digest = digest;
  apply.config.data
      = packed_text_pack (call, text, text_bytes, &apply.config.len);
  apply.who = (char *)"operator";
  apply.when_ms = clock_wall_ms ();
  control_client_apply (control->client, &apply, CALL_TIMEOUT_MS, on_answer,
                        call);
}

void
node_control_read (node_control_t *control,
                   node_control_done_cb_t done,
                   void *context)
{
  if (refuse_as_too_many (control->waiting_reads, MAX_WAITING_READS, done,
                          context))
    return;
  control_client_get (
      control->client, 0, CALL_TIMEOUT_MS, on_answer,
      call_new (control, &control->waiting_reads, 0, done, context));
}

/** Returns whether the zone exists, as far as the settings tell. */
static bool
is_known_zone (const node_control_t *control, const char *zone)
{
  const Lwm__NodeSettings *settings
      = node_settings_get (control->options.settings);

  for (size_t i = 0; i < settings->n_zones; i++)
    if (strcmp (settings->zones[i], zone) == 0)
      return true;
  return settings->n_zones == 0;
}

/** Ends an order without asking the control group. */
static void
refuse_order (pending_call_t *call, const char *zone)
{
  node_control_answer_t answer = { .kind = ERROR_NOT_FOUND };

  log_info ("Refused an order for an unknown zone. zone=%s", zone);
  call->done (&answer, call->context);
  talloc_free (call);
}

static error_kind_t
to_order_error (const Lwm__ControlAnswer *answer)
{
  switch (answer->result)
    {
    case LWM__CONTROL_RESULT__RESULT_OK:
    case LWM__CONTROL_RESULT__RESULT_SAME:
      return ERROR_NONE;
    case LWM__CONTROL_RESULT__RESULT_BAD_REQUEST:
    case LWM__CONTROL_RESULT__RESULT_LIMIT:
      return ERROR_BAD_REQUEST;
    default:
      return ERROR_NO_QUORUM;
    }
}

static void
on_order_answer (const Lwm__ControlAnswer *control_answer, void *context)
{
  pending_call_t *call = context;
  node_control_answer_t answer = { .kind = to_order_error (control_answer) };
  const Lwm__ControlZoneDrain *drain = control_answer->zone_drain;

  log_info ("An order to drain a zone ended. zone=%s drained=%d result=%d "
            "version=%ju took_ms=%ju maybe_done=%d detail='%s'",
            call->zone, call->is_drained, (int)control_answer->result,
            (uintmax_t)(drain != NULL ? drain->index : 0),
            (uintmax_t)(clock_mono_ms () - call->started_ms),
            control_answer->maybe_done, control_answer->detail);
  call->done (&answer, call->context);
  talloc_free (call);
}

void
node_control_order_zone (node_control_t *control,
                         const char *zone,
                         bool is_drained,
                         node_control_done_cb_t done,
                         void *context)
{
  Lwm__ControlZoneOrder order = LWM__CONTROL_ZONE_ORDER__INIT;
  pending_call_t *call;

  if (refuse_as_too_many (control->waiting_orders, MAX_WAITING_ORDERS, done,
                          context))
    return;
  call = call_new (control, &control->waiting_orders, 0, done, context);
  if (!is_known_zone (control, zone))
    {
      refuse_order (call, zone);
      return;
    }
  call->zone = order.zone = talloc_strdup (call, zone);
  call->is_drained = is_drained;
  order.drained = is_drained;
  order.who = (char *)"operator";
  order.when_ms = clock_wall_ms ();
  control_client_order_zone (control->client, &order, CALL_TIMEOUT_MS,
                             on_order_answer, call);
}

directory_result_t
node_control_announce (node_control_t *control,
                       const directory_statement_t *statement)
{
  return control_server_announce (control->server, statement);
}

error_kind_t
node_control_leave (node_control_t *control, const char *id, uint64_t born_ms)
{
  return control_server_leave (control->server, id, born_ms);
}

static void
on_request (struct evhttp_request *request, void *context)
{
  node_control_t *control = context;

  control->options.on_call (control, request);
}

/** Returns whether a call still has to be answered before the instance ends. */
static bool
has_open_calls (const node_control_t *control)
{
  return control->open_calls > 0
         && clock_mono_ms () < control->stopped_ms + OPEN_CALLS_TIMEOUT_MS;
}

static void
on_exit_timer (evutil_socket_t fd, short what, void *context)
{
  node_control_t *control = context;

  struct timeval delay = timeval_from_ms (EXIT_CHECK_MS);

  if (control_server_has_stopped (control->server) && !has_open_calls (control))
    daemon_exit (control->daemon, EXIT_CODE_OK);
  else
    event_add (control->exit_timer, &delay);
}

/** Delays the exit so that open calls are answered first, and so that another
 * replica can take the vote of this one. The group answers within a few disk
 * syncs. */
static void
on_stop (void *context)
{
  node_control_t *control = context;
  struct timeval delay = timeval_from_ms (EXIT_DELAY_MS);

  if (control->stopped_ms == 0)
    control->stopped_ms = clock_mono_ms ();
  control_server_stop (control->server);
  event_add (control->exit_timer, &delay);
}

static void
on_reload (void *context)
{
  node_control_t *control = context;

  node_settings_reload (control->options.settings);
}

/** Returns the initial members of the group, "IP=IP:PORT": the name of each
 * member is the IP address of its seed. */
static char **
initial_members (void *parent, const Lwm__NodeSettings *settings, size_t *count)
{
  char **members = node_settings_control_peers (parent, settings, count);

  for (size_t i = 0; i < *count; i++)
    {
      char ip[64];
      uint16_t port;

      settings_split_address (members[i], ip, &port);
      members[i] = talloc_asprintf (members, "%s=%s:%u", ip, ip, port);
    }
  return members;
}

static bool
set_up_server (node_control_t *control)
{
  const Lwm__NodeSettings *settings
      = node_settings_get (control->options.settings);
  control_server_options_t options
      = { .base = daemon_base (control->daemon),
          .name = settings->address,
          .zone = talloc_strdup (control, settings->zone),
          .listen = node_settings_own_address (control, settings),
          .folder = settings->data_folder,
          .join = !settings->found,
          .heartbeat_ms = HEARTBEAT_INTERVAL_MS,
          .election_timeout_ms = ELECTION_TIMEOUT_MS,
          .snapshot_entries = SNAPSHOT_ENTRIES,
          .announce_ms = settings->announce_ms,
          .target_voters = 2 * MAX (settings->lost_machines, 1) + 1,
          .catch_up_ms = (uint32_t)(settings->catch_up_s * MS_PER_S),
          .metrics = daemon_metrics (control->daemon) };

  options.members = initial_members (control, settings, &options.member_count);
  control->server = control_server_new (control, &options);
  return control->server != NULL;
}

static void
set_up_client (node_control_t *control)
{
  const Lwm__NodeSettings *settings
      = node_settings_get (control->options.settings);
  control_client_options_t options
      = { .base = daemon_base (control->daemon),
          .metrics = daemon_metrics (control->daemon) };

  options.peers
      = node_settings_control_peers (control, settings, &options.peer_count);
  control->client = control_client_new (control, &options);
  control_client_add_peer (control->client,
                           node_settings_own_address (control, settings));
}

static int
free_control (node_control_t *control)
{
  if (control->exit_timer != NULL)
    event_free (control->exit_timer);
  g_clear_pointer (&control->text, g_bytes_unref);
  TALLOC_FREE (control->client);
  TALLOC_FREE (control->server);
  return 0;
}

int
node_control_run (void *parent, const node_control_options_t *options)
{
  node_control_t *control = talloc_zero (parent, node_control_t);
  const Lwm__NodeSettings *settings = node_settings_get (options->settings);
  daemon_options_t daemon_options
      = { .listen = settings->control,
          .log_level = settings->log_level,
          .max_body_bytes = MAX_BODY_BYTES,
          .max_descriptors = settings->max_descriptors,
          .memory_mb = settings->memory_mb,
          .fallback = on_request,
          .on_stop = on_stop,
          .on_reload = on_reload,
          .context = control };
  int code = EXIT_CODE_FAILED;

  control->options = *options;
  control->daemon = daemon_new (control, &daemon_options);
  if (control->daemon == NULL)
    goto out;
  talloc_set_destructor (control, free_control);
  control->exit_timer = event_new (daemon_base (control->daemon), -1, 0,
                                   on_exit_timer, control);
  if (!set_up_server (control))
    goto out;
  set_up_client (control);
  node_settings_watch (options->settings, daemon_base (control->daemon),
                       node_settings_add_control_peers, control->client);
  code = daemon_run (control->daemon);

out:
  talloc_free (options->settings);
  talloc_free (control);
  return code;
}
