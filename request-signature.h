/**
 * @file request-signature.h
 * A hash by which a request that a caller sends again is recognized at any
 * instance. No I/O.
 */
#ifndef REQUEST_SIGNATURE_H
#define REQUEST_SIGNATURE_H

#include <stddef.h>
#include <stdint.h>

/** What makes two requests the same. */
typedef struct
{
  const char *method;
  const char *host;     /**< or NULL; its case and port do not matter */
  const char *target;   /**< path and query */
  const char *customer; /**< or NULL */
  const uint8_t *body;  /**< or NULL */
  size_t body_bytes;
} request_signature_t;

/** Returns the hash of a request; never 0. */
uint64_t request_signature_hash (const request_signature_t *request);

#endif
