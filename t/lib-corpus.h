/**
 * @file lib-corpus.h
 * Replays the fixed corpus of a fuzz target in a test.
 */
#ifndef LIB_CORPUS_H
#define LIB_CORPUS_H

#include <stddef.h>
#include <stdint.h>

typedef int (*corpus_target_t) (const uint8_t *data, size_t size);

/**
 * Passes every file of @a folder to the target: truncated at each byte, and
 * with each byte changed in turn.
 * @param least smallest number of files that the folder must hold
 */
void corpus_replay (const char *folder, int least, corpus_target_t target);

#endif
