#include <inttypes.h>
#include <string.h>

#include "upstream-set-internal.h"
#define LOG_PART "upstreams"
#include "logging.h"

static bool
is_paced (const upstream_set_t *set, const upstream_member_t *member)
{
  const upstream_set_options_t *options = &set->options;

  return options->is_paced == NULL
         || options->is_paced (member->service, options->context);
}

void
upstream_set_begin_pace (const upstream_set_t *set,
                         upstream_member_t *member,
                         pace_reason_t reason,
                         uint64_t now_ms)
{
  if (is_paced (set, member)
      && upstream_pace_begin (&member->pace, reason, now_ms))
    log_info ("Limits the open requests at an upstream. upstream=%s address=%s "
              "why=%s limit=%.1f",
              member->id, member->address, upstream_pace_reason_name (reason),
              member->pace.limit);
}

static void
log_end (const upstream_member_t *member)
{
  log_info ("The limit on open requests at an upstream has ended. upstream=%s "
            "address=%s",
            member->id, member->address);
}

void
upstream_set_pace_answer (upstream_member_t *member,
                          double factor,
                          uint64_t now_ms)
{
  if (upstream_pace_on_answer (&member->pace, factor, member->jobs->len,
                               member->slots, now_ms))
    log_end (member);
}

/** Returns the mean time of a call at the upstreams of a service without a
 * limit, or 0. */
static double
usual_call_ms (const upstream_set_t *set, const char *service)
{
  double sum_ms = 0;
  uint32_t count = 0;

  for (guint i = 0; i < set->members->len; i++)
    {
      const upstream_member_t *member = g_ptr_array_index (set->members, i);

      if (member->answer_ms <= 0 || member->pace.reason != PACE_NONE
          || strcmp (member->service, service) != 0)
        continue;
      sum_ms += member->answer_ms;
      count++;
    }
  return count > 0 ? sum_ms / count : 0;
}

void
upstream_set_pace_call (const upstream_set_t *set,
                        upstream_member_t *member,
                        double took_ms,
                        uint64_t now_ms)
{
  double usual_ms;

  if (member->pace.reason == PACE_NONE)
    return;
  usual_ms = usual_call_ms (set, member->service);
  upstream_set_pace_answer (member, usual_ms > 0 ? took_ms / usual_ms : 1,
                            now_ms);
}

void
upstream_set_pace_tick (upstream_member_t *member, uint64_t now_ms)
{
  if (upstream_pace_tick (&member->pace, member->slots, now_ms))
    log_end (member);
}

void
upstream_set_add_late_gap (upstream_set_t *set, uint64_t key, uint64_t now_ms)
{
  upstream_member_t *member = upstream_set_find_member (set, key);

  if (member != NULL)
    upstream_pace_on_late (&member->pace, now_ms);
}

uint32_t
upstream_set_count_paced (const upstream_set_t *set, pace_reason_t reason)
{
  uint32_t count = 0;

  for (guint i = 0; i < set->members->len; i++)
    {
      const upstream_member_t *member = g_ptr_array_index (set->members, i);

      count += member->is_usable && member->pace.reason == reason;
    }
  return count;
}
