#include "control-presence.h"

#include <glib.h>
#include <talloc.h>

#include "members.h"

/** An absence that was reported no later than this before an election is still
 * valid for the new leader. */
#define REPORT_VALID_MS 3000

typedef struct
{
  uint64_t incarnation;
  uint64_t heard_ms;        /* last message, or when it became a member */
  uint64_t absent_since_ms; /* as the last leader reported it, or 0 */
  uint64_t reported_ms;     /* when it did so */
  uint64_t last_absent_ms;  /* when it was last known to be absent, or 0 */
  uint64_t leaving_ms;      /* when it announced its end, or 0 */
} record_t;

struct control_presence
{
  control_presence_options_t options;
  GArray *records; /* record_t, one for each member */
};

static int
free_presence (control_presence_t *presence)
{
  g_array_free (presence->records, TRUE);
  return 0;
}

control_presence_t *
control_presence_new (void *parent, const control_presence_options_t *options)
{
  control_presence_t *presence = talloc_zero (parent, control_presence_t);

  presence->options = *options;
  presence->records = g_array_new (FALSE, FALSE, sizeof (record_t));
  talloc_set_destructor (presence, free_presence);
  return presence;
}

static bool
is_absent_for (const control_presence_t *presence, uint64_t silent_ms)
{
  return silent_ms >= presence->options.absent_after_ms;
}

static record_t *
find_record (const control_presence_t *presence, uint64_t incarnation)
{
  for (guint i = 0; i < presence->records->len; i++)
    {
      record_t *record = &g_array_index (presence->records, record_t, i);

      if (record->incarnation == incarnation)
        return record;
    }
  return NULL;
}

static void
forget_former_members (control_presence_t *presence,
                       const Lwm__ControlMembership *members)
{
  for (guint i = presence->records->len; i-- > 0;)
    {
      const record_t *record = &g_array_index (presence->records, record_t, i);

      if (membership_find (members, record->incarnation) == NULL)
        g_array_remove_index_fast (presence->records, i);
    }
}

void
control_presence_set_members (control_presence_t *presence,
                              const Lwm__ControlMembership *members,
                              uint64_t now_ms)
{
  forget_former_members (presence, members);
  for (size_t i = 0; i < members->n_members; i++)
    {
      record_t record = { .incarnation = members->members[i]->incarnation,
                          .heard_ms = now_ms };

      if (record.incarnation != presence->options.self
          && find_record (presence, record.incarnation) == NULL)
        g_array_append_val (presence->records, record);
    }
}

/** Ends an announcement: the member has been away since. */
static void
end_leaving (record_t *record, uint64_t now_ms)
{
  if (record->leaving_ms > 0)
    record->last_absent_ms = now_ms;
  record->leaving_ms = 0;
}

/** Returns whether an announced end must be over at @a now_ms. */
static bool
has_ended (const control_presence_t *presence,
           const record_t *record,
           uint64_t now_ms)
{
  return record->leaving_ms > 0
         && now_ms > record->leaving_ms + presence->options.stop_ms;
}

void
control_presence_heard (control_presence_t *presence,
                        uint64_t incarnation,
                        uint64_t now_ms)
{
  record_t *record = find_record (presence, incarnation);

  if (record == NULL)
    return;
  record->heard_ms = now_ms;
  record->absent_since_ms = 0;
  if (has_ended (presence, record, now_ms))
    end_leaving (record, now_ms);
}

void
control_presence_returned (control_presence_t *presence,
                           uint64_t incarnation,
                           uint64_t now_ms)
{
  record_t *record = find_record (presence, incarnation);

  if (record != NULL)
    end_leaving (record, now_ms);
}

void
control_presence_leaving (control_presence_t *presence,
                          uint64_t incarnation,
                          uint64_t now_ms)
{
  record_t *record = find_record (presence, incarnation);

  if (record != NULL)
    record->leaving_ms = now_ms;
}

void
control_presence_report (control_presence_t *presence,
                         const Lwm__ControlAbsence *absence,
                         uint64_t now_ms)
{
  record_t *record = find_record (presence, absence->incarnation);
  uint64_t since_ms = now_ms - MIN (absence->silent_ms, now_ms);

  if (record == NULL)
    return;
  record->last_absent_ms = MAX (record->last_absent_ms,
                                now_ms - MIN (absence->present_ms, now_ms));
  if (absence->leaving && record->leaving_ms == 0)
    record->leaving_ms = now_ms;
  record->reported_ms = now_ms;
  if (!absence->leaving && !is_absent_for (presence, absence->silent_ms))
    record->absent_since_ms = 0;
  else if (record->heard_ms <= since_ms)
    record->absent_since_ms = since_ms;
}

static uint64_t
silent_ms (const record_t *record, uint64_t leader_since_ms, uint64_t now_ms)
{
  bool is_reported
      = record->absent_since_ms > 0
        && record->reported_ms + REPORT_VALID_MS >= leader_since_ms;
  uint64_t since_ms = is_reported ? record->absent_since_ms : leader_since_ms;

  since_ms = MAX (since_ms, record->heard_ms);
  return now_ms - MIN (since_ms, now_ms);
}

static uint64_t
present_ms (const record_t *record, uint64_t now_ms)
{
  if (record->last_absent_ms == 0)
    return UINT64_MAX;
  return now_ms - MIN (record->last_absent_ms, now_ms);
}

static Lwm__ControlAbsence *
new_absence (void *parent,
             const record_t *record,
             uint64_t silent,
             uint64_t now_ms)
{
  Lwm__ControlAbsence *absence = talloc (parent, Lwm__ControlAbsence);

  lwm__control_absence__init (absence);
  absence->incarnation = record->incarnation;
  absence->silent_ms = silent;
  absence->leaving = record->leaving_ms > 0;
  absence->present_ms = present_ms (record, now_ms);
  return absence;
}

Lwm__ControlAbsence **
control_presence_absences (control_presence_t *presence,
                           void *parent,
                           uint64_t leader_since_ms,
                           uint64_t now_ms,
                           size_t *count)
{
  Lwm__ControlAbsence **absences = talloc_array (parent, Lwm__ControlAbsence *,
                                                 presence->records->len + 1);

  *count = 0;
  for (guint i = 0; i < presence->records->len; i++)
    {
      record_t *record = &g_array_index (presence->records, record_t, i);
      uint64_t silent = silent_ms (record, leader_since_ms, now_ms);

      if (is_absent_for (presence, silent))
        record->last_absent_ms = now_ms;
      if (record->leaving_ms > 0
          || present_ms (record, now_ms) < presence->options.report_ms)
        absences[(*count)++] = new_absence (absences, record, silent, now_ms);
    }
  return absences;
}

bool
control_presence_is_leaving (const control_presence_t *presence,
                             uint64_t incarnation)
{
  const record_t *record = find_record (presence, incarnation);

  return record != NULL && record->leaving_ms > 0;
}

uint64_t
control_presence_silent_ms (const control_presence_t *presence,
                            uint64_t incarnation,
                            uint64_t leader_since_ms,
                            uint64_t now_ms)
{
  const record_t *record = find_record (presence, incarnation);

  return record != NULL ? silent_ms (record, leader_since_ms, now_ms) : 0;
}

uint64_t
control_presence_present_ms (const control_presence_t *presence,
                             uint64_t incarnation,
                             uint64_t now_ms)
{
  const record_t *record = find_record (presence, incarnation);

  return record != NULL ? present_ms (record, now_ms) : UINT64_MAX;
}
