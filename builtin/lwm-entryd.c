/**
 * @file lwm-entryd.c
 * The entry daemon: takes callers' requests, chooses an upstream for each,
 * forwards the request and relays the answer.
 */
#include <talloc.h>

#include "base.h"
#include "entry.h"
#include "logging.h"
#include "settings.h"

#define MIN_STOP_MS      100
#define MAX_STOP_MS      (24 * 3600 * 1000)
#define MAX_RECONNECT_MS (600 * 1000)

static const setting_t settings[] = {
  { .field = "instance",
    .arg = "NAME",
    .help = "name of this instance",
    .kind = SETTING_NAME,
    .required = true },
  { .field = "zone",
    .arg = "NAME",
    .help = "availability zone of this instance",
    .kind = SETTING_NAME,
    .required = true },
  { .field = "region",
    .arg = "NAME",
    .help = "region of the zone",
    .kind = SETTING_TEXT,
    .fallback = "" },
  { .field = "listen",
    .arg = "IP:PORT",
    .help = "HTTP address for callers, announcements and administration",
    .kind = SETTING_ADDRESS,
    .required = true },
  { .field = "gossip_listen",
    .arg = "IP:PORT",
    .help = "gossip address for other instances",
    .kind = SETTING_ADDRESS },
  { .field = "gossip_outside",
    .arg = "IP:PORT",
    .help = "gossip address for instances in other zones, if different",
    .kind = SETTING_ADDRESS },
  { .field = "gossip_peer",
    .arg = "IP:PORT",
    .help = "gossip address of another instance (repeatable)",
    .kind = SETTING_ADDRESS },
  { .field = "control_peer",
    .arg = "IP:PORT",
    .help = "address of a control instance (repeatable)",
    .kind = SETTING_ADDRESS },
  { .field = "config_folder",
    .arg = "DIR",
    .help = "folder with the configuration files",
    .kind = SETTING_FOLDER },
  { .field = "data_folder",
    .arg = "DIR",
    .help = "folder that stores the last revision",
    .kind = SETTING_FOLDER },
  { .field = "log_level",
    .arg = "LEVEL",
    .help = "least severe level logged: error, warn, info or debug",
    .kind = SETTING_CHOICE,
    .fallback = "info",
    .choices = "error|warn|info|debug" },
  { .field = "policy",
    .arg = "NAME",
    .help
    = "placement policy: predicted, random, round-robin, least-outstanding "
      "or two-choices",
    .kind = SETTING_CHOICE,
    .fallback = "predicted",
    .choices = "predicted|random|round-robin|least-outstanding|two-choices" },
  { .field = "stop_timeout_ms",
    .arg = "MS",
    .help = "longest duration of a graceful shutdown",
    .kind = SETTING_NUMBER,
    .fallback = "3600000",
    .min = MIN_STOP_MS,
    .max = MAX_STOP_MS },
  { .field = "reconnect_timeout_ms",
    .arg = "MS",
    .help = "how long an answer continues after its caller's connection broke",
    .kind = SETTING_NUMBER,
    .fallback = "3000",
    .min = 0,
    .max = MAX_RECONNECT_MS },
  { .field = "tls_certificate",
    .arg = "FILE",
    .help = "serve TLS with the certificate in this PEM file",
    .kind = SETTING_TEXT },
  { .field = "announce_secret",
    .arg = "TEXT",
    .help = "secret that announcements must contain (prefer the variable "
            "LWM_ANNOUNCE_SECRET)",
    .kind = SETTING_TEXT },
  { .field = "tls_key",
    .arg = "FILE",
    .help = "PEM file with the private key of the certificate",
    .kind = SETTING_TEXT },
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
  { 0 },
};

int
main (int argc, char **argv)
{
  void *root = talloc_new (NULL);
  Lwm__EntrySettings message = LWM__ENTRY_SETTINGS__INIT;
  settings_options_t options = {
    .doc = "Serves callers' requests with the zone's upstreams.",
    .settings = settings,
    .parent = root,
  };
  entry_options_t entry_options = { .settings = &message };
  entry_t *entry;
  int exit_code = EXIT_CODE_USAGE;

  logging_use_stderr ();
  base_init ("lwm-entryd");
  if (settings_parse (&options, argc, argv, &message.base) > 0)
    goto out;
  entry = entry_new (root, &entry_options);
  if (entry != NULL)
    exit_code = entry_run (entry);

out:
  talloc_free (root);
  return exit_code;
}
