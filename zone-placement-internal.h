/**
 * @file zone-placement-internal.h
 * Shared by zone-placement.c (this instance as placer, messages, jobs) and
 * zone-ask.c (requests of this instance that wait for an upstream). No other
 * file includes this header.
 */
#ifndef ZONE_PLACEMENT_INTERNAL_H
#define ZONE_PLACEMENT_INTERNAL_H

#include <glib.h>

#include "load-share.h"
#include "placer-ranking.h"
#include "share-link.h"
#include "zone-placement.h"

struct event;

/** Why this instance decided on a request although it is not the placer. */
typedef enum
{
  ZONE_FALLBACK_TIMEOUT,  /* no instance answered in time */
  ZONE_FALLBACK_UNABLE,   /* the placer said that it cannot decide */
  ZONE_FALLBACK_UNKNOWN,  /* the placer chose an upstream unknown here */
  ZONE_FALLBACK_STARTING, /* the zone has just started and has no placer */
  ZONE_FALLBACK_DRAINED,  /* the placer did not know of a drained zone */
  ZONE_FALLBACK_COUNT,
} zone_fallback_t;

/** Counters; fallbacks has one for each reason. */
typedef struct
{
  metric_t *local;  /* decisions for requests of this instance, made here */
  metric_t *remote; /* decisions for them made by another instance */
  metric_t *served; /* decisions made here for other instances */
  metric_t *timeouts;
  metric_t *handovers;
  metric_t *held; /* requests held while the zone started */
  metric_t *fallbacks[ZONE_FALLBACK_COUNT];
} zone_counters_t;

struct zone_placement
{
  zone_placement_options_t options;
  share_link_t *link;
  placer_ranking_t *ranking;
  load_share_t *share;
  placer_t *placer;
  GHashTable *asks; /* id -> zone_ask_t */
  uint64_t last_id;
  uint64_t started_ms;
  const placer_peer_t *last_placer; /* NULL: this instance */
  uint32_t queued;
  struct event *queue_timer;
  bool has_placed; /* has been asked for an upstream */
  zone_counters_t counters;
};

/** Asks this instance's placer. */
void zone_placement_decide (zone_placement_t *placement,
                            const placement_request_t *request,
                            uint64_t now_ms);

/** Returns the name of a reason in log lines and metrics. */
const char *zone_fallback_name (zone_fallback_t why);

/** Handles the answer of another instance to an ask. */
void zone_ask_receive (zone_placement_t *placement,
                       const Lwm__PlaceAnswer *message);

/** Handles the decision of this instance's placer on a request of its own. */
void zone_ask_decided (zone_placement_t *placement,
                       const placement_request_t *request,
                       const placement_answer_t *answer);

/** Drops all asks without an answer, before the placement is freed. */
void zone_ask_drop_all (zone_placement_t *placement);

#endif
