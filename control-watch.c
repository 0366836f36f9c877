#include <event2/event.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "control-internal.h"
#define LOG_PART "control"
#include "logging.h"

#define MAX_WATCHERS  4096
#define MAX_INSTANCES 16384
/* Time after its last watch request when a watcher is removed. */
#define WATCHER_TIMEOUT_MS 5000
/* Delay of a push of the directory: upstreams that announce themselves together
 * share one message to each watcher. */
#define PUSH_DELAY_MS 10

/** A client that watches the configuration, the directory or both. */
typedef struct
{
  /* Revision last sent to the client, or known to it. A revision that was sent
   * while this replica may have been behind is sent again. */
  uint64_t known;
  uint64_t expires_ms;
  bool wants_config;
  bool wants_directory;
  bool wants_drains;
  uint64_t version;        /* version of the directory last sent */
  uint64_t drains_version; /* of the drained zones that it says it knows */
} watcher_t;

/** An entry instance that has watched. It is kept when it stops, because it may
 * come back, and an instance that was told of it is not told again. */
typedef struct
{
  char *address; /* at which other entry instances reach it */
  char *zone;
  uint64_t version; /* order in which it became known, from 1 on */
} instance_t;

struct control_watch
{
  control_server_t *server;
  GHashTable *watchers;         /* GBytes client -> watcher_t */
  GHashTable *instances;        /* address -> instance_t, children of watch */
  uint64_t last_version;        /* version of the last instance */
  uint64_t drains_known_by_all; /* version that all watchers knew, see
                                   log_when_all_know() */
  struct event *push_timer;
};

static int
free_watch (control_watch_t *watch)
{
  g_hash_table_destroy (watch->watchers);
  g_hash_table_destroy (watch->instances);
  event_free (watch->push_timer);
  return 0;
}

/** Returns the watcher of a client. It is added if missing; the result is NULL
 * if there are too many watchers. */
static watcher_t *
find_or_add_watcher (control_watch_t *watch, const mq_frame_t *client)
{
  GBytes *key = g_bytes_new (client->data, client->size_bytes);
  watcher_t *watcher = g_hash_table_lookup (watch->watchers, key);

  if (watcher == NULL && g_hash_table_size (watch->watchers) < MAX_WATCHERS)
    {
      watcher = g_new0 (watcher_t, 1);
      g_hash_table_insert (watch->watchers, g_bytes_ref (key), watcher);
    }
  g_bytes_unref (key);
  return watcher;
}

static void
record_instance (control_watch_t *watch, const char *address, const char *zone)
{
  instance_t *instance = g_hash_table_lookup (watch->instances, address);

  if (*address == '\0'
      || (instance != NULL && strcmp (instance->zone, zone) == 0)
      || (instance == NULL
          && g_hash_table_size (watch->instances) >= MAX_INSTANCES))
    return;
  if (instance == NULL)
    {
      instance = talloc_zero (watch, instance_t);
      instance->address = talloc_strdup (instance, address);
      g_hash_table_insert (watch->instances, instance->address, instance);
    }
  talloc_free (instance->zone);
  instance->zone = talloc_strdup (instance, zone);
  instance->version = ++watch->last_version;
}

/** Adds the instances that became known after a version to a message. */
static void
add_instances (const control_watch_t *watch,
               uint64_t since_version,
               Lwm__ControlDirectory *part)
{
  guint count = g_hash_table_size (watch->instances);
  GHashTableIter iter;
  gpointer value;

  part->watchers_version = watch->last_version;
  if (since_version == watch->last_version)
    return;
  part->watchers = talloc_array (part, char *, count + 1);
  part->watcher_zones = talloc_array (part, char *, count + 1);
  g_hash_table_iter_init (&iter, watch->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const instance_t *instance = value;

      if (instance->version <= since_version)
        continue;
      part->watchers[part->n_watchers++] = instance->address;
      part->watcher_zones[part->n_watcher_zones++] = instance->zone;
    }
}

/** Returns the directory entries that changed after a version. The strings are
 * valid until the directory changes. */
static Lwm__ControlDirectory *
make_directory_part (const control_watch_t *watch,
                     uint64_t since_version,
                     void *parent)
{
  Lwm__ControlDirectory *part = control_directory_since (
      watch->server->directory, since_version, parent);

  part->config_number = statemachine_revision (watch->server->machine)->number;
  if (watch->server->options.zone != NULL)
    part->zone = (char *)watch->server->options.zone;
  return part;
}

/** Logs once for each version that all watchers know the drained zones. */
static void
log_when_all_know (control_watch_t *watch)
{
  uint64_t version = statemachine_drains (watch->server->machine)->version;

  if (watch->drains_known_by_all == version
      || control_watch_count_behind (watch) > 0)
    return;
  watch->drains_known_by_all = version;
  log_info ("All watching instances know the drained zones. version=%ju "
            "watchers=%zu",
            (uintmax_t)version, control_watch_count (watch));
}

static void
update_watcher (control_watch_t *watch,
                watcher_t *watcher,
                const Lwm__ControlWatch *request)
{
  control_server_t *server = watch->server;

  watcher->known = request->known;
  if (!control_server_is_stale (server))
    watcher->known
        = MAX (watcher->known, statemachine_revision (server->machine)->number);
  watcher->expires_ms = clock_mono_ms () + WATCHER_TIMEOUT_MS;
  watcher->wants_config = !request->no_config;
  watcher->wants_directory = request->directory;
  watcher->version = control_directory_version (server->directory);
  watcher->wants_drains = request->drains;
  watcher->drains_version = request->drains_version;
  if (watcher->wants_drains)
    log_when_all_know (watch);
}

