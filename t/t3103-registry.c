/*
 * Checks what the registry tells of upstreams that leave: whether one that has
 * ended had announced or said so. No network.
 */
#include <glib.h>
#include <talloc.h>

#include "registry.h"

#define NOW_MS 1000

static void *memory;
static registry_t *registry;
static uint64_t gone; /* latest incarnation that was reported as gone */
static bool gone_is_dead;
static bool gone_has_left; /* by any of the reports of it */

static void
on_gone (const char *name,
         uint64_t incarnation,
         bool is_dead,
         bool has_left,
         void *context)
{
  gone_has_left = has_left || (gone_has_left && incarnation == gone);
  gone = incarnation;
  gone_is_dead = is_dead;
}

static void
announce (uint64_t incarnation, bool is_leaving)
{
  registry_announcement_t announcement = { .name = "u",
                                           .incarnation = incarnation,
                                           .address = "127.0.0.1:1",
                                           .zone = "here",
                                           .service = "s",
                                           .leaving = is_leaving };

  g_assert_true (registry_put_announcement (registry, &announcement, NOW_MS));
}

static void
set_up (void)
{
  sched_options_t sched = { .zone = "here", .seed = 1 };
  registry_options_t options = { .gone = on_gone };

  gone = 0;
  memory = talloc_new (NULL);
  options.sched = sched_new (memory, &sched);
  registry = registry_new (memory, &options);
}

/* Guards against a planned end that is taken for a crash. */
static void
test_announced (void)
{
  set_up ();
  announce (1, false);
  g_assert_false (registry_is_leaving (registry, "u", 1));
  announce (1, true);
  g_assert_true (registry_is_leaving (registry, "u", 1));
  announce (2, false);
  g_assert_cmpuint (gone, ==, 1);
  g_assert_true (gone_is_dead && gone_has_left);
  g_assert_false (registry_is_leaving (registry, "u", 1));
  g_assert_false (registry_is_leaving (registry, "u", 2));
  talloc_free (memory);
}

/* Guards against an announcement that was sent before an answer said that the
 * upstream leaves and arrives after it, and against an answer that is taken for
 * one of the next incarnation. */
static void
test_said (void)
{
  set_up ();
  announce (1, false);
  registry_record_leaving (registry, "u", 1);
  announce (1, false);
  g_assert_true (registry_is_leaving (registry, "u", 1));
  announce (2, false);
  g_assert_true (gone_is_dead && gone_has_left);
  registry_record_leaving (registry, "u", 1);
  g_assert_false (registry_is_leaving (registry, "u", 2));
  registry_drop (registry, "u", 2);
  g_assert_cmpuint (gone, ==, 2);
  g_assert_false (gone_is_dead || gone_has_left);
  talloc_free (memory);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/registry/announced", test_announced);
  g_test_add_func ("/registry/said", test_said);
  return g_test_run ();
}
