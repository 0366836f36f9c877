#include "message.h"

#include <talloc.h>

/**
 * Allocator of one unpacking. The first block requested is the message; all
 * further blocks become its children.
 */
typedef struct
{
  void *parent;
  void *message;
} pool_t;

static void *
pool_alloc (void *data, size_t size_bytes)
{
  pool_t *pool = data;

  if (pool->message != NULL)
    return talloc_size (pool->message, size_bytes);
  pool->message = talloc_size (pool->parent, size_bytes);
  return pool->message;
}

static void
pool_free (void *data, void *block)
{
  talloc_free (block);
}

void *
message_unpack (void *parent,
                const ProtobufCMessageDescriptor *descriptor,
                const uint8_t *data,
                size_t size_bytes)
{
  /* The scratch context frees the blocks that a failed unpacking leaves. */
  void *scratch = talloc_new (parent);
  pool_t pool = { .parent = scratch };
  ProtobufCAllocator allocator
      = { .alloc = pool_alloc, .free = pool_free, .allocator_data = &pool };
  ProtobufCMessage *message
      = protobuf_c_message_unpack (descriptor, &allocator, size_bytes, data);

  if (message != NULL)
    talloc_steal (parent, message);
  talloc_free (scratch);
  return message;
}

uint8_t *
message_pack (void *parent, const ProtobufCMessage *message, size_t *size_bytes)
{
  uint8_t *data;

  *size_bytes = protobuf_c_message_get_packed_size (message);
  data = talloc_size (parent, *size_bytes + 1);
  protobuf_c_message_pack (message, data);
  return data;
}

void *
message_copy (void *parent, const ProtobufCMessage *message)
{
  size_t size_bytes;
  uint8_t *data = message_pack (NULL, message, &size_bytes);
  void *copy = message_unpack (parent, message->descriptor, data, size_bytes);

  talloc_free (data);
  return copy;
}
