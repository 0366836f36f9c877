#include "engine-memory.h"

#include <event2/event.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#define LOG_PART "engine-memory"
#include "logging.h"

/**
 * Lease of every order that reserves. It is shorter than the time after which
 * the engine counts unused memory as leaked, so that this holds also when all
 * instances that know of the reservation are lost, or all its releases.
 */
#define LEASE_MS 3500
/** The lease is renewed at this interval while the request runs. An unanswered
 * renewal is repeated quickly: the request is cut off when the lease ends, and
 * engines may leave most orders unanswered. */
#define RENEW_INTERVAL_MS       1000
#define RENEW_ANSWER_TIMEOUT_MS 150
/** Of the unanswered renewals in a row, each one with a multiple of this number
 * waits as long as the first order: over a slow link, the connection may take
 * longer to set up than the others wait. */
#define PATIENT_RENEWAL      4
#define ANSWER_TIMEOUT_MS    500
#define RETRY_DELAY_MS       250
#define MAX_RELEASE_ATTEMPTS 36
/** The first orders that release are repeated at this interval, because engines
 * may leave most of them unanswered and each is one more chance. They cover the
 * time after which the memory counts as leaked. */
#define QUICK_RELEASE_INTERVAL_MS 150
#define QUICK_RELEASES            26
/** Interval at which a release is repeated while the order that reserves may
 * still be carried out. */
#define LATE_ORDER_RELEASE_MS 2000
#define HTTP_STATUS_OK        200

typedef enum
{
  RESERVATION_PENDING,
  RESERVATION_GRANTED,
  RESERVATION_REFUSED, /* refused by the engine: there is nothing to release */
  RESERVATION_RELEASING,
} reservation_state_t;

struct engine_reservation
{
  engine_memory_t *memory;
  reservation_state_t state;
  char name[UPSTREAM_RESERVATION_ID_BYTES];
  uint64_t job_id;
  bool is_own;            /* of this instance, not adopted from a lost one */
  uint64_t late_until_ms; /* until when an unanswered order that reserves has
                             an effect if it is carried out late, or 0 */
  char *address;
  uint64_t upstream;
  uint32_t tokens;
  uint32_t release_attempts;
  uint32_t releases_sent;
  uint64_t releasing_since_ms;
  bool is_release_recorded;
  uint64_t lease_end_ms; /* of the last order that reserves, counted from
                            its sending */
  uint32_t unanswered_renewals;
  uint32_t unanswered_in_row; /* since the newest answer to one */
  engine_reservation_cb_t done;
  void *context;
  exchange_t *order; /* order in progress, or NULL */
  struct event *timer;
};

struct engine_memory
{
  engine_memory_options_t options;
  metric_t *requested;
  metric_t *refused;
  metric_t *released;
  metric_t *release_s[2]; /* index: is_own */
  GHashTable *orphans;    /* job id -> reservation of a lost instance */
  uint32_t open_count;
};

/** Upper bounds of the histogram of release times, closest around the times
 * after which unused memory is missed. */
static const double release_bounds_s[]
    = { 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 4, 6, 9 };

static double
read_open_count (void *context)
{
  const engine_memory_t *memory = context;

  return memory->open_count;
}

static int
free_memory (engine_memory_t *memory)
{
  talloc_free_children (memory);
  g_hash_table_destroy (memory->orphans);
  return 0;
}

static metric_t *
add_release_histogram (metrics_t *metrics, const char *labels)
{
  return metrics_histogram (
      metrics, "lwm_engine_memory_release_seconds",
      "Time from the end of a reservation's use to the confirmed release.",
      labels, release_bounds_s, G_N_ELEMENTS (release_bounds_s));
}

