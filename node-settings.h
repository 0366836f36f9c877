/**
 * @file node-settings.h
 * The settings file of an instance on a deployment of many machines: read,
 * checked, and read again when it has changed.
 */
#ifndef NODE_SETTINGS_H
#define NODE_SETTINGS_H

#include <stddef.h>

#include "node.pb-c.h"

struct event_base;

typedef struct node_settings node_settings_t;

/** The file has changed and is good. */
typedef void (*node_settings_cb_t) (const Lwm__NodeSettings *settings,
                                    void *context);

/**
 * Reads and checks the file.
 * @return freed with @a parent (talloc); NULL after a line on stderr for each
 * mistake
 */
node_settings_t *node_settings_new (void *parent, const char *path);

/** The last good content; valid until the next change. */
const Lwm__NodeSettings *node_settings_get (const node_settings_t *settings);

/** Looks at the file now and then from the loop. */
void node_settings_watch (node_settings_t *settings,
                          struct event_base *base,
                          node_settings_cb_t on_change,
                          void *context);

/** Reads the file again now; bad content is logged and changes nothing. */
void node_settings_reload (node_settings_t *settings);

/** Addresses of the control group's own messages at the seeds. */
char **node_settings_control_peers (void *parent,
                                    const Lwm__NodeSettings *settings,
                                    size_t *count);

/** A node_settings_cb_t that tells the control client of new seeds. */
void node_settings_tell_peers (const Lwm__NodeSettings *settings,
                               void *control_client);

/** Where this instance takes messages of its own kind, "IP:PORT". */
char *node_settings_own_address (void *parent,
                                 const Lwm__NodeSettings *settings);

#endif
