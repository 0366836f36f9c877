/* Checks what a control replica knows of the presence of other members, also as
 * a new leader. */
#include <glib.h>
#include <talloc.h>

#include "control-presence.h"
#include "members.h"

#define SELF            1
#define OTHER           2
#define ABSENT_AFTER_MS 600
#define STOP_MS         3000
#define REPORT_MS       4000

static control_presence_t *
presence_new (void *parent)
{
  control_presence_options_t options = { .self = SELF,
                                         .absent_after_ms = ABSENT_AFTER_MS,
                                         .stop_ms = STOP_MS,
                                         .report_ms = REPORT_MS };
  control_presence_t *presence = control_presence_new (parent, &options);
  Lwm__ControlMembership *members = membership_copy (parent, NULL);

  for (uint64_t id = SELF; id <= OTHER + 1; id++)
    {
      Lwm__ControlMember member = LWM__CONTROL_MEMBER__INIT;

      member.name = (char *)"n";
      member.incarnation = id;
      membership_add (members, &member);
    }
  control_presence_set_members (presence, members, 400);
  return presence;
}

static Lwm__ControlAbsence
make_absence (uint64_t incarnation, uint64_t silent_ms, bool leaving)
{
  Lwm__ControlAbsence absence = LWM__CONTROL_ABSENCE__INIT;

  absence.incarnation = incarnation;
  absence.silent_ms = silent_ms;
  absence.leaving = leaving;
  return absence;
}

/* Guards against: a member that was just added counts as silent since the
 * leader leads, and is removed at once. */
static void
test_new_member (void)
{
  void *parent = talloc_new (NULL);
  control_presence_t *presence = presence_new (parent);

  g_assert_cmpuint (control_presence_silent_ms (presence, OTHER, 100, 500), ==,
                    100);
  talloc_free (parent);
}

/** A leader counts silence from its beginning or the last message. */
static void
test_silence (void)
{
  void *parent = talloc_new (NULL);
  control_presence_t *presence = presence_new (parent);

  g_assert_cmpuint (control_presence_silent_ms (presence, OTHER, 1000, 1500),
                    ==, 500);
  control_presence_heard (presence, OTHER, 1400);
  g_assert_cmpuint (control_presence_silent_ms (presence, OTHER, 1000, 1500),
                    ==, 100);
  g_assert_cmpuint (control_presence_silent_ms (presence, SELF, 1000, 9000), ==,
                    0);
  g_assert_cmpuint (control_presence_silent_ms (presence, 77, 1000, 9000), ==,
                    0);
  talloc_free (parent);
}

/* Guards against: a silence that begins anew with each leader, so that a lost
 * voter is replaced too late (CONFIG). */
static void
test_silence_survives_leader (void)
{
  void *parent = talloc_new (NULL);
  control_presence_t *presence = presence_new (parent);
  Lwm__ControlAbsence absence = make_absence (OTHER, 1500, false);

  control_presence_report (presence, &absence, 2000);
  g_assert_cmpuint (control_presence_silent_ms (presence, OTHER, 2900, 3000),
                    ==, 2500);
  /* The report is too old for a later leader. */
  g_assert_cmpuint (control_presence_silent_ms (presence, OTHER, 9000, 9100),
                    ==, 100);
  control_presence_heard (presence, OTHER, 3000);
  g_assert_cmpuint (control_presence_silent_ms (presence, OTHER, 2900, 3100),
                    ==, 100);
  /* A report that was overtaken by a message of the member. */
  control_presence_report (presence, &absence, 3200);
  g_assert_cmpuint (control_presence_silent_ms (presence, OTHER, 2900, 3300),
                    ==, 300);
  talloc_free (parent);
}

static void
test_leaving (void)
{
  void *parent = talloc_new (NULL);
  control_presence_t *presence = presence_new (parent);
  Lwm__ControlAbsence absence = make_absence (OTHER + 1, 0, true);

  control_presence_leaving (presence, OTHER, 1000);
  control_presence_heard (presence, OTHER, 1000 + STOP_MS);
  g_assert_true (control_presence_is_leaving (presence, OTHER));
  control_presence_heard (presence, OTHER, 1001 + STOP_MS);
  g_assert_false (control_presence_is_leaving (presence, OTHER));
  control_presence_leaving (presence, OTHER, 9000);
  control_presence_returned (presence, OTHER, 9400);
  g_assert_false (control_presence_is_leaving (presence, OTHER));
  control_presence_report (presence, &absence, 9500);
  g_assert_true (control_presence_is_leaving (presence, OTHER + 1));
  talloc_free (parent);
}

/* Guards against: a voter that counts as new as soon as it announces its end,
 * and one that counts as present all along after a restart that it announced
 * (CONFIG). */
