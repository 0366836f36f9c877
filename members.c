#include "members.h"

#include <string.h>
#include <talloc.h>

static Lwm__ControlMember *
copy_member (void *parent, const Lwm__ControlMember *member)
{
  Lwm__ControlMember *copy = talloc (parent, Lwm__ControlMember);

  lwm__control_member__init (copy);
  copy->name = talloc_strdup (copy, member->name);
  copy->address = talloc_strdup (copy, member->address);
  copy->zone = talloc_strdup (copy, member->zone);
  copy->since_ms = member->since_ms;
  copy->incarnation = member->incarnation;
  copy->voter = member->voter;
  return copy;
}

Lwm__ControlMembership *
membership_copy (void *parent, const Lwm__ControlMembership *membership)
{
  Lwm__ControlMembership *copy = talloc (parent, Lwm__ControlMembership);

  lwm__control_membership__init (copy);
  for (size_t i = 0; membership != NULL && i < membership->n_members; i++)
    membership_add (copy, membership->members[i]);
  return copy;
}

Lwm__ControlMembership *
membership_unpack (void *parent, const uint8_t *data, size_t size_bytes)
{
  Lwm__ControlMembership *read
      = lwm__control_membership__unpack (NULL, size_bytes, data);
  Lwm__ControlMembership *copy;

  if (read == NULL)
    return NULL;
  copy = membership_copy (parent, read);
  lwm__control_membership__free_unpacked (read, NULL);
  return copy;
}

uint8_t *
membership_pack (void *parent,
                 const Lwm__ControlMembership *membership,
                 size_t *size_bytes)
{
  uint8_t *data;

  *size_bytes = lwm__control_membership__get_packed_size (membership);
  data = talloc_size (parent, *size_bytes + 1);
  lwm__control_membership__pack (membership, data);
  return data;
}

size_t
membership_voter_count (const Lwm__ControlMembership *membership)
{
  size_t voters = 0;

  for (size_t i = 0; i < membership->n_members; i++)
    voters += membership->members[i]->voter;
  return voters;
}

Lwm__ControlMember *
membership_find (const Lwm__ControlMembership *membership, uint64_t incarnation)
{
  for (size_t i = 0; i < membership->n_members; i++)
    if (membership->members[i]->incarnation == incarnation)
      return membership->members[i];
  return NULL;
}

Lwm__ControlMember *
membership_find_name (const Lwm__ControlMembership *membership,
                      const char *name)
{
  for (size_t i = 0; i < membership->n_members; i++)
    if (strcmp (membership->members[i]->name, name) == 0)
      return membership->members[i];
  return NULL;
}

void
membership_add (Lwm__ControlMembership *membership,
                const Lwm__ControlMember *member)
{
  size_t count = membership->n_members + 1;

  membership->members = talloc_realloc (membership, membership->members,
                                        Lwm__ControlMember *, count);
  membership->members[count - 1] = copy_member (membership->members, member);
  membership->n_members = count;
}

void
membership_remove (Lwm__ControlMembership *membership, uint64_t incarnation)
{
  size_t kept = 0;

  for (size_t i = 0; i < membership->n_members; i++)
    if (membership->members[i]->incarnation != incarnation)
      membership->members[kept++] = membership->members[i];
  membership->n_members = kept;
}

static size_t
count_missing_voters (const Lwm__ControlMembership *from,
                      const Lwm__ControlMembership *in)
{
  size_t missing = 0;

  for (size_t i = 0; i < from->n_members; i++)
    {
      const Lwm__ControlMember *other
          = membership_find (in, from->members[i]->incarnation);

      if (from->members[i]->voter && (other == NULL || !other->voter))
        missing++;
    }
  return missing;
}

size_t
membership_voter_changes (const Lwm__ControlMembership *before,
                          const Lwm__ControlMembership *after)
{
  return count_missing_voters (before, after)
         + count_missing_voters (after, before);
}
