/** @file
 * The JSON of a view and of a member, as view/number and view/members/ in the key-value store hold
 * them. Pure functions without a lock.
 */
#ifndef PEPPERPULLEY_VIEW_CODEC_H
#define PEPPERPULLEY_VIEW_CODEC_H

#include <jansson.h>

#include "core/membership/election.h"

/** Returns the value of view/number for a view (transfer full). */
json_t *view_build(const view_t *view);

/** Reads the value of view/number at a revision of that key into @p view. Returns false, and leaves
 * @p view as it was, if it is not a view. */
bool view_parse(const json_t *value, uint64_t revision, view_t *view);

/** Reads the value of a key below view/members/, or of an entry in a view, into @p member. Returns
 * false, and clears @p member, if it is not a member. */
bool view_parse_member(const json_t *value, member_t *member);

#endif
