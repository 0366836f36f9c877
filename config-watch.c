#include "config-watch.h"

#include <event2/event.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define LOG_PART "config"
#include "logging.h"

#define POLL_INTERVAL_MS 500

struct config_watch
{
  config_watch_options_t options;
  char *folder;
  struct event *timer;
  uint64_t loaded_fingerprint; /* fingerprint of the folder when it was last
                                  loaded */
  uint64_t polled_fingerprint; /* fingerprint of the folder at the last poll */
};

/** Returns a hash of a file's name, size, modification time and inode. */
static uint64_t
file_fingerprint (const char *folder, const char *name)
{
  char *path = g_build_filename (folder, name, NULL);
  GStatBuf status;
  uint64_t stat_values[4] = { 0 };
  uint64_t fingerprint;

  if (g_stat (path, &status) == 0)
    {
      stat_values[0] = (uint64_t)status.st_size;
      stat_values[1] = (uint64_t)status.st_mtim.tv_sec;
      stat_values[2] = (uint64_t)status.st_mtim.tv_nsec;
      stat_values[3] = (uint64_t)status.st_ino;
    }
  fingerprint
      = XXH64 (stat_values, sizeof stat_values, XXH64 (name, strlen (name), 0));
  g_free (path);
  return fingerprint;
}

/** Returns a number that changes when a .yaml file of the folder changes; 0
 * when the folder cannot be read. The order in which files are listed has no
 * effect. */
static uint64_t
folder_fingerprint (const char *folder)
{
  GDir *dir = g_dir_open (folder, 0, NULL);
  const char *name;
  uint64_t sum = 1;

  if (dir == NULL)
    return 0;
  while ((name = g_dir_read_name (dir)) != NULL)
    if (g_str_has_suffix (name, ".yaml"))
      sum += file_fingerprint (folder, name);
  g_dir_close (dir);
  return sum;
}

bool
config_watch_load (config_watch_t *watch, char **mistakes)
{
  Lwm__Config *config;

  watch->loaded_fingerprint = watch->polled_fingerprint
      = folder_fingerprint (watch->folder);
  config = config_load (watch, watch->folder, mistakes);
  if (config == NULL)
    return false;
  watch->options.on_loaded (config, watch->options.context);
  talloc_free (config);
  return true;
}

static void
on_poll (evutil_socket_t fd, short what, void *arg)
{
  config_watch_t *watch = arg;
  uint64_t current = folder_fingerprint (watch->folder);
  bool is_unchanged = current == watch->polled_fingerprint;
  char *mistakes = NULL;

  watch->polled_fingerprint = current;
  if (current == 0 || current == watch->loaded_fingerprint || !is_unchanged)
    return;
  if (!config_watch_load (watch, &mistakes))
    log_error ("Configuration folder is refused. folder=%s mistakes=\"%s\"",
               watch->folder, mistakes);
  talloc_free (mistakes);
}

static int
free_watch (config_watch_t *watch)
{
  event_free (watch->timer);
  return 0;
}

config_watch_t *
config_watch_new (void *parent, const config_watch_options_t *options)
{
  config_watch_t *watch = talloc_zero (parent, config_watch_t);
  struct timeval interval = { .tv_usec = POLL_INTERVAL_MS * 1000 };

  watch->options = *options;
  watch->folder = talloc_strdup (watch, options->folder);
  watch->loaded_fingerprint = watch->polled_fingerprint
      = folder_fingerprint (watch->folder);
  watch->timer = event_new (options->base, -1, EV_PERSIST, on_poll, watch);
  event_add (watch->timer, &interval);
  talloc_set_destructor (watch, free_watch);
  return watch;
}
