/**
 * @file weights.h
 * Weights that an engine has loaded, identified by a model, an adapter for it
 * and a version.
 */
#ifndef WEIGHTS_H
#define WEIGHTS_H

#include <stdbool.h>
#include <stddef.h>

/** One set of weights. */
typedef struct
{
  const char *model;
  const char *adapter; /**< NULL or "" for none */
  const char *version;
} weights_t;

/** Returns a deep copy of a list, freed with @a parent (talloc). The result is
 * never NULL, and neither are its strings. */
weights_t *weights_copy (void *parent, const weights_t *list, size_t count);

/**
 * Returns whether the weights match the model, adapter and version that a
 * request asks for.
 * @param model NULL or "": any
 * @param adapter NULL or "": none
 * @param version NULL or "": any
 */
bool weights_match (const weights_t *weights,
                    const char *model,
                    const char *adapter,
                    const char *version);

/** Returns the first weights in a list for which weights_match() is true, or
 * NULL. */
const weights_t *weights_find (const weights_t *list,
                               size_t count,
                               const char *model,
                               const char *adapter,
                               const char *version);

#endif
