/**
 * @file control-directory.h
 * Upstreams that announce themselves at this control instance, kept in memory
 * and pushed to the entry instances that watch. Nothing here is replicated:
 * each entry instance watches all control instances and merges what they tell.
 */
#ifndef CONTROL_DIRECTORY_H
#define CONTROL_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "control.pb-c.h"
#include "directory.h"

typedef struct control_directory control_directory_t;
struct control_server;

/** Freed with @a server (talloc). */
control_directory_t *control_directory_new (struct control_server *server);

/** Number of this process's directory; versions of another mean nothing. */
uint64_t control_directory_epoch (const control_directory_t *directory);
uint64_t control_directory_version (const control_directory_t *directory);

/** Takes a statement and pushes it on when it changes something. */
directory_result_t
control_directory_put (control_directory_t *directory,
                       const directory_statement_t *statement);

/**
 * The upstream @a id ends.
 * @param born_ms its birth, or 0 for the last one known
 */
bool control_directory_leave (control_directory_t *directory,
                              const char *id,
                              uint64_t born_ms);

/** What changed after @a version, owned by @a parent. */
Lwm__ControlDirectory *
control_directory_since (const control_directory_t *directory,
                         uint64_t version,
                         void *parent);

void control_directory_tick (control_directory_t *directory, uint64_t now_ms);

/** A statement as the message says it; its strings are the message's. */
directory_statement_t
control_directory_statement (const Lwm__ControlUpstream *upstream);

#endif
