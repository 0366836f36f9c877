/**
 * @file cmd.h
 * Functions and settings shared by the subcommands of lacewingmast, the command
 * for operators.
 *
 * Exit codes are those of base.h. With --json a subcommand prints the JSON of
 * the answer on one line; without it, readable text.
 */
#ifndef CMD_H
#define CMD_H

#include <json-glib/json-glib.h>

#include "base.h"
#include "command.pb-c.h"
#include "settings.h"

/** Runs a subcommand; argv[0] is its name. Returns the exit code. */
typedef int (*cmd_run_cb_t) (int argc, char **argv);

/** A subcommand of lacewingmast. */
typedef struct
{
  const char *name;
  const char *summary; /**< one line for --help */
  cmd_run_cb_t run;
} cmd_t;

/* Subcommands; see the help text of each. */
int cmd_check (int argc, char **argv);
int cmd_apply (int argc, char **argv);
int cmd_status (int argc, char **argv);
int cmd_customers (int argc, char **argv);
int cmd_explain (int argc, char **argv);
int cmd_audit (int argc, char **argv);
int cmd_drain (int argc, char **argv);
int cmd_upstream (int argc, char **argv);
int cmd_member (int argc, char **argv);
int cmd_token (int argc, char **argv);
int cmd_report (int argc, char **argv);

/* Settings that most subcommands have; rows of a setting_t table. */
#define CMD_TARGET                                                             \
  {                                                                            \
    .field = "target", .arg = "IP:PORT", .kind = SETTING_ADDRESS,              \
    .help = "entry instance to call", .required = true                         \
  }
#define CMD_JSON                                                               \
  {                                                                            \
    .field = "json", .kind = SETTING_SWITCH, .help = "print JSON on one line"  \
  }
#define CMD_TOKEN                                                              \
  {                                                                            \
    .field = "token", .arg = "TOKEN", .kind = SETTING_TEXT,                    \
    .help = "administration token (prefer the variable LWM_TOKEN)"             \
  }
#define CMD_TIMEOUT                                                            \
  {                                                                            \
    .field = "timeout_ms", .arg = "MS", .kind = SETTING_NUMBER, .min = 1,      \
    .max = 600000, .fallback = "10000", .help = "longest wait for an answer"   \
  }
#define CMD_TLS                                                                \
  {                                                                            \
    .field = "tls_trust", .arg = "FILE", .kind = SETTING_TEXT,                 \
    .help = "use TLS, and trust the certificates in this PEM file"             \
  }
#define CMD_COMMON CMD_TARGET, CMD_JSON, CMD_TOKEN, CMD_TIMEOUT, CMD_TLS

/** State of a running subcommand. */
typedef struct
{
  void *parent; /**< owns the data of the subcommand (talloc) */
  Lwm__CommandSettings settings;
  char **arguments; /**< positional; NULL-terminated, never NULL */
  size_t argument_count;
} cmd_context_t;

/**
 * Parses a subcommand's flags and checks the number of its arguments.
 * @param context initialized here; freed with cmd_done(), also after a failure
 * @return false, after a line on stderr, on wrong usage; the subcommand must
 * return EXIT_CODE_USAGE then
 */
bool cmd_parse (cmd_context_t *context,
                const setting_t *settings,
                const char *args_doc,
                const char *doc,
                size_t min_arguments,
                size_t max_arguments,
                int argc,
                char **argv);

/** Frees the data of the subcommand, including that of cmd_parse(). */
void cmd_done (cmd_context_t *context);

/**
 * Calls the target instance and waits for the answer.
 * @param body cmd_call() takes ownership; NULL for none
 * @param answer set to the JSON object of the answer, which the caller must
 * release, or NULL
 * @return the exit code for the answer; after a line on stderr unless it is
 * EXIT_CODE_OK
 */
int cmd_call (cmd_context_t *context,
              const char *method,
              const char *path,
              JsonNode *body,
              JsonObject **answer);

/** Prints @a object on one line. */
void cmd_print_json (JsonObject *object);

/**
 * Prints an aligned table.
 * @param rows arrays of @a columns texts; the first row is the header
 */
void cmd_print_table (GPtrArray *rows, size_t columns);

#endif
