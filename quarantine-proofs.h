/**
 * @file quarantine-proofs.h
 * Complete answers, which speak for the parts of their prompts and for their
 * requests: which parts proved sound, and what evidence was withdrawn lately
 * (quarantine.h). Bounded, without I/O.
 */
#ifndef QUARANTINE_PROOFS_H
#define QUARANTINE_PROOFS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct quarantine_proofs quarantine_proofs_t;

/** Creates an empty set, freed with @a parent (talloc). */
quarantine_proofs_t *quarantine_proofs_new (void *parent);

/** Records that a prompt with a part was answered in full. */
void quarantine_proofs_add_part (quarantine_proofs_t *proofs,
                                 uint64_t part,
                                 uint64_t answered_ms);

/** Returns whether a part proved sound lately. */
bool quarantine_proofs_has_part (const quarantine_proofs_t *proofs,
                                 uint64_t part,
                                 uint64_t now_ms);

/** Returns when an answer to a prompt with the part was complete, 0 if none is
 * known. */
uint64_t quarantine_proofs_part_ms (const quarantine_proofs_t *proofs,
                                    uint64_t part);

/** The same for a request that had crashed upstreams before. */
uint64_t quarantine_proofs_request_ms (const quarantine_proofs_t *proofs,
                                       uint64_t request);

/** Keeps that an answer withdrew the evidence against a part. */
void quarantine_proofs_clear_part (quarantine_proofs_t *proofs,
                                   uint64_t part,
                                   uint64_t answered_ms);

/**
 * Keeps that an answer withdrew the evidence against a request, so that earlier
 * evidence in a late report is not taken over.
 * @param is_told whether other instances may hold evidence against it
 */
void quarantine_proofs_clear_request (quarantine_proofs_t *proofs,
                                      uint64_t request,
                                      uint64_t answered_ms,
                                      bool is_told);

/** Calls @a each for the parts whose evidence was withdrawn lately, the latest
 * first. */
void quarantine_proofs_each_part (const quarantine_proofs_t *proofs,
                                  uint64_t now_ms,
                                  void (*each) (uint64_t part,
                                                uint64_t answered_ms,
                                                void *context),
                                  void *context);

/** The same for the requests that others may hold evidence against. */
void quarantine_proofs_each_request (const quarantine_proofs_t *proofs,
                                     uint64_t now_ms,
                                     void (*each) (uint64_t request,
                                                   uint64_t answered_ms,
                                                   void *context),
                                     void *context);

#endif
