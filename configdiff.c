#include "configdiff.h"

#include <stdbool.h>
#include <string.h>
#include <talloc.h>

typedef struct
{
  void *parent;
  configdiff_change_t *changes;
  size_t count;
} change_list_t;

static void
add_change (change_list_t *list,
            configdiff_kind_t kind,
            const char *section,
            const char *name)
{
  list->changes = talloc_realloc (list->parent, list->changes,
                                  configdiff_change_t, list->count + 1);
  list->changes[list->count++] = (configdiff_change_t){ kind, section, name };
}

static const void *
field_value (const Lwm__Config *config, const ProtobufCFieldDescriptor *field)
{
  return (const char *)config + field->offset;
}

static size_t
entry_count (const Lwm__Config *config, const ProtobufCFieldDescriptor *field)
{
  return *(const size_t *)(const void *)((const char *)config
                                         + field->quantifier_offset);
}

static const char *
entry_name (const ProtobufCMessage *entry)
{
  const ProtobufCFieldDescriptor *field
      = protobuf_c_message_descriptor_get_field_by_name (entry->descriptor,
                                                         "name");

  return *(char *const *)(const void *)((const char *)entry + field->offset);
}

static const ProtobufCMessage *
find_entry (const Lwm__Config *config,
            const ProtobufCFieldDescriptor *field,
            const char *name)
{
  ProtobufCMessage *const *entries
      = *(ProtobufCMessage * *const *)field_value (config, field);

  for (size_t i = 0; i < entry_count (config, field); i++)
    if (strcmp (entry_name (entries[i]), name) == 0)
      return entries[i];
  return NULL;
}

static bool
entries_equal (const ProtobufCMessage *left, const ProtobufCMessage *right)
{
  size_t size = protobuf_c_message_get_packed_size (left);
  uint8_t *packed;
  bool equal;

  if (size != protobuf_c_message_get_packed_size (right))
    return false;
  packed = talloc_size (NULL, 2 * size + 1);
  protobuf_c_message_pack (left, packed);
  protobuf_c_message_pack (right, packed + size);
  equal = memcmp (packed, packed + size, size) == 0;
  talloc_free (packed);
  return equal;
}

static void
compare_entries (change_list_t *list,
                 const Lwm__Config *from,
                 const Lwm__Config *to,
                 const ProtobufCFieldDescriptor *field)
{
  ProtobufCMessage *const *old_entries
      = *(ProtobufCMessage * *const *)field_value (from, field);
  ProtobufCMessage *const *new_entries
      = *(ProtobufCMessage * *const *)field_value (to, field);

  for (size_t i = 0; i < entry_count (from, field); i++)
    if (find_entry (to, field, entry_name (old_entries[i])) == NULL)
      add_change (list, CONFIGDIFF_REMOVED, field->name,
                  entry_name (old_entries[i]));
  for (size_t i = 0; i < entry_count (to, field); i++)
    {
      const char *name = entry_name (new_entries[i]);
      const ProtobufCMessage *old = find_entry (from, field, name);

      if (old == NULL)
        add_change (list, CONFIGDIFF_ADDED, field->name, name);
      else if (!entries_equal (old, new_entries[i]))
        add_change (list, CONFIGDIFF_CHANGED, field->name, name);
    }
}

static bool
numbers_equal (const Lwm__Config *from,
               const Lwm__Config *to,
               const ProtobufCFieldDescriptor *field)
{
  size_t size = field->type == PROTOBUF_C_TYPE_UINT64 ? sizeof (uint64_t)
                                                      : sizeof (uint32_t);

  return memcmp (field_value (from, field), field_value (to, field), size) == 0;
}

configdiff_change_t *
configdiff_list (void *parent,
                 const Lwm__Config *from,
                 const Lwm__Config *to,
                 size_t *count)
{
  const ProtobufCMessageDescriptor *descriptor = &lwm__config__descriptor;
  Lwm__Config empty = LWM__CONFIG__INIT;
  change_list_t list = { .parent = parent };

  if (from == NULL)
    from = &empty;
  for (unsigned i = 0; i < descriptor->n_fields; i++)
    {
      const ProtobufCFieldDescriptor *field = &descriptor->fields[i];

      if (field->label == PROTOBUF_C_LABEL_REPEATED)
        compare_entries (&list, from, to, field);
      else if (strcmp (field->name, "number") != 0
               && !numbers_equal (from, to, field))
        add_change (&list, CONFIGDIFF_CHANGED, field->name, NULL);
    }
  *count = list.count;
  return list.changes;
}

const char *
configdiff_kind_name (configdiff_kind_t kind)
{
  static const char *const names[] = { "added", "removed", "changed" };

  return names[kind];
}
