#include "upstream-path.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define LOG_PART "path"
#include "logging.h"

/** Upstreams to which connections must have failed since the last one that was
 * established: fewer may have crashed at the same moment. */
#define MIN_FAILED 3
#define MAX_FAILED 32
/** Time after which a direct connection is tried again, unless a probe fails
 * meanwhile. */
#define FAILURE_MEMORY_MS 3000
/** Interval of probes while the instance may be cut off, and of those that find
 * out whether upstreams can be reached again. */
#define DOUBT_PROBE_MS 100
#define PROBE_MS       250
/** Time for which a relay that failed is not used. */
#define RELAY_PAUSE_MS 1000

typedef struct
{
  uint64_t upstream;
  uint64_t at_ms;
} failure_t;

typedef struct
{
  char *address;
  bool is_near;
  uint64_t rank;
  uint64_t paused_until_ms;
} relay_t;

struct upstream_path
{
  upstream_path_options_t options;
  GPtrArray *relays;              /* relay_t, children of path, best first */
  failure_t failures[MAX_FAILED]; /* the last of each upstream */
  uint32_t failure_count;
  uint64_t connected_ms; /* when a connection was last established */
  uint64_t probed_ms;
  bool is_cut;
  metric_t *cuts;
};

static int
free_path (upstream_path_t *path)
{
  g_ptr_array_free (path->relays, TRUE);
  return 0;
}

static double
read_is_cut (void *context)
{
  return upstream_path_is_cut (context);
}

upstream_path_t *
upstream_path_new (void *parent, const upstream_path_options_t *options)
{
  upstream_path_t *path = talloc_zero (parent, upstream_path_t);

  path->options = *options;
  path->relays = g_ptr_array_new ();
  talloc_set_destructor (path, free_path);
  if (options->metrics == NULL)
    return path;
  path->cuts = metrics_counter (
      options->metrics, "lwm_upstream_path_cuts_total",
      "Times that this instance was cut off from all upstreams.", NULL);
  metrics_gauge_read (options->metrics, "lwm_upstream_path_cut",
                      "1 while upstreams are reached through other instances.",
                      NULL, read_is_cut, path);
  return path;
}

static gint
compare_relays (gconstpointer a, gconstpointer b)
{
  const relay_t *one = *(const relay_t *const *)a;
  const relay_t *other = *(const relay_t *const *)b;

  if (one->is_near != other->is_near)
    return one->is_near ? -1 : 1;
  return (one->rank > other->rank) - (one->rank < other->rank);
}

static relay_t *
find_relay (const upstream_path_t *path, const char *address)
{
  for (guint i = 0; i < path->relays->len; i++)
    {
      relay_t *relay = g_ptr_array_index (path->relays, i);

      if (strcmp (relay->address, address) == 0)
        return relay;
    }
  return NULL;
}

void
upstream_path_add_relay (upstream_path_t *path,
                         const char *address,
                         bool is_near)
{
  relay_t *relay;

  if (find_relay (path, address) != NULL)
    return;
  relay = talloc_zero (path, relay_t);
  relay->address = talloc_strdup (relay, address);
  relay->is_near = is_near;
  relay->rank = XXH64 (address, strlen (address), path->options.seed);
  g_ptr_array_add (path->relays, relay);
  g_ptr_array_sort (path->relays, compare_relays);
}

/** Returns the index of the failure of an upstream; failure_count if there is
 * none. */
static uint32_t
find_failure (const upstream_path_t *path, uint64_t upstream)
{
  uint32_t i;

  for (i = 0; i < path->failure_count; i++)
    if (path->failures[i].upstream == upstream)
      break;
  return i;
}

static void
forget_old_failures (upstream_path_t *path, uint64_t now_ms)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < path->failure_count; i++)
    if (path->failures[i].at_ms + FAILURE_MEMORY_MS > now_ms)
      path->failures[kept++] = path->failures[i];
  path->failure_count = kept;
}

static void
add_failure (upstream_path_t *path, uint64_t upstream, uint64_t now_ms)
{
  uint32_t index;

  forget_old_failures (path, now_ms);
  index = find_failure (path, upstream);
  if (index == MAX_FAILED)
    return;
  if (index == path->failure_count)
    path->failure_count++;
  path->failures[index] = (failure_t){ .upstream = upstream, .at_ms = now_ms };
}

static void
remove_failure (upstream_path_t *path, uint64_t upstream)
{
  uint32_t index = find_failure (path, upstream);

  if (index < path->failure_count)
    path->failures[index] = path->failures[--path->failure_count];
}

/** Returns the number of upstreams whose failures are newer than the last
 * connection. */
static uint32_t
count_failed (const upstream_path_t *path)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < path->failure_count; i++)
    count += path->failures[i].at_ms >= path->connected_ms;
  return count;
}

static void
set_cut (upstream_path_t *path, bool is_cut)
{
  if (path->is_cut == is_cut)
    return;
  path->is_cut = is_cut;
  if (is_cut)
    log_warn ("This instance is cut off from the upstreams. failed=%u "
              "relays=%u",
              path->failure_count, path->relays->len);
  else
    log_info ("This instance reaches upstreams again.");
  if (is_cut && path->cuts != NULL)
    metric_add (path->cuts, 1);
  if (path->options.on_change != NULL)
    path->options.on_change (is_cut, path->options.context);
}

void
upstream_path_record (upstream_path_t *path,
                      uint64_t upstream,
                      bool is_connected,
                      uint64_t now_ms)
{
  if (is_connected)
    {
      remove_failure (path, upstream);
      path->connected_ms = now_ms + 1;
      set_cut (path, false);
      return;
    }
  add_failure (path, upstream, now_ms);
  if (count_failed (path) >= MIN_FAILED)
    set_cut (path, true);
}

void
upstream_path_relay_failed (upstream_path_t *path,
                            const char *address,
                            uint64_t now_ms)
{
  relay_t *relay = find_relay (path, address);

  if (relay != NULL)
    relay->paused_until_ms = now_ms + RELAY_PAUSE_MS;
}

bool
upstream_path_is_cut (const upstream_path_t *path)
{
  return path->is_cut;
}

const char *
upstream_path_relay (const upstream_path_t *path,
                     uint64_t upstream,
                     uint64_t now_ms)
{
  if (!path->is_cut && !upstream_path_has_failed (path, upstream))
    return NULL;
  for (guint i = 0; i < path->relays->len; i++)
    {
      const relay_t *relay = g_ptr_array_index (path->relays, i);

      if (relay->paused_until_ms <= now_ms)
        return relay->address;
    }
  return NULL;
}

bool
upstream_path_takes_probe (upstream_path_t *path, uint64_t now_ms)
{
  uint32_t interval_ms
      = upstream_path_is_doubtful (path) ? DOUBT_PROBE_MS : PROBE_MS;

  forget_old_failures (path, now_ms);
  if ((!path->is_cut && path->failure_count == 0)
      || path->probed_ms + interval_ms > now_ms)
    return false;
  path->probed_ms = now_ms;
  return true;
}

bool
upstream_path_is_doubtful (const upstream_path_t *path)
{
  return !path->is_cut && count_failed (path) > 0;
}

bool
upstream_path_has_failed (const upstream_path_t *path, uint64_t upstream)
{
  return find_failure (path, upstream) < path->failure_count;
}
