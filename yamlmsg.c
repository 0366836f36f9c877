#include "yamlmsg.h"

#include <glib.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <yaml.h>

#include "settings.h"

/* Longest part of an invalid value that a mistake quotes. */
#define MAX_QUOTED_BYTES 40

struct yamlmsg
{
  yamlmsg_options_t options;
  ProtobufCMessage *message;
  GString *mistakes;
  GHashTable *locations; /* list entry -> "FILE:LINE" where it was last read */
  const char *file;
  yaml_document_t *document;
};

static int
free_reader (yamlmsg_t *reader)
{
  g_string_free (reader->mistakes, TRUE);
  g_hash_table_destroy (reader->locations);
  return 0;
}

yamlmsg_t *
yamlmsg_new (void *parent,
             const yamlmsg_options_t *options,
             ProtobufCMessage *message)
{
  yamlmsg_t *reader = talloc_zero (parent, yamlmsg_t);

  reader->options = *options;
  reader->message = message;
  reader->mistakes = g_string_new (NULL);
  reader->locations = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  talloc_set_destructor (reader, free_reader);
  if (options->defaults != NULL)
    options->defaults (message);
  return reader;
}

const char *
yamlmsg_mistakes (const yamlmsg_t *reader)
{
  return reader->mistakes->str;
}

void
yamlmsg_add_mistake (yamlmsg_t *reader,
                     const ProtobufCMessage *entry,
                     const char *fmt,
                     ...)
{
  const char *location
      = entry != NULL ? g_hash_table_lookup (reader->locations, entry) : NULL;
  va_list args;

  if (location != NULL)
    g_string_append_printf (reader->mistakes, "%s: ", location);
  va_start (args, fmt);
  g_string_append_vprintf (reader->mistakes, fmt, args);
  va_end (args);
  g_string_append_c (reader->mistakes, '\n');
}

static void
report_unexpected (yamlmsg_t *reader,
                   const yaml_node_t *node,
                   const char *key,
                   const char *what)
{
  GString *out = reader->mistakes;

  g_string_append_printf (out, "%s:%zu: %s: expected %s, got ", reader->file,
                          node->start_mark.line + 1, key, what);
  if (node->type == YAML_SCALAR_NODE)
    g_string_append_printf (
        out, "'%.*s'\n", (int)MIN (node->data.scalar.length, MAX_QUOTED_BYTES),
        (const char *)node->data.scalar.value);
  else
    g_string_append (out, node->type == YAML_SEQUENCE_NODE
                              ? "a list\n"
                              : "a group of keys\n");
}

static yaml_node_t *
get_node (yamlmsg_t *reader, yaml_node_item_t item)
{
  return yaml_document_get_node (reader->document, item);
}

static void *
get_member (ProtobufCMessage *message, const ProtobufCFieldDescriptor *field)
{
  return (char *)message + field->offset;
}

static size_t *
get_count (ProtobufCMessage *message, const ProtobufCFieldDescriptor *field)
{
  return (size_t *)(void *)((char *)message + field->quantifier_offset);
}

/** Returns the valid values of a field that is a whole number. */
static number_range_t
get_range (const yamlmsg_t *reader,
           const ProtobufCMessage *message,
           const ProtobufCFieldDescriptor *field)
{
  number_range_t range
      = { .max
          = field->type == PROTOBUF_C_TYPE_UINT32 ? UINT32_MAX : UINT64_MAX };

  for (const yamlmsg_range_t *row = reader->options.ranges;
       row->message != NULL; row++)
    if (row->message == message->descriptor
        && strcmp (row->field, field->name) == 0)
      range = row->range;
  return range;
}

static bool
read_number (yamlmsg_t *reader,
             const ProtobufCMessage *message,
             const ProtobufCFieldDescriptor *field,
             const yaml_node_t *node,
             uint64_t *number)
{
  number_range_t range = get_range (reader, message, field);
  char *what;

  if (number_parse ((const char *)node->data.scalar.value, &range, number))
    return true;
  what = g_strdup_printf (
      "a %snumber from %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT,
      range.rounding == NUMBER_EXACT ? "whole " : "", range.min, range.max);
  report_unexpected (reader, node, field->name, what);
  g_free (what);
  return false;
}

static bool
read_enum (yamlmsg_t *reader,
           const ProtobufCFieldDescriptor *field,
           const yaml_node_t *node,
           int *value)
{
  const ProtobufCEnumDescriptor *names = field->descriptor;
  GString *what = g_string_new ("one of");

  for (unsigned i = 0; i < names->n_values; i++)
    {
      char *name = g_ascii_strdown (names->values[i].name, -1);
      bool same = strcmp (name, (const char *)node->data.scalar.value) == 0;

      g_string_append_printf (what, " %s", name);
      g_free (name);
      if (!same)
        continue;
      *value = names->values[i].value;
      g_string_free (what, TRUE);
      return true;
    }
  report_unexpected (reader, node, field->name, what->str);
  g_string_free (what, TRUE);
  return false;
}

