/**
 * @file frame.h
 * Checksummed frames, the format of the control group's files.
 *
 * A frame is a header of 28 bytes and its payload. The header holds, in little
 * endian: magic, length, sequence, XXH64 of length, sequence and payload, and a
 * checksum of these header fields. The header has its own checksum so that a
 * damaged length is not mistaken for a truncated frame.
 */
#ifndef FRAME_H
#define FRAME_H

#include <stddef.h>
#include <stdint.h>

#define FRAME_HEADER_BYTES      28
#define FRAME_MAX_PAYLOAD_BYTES (192u * 1024 * 1024)

typedef enum
{
  FRAME_OK,
  FRAME_TRUNCATED, /**< the data ends inside the frame */
  FRAME_DAMAGED,   /**< wrong magic or checksum */
} frame_result_t;

typedef struct
{
  uint64_t sequence;
  const uint8_t *payload; /**< points into the decoded data */
  size_t payload_bytes;
  size_t size_bytes; /**< size of the whole frame; 0 when the header is
                          damaged or incomplete */
} frame_t;

/** Returns a frame with the payload, freed with @a parent (talloc). */
uint8_t *frame_encode (void *parent,
                       uint64_t sequence,
                       const uint8_t *payload,
                       size_t payload_bytes,
                       size_t *size_bytes);

/** Decodes the frame at the start of @a data. */
frame_result_t
frame_decode (const uint8_t *data, size_t size_bytes, frame_t *frame);

/** Returns the offset of the next whole frame after @a offset, or SIZE_MAX. */
size_t frame_find (const uint8_t *data, size_t size_bytes, size_t offset);

#endif
