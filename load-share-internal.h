/**
 * @file load-share-internal.h
 * Types and functions shared by load-share.c (sends updates, notices lost
 * instances), load-share-receive.c (applies the updates of others) and
 * load-share-view.c (whether this instance knows its zone's jobs). No other
 * file includes this header.
 */
#ifndef LOAD_SHARE_INTERNAL_H
#define LOAD_SHARE_INTERNAL_H

#include <event2/util.h>
#include <glib.h>

#include "load-batch.h"
#include "load-share.h"
#include "pause-detector.h"

struct event;

/** Time without updates after which a view is taken for incomplete; every
 * instance reports its jobs once within it. */
#define LOAD_VIEW_TIMEOUT_MS 2500

/** Another instance that sends updates. */
typedef struct
{
  uint64_t incarnation;
  uint64_t heard_ms;
  bool is_own_zone;
  uint32_t sent_ms; /* of its last whole update, by its clock */
  char *zone;
  char *address; /* at which it listens, or NULL while it is unknown */
} load_sender_t;

struct load_share
{
  load_share_options_t options;
  GHashTable *senders;    /* incarnation -> load_sender_t */
  load_batch_t *own;      /* changes of this instance, for its zone */
  load_batch_t *zone;     /* changes of the zone, for other zones */
  uint64_t acted_ms;      /* when this instance last placed for another one */
  uint64_t view_since_ms; /* since when updates have come without a gap, or 0 */
  uint64_t view_heard_ms; /* when the last update of the own zone came */
  uint64_t zone_born_ms;  /* start of the oldest known instance of the zone */
  uint64_t early_ms;      /* when the view was complete by the rule for a zone
                             that has just started, or 0 */
  uint64_t whole_ms;      /* when all jobs were last sent */
  uint64_t tick_ms;       /* when they are sent next */
  bool was_able;          /* as the instances of the zone were told */
  uint64_t placer_since_ms; /* since when this is the zone's placer, or 0 */
  uint64_t placer_checked_ms;
  pause_detector_t pauses; /* pauses of this process */
  struct event *tick;      /* sends all jobs */
  struct event *gather;    /* ends the wait for reports after a common start */
  struct event *check;     /* looks for lost instances */
  metric_t *bytes_out;
  metric_t *messages_out;
};

/** Returns the age of the zone for a message, see ShareUpdate. */
uint32_t load_share_zone_age_ms (const load_share_t *share, uint64_t now_ms);

/** Records the age of the zone that another instance of it states.
 * @param zone_age_ms as in the message, 0: not stated */
void load_share_on_zone_age (load_share_t *share,
                             uint32_t zone_age_ms,
                             uint64_t now_ms);

/** Extends the time for which this instance has known its zone's jobs. */
void load_share_extend_view (load_share_t *share, uint64_t now_ms);

/** Timer callback: ends the wait for reports after a common start. */
void load_share_on_gather (evutil_socket_t fd, short what, void *context);

/** Sends all jobs of the zone to other zones if this instance has begun to act
 * for the zone. */
void load_share_check_acting (load_share_t *share, uint64_t now_ms);

/** Acknowledges a whole update. */
void load_share_send_ack (load_share_t *share,
                          uint64_t incarnation,
                          uint32_t sent_ms);

/** Removes the jobs that an instance reported and that were sent earlier. */
void load_share_drop_source (load_share_t *share,
                             uint64_t source,
                             uint64_t sent_before_ms);

/** Removes the jobs that a lost instance reported, and has its orphaned
 * reservations released. The caller removes it from the table. */
void load_share_forget_sender (load_share_t *share,
                               const load_sender_t *sender);

/** Releases the reservation of a job whose instance is lost. */
void load_share_release_orphan (const load_share_t *share,
                                const upstream_job_t *job);

#endif