static bool
check_text (yamlmsg_t *reader,
            const ProtobufCFieldDescriptor *field,
            const yaml_node_t *node)
{
  const char *text = (const char *)node->data.scalar.value;

  if (strlen (text) != node->data.scalar.length
      || !g_utf8_validate (text, -1, NULL))
    {
      report_unexpected (reader, node, field->name, "text in UTF-8");
      return false;
    }
  if (strcmp (field->name, "name") == 0 && !settings_is_name (text))
    {
      report_unexpected (reader, node, field->name,
                         "a name of letters, digits, '-', '_', '.'");
      return false;
    }
  return true;
}

static void
read_bool (yamlmsg_t *reader,
           const ProtobufCFieldDescriptor *field,
           const yaml_node_t *node,
           protobuf_c_boolean *value)
{
  const char *text = (const char *)node->data.scalar.value;

  if (strcmp (text, "true") == 0 || strcmp (text, "false") == 0)
    *value = strcmp (text, "true") == 0;
  else
    report_unexpected (reader, node, field->name, "true or false");
}

static void
read_real (yamlmsg_t *reader,
           const ProtobufCFieldDescriptor *field,
           const yaml_node_t *node,
           double *value)
{
  if (!number_parse_real ((const char *)node->data.scalar.value, value))
    report_unexpected (reader, node, field->name, "a number from 0");
}

static void
read_scalar (yamlmsg_t *reader,
             ProtobufCMessage *message,
             const ProtobufCFieldDescriptor *field,
             const yaml_node_t *node)
{
  void *member = get_member (message, field);
  uint64_t number;

  if (node->type != YAML_SCALAR_NODE)
    report_unexpected (reader, node, field->name, "a single value");
  else if (field->type == PROTOBUF_C_TYPE_BOOL)
    read_bool (reader, field, node, member);
  else if (field->type == PROTOBUF_C_TYPE_DOUBLE)
    read_real (reader, field, node, member);
  else if (field->type == PROTOBUF_C_TYPE_ENUM)
    read_enum (reader, field, node, member);
  else if (field->type == PROTOBUF_C_TYPE_STRING)
    {
      if (check_text (reader, field, node))
        *(char **)member
            = talloc_strdup (message, (const char *)node->data.scalar.value);
    }
  else if (read_number (reader, message, field, node, &number))
    {
      if (field->type == PROTOBUF_C_TYPE_UINT32)
        *(uint32_t *)member = (uint32_t)number;
      else
        *(uint64_t *)member = number;
    }
}

static void
read_mapping (yamlmsg_t *reader, ProtobufCMessage *message, yaml_node_t *node);

static const char *
get_entry_name (ProtobufCMessage *message)
{
  const ProtobufCFieldDescriptor *field
      = protobuf_c_message_descriptor_get_field_by_name (message->descriptor,
                                                         "name");

  return field != NULL ? *(char **)get_member (message, field) : NULL;
}

/** Returns the value of the key "name" in a mapping, or NULL. */
static const char *
find_name_key (yamlmsg_t *reader, yaml_node_t *node)
{
  for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
       pair < node->data.mapping.pairs.top; pair++)
    {
      yaml_node_t *key = get_node (reader, pair->key);
      yaml_node_t *value = get_node (reader, pair->value);

      if (key->type == YAML_SCALAR_NODE && value->type == YAML_SCALAR_NODE
          && strcmp ((const char *)key->data.scalar.value, "name") == 0)
        return (const char *)value->data.scalar.value;
    }
  return NULL;
}

static ProtobufCMessage *
find_entry (ProtobufCMessage *message,
            const ProtobufCFieldDescriptor *field,
            const char *name)
{
  ProtobufCMessage **entries
      = *(ProtobufCMessage ***)get_member (message, field);
  size_t count = *get_count (message, field);

  for (size_t i = 0; i < count; i++)
    if (g_strcmp0 (get_entry_name (entries[i]), name) == 0)
      return entries[i];
  return NULL;
}

static void *
append_list_slot (ProtobufCMessage *message,
                  const ProtobufCFieldDescriptor *field)
{
  size_t *count = get_count (message, field);
  void ***list = get_member (message, field);

  *list = talloc_realloc (message, *list, void *, *count + 1);
  return &(*list)[(*count)++];
}

static ProtobufCMessage *
append_entry (yamlmsg_t *reader,
              ProtobufCMessage *message,
              const ProtobufCFieldDescriptor *field)
{
  const ProtobufCMessageDescriptor *descriptor = field->descriptor;
  ProtobufCMessage *entry
      = talloc_zero_size (message, descriptor->sizeof_message);

  protobuf_c_message_init (descriptor, entry);
  if (reader->options.defaults != NULL)
    reader->options.defaults (entry);
  *(ProtobufCMessage **)append_list_slot (message, field) = entry;
  return entry;
}

/**
 * Reads one entry of a list of messages.
 * @param seen names in this list of this file, to detect duplicates
 */
