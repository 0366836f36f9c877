/**
 * @file packed-text.h
 * Large texts in little space, for the log and the wire.
 *
 * A packed text is its size in bytes (four bytes, highest first) and a zlib
 * stream, whose checksum finds what was damaged. Configurations of thousands
 * of routes are a tenth as large when packed. No I/O.
 */
#ifndef PACKED_TEXT_H
#define PACKED_TEXT_H

#include <stddef.h>
#include <stdint.h>

/** Packs a text; a child of @a parent, or NULL when it is over 4 GiB. */
uint8_t *packed_text_new (void *parent,
                          const uint8_t *text,
                          size_t text_bytes,
                          size_t *packed_bytes);

/**
 * Unpacks a text.
 * @param max_bytes longest text that is accepted
 * @return a child of @a parent, or NULL when it is damaged or too long
 */
uint8_t *packed_text_open (void *parent,
                           const uint8_t *packed,
                           size_t packed_bytes,
                           size_t max_bytes,
                           size_t *text_bytes);

#endif
