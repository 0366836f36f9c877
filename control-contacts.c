#include "control-contacts.h"

#include <string.h>
#include <talloc.h>

typedef struct
{
  char *address;
  uint64_t told_ms;
} contact_t;

struct control_contacts
{
  uint32_t valid_ms;
  size_t count;
  contact_t contacts[CONTROL_CONTACTS_MAX];
};

control_contacts_t *
control_contacts_new (void *parent, uint32_t valid_ms)
{
  control_contacts_t *contacts = talloc_zero (parent, control_contacts_t);

  contacts->valid_ms = valid_ms;
  return contacts;
}

static contact_t *
find_contact (control_contacts_t *contacts, const char *address)
{
  for (size_t i = 0; i < contacts->count; i++)
    if (strcmp (contacts->contacts[i].address, address) == 0)
      return &contacts->contacts[i];
  return NULL;
}

static void
remove_contact (control_contacts_t *contacts, size_t index)
{
  talloc_free (contacts->contacts[index].address);
  contacts->contacts[index] = contacts->contacts[--contacts->count];
}

static void
remove_oldest (control_contacts_t *contacts)
{
  size_t oldest = 0;

  for (size_t i = 1; i < contacts->count; i++)
    if (contacts->contacts[i].told_ms < contacts->contacts[oldest].told_ms)
      oldest = i;
  remove_contact (contacts, oldest);
}

void
control_contacts_add (control_contacts_t *contacts,
                      const char *address,
                      uint64_t now_ms)
{
  contact_t *contact = find_contact (contacts, address);

  if (contact == NULL)
    {
      if (contacts->count == CONTROL_CONTACTS_MAX)
        remove_oldest (contacts);
      contact = &contacts->contacts[contacts->count++];
      contact->address = talloc_strdup (contacts, address);
    }
  contact->told_ms = now_ms;
}

size_t
control_contacts_expire (control_contacts_t *contacts, uint64_t now_ms)
{
  for (size_t i = contacts->count; i-- > 0;)
    if (contacts->contacts[i].told_ms + contacts->valid_ms < now_ms)
      remove_contact (contacts, i);
  return contacts->count;
}

const char *
control_contacts_get (const control_contacts_t *contacts, size_t index)
{
  return contacts->contacts[index].address;
}
