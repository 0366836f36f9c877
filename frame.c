#include "frame.h"

#include <endian.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define MAGIC                  0x314d574cu /* "LWM1" */
#define HEADER_CHECKSUM_OFFSET 24

static void
write_uint32 (uint8_t *bytes, uint32_t value)
{
  value = htole32 (value);
  memcpy (bytes, &value, sizeof value);
}

static void
write_uint64 (uint8_t *bytes, uint64_t value)
{
  value = htole64 (value);
  memcpy (bytes, &value, sizeof value);
}

static uint32_t
read_uint32 (const uint8_t *bytes)
{
  uint32_t value;

  memcpy (&value, bytes, sizeof value);
  return le32toh (value);
}

static uint64_t
read_uint64 (const uint8_t *bytes)
{
  uint64_t value;

  memcpy (&value, bytes, sizeof value);
  return le64toh (value);
}

/** Returns the checksum of length, sequence and payload. */
static uint64_t
payload_checksum (const uint8_t *header,
                  const uint8_t *payload,
                  size_t payload_bytes)
{
  return XXH64 (payload, payload_bytes, XXH64 (header + 4, 12, 0));
}

/** Returns the checksum of the header fields before HEADER_CHECKSUM_OFFSET. */
static uint32_t
header_checksum (const uint8_t *header)
{
  return (uint32_t)XXH64 (header, HEADER_CHECKSUM_OFFSET, 0);
}

uint8_t *
frame_encode (void *parent,
              uint64_t sequence,
              const uint8_t *payload,
              size_t payload_bytes,
              size_t *size_bytes)
{
  uint8_t *data = talloc_size (parent, FRAME_HEADER_BYTES + payload_bytes);

  write_uint32 (data, MAGIC);
  write_uint32 (data + 4, (uint32_t)payload_bytes);
  write_uint64 (data + 8, sequence);
  write_uint64 (data + 16, payload_checksum (data, payload, payload_bytes));
  write_uint32 (data + HEADER_CHECKSUM_OFFSET, header_checksum (data));
  memcpy (data + FRAME_HEADER_BYTES, payload, payload_bytes);
  *size_bytes = FRAME_HEADER_BYTES + payload_bytes;
  return data;
}

frame_result_t
frame_decode (const uint8_t *data, size_t size_bytes, frame_t *frame)
{
  uint32_t length;

  *frame = (frame_t){ 0 };
  if (size_bytes < FRAME_HEADER_BYTES)
    return FRAME_TRUNCATED;
  length = read_uint32 (data + 4);
  if (read_uint32 (data) != MAGIC || length > FRAME_MAX_PAYLOAD_BYTES
      || read_uint32 (data + HEADER_CHECKSUM_OFFSET) != header_checksum (data))
    return FRAME_DAMAGED;
  frame->sequence = read_uint64 (data + 8);
  frame->payload = data + FRAME_HEADER_BYTES;
  frame->payload_bytes = length;
  frame->size_bytes = FRAME_HEADER_BYTES + (size_t)length;
  if (frame->size_bytes > size_bytes)
    return FRAME_TRUNCATED;
  if (read_uint64 (data + 16)
      != payload_checksum (data, frame->payload, length))
    return FRAME_DAMAGED;
  return FRAME_OK;
}

size_t
frame_find (const uint8_t *data, size_t size_bytes, size_t offset)
{
  const uint32_t magic = htole32 (MAGIC);
  frame_t frame;

  while (++offset + FRAME_HEADER_BYTES <= size_bytes)
    {
      const uint8_t *found
          = memmem (data + offset, size_bytes - offset, &magic, sizeof magic);

      if (found == NULL)
        return SIZE_MAX;
      offset = (size_t)(found - data);
      if (frame_decode (found, size_bytes - offset, &frame) == FRAME_OK)
        return offset;
    }
  return SIZE_MAX;
}
