/*
 * The addresses that a control replica asks while it looks for its group.
 */
#include <glib.h>
#include <stdbool.h>
#include <talloc.h>

#include "control-contacts.h"

#define VALID_MS 1000

static bool
has_contact (control_contacts_t *contacts, const char *address, uint64_t now_ms)
{
  size_t count = control_contacts_expire (contacts, now_ms);

  for (size_t i = 0; i < count; i++)
    if (g_strcmp0 (control_contacts_get (contacts, i), address) == 0)
      return true;
  return false;
}

/* Guards against: a replica that asks its seeds alone and never the leader,
 * which an answer has named. */
static void
test_told_address_is_asked (void)
{
  control_contacts_t *contacts = control_contacts_new (NULL, VALID_MS);

  g_assert_cmpuint (control_contacts_expire (contacts, 0), ==, 0);
  control_contacts_add (contacts, "10.0.0.1:1", 100);
  control_contacts_add (contacts, "10.0.0.2:1", 100);
  control_contacts_add (contacts, "10.0.0.1:1", 200);
  g_assert_cmpuint (control_contacts_expire (contacts, 200), ==, 2);
  g_assert_true (has_contact (contacts, "10.0.0.1:1", 200));
  g_assert_true (has_contact (contacts, "10.0.0.2:1", 200));
  talloc_free (contacts);
}

/** An address that nobody names any more is forgotten. */
static void
test_old_address_expires (void)
{
  control_contacts_t *contacts = control_contacts_new (NULL, VALID_MS);

  control_contacts_add (contacts, "10.0.0.1:1", 0);
  control_contacts_add (contacts, "10.0.0.2:1", VALID_MS);
  g_assert_true (has_contact (contacts, "10.0.0.1:1", VALID_MS));
  g_assert_false (has_contact (contacts, "10.0.0.1:1", VALID_MS + 1));
  g_assert_true (has_contact (contacts, "10.0.0.2:1", 2 * VALID_MS));
  talloc_free (contacts);
}

/* Guards against: memory that grows with the addresses others name, or a full
 * list that ignores the present members. */
static void
test_full_list_keeps_the_newest (void)
{
  control_contacts_t *contacts = control_contacts_new (NULL, VALID_MS);

  for (uint32_t i = 0; i < 3 * CONTROL_CONTACTS_MAX; i++)
    {
      char *address = g_strdup_printf ("10.0.0.1:%u", i + 1);

      control_contacts_add (contacts, "10.0.0.2:1", i);
      control_contacts_add (contacts, address, i);
      g_assert_true (has_contact (contacts, address, i));
      g_assert_true (has_contact (contacts, "10.0.0.2:1", i));
      g_free (address);
    }
  g_assert_cmpuint (control_contacts_expire (contacts, 0), ==,
                    CONTROL_CONTACTS_MAX);
  talloc_free (contacts);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-contacts/told", test_told_address_is_asked);
  g_test_add_func ("/control-contacts/expired", test_old_address_expires);
  g_test_add_func ("/control-contacts/full", test_full_list_keeps_the_newest);
  return g_test_run ();
}
