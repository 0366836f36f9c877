/**
 * @file entry-config.h
 * Transfers configuration between an entry instance and the control group.
 *
 * The group sends new revisions only to the delegates of a zone, and the other
 * instances of the zone receive them by gossip. The revision of a configuration
 * folder is proposed to the group until the group answers. It comes into force
 * only when the group has accepted it. So when two folders hold different
 * content under one number, the same folder wins at every instance.
 */
#ifndef ENTRY_CONFIG_H
#define ENTRY_CONFIG_H

#include "control-client.h"
#include "membership.h"

typedef struct entry_config entry_config_t;

typedef struct
{
  struct event_base *base;
  metrics_t *metrics;
  char **peers; /**< control instances, "IP:PORT"; must outlive this */
  size_t peer_count;
  control_client_t *client; /**< client used for proposals */
  membership_t *membership;
  const char *instance; /**< proposer named in the audit */
} entry_config_options_t;

/** Creates the module, freed with @a parent (talloc). It must be freed before
 * the client and the membership. */
entry_config_t *entry_config_new (void *parent,
                                  const entry_config_options_t *options);

/** Proposes the revision of a configuration folder, until the group answers. A
 * later call replaces a proposal that is still unanswered. @a content is
 * copied. */
void entry_config_propose (entry_config_t *config, const Lwm__Config *content);

/** Must be called when the members of the zone changed. Starts watching the
 * group when this instance is now a delegate, and stops when it is not. */
void entry_config_update (entry_config_t *config);

#endif