static void
read_entry (yamlmsg_t *reader,
            ProtobufCMessage *message,
            const ProtobufCFieldDescriptor *field,
            yaml_node_t *node,
            GHashTable *seen)
{
  ProtobufCMessage *entry;
  const char *name;

  if (node->type != YAML_MAPPING_NODE)
    {
      report_unexpected (reader, node, field->name, "a group of keys");
      return;
    }
  name = find_name_key (reader, node);
  if (name == NULL)
    {
      report_unexpected (reader, node, field->name, "an entry with a name");
      return;
    }
  if (!g_hash_table_add (seen, g_strdup (name)))
    {
      g_string_append_printf (
          reader->mistakes, "%s:%zu: %s: duplicate entry '%s' in this file\n",
          reader->file, node->start_mark.line + 1, field->name, name);
      return;
    }
  entry = find_entry (message, field, name);
  if (entry == NULL)
    entry = append_entry (reader, message, field);
  g_hash_table_insert (
      reader->locations, entry,
      g_strdup_printf ("%s:%zu", reader->file, node->start_mark.line + 1));
  read_mapping (reader, entry, node);
}

/**
 * Reads a list. A list of texts replaces an earlier one; entries are merged by
 * name.
 */
static void
read_list (yamlmsg_t *reader,
           ProtobufCMessage *message,
           const ProtobufCFieldDescriptor *field,
           yaml_node_t *node)
{
  GHashTable *seen;

  if (node->type != YAML_SEQUENCE_NODE)
    {
      report_unexpected (reader, node, field->name, "a list");
      return;
    }
  seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (field->type != PROTOBUF_C_TYPE_MESSAGE)
    *get_count (message, field) = 0;
  for (yaml_node_item_t *item = node->data.sequence.items.start;
       item < node->data.sequence.items.top; item++)
    {
      yaml_node_t *value = get_node (reader, *item);

      if (field->type == PROTOBUF_C_TYPE_MESSAGE)
        read_entry (reader, message, field, value, seen);
      else if (value->type != YAML_SCALAR_NODE)
        report_unexpected (reader, value, field->name, "a single value");
      else if (check_text (reader, field, value))
        *(char **)append_list_slot (message, field)
            = talloc_strdup (message, (const char *)value->data.scalar.value);
    }
  g_hash_table_destroy (seen);
}

static void
read_pair (yamlmsg_t *reader,
           ProtobufCMessage *message,
           yaml_node_t *key,
           yaml_node_t *value,
           GHashTable *seen)
{
  const ProtobufCFieldDescriptor *field;
  const char *name;

  if (key->type != YAML_SCALAR_NODE)
    {
      report_unexpected (reader, key, "key", "a name");
      return;
    }
  name = (const char *)key->data.scalar.value;
  field = protobuf_c_message_descriptor_get_field_by_name (message->descriptor,
                                                           name);
  if (field == NULL)
    g_string_append_printf (reader->mistakes, "%s:%zu: %s: unknown key of %s\n",
                            reader->file, key->start_mark.line + 1, name,
                            message->descriptor->short_name);
  else if (!g_hash_table_add (seen, (gpointer)field))
    g_string_append_printf (reader->mistakes, "%s:%zu: %s: duplicate key\n",
                            reader->file, key->start_mark.line + 1, name);
  else if (field->label == PROTOBUF_C_LABEL_REPEATED)
    read_list (reader, message, field, value);
  else
    read_scalar (reader, message, field, value);
}

static void
read_mapping (yamlmsg_t *reader, ProtobufCMessage *message, yaml_node_t *node)
{
  GHashTable *seen = g_hash_table_new (NULL, NULL);

  for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
       pair < node->data.mapping.pairs.top; pair++)
    read_pair (reader, message, get_node (reader, pair->key),
               get_node (reader, pair->value), seen);
  g_hash_table_destroy (seen);
}

void
yamlmsg_read (yamlmsg_t *reader,
              const char *file,
              const uint8_t *text,
              size_t size_bytes)
{
  yaml_parser_t parser;
  yaml_document_t document;
  yaml_node_t *root;

  reader->file = file;
  reader->document = &document;
  yaml_parser_initialize (&parser);
  yaml_parser_set_input_string (&parser, text, size_bytes);
  if (!yaml_parser_load (&parser, &document))
    {
      g_string_append_printf (reader->mistakes, "%s:%zu: expected YAML: %s\n",
                              file, parser.problem_mark.line + 1,
                              parser.problem);
      yaml_parser_delete (&parser);
      return;
    }
  root = yaml_document_get_root_node (&document);
  if (root != NULL && root->type == YAML_MAPPING_NODE)
    read_mapping (reader, reader->message, root);
  else if (root != NULL
           && !(root->type == YAML_SCALAR_NODE
                && root->data.scalar.length == 0))
    report_unexpected (reader, root, "file", "a group of keys");
  yaml_document_delete (&document);
  yaml_parser_delete (&parser);
}
