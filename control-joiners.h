/**
 * @file control-joiners.h
 * The replicas that have asked to join a control group and are not members, by
 * name. No I/O and no clock.
 */
#ifndef CONTROL_JOINERS_H
#define CONTROL_JOINERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Replicas that are kept; the one heard longest ago makes room. */
#define CONTROL_JOINERS_MAX 32

typedef struct control_joiners control_joiners_t;

/** The last hello of a replica that is not a member. */
typedef struct
{
  char *name;
  char *address;
  char *zone;
  uint64_t incarnation;
  uint64_t group; /**< to which it belongs, 0 for none */
  bool join;      /**< it waits to be added and founds no group */
  uint64_t heard_ms;
} control_joiner_t;

/** Creates an empty table, freed with @a parent (talloc). */
control_joiners_t *control_joiners_new (void *parent);

/**
 * Records a hello, which replaces an earlier one of the same name. The strings
 * are copied.
 * @return whether this incarnation is new here
 */
bool control_joiners_record (control_joiners_t *joiners,
                             const control_joiner_t *hello);

/** Returns the number of replicas. */
size_t control_joiners_count (const control_joiners_t *joiners);

/** Returns a replica by its index; valid until the next change. */
const control_joiner_t *control_joiners_get (const control_joiners_t *joiners,
                                             size_t index);

/** Returns the replica of that name, or NULL; valid until the next change. */
const control_joiner_t *control_joiners_find (const control_joiners_t *joiners,
                                              const char *name);

/** Forgets a replica by its index; the last one takes its place. */
void control_joiners_remove (control_joiners_t *joiners, size_t index);

#endif
