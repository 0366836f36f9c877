#include "announcement.h"

#include <string.h>
#include <talloc.h>

#include "http.h"
#include "settings.h"

#define MIN_ANNOUNCE_MS 50
#define MAX_ANNOUNCE_MS 60000

static JsonObject *
find_object (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  return node != NULL && JSON_NODE_HOLDS_OBJECT (node)
             ? json_node_get_object (node)
             : NULL;
}

static uint64_t
read_uint64 (JsonObject *object, const char *name)
{
  int64_t value = http_json_number_member (object, name, 0);

  return value > 0 ? (uint64_t)value : 0;
}

static uint32_t
read_uint32 (JsonObject *object, const char *name)
{
  uint64_t value = read_uint64 (object, name);

  return value < UINT32_MAX ? (uint32_t)value : UINT32_MAX;
}

static void
read_loaded (void *parent,
             JsonObject *object,
             registry_announcement_t *announcement)
{
  JsonNode *node = json_object_get_member (object, "loaded");
  JsonArray *list;
  weights_t *loaded;
  guint count;

  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return;
  list = json_node_get_array (node);
  count = json_array_get_length (list);
  loaded = talloc_zero_array (parent, weights_t, count);
  for (guint i = 0; i < count; i++)
    {
      JsonNode *item = json_array_get_element (list, i);
      JsonObject *one;

      if (!JSON_NODE_HOLDS_OBJECT (item))
        continue;
      one = json_node_get_object (item);
      loaded[announcement->loaded_count++] = (weights_t){
        .model = http_json_text_member (one, "model", ""),
        .adapter = http_json_text_member (one, "adapter", ""),
        .version = http_json_text_member (one, "version", ""),
      };
    }
  announcement->loaded = loaded;
}

static void
read_load (JsonObject *object, registry_announcement_t *announcement)
{
  JsonObject *load = find_object (object, "load");

  if (load == NULL)
    return;
  announcement->has_load = true;
  announcement->load = (upstream_load_t){
    .running = read_uint32 (load, "running"),
    .waiting_tokens = read_uint64 (load, "waiting_tokens"),
    .kv_used_tokens = read_uint64 (load, "kv_used_tokens"),
    .taken_ms_ago = read_uint32 (load, "taken_ms_ago"),
  };
}

static void
read_identity (JsonObject *object, registry_announcement_t *announcement)
{
  const char *kind = http_json_text_member (object, "kind", "engine");
  const char *state = http_json_text_member (object, "state", "ready");

  announcement->name = http_json_text_member (object, "upstream", "");
  announcement->incarnation = read_uint64 (object, "incarnation");
  announcement->address = http_json_text_member (object, "address", "");
  announcement->zone = http_json_text_member (object, "zone", "");
  announcement->service = http_json_text_member (object, "service", "");
  announcement->role = http_json_text_member (object, "role", "");
  announcement->is_engine = strcmp (kind, "engine") == 0;
  announcement->leaving = strcmp (state, "leaving") == 0;
}

static void
read_capacity (JsonObject *object, registry_announcement_t *announcement)
{
  uint32_t announce_ms = read_uint32 (object, "announce_ms");

  announcement->kv_tokens = read_uint64 (object, "kv_tokens");
  announcement->max_batch = read_uint32 (object, "max_batch");
  announcement->prefill_tokens_s = read_uint32 (object, "prefill_tokens_s");
  announcement->step_us = read_uint32 (object, "step_us");
  announcement->fencing = http_json_bool_member (object, "fencing", false);
  announcement->last_fencing = read_uint64 (object, "last_fencing");
  if (announce_ms >= MIN_ANNOUNCE_MS && announce_ms <= MAX_ANNOUNCE_MS)
    announcement->announce_ms = announce_ms;
}

const char *
announcement_read (void *parent,
                   JsonObject *object,
                   registry_announcement_t *announcement)
{
  char ip[64];
  uint16_t port = 0;

  *announcement = (registry_announcement_t){ 0 };
  read_identity (object, announcement);
  read_capacity (object, announcement);
  read_loaded (parent, object, announcement);
  read_load (object, announcement);
  if (announcement->name[0] == '\0')
    return "'upstream' is missing";
  if (announcement->service[0] == '\0')
    return "'service' is missing";
  if (announcement->incarnation == 0)
    return "'incarnation' is not a positive number";
  if (!settings_split_address (announcement->address, ip, &port) || port == 0)
    return "'address' is not IP:PORT";
  return NULL;
}
