#include <inttypes.h>
#include <string.h>

#include "upstream-set-internal.h"
#define LOG_PART "upstreams"
#include "logging.h"

/** Upstreams that are learned of within this time after the start of this
 * process need not have started lately. */
#define SETTLED_MS 5000
/** A silent upstream that has answered well within this time is not taken for
 * one that was out of service. */
#define IN_SERVICE_MS 2000
#define MAX_COLD_MS   60000

static void
begin_cold (const upstream_set_t *set,
            upstream_member_t *member,
            uint64_t until_ms,
            const char *why,
            uint64_t now_ms)
{
  until_ms = MIN (until_ms, now_ms + MAX_COLD_MS);
  if (!upstream_cold_begin (&member->cold, until_ms, now_ms))
    return;
  if (member->was_in_service && member->pace.reason == PACE_NONE
      && upstream_set_is_settled (set, now_ms))
    upstream_set_begin_pace (set, member, PACE_COLD, now_ms);
  if (!upstream_cold_holds (&member->cold, now_ms))
    return;
  log_info ("An upstream is taken for cold. upstream=%s address=%s why=%s "
            "for_ms=%ju requests_s=%u",
            member->id, member->address, why, (uintmax_t)(until_ms - now_ms),
            member->cold.rate.requests_s);
  if (set->options.on_cold != NULL)
    set->options.on_cold (member, set->options.context);
}

/** Takes an upstream for cold for as long as one that has just started. */
static void
assume_cold (const upstream_set_t *set,
             upstream_member_t *member,
             const char *why,
             uint64_t now_ms)
{
  begin_cold (set, member, now_ms + member->cold.rate.duration_ms, why, now_ms);
}

static void
update_cold_rate (const upstream_set_t *set, upstream_member_t *member)
{
  upstream_cold_rate_t rate = { 0 };

  if (set->options.find_cold_rate != NULL)
    rate = set->options.find_cold_rate (member->service, set->options.context);
  upstream_cold_set_rate (member, &member->cold, &rate);
}

static bool
is_in_service (const upstream_member_t *member, uint64_t now_ms)
{
  return member->is_usable && member->trust != UPSTREAM_EJECTED
         && (!member->is_silent || member->heard_ms + IN_SERVICE_MS > now_ms);
}

/** Logs the end of the time in which an upstream was taken for cold. */
static void
check_cold (upstream_member_t *member, uint64_t now_ms)
{
  if (member->cold.until_ms == 0 || member->cold.until_ms > now_ms)
    return;
  if (member->cold.rate.requests_s > 0)
    log_info ("An upstream is not taken for cold any more. upstream=%s "
              "address=%s",
              member->id, member->address);
  member->cold.until_ms = 0;
}

bool
upstream_set_is_settled (const upstream_set_t *set, uint64_t now_ms)
{
  return set->first_sync_ms + SETTLED_MS <= now_ms;
}

void
upstream_set_check_new (const upstream_set_t *set,
                        upstream_member_t *member,
                        uint64_t now_ms)
{
  update_cold_rate (set, member);
  if (upstream_set_is_settled (set, now_ms))
    {
      upstream_set_begin_pace (set, member, PACE_STARTED, now_ms);
      assume_cold (set, member, "started", now_ms);
    }
  member->was_in_service = is_in_service (member, now_ms);
}

void
upstream_set_check_announced (const upstream_set_t *set,
                              upstream_member_t *member,
                              const directory_entry_t *entry,
                              uint64_t now_ms)
{
  update_cold_rate (set, member);
  if (entry->said.cold_ms > 0)
    begin_cold (set, member, entry->heard_ms + entry->said.cold_ms, "announced",
                now_ms);
}

void
upstream_set_check_service (const upstream_set_t *set,
                            upstream_member_t *member,
                            uint64_t now_ms)
{
  bool is_now = is_in_service (member, now_ms);

  update_cold_rate (set, member);
  if (is_now && !member->was_in_service)
    upstream_set_begin_pace (set, member, PACE_RETURNED, now_ms);
  if (member->is_usable && !(is_now && member->was_in_service))
    assume_cold (set, member, is_now ? "returned" : "out_of_service", now_ms);
  member->was_in_service = is_now;
  check_cold (member, now_ms);
}

void
upstream_set_mark_cold (upstream_set_t *set,
                        uint64_t key,
                        uint64_t until_ms,
                        uint64_t now_ms)
{
  upstream_member_t *member = upstream_set_find_member (set, key);

  if (member != NULL)
    begin_cold (set, member, until_ms, "answered", now_ms);
}

void
upstream_set_mark_zone_cold (upstream_set_t *set,
                             const char *zone,
                             uint64_t now_ms)
{
  for (guint i = 0; i < set->members->len; i++)
    {
      upstream_member_t *member = g_ptr_array_index (set->members, i);

      if (strcmp (member->zone, zone) == 0)
        assume_cold (set, member, "zone_returned", now_ms);
    }
}

uint32_t
upstream_set_count_cold (const upstream_set_t *set, uint64_t now_ms)
{
  uint32_t count = 0;

  for (guint i = 0; i < set->members->len; i++)
    {
      const upstream_member_t *member = g_ptr_array_index (set->members, i);

      count += member->is_usable && upstream_cold_holds (&member->cold, now_ms);
    }
  return count;
}
