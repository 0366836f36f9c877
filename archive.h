/**
 * @file archive.h
 * Keeps finished requests in memory.
 *
 * A response stays for a configured time, so that a caller whose connection
 * broke can fetch it again. The history of a request stays longer, for
 * explain.h. Responses are bounded by age and by total size, requests by
 * number. The dispatcher adds each request when it is done or has failed.
 */
#ifndef ARCHIVE_H
#define ARCHIVE_H

#include <stdbool.h>
#include <stdint.h>

#include "metric.h"
#include "request.h"

typedef struct archive archive_t;

typedef struct
{
  uint32_t answer_kept_ms;   /**< how long a response is kept after its end */
  uint64_t max_answer_bytes; /**< total size of all responses; 0 for 64 MiB */
  uint32_t max_requests;     /**< 0 for 4096 */
  metrics_t *metrics;        /**< registry for the archive's gauge */
} archive_options_t;

/** Returns how many bytes of answers may be kept on a machine with
 * @a memory_mb, 0 for the default. */
uint64_t archive_share (uint32_t memory_mb);

/**
 * Creates an empty archive.
 * @param parent owner of the archive and of its requests (talloc)
 * @param options copied; metrics must outlive the archive
 */
archive_t *archive_new (void *parent, const archive_options_t *options);

/** Sets how long responses are kept; applies to those already kept as well. */
void archive_set_answer_kept_ms (archive_t *archive, uint32_t answer_kept_ms);

/** Adds a finished request and takes ownership of it. */
void archive_add (archive_t *archive, request_t *request);

/** Returns the request with @a id, or NULL. The archive keeps ownership. */
request_t *archive_find (const archive_t *archive, const char *id);

/**
 * Frees expired responses, oldest first, and responses above the size limit.
 * A response that a listener is still reading stays. Then frees the oldest
 * requests above the number limit, up to the first one that still has its
 * response.
 * @param now_ms monotonic clock
 */
void archive_evict (archive_t *archive, uint64_t now_ms);

#endif