engine_memory_t *
engine_memory_new (void *parent, const engine_memory_options_t *options)
{
  engine_memory_t *memory = talloc_zero (parent, engine_memory_t);
  metrics_t *metrics = options->metrics;

  memory->options = *options;
  memory->orphans = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (memory, free_memory);
  memory->requested
      = metrics_counter (metrics, "lwm_engine_memory_asked_total",
                         "Orders that reserve engine memory.", NULL);
  memory->refused = metrics_counter (metrics, "lwm_engine_memory_refused_total",
                                     "Reservations not granted.", NULL);
  memory->released
      = metrics_counter (metrics, "lwm_engine_memory_released_total",
                         "Reservations given back.", NULL);
  memory->release_s[true] = add_release_histogram (metrics, "by=\"owner\"");
  memory->release_s[false] = add_release_histogram (metrics, "by=\"other\"");
  metrics_gauge_read (metrics, "lwm_engine_memory_open",
                      "Reservations held or asked for.", NULL, read_open_count,
                      memory);
  return memory;
}

static int
free_reservation (engine_reservation_t *ticket)
{
  if (ticket->order != NULL)
    exchange_cancel (ticket->order);
  event_free (ticket->timer);
  ticket->memory->open_count--;
  if (!ticket->is_own)
    g_hash_table_remove (ticket->memory->orphans, &ticket->job_id);
  return 0;
}

static void
set_timer (engine_reservation_t *ticket, uint32_t wait_ms)
{
  struct timeval wait = timeval_from_ms (wait_ms);

  event_add (ticket->timer, &wait);
}

static void
report_result (engine_reservation_t *ticket, bool is_held)
{
  engine_reservation_cb_t done = ticket->done;

  ticket->done = NULL;
  if (done != NULL)
    done (ticket, is_held, ticket->context);
}

/** Ends a reservation that is released or was never granted. */
static void
finish (engine_reservation_t *ticket)
{
  const engine_memory_options_t *options = &ticket->memory->options;

  if (ticket->is_own && options->on_released != NULL)
    options->on_released (ticket->job_id, options->context);
  talloc_free (ticket);
}

/** Returns how much longer the lease lasts without a release, at most. */
static uint64_t
lease_left_ms (const engine_reservation_t *ticket, uint64_t now_ms)
{
  return ticket->lease_end_ms > now_ms ? ticket->lease_end_ms - now_ms : 0;
}

/** Records the first answer to a release, or that none came; @a status is 0
 * then. */
static void
record_release (engine_reservation_t *ticket, uint32_t status)
{
  uint64_t now_ms = clock_mono_ms ();
  uint64_t took_ms = now_ms - ticket->releasing_since_ms;

  if (ticket->is_release_recorded)
    return;
  ticket->is_release_recorded = true;
  metric_observe (ticket->memory->release_s[ticket->is_own],
                  (double)took_ms / 1000);
  log_info ("Released engine memory. ticket=%s status=%u by=%s orders=%u "
            "took_ms=%ju lease_left_ms=%ju unanswered_renewals=%u",
            ticket->name, status, ticket->is_own ? "owner" : "other",
            ticket->releases_sent, (uintmax_t)took_ms,
            (uintmax_t)lease_left_ms (ticket, now_ms),
            ticket->unanswered_renewals);
}

/** Handles the answer to a release; @a status is 0 when no answer came. */
static void
handle_release (engine_reservation_t *ticket, uint32_t status)
{
  if (status == 0 && ++ticket->release_attempts < MAX_RELEASE_ATTEMPTS)
    {
      set_timer (ticket, RETRY_DELAY_MS);
      return;
    }
  record_release (ticket, status);
  if (ticket->late_until_ms > clock_mono_ms ())
    {
      set_timer (ticket, LATE_ORDER_RELEASE_MS);
      return;
    }
  metric_add (ticket->memory->released, 1);
  finish (ticket);
}

/** Records that the order in progress has no answer: the engine may carry it
 * out late, which matters if it reserves. */
