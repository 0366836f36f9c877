/* libFuzzer target for the reader of JSON, which all entries use. Aborts when a
 * text is accepted that is nested too deeply, that another reader refuses, or
 * that changes when it is written and read again. */
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "http.h"
#include "json-text.h"

/* NOLINTNEXTLINE(readability-identifier-naming): libFuzzer defines the name */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static unsigned depth_of (JsonNode *node);

static void
measure_member (JsonObject *object,
                const char *name,
                JsonNode *member,
                gpointer deepest)
{
  unsigned *depth = deepest;
  unsigned own = depth_of (member);

  *depth = MAX (*depth, own);
}

static void
measure_element (JsonArray *list,
                 guint index,
                 JsonNode *element,
                 gpointer deepest)
{
  measure_member (NULL, NULL, element, deepest);
}

/** Returns the number of objects and lists that are nested in @a node. */
static unsigned
depth_of (JsonNode *node)
{
  unsigned depth = 0;

  if (JSON_NODE_HOLDS_OBJECT (node))
    json_object_foreach_member (json_node_get_object (node), measure_member,
                                &depth);
  else if (JSON_NODE_HOLDS_ARRAY (node))
    json_array_foreach_element (json_node_get_array (node), measure_element,
                                &depth);
  else
    return 0;
  return depth + 1;
}

static void
check_second_reader (const char *text, size_t size)
{
  JsonParser *parser = json_parser_new ();

  if (!json_parser_load_from_data (parser, text, (gssize)size, NULL))
    abort ();
  g_object_unref (parser);
}

static void
check_written (JsonNode *node)
{
  char *text = http_json_text (node);
  JsonObject *again = json_text_read_object (text, strlen (text), NULL);

  if (again == NULL || !json_object_equal (again, json_node_get_object (node)))
    abort ();
  json_object_unref (again);
  g_free (text);
}

int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  JsonObject *object = json_text_read_object ((const char *)data, size, NULL);
  JsonNode *node;

  if (object == NULL)
    return 0;
  node = json_node_init_object (json_node_alloc (), object);
  if (depth_of (node) > JSON_TEXT_MAX_DEPTH)
    abort ();
  check_second_reader ((const char *)data, size);
  check_written (node);
  json_node_unref (node);
  json_object_unref (object);
  return 0;
}
