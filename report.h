/**
 * @file report.h
 * Compares several records files of lwm-load in plots: writes data files and a
 * gnuplot script that draws them.
 *
 * first-token.png shows the p95 time to first token by class. slowdown.png
 * shows the time to first token of the first class, divided by its tenth
 * percentile, by percentile. goodput.png shows tokens answered in time and
 * refusals for each second.
 */
#ifndef REPORT_H
#define REPORT_H

#include <stdbool.h>

typedef struct report report_t;

/** Returns an empty report, freed with @a parent (talloc). */
report_t *report_new (void *parent);

/**
 * Adds a records file under a label, such as the name of its policy.
 * @param why set to the error when false is returned; owned by the report
 */
bool report_add (report_t *report,
                 const char *label,
                 const char *path,
                 const char **why);

/**
 * Writes the data files and report.gp into @a folder.
 * @param why set to the error when false is returned; owned by the report
 */
bool report_write (report_t *report, const char *folder, const char **why);

#endif