static void
record_unanswered (engine_reservation_t *ticket)
{
  if (ticket->state == RESERVATION_RELEASING)
    return;
  ticket->late_until_ms = ticket->lease_end_ms;
  if (ticket->state != RESERVATION_GRANTED)
    return;
  ticket->unanswered_renewals++;
  ticket->unanswered_in_row++;
}

/** Handles the answer to an order; @a status is 0 when no answer came. */
static void
handle_answer (engine_reservation_t *ticket, uint32_t status)
{
  engine_memory_t *memory = ticket->memory;

  if (ticket->state == RESERVATION_RELEASING)
    {
      handle_release (ticket, status);
      return;
    }
  if (ticket->state == RESERVATION_GRANTED)
    {
      if (status > 0)
        ticket->unanswered_in_row = 0;
      set_timer (ticket,
                 status == HTTP_STATUS_OK ? RENEW_INTERVAL_MS : RETRY_DELAY_MS);
      return;
    }
  if (status == HTTP_STATUS_OK)
    {
      ticket->state = RESERVATION_GRANTED;
      set_timer (ticket, RENEW_INTERVAL_MS);
    }
  else
    {
      ticket->state = status > 0 ? RESERVATION_REFUSED : RESERVATION_PENDING;
      metric_add (memory->refused, 1);
    }
  log_info ("Requested engine memory. ticket=%s address=%s tokens=%u status=%u",
            ticket->name, ticket->address, ticket->tokens, status);
  report_result (ticket, status == HTTP_STATUS_OK);
}

static void
on_body (exchange_t *exchange,
         const uint8_t *data,
         size_t size_bytes,
         void *context)
{
}

static void
on_head (exchange_t *exchange, void *context)
{
}

static void
on_end (exchange_t *exchange, void *context)
{
  engine_reservation_t *ticket = context;

  ticket->order = NULL;
  event_del (ticket->timer);
  handle_answer (ticket, exchange_status (exchange));
}

static void
on_failed (exchange_t *exchange, exchange_failure_t how, void *context)
{
  engine_reservation_t *ticket = context;

  ticket->order = NULL;
  event_del (ticket->timer);
  record_unanswered (ticket);
  handle_answer (ticket, 0);
}

static const exchange_callbacks_t callbacks = { .on_head = on_head,
                                                .on_body = on_body,
                                                .on_end = on_end,
                                                .on_failed = on_failed };

static bool
is_quick_release (const engine_reservation_t *ticket)
{
  return ticket->state == RESERVATION_RELEASING
         && ticket->release_attempts < QUICK_RELEASES;
}

static bool
is_patient_renewal (const engine_reservation_t *ticket)
{
  return (ticket->unanswered_in_row + 1) % PATIENT_RENEWAL == 0;
}

/** Returns how long the engine may take to answer the order that is sent. */
static uint32_t
answer_timeout_ms (const engine_reservation_t *ticket)
{
  if (ticket->state == RESERVATION_GRANTED)
    return is_patient_renewal (ticket) ? ANSWER_TIMEOUT_MS
                                       : RENEW_ANSWER_TIMEOUT_MS;
  return is_quick_release (ticket) ? QUICK_RELEASE_INTERVAL_MS
                                   : ANSWER_TIMEOUT_MS;
}

static void
send_order (engine_reservation_t *ticket, char *body)
{
  const engine_memory_options_t *options = &ticket->memory->options;
  void *scratch = talloc_new (ticket);
  http_fields_t fields = { 0 };
  exchange_options_t order = { .address = ticket->address,
                               .owner = ticket->upstream,
                               .method = "POST",
                               .target = options->protocol->order_target,
                               .fields = &fields,
                               .body = (const uint8_t *)body,
                               .body_bytes = strlen (body),
                               /* Answers to orders have no id. */
                               .use_new_connection = true,
                               .close_after = true,
                               .callbacks = &callbacks,
                               .context = ticket };

  http_fields_add (scratch, &fields, "Host", ticket->address);
  http_fields_add (scratch, &fields, "Content-Type", "application/json");
  ticket->order = exchange_send (options->pool, &order);
  set_timer (ticket, answer_timeout_ms (ticket));
  g_free (body);
  talloc_free (scratch);
}

