#include "logging.h"

#include <inttypes.h>
#include <log4c.h>
#include <log4c/appender_type_stream.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "base.h"
#include "log-sink.h"

/** Bound of the lines buffered for a slow reader. */
#define SINK_BUFFER_BYTES (128u * 1024)
/** Longest wait for the reader when the process exits. */
#define EXIT_FLUSH_MS 100

static log4c_category_t *category;
static log_sink_t *sink; /* NULL when the process waits for the reader */
static logging_unwritten_cb_t on_unwritten;
static void *unwritten_context;

static const struct
{
  const char *name;
  int priority;
} levels[] = {
  [LOGGING_ERROR] = { "error", LOG4C_PRIORITY_ERROR },
  [LOGGING_WARN] = { "warn", LOG4C_PRIORITY_WARN },
  [LOGGING_INFO] = { "info", LOG4C_PRIORITY_INFO },
  [LOGGING_DEBUG] = { "debug", LOG4C_PRIORITY_DEBUG },
};

/** Formats a line with its newline; returns its length without the NUL. */
static size_t
format_text (char *line,
             size_t size_bytes,
             const struct timeval *when,
             int priority,
             const char *message)
{
  struct tm parts;
  char stamp[32];

  gmtime_r (&when->tv_sec, &parts);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &parts);
  snprintf (line, size_bytes, "%s.%03dZ %s %s\n", stamp,
            (int)(when->tv_usec / 1000), log4c_priority_to_string (priority),
            message);
  return strlen (line);
}

static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  static char line[2048];

  format_text (line, sizeof line, &event->evt_timestamp, event->evt_priority,
               event->evt_msg);
  return line;
}

/** Formats the line that reports dropped lines. */
static size_t
format_dropped (char *line, size_t size_bytes, uint64_t count)
{
  char message[64];
  struct timeval now;

  gettimeofday (&now, NULL);
  snprintf (message, sizeof message, "log: lines left out. count=%" PRIu64,
            count);
  return format_text (line, size_bytes, &now, LOG4C_PRIORITY_WARN, message);
}

static int
append_to_sink (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  const char *line = event->evt_rendered_msg;

  log_sink_write (sink, line, strlen (line));
  if (on_unwritten != NULL && log_sink_has_unwritten (sink))
    on_unwritten (unwritten_context);
  return 0;
}

static void
flush_at_exit (void)
{
  log_sink_flush (sink, EXIT_FLUSH_MS);
}

static void
use_sink (int fd)
{
  log_sink_options_t options = { .fd = fd,
                                 .buffer_bytes = SINK_BUFFER_BYTES,
                                 .report = format_dropped };

  if (sink != NULL)
    return;
  sink = log_sink_new (NULL, &options);
  atexit (flush_at_exit);
}

void
logging_use_stdout (void)
{
  use_sink (STDOUT_FILENO);
}

void
logging_use_stderr (void)
{
  use_sink (STDERR_FILENO);
}

void
logging_on_unwritten (logging_unwritten_cb_t callback, void *context)
{
  on_unwritten = callback;
  unwritten_context = context;
}

bool
logging_flush (void)
{
  return sink == NULL || log_sink_flush (sink, 0);
}

uint64_t
logging_dropped_lines (void)
{
  return sink != NULL ? log_sink_dropped_lines (sink) : 0;
}

void
logging_init (logging_level_t level)
{
  static const log4c_appender_type_t sink_type
      = { .name = "sink", .append = append_to_sink };
  static const log4c_layout_type_t layout_type
      = { .name = "lwm", .format = format_line };
  log4c_layout_t *layout;
  log4c_appender_t *appender;

  log4c_layout_type_set (&layout_type);
  layout = log4c_layout_get ("lwm");
  log4c_layout_set_type (layout, &layout_type);
  appender = log4c_appender_get ("stderr");
  /* A lookup by name needs log4c_init(), which reads configuration files. */
  log4c_appender_set_type (
      appender, sink != NULL ? &sink_type : &log4c_appender_type_stream);
  log4c_appender_set_layout (appender, layout);
  category = log4c_category_get (base_program_name ());
  log4c_category_set_appender (category, appender);
  log4c_category_set_additivity (category, 0);
  logging_set_level (level);
}

void
logging_set_level (logging_level_t level)
{
  log4c_category_set_priority (category, levels[level].priority);
}

bool
logging_level_from_name (const char *name, logging_level_t *level)
{
  for (size_t i = 0; i < sizeof levels / sizeof *levels; i++)
    if (strcmp (levels[i].name, name) == 0)
      {
        *level = (logging_level_t)i;
        return true;
      }
  return false;
}

void
logging_write (logging_level_t level, const char *part, const char *fmt, ...)
{
  char message[1536];
  va_list args;
  int used;

  if (category == NULL
      || !log4c_category_is_priority_enabled (category, levels[level].priority))
    return;
  used = snprintf (message, sizeof message, "%s: ", part);
  va_start (args, fmt);
  vsnprintf (message + used, sizeof message - (size_t)used, fmt, args);
  va_end (args);
  log4c_category_log (category, levels[level].priority, "%s", message);
}
