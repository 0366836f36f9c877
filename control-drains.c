/* The drained zones as a replica reports them to its clients. */
#include <talloc.h>

#include "base.h"
#include "control-internal.h"
#include "zone-drains.h"
#define LOG_PART "control"
#include "logging.h"

/** Log entries with more data are no orders. */
#define MAX_ORDER_BYTES 1024

/** Adds the zone of a log entry that is an order to drain it. */
static void
add_uncommitted (Lwm__ControlDrainReport *report,
                 const Lwm__ControlEntry *entry)
{
  Lwm__ControlCommand *command;

  if (entry == NULL || entry->kind != LWM__CONTROL_ENTRY_KIND__ENTRY_COMMAND
      || entry->data.len > MAX_ORDER_BYTES
      || report->n_uncommitted == ZONE_DRAINS_MAX)
    return;
  command
      = lwm__control_command__unpack (NULL, entry->data.len, entry->data.data);
  if (command == NULL)
    return;
  if (command->what_case == LWM__CONTROL_COMMAND__WHAT_ZONE_ORDER
      && command->zone_order->drained)
    report->uncommitted[report->n_uncommitted++]
        = talloc_strdup (report->uncommitted, command->zone_order->zone);
  lwm__control_command__free_unpacked (command, NULL);
}

Lwm__ControlDrainReport *
control_drains_report (control_server_t *server, void *parent)
{
  Lwm__ControlDrainReport *report = talloc (parent, Lwm__ControlDrainReport);
  uint64_t last = raft_status (server->raft).last;

  lwm__control_drain_report__init (report);
  report->drains = statemachine_drains (server->machine);
  report->group = raft_status (server->raft).group;
  report->behind = control_server_may_lack_orders (server);
  if (!report->behind)
    return report;
  report->uncommitted = talloc_array (report, char *, ZONE_DRAINS_MAX);
  for (uint64_t index = server->applied + 1; index <= last; index++)
    add_uncommitted (report, raft_log_get (raft_log (server->raft), index));
  return report;
}

void
control_drains_log (control_server_t *server, size_t watchers)
{
  const Lwm__ControlDrains *drains = statemachine_drains (server->machine);
  void *scratch = talloc_new (server);
  size_t count;
  char **names = zone_drains_names (scratch, drains, &count);

  log_info ("Orders to drain zones are applied. zones=%s version=%ju "
            "watchers=%zu",
            zone_drains_text (scratch, names, count),
            (uintmax_t)drains->version, watchers);
  talloc_free (scratch);
}
