/**
 * @file configdiff.h
 * Compares two configurations entry by entry. The administration API shows the
 * changes and checks them against the scope of a token.
 */
#ifndef CONFIGDIFF_H
#define CONFIGDIFF_H

#include <stddef.h>

#include "config.pb-c.h"

typedef enum
{
  CONFIGDIFF_ADDED,
  CONFIGDIFF_REMOVED,
  CONFIGDIFF_CHANGED,
} configdiff_kind_t;

typedef struct
{
  configdiff_kind_t kind;
  const char *section; /**< field name in the schema, such as "customers" or
                            "max_queue" */
  const char *name;    /**< name of the entry, NULL for a scalar field */
} configdiff_change_t;

/**
 * Lists the changes from @a from to @a to. The number is not compared.
 * @param from NULL for an empty configuration: every entry is an addition
 * @param count set to the number of changes
 * @return a child of @a parent, NULL when there is no change; the names point
 *         into the configurations, which must outlive the list
 */
configdiff_change_t *configdiff_list (void *parent,
                                      const Lwm__Config *from,
                                      const Lwm__Config *to,
                                      size_t *count);

/** Returns the name of a change's kind: "added", "removed" or "changed". */
const char *configdiff_kind_name (configdiff_kind_t kind);

#endif
