/**
 * @file packed-text.h
 * Compresses large texts for the control log and the wire.
 *
 * A packed text consists of the size of the text in bytes (4 bytes, big-endian)
 * and a zlib stream, whose checksum detects damage. Packing reduces a
 * configuration of thousands of routes to a tenth of its size. The module does
 * no I/O.
 */
#ifndef PACKED_TEXT_H
#define PACKED_TEXT_H

#include <stddef.h>
#include <stdint.h>

/**
 * Packs a text.
 * @return a child of @a parent, or NULL when the text is over 4 GiB or zlib
 * fails
 */
uint8_t *packed_text_pack (void *parent,
                           const uint8_t *text,
                           size_t text_bytes,
                           size_t *packed_bytes);

/**
 * Unpacks a text.
 * @param max_bytes size of the longest text that is accepted
 * @return a child of @a parent, or NULL when it is damaged or too long
 */
uint8_t *packed_text_unpack (void *parent,
                             const uint8_t *packed,
                             size_t packed_bytes,
                             size_t max_bytes,
                             size_t *text_bytes);

#endif
