/**
 * @file control-directory.h
 * Directory of the upstreams that announce themselves at this control instance.
 * It is kept in memory and pushed to the entry instances that watch. It is not
 * replicated: each entry instance watches all control instances and merges
 * their directories with directory.h.
 */
#ifndef CONTROL_DIRECTORY_H
#define CONTROL_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "control.pb-c.h"
#include "directory.h"
#include "error.h"

typedef struct control_directory control_directory_t;
struct control_server;

/** Creates the directory and loads the one saved before a restart. It is freed
 * with @a server (talloc). */
control_directory_t *control_directory_new (struct control_server *server);

/** Returns a random number that identifies the directory of this process.
 * Versions are comparable within one epoch only. */
uint64_t control_directory_epoch (const control_directory_t *directory);

/** Returns the version of the directory, which rises with each change. */
uint64_t control_directory_version (const control_directory_t *directory);

/** Stores a statement about an upstream, and pushes it to the watchers when it
 * changes the directory. */
directory_result_t
control_directory_put (control_directory_t *directory,
                       const directory_statement_t *statement);

/**
 * Records on disk that the upstream @a id shuts down, and pushes that to the
 * watchers.
 * @param born_ms start time of its incarnation, or 0 for the last one known
 * @return ERROR_NONE when it is on record; ERROR_NOT_FOUND when @a born_ms is 0
 * and the upstream is not known; ERROR_INTERNAL when the record could not be
 * saved and would be lost in a restart
 */
error_kind_t control_directory_leave (control_directory_t *directory,
                                      const char *id,
                                      uint64_t born_ms);

/** Returns the entries that changed after @a version and the addresses of the
 * control group's members, owned by @a parent. The strings of the entries point
 * into the directory and are valid until it changes. */
Lwm__ControlDirectory *
control_directory_since (const control_directory_t *directory,
                         uint64_t version,
                         void *parent);

/** Saves the directory and marks upstreams that stopped announcing, each when
 * due. To be called on every tick of the server. */
void control_directory_tick (control_directory_t *directory, uint64_t now_ms);

/** Converts a message to a statement, whose strings point into the message. */
directory_statement_t
control_directory_statement (const Lwm__ControlUpstream *upstream);

#endif
