#include "packed-text.h"

#include <talloc.h>
#include <zlib.h>

/* Bytes of the header, which holds the size of the text and precedes the zlib
 * stream. */
#define HEAD_BYTES 4
/* Twice as fast as the default level of zlib, for a tenth more space. */
#define COMPRESSION_LEVEL 3

static void
write_size_to_head (uint8_t head[HEAD_BYTES], size_t size)
{
  for (int i = 0; i < HEAD_BYTES; i++)
    head[i] = (uint8_t)(size >> (8 * (HEAD_BYTES - 1 - i)));
}

static size_t
read_size_from_head (const uint8_t head[HEAD_BYTES])
{
  size_t size = 0;

  for (int i = 0; i < HEAD_BYTES; i++)
    size = size << 8 | head[i];
  return size;
}

uint8_t *
packed_text_pack (void *parent,
                  const uint8_t *text,
                  size_t text_bytes,
                  size_t *packed_bytes)
{
  uLongf used = compressBound (text_bytes);
  uint8_t *packed;

  if (text_bytes > UINT32_MAX)
    return NULL;
  packed = talloc_array_size (parent, 1, (unsigned)(HEAD_BYTES + used));
  write_size_to_head (packed, text_bytes);
  if (compress2 (packed + HEAD_BYTES, &used, text, text_bytes,
                 COMPRESSION_LEVEL)
      != Z_OK)
    {
      talloc_free (packed);
      return NULL;
    }
  *packed_bytes = HEAD_BYTES + used;
  return packed;
}

uint8_t *
packed_text_unpack (void *parent,
                    const uint8_t *packed,
                    size_t packed_bytes,
                    size_t max_bytes,
                    size_t *text_bytes)
{
  uint8_t *text;
  uLongf used;

  if (packed_bytes < HEAD_BYTES || read_size_from_head (packed) > max_bytes)
    return NULL;
  used = read_size_from_head (packed);
  *text_bytes = used;
  /* One more byte, so that an empty text is a valid block as well. */
  text = talloc_array_size (parent, 1, (unsigned)(used + 1));
  if (uncompress (text, &used, packed + HEAD_BYTES, packed_bytes - HEAD_BYTES)
          == Z_OK
      && used == *text_bytes)
    return text;
  talloc_free (text);
  return NULL;
}
