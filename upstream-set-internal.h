/**
 * @file upstream-set-internal.h
 * Shared by upstream-set.c (upstreams, jobs, failures) and upstream-set-cold.c
 * (when an upstream is taken for cold). No other file includes this header.
 */
#ifndef UPSTREAM_SET_INTERNAL_H
#define UPSTREAM_SET_INTERNAL_H

#include "upstream-set.h"

struct upstream_set
{
  upstream_set_options_t options;
  GHashTable *by_key; /* key -> upstream_member_t, children of set */
  GPtrArray *members;
  GHashTable *jobs; /* id -> upstream_job_t, children of their member */
  uint64_t first_sync_ms;
};

/** Returns the upstream with @a key, or NULL. */
upstream_member_t *upstream_set_find_member (const upstream_set_t *set,
                                             uint64_t key);

/** Takes an upstream that has become known for cold if it must have started
 * lately. */
void upstream_set_check_new (const upstream_set_t *set,
                             upstream_member_t *member,
                             uint64_t now_ms);

/** Applies what an upstream announced of its cold time. */
void upstream_set_check_announced (const upstream_set_t *set,
                                   upstream_member_t *member,
                                   const directory_entry_t *entry,
                                   uint64_t now_ms);

/** Takes an upstream for cold while it is out of service and when it returns,
 * as it may have become cold without notice. */
void upstream_set_check_service (const upstream_set_t *set,
                                 upstream_member_t *member,
                                 uint64_t now_ms);

#endif
