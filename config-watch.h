/**
 * @file config-watch.h
 * Watches the operator's configuration folder and reloads it after a change.
 *
 * The folder is polled instead of watched with inotify, so that network file
 * systems work too. A change is loaded only when two successive polls see the
 * same state, so that files that are still being copied are not read halfway.
 */
#ifndef CONFIG_WATCH_H
#define CONFIG_WATCH_H

#include <stdbool.h>

#include "config.h"

struct event_base;

typedef struct config_watch config_watch_t;

/** Receives a valid configuration after it was loaded. @a config is valid only
 * in the callback. */
typedef void (*config_watch_cb_t) (const Lwm__Config *config, void *context);

typedef struct
{
  struct event_base *base;
  const char *folder; /**< copied */
  config_watch_cb_t on_loaded;
  void *context; /**< passed to on_loaded */
} config_watch_options_t;

/**
 * Starts watching for changes made after this call. Mistakes in a changed
 * folder are logged.
 * @return freed with @a parent (talloc)
 */
config_watch_t *config_watch_new (void *parent,
                                  const config_watch_options_t *options);

/**
 * Loads the folder in its present state, at the start and on SIGHUP.
 * @param mistakes set to one line for each mistake, a child of @a watch, when
 *                 false is returned
 * @return false when the folder holds no valid configuration
 */
bool config_watch_load (config_watch_t *watch, char **mistakes);

#endif
