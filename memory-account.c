#include "memory-account.h"

#include <glib.h>
#include <talloc.h>

/** Added to the time without progress, so that of two holders that have both
 * just made progress the larger one yields. */
#define MIN_WITHOUT_PROGRESS_MS 100

/** Part of its bytes that a holder counts in the choice while work goes on for
 * it. */
#define WORKING_SHARE 0.0625

struct memory_holder
{
  memory_account_t *account;
  memory_holder_options_t options;
  uint32_t index; /* in the account's array */
  uint64_t bytes;
  uint64_t progress_ms;
  bool is_working;
  bool has_yielded; /* it was asked since it last held nothing */
};

struct memory_account
{
  uint64_t limit_bytes;
  uint64_t held_bytes;
  uint64_t yielding_bytes;  /* of the holders that were asked to yield */
  GPtrArray *holders;       /* memory_holder_t */
  memory_holder_t *stating; /* the holder whose bytes are being set, or NULL */
  bool is_reclaiming;
  metric_t *yielded;
  metric_t *closed_slow;
};

static double
read_held (void *context)
{
  return (double)memory_account_held (context);
}

static void
add_metrics (memory_account_t *account, metrics_t *metrics)
{
  metric_t *limit = metrics_gauge (
      metrics, "lwm_memory_limit_bytes",
      "Limit on the bytes that clients make this process hold; 0: none.", NULL);

  metric_set (limit, (double)account->limit_bytes);
  metrics_gauge_read (metrics, "lwm_memory_held_bytes",
                      "Bytes that clients make this process hold.", NULL,
                      read_held, account);
  account->yielded = metrics_counter (
      metrics, "lwm_memory_yielded_total",
      "Connections refused or closed because the limit on the bytes that "
      "clients make this process hold was exceeded.",
      NULL);
  account->closed_slow = metrics_counter (
      metrics, "lwm_memory_closed_slow_total",
      "Connections closed because their client was too slow.", NULL);
}

static int
free_account (memory_account_t *account)
{
  /* Its holders may be its children, which talloc frees after it. */
  for (guint i = 0; i < account->holders->len; i++)
    {
      memory_holder_t *holder = g_ptr_array_index (account->holders, i);

      holder->account = NULL;
    }
  g_ptr_array_free (account->holders, TRUE);
  return 0;
}

memory_account_t *
memory_account_new (void *parent, const memory_account_options_t *options)
{
  memory_account_t *account = talloc_zero (parent, memory_account_t);

  account->limit_bytes = options->limit_bytes;
  account->holders = g_ptr_array_new ();
  talloc_set_destructor (account, free_account);
  if (options->metrics != NULL)
    add_metrics (account, options->metrics);
  return account;
}

uint64_t
memory_account_limit (const memory_account_t *account)
{
  return account->limit_bytes;
}

uint64_t
memory_account_held (const memory_account_t *account)
{
  return account->held_bytes;
}

bool
memory_account_has_room (const memory_account_t *account, uint64_t bytes)
{
  return account->limit_bytes == 0
         || (account->held_bytes <= account->limit_bytes
             && bytes <= account->limit_bytes - account->held_bytes);
}

void
memory_account_count_slow (memory_account_t *account)
{
  if (account->closed_slow != NULL)
    metric_add (account->closed_slow, 1);
}

static int
free_holder (memory_holder_t *holder)
{
  memory_account_t *account = holder->account;
  memory_holder_t *last;

  if (account == NULL)
    return 0;
  account->held_bytes -= holder->bytes;
  if (holder->has_yielded)
    account->yielding_bytes -= holder->bytes;
  g_ptr_array_remove_index_fast (account->holders, holder->index);
  if (holder->index < account->holders->len)
    {
      last = g_ptr_array_index (account->holders, holder->index);
      last->index = holder->index;
    }
  if (account->stating == holder)
    account->stating = NULL;
  return 0;
}

memory_holder_t *
memory_holder_new (void *parent,
                   memory_account_t *account,
                   const memory_holder_options_t *options)
{
  memory_holder_t *holder = talloc_zero (parent, memory_holder_t);

  holder->account = account;
  holder->options = *options;
  holder->index = account->holders->len;
  g_ptr_array_add (account->holders, holder);
  talloc_set_destructor (holder, free_holder);
  return holder;
}

void
memory_holder_progress (memory_holder_t *holder, uint64_t now_ms)
{
  holder->progress_ms = now_ms;
}

void
memory_holder_set_working (memory_holder_t *holder, bool is_working)
{
  holder->is_working = is_working;
}

uint64_t
memory_holder_bytes (const memory_holder_t *holder)
{
  return holder->bytes;
}

static double
score (const memory_holder_t *holder, uint64_t now_ms)
{
  uint64_t without_ms
      = now_ms > holder->progress_ms ? now_ms - holder->progress_ms : 0;

  return (double)holder->bytes * (holder->is_working ? WORKING_SHARE : 1)
         * (double)(without_ms + MIN_WITHOUT_PROGRESS_MS);
}

/** Returns the holder that yields next, or NULL if all were asked. */
static memory_holder_t *
choose_holder (const memory_account_t *account, uint64_t now_ms)
{
  memory_holder_t *chosen = NULL;

  for (guint i = 0; i < account->holders->len; i++)
    {
      memory_holder_t *holder = g_ptr_array_index (account->holders, i);

      if (!holder->has_yielded && holder->bytes > 0
          && (chosen == NULL
              || score (holder, now_ms) > score (chosen, now_ms)))
        chosen = holder;
    }
  return chosen;
}

/** Returns whether the limit will be exceeded once those that were asked have
 * released their bytes. */
static bool
is_exceeded (const memory_account_t *account)
{
  return account->limit_bytes > 0
         && account->held_bytes - account->yielding_bytes
                > account->limit_bytes;
}

static void
reclaim (memory_account_t *account, uint64_t now_ms)
{
  account->is_reclaiming = true;
  while (is_exceeded (account))
    {
      memory_holder_t *holder = choose_holder (account, now_ms);

      if (holder == NULL)
        break;
      holder->has_yielded = true;
      account->yielding_bytes += holder->bytes;
      if (account->yielded != NULL)
        metric_add (account->yielded, 1);
      if (account->stating == holder)
        account->stating = NULL;
      holder->options.on_reclaim (holder->options.context);
    }
  account->is_reclaiming = false;
}

bool
memory_holder_set (memory_holder_t *holder, uint64_t bytes, uint64_t now_ms)
{
  memory_account_t *account = holder->account;
  bool was_asked;

  if (account == NULL)
    return true;
  if (holder->bytes == 0)
    memory_holder_progress (holder, now_ms);
  account->held_bytes += bytes - holder->bytes;
  if (holder->has_yielded)
    account->yielding_bytes += bytes - holder->bytes;
  holder->bytes = bytes;
  if (bytes == 0)
    holder->has_yielded = false;
  /* on_reclaim() states what its holder has released. */
  if (account->is_reclaiming || !is_exceeded (account))
    return true;
  account->stating = holder;
  reclaim (account, now_ms);
  was_asked = account->stating == NULL;
  account->stating = NULL;
  return !was_asked;
}
