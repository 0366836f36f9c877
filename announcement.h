/**
 * @file announcement.h
 * Parses an upstream's announcement; docs/UPSTREAM.md specifies the format.
 */
#ifndef ANNOUNCEMENT_H
#define ANNOUNCEMENT_H

#include <json-glib/json-glib.h>

#include "registry.h"

/**
 * Parses @a object into @a announcement. The strings of @a announcement point
 * into @a object, which must outlive it.
 * @param parent owns the list of loaded weights (talloc)
 * @return NULL on success, or a static error message
 */
const char *announcement_read (void *parent,
                               JsonObject *object,
                               registry_announcement_t *announcement);

#endif