void
control_watch_receive (control_watch_t *watch,
                       const mq_frame_t *client,
                       const Lwm__ControlWatch *request)
{
  control_server_t *server = watch->server;
  watcher_t *watcher = find_or_add_watcher (watch, client);
  Lwm__ControlRevision *revision = statemachine_revision (server->machine);
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
  bool is_same_epoch
      = request->epoch == control_directory_epoch (server->directory);
  void *scratch = talloc_new (watch);

  metric_add (server->counters.watches, 1);
  if (watcher != NULL)
    update_watcher (watch, watcher, request);
  record_instance (watch, request->address, request->zone);
  answer.stale = control_server_is_stale (server);
  if (!request->no_config && revision->number > request->known)
    answer.revision = revision;
  if (request->drains)
    answer.drain_report = control_drains_report (server, scratch);
  if (request->directory)
    {
      answer.directory = make_directory_part (
          watch, is_same_epoch ? request->version : 0, scratch);
      if (!request->no_config)
        add_instances (watch, is_same_epoch ? request->watchers_version : 0,
                       answer.directory);
    }
  control_server_answer (server, client->data, client->size_bytes, &answer);
  talloc_free (scratch);
}

/** Removes watchers that have not renewed their watch in time. */
static void
expire_watchers (control_watch_t *watch)
{
  uint64_t now_ms = clock_mono_ms ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, watch->watchers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((watcher_t *)value)->expires_ms < now_ms)
      g_hash_table_iter_remove (&iter);
}

void
control_watch_push (control_watch_t *watch)
{
  control_server_t *server = watch->server;
  Lwm__ControlRevision *revision = statemachine_revision (server->machine);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (control_server_is_stale (server))
    return;
  expire_watchers (watch);
  g_hash_table_iter_init (&iter, watch->watchers);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      watcher_t *watcher = value;
      Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
      Lwm__ControlDirectory notice = LWM__CONTROL_DIRECTORY__INIT;
      gsize size_bytes;
      const uint8_t *client = g_bytes_get_data (key, &size_bytes);

      if (watcher->known >= revision->number)
        continue;
      watcher->known = revision->number;
      notice.epoch = control_directory_epoch (server->directory);
      notice.since = notice.version = watcher->version;
      notice.config_number = revision->number;
      if (watcher->wants_config)
        answer.revision = revision;
      else
        answer.directory = &notice;
      control_server_answer (server, client, size_bytes, &answer);
    }
}

void
control_watch_push_drains (control_watch_t *watch)
{
  control_server_t *server = watch->server;
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
  void *scratch = talloc_new (watch);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  expire_watchers (watch);
  control_drains_log (server, g_hash_table_size (watch->watchers));
  answer.stale = control_server_is_stale (server);
  answer.drain_report = control_drains_report (server, scratch);
  g_hash_table_iter_init (&iter, watch->watchers);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const watcher_t *watcher = value;
      gsize size_bytes;
      const uint8_t *client = g_bytes_get_data (key, &size_bytes);

      if (watcher->wants_drains)
        control_server_answer (server, client, size_bytes, &answer);
    }
  talloc_free (scratch);
}

size_t
control_watch_count_behind (const control_watch_t *watch)
{
  uint64_t version = statemachine_drains (watch->server->machine)->version;
  size_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, watch->watchers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const watcher_t *watcher = value;

      count += watcher->wants_drains && watcher->drains_version < version;
    }
  return count;
}

static void
on_push_timer (evutil_socket_t fd, short what, void *context)
{
  control_watch_t *watch = context;
  control_server_t *server = watch->server;
  uint64_t version = control_directory_version (server->directory);
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
  void *scratch = talloc_new (watch);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  expire_watchers (watch);
  g_hash_table_iter_init (&iter, watch->watchers);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      watcher_t *watcher = value;
      gsize size_bytes;
      const uint8_t *client = g_bytes_get_data (key, &size_bytes);

      if (!watcher->wants_directory || watcher->version == version)
        continue;
      /* Most watchers have the same version and get the same part. */
      if (answer.directory == NULL
          || answer.directory->since != watcher->version)
        answer.directory
            = make_directory_part (watch, watcher->version, scratch);
      watcher->version = version;
      control_server_answer (server, client, size_bytes, &answer);
    }
  talloc_free (scratch);
}

void
control_watch_push_directory (control_watch_t *watch, bool is_urgent)
{
  struct timeval wait = { .tv_usec = PUSH_DELAY_MS * 1000 };

  if (is_urgent)
    {
      event_del (watch->push_timer);
      on_push_timer (-1, EV_TIMEOUT, watch);
    }
  else if (!event_pending (watch->push_timer, EV_TIMEOUT, NULL))
    event_add (watch->push_timer, &wait);
}

size_t
control_watch_count (const control_watch_t *watch)
{
  return g_hash_table_size (watch->watchers);
}

control_watch_t *
control_watch_new (control_server_t *server)
{
  control_watch_t *watch = talloc_zero (server, control_watch_t);

  watch->server = server;
  watch->watchers = g_hash_table_new_full (
      g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, g_free);
  watch->instances = g_hash_table_new (g_str_hash, g_str_equal);
  watch->push_timer
      = event_new (server->options.base, -1, 0, on_push_timer, watch);
  talloc_set_destructor (watch, free_watch);
  return watch;
}
