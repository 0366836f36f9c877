/**
 * @file entry-control.h
 * Translates operations of the administration API into calls of an entry
 * instance to the control group, and the answers into JSON.
 */
#ifndef ENTRY_CONTROL_H
#define ENTRY_CONTROL_H

#include "admin.h"
#include "config.pb-c.h"
#include "control-client.h"

/*
 * Each function reports its result through @a done, exactly once, after the
 * function has returned.
 */

/**
 * Proposes a configuration under the number that it holds.
 * @param proposer name of the token or the instance, for the audit
 */
void entry_control_propose (control_client_t *client,
                            const Lwm__Config *config,
                            const char *proposer,
                            admin_done_cb_t done,
                            void *done_context);

/** Adds, promotes or removes one member of the group. It first asks the group
 * for its members, to find the incarnation of a member to remove. */
void entry_control_member (control_client_t *client,
                           const admin_member_t *change,
                           admin_done_cb_t done,
                           void *done_context);

/** Lists the last proposed changes, accepted or refused. */
void entry_control_audit (control_client_t *client,
                          admin_done_cb_t done,
                          void *done_context);

/** Describes the group, as seen by one of its replicas. */
void entry_control_status (control_client_t *client,
                           admin_done_cb_t done,
                           void *done_context);

#endif
