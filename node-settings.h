/**
 * @file node-settings.h
 * Reads and validates the settings file of an instance in a deployment of many
 * machines, and reloads the file when it changes.
 */
#ifndef NODE_SETTINGS_H
#define NODE_SETTINGS_H

#include <stddef.h>

#include "node.pb-c.h"

struct event_base;

typedef struct node_settings node_settings_t;

/** Called after a changed file was read and found valid. @a settings are valid
 * until the next change. */
typedef void (*node_settings_cb_t) (const Lwm__NodeSettings *settings,
                                    void *context);

/**
 * Reads and validates the file.
 * @return freed with @a parent (talloc); NULL, after a line on stderr for each
 *         mistake, when the file cannot be read or is invalid
 */
node_settings_t *node_settings_new (void *parent, const char *path);

/** Returns the last valid content of the file; valid until the next change. */
const Lwm__NodeSettings *node_settings_get (const node_settings_t *settings);

/** Starts polling the file from the loop @a base. @a on_change is called after
 * each valid change. */
void node_settings_watch (node_settings_t *settings,
                          struct event_base *base,
                          node_settings_cb_t on_change,
                          void *context);

/** Reads the file again now. Invalid content is logged and changes nothing. */
void node_settings_reload (node_settings_t *settings);

/** Returns the addresses, "IP:PORT", at which the seeds receive messages of the
 * control group; a child of @a parent. */
char **node_settings_control_peers (void *parent,
                                    const Lwm__NodeSettings *settings,
                                    size_t *count);

/** Adds the seeds as peers of a control_client_t. It is a node_settings_cb_t
 * whose context is the client. */
void node_settings_add_control_peers (const Lwm__NodeSettings *settings,
                                      void *control_client);

/** Returns the address, "IP:PORT", at which this instance receives messages
 * from instances of its kind, entry or control; a child of @a parent. */
char *node_settings_own_address (void *parent,
                                 const Lwm__NodeSettings *settings);

/** Returns the port at which entry instances accept tunnels of each other, 0 if
 * the settings leave none for it. */
uint16_t node_settings_tunnel_port (const Lwm__NodeSettings *settings);

#endif
