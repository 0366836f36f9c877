/**
 * @file upstream-set-internal.h
 * Shared by upstream-set.c (upstreams, jobs, failures), upstream-set-cold.c
 * (when an upstream is taken for cold) and upstream-set-pace.c (limits on open
 * requests after a start or return). No other file includes this header.
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
  GHashTable *drained_zones; /* names */
  uint64_t first_sync_ms;
};

/** Returns the upstream with @a key, or NULL. */
upstream_member_t *upstream_set_find_member (const upstream_set_t *set,
                                             uint64_t key);

/** Returns whether this process has known the upstreams for long enough to take
 * one that becomes known, or cold, for one that does so by itself. */
bool upstream_set_is_settled (const upstream_set_t *set, uint64_t now_ms);

/** Limits the open requests at an upstream from now on. */
void upstream_set_begin_pace (const upstream_set_t *set,
                              upstream_member_t *member,
                              pace_reason_t reason,
                              uint64_t now_ms);

/** Applies an answer that took @a factor times the predicted time. */
void upstream_set_pace_answer (upstream_member_t *member,
                               double factor,
                               uint64_t now_ms);

/** Applies a plain call that took @a took_ms, compared with other upstreams of
 * the service. */
void upstream_set_pace_call (const upstream_set_t *set,
                             upstream_member_t *member,
                             double took_ms,
                             uint64_t now_ms);

void upstream_set_pace_tick (upstream_member_t *member, uint64_t now_ms);

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
