/**
 * @file entry-members.h
 * Connects an entry instance to the gossip of membership.h. It passes upstream
 * announcements, open streams and the configuration from this instance to the
 * other instances, and from them to this one.
 */
#ifndef ENTRY_MEMBERS_H
#define ENTRY_MEMBERS_H

#include <stdbool.h>

#include "dispatch.h"
#include "membership.h"
#include "registry.h"
#include "request-crashes.h"
#include "settings.pb-c.h"

typedef struct entry_members entry_members_t;

/** Called when a configuration came into force, or was loaded from the folder
 * and waits for the control group. A configuration in force stays valid until
 * the next one comes into force. */
typedef void (*entry_members_config_cb_t) (const Lwm__Config *config,
                                           void *context);

/** Called when the number of instances that share the limits changed. */
typedef void (*entry_members_instance_count_cb_t) (void *context);

typedef struct
{
  const Lwm__EntrySettings *settings;
  struct event_base *base;
  metrics_t *metrics;
  registry_t *registry;
  entry_members_config_cb_t on_config;
  entry_members_config_cb_t on_folder; /**< called for a configuration that was
                                            loaded from the folder, which is
                                            then not put in force; NULL to put
                                            it in force directly */
  entry_members_instance_count_cb_t on_instance_count;
  void *context; /**< passed to the callbacks */
} entry_members_options_t;

/**
 * Creates the module and joins the gossip. It must be freed before the
 * dispatcher and the loop.
 * @return freed with @a parent (talloc); NULL, after one line on stderr, when
 *         membership_new() fails
 */
entry_members_t *entry_members_new (void *parent,
                                    const entry_members_options_t *options);

/** Returns the hooks that the dispatcher must be created with. They record its
 * streams and reservations at other instances. */
dispatch_owner_hooks_t entry_members_owner_hooks (entry_members_t *members);

/** Sets the dispatcher that releases the streams and reservations of a dead
 * owner. */
void entry_members_set_dispatch (entry_members_t *members,
                                 dispatch_t *dispatch);

/** Gossips the announcement that an upstream sent to this instance. It has the
 * form of a frontend_announced_cb_t. @a context is the entry_members_t. */
void
entry_members_put_announcement (const registry_announcement_t *announcement,
                                void *context);

/** Returns this instance's share of @a limit, which applies to the whole
 * deployment: at least 1, or 0 when @a limit is 0. */
uint64_t entry_members_limit_share (const entry_members_t *members,
                                    const Lwm__Config *config,
                                    uint64_t limit);

/** Returns the evidence against requests that crash upstreams, which instances
 * exchange; owned by @a members. */
request_crashes_t *entry_members_crashes (entry_members_t *members);

/** Returns whether the owner of a claim, INSTANCE/INCARNATION, is known to be
 * running. It is a keyed_is_live_cb_t; @a context is the entry_members_t. */
bool entry_members_is_owner_live (const char *owner, void *context);

/** Returns the membership, owned by @a members. */
membership_t *entry_members_membership (entry_members_t *members);

#endif
