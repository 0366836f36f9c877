/**
 * @file control-peers.h
 * Sockets to the other replicas of a control group, keyed by address, and the
 * addresses of replicas, keyed by incarnation.
 */
#ifndef CONTROL_PEERS_H
#define CONTROL_PEERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct event_base;

typedef struct control_peers control_peers_t;

/** An initial member, from "NAME=ADDRESS:PORT". */
typedef struct
{
  char *name;
  char *address;
} control_initial_member_t;

typedef struct
{
  struct event_base *base;
  char **members; /**< initial members, "NAME=ADDRESS:PORT"; these
                       addresses take precedence over learned ones */
  size_t member_count;
} control_peers_options_t;

/**
 * Creates the table of peers.
 * @param why set to an error message, freed with @a parent, when a member is
 * malformed or given twice
 * @return freed with @a parent (talloc), or NULL on such an error
 */
control_peers_t *control_peers_new (void *parent,
                                    const control_peers_options_t *options,
                                    char **why);

/** Returns the initial members from the options, sorted by name. */
const control_initial_member_t *
control_peers_initial_members (const control_peers_t *peers, size_t *count);

/** Returns the address of the initial member @a name, or NULL. */
const char *control_peers_address (const control_peers_t *peers,
                                   const char *name);

/** Stores the address at which a replica listens; the address of an initial
 * member of that name takes precedence. */
void control_peers_set_address (control_peers_t *peers,
                                uint64_t incarnation,
                                const char *name,
                                const char *address);

/** Records that a message of @a incarnation arrived. */
void control_peers_mark_heard (control_peers_t *peers,
                               uint64_t incarnation,
                               uint64_t now_ms);

/** Tells whether a message of @a incarnation arrived within @a window_ms. */
bool control_peers_heard_within (const control_peers_t *peers,
                                 uint64_t incarnation,
                                 uint64_t now_ms,
                                 uint32_t window_ms);

/** Sends a message to a replica; returns false when its address is unknown or
 * its queue is full. */
bool control_peers_send (control_peers_t *peers,
                         uint64_t incarnation,
                         const uint8_t *data,
                         size_t size_bytes);

/** Sends a message to an address; returns false when it is no address or the
 * queue is full. */
bool control_peers_send_to (control_peers_t *peers,
                            const char *address,
                            const uint8_t *data,
                            size_t size_bytes);

#endif