static void
test_present_until_end (void)
{
  void *parent = talloc_new (NULL);
  control_presence_t *presence = presence_new (parent);

  control_presence_leaving (presence, OTHER, 1000);
  g_assert_cmpuint (control_presence_present_ms (presence, OTHER, 1100), ==,
                    UINT64_MAX);
  control_presence_returned (presence, OTHER, 1300);
  g_assert_cmpuint (control_presence_present_ms (presence, OTHER, 1500), ==,
                    200);
  /* Without an announced end, a replica that has no leader asks as well. */
  control_presence_returned (presence, OTHER + 1, 1300);
  g_assert_cmpuint (control_presence_present_ms (presence, OTHER + 1, 1500), ==,
                    UINT64_MAX);
  control_presence_leaving (presence, OTHER + 1, 2000);
  control_presence_heard (presence, OTHER + 1, 2001 + STOP_MS);
  g_assert_cmpuint (control_presence_present_ms (presence, OTHER + 1, 5500), ==,
                    499);
  talloc_free (parent);
}

/* Guards against: a leader that was down itself while another member was
 * absent takes that one for one that has been up for long, and lets it vote
 * beside the voter that it replaces (CONFIG). */
static void
test_report_of_ended_absence (void)
{
  void *parent = talloc_new (NULL);
  control_presence_t *leader = presence_new (parent);
  control_presence_t *restarted = presence_new (parent);
  Lwm__ControlAbsence **absences;
  size_t count;

  control_presence_heard (leader, OTHER, 1000);
  control_presence_heard (leader, OTHER + 1, 2400);
  control_presence_absences (leader, parent, 100, 2500, &count);
  control_presence_heard (leader, OTHER, 2600);
  control_presence_heard (leader, OTHER + 1, 3000);
  absences = control_presence_absences (leader, parent, 100, 3100, &count);
  g_assert_cmpuint (count, ==, 1);
  control_presence_report (restarted, absences[0], 3100);
  g_assert_cmpuint (control_presence_present_ms (restarted, OTHER, 3300), ==,
                    800);
  g_assert_cmpuint (control_presence_silent_ms (restarted, OTHER, 3200, 3300),
                    ==, 100);
  control_presence_heard (leader, OTHER, 2500 + REPORT_MS);
  control_presence_heard (leader, OTHER + 1, 2500 + REPORT_MS);
  control_presence_absences (leader, parent, 100, 2500 + REPORT_MS, &count);
  g_assert_cmpuint (count, ==, 0);
  talloc_free (parent);
}

/* Guards against: a leader that goes on with a silence of which the last one
 * reported the end. */
static void
test_reported_return (void)
{
  void *parent = talloc_new (NULL);
  control_presence_t *presence = presence_new (parent);
  Lwm__ControlAbsence absence = make_absence (OTHER, 1500, false);

  control_presence_report (presence, &absence, 2000);
  absence.silent_ms = 10;
  absence.present_ms = 100;
  control_presence_report (presence, &absence, 2200);
  g_assert_cmpuint (control_presence_silent_ms (presence, OTHER, 2300, 2400),
                    ==, 100);
  g_assert_cmpuint (control_presence_present_ms (presence, OTHER, 2400), ==,
                    300);
  talloc_free (parent);
}

/** A leader reports those who are silent or about to end; an absence counts for
 * whoever hears of it. */
static void
test_absences (void)
{
  void *parent = talloc_new (NULL);
  control_presence_t *presence = presence_new (parent);
  Lwm__ControlAbsence **absences;
  size_t count;

  control_presence_heard (presence, OTHER, 5000);
  control_presence_heard (presence, OTHER + 1, 5500);
  absences = control_presence_absences (presence, parent, 1000, 5700, &count);
  g_assert_cmpuint (count, ==, 1);
  g_assert_cmpuint (absences[0]->incarnation, ==, OTHER);
  g_assert_cmpuint (absences[0]->silent_ms, ==, 700);
  g_assert_cmpuint (control_presence_present_ms (presence, OTHER, 6000), ==,
                    300);
  g_assert_cmpuint (control_presence_present_ms (presence, OTHER + 1, 6000), ==,
                    UINT64_MAX);
  control_presence_leaving (presence, OTHER + 1, 6000);
  absences = control_presence_absences (presence, parent, 1000, 6000, &count);
  g_assert_cmpuint (count, ==, 2);
  g_assert_true (absences[0]->leaving != absences[1]->leaving);
  talloc_free (parent);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-presence/new-member", test_new_member);
  g_test_add_func ("/control-presence/silence", test_silence);
  g_test_add_func ("/control-presence/survives-leader",
                   test_silence_survives_leader);
  g_test_add_func ("/control-presence/leaving", test_leaving);
  g_test_add_func ("/control-presence/present-until-end",
                   test_present_until_end);
  g_test_add_func ("/control-presence/ended-absence",
                   test_report_of_ended_absence);
  g_test_add_func ("/control-presence/reported-return", test_reported_return);
  g_test_add_func ("/control-presence/absences", test_absences);
  return g_test_run ();
}