static void
send_reserve (engine_reservation_t *ticket)
{
  ticket->lease_end_ms = clock_mono_ms () + LEASE_MS;
  send_order (ticket, ticket->memory->options.protocol->write_reserve_order (
                          ticket->name, ticket->tokens, LEASE_MS));
}

static void
send_release (engine_reservation_t *ticket)
{
  ticket->releases_sent++;
  send_order (ticket, ticket->memory->options.protocol->write_release_order (
                          ticket->name));
}

/** Handles an order that was not answered in time: the engine does not answer,
 * or the order was lost. */
static void
on_order_timeout (engine_reservation_t *ticket)
{
  exchange_cancel (ticket->order);
  ticket->order = NULL;
  record_unanswered (ticket);
  if (is_quick_release (ticket))
    {
      ticket->release_attempts++;
      send_release (ticket);
    }
  else if (ticket->state == RESERVATION_GRANTED)
    send_reserve (ticket);
  else
    handle_answer (ticket, 0);
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  engine_reservation_t *ticket = context;

  if (ticket->order != NULL)
    on_order_timeout (ticket);
  else if (ticket->state == RESERVATION_RELEASING)
    send_release (ticket);
  else
    send_reserve (ticket);
}

static engine_reservation_t *
reservation_new (engine_memory_t *memory,
                 uint64_t upstream,
                 const char *address,
                 uint64_t job_id)
{
  engine_reservation_t *ticket = talloc_zero (memory, engine_reservation_t);

  ticket->memory = memory;
  ticket->job_id = job_id;
  upstream_reservation_name (job_id, ticket->name);
  ticket->address = talloc_strdup (ticket, address);
  ticket->upstream = upstream;
  ticket->timer = event_new (memory->options.base, -1, 0, on_timer, ticket);
  memory->open_count++;
  talloc_set_destructor (ticket, free_reservation);
  return ticket;
}

engine_reservation_t *
engine_memory_reserve (engine_memory_t *memory,
                       const engine_reservation_options_t *options)
{
  engine_reservation_t *ticket = reservation_new (
      memory, options->upstream, options->address, options->job_id);

  ticket->is_own = true;
  ticket->tokens = options->tokens;
  ticket->done = options->done;
  ticket->context = options->context;
  metric_add (memory->requested, 1);
  send_reserve (ticket);
  return ticket;
}

void
engine_memory_release_orphan (engine_memory_t *memory,
                              uint64_t upstream,
                              const char *address,
                              uint64_t job_id)
{
  engine_reservation_t *ticket;

  if (g_hash_table_contains (memory->orphans, &job_id))
    return;
  ticket = reservation_new (memory, upstream, address, job_id);
  /* Its owner may have sent an order just before it was lost. */
  ticket->late_until_ms = clock_mono_ms () + LEASE_MS;
  g_hash_table_insert (memory->orphans, &ticket->job_id, ticket);
  log_info ("Releasing engine memory reserved by a lost instance. ticket=%s "
            "address=%s",
            ticket->name, address);
  engine_memory_release (ticket);
}

void
engine_memory_release (engine_reservation_t *ticket)
{
  ticket->done = NULL;
  if (ticket->state == RESERVATION_REFUSED)
    {
      finish (ticket);
      return;
    }
  if (ticket->order != NULL)
    {
      exchange_cancel (ticket->order);
      record_unanswered (ticket);
    }
  ticket->order = NULL;
  ticket->state = RESERVATION_RELEASING;
  ticket->releasing_since_ms = clock_mono_ms ();
  send_release (ticket);
}

const char *
engine_reservation_id (const engine_reservation_t *ticket)
{
  return ticket->name;
}
