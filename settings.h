/**
 * @file settings.h
 * Parses a program's settings from flags and environment variables into a
 * typed message of proto/settings.proto.
 *
 * Every field of the message has one flag (`--gossip-listen`) and one
 * environment variable (`LWM_GOSSIP_LISTEN`); the flag takes precedence. A
 * table defines the valid values of each field. Every mistake is reported as
 * one line on stderr.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include <protobuf-c/protobuf-c.h>
#include <stdbool.h>
#include <stdint.h>

/** Type of a setting's value. */
typedef enum
{
  SETTING_TEXT,    /**< any text */
  SETTING_NAME,    /**< 1 to 63 letters, digits, '-', '_' or '.' */
  SETTING_ADDRESS, /**< IP:PORT with a numeric IP address */
  SETTING_FOLDER,  /**< an existing folder */
  SETTING_CHOICE,  /**< one of the texts in choices */
  SETTING_NUMBER,  /**< whole number from min to max, inclusive */
  SETTING_REAL,    /**< real number from min to max, inclusive */
  SETTING_SWITCH, /**< flag without a value; true or false in the environment */
} setting_kind_t;

/** Describes one field. A table ends with a row whose field is NULL. */
typedef struct
{
  const char *field; /**< name in the message, with underscores */
  const char *arg;   /**< name of the value in --help */
  const char *help;  /**< description in --help */
  setting_kind_t kind;
  const char *fallback; /**< default value as text, or NULL */
  bool required;
  uint64_t min;
  uint64_t max;
  const char *choices; /**< of SETTING_CHOICE, separated by '|' */
} setting_t;

/** Parameters of settings_parse(). */
typedef struct
{
  const char *doc; /**< text above the flags in --help; after '\v', below */
  const char *args_doc; /**< usage of positional arguments; NULL if none */
  const setting_t *settings;
  char **arguments; /**< out: positional arguments, NULL-terminated, or NULL */
  void *parent;     /**< owns the strings and arrays of the message */
} settings_options_t;

/**
 * Fills @a message from the command line, the environment and the defaults, in
 * this order of precedence. Prints one line on stderr for each mistake. Exits
 * with EXIT_CODE_USAGE on an unknown flag, and with 0 after --help or
 * --version.
 * @param message already initialized with its generated function
 * @return number of mistakes; 0 when all settings are valid
 */
int settings_parse (settings_options_t *options,
                    int argc,
                    char **argv,
                    ProtobufCMessage *message);

/**
 * Splits "IP:PORT" into its parts. An IPv6 address may stand in brackets.
 * @param ip receives the IP address; at least 64 bytes
 * @param port receives the port, which may be 0
 * @return false when @a text has no numeric IP address or no valid port
 */
bool settings_split_address (const char *text, char *ip, uint16_t *port);

/** Returns whether @a text is 1 to 63 letters, digits, '-', '_' or '.'. */
bool settings_is_name (const char *text);

#endif
