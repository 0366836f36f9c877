/**
 * @file lwm-controld.c
 * The control daemon: runs one replica of the control group.
 */
#include <event2/http.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "control-server.h"
#include "daemon.h"
#include "http.h"
#include "logging.h"
#include "settings.h"
#include "settings.pb-c.h"

static const setting_t settings[] = {
  { .field = "instance",
    .arg = "NAME",
    .help = "name of this instance",
    .kind = SETTING_NAME,
    .required = true },
  { .field = "zone",
    .arg = "NAME",
    .help = "availability zone of this instance",
    .kind = SETTING_NAME },
  { .field = "listen",
    .arg = "IP:PORT",
    .help = "HTTP address for health, metrics and status",
    .kind = SETTING_ADDRESS,
    .required = true },
  { .field = "control_listen",
    .arg = "IP:PORT",
    .help = "address for other replicas and entry instances",
    .kind = SETTING_ADDRESS,
    .required = true },
  { .field = "member",
    .arg = "NAME=IP:PORT",
    .help = "initial member of the group; repeat for all members, including "
            "this one",
    .kind = SETTING_TEXT,
    .required = true },
  { .field = "data_folder",
    .arg = "FOLDER",
    .help = "folder for the log and the snapshot",
    .kind = SETTING_FOLDER,
    .required = true },
  { .field = "log_level",
    .arg = "LEVEL",
    .help = "least severe level logged: error, warn, info or debug",
    .kind = SETTING_CHOICE,
    .choices = "error|warn|info|debug",
    .fallback = "info" },
  { .field = "heartbeat_ms",
    .arg = "MS",
    .help = "time between heartbeats of the leader",
    .kind = SETTING_NUMBER,
    .fallback = "250",
    .min = 10,
    .max = 10000 },
  { .field = "election_timeout_ms",
    .arg = "MS",
    .help = "time without a leader's heartbeat until an election starts",
    .kind = SETTING_NUMBER,
    .fallback = "750",
    .min = 50,
    .max = 60000 },
  { .field = "snapshot_entries",
    .arg = "NUMBER",
    .help = "number of log entries between snapshots",
    .kind = SETTING_NUMBER,
    .fallback = "1000",
    .min = 10,
    .max = 1000000 },
  { .field = "join",
    .help = "do not create a group; wait to be added to one",
    .kind = SETTING_SWITCH },
  { .field = "memory_mb",
    .arg = "MB",
    .help = "memory of the machine that this process may use; 0: unknown",
    .kind = SETTING_NUMBER,
    .fallback = "0",
    .max = UINT32_MAX },
  { .field = "max_descriptors",
    .arg = "NUMBER",
    .help = "descriptors that this process may open; 0: unknown",
    .kind = SETTING_NUMBER,
    .fallback = "0",
    .max = UINT32_MAX },
  { .field = NULL },
};

static void
serve (struct evhttp_request *request, void *context)
{
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  control_server_t **server = context;

  if (path != NULL && strcmp (path, "/v1/status") == 0
      && evhttp_request_get_command (request) == EVHTTP_REQ_GET)
    http_reply_json (request, 200, control_server_status_json (*server));
  else
    http_reply_error (request, ERROR_NOT_FOUND, RAN_NO, NULL, NULL, 0);
}

static int
run (void *parent, Lwm__ControlSettings *control_settings)
{
  control_server_t *server = NULL;
  daemon_options_t daemon_options
      = { .listen = control_settings->listen,
          .log_level = control_settings->log_level,
          .max_descriptors = control_settings->max_descriptors,
          .memory_mb = control_settings->memory_mb,
          .fallback = serve,
          .context = &server };
  control_server_options_t options
      = { .name = control_settings->instance,
          .listen = control_settings->control_listen,
          .folder = control_settings->data_folder,
          .members = control_settings->member,
          .member_count = control_settings->n_member,
          .join = control_settings->join,
          .heartbeat_ms = control_settings->heartbeat_ms,
          .election_timeout_ms = control_settings->election_timeout_ms,
          .snapshot_entries = control_settings->snapshot_entries };
  daemon_t *daemon = daemon_new (parent, &daemon_options);
  int code;

  if (daemon == NULL)
    return EXIT_CODE_FAILED;
  options.base = daemon_base (daemon);
  options.metrics = daemon_metrics (daemon);
  server = control_server_new (daemon, &options);
  if (server == NULL)
    return EXIT_CODE_FAILED;
  code = daemon_run (daemon);
  talloc_free (server);
  return code;
}

int
main (int argc, char **argv)
{
  void *parent = talloc_new (NULL);
  Lwm__ControlSettings control_settings = LWM__CONTROL_SETTINGS__INIT;
  settings_options_t options
      = { .doc = "Runs one replica of the deployment's control group.",
          .settings = settings,
          .parent = parent };
  int code = EXIT_CODE_USAGE;

  logging_use_stderr ();
  base_init ("lwm-controld");
  if (settings_parse (&options, argc, argv, &control_settings.base) != 0)
    goto out;
  if (control_settings.election_timeout_ms < 3 * control_settings.heartbeat_ms)
    {
      print_error ("--election-timeout-ms: expected at least three times "
                   "--heartbeat-ms");
      goto out;
    }
  code = run (parent, &control_settings);

out:
  talloc_free (parent);
  return code;
}
