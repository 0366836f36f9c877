/**
 * @file upstream-choice-internal.h
 * What the parts of the choice share: upstream-choice.c (plain services, and
 * what is common) and engine-choice.c (engines). For those only.
 */
#ifndef UPSTREAM_CHOICE_INTERNAL_H
#define UPSTREAM_CHOICE_INTERNAL_H

#include "upstream-choice.h"

/**
 * Whether @a member may take the request, or a part of it.
 * @param desperate any that is usable, as there is none better
 */
bool upstream_choice_is_candidate (const choice_request_t *request,
                                   const upstream_member_t *member,
                                   bool desperate,
                                   uint64_t now_ms);

/** The choice among engines. */
choice_t engine_choose (const upstream_set_t *set,
                        const choice_request_t *request,
                        bool desperate,
                        uint64_t now_ms);

/** Whether no engine of the service can hold the request alone. */
bool engine_choice_is_oversize (const choice_request_t *request);

#endif
